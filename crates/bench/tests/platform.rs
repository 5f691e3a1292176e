//! Tests of the platform stand-in with the store client.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Method;
use masticdeal_bench::http1;
use masticdeal_bench::platform::{Fault, Outage, Stats, serve};
use masticdeal_platform::{Client, Position, Settings, SwapOutcome};

const SECOND: Duration = Duration::from_secs(1);

struct Platform {
    client: Client,
    address: std::net::SocketAddr,
}

async fn start_platform() -> Platform {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, 1));
    let client = Client::new(Settings {
        address,
        timeout: SECOND,
        ..Settings::default()
    });
    Platform { client, address }
}

impl Platform {
    async fn set_faults(&self, fault: Fault) {
        let body = serde_json::to_vec(&fault).unwrap();
        let http = http1::Client::default();
        let sent = http.send(
            Method::POST,
            self.address,
            "/control/fault",
            &[],
            body,
            SECOND,
        );
        assert_that!(sent.await.unwrap().status.as_u16(), eq(200));
    }

    async fn stats(&self) -> Stats {
        let http = http1::Client::default();
        let sent = http.send(Method::GET, self.address, "/control/stats", &[], "", SECOND);
        serde_json::from_slice(&sent.await.unwrap().body).unwrap()
    }
}

/// Guards against a stand-in that applies a write although the key has another revision than
/// expected.
#[tokio::test]
async fn swap_is_applied_only_at_the_expected_revision() {
    let platform = start_platform().await;
    let first = platform
        .client
        .swap("a/b", Position::default(), Bytes::from("one"), None)
        .await;
    let SwapOutcome::Applied { revision, .. } = first else {
        panic!("first write: {first:?}")
    };
    let second = platform
        .client
        .swap("a/b", Position::default(), Bytes::from("two"), None)
        .await;
    assert_that!(second, eq(&SwapOutcome::Conflict(revision)));
    let value = platform.client.get("a/b").await.unwrap().unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("one")));
    assert_that!(platform.client.get("none").await.unwrap(), none());
}

/// Guards against a lost response whose write is not applied.
#[tokio::test]
async fn lost_response_leaves_the_write_applied() {
    let platform = start_platform().await;
    let fault = Fault {
        lose_answers: 1.0,
        ..Fault::default()
    };
    platform.set_faults(fault).await;
    let written = platform
        .client
        .swap("k", Position::default(), Bytes::from("v"), None)
        .await;
    assert_that!(matches!(written, SwapOutcome::Unknown(_)), eq(true));
    let value = platform.client.get("k").await.unwrap().unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("v")));
}

/// Guards against late writes that overwrite an intervening write, and the reverse.
#[tokio::test]
async fn late_write_and_intervening_write_exclude_each_other() {
    let platform = start_platform().await;
    let fault = Fault {
        late_writes: 1.0,
        late_ms: 400,
        seed: 7,
        ..Fault::default()
    };
    platform.set_faults(fault).await;
    let late = platform
        .client
        .swap("k", Position::default(), Bytes::from("late"), None)
        .await;
    assert_that!(matches!(late, SwapOutcome::Unknown(_)), eq(true));
    platform.set_faults(Fault::default()).await;
    let intervening = platform
        .client
        .swap("k", Position::default(), Bytes::from("between"), None)
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let value = platform.client.get("k").await.unwrap().unwrap();
    let winner = match intervening {
        SwapOutcome::Applied { .. } => "between",
        _ => "late",
    };
    assert_that!(value.bytes, eq(&Bytes::from(winner)));
}

/// Guards against keys that remain after their lease has expired, and expired leases that can be
/// renewed or attached to a key.
#[tokio::test]
async fn key_is_deleted_with_its_lease() {
    let platform = start_platform().await;
    let lease = platform.client.lease_grant(SECOND).await.unwrap();
    let leased = platform
        .client
        .swap("k", Position::default(), Bytes::from("v"), Some(&lease))
        .await;
    assert_that!(matches!(leased, SwapOutcome::Applied { .. }), eq(true));
    while platform.client.get("k").await.unwrap().is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_that!(
        platform.client.lease_renew(&lease).await.unwrap(),
        eq(false)
    );
    let after_expiry = platform
        .client
        .swap("k", Position::default(), Bytes::from("v"), Some(&lease))
        .await;
    assert_that!(matches!(after_expiry, SwapOutcome::Unknown(_)), eq(true));
    assert_that!(platform.client.get("k").await.unwrap(), none());
}

/// Guards against watches that miss a write, return a known revision, or are counted more than once
/// while they wait.
#[tokio::test]
async fn watch_returns_only_newer_values_and_counts_once() {
    let platform = start_platform().await;
    let client = platform.client.clone();
    let waiting = tokio::spawn(async move { client.watch("k", 0, 5 * SECOND).await });
    while platform.stats().await.watch == 0 {
        tokio::task::yield_now().await;
    }
    platform
        .client
        .swap("k", Position::default(), Bytes::from("v"), None)
        .await;
    let value = waiting.await.unwrap().unwrap().value.unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("v")));
    let none_newer = platform
        .client
        .watch("k", value.revision, Duration::from_millis(10));
    assert_that!(none_newer.await.unwrap().value, none());
    let stats = platform.stats().await;
    assert_that!(
        (stats.watch, stats.swap, stats.total_calls()),
        eq((2, 1, 3))
    );
}

/// Guards against outages during which writes are applied or pending watches get a response.
#[tokio::test]
async fn outage_fails_calls_and_pending_watches() {
    for down in [Outage::Refuse, Outage::Hang] {
        let platform = start_platform().await;
        let client = platform.client.clone();
        let waiting = tokio::spawn(async move { client.watch("k", 0, 5 * SECOND).await });
        while platform.stats().await.watch == 0 {
            tokio::task::yield_now().await;
        }
        platform
            .set_faults(Fault {
                down,
                ..Fault::default()
            })
            .await;
        let write = platform
            .client
            .swap("k", Position::default(), Bytes::from("v"), None)
            .await;
        assert_that!(matches!(write, SwapOutcome::Unknown(_)), eq(true));
        platform.set_faults(Fault::default()).await;
        assert_that!(waiting.await.unwrap(), err(anything()));
        assert_that!(platform.client.get("k").await.unwrap(), none());
    }
}
