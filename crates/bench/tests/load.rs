//! Tests of the load generator with a target stand-in.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use masticdeal_bench::load::{LoadPlan, MixEntry, Summary, run};
use masticdeal_bench::records::ObservedResult;
use masticdeal_bench::target::{Settings, serve};
use masticdeal_policy::Verdict;

/// Starts a target and returns a load plan that sends requests to it.
async fn start_target(settings: Settings) -> LoadPlan {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let service = MixEntry {
        name: "search".into(),
        weight: 1.0,
        method: Method::GET,
        addresses: vec![listener.local_addr().unwrap()],
    };
    tokio::spawn(serve(listener, settings));
    LoadPlan {
        services: vec![service],
        rate: 400.0,
        duration: Duration::from_millis(500),
        deadline: Duration::from_secs(20),
        ..LoadPlan::default()
    }
}

/// Guards against requests without an outcome or with two, and against valid responses that are
/// classified as failures.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_due_request_has_one_outcome() {
    let settings = Settings {
        queue: 1_000,
        ..Settings::default()
    };
    let plan = start_target(settings).await;
    let outcomes = run(plan.clone(), Arc::default()).await;
    assert_that!(outcomes.len(), gt(100));
    let ids: std::collections::BTreeSet<_> = outcomes.iter().map(|o| &o.id).collect();
    assert_that!(ids.len(), eq(outcomes.len()));
    assert_that!(
        outcomes.iter().all(|o| o.seen == ObservedResult::Answered),
        eq(true)
    );
    let summary = Summary::from_outcomes(&outcomes, plan.duration);
    assert_that!(
        summary.latency_us["search"].count,
        eq(outcomes.len() as u64)
    );
}

/// Guards against requests that the target rejects but that count as successful or lose their
/// verdict.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejected_requests_are_failures_with_their_verdict() {
    let settings = Settings {
        slots: 1,
        queue: 0,
        default_service_time: Duration::from_millis(100),
        ..Settings::default()
    };
    let outcomes = run(start_target(settings).await, Arc::default()).await;
    let failed: Vec<_> = outcomes
        .iter()
        .filter(|o| o.seen == ObservedResult::Failed)
        .collect();
    assert_that!(failed.is_empty(), eq(false));
    assert_that!(
        failed.iter().all(|o| o.verdict == Some(Verdict::NotRun)),
        eq(true)
    );
    let answered = outcomes
        .iter()
        .filter(|o| o.seen == ObservedResult::Answered)
        .count();
    assert_that!(failed.len() + answered, eq(outcomes.len()));
}
