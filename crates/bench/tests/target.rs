//! The target stand-in: grants, refusals, cancellation and records.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use masticdeal_bench::http1::{Client, ReceivedResponse};
use masticdeal_bench::payload;
use masticdeal_bench::records::{Event, Step, boot_time_us, read};
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
        let mut all = vec![("x-request-id", id)];
        all.extend(headers);
        let sent = self.http.send(
            Method::GET,
            self.address,
            "/search/4711",
            &all,
            "",
            RESPONSE_TIMEOUT,
        );
        sent.await.unwrap()
    }

    async fn grant(&self, session: u32, sequence: u64, until_ms: u64, shards: &str) -> u16 {
        let body = format!(
            r#"{{"session":{session},"sequence":{sequence},"until_boot_ms":{until_ms},"shards":{shards}}}"#
        );
        let path = "/masticdeal/grant";
        let sent = self
            .http
            .send(Method::PUT, self.address, path, &[], body, RESPONSE_TIMEOUT);
        sent.await.unwrap().status.as_u16()
    }

    fn steps(&self) -> Vec<(String, Step)> {
        let events: Vec<Event> = read(&self.record).unwrap();
        events.into_iter().map(|e| (e.id, e.step)).collect()
    }
}

fn verdict(response: &ReceivedResponse) -> Option<&str> {
    response.headers.get("x-masticdeal-verdict")?.to_str().ok()
}

/// Guards against a target that runs requests without a valid grant, or under a grant that has been
/// replaced.
#[tokio::test]
async fn target_that_checks_grants_runs_only_requests_covered_by_the_newest_grant() {
    let settings = Settings {
        checks_grants: true,
        ..Settings::default()
    };
    let target = start_target("grants", settings).await;
    let work = [("x-masticdeal-shard", "3"), ("x-masticdeal-epoch", "7")];
    let stale = [("x-masticdeal-shard", "3"), ("x-masticdeal-epoch", "6")];
    let later = boot_time_us() / 1_000 + 600_000;
    let refused = target.get("none", &work).await;
    assert_that!(refused.status.as_u16(), eq(412));
    assert_that!(verdict(&refused), some(eq("NotRun")));
    assert_that!(target.grant(2, 5, later, "[[3,7]]").await, eq(200));
    assert_that!(target.get("live", &work).await.status.as_u16(), eq(200));
    assert_that!(target.get("stale", &stale).await.status.as_u16(), eq(412));
    assert_that!(target.grant(2, 5, later, "[]").await, eq(409));
    assert_that!(target.grant(1, 9, later, "[]").await, eq(409));
    assert_that!(
        target
            .grant(2, 6, boot_time_us() / 1_000 - 1, "[[3,7]]")
            .await,
        eq(200)
    );
    assert_that!(target.get("ended", &work).await.status.as_u16(), eq(412));
    assert_that!(target.grant(3, 1, later, "[]").await, eq(200));
    assert_that!(target.get("revoked", &work).await.status.as_u16(), eq(412));
    let live = "live".to_owned();
    assert_that!(
        target.steps(),
        eq(&vec![(live.clone(), Step::Start), (live, Step::Finished)])
    );
}

/// Guards against validation that accepts truncated or mixed responses, or a response to another
/// request.
#[tokio::test]
async fn response_is_complete_and_names_its_request() {
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

/// Guards against shed requests that are recorded as started, and cancelled requests that keep
/// their slot.
#[tokio::test]
async fn target_sheds_beyond_its_queue_and_frees_the_slot_on_cancellation() {
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
    let shed = target.get("shed", &[]).await;
    assert_that!(shed.status.as_u16(), eq(503));
    assert_that!(verdict(&shed), some(eq("NotRun")));
    drop(running);
    while target.get("next", &[]).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let steps = target.steps();
    let has = |id: &str, step| steps.contains(&(id.to_owned(), step));
    assert_that!(has("long", Step::Cancelled), eq(true));
    assert_that!(has("shed", Step::Start), eq(false));
}
