//! What the target beside the daemon may hold, when its grants are the answers to its reports.
//!
//! Invariants: a shard counts as held from the answer that grants it until a later report of the
//! same life shows it gone, or the grant has run out by the clock; what a report names counts as held
//! whoever granted it, such as an earlier process of the daemon; and no grant outlives the lease under
//! which it was given. So a shard that does not count as held may be given to another owner.
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

/// Keys of a service with number keys.
const KEYS: u32 = 1 << 16;

/// Largest answer in bytes; targets take no more than 4 KiB.
const MAX_ANSWER_BYTES: usize = 4_000;

/// Bytes of one range in an answer, without its epoch and its handover: two numbers of five digits, and
/// what stands between them.
const RANGE_BYTES: usize = 18;

/// Time from the answer that grants a shard until requests for it are sent. A request that overtakes
/// the answer would be refused by the target.
const ANSWER_LEAD: Duration = Duration::from_millis(3);

/// Most texts that are kept for shards of other daemons' targets or for the own.
const MAX_HANDOVERS: usize = 1_024;

/// One shard that was granted.
#[derive(Debug, Clone, Copy)]
struct Granted {
    /// Epoch of the shard.
    epoch: Epoch,
    /// Epoch of the range that the target was told, at least that of the shard.
    told: Epoch,
    /// From when requests may be sent.
    from: Duration,
    /// End by the daemon's clock.
    until: Duration,
    /// Number of the last answer that granted it.
    answer: u64,
}

#[derive(Debug, Default)]
struct State {
    life: u64,
    /// Answers so far.
    answers: u64,
    granted: BTreeMap<ShardId, Granted>,
    /// What the own target released, by shard.
    released: HashMap<ShardId, String>,
    /// What other targets handed over for shards of this daemon.
    received: HashMap<ShardId, (Epoch, String)>,
}

/// What the target may hold.
#[derive(Debug, Default)]
pub struct Holdings {
    state: Mutex<State>,
    changed: Notify,
}

/// What may be granted now.
#[derive(Debug, Clone, Copy)]
pub struct Entitled<'a> {
    /// Shards and epochs, in the order of the shards.
    pub shards: &'a [(ShardId, Epoch)],
    /// Shards of the service.
    pub count: u32,
    /// End of the grant by the daemon's clock.
    pub until: Duration,
    /// Longest grant that the target takes.
    pub longest: Duration,
    /// Largest deviation of the target's clock, in parts per million.
    pub drift_ppm: u32,
}

impl Holdings {
    /// Takes over what a report shows. `count` is the number of shards of the service, `longest` the
    /// longest time for which an earlier process may have granted what the report names.
    pub fn learn(&self, now: Duration, report: &Report, count: u32, longest: Duration) {
        let mut state = self.lock();
        if state.life != report.announce.incarnation {
            state.life = report.announce.incarnation;
            state.granted.clear();
            state.released.clear();
        }
        for range in &report.released {
            state.note_released(range, count);
        }
        // A target reports after each answer, so what the last answer left out and the report does
        // not name is no longer held.
        // A target that holds a shard has taken what its last holder handed over.
        let holds = |shard: ShardId| report.holds.iter().any(|r| overlaps(r, shard, count));
        state.received.retain(|shard, _| !holds(*shard));
        let answers = state.answers;
        state.granted.retain(|shard, granted| {
            let kept = granted.answer == answers;
            now < granted.until && (kept || holds(*shard))
        });
        state.note_reported(now, report, count, longest);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Makes the grant that answers a report which was just taken over.
    pub fn grant(&self, now: Duration, entitled: &Entitled<'_>) -> RangeGrant {
        let mut state = self.lock();
        state.answers += 1;
        let left = entitled.until.saturating_sub(now).min(entitled.longest);
        let slow = 1.0 + f64::from(entitled.drift_ppm) / 1e6;
        let (mut ranges, mut fitting) = state.ranges(entitled, true);
        if fitting < entitled.shards.len() {
            // Keys without their handover are served slowly for a while; keys left out, by nobody.
            (ranges, fitting) = state.ranges(entitled, false);
        }
        if fitting < entitled.shards.len() {
            log::warn!(shards = entitled.shards.len(), fitting; "the grant does not fit one answer");
        }
        state.note_granted(
            now,
            &entitled.shards[..fitting],
            &ranges,
            entitled.count,
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
        granted.is_some_and(|g| g.epoch <= epoch && g.from <= now && now < g.until)
    }

    /// Notes that the target's process is gone, and with it all that it held.
    pub fn clear(&self) {
        self.lock().granted.clear();
        self.changed.notify_waiters();
    }

    /// Returns whether the target can no longer hold the shard.
    pub fn is_free(&self, now: Duration, shard: ShardId) -> bool {
        let state = self.lock();
        state.granted.get(&shard).is_none_or(|g| g.until <= now)
    }

    /// Resolves at the next report, answer or loss of the target after this call.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Keeps what another target handed over for a shard of this daemon.
    pub fn receive(&self, shard: ShardId, epoch: Epoch, text: String) {
        let mut state = self.lock();
        if state.received.len() < MAX_HANDOVERS {
            state.received.insert(shard, (epoch, text));
        }
    }

    /// Takes what the own target released for the next owner of the shard.
    pub fn take_released(&self, shard: ShardId) -> Option<String> {
        self.lock().released.remove(&shard)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    fn note_reported(&mut self, now: Duration, report: &Report, count: u32, longest: Duration) {
        for range in &report.holds {
            for shard in (0..count).map(ShardId) {
                if overlaps(range, shard, count) {
                    self.granted.entry(shard).or_insert(Granted {
                        epoch: Epoch(range.epoch),
                        told: Epoch(range.epoch),
                        from: now,
                        until: now + longest,
                        answer: 0,
                    });
                }
            }
        }
    }

    fn note_released(&mut self, range: &ReleasedRange, count: u32) {
        for at in 0..count {
            let shard = ShardId(at);
            let (first, last) = keys(shard, count);
            let whole = range.first <= first && last <= range.last;
            if whole && self.released.len() < MAX_HANDOVERS {
                self.released.insert(shard, range.handover.clone());
            }
        }
    }

    /// Returns the ranges of one answer, and the number of shards that they hold.
    fn ranges(&self, entitled: &Entitled<'_>, handovers: bool) -> (Vec<GrantedRange>, usize) {
        let mut ranges: Vec<GrantedRange> = Vec::new();
        let mut bytes = 0;
        for (fitting, &(shard, epoch)) in entitled.shards.iter().enumerate() {
            let mut range = self.range(shard, epoch, entitled.count);
            if !handovers {
                range.handover.clear();
            }
            let merged = ranges.last_mut().filter(|last| joins(last, &range));
            if let Some(last) = merged {
                last.last = range.last;
                last.epoch = last.epoch.max(range.epoch);
                continue;
            }
            bytes += range_bytes(&range);
            if bytes > MAX_ANSWER_BYTES {
                return (ranges, fitting);
            }
            ranges.push(range);
        }
        (ranges, entitled.shards.len())
    }

    fn range(&self, shard: ShardId, epoch: Epoch, count: u32) -> GrantedRange {
        let (first, last) = keys(shard, count);
        let told = self.granted.get(&shard).map_or(epoch, |g| g.told);
        let received = self.received.get(&shard).filter(|(at, _)| *at == epoch);
        GrantedRange {
            first,
            last,
            epoch: told.max(epoch).0,
            handover: received.map_or_else(String::new, |(_, text)| text.clone()),
        }
    }

    /// Notes what an answer grants: each of the shards with the epoch of its range.
    fn note_granted(
        &mut self,
        now: Duration,
        shards: &[(ShardId, Epoch)],
        ranges: &[GrantedRange],
        count: u32,
        until: Duration,
    ) {
        let mut ranges = ranges.iter().peekable();
        for &(shard, epoch) in shards {
            let (first, _) = keys(shard, count);
            while ranges.next_if(|r| r.last < first).is_some() {}
            let Some(range) = ranges.peek() else { return };
            let known = self.granted.get(&shard);
            let from = known.map_or(now + ANSWER_LEAD, |g| g.from);
            // The target counts an answer that it missed until the end of the one before.
            let until = known.map_or(until, |g| g.until.max(until));
            let granted = Granted {
                epoch,
                told: Epoch(range.epoch),
                from,
                until,
                answer: self.answers,
            };
            self.granted.insert(shard, granted);
        }
    }
}

/// Bytes of a range in an answer.
fn range_bytes(range: &GrantedRange) -> usize {
    let digits = range.epoch.checked_ilog10().unwrap_or(0) as usize + 1;
    RANGE_BYTES + digits + range.handover.len()
}

/// Returns the lowest and the highest key of a shard, both included.
pub fn keys(shard: ShardId, count: u32) -> (u16, u16) {
    let width = KEYS / count;
    let first = shard.0 * width;
    (first as u16, (first + width - 1) as u16)
}

/// Returns the hash under which a number key is routed. Its low bits are the shard, so that shards
/// are ranges of keys. `count` is the number of shards, a power of two up to 65536.
pub fn number_hash(key: u16, count: u32) -> u64 {
    u64::from(key.rotate_left(count.trailing_zeros() % u16::BITS))
}

fn overlaps(range: &HeldRange, shard: ShardId, count: u32) -> bool {
    let (first, last) = keys(shard, count);
    range.first <= last && first <= range.last
}

fn joins(last: &GrantedRange, next: &GrantedRange) -> bool {
    let adjacent = u32::from(last.last) + 1 == u32::from(next.first);
    let plain = last.handover.is_empty() && next.handover.is_empty();
    adjacent && plain
}
