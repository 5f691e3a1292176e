//! Client side of `/forward`: sends one request to the owner's daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use http::StatusCode;
use http_body::Body as _;
use masticdeal_policy::Verdict;
use masticdeal_wire::peer::{ForwardReply, Reason};
use masticdeal_wire::{codec, headers};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::client::Peers;
use super::link::Link;
use super::stream::{self, StreamBody};
use crate::exchange::{Answer, Body, BodyError, Failure, Outcome, Request, to_wire_ms};
use crate::telemetry::metrics::observe_duration;

/// Time beyond the deadline that the ingress waits for the owner's own verdict, which is more
/// precise than that of a wait that was given up.
const VERDICT_GRACE: Duration = Duration::from_millis(20);

impl Peers {
    /// Sends a request to the owner's daemon. Dropping the future, or the body of the answer,
    /// cancels the request there.
    pub async fn forward(&self, to: SocketAddr, request: Request) -> Outcome {
        let now = self.node.clock.now();
        let remaining = request.deadline.saturating_sub(now);
        let opened = timeout(remaining, self.ready(to)).await;
        let (link, send) = match opened {
            Err(_) => return Failure::not_run(Reason::Deadline).into(),
            Ok(Err(_)) => return Failure::not_run(Reason::PeerFailed).into(),
            Ok(Ok(ready)) => ready,
        };
        self.exchange(link, send, request)
            .await
            .unwrap_or_else(Outcome::Failed)
    }

    async fn ready(
        &self,
        to: SocketAddr,
    ) -> Result<(Arc<Link>, h2::client::SendRequest<Bytes>), super::Error> {
        let link = self.forward_link(to).await?;
        let send = link
            .send
            .clone()
            .ready()
            .await
            .map_err(super::Error::from_h2)?;
        Ok((link, send))
    }

    async fn exchange(
        &self,
        link: Arc<Link>,
        mut send: h2::client::SendRequest<Bytes>,
        mut request: Request,
    ) -> Result<Outcome, Failure> {
        let start = self.node.clock.now();
        let remaining = request.deadline.saturating_sub(start);
        request.head.deadline_ms = to_wire_ms(remaining);
        let frame = codec::encode(&request.head).map_err(|_| Failure::not_run(Reason::TooLarge))?;
        let entered = link.outstanding.enter();
        let sent = Sent {
            written_before: link.counts.written(),
            link,
        };
        let (response, mut body) = send
            .send_request(self.request(headers::PATH_FORWARD), false)
            .map_err(|_| Failure::not_run(Reason::PeerFailed))?;
        let end = request.body.is_end_stream();
        body.send_data(frame, end).map_err(|e| sent.failure(&e))?;
        let upload = Upload::start(request.body, body, end);
        let head = timeout(remaining + VERDICT_GRACE, read_head(response)).await;
        let head = head.map_err(|_| Failure::may_have_run(Reason::Deadline))?;
        let (reply, rest, stream) = head.map_err(|e| sent.head_failure(e))?;
        observe_duration(
            &self.node.metrics.hop_time,
            self.node.clock.now().saturating_sub(start),
        );
        Ok(outcome(reply, rest, stream, (entered, upload, sent)))
    }
}

/// A request that was handed to a connection.
struct Sent {
    link: Arc<Link>,
    written_before: u64,
}

impl Sent {
    fn failure(&self, e: &h2::Error) -> Failure {
        let unwritten = self.link.counts.written() == self.written_before;
        let reason = if self.link.was_silent() {
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

    fn head_failure(&self, e: HeadError) -> Failure {
        match e {
            HeadError::Refused => Failure::not_run(Reason::PeerFailed),
            HeadError::Stream(stream::Error::Stream(e)) => self.failure(&e),
            HeadError::Stream(_) => Failure::may_have_run(Reason::Malformed),
        }
    }
}

/// Returns whether the error shows that the peer did not process the stream: it refused the
/// stream, or its GOAWAY names a last stream below it. A GOAWAY that reports an error also ends
/// streams that were processed, so it proves nothing.
fn proves_not_run(e: &h2::Error) -> bool {
    let refused = e.is_reset() && e.reason() == Some(h2::Reason::REFUSED_STREAM);
    let above_last = e.is_go_away() && e.reason() == Some(h2::Reason::NO_ERROR);
    e.is_remote() && (refused || above_last)
}

enum HeadError {
    Refused,
    Stream(stream::Error),
}

async fn read_head(
    response: ResponseFuture,
) -> Result<(ForwardReply, Bytes, RecvStream), HeadError> {
    let response = response.await.map_err(|e| HeadError::Stream(e.into()))?;
    if response.status() != StatusCode::OK {
        return Err(HeadError::Refused);
    }
    let mut stream = response.into_body();
    let (reply, rest) = stream::read_message(&mut stream)
        .await
        .map_err(HeadError::Stream)?;
    Ok((reply, rest, stream))
}

fn outcome(
    reply: ForwardReply,
    rest: Bytes,
    stream: RecvStream,
    keep: impl Send + 'static,
) -> Outcome {
    match reply {
        ForwardReply::Response {
            status,
            headers,
            load,
        } => {
            let body = StreamBody::boxed(stream, rest, BodyError::PeerFailed, keep);
            Outcome::Answer(Answer {
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

/// The upload of a request body. It ends with the exchange: dropping it resets the stream.
enum Upload {
    Done(#[expect(dead_code, reason = "the stream stays open while it is held")] SendStream<Bytes>),
    Running(JoinHandle<()>),
}

impl Upload {
    fn start(body: Body, mut stream: SendStream<Bytes>, end: bool) -> Self {
        if end {
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
