//! Tests of the relay: partitions, silenced connections and the source address of connections.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_bench::relay::{RelayRoute, Relays};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const A: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 3, 1));
const B: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 3, 2));

/// Time for which nothing must arrive.
const SILENCE_PERIOD: Duration = Duration::from_millis(100);

struct RelayedLink {
    relays: Relays,
    listen: SocketAddr,
}

/// Starts an echo service on B behind a relay. The service first sends the source address of the
/// connection.
async fn start_echo_behind_relay() -> RelayedLink {
    let listener = TcpListener::bind((B, 0)).await.unwrap();
    let forward_to = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(echo(stream));
        }
    });
    // Finds a free port for the relay.
    let port_probe = TcpListener::bind("127.0.3.3:0").await.unwrap();
    let listen = port_probe.local_addr().unwrap();
    drop(port_probe);
    let relays = Relays::start([RelayRoute { listen, forward_to }].into_iter())
        .await
        .unwrap();
    RelayedLink { relays, listen }
}

async fn echo(mut stream: TcpStream) {
    let source_ip = stream.peer_addr().unwrap().ip().to_string();
    stream.write_all(source_ip.as_bytes()).await.unwrap();
    let mut byte = [0];
    while stream.read_exact(&mut byte).await.is_ok() {
        stream.write_all(&byte).await.unwrap();
    }
}

/// Connects from A and checks the source address that the service saw.
async fn connect(link: &RelayedLink) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((A, 0).into()).unwrap();
    let mut stream = socket.connect(link.listen).await.unwrap();
    let mut source_ip = vec![0; A.to_string().len()];
    stream.read_exact(&mut source_ip).await.unwrap();
    assert_that!(String::from_utf8(source_ip).unwrap(), eq(&A.to_string()));
    stream
}

/// Returns whether a byte, an error or the end of the stream arrives within [`SILENCE_PERIOD`].
async fn is_readable(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    let result = tokio::time::timeout(SILENCE_PERIOD, stream.read_exact(&mut byte)).await;
    result.is_ok()
}

/// Guards against a partition that lets bytes through, loses them, or holds them back after it has
/// healed.
#[tokio::test]
async fn partition_holds_bytes_back_until_it_heals() {
    let link = start_echo_behind_relay().await;
    let mut stream = connect(&link).await;
    // The order of the two addresses makes no difference, so `heal` gets the reverse one.
    link.relays.partition(B, A);
    stream.write_all(b"x").await.unwrap();
    assert_that!(is_readable(&mut stream).await, eq(false));
    link.relays.heal(A, B);
    let mut byte = [0];
    stream.read_exact(&mut byte).await.unwrap();
    assert_that!(byte, eq([b'x']));
}

/// Guards against silencing that forwards bytes, closes connections or affects new ones.
#[tokio::test]
async fn silenced_connections_stay_open_and_new_ones_work() {
    let link = start_echo_behind_relay().await;
    let mut silenced = connect(&link).await;
    link.relays.silence(A, B);
    silenced.write_all(b"x").await.unwrap();
    assert_that!(is_readable(&mut silenced).await, eq(false));
    let mut new_stream = connect(&link).await;
    new_stream.write_all(b"y").await.unwrap();
    let mut byte = [0];
    new_stream.read_exact(&mut byte).await.unwrap();
    assert_that!(byte, eq([b'y']));
}
