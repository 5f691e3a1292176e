//! Calls to the platform's service for the table: direct ones, or through a member that reaches it.
//!
//! The service may turn some VMs away, or be cut off from them, while it serves the others. A daemon in
//! that place keeps its lease through its peers, but could not write: a target that leaves would keep its
//! keys unserved, and no shard could move, until the service is back. So the daemon asks a member to make
//! the call, unchanged. The member reads after it was asked, so that a read is as fresh as one of the
//! daemon's own; a write carries its condition and its change id, so that its outcome is settled as
//! that of any other.
//!
//! A member whose own call failed answers without calling for a second, so that a service that nobody
//! reaches is not called once for each daemon that asks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use masticdeal_ownership::ids::SessionId;
use masticdeal_platform::{Client, Result, SwapOutcome, Value};
use masticdeal_wire::headers::{KEY_TABLE, PATH_STORE};
use masticdeal_wire::peer::{StoreCall, StoreReply};

use crate::node::Node;
use crate::peers::Peers;

/// Time after a failed call in which the service is not called directly. An outage of one VM lasts for
/// seconds, and each call is counted, refused ones included.
const DIRECT_CALL_BACKOFF: Duration = Duration::from_secs(1);

/// Time beyond the client's own limit in which a member answers.
const MEMBER_TIMEOUT_MARGIN: Duration = Duration::from_millis(150);

/// Members that are asked for one call.
const MAX_MEMBERS: usize = 2;

/// The way to the service, and how it was reached last.
pub struct Relay {
    node: Arc<Node>,
    peers: Arc<Peers>,
    platform: Client,
    /// When the last direct call failed, as milliseconds since boot; 0 while they are answered.
    failed_ms: AtomicU64,
}

impl Relay {
    /// Makes a relay; it calls nobody until it is asked.
    pub fn new(node: Arc<Node>, peers: Arc<Peers>, platform: Client) -> Self {
        Self {
            node,
            peers,
            platform,
            failed_ms: AtomicU64::new(0),
        }
    }

    /// Returns whether the service is to be called directly now.
    fn is_direct(&self) -> bool {
        let failed = Duration::from_millis(self.failed_ms.load(Ordering::Relaxed));
        failed.is_zero() || self.node.clock.now() >= failed + DIRECT_CALL_BACKOFF
    }

    /// Notes whether a direct call was answered.
    fn record_direct_call(&self, answered: bool) {
        let now = (self.node.clock.now().as_millis() as u64).max(1);
        let failed = if answered { 0 } else { now };
        let before = self.failed_ms.swap(failed, Ordering::Relaxed);
        if (before == 0) != answered {
            log::info!(answered; "calls to the platform's service for the table changed");
        }
    }

    /// Reads the table.
    ///
    /// # Errors
    ///
    /// That of the direct call, when no member reaches the service either.
    pub async fn read(&self) -> Result<Option<Value>> {
        let direct_first = self.is_direct();
        if !direct_first && let Some(found) = self.member_read().await {
            return Ok(found);
        }
        match self.direct_read().await {
            Err(e) if direct_first => self.member_read().await.ok_or(e),
            direct => direct,
        }
    }

    /// Writes the table when its key stands at revision `expect`. A direct write whose answer is lost is not
    /// repeated here: the caller reads back first.
    pub async fn swap(&self, expect: u64, bytes: Bytes) -> StoreReply {
        if !self.is_direct()
            && let Some(reply) = self.member_swap(expect, &bytes).await
        {
            return reply;
        }
        self.direct_swap(expect, bytes).await
    }

    /// Makes a call for a member that does not reach the service.
    pub async fn serve(&self, call: StoreCall) -> StoreReply {
        if !self.is_direct() {
            return StoreReply::Unavailable;
        }
        match call {
            StoreCall::Read => {
                let read = self.direct_read().await;
                read.map_or(StoreReply::Unavailable, |found| {
                    StoreReply::Table(found.map(|v| (v.revision, v.bytes.to_vec())))
                })
            }
            StoreCall::Swap { expect, bytes } => self.direct_swap(expect, bytes.into()).await,
        }
    }

    async fn direct_read(&self) -> Result<Option<Value>> {
        let read = self.platform.get(KEY_TABLE).await;
        self.record_direct_call(read.is_ok());
        read
    }

    async fn direct_swap(&self, expect: u64, bytes: Bytes) -> StoreReply {
        let written = self.platform.swap(KEY_TABLE, expect, bytes, None).await;
        self.record_direct_call(!matches!(written, SwapOutcome::Unknown(_)));
        match written {
            SwapOutcome::Applied(revision) => StoreReply::Done(revision),
            SwapOutcome::Conflict(revision) => StoreReply::Conflict(revision),
            SwapOutcome::Unknown(e) => {
                log::warn!(expect, error:% = e; "the answer to a swap of the table is lost");
                StoreReply::Unknown
            }
        }
    }

    /// Reads the table through a member; `None` when no member reaches the service.
    async fn member_read(&self) -> Option<Option<Value>> {
        for member in self.members() {
            if let Some(StoreReply::Table(found)) = self.call_member(member, &StoreCall::Read).await
            {
                return Some(found.map(|(revision, bytes)| Value {
                    revision,
                    bytes: bytes.into(),
                }));
            }
        }
        None
    }

    /// Writes the table through a member; `None` when nothing was written, since no member reaches the
    /// service.
    async fn member_swap(&self, expect: u64, bytes: &Bytes) -> Option<StoreReply> {
        let call = StoreCall::Swap {
            expect,
            bytes: bytes.to_vec(),
        };
        for member in self.members() {
            match self.call_member(member, &call).await {
                Some(StoreReply::Unavailable) => {}
                // The member may have written before its answer was lost.
                None => return Some(StoreReply::Unknown),
                answer => return answer,
            }
        }
        None
    }

    async fn call_member(&self, member: SessionId, call: &StoreCall) -> Option<StoreReply> {
        let address = self.node.table.borrow().session(member)?.address;
        let limit = self.node.settings.platform.timeout + MEMBER_TIMEOUT_MARGIN;
        let reply = self.peers.control(address, PATH_STORE, call, limit).await;
        match reply {
            Ok(reply) => Some(reply),
            Err(e) => {
                log::debug!(session:% = member; "a member does not call the platform's service: {e}");
                None
            }
        }
    }

    /// Returns members to ask: the own lessors, which renewed lately, and others when there are too few.
    fn members(&self) -> Vec<SessionId> {
        let table = self.node.table.borrow().clone();
        let Some(own) = (*self.node.session.borrow()).and_then(|me| table.session(me)) else {
            return Vec::new();
        };
        let others = table.sessions.iter().map(|s| s.id);
        let others = others.filter(|id| *id != own.id && !own.lessors.contains(id));
        own.lessors
            .iter()
            .copied()
            .chain(others)
            .take(MAX_MEMBERS)
            .collect()
    }
}
