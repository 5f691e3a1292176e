//! Shards that the local target may hold under range grants, which it receives as replies to its
//! reports.
//!
//! Invariants:
//! - A shard counts as held from the reply that grants it until a reply has omitted it and the next
//!   report does not contain it, until another incarnation of the target reports, or until the grant
//!   has expired by the daemon's clock.
//! - A shard in a report counts as held no matter who granted it, for example an earlier process of
//!   this daemon.
//! - Until the grants of an earlier process have expired, every shard counts as held. Reports
//!   without a shard prove nothing then: they may be late ones, from before the last grant of the
//!   earlier process.
//! - No grant outlives the lease under which it was given.
//! - Requests for a shard that the target refused wait for the next report or reply that contains the
//!   shard. The grant of an earlier process may have ended at any time since it was reported.
//!
//! A shard that does not count as held may therefore be given to another owner.
//!
//! Neighbouring shards are granted as one range under the highest of their epochs, so that the
//! ranges of a target fit into one reply. A shard's epoch is at most the version of its table, and
//! the epoch of its next owner is above that version. Another target therefore always receives the
//! shard under an epoch above that of this range. The same incarnation of a target never receives a
//! shard under a lower epoch than before.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ShardId};
use masticdeal_wire::target::{GrantedRange, HeldRange, RangeGrant, ReleasedRange, Report};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Number of keys of a service with numeric keys, which are 16 bits wide.
const KEY_SPACE: u32 = 1 << 16;

/// Maximum size of the ranges in one reply in bytes; targets accept replies of at most 4 KiB.
const MAX_REPLY_BYTES: usize = 4_000;

/// Bytes of one range in a reply without its epoch and its handover: two numbers of five digits and
/// the punctuation.
const RANGE_OVERHEAD_BYTES: usize = 18;

/// Time from the reply that grants a shard until requests for it are sent. The target would refuse
/// a request that arrives before the reply.
const REPLY_DELIVERY_DELAY: Duration = Duration::from_millis(3);

/// Maximum number of handovers stored from the local target, and likewise from other targets.
const MAX_STORED_HANDOVERS: usize = 1_024;

/// Grant of one shard.
#[derive(Debug, Clone, Copy)]
struct Granted {
    /// Epoch of the shard.
    epoch: Epoch,
    /// Epoch of the range sent to the target; at least that of the shard.
    range_epoch: Epoch,
    /// When the first request may be sent, as time since boot.
    serve_from: Duration,
    /// End of the grant by the daemon's clock.
    until: Duration,
    /// Number of the last reply that granted the shard; `None` if only a report showed it.
    reply_number: Option<u64>,
    /// Time since boot of the last report or reply that contained the shard.
    confirmed_at: Duration,
    /// Whether the target refused a request for the shard after that.
    refused: bool,
}

#[derive(Debug, Default)]
struct State {
    incarnation: u64,
    /// Sequence number of the last report applied.
    sequence: u64,
    /// When the last grant of an earlier process of this daemon expires, as time since boot.
    earlier_grants_until: Duration,
    /// Number of replies sent.
    replies_sent: u64,
    granted: BTreeMap<ShardId, Granted>,
    /// Shards that were recorded as held and that the target has released since, with the epochs of
    /// their ranges.
    released: BTreeMap<ShardId, Epoch>,
    /// Handovers from the local target for shards that it released.
    released_handovers: HashMap<ShardId, String>,
    /// Handovers from other targets for shards of this daemon, with the epoch they are meant for.
    received_handovers: HashMap<ShardId, (Epoch, String)>,
}

/// Shards that the target may hold.
#[derive(Debug, Default)]
pub struct GrantedShards {
    state: Mutex<State>,
    changed: Notify,
}

/// Shards that may be granted now, and the limits of the grant.
#[derive(Debug, Clone, Copy)]
pub struct GrantableShards<'a> {
    /// Shards with their epochs, ordered by shard.
    pub shards: &'a [(ShardId, Epoch)],
    /// Number of shards of the service.
    pub shard_count: u32,
    /// End of the grant by the daemon's clock.
    pub until: Duration,
    /// Longest grant that the target accepts.
    pub max_grant: Duration,
    /// Largest deviation of the target's clock, in parts per million.
    pub drift_ppm: u32,
}

impl GrantedShards {
    /// Creates the record of a new process. `earlier_grants_until` is the time since boot at which
    /// the last grant expires that an earlier process of this daemon may have made.
    pub fn new(earlier_grants_until: Duration) -> Self {
        Self {
            state: Mutex::new(State {
                earlier_grants_until,
                ..State::default()
            }),
            ..Self::default()
        }
    }

    /// Applies a report of the target. Returns `false` without applying it if a later one was
    /// applied before, or if it does not list what the target holds; its reply must then contain no
    /// grant.
    ///
    /// `shard_count` is the number of shards of the service. `max_earlier_grant` is the longest
    /// time for which an earlier process of this daemon may have granted the reported shards.
    pub fn apply_report(
        &self,
        now: Duration,
        report: &Report,
        shard_count: u32,
        max_earlier_grant: Duration,
    ) -> bool {
        let Some(held_ranges) = &report.holds else {
            return false;
        };
        let mut state = self.lock();
        // Sequence numbers start anew with each incarnation, so without one there is no order.
        let order = (report.announce.incarnation, report.sequence);
        if order.0 != 0 && order < (state.incarnation, state.sequence) {
            return false;
        }
        state.sequence = report.sequence;
        if state.incarnation != report.announce.incarnation {
            state.incarnation = report.announce.incarnation;
            state.granted.clear();
            state.released.clear();
            state.released_handovers.clear();
        }
        for range in &report.released {
            state.record_released(range, shard_count);
        }
        let held: BTreeSet<ShardId> = held_ranges
            .iter()
            .flat_map(|range| shards_between(range.first, range.last, shard_count))
            .collect();
        let holds = |shard: ShardId| held.contains(&shard);
        // A target that holds a shard has applied the handover for it.
        state.received_handovers.retain(|shard, _| !holds(*shard));
        let replies_sent = state.replies_sent;
        // A target reports after each reply, so a shard that is neither in the last reply nor in
        // the report is no longer held.
        let State {
            granted, released, ..
        } = &mut *state;
        granted.retain(|shard, granted| {
            let in_last_reply = granted.reply_number == Some(replies_sent);
            let is_held = now < granted.until && (in_last_reply || holds(*shard));
            if !is_held {
                released.insert(*shard, granted.range_epoch);
            }
            is_held
        });
        state.record_reported(now, held_ranges, shard_count, max_earlier_grant);
        drop(state);
        self.changed.notify_waiters();
        true
    }

    /// Creates the grant for the reply to the report that was just applied.
    pub fn grant(&self, now: Duration, grantable: &GrantableShards<'_>) -> RangeGrant {
        let mut state = self.lock();
        state.replies_sent += 1;
        let remaining = grantable.until.saturating_sub(now).min(grantable.max_grant);
        let drift_factor = 1.0 + f64::from(grantable.drift_ppm) / 1e6;
        let (mut ranges, mut fitting) = state.ranges(grantable, true);
        if fitting < grantable.shards.len() {
            // Keys without a handover are served slowly at first; keys without a grant are not
            // served.
            (ranges, fitting) = state.ranges(grantable, false);
        }
        if fitting < grantable.shards.len() {
            log::warn!(shards = grantable.shards.len(), fitting;
                "grant exceeds the size of one reply, the last shards are left out");
        }
        state.record_granted(
            now,
            &grantable.shards[..fitting],
            &ranges,
            grantable.shard_count,
            now + remaining,
        );
        drop(state);
        self.changed.notify_waiters();
        RangeGrant {
            hold: remaining.div_f64(drift_factor),
            ranges,
        }
    }

    /// Returns whether the target holds the shard and requests under `epoch` may be sent to it. A
    /// grant under a lower epoch suffices, because no other target receives a shard that this one
    /// may hold.
    pub fn holds(&self, now: Duration, shard: ShardId, epoch: Epoch) -> bool {
        let state = self.lock();
        let granted = state.granted.get(&shard);
        granted
            .is_some_and(|g| !g.refused && g.epoch <= epoch && g.serve_from <= now && now < g.until)
    }

    /// Records that the target refused a request that was sent at `sent_at` because it does not hold
    /// the shard. Requests for it wait for the next report or grant that contains it. The shard still
    /// counts as held for its next owner: the refusal proves nothing about requests that are running.
    pub fn record_refusal(&self, sent_at: Duration, shard: ShardId) {
        let mut state = self.lock();
        let Some(refused) = state.granted.get(&shard).copied() else {
            return;
        };
        for (other, granted) in &mut state.granted {
            // The shards of an earlier process's grant expire together.
            let expires_together = refused.reply_number.is_none() && granted.reply_number.is_none();
            if (*other == shard || expires_together) && granted.confirmed_at < sent_at {
                granted.refused = true;
            }
        }
    }

    /// Returns whether the target can no longer hold the shard: it reported the shard released, or
    /// the grant has expired, whichever process of this daemon made it.
    pub fn is_released(&self, now: Duration, shard: ShardId) -> bool {
        let state = self.lock();
        let granted = state.granted.get(&shard);
        state.earlier_grants_until <= now && granted.is_none_or(|g| g.until <= now)
    }

    /// Returns whether a grant of the shard is recorded, expired or not.
    pub fn is_recorded(&self, shard: ShardId) -> bool {
        self.lock().granted.contains_key(&shard)
    }

    /// Resolves at the next report or grant after this call.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Stores a handover from another target for a shard of this daemon, or drops it if too many
    /// are stored.
    pub fn store_handover(&self, shard: ShardId, epoch: Epoch, payload: String) {
        let mut state = self.lock();
        if state.received_handovers.len() < MAX_STORED_HANDOVERS {
            state.received_handovers.insert(shard, (epoch, payload));
        }
    }

    /// Removes and returns the local target's handover for the next owner of the shard.
    pub fn take_handover(&self, shard: ShardId) -> Option<String> {
        self.lock().released_handovers.remove(&shard)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    /// Records reported shards that do not count as held yet, such as those that an earlier process
    /// of this daemon granted.
    fn record_reported(
        &mut self,
        now: Duration,
        held_ranges: &[HeldRange],
        shard_count: u32,
        max_earlier_grant: Duration,
    ) {
        for range in held_ranges {
            for shard in shards_between(range.first, range.last, shard_count) {
                let granted = self.granted.entry(shard).or_insert(Granted {
                    epoch: Epoch(range.epoch),
                    range_epoch: Epoch(range.epoch),
                    serve_from: now,
                    until: now + max_earlier_grant,
                    reply_number: None,
                    confirmed_at: now,
                    refused: false,
                });
                granted.confirmed_at = now;
                granted.refused = false;
            }
        }
    }

    /// Stores the handover of a released range for each shard that lies in the range completely, as
    /// far as there is room for it.
    fn record_released(&mut self, range: &ReleasedRange, shard_count: u32) {
        for shard in shards_between(range.first, range.last, shard_count) {
            let (first, last) = shard_key_range(shard, shard_count);
            let contains_shard = range.first <= first && last <= range.last;
            if contains_shard && self.released_handovers.len() < MAX_STORED_HANDOVERS {
                self.released_handovers
                    .insert(shard, range.handover.clone());
            }
        }
    }

    /// Returns the ranges that fit into one reply, and the number of shards in them. Leaves out the
    /// handovers unless `with_handovers` is set.
    fn ranges(
        &self,
        grantable: &GrantableShards<'_>,
        with_handovers: bool,
    ) -> (Vec<GrantedRange>, usize) {
        let mut ranges: Vec<GrantedRange> = Vec::new();
        let mut bytes = 0;
        for (fitting, &(shard, epoch)) in grantable.shards.iter().enumerate() {
            let mut range = self.range(shard, epoch, grantable.shard_count);
            if !with_handovers {
                range.handover.clear();
            }
            let merged = ranges.last_mut().filter(|last| can_merge(last, &range));
            if let Some(last) = merged {
                last.last = range.last;
                last.epoch = last.epoch.max(range.epoch);
                continue;
            }
            bytes += encoded_range_bytes(&range);
            if bytes > MAX_REPLY_BYTES {
                return (ranges, fitting);
            }
            ranges.push(range);
        }
        (ranges, grantable.shards.len())
    }

    fn range(&self, shard: ShardId, epoch: Epoch, shard_count: u32) -> GrantedRange {
        let (first, last) = shard_key_range(shard, shard_count);
        let granted = self.granted.get(&shard).map(|g| g.range_epoch);
        let released = self.released.get(&shard).copied();
        let range_epoch = granted.max(released).unwrap_or(epoch);
        let received = self
            .received_handovers
            .get(&shard)
            .filter(|(handover_epoch, _)| *handover_epoch == epoch);
        GrantedRange {
            first,
            last,
            epoch: range_epoch.max(epoch).0,
            handover: received.map_or_else(String::new, |(_, payload)| payload.clone()),
        }
    }

    /// Records the shards granted by a reply, each with the epoch of its range.
    fn record_granted(
        &mut self,
        now: Duration,
        shards: &[(ShardId, Epoch)],
        ranges: &[GrantedRange],
        shard_count: u32,
        until: Duration,
    ) {
        let mut ranges = ranges.iter().peekable();
        for &(shard, epoch) in shards {
            let (first, _) = shard_key_range(shard, shard_count);
            while ranges.next_if(|r| r.last < first).is_some() {}
            let Some(range) = ranges.peek() else { return };
            let previous = self.granted.get(&shard);
            let serve_from = previous
                .filter(|g| !g.refused)
                .map_or(now + REPLY_DELIVERY_DELAY, |g| g.serve_from);
            // The target may miss this reply and hold the shard until the end of the previous
            // grant.
            let until = previous.map_or(until, |g| g.until.max(until));
            let granted = Granted {
                epoch,
                range_epoch: Epoch(range.epoch),
                serve_from,
                until,
                reply_number: Some(self.replies_sent),
                confirmed_at: now,
                refused: false,
            };
            self.granted.insert(shard, granted);
        }
    }
}

/// Returns the encoded size of a range in bytes.
fn encoded_range_bytes(range: &GrantedRange) -> usize {
    let digits = range.epoch.checked_ilog10().unwrap_or(0) as usize + 1;
    RANGE_OVERHEAD_BYTES + digits + range.handover.len()
}

/// Returns the lowest and the highest key of a shard, both inclusive.
pub fn shard_key_range(shard: ShardId, shard_count: u32) -> (u16, u16) {
    let width = KEY_SPACE / shard_count;
    let first = shard.0 * width;
    (first as u16, (first + width - 1) as u16)
}

/// Returns the hash by which a numeric key is routed. Its low bits are the shard, so that each
/// shard is a range of keys. `shard_count` is the number of shards, a power of two up to 65536.
pub fn numeric_key_hash(key: u16, shard_count: u32) -> u64 {
    u64::from(key.rotate_left(shard_count.trailing_zeros() % u16::BITS))
}

/// Returns the shards with any key from `first` to `last`; none if `last` is below `first`.
fn shards_between(
    first: u16,
    last: u16,
    shard_count: u32,
) -> impl Iterator<Item = ShardId> + use<> {
    let width = KEY_SPACE / shard_count;
    let end = match first <= last {
        true => u32::from(last) / width + 1,
        false => 0,
    };
    (u32::from(first) / width..end).map(ShardId)
}

fn can_merge(last: &GrantedRange, next: &GrantedRange) -> bool {
    let are_adjacent = u32::from(last.last) + 1 == u32::from(next.first);
    let have_no_handover = last.handover.is_empty() && next.handover.is_empty();
    are_adjacent && have_no_handover
}
