//! Asserts the invariants of the ownership state. The daemon checks itself with it, and the tests
//! check a whole set of cores.

use std::collections::BTreeMap;
use std::time::Duration;

use displaydoc::Display;

use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::lease::Core;
use crate::table::{MAX_OVERRIDES, MAX_RECENT_CHANGES, MAX_SHARDS, Session, Shard, Table};

/// A broken invariant.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Violation {
    /// sessions are not in ascending order at session {0}
    SessionOrder(SessionId),
    /// session {0} names lessors that cannot be
    InvalidLessors(SessionId),
    /// two sessions have the address of session {0}
    DuplicateAddress(SessionId),
    /// shard {1} of service {0} belongs to a session that is not in the table
    UnknownOwner(ServiceId, ShardId),
    /// limit of {0} is exceeded
    LimitExceeded(&'static str),
    /// version fell from {0} to {1}
    VersionDecreased(u64, u64),
    /// epoch of shard {1} of service {0} did not rise with a change of its owner
    EpochReused(ServiceId, ShardId),
    /// epoch of shard {1} of service {0} is above the version of the table
    EpochAboveVersion(ServiceId, ShardId),
    /// session {0} serves without a live lease
    ServingWithoutLease(SessionId),
    /// grant of session {0} outlives its lease
    GrantOutlivesLease(SessionId),
    /// sessions {2} and {3} both serve shard {1} of service {0}
    TwoOwners(ServiceId, ShardId, SessionId, SessionId),
}

impl std::error::Error for Violation {}

/// Result of this module.
pub type Result<T, E = Violation> = std::result::Result<T, E>;

/// Checks one table by itself.
///
/// # Errors
///
/// The first [`Violation`] found.
pub fn check_table(table: &Table) -> Result<()> {
    for pair in table.sessions.windows(2) {
        if pair[0].id >= pair[1].id {
            return Err(Violation::SessionOrder(pair[1].id));
        }
    }
    let mut addresses = BTreeMap::new();
    for s in &table.sessions {
        check_session(table, s)?;
        if addresses.insert(s.address, s.id).is_some() {
            return Err(Violation::DuplicateAddress(s.id));
        }
    }
    let shards: usize = table.services.iter().map(|s| s.shards.len()).sum();
    if shards > MAX_SHARDS {
        return Err(Violation::LimitExceeded("shards"));
    }
    if table.recent_changes.len() > MAX_RECENT_CHANGES {
        return Err(Violation::LimitExceeded("remembered changes"));
    }
    check_epochs(table)?;
    check_owners(table)
}

fn check_session(table: &Table, s: &Session) -> Result<()> {
    if s.id.0 >= table.next_session {
        return Err(Violation::SessionOrder(s.id));
    }
    // Lessors may have ended; they still decide when the lessee may end (R5).
    let possible = |id: &SessionId| *id != s.id && id.0 < table.next_session;
    let distinct = s.lessors.len() < 2 || s.lessors[0] != s.lessors[1];
    if s.lessors.len() > 2 || !distinct || !s.lessors.iter().all(possible) {
        return Err(Violation::InvalidLessors(s.id));
    }
    Ok(())
}

/// Checks that the epochs that the next version gives are above all others: ranges of shards are granted
/// under the highest epoch among them.
fn check_epochs(table: &Table) -> Result<()> {
    for (at, service) in table.services.iter().enumerate() {
        let above = |s: &Shard| u64::from(s.epoch.0) > table.version;
        if let Some(shard) = service.shards.iter().position(above) {
            let service = ServiceId(at as u16);
            return Err(Violation::EpochAboveVersion(service, ShardId(shard as u32)));
        }
    }
    Ok(())
}

fn check_owners(table: &Table) -> Result<()> {
    for (at, service) in table.services.iter().enumerate() {
        let id = ServiceId(at as u16);
        if service.overrides.len() > MAX_OVERRIDES {
            return Err(Violation::LimitExceeded("overrides"));
        }
        // Neighbouring shards often share an owner, which saves most of the searches.
        let mut last_owner = None;
        for (at, shard) in service.shards.iter().enumerate() {
            if shard.owner == last_owner {
                continue;
            }
            if shard
                .owner
                .is_some_and(|owner| table.session(owner).is_none())
            {
                return Err(Violation::UnknownOwner(id, ShardId(at as u32)));
            }
            last_owner = shard.owner;
        }
    }
    Ok(())
}

/// Checks a table against the one that a daemon held before.
///
/// # Errors
///
/// The first [`Violation`] found.
pub fn check_transition(old: &Table, new: &Table) -> Result<()> {
    if new.version < old.version {
        return Err(Violation::VersionDecreased(old.version, new.version));
    }
    for (at, (before, after)) in old.services.iter().zip(&new.services).enumerate() {
        for (shard, (x, y)) in before.shards.iter().zip(&after.shards).enumerate() {
            let lost = y.owner.is_none() && x.epoch == y.epoch;
            let same = x == y;
            if !(lost || same || y.epoch > x.epoch) {
                let shard = ShardId(shard as u32);
                return Err(Violation::EpochReused(ServiceId(at as u16), shard));
            }
        }
    }
    Ok(())
}

/// Checks what one core may do at boot time `now` of its VM.
///
/// # Errors
///
/// The first [`Violation`] found.
pub fn check_core(core: &Core, now: Duration) -> Result<()> {
    let Some(session) = core.session() else {
        return Ok(());
    };
    let live = core.lease_until().is_some_and(|until| now < until);
    if !live && core.serving(now).next().is_some() {
        return Err(Violation::ServingWithoutLease(session));
    }
    let grants = core.grants(now);
    if grants.is_some_and(|g| Some(g.until) > core.lease_until()) {
        return Err(Violation::GrantOutlivesLease(session));
    }
    Ok(())
}

/// Checks that no two cores serve one shard. Each core comes with the boot time of its VM at one
/// common instant.
///
/// # Errors
///
/// The first [`Violation`] found.
pub fn check_cores<'a>(cores: impl Iterator<Item = (&'a Core, Duration)>) -> Result<()> {
    let mut owners: BTreeMap<(ServiceId, ShardId), (SessionId, Epoch)> = BTreeMap::new();
    for (core, now) in cores {
        check_core(core, now)?;
        let Some(session) = core.session() else {
            continue;
        };
        for held in core.serving(now) {
            let at = (held.service, held.shard);
            if let Some((other, _)) = owners.insert(at, (session, held.epoch)) {
                return Err(Violation::TwoOwners(at.0, at.1, other, session));
            }
        }
    }
    Ok(())
}
