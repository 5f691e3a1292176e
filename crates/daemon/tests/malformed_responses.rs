//! Targets whose responses violate the message format, or leave their framing in doubt.

mod common;

use std::time::Duration;

use common::{
    Caller, FaultyTarget, Step, identifying_protocol, read, request, start_pair_with_protocol,
};
use googletest::prelude::*;

/// How the target ends its response.
#[derive(Debug, Clone, Copy)]
enum End {
    Keep,
    Close,
    Reset,
}

/// What the caller may get.
enum Expected {
    /// The target's response with this status and body.
    Whole(u16, &'static str),
    /// A failure with the verdict `MayHaveRun`, a truncated body or a closed connection.
    Failed,
}

use End::{Close, Keep, Reset};
use Expected::{Failed, Whole};

/// A response. `text` follows its status line, its id and its signature.
struct Row {
    name: &'static str,
    method: &'static str,
    status_line: &'static str,
    text: &'static str,
    end: End,
    expected: Expected,
}

const OK: &str = "HTTP/1.1 200 OK";
const OK_1_0: &str = "HTTP/1.0 200 OK";

const fn row(name: &'static str, text: &'static str, end: End, expected: Expected) -> Row {
    Row {
        name,
        method: "POST",
        status_line: OK,
        text,
        end,
        expected,
    }
}

const fn status_row(
    name: &'static str,
    status_line: &'static str,
    text: &'static str,
    end: End,
    expected: Expected,
) -> Row {
    Row {
        status_line,
        ..row(name, text, end, expected)
    }
}

const HELLO: Expected = Whole(200, "hello world!");

fn rows() -> Vec<Row> {
    vec![
        row(
            "folded header",
            " folded\r\ncontent-length: 12\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "space before the colon",
            "content-length : 12\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row("no blank line", "content-length: 0\r\n", Close, Failed),
        row(
            "no blank line, reset",
            "content-length: 0\r\n",
            Reset,
            Failed,
        ),
        row(
            "header without colon",
            "content-length: 12\r\nx\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "equal lengths",
            "content-length: 12\r\ncontent-length: 12\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "list of equal lengths",
            "content-length: 12, 12\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "different lengths",
            "content-length: 12\r\ncontent-length: 5\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "different lengths, smaller one first",
            "content-length: 0\r\ncontent-length: 12\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "list of different lengths",
            "content-length: 12, 5\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "signed length",
            "content-length: +12\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
        row(
            "negative length",
            "content-length: -1\r\n\r\n",
            Keep,
            Failed,
        ),
        row("empty length", "content-length: \r\n\r\n", Close, Failed),
        row(
            "length above 64 bits",
            "content-length: 99999999999999999999\r\n\r\nhello world!",
            Close,
            Failed,
        ),
        row(
            "length above the body",
            "content-length: 13\r\n\r\nhello world!",
            Close,
            Failed,
        ),
        row(
            "length above the body, reset",
            "content-length: 13\r\n\r\nhello world!",
            Reset,
            Failed,
        ),
        row(
            "length without a body",
            "content-length: 12\r\n\r\n",
            Close,
            Failed,
        ),
        row("no length, closed", "\r\nhello world!", Close, HELLO),
        row("no length, reset", "\r\nhello world!", Reset, Failed),
        row("no length and no body, reset", "\r\n", Reset, Failed),
        row(
            "both framings",
            "transfer-encoding: chunked\r\ncontent-length: 12\r\n\r\nc\r\nhello world!\r\n0\r\n\r\n",
            Keep,
            HELLO,
        ),
        row(
            "both framings, cut before the last chunk",
            "content-length: 12\r\ntransfer-encoding: chunked\r\n\r\nc\r\nhello world!\r\n",
            Close,
            Failed,
        ),
        row(
            "both framings, body of the length",
            "content-length: 12\r\ntransfer-encoding: chunked\r\n\r\nhello world!",
            Close,
            Failed,
        ),
        row(
            "encoding other than chunked",
            "transfer-encoding: gzip\r\n\r\nhello world!",
            Close,
            Failed,
        ),
        row(
            "encoding other than chunked, with a length",
            "transfer-encoding: gzip\r\ncontent-length: 12\r\n\r\nhello world!",
            Close,
            Failed,
        ),
        row(
            "encoding before chunked",
            "transfer-encoding: gzip, chunked\r\n\r\nc\r\nhello world!\r\n0\r\n\r\n",
            Keep,
            Failed,
        ),
        row(
            "encoding after chunked",
            "transfer-encoding: chunked, gzip\r\n\r\nc\r\nhello world!\r\n0\r\n\r\n",
            Close,
            Failed,
        ),
        row(
            "encoding in two headers",
            "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n\
             c\r\nhello world!\r\n0\r\n\r\n",
            Keep,
            Failed,
        ),
        row(
            "chunked in other case",
            "transfer-encoding: Chunked\r\n\r\nc\r\nhello world!\r\n0\r\n\r\n",
            Keep,
            HELLO,
        ),
        row(
            "no last chunk",
            "transfer-encoding: chunked\r\n\r\nc\r\nhello world!\r\n",
            Close,
            Failed,
        ),
        row(
            "chunk longer than its size",
            "transfer-encoding: chunked\r\n\r\n5\r\nhello world!\r\n0\r\n\r\n",
            Keep,
            Failed,
        ),
        row(
            "chunk size that is no number",
            "transfer-encoding: chunked\r\n\r\nxyz\r\nhello world!\r\n0\r\n\r\n",
            Keep,
            Failed,
        ),
        row(
            "chunk size above 64 bits",
            "transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello world!\r\n0\r\n\r\n",
            Keep,
            Failed,
        ),
        row(
            "trailers",
            "transfer-encoding: chunked\r\n\r\nc\r\nhello world!\r\n0\r\nx-a: b\r\n\r\n",
            Keep,
            HELLO,
        ),
        row(
            "trailers, cut",
            "transfer-encoding: chunked\r\n\r\nc\r\nhello world!\r\n0\r\nx-a: b\r\n",
            Close,
            Failed,
        ),
        row(
            "trailers, cut within a name",
            "transfer-encoding: chunked\r\n\r\nc\r\nhello world!\r\n0\r\nx-",
            Reset,
            Failed,
        ),
        row(
            "trailers that are no header",
            "transfer-encoding: chunked\r\n\r\nc\r\nhello world!\r\n0\r\nx\r\n\r\n",
            Keep,
            Failed,
        ),
        status_row(
            "HTTP/1.0",
            OK_1_0,
            "content-length: 12\r\n\r\nhello world!",
            Close,
            HELLO,
        ),
        status_row(
            "HTTP/1.0, no length",
            OK_1_0,
            "\r\nhello world!",
            Close,
            HELLO,
        ),
        status_row(
            "HTTP/1.0, no length, reset",
            OK_1_0,
            "\r\nhello world!",
            Reset,
            Failed,
        ),
        status_row(
            "HTTP/1.0, length above the body",
            OK_1_0,
            "content-length: 13\r\n\r\nhello world!",
            Close,
            Failed,
        ),
        status_row(
            "HTTP/1.0, chunked",
            OK_1_0,
            "transfer-encoding: chunked\r\n\r\nc\r\nhello world!\r\n0\r\n\r\n",
            Close,
            Failed,
        ),
        status_row(
            "HTTP/2.0",
            "HTTP/2.0 200 OK",
            "content-length: 0\r\n\r\n",
            Keep,
            Failed,
        ),
        status_row(
            "version in lower case",
            "http/1.1 200 OK",
            "\r\n",
            Close,
            Failed,
        ),
        status_row("two-digit status", "HTTP/1.1 20 OK", "\r\n", Close, Failed),
        status_row(
            "four-digit status",
            "HTTP/1.1 2000 OK",
            "\r\n",
            Close,
            Failed,
        ),
        status_row(
            "switch of protocols",
            "HTTP/1.1 101 Switching Protocols",
            "upgrade: other\r\nconnection: upgrade\r\n\r\nbytes of another protocol",
            Keep,
            Failed,
        ),
        status_row(
            "interim response in place of the final one",
            "HTTP/1.1 103 Early Hints",
            "content-length: 0\r\n\r\n",
            Close,
            Failed,
        ),
        status_row(
            "204",
            "HTTP/1.1 204 No Content",
            "\r\n",
            Keep,
            Whole(204, ""),
        ),
        status_row(
            "204 with a length",
            "HTTP/1.1 204 No Content",
            "content-length: 12\r\n\r\n",
            Keep,
            Whole(204, ""),
        ),
        status_row(
            "204, cut",
            "HTTP/1.1 204 No Content",
            "content-le",
            Close,
            Failed,
        ),
        status_row(
            "304 with a length",
            "HTTP/1.1 304 Not Modified",
            "content-length: 12\r\n\r\n",
            Keep,
            Whole(304, ""),
        ),
        status_row(
            "304, cut",
            "HTTP/1.1 304 Not Modified",
            "content-length: 1",
            Close,
            Failed,
        ),
        Row {
            method: "HEAD",
            ..row("HEAD", "content-length: 12\r\n\r\n", Keep, Whole(200, ""))
        },
        Row {
            method: "HEAD",
            ..row("HEAD, cut", "content-length: 12\r\n", Close, Failed)
        },
        Row {
            method: "HEAD",
            ..row("HEAD, reset", "content-length: 12\r\n", Reset, Failed)
        },
        row(
            "head cut within a value, then another response",
            "x-a: bHTTP/1.1 503 No\r\nx-request-id: {id}\r\ncontent-length: 0\r\n\r\n",
            Keep,
            Failed,
        ),
        row(
            "success that claims not to have run",
            "x-masticdeal-verdict: NotRun\r\ncontent-length: 12\r\n\r\nhello world!",
            Keep,
            Failed,
        ),
    ]
}

/// Guards against a response of doubtful framing that looks complete, and against a verdict
/// `NotRun` after it.
#[gtest]
#[tokio::test]
async fn malformed_response_does_not_look_complete() {
    for row in rows() {
        let (status_line, text, end) = (row.status_line, row.text, row.end);
        let target = FaultyTarget::start(move |_, _, _| {
            let head = format!("{status_line}\r\nx-request-id: {{id}}\r\nx-signature: s\r\n");
            // Without the pause, a reset would also discard the bytes before it.
            let pause = Step::Wait(Duration::from_millis(2));
            let mut steps = vec![Step::Send(head + text), pause];
            match end {
                Keep => {}
                Close => steps.push(Step::Close),
                Reset => steps.push(Step::Reset),
            }
            steps
        })
        .await;
        let (ingress, owner) =
            start_pair_with_protocol(target.address, identifying_protocol, |_| {}).await;
        for address in [ingress.caller_address, owner.caller_address] {
            let headers = [("x-masticdeal-deadline-ms", "500")];
            let request = request(row.method, "/search/1", &headers, "");
            let mut caller = Caller::connect(address).await;
            let response = match caller.0.send_request(request).await {
                Ok(response) => Some(read(response).await),
                Err(_) => None,
            };
            let name = format!("{} ingress={}", row.name, address == ingress.caller_address);
            let end = response.as_ref().map(|r| {
                let (status, verdict, _) = r.status_verdict_reason();
                (status, verdict, r.body.as_deref().ok())
            });
            let is_expected = match (&row.expected, end) {
                (Whole(status, body), Some(end)) => end == (*status, "", Some(*body)),
                (Whole(..), None) => false,
                (Failed, Some((200, _, body))) => body.is_none(),
                (Failed, Some((502 | 504, verdict, _))) => verdict == "MayHaveRun",
                (Failed, Some(_)) => false,
                (Failed, None) => true,
            };
            expect_that!(is_expected, eq(true), "{name}: ended with {end:?}");
        }
        if row.method == "POST" {
            expect_that!(target.requests().len(), eq(2), "{}", row.name);
        }
    }
}
