//! The relay: partitions, silenced connections and the source address.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_bench::relay::{RelayRoute, Relays};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const A: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 3, 1));
const B: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 3, 2));

/// Time within which no byte must arrive.
const SILENCE_PERIOD: Duration = Duration::from_millis(100);

struct RelayedLink {
    relay: Relays,
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
    let free = TcpListener::bind("127.0.3.3:0").await.unwrap();
    let listen = free.local_addr().unwrap();
    drop(free);
    let relay = Relays::start([RelayRoute { listen, forward_to }].into_iter())
        .await
        .unwrap();
    RelayedLink { relay, listen }
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

async fn receives_byte(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(SILENCE_PERIOD, stream.read_exact(&mut byte)).await;
    read.is_ok()
}

/// Guards against a partition that loses bytes or lets them through.
#[tokio::test]
async fn partition_holds_bytes_back_until_it_heals() {
    let link = start_echo_behind_relay().await;
    let mut stream = connect(&link).await;
    link.relay.partition(B, A);
    stream.write_all(b"x").await.unwrap();
    assert_that!(receives_byte(&mut stream).await, eq(false));
    link.relay.heal(A, B);
    let mut byte = [0];
    stream.read_exact(&mut byte).await.unwrap();
    assert_that!(byte, eq([b'x']));
}

/// Guards against silencing that closes connections or affects new ones.
#[tokio::test]
async fn silenced_connections_stay_open_and_new_ones_work() {
    let link = start_echo_behind_relay().await;
    let mut silenced = connect(&link).await;
    link.relay.silence(A, B);
    silenced.write_all(b"x").await.unwrap();
    assert_that!(receives_byte(&mut silenced).await, eq(false));
    let mut fresh = connect(&link).await;
    fresh.write_all(b"y").await.unwrap();
    let mut byte = [0];
    fresh.read_exact(&mut byte).await.unwrap();
    assert_that!(byte, eq([b'y']));
}
