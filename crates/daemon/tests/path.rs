//! Requests and responses on their path through two daemons and a target.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Caller, Script, Target, call, read, request, start_pair, wait_until};
use googletest::prelude::*;
use http_body_util::BodyExt;
use masticdeal_wire::target::AnnouncedState;

/// Guards against lost or altered parts of a request or a response, and against the daemons' own
/// headers being forged by a caller or a target.
#[gtest]
#[tokio::test]
async fn requests_and_responses_pass_unchanged() {
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    for address in [ingress.caller_address, owner.caller_address] {
        let headers = [
            ("x-request-id", "id-1"),
            ("x-masticdeal-epoch", "99"),
            ("x-masticdeal-served-by", "forged"),
            ("x-masticdeal-deadline-ms", "1500"),
            ("connection", "x-secret"),
            ("x-secret", "1"),
            ("x-own", "kept"),
        ];
        let response = call(
            address,
            request("PUT", "/search/4711?a=b", &headers, "body"),
        )
        .await;
        expect_that!(response.status, eq(200));
        expect_that!(response.body, ok(eq("PUT /search/4711?a=b HTTP/1.1\nbody")));
        expect_that!(response.header("got-x-own"), eq("kept"));
        expect_that!(response.header("got-x-request-id"), eq("id-1"));
        expect_that!(response.header("got-x-masticdeal-epoch"), eq("7"));
        expect_that!(response.header("got-x-masticdeal-shard"), not(eq("")));
        let remaining_ms: u32 = response
            .header("got-x-masticdeal-deadline-ms")
            .parse()
            .unwrap();
        expect_that!(remaining_ms, le(1500));
        expect_that!(response.header("got-traceparent"), starts_with("00-"));
        expect_that!(response.header("x-masticdeal-served-by"), eq("vm-1"));
        for absent in [
            "got-x-masticdeal-served-by",
            "got-x-secret",
            "got-connection",
            "x-masticdeal-load",
            "x-private",
        ] {
            expect_that!(response.header(absent), eq(""), "{absent} is absent");
        }
    }
}

/// Guards against buffering: each chunk must reach the caller before the target sends the next one.
#[gtest]
#[tokio::test]
async fn responses_are_streamed() {
    let target = Target::start(Script::Chunks(3)).await;
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
    let mut caller = Caller::connect(ingress.caller_address).await;
    let mut response = caller.send(request("GET", "/search/1", &[], "")).await;
    for i in 0..3 {
        target.release.add_permits(1);
        let frame = response.frame().await.unwrap().unwrap();
        expect_that!(
            frame.into_data().unwrap().to_vec(),
            eq(format!("chunk{i:03}").as_bytes())
        );
    }
    expect_that!(response.frame().await.is_none(), eq(true));
}

/// Guards against bodies that stall at a flow-control window, against a request body that differs
/// between two attempts, and against a second attempt for a body that is too long to be buffered.
#[gtest]
#[tokio::test]
async fn bodies_of_all_sizes_are_complete() {
    let target = Target::start(Script::Echo).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    for size in [0, 1, 16_000, 70_000, 3_000_000] {
        let body: String = ('a'..='z').cycle().take(size).collect();
        for address in [ingress.caller_address, owner.caller_address] {
            let response = call(address, request("POST", "/search/1", &[], body.clone())).await;
            let is_complete = response.body == Ok(format!("POST /search/1 HTTP/1.1\n{body}"));
            expect_that!(is_complete, eq(true), "body of {size} bytes");
        }
    }
    let target = Target::start(Script::RefuseOnce).await;
    owner.announce(target.address, 2, AnnouncedState::Ready);
    let response = call(
        ingress.caller_address,
        request("POST", "/search/1", &[], "x".repeat(16_000)),
    )
    .await;
    let expected = format!("POST /search/1 HTTP/1.1\n{}", "x".repeat(16_000));
    expect_that!(
        response.body == Ok(expected),
        eq(true),
        "the second attempt sends the complete body"
    );
    expect_that!(target.request_count(), eq(2));
    let target = Target::start(Script::RefuseOnce).await;
    owner.announce(target.address, 2, AnnouncedState::Ready);
    let response = call(
        ingress.caller_address,
        request("POST", "/search/1", &[], "x".repeat(600_000)),
    )
    .await;
    expect_that!(
        response.status_verdict_reason(),
        eq((503, "NotRun", "target-refused"))
    );
    expect_that!(
        target.request_count(),
        eq(1),
        "a long body is sent only once"
    );
}

/// Guards against responses without a body that are treated as truncated. Only a response to HEAD
/// must keep its `content-length` (RFC 9110, section 8.6); the HTTP library drops it from a 304
/// response to GET.
#[gtest]
#[tokio::test]
async fn responses_without_a_body_are_complete() {
    let target = Target::start(Script::NotModified).await;
    let (ingress, owner) = start_pair(target.address, |_| {}).await;
    for address in [ingress.caller_address, owner.caller_address] {
        for method in ["HEAD", "GET"] {
            let response = call(address, request(method, "/search/1", &[], "")).await;
            expect_that!(response.status, eq(304));
            expect_that!(response.body, ok(eq("")));
            if method == "HEAD" {
                expect_that!(response.header("content-length"), eq("5"));
            }
        }
    }
}

/// Guards against reusing a connection that the target has closed, and against running a request
/// again that was sent on such a connection and may have run.
#[gtest]
#[tokio::test]
async fn closed_target_connections_are_not_reused() {
    let target = Target::start(Script::EchoAndClose).await;
    let (_ingress, owner) = start_pair(target.address, |_| {}).await;
    for _ in 0..5 {
        let closed_before = target.closed_connections.load(Ordering::SeqCst);
        let response = call(owner.caller_address, request("POST", "/search/1", &[], "")).await;
        expect_that!(response.status, eq(200));
        wait_until(|| target.closed_connections.load(Ordering::SeqCst) > closed_before).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    *target.script.lock().unwrap() = Script::Echo;
    call(owner.caller_address, request("POST", "/search/1", &[], "")).await;
    *target.script.lock().unwrap() = Script::CloseAfterRead;
    let response = call(owner.caller_address, request("POST", "/search/1", &[], "")).await;
    expect_that!(
        response.status_verdict_reason(),
        eq((502, "MayHaveRun", "target-failed"))
    );
    expect_that!(target.request_count(), eq(7));
}

/// Guards against HTTP/2 callers that get no response, or cannot detect a truncated one.
#[gtest]
#[tokio::test]
async fn callers_can_use_http2() {
    let target = Target::start(Script::Echo).await;
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
    let stream = tokio::net::TcpStream::connect(ingress.caller_address)
        .await
        .unwrap();
    let (mut send, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    for (script, expect_complete) in [(Script::Echo, true), (Script::TruncatedChunked, false)] {
        *target.script.lock().unwrap() = script;
        let request = http::Request::get("http://a.test/search/1")
            .body(())
            .unwrap();
        let (response, _) = send.send_request(request, true).unwrap();
        let response = response.await.unwrap();
        expect_that!(response.status().as_u16(), eq(200));
        if expect_complete {
            expect_that!(response.headers()["got-host"].as_bytes(), eq(b"a.test"));
        }
        let mut body = response.into_body();
        let is_complete = loop {
            match body.data().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(_)) => {}
            }
        };
        expect_that!(is_complete, eq(expect_complete), "{script:?}");
    }
}

/// Guards against a truncated response that looks complete.
#[gtest]
#[tokio::test]
async fn truncated_responses_are_detectable() {
    for script in [Script::TruncatedLength, Script::TruncatedChunked] {
        let target = Target::start(script).await;
        let (ingress, owner) = start_pair(target.address, |_| {}).await;
        for address in [ingress.caller_address, owner.caller_address] {
            let response = call(address, request("GET", "/search/1", &[], "")).await;
            expect_that!(response.status, eq(200));
            expect_that!(response.body, err(anything()), "{script:?}");
        }
        expect_that!(
            target.request_count(),
            eq(2),
            "no second attempt after a response head"
        );
    }
    let target = Target::start(Script::CloseDelimited).await;
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
    let response = call(
        ingress.caller_address,
        request("POST", "/search/1", &[], ""),
    )
    .await;
    expect_that!(
        response.status_verdict_reason(),
        eq((502, "Ran", "target-failed"))
    );
}

/// Guards against a response that is returned to the caller of another request.
#[gtest]
#[tokio::test]
async fn concurrent_requests_get_their_own_responses() {
    let target = Target::start(Script::Echo).await;
    let (ingress, _owner) = start_pair(target.address, |_| {}).await;
    let calls = (0..40).map(|i| {
        let path = format!("/search/{i}");
        async move {
            let mut caller = Caller::connect(ingress.caller_address).await;
            for round in 0..5 {
                let body = format!("{i}/{round}");
                let response =
                    read(caller.send(request("PUT", &path, &[], body.clone())).await).await;
                let expected = format!("PUT {path} HTTP/1.1\n{body}");
                expect_that!(response.body, ok(eq(&expected)));
            }
        }
    });
    futures_util::future::join_all(calls).await;
    expect_that!(target.request_count(), eq(200));
}
