//! Every port against malformed and oversize input, strangers, and the limits of its protocol.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use common::{Daemon, LOCAL, Script, Target, call, request, settings, start_pair, wait_until};
use googletest::prelude::*;
use http::header::AUTHORIZATION;
use masticdeal_wire::peer::{Forward, ForwardReply, Renew, Versions};
use masticdeal_wire::target::{Grant, ReportReply};
use masticdeal_wire::{codec, headers};
use masticdeald::clock::Clock;
use masticdeald::node::Node;
use masticdeald::{owner, peers};
use proptest::prelude::{ProptestConfig, any, prop, proptest};
use proptest::test_runner::RngSeed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a port that stops working after input that is not its protocol.
#[gtest]
#[tokio::test]
async fn garbage_leaves_the_ports_working() {
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |s| s.limits.max_body_bytes = 1_000).await;
    let long_line = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(200_000));
    let chunked = "POST /search/1 HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    let too_long = format!("{chunked}7d0\r\n{}\r\n0\r\n\r\n", "x".repeat(2_000));
    let bad_chunk = format!("{chunked}zz\r\nab\r\n");
    let rows: [(&[u8], &str); 7] = [
        (b"\0\x01\x02\xff\xfe\r\n\r\n", ""),
        (b"GET /search/1 HTTP/1.0\r\n\r\n", "400"),
        (b"GET /search/1 HTTP/1.1\r\nbad header\r\n\r\n", "400"),
        (
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\0\0\0\0\0\0\xff\xff\xff\xff\xff",
            "",
        ),
        (long_line.as_bytes(), ""),
        (too_long.as_bytes(), "413"),
        (bad_chunk.as_bytes(), ""),
    ];
    for (bytes, status) in rows {
        for port in [ingress.callers, ingress.peers_port] {
            let mut stream = TcpStream::connect(port).await.unwrap();
            let _ = stream.write_all(bytes).await;
            let mut answer = Vec::new();
            if status.is_empty() || port == ingress.peers_port {
                let _ = stream.shutdown().await;
                let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
            } else {
                let _ = tokio::time::timeout(TIMEOUT, stream.read_buf(&mut answer)).await;
            }
            let text = String::from_utf8_lossy(&answer);
            let name = format!(
                "{:?}",
                String::from_utf8_lossy(&bytes[..bytes.len().min(40)])
            );
            if port == ingress.callers {
                expect_that!(text, contains_substring(status), "{name}");
            }
            expect_that!(text, not(contains_substring("200 OK")), "{name}");
        }
    }
    wait_until(|| owner.owner.load().running == 0).await;
    let seen = call(ingress.callers, request("GET", "/search/1", &[], "")).await;
    expect_that!(seen.status, eq(200));
}

/// Guards against connections that send nothing, or only the beginning of a preface, and take the
/// places of others for good.
#[gtest]
#[tokio::test]
async fn idle_strangers_lose_their_connections() {
    let daemon = Daemon::start(settings(|s| s.limits.connections = 3)).await;
    let mut open = Vec::new();
    for port in [daemon.callers, daemon.peers_port] {
        for start in [&b""[..], b"PRI * HTTP", b"PRI * HTTP/2.0\r\n\r\nSM\r\n"] {
            let mut stream = TcpStream::connect(port).await.unwrap();
            stream.write_all(start).await.unwrap();
            open.push(stream);
        }
    }
    let closed = open.iter_mut().map(async |stream| {
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
    });
    futures_util::future::join_all(closed).await;
    // A whole handshake, and no message after it.
    let stream = TcpStream::connect(daemon.peers_port).await.unwrap();
    let (_send, connection) = h2::client::handshake(stream).await.unwrap();
    let _ = connection.await;
    // The daemon has no configuration; the reason shows that the connection was served, and not
    // turned away for lack of a place.
    let seen = call(daemon.callers, request("GET", "/", &[], "")).await;
    expect_that!(seen.failure(), eq((503, "NotRun", "not-ready")));
}

/// Opens an h2 connection and sends one message; returns the status, or `None` when it was reset.
async fn h2_post(to: SocketAddr, path: &str, secret: &str, body: &[u8]) -> Option<u16> {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut send, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let request = http::Request::post(format!("http://peer{path}"))
        .header(AUTHORIZATION, format!("Bearer {secret}"))
        .body(())
        .unwrap();
    let (response, mut out) = send.send_request(request, false).unwrap();
    let _ = out.send_data(Bytes::copy_from_slice(body), true);
    let status = response.await.ok().map(|r| r.status().as_u16());
    if status == Some(401) {
        // The daemon closes the connection of a stranger.
        let _ = driver.await;
    }
    status
}

/// Guards against strangers and malformed messages between daemons.
#[gtest]
#[tokio::test]
async fn peers_port_checks_the_secret_and_the_message() {
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    let frame = codec::encode(&Versions::default()).unwrap();
    let long = (codec::MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let rows: [(&str, &str, &[u8], Option<u16>); 8] = [
        (headers::PATH_RENEW, "peers-secret", &frame, Some(200)),
        (headers::PATH_RENEW, "peers-secreT", &frame, Some(401)),
        (headers::PATH_RENEW, "", &frame, Some(401)),
        (headers::PATH_FORWARD, "wrong", &frame, Some(401)),
        ("/unknown", "peers-secret", &frame, Some(404)),
        (headers::PATH_FORWARD, "peers-secret", &frame, Some(400)),
        (headers::PATH_FORWARD, "peers-secret", &long, Some(400)),
        (headers::PATH_FORWARD, "peers-secret", b"", Some(400)),
    ];
    for (path, secret, body, expected) in rows {
        let seen = h2_post(owner.peers_port, path, secret, body).await;
        expect_that!(seen, eq(expected), "{path} {secret}");
    }
    let open = Daemon::start(settings(|s| s.secret.peers = String::new())).await;
    let seen = h2_post(open.peers_port, headers::PATH_RENEW, "", &frame).await;
    expect_that!(seen, some(eq(401)), "an empty secret admits nobody");
    expect_that!(target.count(), eq(0));
    let seen = call(ingress.callers, request("GET", "/search/1", &[], "")).await;
    expect_that!(seen.status, eq(200));
}

/// Guards against control calls that hang on a silent connection or share it with later calls, and
/// against control bytes that are not counted.
#[gtest]
#[tokio::test]
async fn control_calls_time_out_and_reconnect() {
    let daemon = Daemon::start(settings(|_| {})).await;
    let other = Daemon::start(settings(|_| {})).await;
    let relay = common::Relay::start(other.peers_port).await;
    let sent = Versions {
        table: 3,
        config: 4,
    };
    let call = |timeout| {
        let peers = Arc::clone(&daemon.peers);
        let to = relay.address;
        async move {
            peers
                .control::<_, Versions>(to, headers::PATH_PULL, &sent, timeout)
                .await
        }
    };
    expect_that!(call(TIMEOUT).await, ok(eq(&sent)));
    expect_that!(call(TIMEOUT).await, ok(eq(&sent)));
    expect_that!(relay.opened(), eq(1));
    relay.silence();
    let late = call(Duration::from_millis(50)).await;
    expect_that!(late, err(eq(&peers::Error::Timeout)));
    expect_that!(call(TIMEOUT).await, ok(eq(&sent)));
    expect_that!(relay.opened(), eq(2));
    for node in [&daemon.node, &other.node] {
        expect_that!(node.metrics.control_in.get(), gt(0));
        expect_that!(node.metrics.control_out.get(), gt(0));
    }
    let wrong = daemon
        .peers
        .control::<_, Renew>(relay.address, headers::PATH_PULL, &sent, TIMEOUT);
    expect_that!(wrong.await, err(pat!(peers::Error::Codec(_))));
}

/// A clock that a test moves.
#[derive(Default)]
struct ManualClock(AtomicU64);

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::SeqCst))
    }
}

async fn announce(port: SocketAddr, path: &str, body: &str) -> u16 {
    call(port, request("POST", path, &[], body.to_owned()))
        .await
        .status
}

fn announcement(port: u16, slots: u16) -> String {
    format!(
        r#"{{"service":"search","address":"127.0.0.1:{port}","slots":{slots},
        "checks_grants":true,"state":"ready"}}"#
    )
}

/// Guards against announcements that are wrong, too large, of a second target, or too old.
#[gtest]
#[tokio::test]
async fn announcements_are_checked_and_age() {
    let clock = Arc::new(ManualClock::default());
    let node = Node::new(
        settings(|_| {}),
        clock.clone(),
        Box::new(|_, _, _| unreachable!()),
    );
    let node = Arc::new(node);
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let port = listener.local_addr().unwrap();
    tokio::spawn(owner::serve_announce(
        Arc::clone(&node),
        listener,
        Box::new(|_| ReportReply::default()),
    ));
    let good = announcement(9, 2);
    let large = format!("{good}{}", " ".repeat(90_000));
    // As long as a report of 512 runs held and 512 released, each with a handover.
    let long = format!("{good}{}", " ".repeat(40 * 1_024));
    let extra = good.replace("\"slots\"", "\"more\":1,\"slots\"");
    let rows: [(&str, &str, u16); 8] = [
        ("/v1/announce", "", 400),
        ("/v1/announce", "{}", 400),
        ("/v1/announce", &announcement(9, 0), 400),
        ("/v1/announce", &announcement(0, 2), 400),
        ("/v1/announce", &large, 413),
        ("/v1/announce", &extra, 400),
        ("/v1/other", &good, 404),
        ("/v1/announce", &good, 200),
    ];
    for (path, body, expected) in rows {
        expect_that!(node.target.borrow().is_none(), eq(true), "{body}");
        expect_that!(announce(port, path, body).await, eq(expected), "{body}");
    }
    expect_that!(node.target.borrow().as_ref().unwrap().slots, eq(2));
    expect_that!(announce(port, "/v1/announce", &long).await, eq(200));
    expect_that!(
        announce(port, "/v1/announce", &announcement(8, 2)).await,
        eq(409)
    );
    clock.0.store(2_999, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(600)).await;
    expect_that!(
        node.target.borrow().is_some(),
        eq(true),
        "not yet silent for 3 s"
    );
    clock.0.store(3_000, Ordering::SeqCst);
    wait_until(|| node.target.borrow().is_none()).await;
    expect_that!(
        announce(port, "/v1/announce", &announcement(8, 2)).await,
        eq(200)
    );
}

/// Guards against a grant that is taken for granted when the target refused it or is away.
#[gtest]
#[tokio::test]
async fn grants_report_what_the_target_said() {
    let target = Target::start(Script::Echo).await;
    let (_ingress, owner) = start_pair(target.address, |_| {}).await;
    let grant = Grant {
        session: 1,
        sequence: 1,
        until_boot_ms: 5,
        shards: vec![],
        keys: vec![],
    };
    for _ in 0..2 {
        expect_that!(owner.owner.send_grant(&grant, TIMEOUT).await, ok(eq(&())));
    }
    *target.script.lock().unwrap() = Script::Refuse(409);
    let seen = owner.owner.send_grant(&grant, TIMEOUT).await;
    expect_that!(seen, err(eq(&owner::GrantError::Stale)));
    *target.script.lock().unwrap() = Script::Hang;
    let seen = owner
        .owner
        .send_grant(&grant, Duration::from_millis(50))
        .await;
    expect_that!(seen, err(eq(&owner::GrantError::Timeout)));
    owner.node.target.send_replace(None);
    let seen = owner.owner.send_grant(&grant, TIMEOUT).await;
    expect_that!(seen, err(eq(&owner::GrantError::NoTarget)));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic or an allocation beyond the limit on arbitrary bytes.
    #[test]
    fn frames_of_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut buf = BytesMut::from(&bytes[..]);
        let _ = codec::decode::<Forward>(&mut buf);
        let mut framed = BytesMut::from(&(bytes.len() as u32).to_be_bytes()[..]);
        framed.extend_from_slice(&bytes);
        let _ = codec::decode::<ForwardReply>(&mut framed.clone());
        let _ = codec::decode::<Forward>(&mut framed);
    }
}
