//! Calls the platform's store for the table, directly or through a member (another daemon that has
//! joined).
//!
//! The store may refuse some VMs, or be unreachable from them, while it serves others. A daemon on
//! such a VM keeps its lease through its peers but cannot write the table. Without help, the keys
//! of its leaving target would stay unserved, and none of its shards could move, until it reaches
//! the store again. The daemon therefore has a member make the same call.
//!
//! The member reads only after it received the request, so a relayed read is as current as a direct
//! one. A relayed write carries its expected revision and its change id, so its outcome is resolved
//! like that of a direct write.
//!
//! For `DIRECT_CALL_BACKOFF` after a failed call of its own, a member replies without calling the
//! store. Otherwise, in an outage that affects all daemons, each relayed call would cost another
//! call to the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use masticdeal_ownership::ids::SessionId;
use masticdeal_platform::{Client, Position, ReadResult, Result, SwapOutcome, Value};
use masticdeal_wire::headers::{KEY_TABLE, PATH_STORE};
use masticdeal_wire::peer::{StoreCall, StoreReply};
use rand::seq::IteratorRandom;

use crate::node::Node;
use crate::peers::Peers;

/// Time after a failed direct call during which a daemon tries members before a direct call, and
/// makes no call on behalf of members. A VM that loses access to the store does so for seconds, and
/// the platform counts each call against its limit, refused calls included.
const DIRECT_CALL_BACKOFF: Duration = Duration::from_secs(1);

/// Added to the timeout of the platform client for the reply of a member.
const MEMBER_TIMEOUT_MARGIN: Duration = Duration::from_millis(150);

/// Maximum number of members that are tried for one call.
const MAX_MEMBERS: usize = 2;

/// Access to the table in the platform's store, directly or through members.
pub struct Relay {
    node: Arc<Node>,
    peers: Arc<Peers>,
    platform: Client,
    /// When the last direct call failed, in milliseconds since boot; 0 if it succeeded or no call
    /// was made yet.
    failed_ms: AtomicU64,
}

impl Relay {
    /// Creates a relay without making a call.
    pub fn new(node: Arc<Node>, peers: Arc<Peers>, platform: Client) -> Self {
        Self {
            node,
            peers,
            platform,
            failed_ms: AtomicU64::new(0),
        }
    }

    /// Returns the newest era of the store that a reply to a direct call showed.
    pub fn era(&self) -> u64 {
        *self.platform.era().borrow()
    }

    /// Returns whether a call is made directly before members are tried: `false` during the
    /// back-off after a failed direct call.
    fn prefers_direct_calls(&self) -> bool {
        let failed = Duration::from_millis(self.failed_ms.load(Ordering::Relaxed));
        failed.is_zero() || self.node.clock.now() >= failed + DIRECT_CALL_BACKOFF
    }

    /// Records whether a direct call got a valid reply; a conflict counts as one.
    fn record_direct_call(&self, answered: bool) {
        let now = (self.node.clock.now().as_millis() as u64).max(1);
        let failed = if answered { 0 } else { now };
        let before = self.failed_ms.swap(failed, Ordering::Relaxed);
        if (before == 0) != answered {
            log::info!(answered; "reachability of the platform store by direct calls changed");
        }
    }

    /// Reads the table.
    ///
    /// # Errors
    ///
    /// The error of the direct call, when no member returned the table either.
    pub async fn read(&self) -> Result<ReadResult> {
        let direct_first = self.prefers_direct_calls();
        if !direct_first && let Some(read) = self.member_read().await {
            return Ok(read);
        }
        match self.direct_read().await {
            Err(e) if direct_first => self.member_read().await.ok_or(e),
            direct => direct,
        }
    }

    /// Writes the table if its key has the revision of `expected`. Tries members first while
    /// direct calls are in back-off. A direct write with an unknown outcome is not retried here:
    /// the lease core reads the table back first.
    pub async fn swap(&self, expected: Position, bytes: Bytes) -> StoreReply {
        if !self.prefers_direct_calls()
            && let Some(reply) = self.member_swap(expected, &bytes).await
        {
            return reply;
        }
        self.direct_swap(expected, bytes).await
    }

    /// Makes a call on behalf of a member that does not reach the store. During the back-off of
    /// direct calls, returns [`StoreReply::Unavailable`] without a call.
    pub async fn serve(&self, call: StoreCall) -> StoreReply {
        if !self.prefers_direct_calls() {
            return StoreReply::Unavailable;
        }
        match call {
            StoreCall::Read => {
                let read = self.direct_read().await;
                read.map_or(StoreReply::Unavailable, |read| StoreReply::Table {
                    era: read.era,
                    value: read.value.map(|v| (v.revision, v.bytes.to_vec())),
                })
            }
            StoreCall::Swap { expect, era, bytes } => {
                let expected = Position::new(era, expect);
                self.direct_swap(expected, bytes.into()).await
            }
        }
    }

    async fn direct_read(&self) -> Result<ReadResult> {
        let read = self.platform.read(KEY_TABLE).await;
        self.record_direct_call(read.is_ok());
        read
    }

    async fn direct_swap(&self, expected: Position, bytes: Bytes) -> StoreReply {
        let written = self.platform.swap(KEY_TABLE, expected, bytes, None).await;
        self.record_direct_call(!matches!(written, SwapOutcome::Unknown(_)));
        match written {
            SwapOutcome::Applied { era, revision } => StoreReply::Done { era, revision },
            SwapOutcome::Conflict(revision) => StoreReply::Conflict(revision),
            SwapOutcome::Unknown(e) => {
                log::warn!(expect = expected.revision, era = expected.era, error:% = e;
                    "outcome of a table swap is unknown");
                StoreReply::Unknown
            }
        }
    }

    /// Reads the table through a member. Returns `None` when none of those tried returned it.
    async fn member_read(&self) -> Option<ReadResult> {
        for member in self.members() {
            let reply = self.call_member(member, &StoreCall::Read).await;
            if let Some(StoreReply::Table { era, value }) = reply {
                return Some(ReadResult {
                    watch_revision: value.as_ref().map_or(0, |(revision, _)| *revision),
                    value: value.map(|(revision, bytes)| Value {
                        revision,
                        bytes: bytes.into(),
                    }),
                    era,
                });
            }
        }
        None
    }

    /// Writes the table through a member. Returns `None` when nothing was written: each member that
    /// was tried replied that it cannot reach the store, or there was none to try.
    async fn member_swap(&self, expected: Position, bytes: &Bytes) -> Option<StoreReply> {
        let call = StoreCall::Swap {
            expect: expected.revision,
            era: expected.era,
            bytes: bytes.to_vec(),
        };
        for member in self.members() {
            match self.call_member(member, &call).await {
                Some(StoreReply::Unavailable) => {}
                // The member may have written the table before its reply was lost.
                None => return Some(StoreReply::Unknown),
                reply => return reply,
            }
        }
        None
    }

    async fn call_member(&self, member: SessionId, call: &StoreCall) -> Option<StoreReply> {
        let address = self.node.table.borrow().session(member)?.address;
        let timeout = self.node.settings.platform.timeout + MEMBER_TIMEOUT_MARGIN;
        let reply = self.peers.control(address, PATH_STORE, call, timeout).await;
        match reply {
            Ok(reply) => Some(reply),
            Err(e) => {
                log::debug!(session:% = member; "relayed call to the platform store failed: {e}");
                None
            }
        }
    }

    /// Returns the members to try: this daemon's lessors, which it reaches regularly to renew its
    /// lease, and other members when there are too few lessors. The store may be unreachable from a
    /// whole data centre, so a member of another one comes first if all lessors are in that of this
    /// daemon.
    fn members(&self) -> Vec<SessionId> {
        let table = self.node.table.borrow().clone();
        let Some(own_session) = (*self.node.session.borrow()).and_then(|me| table.session(me))
        else {
            return Vec::new();
        };
        let others = table.sessions.iter().map(|s| s.id);
        let others = others.filter(|id| *id != own_session.id && !own_session.lessors.contains(id));
        let is_elsewhere = |id: &SessionId| {
            let session = table.session(*id);
            session.is_some_and(|s| s.data_centre != own_session.data_centre)
        };
        let lessors = own_session.lessors.iter().copied();
        let elsewhere = match lessors.clone().any(|id| is_elsewhere(&id)) {
            true => None,
            false => others.clone().filter(is_elsewhere).choose(&mut rand::rng()),
        };
        let others = others.filter(|id| Some(*id) != elsewhere);
        let members = elsewhere.into_iter().chain(lessors).chain(others);
        members.take(MAX_MEMBERS).collect()
    }
}
