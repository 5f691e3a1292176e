//! The relay: cuts, silence and the sender's address.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_bench::relay::{RelayRoute, Relays};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const A: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 3, 1));
const B: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 3, 2));

/// Time in which nothing must arrive.
const QUIET: Duration = Duration::from_millis(100);

struct Net {
    relay: Relays,
    listen: SocketAddr,
}

/// Starts an echo service on B that puts the peer's address before the first echo.
async fn net() -> Net {
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
    Net { relay, listen }
}

async fn echo(mut stream: TcpStream) {
    let from = stream.peer_addr().unwrap().ip().to_string();
    stream.write_all(from.as_bytes()).await.unwrap();
    let mut byte = [0];
    while stream.read_exact(&mut byte).await.is_ok() {
        stream.write_all(&byte).await.unwrap();
    }
}

/// Connects from A and reads the address that the service saw.
async fn connect(net: &Net) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((A, 0).into()).unwrap();
    let mut stream = socket.connect(net.listen).await.unwrap();
    let mut from = vec![0; A.to_string().len()];
    stream.read_exact(&mut from).await.unwrap();
    assert_that!(String::from_utf8(from).unwrap(), eq(&A.to_string()));
    stream
}

async fn arrives(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(QUIET, stream.read_exact(&mut byte)).await;
    read.is_ok()
}

/// Guards against a cut that loses bytes for good or lets them through.
#[tokio::test]
async fn cut_holds_bytes_back_until_it_heals() {
    let net = net().await;
    let mut stream = connect(&net).await;
    net.relay.partition(B, A);
    stream.write_all(b"x").await.unwrap();
    assert_that!(arrives(&mut stream).await, eq(false));
    net.relay.heal(A, B);
    let mut byte = [0];
    stream.read_exact(&mut byte).await.unwrap();
    assert_that!(byte, eq([b'x']));
}

/// Guards against silence that closes the connection or hits new ones.
#[tokio::test]
async fn silence_keeps_connections_open_and_spares_new_ones() {
    let net = net().await;
    let mut old = connect(&net).await;
    net.relay.silence(A, B);
    old.write_all(b"x").await.unwrap();
    assert_that!(arrives(&mut old).await, eq(false));
    let mut new = connect(&net).await;
    new.write_all(b"y").await.unwrap();
    let mut byte = [0];
    new.read_exact(&mut byte).await.unwrap();
    assert_that!(byte, eq([b'y']));
}
