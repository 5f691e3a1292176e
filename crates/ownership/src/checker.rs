//! Checks the invariants of the ownership state. Each daemon checks its own state; the tests check
//! the lease cores of several daemons together.

use std::collections::BTreeMap;
use std::time::Duration;

use displaydoc::Display;

use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::lease::Core;
use crate::table::{
    MAX_DEPARTURES, MAX_OVERRIDES, MAX_RECENT_CHANGES, MAX_SHARDS, Session, Shard, Table,
    TargetInfo, TargetState,
};

/// A violated invariant.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Violation {
    /// sessions are not in ascending order at session {0}
    SessionOrder(SessionId),
    /// session {0} has lessors that are duplicate, unallocated, itself or more than two
    InvalidLessors(SessionId),
    /// session {0} has the address of another session
    DuplicateAddress(SessionId),
    /// shard {1} of service {0} belongs to a session that is not in the table
    UnknownOwner(ServiceId, ShardId),
    /// target of session {0} is in service after its departure
    DepartedTarget(SessionId),
    /// limit on {0} is exceeded
    LimitExceeded(&'static str),
    /// version decreased from {0} to {1}
    VersionDecreased(u64, u64),
    /// epoch of shard {1} of service {0} did not increase with a change of its owner
    EpochReused(ServiceId, ShardId),
    /// epoch of shard {1} of service {0} is above the version of the table
    EpochAboveVersion(ServiceId, ShardId),
    /// session {0} serves without a valid lease
    ServingWithoutLease(SessionId),
    /// grant of session {0} outlives its lease
    GrantOutlivesLease(SessionId),
    /// sessions {2} and {3} both serve shard {1} of service {0}
    TwoOwners(ServiceId, ShardId, SessionId, SessionId),
}

impl std::error::Error for Violation {}

/// Result with [`Violation`] as the default error.
pub type Result<T, E = Violation> = std::result::Result<T, E>;

/// Checks one table, without reference to another one.
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
        return Err(Violation::LimitExceeded("recent changes"));
    }
    if table.departures.len() > MAX_DEPARTURES {
        return Err(Violation::LimitExceeded("departures"));
    }
    for departure in &table.departures {
        let session = addresses.get(&departure.address);
        let target = session.and_then(|id| table.session(*id)?.target.as_ref());
        let is_in_service = |t: &&TargetInfo| {
            t.state == TargetState::Ready && t.incarnation == departure.incarnation
        };
        if let Some((id, _)) = session.zip(target.filter(is_in_service)) {
            return Err(Violation::DepartedTarget(*id));
        }
    }
    check_epochs(table)?;
    check_owners(table)
}

fn check_session(table: &Table, s: &Session) -> Result<()> {
    if s.id.0 >= table.next_session {
        return Err(Violation::SessionOrder(s.id));
    }
    // A lessor may have ended; it still counts when its lessee is to be ended (R5).
    let is_valid = |id: &SessionId| *id != s.id && id.0 < table.next_session;
    let distinct = s.lessors.len() < 2 || s.lessors[0] != s.lessors[1];
    if s.lessors.len() > 2 || !distinct || !s.lessors.iter().all(is_valid) {
        return Err(Violation::InvalidLessors(s.id));
    }
    Ok(())
}

/// Checks that no shard has an epoch above the version of the table. The epoch of the next version
/// is then above all others. Grants require this, because they use the highest epoch in a range of
/// shards for the whole range.
fn check_epochs(table: &Table) -> Result<()> {
    for (index, service) in table.services.iter().enumerate() {
        let is_above_version = |s: &Shard| u64::from(s.epoch.0) > table.version;
        if let Some(shard) = service.shards.iter().position(is_above_version) {
            let service = ServiceId(index as u16);
            return Err(Violation::EpochAboveVersion(service, ShardId(shard as u32)));
        }
    }
    Ok(())
}

fn check_owners(table: &Table) -> Result<()> {
    for (service_index, service) in table.services.iter().enumerate() {
        let id = ServiceId(service_index as u16);
        if service.overrides.len() > MAX_OVERRIDES {
            return Err(Violation::LimitExceeded("overrides"));
        }
        // Adjacent shards often have the same owner, so most searches for the owner are skipped.
        let mut last_owner = None;
        for (shard_index, shard) in service.shards.iter().enumerate() {
            if shard.owner == last_owner {
                continue;
            }
            if shard
                .owner
                .is_some_and(|owner| table.session(owner).is_none())
            {
                return Err(Violation::UnknownOwner(id, ShardId(shard_index as u32)));
            }
            last_owner = shard.owner;
        }
    }
    Ok(())
}

/// Checks a table against the one that it replaces at the same daemon: the version must not
/// decrease, and a shard that is assigned again must get a higher epoch. In a new era of the store,
/// an unassigned shard may lack its earlier epoch: its next one is above all of the earlier versions.
///
/// # Errors
///
/// The first [`Violation`] found.
pub fn check_transition(old: &Table, new: &Table) -> Result<()> {
    if new.version < old.version {
        return Err(Violation::VersionDecreased(old.version, new.version));
    }
    for (index, (old_service, new_service)) in old.services.iter().zip(&new.services).enumerate() {
        for (shard, (old_shard, new_shard)) in old_service
            .shards
            .iter()
            .zip(&new_service.shards)
            .enumerate()
        {
            let same_epoch = old_shard.epoch == new_shard.epoch;
            let unassigned = new_shard.owner.is_none() && (same_epoch || new.era > old.era);
            let unchanged = old_shard == new_shard;
            if !(unassigned || unchanged || new_shard.epoch > old_shard.epoch) {
                let shard = ShardId(shard as u32);
                return Err(Violation::EpochReused(ServiceId(index as u16), shard));
            }
        }
    }
    Ok(())
}

/// Checks one lease core. `now` is the time since boot of its VM.
///
/// # Errors
///
/// The first [`Violation`] found.
pub fn check_core(core: &Core, now: Duration) -> Result<()> {
    let Some(session) = core.session() else {
        return Ok(());
    };
    let has_valid_lease = core.lease_until().is_some_and(|until| now < until);
    if !has_valid_lease && core.serving(now).next().is_some() {
        return Err(Violation::ServingWithoutLease(session));
    }
    let grants = core.grants(now);
    if grants.is_some_and(|g| Some(g.until) > core.lease_until()) {
        return Err(Violation::GrantOutlivesLease(session));
    }
    Ok(())
}

/// Checks that no two lease cores serve the same shard at one instant. Each core comes with the
/// time since boot of its VM at that instant.
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
            let key = (held.service, held.shard);
            if let Some((other, _)) = owners.insert(key, (session, held.epoch)) {
                return Err(Violation::TwoOwners(key.0, key.1, other, session));
            }
        }
    }
    Ok(())
}
