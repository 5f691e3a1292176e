//! Client side of `/forward`: sends a request to the owner's daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use http::StatusCode;
use http_body::Body as _;
use masticdeal_policy::Verdict;
use masticdeal_policy::attempts::Fate;
use masticdeal_wire::format::Format;
use masticdeal_wire::peer::{ForwardReply, Reason};
use masticdeal_wire::{codec, headers};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::client::Peers;
use super::link::PeerConnection;
use super::query::QUERY_TIMEOUT;
use super::sent_attempts::SentAttempt;
use super::stream::{self, StreamBody};
use crate::exchange::{
    Body, BodyError, Failure, Outcome, Request, TargetResponse, final_status, to_wire_ms,
};
use crate::telemetry::metrics::observe_duration;

/// Extra wait after the deadline for the owner's own verdict, which is more precise than the
/// verdict of a time-out.
const VERDICT_GRACE: Duration = Duration::from_millis(20);

impl Peers {
    /// Sends a request to the owner's daemon. Dropping the future or the response body cancels the
    /// request there.
    pub async fn forward(self: &Arc<Self>, peer: SocketAddr, request: Request) -> Outcome {
        let now = self.node.clock.now();
        let remaining = request.deadline.saturating_sub(now);
        let opened = timeout(remaining, self.ready_connection(peer)).await;
        let (connection, send, format) = match opened {
            Err(_) => return Failure::not_run(Reason::Deadline).into(),
            Ok(Err(_)) => return Failure::not_run(Reason::PeerFailed).into(),
            Ok(Ok(ready)) => ready,
        };
        self.exchange(connection, send, format, request)
            .await
            .unwrap_or_else(Outcome::Failed)
    }

    async fn ready_connection(
        self: &Arc<Self>,
        peer: SocketAddr,
    ) -> Result<(Arc<PeerConnection>, h2::client::SendRequest<Bytes>, Format), super::Error> {
        let connection = self.forward_connection(peer).await?;
        let format = self.format(peer, &connection).await;
        let send = connection
            .send
            .clone()
            .ready()
            .await
            .map_err(super::Error::from_h2)?;
        Ok((connection, send, format))
    }

    async fn exchange(
        &self,
        connection: Arc<PeerConnection>,
        mut send: h2::client::SendRequest<Bytes>,
        format: Format,
        mut request: Request,
    ) -> Result<Outcome, Failure> {
        let start = self.node.clock.now();
        let remaining = request.deadline.saturating_sub(start);
        request.head.deadline_ms = to_wire_ms(remaining);
        let mut attempt = connection.attempts.begin(request.head.idempotent);
        request.head.attempt = Some(attempt.id);
        let frame = codec::encode_as(format, &request.head)
            .map_err(|_| Failure::not_run(Reason::TooLarge))?;
        let guard = connection.outstanding.track();
        let sent = SentRequest {
            written_before: connection.counts.written(),
            connection,
        };
        let (response, mut body) = send
            .send_request(self.request(headers::PATH_FORWARD, format), false)
            .map_err(|_| Failure::not_run(Reason::PeerFailed))?;
        let end_of_stream = request.body.is_end_stream();
        body.send_data(frame, end_of_stream)
            .map_err(|e| sent.failure(&e))?;
        let upload = Upload::start(request.body, body, end_of_stream);
        let head = tokio::select! {
            head = timeout(remaining + VERDICT_GRACE, read_response_head(format, response)) => head,
            fate = attempt.decided() => {
                return Err(Failure::new(fate_verdict(fate), Reason::Silent));
            }
        };
        let head = head.map_err(|_| Failure::may_have_run(Reason::Deadline))?;
        let (reply, buffered, stream) = match head {
            Ok(head) => head,
            Err(e) => return Err(sent.settled_failure(e, &mut attempt).await),
        };
        drop(attempt);
        observe_duration(
            &self.node.metrics.hop_time,
            self.node.clock.now().saturating_sub(start),
        );
        let id = &request.head.request_id;
        Ok(to_outcome(
            id,
            reply,
            buffered,
            stream,
            (guard, upload, sent),
        ))
    }
}

/// Statuses with which a daemon refuses a request before it runs. Any other one proves nothing.
const REFUSALS: [StatusCode; 3] = [
    StatusCode::BAD_REQUEST,
    StatusCode::UNAUTHORIZED,
    StatusCode::NOT_FOUND,
];

/// A request that was handed over to a connection.
struct SentRequest {
    connection: Arc<PeerConnection>,
    written_before: u64,
}

impl SentRequest {
    fn failure(&self, e: &h2::Error) -> Failure {
        let unwritten = self.connection.counts.written() == self.written_before;
        let reason = if self.connection.was_silent() {
            Reason::Silent
        } else {
            Reason::PeerFailed
        };
        let verdict = if unwritten || proves_not_run(e) {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        Failure::new(verdict, reason)
    }

    /// Returns the failure of a request without a response. If the connection has ended, waits for
    /// the peer's answer to the query about its requests.
    async fn settled_failure(&self, e: HeadError, attempt: &mut SentAttempt) -> Failure {
        let has_ended = matches!(&e, HeadError::Stream(stream::Error::Stream(e))
            if e.is_io() || e.is_go_away());
        let failure = self.head_failure(e);
        if !has_ended || failure.verdict == Verdict::NotRun {
            return failure;
        }
        match timeout(QUERY_TIMEOUT, attempt.decided()).await {
            Ok(Fate::NotRun) => Failure::not_run(failure.reason),
            _ => failure,
        }
    }

    fn head_failure(&self, e: HeadError) -> Failure {
        match e {
            HeadError::Refused => Failure::not_run(Reason::PeerFailed),
            HeadError::Stream(stream::Error::Stream(e)) => self.failure(&e),
            HeadError::UnknownStatus | HeadError::Stream(_) => {
                Failure::may_have_run(Reason::Malformed)
            }
        }
    }
}

fn fate_verdict(fate: Fate) -> Verdict {
    match fate {
        Fate::NotRun => Verdict::NotRun,
        Fate::Wait | Fate::MayHaveRun => Verdict::MayHaveRun,
    }
}

/// Returns whether the error proves that the peer did not process the stream: the peer refused the
/// stream, or sent a GOAWAY whose last stream is below it. A GOAWAY with an error code is no proof,
/// because it also ends streams that were processed.
fn proves_not_run(e: &h2::Error) -> bool {
    let refused = e.is_reset() && e.reason() == Some(h2::Reason::REFUSED_STREAM);
    let above_last = e.is_go_away() && e.reason() == Some(h2::Reason::NO_ERROR);
    e.is_remote() && (refused || above_last)
}

enum HeadError {
    Refused,
    UnknownStatus,
    Stream(stream::Error),
}

async fn read_response_head(
    format: Format,
    response: ResponseFuture,
) -> Result<(ForwardReply, Bytes, RecvStream), HeadError> {
    let response = response.await.map_err(|e| HeadError::Stream(e.into()))?;
    match response.status() {
        StatusCode::OK => {}
        s if REFUSALS.contains(&s) => return Err(HeadError::Refused),
        _ => return Err(HeadError::UnknownStatus),
    }
    let mut stream = response.into_body();
    let (reply, buffered) = stream::read_message(format, &mut stream)
        .await
        .map_err(HeadError::Stream)?;
    Ok((reply, buffered, stream))
}

fn to_outcome(
    id: &str,
    reply: ForwardReply,
    buffered: Bytes,
    stream: RecvStream,
    resources: impl Send + 'static,
) -> Outcome {
    match reply {
        ForwardReply::Response {
            status,
            headers,
            load,
        } => {
            // A daemon of an earlier version passes on any status of its target.
            let Some(status) = final_status(status) else {
                log::warn!(id, status; "peer passed on a target's response with an invalid status");
                let failure = Failure::may_have_run(Reason::TargetFailed);
                return Outcome::Failed(Failure { load, ..failure });
            };
            let body = StreamBody::boxed(stream, buffered, BodyError::PeerFailed, resources);
            Outcome::Response(TargetResponse {
                status,
                headers,
                body,
                load,
            })
        }
        ForwardReply::Failed {
            verdict,
            reason,
            retry_after_ms,
            versions,
            load,
        } => {
            let retry_after = retry_after_ms.map(|ms| Duration::from_millis(ms.into()));
            Outcome::Failed(Failure {
                verdict,
                reason,
                retry_after,
                versions,
                load,
            })
        }
    }
}

/// Upload of a request body, kept for the whole exchange. Dropping it resets the stream.
enum Upload {
    Done(#[expect(dead_code, reason = "the stream stays open while it is held")] SendStream<Bytes>),
    Running(JoinHandle<()>),
}

impl Upload {
    fn start(body: Body, mut stream: SendStream<Bytes>, end_of_stream: bool) -> Self {
        if end_of_stream {
            return Self::Done(stream);
        }
        Self::Running(tokio::spawn(async move {
            if let Err(stream::Error::Body(_)) = stream::send_body(body, &mut stream).await {
                stream.send_reset(h2::Reason::CANCEL);
            }
        }))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Self::Running(task) = self {
            task.abort();
        }
    }
}
