//! The project's own binding: raw values in bodies, revisions in headers.

use http::{Method, StatusCode};
use masticdeal_wire::headers;

use crate::binding::{Answer, Binding, Message, Op, Reply, Watched};
use crate::{Error, Result, Value};

/// The project's own binding.
pub const OWN: Binding = Binding { encode, decode };

fn encode(op: &Op<'_>) -> Message {
    match *op {
        Op::Get { key } => Message::new(Method::GET, format!("/v1/kv/{key}")),
        Op::Swap {
            key,
            expect,
            bytes,
            lease,
        } => {
            let mut headers = vec![(headers::IF_REVISION, expect.to_string())];
            headers.extend(lease.map(|id| (headers::LEASE, id.to_owned())));
            Message {
                headers,
                body: bytes.clone(),
                ..Message::new(Method::PUT, format!("/v1/kv/{key}"))
            }
        }
        Op::Watch { key, after, wait } => {
            let wait_ms = wait.as_millis();
            let path = format!("/v1/watch/{key}?after={after}&wait_ms={wait_ms}");
            Message::new(Method::GET, path)
        }
        Op::LeaseGrant { ttl } => Message::new(
            Method::POST,
            format!("/v1/lease?ttl_ms={}", ttl.as_millis()),
        ),
        Op::LeaseRenew { id } => Message::new(Method::PUT, format!("/v1/lease/{id}")),
        Op::LeaseRevoke { id } => Message::new(Method::DELETE, format!("/v1/lease/{id}")),
    }
}

fn decode(op: &Op<'_>, reply: &Reply) -> Result<Answer> {
    match (op, reply.status) {
        (Op::Get { .. }, StatusCode::OK) => Ok(Answer::Read(watched(reply)?)),
        (Op::Get { .. }, StatusCode::NOT_FOUND) => Ok(Answer::Read(Watched { value: None, at: 0 })),
        (Op::Swap { .. }, StatusCode::OK) => Ok(Answer::Written(revision(reply)?)),
        (Op::Swap { .. }, StatusCode::CONFLICT) => Ok(Answer::Conflict(revision(reply)?)),
        (Op::Watch { .. }, StatusCode::OK) => Ok(Answer::Watched(watched(reply)?)),
        (Op::Watch { after, .. }, StatusCode::NO_CONTENT) => Ok(Answer::Watched(Watched {
            value: None,
            at: *after,
        })),
        (Op::LeaseGrant { .. }, StatusCode::OK) => {
            let id = String::from_utf8(reply.body.to_vec());
            id.map(Answer::Lease)
                .map_err(|_| Error::Malformed("lease id"))
        }
        (
            Op::LeaseRenew { .. } | Op::LeaseRevoke { .. },
            StatusCode::OK | StatusCode::NO_CONTENT,
        ) => Ok(Answer::LeaseLived(true)),
        (Op::LeaseRenew { .. } | Op::LeaseRevoke { .. }, StatusCode::NOT_FOUND) => {
            Ok(Answer::LeaseLived(false))
        }
        _ => reply.unexpected(),
    }
}

fn watched(reply: &Reply) -> Result<Watched> {
    let value = Value {
        revision: revision(reply)?,
        bytes: reply.body.clone(),
    };
    Ok(Watched {
        at: value.revision,
        value: Some(value),
    })
}

fn revision(reply: &Reply) -> Result<u64> {
    let text = reply.headers.get(headers::REVISION);
    let text = text.and_then(|v| v.to_str().ok());
    text.and_then(|v| v.parse().ok())
        .ok_or(Error::Malformed("no revision"))
}
