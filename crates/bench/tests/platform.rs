//! The platform stand-in against the store client.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Method;
use masticdeal_bench::http1;
use masticdeal_bench::platform::{Fault, Outage, Stats, serve};
use masticdeal_platform::{Client, Settings, SwapOutcome};

const SECOND: Duration = Duration::from_secs(1);

struct Service {
    client: Client,
    address: std::net::SocketAddr,
}

async fn start_service() -> Service {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, 1));
    let client = Client::new(Settings {
        address,
        timeout: SECOND,
        ..Settings::default()
    });
    Service { client, address }
}

impl Service {
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

/// Guards against a stand-in that applies a write although the revision has changed.
#[tokio::test]
async fn swap_is_applied_only_at_the_expected_revision() {
    let service = start_service().await;
    let first = service
        .client
        .swap("a/b", 0, Bytes::from("one"), None)
        .await;
    let SwapOutcome::Applied(revision) = first else {
        panic!("first write: {first:?}")
    };
    let again = service
        .client
        .swap("a/b", 0, Bytes::from("two"), None)
        .await;
    assert_that!(again, eq(&SwapOutcome::Conflict(revision)));
    let value = service.client.get("a/b").await.unwrap().unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("one")));
    assert_that!(service.client.get("none").await.unwrap(), none());
}

/// Guards against a fault that loses the write together with its response.
#[tokio::test]
async fn lost_response_leaves_the_write_applied() {
    let service = start_service().await;
    let fault = Fault {
        lose_answers: 1.0,
        ..Fault::default()
    };
    service.set_faults(fault).await;
    let written = service.client.swap("k", 0, Bytes::from("v"), None).await;
    assert_that!(matches!(written, SwapOutcome::Unknown(_)), eq(true));
    let value = service.client.get("k").await.unwrap().unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("v")));
}

/// Guards against late writes that overwrite an intervening write.
#[tokio::test]
async fn late_write_and_intervening_write_exclude_each_other() {
    let service = start_service().await;
    let fault = Fault {
        late_writes: 1.0,
        late_ms: 400,
        seed: 7,
        ..Fault::default()
    };
    service.set_faults(fault).await;
    let late = service.client.swap("k", 0, Bytes::from("late"), None).await;
    assert_that!(matches!(late, SwapOutcome::Unknown(_)), eq(true));
    service.set_faults(Fault::default()).await;
    let intervening = service
        .client
        .swap("k", 0, Bytes::from("between"), None)
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let value = service.client.get("k").await.unwrap().unwrap();
    let winner = match intervening {
        SwapOutcome::Applied(_) => "between",
        _ => "late",
    };
    assert_that!(value.bytes, eq(&Bytes::from(winner)));
}

/// Guards against keys that remain after their lease has expired.
#[tokio::test]
async fn key_is_deleted_with_its_lease() {
    let service = start_service().await;
    let lease = service.client.lease_grant(SECOND).await.unwrap();
    let held = service
        .client
        .swap("k", 0, Bytes::from("v"), Some(&lease))
        .await;
    assert_that!(matches!(held, SwapOutcome::Applied(_)), eq(true));
    while service.client.get("k").await.unwrap().is_some() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_that!(service.client.lease_renew(&lease).await.unwrap(), eq(false));
    let lapsed = service
        .client
        .swap("k", 0, Bytes::from("v"), Some(&lease))
        .await;
    assert_that!(matches!(lapsed, SwapOutcome::Unknown(_)), eq(true));
    assert_that!(service.client.get("k").await.unwrap(), none());
}

/// Guards against watches that miss a write or are counted more than once while they wait.
#[tokio::test]
async fn watch_returns_a_write_and_counts_once() {
    let service = start_service().await;
    let client = service.client.clone();
    let waiting = tokio::spawn(async move { client.watch("k", 0, 5 * SECOND).await });
    while service.stats().await.watch == 0 {
        tokio::task::yield_now().await;
    }
    service.client.swap("k", 0, Bytes::from("v"), None).await;
    let value = waiting.await.unwrap().unwrap().value.unwrap();
    assert_that!(value.bytes, eq(&Bytes::from("v")));
    let none_newer = service
        .client
        .watch("k", value.revision, Duration::from_millis(10));
    assert_that!(none_newer.await.unwrap().value, none());
    let stats = service.stats().await;
    assert_that!(
        (stats.watch, stats.swap, stats.total_calls()),
        eq((2, 1, 3))
    );
}

/// Guards against outages during which writes are applied or pending watches get a response.
#[tokio::test]
async fn outage_fails_calls_and_pending_watches() {
    for down in [Outage::Refuse, Outage::Hang] {
        let service = start_service().await;
        let client = service.client.clone();
        let waiting = tokio::spawn(async move { client.watch("k", 0, 5 * SECOND).await });
        while service.stats().await.watch == 0 {
            tokio::task::yield_now().await;
        }
        service
            .set_faults(Fault {
                down,
                ..Fault::default()
            })
            .await;
        let write = service.client.swap("k", 0, Bytes::from("v"), None).await;
        assert_that!(matches!(write, SwapOutcome::Unknown(_)), eq(true));
        service.set_faults(Fault::default()).await;
        assert_that!(waiting.await.unwrap(), err(anything()));
        assert_that!(service.client.get("k").await.unwrap(), none());
    }
}
