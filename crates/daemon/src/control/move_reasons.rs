//! Why shards and keys moved: reasons that owners got with a release, by table version.
//!
//! A delta says what moved but not why, so the reason travels beside it and ends up in the journal
//! of each daemon. Invariant: at most 256 reasons are held of each kind.

use std::collections::{BTreeMap, HashMap};

use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ServiceId, ShardId};
use masticdeal_ownership::lease::override_shard;
use masticdeal_wire::peer::{MoveReason, Release};

use crate::operators::journal::Cause;

/// MoveReasons that are kept; as many as the history keeps deltas.
const MAX_REASONS: usize = 256;

/// MoveReasons of moves that are asked for, and of those that were made.
#[derive(Debug, Default)]
pub struct MoveReasons {
    requested: HashMap<(ServiceId, ShardId), MoveReason>,
    committed: BTreeMap<u64, MoveReason>,
}

impl MoveReasons {
    /// Remembers why a release was asked for.
    pub fn record_request(&mut self, release: &Release) {
        let shard = release.key_hash.map_or(release.shard, override_shard);
        if self.requested.len() < MAX_REASONS {
            let at = (release.service, shard);
            self.requested.insert(at, release.reason.clone());
        }
    }

    /// Ties the reasons that are asked for to a delta of this daemon that was accepted.
    pub fn commit(&mut self, delta: &Delta) {
        for change in &delta.changes {
            let at = match change {
                Change::Move { service, shard, .. } => (*service, *shard),
                Change::Override {
                    service, key_hash, ..
                } => (*service, override_shard(*key_hash)),
                _ => continue,
            };
            if let Some(reason) = self.requested.remove(&at) {
                self.insert(delta.to_version, reason);
            }
        }
    }

    /// Takes over the reason of another daemon's delta.
    pub fn insert(&mut self, version: u64, reason: MoveReason) {
        self.committed.insert(version, reason);
        while self.committed.len() > MAX_REASONS {
            self.committed.pop_first();
        }
    }

    /// Returns the reasons of the given deltas, to be sent beside them.
    pub fn for_deltas(&self, deltas: &[Delta]) -> Vec<(u64, MoveReason)> {
        let reason = |delta: &Delta| {
            Some((
                delta.to_version,
                self.committed.get(&delta.to_version)?.clone(),
            ))
        };
        deltas.iter().filter_map(reason).collect()
    }

    /// Returns the cause for the journal of the delta that made `version`.
    pub fn cause(&self, version: u64) -> Option<Cause> {
        Some(match self.committed.get(&version)? {
            MoveReason::Balance => Cause::Balance,
            MoveReason::HotKey => Cause::HotKey,
            MoveReason::Operator(author) => Cause::Operator {
                author: author.clone(),
            },
        })
    }
}
