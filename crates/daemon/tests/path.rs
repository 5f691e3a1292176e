//! The path of a request through two daemons and a target.

mod common;

use common::{Caller, Script, Target, call, pair, read, request};
use googletest::prelude::*;
use http_body_util::BodyExt;

/// Guards against lost or altered parts of a request or an answer on the way, and against control
/// headers that a caller or a target forges.
#[gtest]
#[tokio::test]
async fn request_and_answer_pass_unchanged() {
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = pair(target.address, |_| {}).await;
    for port in [ingress.callers, owner.callers] {
        let headers = [
            ("x-request-id", "id-1"),
            ("x-masticdeal-epoch", "99"),
            ("x-masticdeal-deadline-ms", "1500"),
            ("connection", "x-secret"),
            ("x-secret", "1"),
            ("x-own", "kept"),
        ];
        let seen = call(port, request("PUT", "/search/4711?a=b", &headers, "body")).await;
        expect_that!(seen.status, eq(200));
        expect_that!(seen.body, ok(eq("PUT /search/4711?a=b HTTP/1.1\nbody")));
        expect_that!(seen.header("got-x-own"), eq("kept"));
        expect_that!(seen.header("got-x-request-id"), eq("id-1"));
        expect_that!(seen.header("got-x-masticdeal-epoch"), eq("7"));
        expect_that!(seen.header("got-x-masticdeal-shard"), not(eq("")));
        let left: u32 = seen.header("got-x-masticdeal-deadline-ms").parse().unwrap();
        expect_that!(left, le(1500));
        expect_that!(seen.header("got-traceparent"), starts_with("00-"));
        expect_that!(seen.header("x-masticdeal-served-by"), eq("vm-1"));
        for absent in [
            "got-x-secret",
            "got-connection",
            "x-masticdeal-load",
            "x-private",
        ] {
            expect_that!(seen.header(absent), eq(""), "{absent}");
        }
    }
}

/// Guards against buffering: each chunk must reach the caller before the target sends the next.
#[gtest]
#[tokio::test]
async fn answers_stream() {
    let target = Target::start(Script::Chunks(3)).await;
    let (ingress, _owner) = pair(target.address, |_| {}).await;
    let mut caller = Caller::connect(ingress.callers).await;
    let mut answer = caller.send(request("GET", "/search/1", &[], "")).await;
    for i in 0..3 {
        target.release.add_permits(1);
        let frame = answer.frame().await.unwrap().unwrap();
        expect_that!(
            frame.into_data().unwrap().to_vec(),
            eq(format!("chunk{i:03}").as_bytes())
        );
    }
    expect_that!(answer.frame().await.is_none(), eq(true));
}

/// Guards against a cut answer that looks whole.
#[gtest]
#[tokio::test]
async fn cut_answers_are_cut_visibly() {
    for script in [Script::CutLength, Script::CutChunked] {
        let target = Target::start(script).await;
        let (ingress, owner) = pair(target.address, |_| {}).await;
        for port in [ingress.callers, owner.callers] {
            let seen = call(port, request("GET", "/search/1", &[], "")).await;
            expect_that!(seen.status, eq(200));
            expect_that!(seen.body, err(anything()), "{script:?}");
        }
        expect_that!(
            target.count(),
            eq(2),
            "no second try after the head of an answer"
        );
    }
    let target = Target::start(Script::NoFraming).await;
    let (ingress, _owner) = pair(target.address, |_| {}).await;
    let seen = call(ingress.callers, request("POST", "/search/1", &[], "")).await;
    expect_that!(seen.failure(), eq((502, "Ran", "target-failed")));
}

/// Guards against answers that reach another request than their own.
#[gtest]
#[tokio::test]
async fn concurrent_requests_get_their_own_answers() {
    let target = Target::start(Script::Echo).await;
    let (ingress, _owner) = pair(target.address, |_| {}).await;
    let calls = (0..40).map(|i| {
        let path = format!("/search/{i}");
        async move {
            let mut caller = Caller::connect(ingress.callers).await;
            for round in 0..5 {
                let body = format!("{i}/{round}");
                let seen = read(caller.send(request("PUT", &path, &[], body.clone())).await).await;
                let expected = format!("PUT {path} HTTP/1.1\n{body}");
                expect_that!(seen.body, ok(eq(&expected)));
            }
        }
    });
    futures_util::future::join_all(calls).await;
    expect_that!(target.count(), eq(200));
}
