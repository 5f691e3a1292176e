//! Tests of the target stand-in: grants, refusals, cancellation and records; and of the validation
//! of its responses.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use masticdeal_bench::http1::{Client, ReceivedResponse};
use masticdeal_bench::payload;
use masticdeal_bench::records::{Event, Step, read, time_since_boot_us};
use masticdeal_bench::target::{Settings, serve};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

struct Target {
    http: Client,
    address: SocketAddr,
    record: PathBuf,
}

async fn start_target(name: &str, settings: Settings) -> Target {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let record = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.jsonl"));
    let _ = std::fs::remove_file(&record);
    let settings = Settings {
        record: Some(record.clone()),
        ..settings
    };
    tokio::spawn(serve(listener, settings));
    let http = Client::default();
    Target {
        http,
        address,
        record,
    }
}

impl Target {
    async fn get(&self, id: &str, headers: &[(&str, &str)]) -> ReceivedResponse {
        let mut all_headers = vec![("x-request-id", id)];
        all_headers.extend(headers);
        let sent = self.http.send(
            Method::GET,
            self.address,
            "/search/4711",
            &all_headers,
            "",
            RESPONSE_TIMEOUT,
        );
        sent.await.unwrap()
    }

    /// Sends a grant and returns the status of the response.
    async fn put_grant(&self, session: u32, sequence: u64, until_ms: u64, shards: &str) -> u16 {
        let body = format!(
            r#"{{"session":{session},"sequence":{sequence},"until_boot_ms":{until_ms},"shards":{shards}}}"#
        );
        let path = "/masticdeal/grant";
        let sent = self
            .http
            .send(Method::PUT, self.address, path, &[], body, RESPONSE_TIMEOUT);
        sent.await.unwrap().status.as_u16()
    }

    /// Returns the id and step of each recorded event.
    fn steps(&self) -> Vec<(String, Step)> {
        let events: Vec<Event> = read(&self.record).unwrap();
        events.into_iter().map(|e| (e.id, e.step)).collect()
    }
}

fn verdict(response: &ReceivedResponse) -> Option<&str> {
    response.headers.get("x-masticdeal-verdict")?.to_str().ok()
}

/// Guards against a target that runs requests without a valid grant or under an older epoch,
/// installs a grant that is not newer, or honours an expired or replaced grant.
#[tokio::test]
async fn target_that_checks_grants_runs_only_requests_covered_by_the_newest_grant() {
    let settings = Settings {
        checks_grants: true,
        ..Settings::default()
    };
    let target = start_target("grants", settings).await;
    let current_epoch = [("x-masticdeal-shard", "3"), ("x-masticdeal-epoch", "7")];
    let older_epoch = [("x-masticdeal-shard", "3"), ("x-masticdeal-epoch", "6")];
    let valid_until_ms = time_since_boot_us() / 1_000 + 600_000;
    // Without a grant.
    let refused = target.get("none", &current_epoch).await;
    assert_that!(refused.status.as_u16(), eq(412));
    assert_that!(verdict(&refused), some(eq("NotRun")));
    // Session 2, sequence number 5: shard 3 under epoch 7.
    assert_that!(
        target.put_grant(2, 5, valid_until_ms, "[[3,7]]").await,
        eq(200)
    );
    assert_that!(
        target.get("live", &current_epoch).await.status.as_u16(),
        eq(200)
    );
    assert_that!(
        target.get("stale", &older_epoch).await.status.as_u16(),
        eq(412)
    );
    // The same sequence number, and an older session, are not newer.
    assert_that!(target.put_grant(2, 5, valid_until_ms, "[]").await, eq(409));
    assert_that!(target.put_grant(1, 9, valid_until_ms, "[]").await, eq(409));
    // A newer grant that has expired.
    assert_that!(
        target
            .put_grant(2, 6, time_since_boot_us() / 1_000 - 1, "[[3,7]]")
            .await,
        eq(200)
    );
    assert_that!(
        target.get("expired", &current_epoch).await.status.as_u16(),
        eq(412)
    );
    // A newer session without shards.
    assert_that!(target.put_grant(3, 1, valid_until_ms, "[]").await, eq(200));
    assert_that!(
        target.get("revoked", &current_epoch).await.status.as_u16(),
        eq(412)
    );
    let covered = "live".to_owned();
    assert_that!(
        target.steps(),
        eq(&vec![
            (covered.clone(), Step::Start),
            (covered, Step::Finished)
        ])
    );
}

/// Guards against validation that accepts a truncated response, a response to another request or a
/// response assembled from two, or rejects a valid one.
#[tokio::test]
async fn validation_rejects_incomplete_and_foreign_responses() {
    let target = start_target("answers", Settings::default()).await;
    let mut long = target
        .get("a", &[("x-work-ms", "250"), ("x-answer-bytes", "100000")])
        .await;
    assert_that!(long.body.len(), eq(100_000));
    assert_that!(
        payload::validation_error("a", &long.headers, &long.body),
        none()
    );
    assert_that!(
        payload::validation_error("b", &long.headers, &long.body),
        some(anything())
    );
    let short = target.get("b", &[]).await;
    assert_that!(
        payload::validation_error("b", &short.headers, &short.body),
        none()
    );
    assert_that!(
        payload::validation_error("a", &long.headers, &short.body),
        some(anything())
    );
    long.body.truncate(99_999);
    assert_that!(
        payload::validation_error("a", &long.headers, &long.body),
        some(anything())
    );
}

/// Guards against rejected requests that are recorded as started, and cancelled requests that keep
/// their slot.
#[tokio::test]
async fn target_rejects_requests_when_its_queue_is_full_and_frees_the_slot_on_cancellation() {
    let settings = Settings {
        slots: 1,
        queue: 0,
        ..Settings::default()
    };
    let target = start_target("sheds", settings).await;
    let long = target.http.send_streaming(
        http::Request::get(format!("http://{}/search/1", target.address))
            .header("x-request-id", "long")
            .header("x-work-ms", "60000")
            .body(Default::default())
            .unwrap(),
    );
    let running = long.await.unwrap();
    let rejected = target.get("shed", &[]).await;
    assert_that!(rejected.status.as_u16(), eq(503));
    assert_that!(verdict(&rejected), some(eq("NotRun")));
    drop(running);
    while target.get("next", &[]).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let steps = target.steps();
    let is_recorded = |id: &str, step| steps.contains(&(id.to_owned(), step));
    assert_that!(is_recorded("long", Step::Cancelled), eq(true));
    assert_that!(is_recorded("shed", Step::Start), eq(false));
}
