//! Bounded journal of decisions and their causes, which answers operators' "why" questions.

use std::collections::VecDeque;
use std::sync::Arc;

use displaydoc::Display;
use masticdeal_config::diff::Difference;
use masticdeal_ownership::change::EndCause;
use masticdeal_ownership::ids::{SessionId, ShardId};
use masticdeal_wire::peer::Versions;
use serde::Serialize;

/// Memory limit of a daemon's journal in bytes, without the names that entries share.
pub const DEFAULT_MEMORY_LIMIT_BYTES: usize = 1 << 20;

/// A decision with its cause.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Unix time in milliseconds at which this daemon recorded the decision.
    pub time_ms: u64,
    /// Table version and configuration revision that contain the decision. For a refusal, those
    /// that it is based on.
    pub versions: Versions,
    /// The decision.
    pub kind: EntryKind,
    /// Its cause.
    pub cause: Cause,
}

/// A decision. The variants' doc comments are the texts that operators read.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum EntryKind {
    /// {vm} joined as session {session}
    Joined {
        /// Its VM.
        vm: Arc<str>,
        /// The session.
        session: SessionId,
    },
    /// {vm} was ended (session {session})
    Ended {
        /// Its VM.
        vm: Arc<str>,
        /// The session.
        session: SessionId,
    },
    /// {vm} got {shards} of {service}
    Assigned {
        /// Name of the service.
        service: Arc<str>,
        /// The shards.
        shards: ShardSet,
        /// VM of the new owner.
        vm: Arc<str>,
        /// The new owner.
        session: SessionId,
    },
    /// shard {shard} of {service} moved from {from} to {to}
    Moved {
        /// Name of the service.
        service: Arc<str>,
        /// The shard.
        shard: ShardId,
        /// VM of the former owner.
        from: Arc<str>,
        /// VM of the new owner.
        to: Arc<str>,
        /// The new owner.
        session: SessionId,
    },
    /// {vm} got a hot key of {service} as an override
    OverrideSet {
        /// Name of the service.
        service: Arc<str>,
        /// xxh3 hash of the key.
        key_hash: u64,
        /// VM of the new owner.
        vm: Arc<str>,
        /// The new owner.
        session: SessionId,
    },
    /// a hot key of {service} returned to its shard
    OverrideRemoved {
        /// Name of the service.
        service: Arc<str>,
        /// xxh3 hash of the key.
        key_hash: u64,
    },
    /// the target of {vm} became {state}
    TargetChanged {
        /// Its VM.
        vm: Arc<str>,
        /// The state.
        state: TargetLabel,
    },
    /// {vm} changed its lessors
    LessorsChanged {
        /// VM of the lessee.
        vm: Arc<str>,
    },
    /// service {service} was declared
    Declared {
        /// Name of the service.
        service: Arc<str>,
    },
    /// configuration revision {revision} was accepted ({differences})
    Configured {
        /// The revision.
        revision: u64,
        /// Differences from the revision that was installed before.
        differences: Differences,
    },
    /// the command `{command}` was refused
    Refused {
        /// The command as text.
        command: String,
    },
}

/// Differences between two configurations. The text lists only the first few.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Differences(pub Vec<Difference>);

impl std::fmt::Display for Differences {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        const MAX_SHOWN: usize = 3;
        let shown: Vec<String> = self
            .0
            .iter()
            .take(MAX_SHOWN)
            .map(ToString::to_string)
            .collect();
        match self.0.len() {
            0 => f.write_str("no difference in meaning"),
            all if all > MAX_SHOWN => {
                write!(f, "{} and {} more", shown.join(", "), all - MAX_SHOWN)
            }
            _ => f.write_str(&shown.join(", ")),
        }
    }
}

/// State of a target. The variants' doc comments are the texts that operators read.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetLabel {
    /// ready
    Ready,
    /// draining
    Draining,
    /// away
    Away,
    /// absent
    Absent,
}

/// Cause of a decision. The variants' doc comments follow the word "because" in answers.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Cause {
    /// nobody owned it at that moment
    FirstOwner,
    /// {vm} was ended: {end}
    OwnerEnded {
        /// VM of the former owner.
        vm: Arc<str>,
        /// How the session ended.
        end: EndLabel,
    },
    /// the target of {vm} is draining or away
    TargetLeaves {
        /// Its VM.
        vm: Arc<str>,
    },
    /// {0}
    Session(EndLabel),
    /// the planner evened out the load
    Balance,
    /// the key is hot
    HotKey,
    /// {author} asked for it
    Operator {
        /// Name of the operator as the tool sent it.
        author: String,
    },
    /// its target or an operator asked for it
    Announced,
    /// the daemon asked for it
    Requested,
    /// {0}
    Refusal(String),
    /// it was moved from {vm}
    MovedFrom {
        /// VM of the former owner.
        vm: Arc<str>,
    },
    /// another daemon decided so
    Remote,
}

/// End of a session. The variants' doc comments are the texts that operators read.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum EndLabel {
    /// its lease expired
    LeaseExpired,
    /// it left of its own accord
    Left,
    /// a new daemon took over its address
    Replaced,
    /// an operator confirmed that it is lost
    ConfirmedLost,
    /// this daemon learned of it afterwards
    NotObserved,
}

impl From<EndCause> for EndLabel {
    fn from(cause: EndCause) -> Self {
        match cause {
            EndCause::LeaseExpired => Self::LeaseExpired,
            EndCause::Left => Self::Left,
            EndCause::Replaced => Self::Replaced,
            EndCause::ConfirmedLost => Self::ConfirmedLost,
        }
    }
}

/// Set of shards, stored as sorted, inclusive ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardSet(Vec<(u32, u32)>);

impl ShardSet {
    /// Returns whether the set contains the shard.
    pub fn contains(&self, shard: ShardId) -> bool {
        let index = self.0.partition_point(|(_, last)| *last < shard.0);
        self.0
            .get(index)
            .is_some_and(|(first, _)| *first <= shard.0)
    }

    /// Returns the number of shards.
    pub fn count(&self) -> u64 {
        self.0
            .iter()
            .map(|(first, last)| u64::from(last - first) + 1)
            .sum()
    }
}

impl FromIterator<ShardId> for ShardSet {
    fn from_iter<I: IntoIterator<Item = ShardId>>(shards: I) -> Self {
        let mut sorted: Vec<u32> = shards.into_iter().map(|shard| shard.0).collect();
        sorted.sort_unstable();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for shard in sorted {
            match ranges.last_mut() {
                Some((_, last)) if shard <= last.saturating_add(1) => *last = shard,
                _ => ranges.push((shard, shard)),
            }
        }
        Self(ranges)
    }
}

impl std::fmt::Display for ShardSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.as_slice() {
            [(first, last)] if first == last => write!(f, "shard {first}"),
            _ => write!(f, "{} shards", self.count()),
        }
    }
}

/// Returns the entries of decisions that share versions and time.
pub(super) fn to_entries(
    decisions: impl IntoIterator<Item = (EntryKind, Cause)>,
    versions: Versions,
    time_ms: u64,
) -> Vec<Entry> {
    let to_entry = |(kind, cause)| Entry {
        time_ms,
        versions,
        kind,
        cause,
    };
    decisions.into_iter().map(to_entry).collect()
}

impl Entry {
    /// Returns the memory size of the entry in bytes, without shared names.
    fn memory_bytes(&self) -> usize {
        let heap_bytes = match &self.kind {
            EntryKind::Assigned { shards, .. } => size_of_val(shards.0.as_slice()),
            // 96 bytes allow for the three short strings of a difference.
            EntryKind::Configured { differences, .. } => {
                differences.0.len() * (size_of::<Difference>() + 96)
            }
            EntryKind::Refused { command } => command.len(),
            _ => 0,
        };
        size_of::<Self>() + heap_bytes
    }

    /// Returns whether the entry assigned this shard to an owner or moved it.
    pub fn assigns_shard(&self, service: &str, shard_id: ShardId) -> bool {
        match &self.kind {
            EntryKind::Assigned {
                service: s, shards, ..
            } => **s == *service && shards.contains(shard_id),
            EntryKind::Moved {
                service: s, shard, ..
            } => **s == *service && *shard == shard_id,
            _ => false,
        }
    }

    /// Returns whether the entry changed the state of this VM's target, ended the VM's session, or
    /// set the VM to drain.
    pub fn affects_availability(&self, wanted_vm: &str) -> bool {
        match &self.kind {
            EntryKind::TargetChanged { vm, .. } | EntryKind::Ended { vm, .. } => **vm == *wanted_vm,
            EntryKind::Configured { differences, .. } => differences
                .0
                .iter()
                .any(|difference| adds_to_away_list(difference, wanted_vm)),
            _ => false,
        }
    }

    /// Returns whether the entry set or removed an override of this key.
    pub fn changes_override(&self, service: &str, hash: u64) -> bool {
        match &self.kind {
            EntryKind::OverrideSet {
                service: s,
                key_hash,
                ..
            }
            | EntryKind::OverrideRemoved {
                service: s,
                key_hash,
            } => **s == *service && *key_hash == hash,
            _ => false,
        }
    }
}

/// Returns whether a difference adds a VM to `rules.away`, the targets that operators drained.
fn adds_to_away_list(difference: &Difference, wanted_vm: &str) -> bool {
    let lists = |value: &str| value.split(',').any(|name| name.trim() == wanted_vm);
    match difference {
        Difference::Rule { key, old, new } => key == "away" && !lists(old) && lists(new),
        _ => false,
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} because {}", self.kind, self.cause)
    }
}

/// Journal of the latest decisions, within a memory limit.
#[derive(Debug)]
pub struct Journal {
    entries: VecDeque<Entry>,
    memory_limit_bytes: usize,
    memory_bytes: usize,
    started_ms: u64,
    dropped: u64,
}

impl Journal {
    /// Creates an empty journal. `started_ms` is the current Unix time in milliseconds.
    pub fn new(started_ms: u64, memory_limit_bytes: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            memory_limit_bytes,
            memory_bytes: 0,
            started_ms,
            dropped: 0,
        }
    }

    /// Adds a decision and drops the oldest ones until the journal is within its memory limit. A
    /// decision that exceeds the limit by itself is dropped too.
    pub fn record(&mut self, entry: Entry) {
        self.memory_bytes += entry.memory_bytes();
        self.entries.push_back(entry);
        while self.memory_bytes > self.memory_limit_bytes {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.memory_bytes -= oldest.memory_bytes();
            self.dropped += 1;
        }
    }

    /// Returns all decisions in the journal, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the decisions since a Unix time in milliseconds, oldest first.
    pub fn since(&self, time_ms: u64) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |entry| entry.time_ms >= time_ms)
    }

    /// Returns the latest decision that matches.
    pub fn newest(&self, matches: impl Fn(&Entry) -> bool) -> Option<&Entry> {
        self.entries.iter().rev().find(|entry| matches(entry))
    }

    /// Returns the Unix time in milliseconds since which the journal contains every decision that
    /// this daemon recorded.
    pub fn complete_since_ms(&self) -> u64 {
        match (self.dropped, self.entries.front()) {
            (0, _) | (_, None) => self.started_ms,
            (_, Some(oldest)) => oldest.time_ms,
        }
    }

    /// Returns the number of decisions that were dropped because of the memory limit.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the memory size of the decisions in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }
}
