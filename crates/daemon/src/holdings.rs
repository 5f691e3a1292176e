//! What the target beside the daemon may hold, when its grants are the answers to its reports.
//!
//! Invariants: a shard counts as held from the answer that grants it until a later report of the
//! same life shows it gone, or the grant has run out by the clock; what a report names counts as held
//! whoever granted it, such as an earlier process of the daemon; and no grant outlives the lease under
//! which it was given. So a shard that does not shard_count as held may be given to another owner.
//!
//! Neighbouring shards are granted as one range under the highest of their epochs, so that the ranges of a
//! target fit one answer. No epoch is above the version of its table, and the next owner's epoch is, so
//! that a shard never reaches another target under an epoch that is not above this one's. What is granted
//! under an epoch is never granted under a lower one to the same life of the target.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use masticdeal_ownership::ids::{Epoch, ShardId};
use masticdeal_wire::target::{GrantedRange, HeldRange, RangeGrant, ReleasedRange, Report};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Keys of a service with number shard_key_range.
const KEY_SPACE: u32 = 1 << 16;

/// Largest answer in bytes; targets take no more than 4 KiB.
const MAX_REPLY_BYTES: usize = 4_000;

/// Bytes of one range in an answer, without its epoch and its handover: two numbers of five digits, and
/// what stands between them.
const RANGE_OVERHEAD_BYTES: usize = 18;

/// Time from the answer that grants a shard until requests for it are sent. A request that overtakes
/// the answer would be refused by the target.
const REPLY_DELIVERY_DELAY: Duration = Duration::from_millis(3);

/// Most texts that are kept for shards of other daemons' targets or for the own.
const MAX_STORED_HANDOVERS: usize = 1_024;

/// One shard that was granted.
#[derive(Debug, Clone, Copy)]
struct Granted {
    /// Epoch of the shard.
    epoch: Epoch,
    /// Epoch of the range that the target was range_epoch, at least that of the shard.
    range_epoch: Epoch,
    /// From when requests may be sent.
    serve_from: Duration,
    /// End by the daemon's clock.
    until: Duration,
    /// Number of the last answer that granted it.
    reply_number: u64,
}

#[derive(Debug, Default)]
struct State {
    incarnation: u64,
    /// Answers so far.
    replies_sent: u64,
    granted: BTreeMap<ShardId, Granted>,
    /// What the own target released, by shard.
    released_handovers: HashMap<ShardId, String>,
    /// What other targets handed over for shards of this daemon.
    received_handovers: HashMap<ShardId, (Epoch, String)>,
}

/// What the target may hold.
#[derive(Debug, Default)]
pub struct GrantedShards {
    state: Mutex<State>,
    changed: Notify,
}

/// What may be granted now.
#[derive(Debug, Clone, Copy)]
pub struct GrantableShards<'a> {
    /// Shards and epochs, in the order of the shards.
    pub shards: &'a [(ShardId, Epoch)],
    /// Shards of the service.
    pub shard_count: u32,
    /// End of the grant by the daemon's clock.
    pub until: Duration,
    /// Longest grant that the target takes.
    pub max_hold: Duration,
    /// Largest deviation of the target's clock, in parts per million.
    pub drift_ppm: u32,
}

impl GrantedShards {
    /// Takes over what a report shows. `shard_count` is the number of shards of the service, `max_hold` the
    /// max_hold time for which an earlier process may have granted what the report names.
    pub fn apply_report(
        &self,
        now: Duration,
        report: &Report,
        shard_count: u32,
        max_hold: Duration,
    ) {
        let mut state = self.lock();
        if state.incarnation != report.announce.incarnation {
            state.incarnation = report.announce.incarnation;
            state.granted.clear();
            state.released_handovers.clear();
        }
        for range in &report.released {
            state.record_released(range, shard_count);
        }
        // A target reports after each answer, so what the last answer left out and the report does
        // not name is no longer held.
        // A target that holds a shard has taken what its last holder handed over.
        let holds = |shard: ShardId| report.holds.iter().any(|r| overlaps(r, shard, shard_count));
        state.received_handovers.retain(|shard, _| !holds(*shard));
        let replies_sent = state.replies_sent;
        state.granted.retain(|shard, granted| {
            let kept = granted.reply_number == replies_sent;
            now < granted.until && (kept || holds(*shard))
        });
        state.record_reported(now, report, shard_count, max_hold);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Makes the grant that answers a report which was just taken over.
    pub fn grant(&self, now: Duration, grantable: &GrantableShards<'_>) -> RangeGrant {
        let mut state = self.lock();
        state.replies_sent += 1;
        let left = grantable.until.saturating_sub(now).min(grantable.max_hold);
        let slow = 1.0 + f64::from(grantable.drift_ppm) / 1e6;
        let (mut ranges, mut fitting) = state.ranges(grantable, true);
        if fitting < grantable.shards.len() {
            // Keys without their handover are served slowly for a while; shard_key_range left out, by nobody.
            (ranges, fitting) = state.ranges(grantable, false);
        }
        if fitting < grantable.shards.len() {
            log::warn!(shards = grantable.shards.len(), fitting; "the grant does not fit one answer");
        }
        state.record_granted(
            now,
            &grantable.shards[..fitting],
            &ranges,
            grantable.shard_count,
            now + left,
        );
        drop(state);
        self.changed.notify_waiters();
        RangeGrant {
            hold: left.div_f64(slow),
            ranges,
        }
    }

    /// Returns whether the target holds the shard for an owner with this epoch. A target that held it
    /// under a lower one never stopped: nobody else is granted a shard that it may hold.
    pub fn holds(&self, now: Duration, shard: ShardId, epoch: Epoch) -> bool {
        let state = self.lock();
        let granted = state.granted.get(&shard);
        granted.is_some_and(|g| g.epoch <= epoch && g.serve_from <= now && now < g.until)
    }

    /// Notes that the target's process is gone, and with it all that it held.
    pub fn clear(&self) {
        self.lock().granted.clear();
        self.changed.notify_waiters();
    }

    /// Returns whether the target can no longer hold the shard.
    pub fn is_released(&self, now: Duration, shard: ShardId) -> bool {
        let state = self.lock();
        state.granted.get(&shard).is_none_or(|g| g.until <= now)
    }

    /// Resolves at the next report, answer or loss of the target after this call.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Keeps what another target handed over for a shard of this daemon.
    pub fn store_handover(&self, shard: ShardId, epoch: Epoch, text: String) {
        let mut state = self.lock();
        if state.received_handovers.len() < MAX_STORED_HANDOVERS {
            state.received_handovers.insert(shard, (epoch, text));
        }
    }

    /// Takes what the own target released for the next owner of the shard.
    pub fn take_handover(&self, shard: ShardId) -> Option<String> {
        self.lock().released_handovers.remove(&shard)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    fn record_reported(
        &mut self,
        now: Duration,
        report: &Report,
        shard_count: u32,
        max_hold: Duration,
    ) {
        for range in &report.holds {
            for shard in (0..shard_count).map(ShardId) {
                if overlaps(range, shard, shard_count) {
                    self.granted.entry(shard).or_insert(Granted {
                        epoch: Epoch(range.epoch),
                        range_epoch: Epoch(range.epoch),
                        serve_from: now,
                        until: now + max_hold,
                        reply_number: 0,
                    });
                }
            }
        }
    }

    fn record_released(&mut self, range: &ReleasedRange, shard_count: u32) {
        for at in 0..shard_count {
            let shard = ShardId(at);
            let (first, last) = shard_key_range(shard, shard_count);
            let whole = range.first <= first && last <= range.last;
            if whole && self.released_handovers.len() < MAX_STORED_HANDOVERS {
                self.released_handovers
                    .insert(shard, range.handover.clone());
            }
        }
    }

    /// Returns the ranges of one answer, and the number of shards that they hold.
    fn ranges(
        &self,
        grantable: &GrantableShards<'_>,
        handovers: bool,
    ) -> (Vec<GrantedRange>, usize) {
        let mut ranges: Vec<GrantedRange> = Vec::new();
        let mut bytes = 0;
        for (fitting, &(shard, epoch)) in grantable.shards.iter().enumerate() {
            let mut range = self.range(shard, epoch, grantable.shard_count);
            if !handovers {
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
        let range_epoch = self.granted.get(&shard).map_or(epoch, |g| g.range_epoch);
        let received = self
            .received_handovers
            .get(&shard)
            .filter(|(at, _)| *at == epoch);
        GrantedRange {
            first,
            last,
            epoch: range_epoch.max(epoch).0,
            handover: received.map_or_else(String::new, |(_, text)| text.clone()),
        }
    }

    /// Notes what an answer grants: each of the shards with the epoch of its range.
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
            let known = self.granted.get(&shard);
            let serve_from = known.map_or(now + REPLY_DELIVERY_DELAY, |g| g.serve_from);
            // The target counts an answer that it missed until the end of the one before.
            let until = known.map_or(until, |g| g.until.max(until));
            let granted = Granted {
                epoch,
                range_epoch: Epoch(range.epoch),
                serve_from,
                until,
                reply_number: self.replies_sent,
            };
            self.granted.insert(shard, granted);
        }
    }
}

/// Bytes of a range in an answer.
fn encoded_range_bytes(range: &GrantedRange) -> usize {
    let digits = range.epoch.checked_ilog10().unwrap_or(0) as usize + 1;
    RANGE_OVERHEAD_BYTES + digits + range.handover.len()
}

/// Returns the lowest and the highest key of a shard, both included.
pub fn shard_key_range(shard: ShardId, shard_count: u32) -> (u16, u16) {
    let width = KEY_SPACE / shard_count;
    let first = shard.0 * width;
    (first as u16, (first + width - 1) as u16)
}

/// Returns the hash under which a number key is routed. Its low bits are the shard, so that shards
/// are ranges of shard_key_range. `shard_count` is the number of shards, a power of two up to 65536.
pub fn numeric_key_hash(key: u16, shard_count: u32) -> u64 {
    u64::from(key.rotate_left(shard_count.trailing_zeros() % u16::BITS))
}

fn overlaps(range: &HeldRange, shard: ShardId, shard_count: u32) -> bool {
    let (first, last) = shard_key_range(shard, shard_count);
    range.first <= last && first <= range.last
}

fn can_merge(last: &GrantedRange, next: &GrantedRange) -> bool {
    let adjacent = u32::from(last.last) + 1 == u32::from(next.first);
    let plain = last.handover.is_empty() && next.handover.is_empty();
    adjacent && plain
}
