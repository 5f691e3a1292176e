//! The path of a request through two daemons and a target.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Caller, Script, Target, call, read, request, start_pair, wait_until};
use googletest::prelude::*;
use http_body_util::BodyExt;
use masticdeal_wire::target::AnnouncedState;

/// Guards against lost or altered parts of a request or an answer on the way, and against control
/// headers that a caller or a target forges.
#[gtest]
#[tokio::test]
async fn request_and_answer_pass_unchanged() {
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    for port in [ingress.callers, owner.callers] {
        let headers = [
            ("x-request-id", "id-1"),
            ("x-masticdeal-epoch", "99"),
            ("x-masticdeal-served-by", "forged"),
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
            "got-x-masticdeal-served-by",
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
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
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

/// Guards against bodies that stop at a flow-control window, and against a request body that is
/// lost or altered between two attempts.
#[gtest]
#[tokio::test]
async fn bodies_of_all_sizes_pass_whole() {
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    for size in [0, 1, 16_000, 70_000, 3_000_000] {
        let body: String = ('a'..='z').cycle().take(size).collect();
        for port in [ingress.callers, owner.callers] {
            let seen = call(port, request("POST", "/search/1", &[], body.clone())).await;
            let whole = seen.body == Ok(format!("POST /search/1 HTTP/1.1\n{body}"));
            expect_that!(whole, eq(true), "{size}");
        }
    }
    let target = Target::start(Script::RefuseOnce).await;
    owner.announce(target.address, 2, AnnouncedState::Ready);
    let seen = call(
        ingress.callers,
        request("POST", "/search/1", &[], "x".repeat(16_000)),
    )
    .await;
    let expected = format!("POST /search/1 HTTP/1.1\n{}", "x".repeat(16_000));
    expect_that!(
        seen.body == Ok(expected),
        eq(true),
        "the second attempt has the whole body"
    );
    expect_that!(target.count(), eq(2));
    let target = Target::start(Script::RefuseOnce).await;
    owner.announce(target.address, 2, AnnouncedState::Ready);
    let seen = call(
        ingress.callers,
        request("POST", "/search/1", &[], "x".repeat(600_000)),
    )
    .await;
    expect_that!(seen.failure(), eq((503, "NotRun", "target-refused")));
    expect_that!(target.count(), eq(1), "a long body is sent once only");
}

/// Guards against answers without a body that are taken for cut ones. Only an answer to HEAD must
/// keep its length (RFC 9110, section 8.6); the HTTP library drops that of a 304 to GET.
#[gtest]
#[tokio::test]
async fn answers_without_a_body() {
    let target = Target::start(Script::Bodiless).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    for port in [ingress.callers, owner.callers] {
        for method in ["HEAD", "GET"] {
            let seen = call(port, request(method, "/search/1", &[], "")).await;
            expect_that!(seen.status, eq(304));
            expect_that!(seen.body, ok(eq("")));
            if method == "HEAD" {
                expect_that!(seen.header("content-length"), eq("5"));
            }
        }
    }
}

/// Guards against a target's connection that is reused after it has closed, and against a second
/// run of a request that such a connection may have carried.
#[gtest]
#[tokio::test]
async fn reused_target_connections() {
    let target = Target::start(Script::EchoAndClose).await;
    let (_ingress, owner) = start_pair(target.address, |_| {}).await;
    for _ in 0..5 {
        let closed = target.closed.load(Ordering::SeqCst);
        let seen = call(owner.callers, request("POST", "/search/1", &[], "")).await;
        expect_that!(seen.status, eq(200));
        wait_until(|| target.closed.load(Ordering::SeqCst) > closed).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    *target.script.lock().unwrap() = Script::Echo;
    call(owner.callers, request("POST", "/search/1", &[], "")).await;
    *target.script.lock().unwrap() = Script::CloseAfterRead;
    let seen = call(owner.callers, request("POST", "/search/1", &[], "")).await;
    expect_that!(seen.failure(), eq((502, "MayHaveRun", "target-failed")));
    expect_that!(target.count(), eq(7));
}

/// Guards against callers with HTTP/2 being served worse: own answers, cut answers, verdicts.
#[gtest]
#[tokio::test]
async fn callers_may_use_h2() {
    let target = Target::start(Script::Echo).await;
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
    let stream = tokio::net::TcpStream::connect(ingress.callers)
        .await
        .unwrap();
    let (mut send, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    for (script, is_whole) in [(Script::Echo, true), (Script::CutChunked, false)] {
        *target.script.lock().unwrap() = script;
        let request = http::Request::get("http://a.test/search/1")
            .body(())
            .unwrap();
        let (response, _) = send.send_request(request, true).unwrap();
        let response = response.await.unwrap();
        expect_that!(response.status().as_u16(), eq(200));
        if is_whole {
            expect_that!(response.headers()["got-host"].as_bytes(), eq(b"a.test"));
        }
        let mut body = response.into_body();
        let whole = loop {
            match body.data().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(_)) => {}
            }
        };
        expect_that!(whole, eq(is_whole), "{script:?}");
    }
}

/// Guards against a cut answer that looks whole.
#[gtest]
#[tokio::test]
async fn cut_answers_are_cut_visibly() {
    for script in [Script::CutLength, Script::CutChunked] {
        let target = Target::start(script).await;
        let (ingress, owner) = start_pair(target.address, |_| {}).await;
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
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
    let seen = call(ingress.callers, request("POST", "/search/1", &[], "")).await;
    expect_that!(seen.failure(), eq((502, "Ran", "target-failed")));
}

/// Guards against answers that reach another request than their own.
#[gtest]
#[tokio::test]
async fn concurrent_requests_get_their_own_answers() {
    let target = Target::start(Script::Echo).await;
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
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
