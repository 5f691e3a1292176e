//! Native wire format of the store: raw values in bodies, revisions in headers.

use http::{Method, StatusCode};
use masticdeal_wire::headers;

use crate::binding::{Binding, HttpRequest, HttpResponse, Op, OpReply, ReadResult};
use crate::{Error, Result, Value};

/// The native wire format.
pub const NATIVE_BINDING: Binding = Binding {
    encode,
    decode,
    era,
};

fn encode(op: &Op<'_>) -> HttpRequest {
    match *op {
        Op::Get { key } => HttpRequest::new(Method::GET, format!("/v1/kv/{key}")),
        Op::Swap {
            key,
            expected,
            bytes,
            lease,
        } => {
            let mut headers = vec![(headers::IF_REVISION, expected.revision.to_string())];
            headers.extend(lease.map(|id| (headers::LEASE, id.to_owned())));
            HttpRequest {
                headers,
                body: bytes.clone(),
                ..HttpRequest::new(Method::PUT, format!("/v1/kv/{key}"))
            }
        }
        Op::Watch {
            key,
            after_revision,
            wait,
        } => {
            let wait_ms = wait.as_millis();
            let path = format!("/v1/watch/{key}?after={after_revision}&wait_ms={wait_ms}");
            HttpRequest::new(Method::GET, path)
        }
        // The format has no calls for prefixes: a store answers them with 404.
        Op::Range { prefix, .. } | Op::WatchPrefix { prefix, .. } => {
            HttpRequest::new(Method::GET, format!("/v1/prefix/{prefix}"))
        }
        Op::LeaseGrant { ttl } => HttpRequest::new(
            Method::POST,
            format!("/v1/lease?ttl_ms={}", ttl.as_millis()),
        ),
        Op::LeaseRenew { id } => HttpRequest::new(Method::PUT, format!("/v1/lease/{id}")),
        Op::LeaseRevoke { id } => HttpRequest::new(Method::DELETE, format!("/v1/lease/{id}")),
    }
}

fn decode(op: &Op<'_>, response: &HttpResponse) -> Result<OpReply> {
    match (op, response.status) {
        (Op::Get { .. }, StatusCode::OK) => Ok(OpReply::Read(read_result(response)?)),
        (Op::Get { .. }, StatusCode::NOT_FOUND) => Ok(OpReply::Read(ReadResult {
            value: None,
            watch_revision: 0,
            era: era(response),
        })),
        (Op::Swap { .. }, StatusCode::OK) => Ok(OpReply::Written(revision_header(response)?)),
        (Op::Swap { .. }, StatusCode::CONFLICT) => {
            Ok(OpReply::Conflict(revision_header(response)?))
        }
        (Op::Watch { .. }, StatusCode::OK) => Ok(OpReply::Watched(read_result(response)?)),
        (Op::Watch { after_revision, .. }, StatusCode::NO_CONTENT) => {
            Ok(OpReply::Watched(ReadResult {
                value: None,
                watch_revision: *after_revision,
                era: era(response),
            }))
        }
        (Op::LeaseGrant { .. }, StatusCode::OK) => {
            let id = String::from_utf8(response.body.to_vec());
            id.map(OpReply::LeaseGranted)
                .map_err(|_| Error::Malformed("lease id is not valid UTF-8"))
        }
        (
            Op::LeaseRenew { .. } | Op::LeaseRevoke { .. },
            StatusCode::OK | StatusCode::NO_CONTENT,
        ) => Ok(OpReply::LeaseExisted(true)),
        (Op::LeaseRenew { .. } | Op::LeaseRevoke { .. }, StatusCode::NOT_FOUND) => {
            Ok(OpReply::LeaseExisted(false))
        }
        _ => response.unexpected_status(),
    }
}

fn read_result(response: &HttpResponse) -> Result<ReadResult> {
    let value = Value {
        revision: revision_header(response)?,
        bytes: response.body.clone(),
    };
    Ok(ReadResult {
        watch_revision: value.revision,
        value: Some(value),
        era: era(response),
    })
}

fn era(response: &HttpResponse) -> u64 {
    number_header(response, headers::STORE_ERA).unwrap_or(0)
}

fn revision_header(response: &HttpResponse) -> Result<u64> {
    number_header(response, headers::REVISION).ok_or(Error::Malformed("no revision"))
}

fn number_header(response: &HttpResponse, name: &str) -> Option<u64> {
    response.headers.get(name)?.to_str().ok()?.parse().ok()
}
