//! Reasons of moves, by table version.
//!
//! A delta contains what moved but not why. The owner receives the reason with the release request
//! and sends it with the delta, so that each daemon records it in its journal.
//!
//! Invariant: at most `MAX_REASONS` reasons are stored for requested moves, and as many for
//! committed ones.

use std::collections::{BTreeMap, HashMap};

use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ServiceId, ShardId};
use masticdeal_ownership::lease::override_shard;
use masticdeal_wire::peer::{MoveReason, Release};

use crate::operators::journal::Cause;

/// Maximum number of stored reasons of each kind. The history contains as many deltas.
const MAX_REASONS: usize = 256;

/// Reasons of requested and of committed moves.
#[derive(Debug, Default)]
pub struct MoveReasons {
    requested: HashMap<(ServiceId, ShardId), MoveReason>,
    committed: BTreeMap<u64, MoveReason>,
}

impl MoveReasons {
    /// Records the reason of a requested release, unless `MAX_REASONS` are stored already.
    pub fn record_request(&mut self, release: &Release) {
        let shard = release.key_hash.map_or(release.shard, override_shard);
        if self.requested.len() < MAX_REASONS {
            let item = (release.service, shard);
            self.requested.insert(item, release.reason.clone());
        }
    }

    /// Assigns the reasons of requested moves to the delta of a successful swap of this daemon.
    pub fn commit(&mut self, delta: &Delta) {
        for change in &delta.changes {
            let item = match change {
                Change::Move { service, shard, .. } => (*service, *shard),
                Change::Override {
                    service, key_hash, ..
                } => (*service, override_shard(*key_hash)),
                _ => continue,
            };
            if let Some(reason) = self.requested.remove(&item) {
                self.insert(delta.to_version, reason);
            }
        }
    }

    /// Stores the reason of the delta that leads to table `version`, and drops the oldest reasons
    /// beyond `MAX_REASONS`.
    pub fn insert(&mut self, version: u64, reason: MoveReason) {
        self.committed.insert(version, reason);
        while self.committed.len() > MAX_REASONS {
            self.committed.pop_first();
        }
    }

    /// Returns the reasons of the given deltas with their versions, as they are sent to peers.
    pub fn for_deltas(&self, deltas: &[Delta]) -> Vec<(u64, MoveReason)> {
        let reason = |delta: &Delta| {
            Some((
                delta.to_version,
                self.committed.get(&delta.to_version)?.clone(),
            ))
        };
        deltas.iter().filter_map(reason).collect()
    }

    /// Returns the cause to record in the journal for the delta that leads to table `version`.
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
