//! Applies changes to the assignment table.
//!
//! The result depends only on the table and the change, so every daemon derives the same table from
//! the same delta. A delta is applied completely or rejected.

use std::net::SocketAddr;

use displaydoc::Display;

use crate::change::{Change, Delta};
use crate::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId, shard_of};
use crate::table::{
    Departure, KeyOverride, MAX_DEPARTURES, MAX_NAME_BYTES, MAX_OVERRIDES, MAX_RECENT_CHANGES,
    MAX_SERVICES, MAX_SESSIONS, MAX_SHARDS, Service, Session, Shard, Table, TargetInfo,
    TargetState,
};

/// Why a delta or one of its changes cannot be applied to the table.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// delta produces version {to}, but the table is at version {current}
    VersionMismatch {
        /// Version of the table.
        current: u64,
        /// Version that the delta produces.
        to: u64,
    },
    /// session {0} is not in the table
    UnknownSession(SessionId),
    /// session {0} has a different term
    TermMismatch(SessionId),
    /// session {0} must have at most two distinct lessors from the table, other than itself
    InvalidLessors(SessionId),
    /// address is in use by session {0}
    AddressInUse(SessionId),
    /// session {0} has the same incarnation
    AlreadyJoined(SessionId),
    /// name is empty or longer than 64 bytes
    InvalidName,
    /// service {0} is not in the table
    UnknownService(ServiceId),
    /// service already exists with {0} shards
    ShardCountMismatch(usize),
    /// shard count {0} is not a power of two
    NotPowerOfTwo(u32),
    /// shard {0} does not exist
    UnknownShard(ShardId),
    /// shards are not in ascending order
    UnsortedShards,
    /// shard {0} already has an owner
    AlreadyOwned(ShardId),
    /// shard {0} has another owner or epoch
    OwnerMismatch(ShardId),
    /// session {0} has no target of the service
    NoTarget(SessionId),
    /// key has another owner or epoch, or its service is unsharded
    KeyOwnerMismatch,
    /// key has no override
    NoOverride,
    /// limit on {0} is reached
    LimitReached(&'static str),
}

impl std::error::Error for ApplyError {}

/// Result with [`ApplyError`] as the default error.
pub type Result<T, E = ApplyError> = std::result::Result<T, E>;

impl Table {
    /// Applies a delta and returns the next version of the table.
    ///
    /// # Errors
    ///
    /// Any [`ApplyError`]; the table is not modified.
    pub fn apply(&self, delta: &Delta) -> Result<Self> {
        if delta.to_version != self.version + 1 {
            return Err(ApplyError::VersionMismatch {
                current: self.version,
                to: delta.to_version,
            });
        }
        let mut next = self.clone();
        for change in &delta.changes {
            next.apply_change(change)?;
        }
        next.commit_version(delta.change_id);
        Ok(next)
    }

    /// Increments the version and records the change id. Call it once, after the changes of a swap.
    pub(crate) fn commit_version(&mut self, change_id: ChangeId) {
        self.version += 1;
        self.record_change(change_id);
    }

    /// Adds the id of a change that the table contains.
    pub(crate) fn record_change(&mut self, change_id: ChangeId) {
        if self.recent_changes.len() >= MAX_RECENT_CHANGES {
            self.recent_changes.remove(0);
        }
        self.recent_changes.push(change_id);
    }

    /// Applies one change without incrementing the version.
    ///
    /// # Errors
    ///
    /// Any [`ApplyError`] except [`ApplyError::VersionMismatch`]; the table is unchanged then.
    pub(crate) fn apply_change(&mut self, change: &Change) -> Result<()> {
        match change {
            Change::Join { session } => self.add_session(session),
            Change::End { session, term, .. } => self.end_session(*session, *term),
            Change::SetLessors {
                session,
                term,
                lessors,
            } => self.set_lessors(*session, *term, lessors),
            Change::SetTarget { session, target } => {
                if let Some(target) = target {
                    self.service_mut(target.service)?;
                }
                let own = self.session_mut(*session)?;
                own.target = target.clone();
                let address = own.address;
                self.record_departure(address, target.as_ref());
                Ok(())
            }
            Change::DeclareService { name, shards } => self.declare_service(name, *shards),
            Change::Assign {
                service,
                owner,
                shards,
            } => self.assign(*service, *owner, shards),
            Change::Move {
                service,
                shard,
                from,
                epoch,
                to,
            } => self.move_shard(*service, *shard, (*from, *epoch), *to),
            Change::Override {
                service,
                key_hash,
                from,
                to,
            } => self.override_key(*service, *key_hash, *from, *to),
        }
    }

    fn session_mut(&mut self, id: SessionId) -> Result<&mut Session> {
        let index = self.sessions.binary_search_by_key(&id, |s| s.id);
        index
            .map(|index| &mut self.sessions[index])
            .map_err(|_| ApplyError::UnknownSession(id))
    }

    fn service_mut(&mut self, id: ServiceId) -> Result<&mut Service> {
        self.services
            .get_mut(id.index())
            .ok_or(ApplyError::UnknownService(id))
    }

    fn add_session(&mut self, session: &Session) -> Result<()> {
        if self.sessions.len() >= MAX_SESSIONS {
            return Err(ApplyError::LimitReached("sessions"));
        }
        for name in [&session.vm, &session.region, &session.data_centre] {
            check_name(name)?;
        }
        for other in &self.sessions {
            if other.incarnation == session.incarnation {
                return Err(ApplyError::AlreadyJoined(other.id));
            }
            if other.address == session.address {
                return Err(ApplyError::AddressInUse(other.id));
            }
        }
        let id = SessionId(self.next_session);
        self.check_lessors(id, &session.lessors)?;
        if let Some(target) = &session.target {
            self.service_mut(target.service)?;
        }
        self.record_departure(session.address, session.target.as_ref());
        self.next_session += 1;
        self.sessions.push(Session {
            id,
            ..session.clone()
        });
        Ok(())
    }

    /// Updates the departures after the target beside the daemon at `address` has changed. A target
    /// in service replaces the departure of an earlier incarnation, and its own.
    fn record_departure(&mut self, address: SocketAddr, target: Option<&TargetInfo>) {
        let Some(target) = target.filter(|t| t.incarnation != 0) else {
            return;
        };
        let is_superseded =
            |d: &Departure| d.address == address && d.incarnation <= target.incarnation;
        match target.state {
            TargetState::Ready => self.departures.retain(|d| !is_superseded(d)),
            TargetState::Departing => {
                self.departures.retain(|d| d.address != address);
                if self.departures.len() >= MAX_DEPARTURES {
                    self.departures.remove(0);
                }
                self.departures.push(Departure {
                    address,
                    incarnation: target.incarnation,
                });
            }
            TargetState::Draining | TargetState::Away => {}
        }
    }

    fn check_lessors(&self, lessee: SessionId, lessors: &[SessionId]) -> Result<()> {
        let distinct = lessors.len() < 2 || lessors[0] != lessors[1];
        let known = lessors
            .iter()
            .all(|&id| id != lessee && self.session(id).is_some());
        if lessors.len() <= 2 && distinct && known {
            Ok(())
        } else {
            Err(ApplyError::InvalidLessors(lessee))
        }
    }

    fn end_session(&mut self, id: SessionId, term: u32) -> Result<()> {
        if self.session_mut(id)?.term != term {
            return Err(ApplyError::TermMismatch(id));
        }
        self.sessions.retain(|s| s.id != id);
        for service in &mut self.services {
            for shard in &mut service.shards {
                if shard.owner == Some(id) {
                    shard.owner = None;
                }
            }
            // The key returns to its shard. Epochs are derived from the version of the table, so a
            // later override of this key gets a new epoch.
            service.overrides.retain(|o| o.assignment.owner != Some(id));
        }
        Ok(())
    }

    fn set_lessors(&mut self, id: SessionId, term: u32, lessors: &[SessionId]) -> Result<()> {
        self.check_lessors(id, lessors)?;
        let session = self.session_mut(id)?;
        if session.term != term {
            return Err(ApplyError::TermMismatch(id));
        }
        session.lessors = lessors.to_vec();
        session.term += 1;
        Ok(())
    }

    fn declare_service(&mut self, name: &str, shards: u32) -> Result<()> {
        check_name(name)?;
        if let Some(service) = self.services.iter().find(|s| s.name == name) {
            let current = service.shards.len();
            return if current == shards as usize {
                Ok(())
            } else {
                Err(ApplyError::ShardCountMismatch(current))
            };
        }
        if shards != 0 && !shards.is_power_of_two() {
            return Err(ApplyError::NotPowerOfTwo(shards));
        }
        let total: usize = self.services.iter().map(|s| s.shards.len()).sum();
        if total + shards as usize > MAX_SHARDS {
            return Err(ApplyError::LimitReached("shards"));
        }
        if self.services.len() >= MAX_SERVICES {
            return Err(ApplyError::LimitReached("services"));
        }
        let unowned = Shard {
            owner: None,
            epoch: Epoch(0),
        };
        self.services.push(Service {
            name: name.to_owned(),
            shards: vec![unowned; shards as usize],
            overrides: Vec::new(),
        });
        Ok(())
    }

    /// Checks that the session has a target of the service.
    fn check_owner(&self, service: ServiceId, owner: SessionId) -> Result<()> {
        let session = self
            .session(owner)
            .ok_or(ApplyError::UnknownSession(owner))?;
        match &session.target {
            Some(target) if target.service == service => Ok(()),
            _ => Err(ApplyError::NoTarget(owner)),
        }
    }

    fn assign(&mut self, service: ServiceId, owner: SessionId, shards: &[ShardId]) -> Result<()> {
        self.check_owner(service, owner)?;
        let epoch = self.next_epoch();
        let list = &mut self.service_mut(service)?.shards;
        if !shards.is_sorted_by(|a, b| a < b) {
            return Err(ApplyError::UnsortedShards);
        }
        for id in shards {
            let shard = list.get(id.index()).ok_or(ApplyError::UnknownShard(*id))?;
            if shard.owner.is_some() {
                return Err(ApplyError::AlreadyOwned(*id));
            }
        }
        for id in shards {
            let shard = &mut list[id.index()];
            shard.owner = Some(owner);
            shard.epoch = epoch;
        }
        Ok(())
    }

    /// Returns the epoch of all assignments made by the next version. It is above every epoch in
    /// the table. Adjacent shards that change owner in the same version share it and can be granted
    /// as one range. A shard that changes twice within a version gets it both times, which is safe
    /// because the intermediate state is never published.
    fn next_epoch(&self) -> Epoch {
        Epoch((self.version + 1) as u32)
    }

    fn move_shard(
        &mut self,
        service: ServiceId,
        id: ShardId,
        expected: (SessionId, Epoch),
        to: SessionId,
    ) -> Result<()> {
        // A session may reclaim its own shard even after its target has changed.
        if to != expected.0 {
            self.check_owner(service, to)?;
        }
        let epoch = self.next_epoch();
        let list = &mut self.service_mut(service)?.shards;
        let shard = list
            .get_mut(id.index())
            .ok_or(ApplyError::UnknownShard(id))?;
        if (shard.owner, shard.epoch) != (Some(expected.0), expected.1) {
            return Err(ApplyError::OwnerMismatch(id));
        }
        shard.owner = Some(to);
        shard.epoch = epoch;
        Ok(())
    }

    fn override_key(
        &mut self,
        service: ServiceId,
        key_hash: u64,
        from: Option<(SessionId, Epoch)>,
        to: Option<SessionId>,
    ) -> Result<()> {
        if let Some(to) = to {
            self.check_owner(service, to)?;
        }
        let epoch = self.next_epoch();
        let service = self.service_mut(service)?;
        if service.shards.is_empty() {
            return Err(ApplyError::KeyOwnerMismatch);
        }
        let index = service
            .overrides
            .iter()
            .position(|o| o.key_hash == key_hash);
        let current = match index {
            Some(index) => service.overrides[index].assignment,
            None => service.shard_of(key_hash),
        };
        if current.owner.map(|owner| (owner, current.epoch)) != from {
            return Err(ApplyError::KeyOwnerMismatch);
        }
        match (index, to) {
            (None, None) => return Err(ApplyError::NoOverride),
            (Some(index), None) => {
                service.overrides.remove(index);
            }
            (Some(index), Some(to)) => {
                service.overrides[index].assignment = Shard {
                    owner: Some(to),
                    epoch,
                };
            }
            (None, Some(_)) if service.overrides.len() >= MAX_OVERRIDES => {
                return Err(ApplyError::LimitReached("overrides"));
            }
            (None, Some(to)) => {
                // The owner's target may still run requests of the key under the shard's current
                // epoch, so the whole shard gets a new epoch when the override is created.
                let shards = service.shards.len() as u32;
                service.shards[shard_of(key_hash, shards).index()].epoch = epoch;
                service.overrides.push(KeyOverride {
                    key_hash,
                    assignment: Shard {
                        owner: Some(to),
                        epoch,
                    },
                });
            }
        }
        Ok(())
    }
}

fn check_name(name: &str) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(ApplyError::InvalidName);
    }
    Ok(())
}
