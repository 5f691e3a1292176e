//! Asks a peer about the attempts of a connection that has turned suspect or has ended.
//!
//! There is one task and one query per connection, over another connection to the same peer.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use masticdeal_policy::attempts::{Answer, ConnectionState};
use masticdeal_wire::format::Format;
use masticdeal_wire::withdraw::{Withdraw, WithdrawReply};
use masticdeal_wire::{codec, headers};
use tokio::time::{sleep, timeout};

use super::client::Peers;
use super::link::{LinkHandle, PeerConnection};
use super::sent_attempts::FateCounts;
use super::{Error, Result};
use crate::telemetry::metrics::OutcomeLabel;

/// Longest wait for the answer to a query, as for other calls between daemons.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Queries about a suspect connection before the peer counts as unreachable. A busy peer may miss
/// one.
const SUSPECT_QUERIES: u32 = 2;

/// Time without a byte after which the peer is asked again about a suspect connection that had
/// transferred data.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Decides on the attempts of a connection when it turns suspect, and when it ends.
pub async fn watch(peers: Weak<Peers>, peer: SocketAddr, link: LinkHandle) {
    let mut state_rx = link.subscribe();
    let is_usable = |state: &ConnectionState| *state == ConnectionState::Usable;
    let Ok(state) = state_rx.wait_for(|s| !is_usable(s)).await.map(|s| *s) else {
        return;
    };
    if state == ConnectionState::Suspect {
        resolve_suspect(&peers, peer, &link).await;
        let is_closed = |state: &ConnectionState| *state == ConnectionState::Closed;
        if state_rx.wait_for(is_closed).await.is_err() {
            return;
        }
    }
    if !link.attempts.unanswered().is_empty() {
        let reply = ask(&peers, peer, &link, true).await;
        resolve(&peers, peer, &link, (ConnectionState::Closed, false), reply);
    }
}

async fn resolve_suspect(peers: &Weak<Peers>, peer: SocketAddr, link: &LinkHandle) {
    let mut missing = 0;
    loop {
        let read_before = link.counts.read();
        let reply = ask(peers, peer, link, false).await;
        let has_read = link.counts.read() != read_before;
        let is_final = match &reply {
            Some(WithdrawReply::Withdrawn(_) | WithdrawReply::Unknown) => true,
            Some(WithdrawReply::Receiving) => false,
            None if has_read => false,
            None => {
                missing += 1;
                missing == SUSPECT_QUERIES
            }
        };
        if is_final {
            let is_unreachable = reply.is_none();
            resolve(
                peers,
                peer,
                link,
                (ConnectionState::Suspect, has_read),
                reply,
            );
            if is_unreachable {
                link.close_as_silent();
            }
            return;
        }
        if reply.is_some() || has_read {
            missing = 0;
            log::info!(peer:% = peer; "the suspect connection transfers data; its requests wait");
            if !wait_while_reading(link).await {
                return;
            }
        }
    }
}

/// Waits until the connection has read nothing for [`RECHECK_INTERVAL`]. Returns `false` once it is
/// closed.
async fn wait_while_reading(link: &LinkHandle) -> bool {
    let mut state_rx = link.subscribe();
    loop {
        let read_before = link.counts.read();
        tokio::select! {
            _ = state_rx.wait_for(|s| *s == ConnectionState::Closed) => return false,
            () = sleep(RECHECK_INTERVAL) => {}
        }
        if link.counts.read() == read_before {
            return true;
        }
    }
}

async fn ask(
    peers: &Weak<Peers>,
    peer: SocketAddr,
    link: &LinkHandle,
    has_ended: bool,
) -> Option<WithdrawReply> {
    let peers = peers.upgrade()?;
    peers.node.metrics.attempt_queries.inc();
    let message = Withdraw {
        connection: link.attempts.connection(),
        attempts: link.attempts.unanswered(),
        has_ended,
    };
    let reply = timeout(QUERY_TIMEOUT, peers.withdraw(peer, &message)).await;
    reply.unwrap_or(Err(Error::Timeout)).ok()
}

fn resolve(
    peers: &Weak<Peers>,
    peer: SocketAddr,
    link: &LinkHandle,
    (state, transfers_data): (ConnectionState, bool),
    reply: Option<WithdrawReply>,
) {
    let answer = match &reply {
        None => Answer::Missing,
        Some(WithdrawReply::Withdrawn(numbers)) => Answer::Withdrawn(numbers),
        Some(WithdrawReply::Unknown | WithdrawReply::Receiving) => Answer::Unknown,
    };
    let counts = link.attempts.resolve(state, answer, transfers_data);
    let FateCounts {
        not_run,
        waiting,
        may_have_run,
    } = counts;
    if let Some(peers) = peers.upgrade() {
        let outcomes = &peers.node.metrics.attempts_without_response;
        for (outcome, count) in [
            ("withdrawn", not_run),
            ("waiting", waiting),
            ("unknown", may_have_run),
        ] {
            let label = OutcomeLabel { outcome };
            outcomes.get_or_create(&label).inc_by(count as u64);
        }
    }
    log::warn!(peer:% = peer, state:? = state, answered = reply.is_some(),
        withdrawn = not_run, waiting = waiting, unknown = may_have_run;
        "asked the peer about requests without a response");
}

impl Peers {
    /// Sends the message over a connection that accepts new requests.
    async fn withdraw(&self, peer: SocketAddr, message: &Withdraw) -> Result<WithdrawReply> {
        let frame = codec::encode(message)?;
        let connection: Arc<PeerConnection> = self.open_forward_connection(peer).await?;
        let reply = self
            .call(&connection, headers::PATH_WITHDRAW, Format::Current, frame)
            .await?;
        Ok(codec::decode_frame(&reply)?)
    }
}
