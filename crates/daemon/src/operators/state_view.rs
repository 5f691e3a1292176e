//! Borrowed view of a daemon's state. Operators' sentences are evaluated against it.

use std::time::Duration;

use masticdeal_config::deployment::{Deployment, Service as ServiceConfig};
use masticdeal_language::closest_match;
use masticdeal_ownership::ids::{SessionId, ShardId, shard_of};
use masticdeal_ownership::table::{Service, Session, Shard, Table, TargetState};
use masticdeal_policy::caller_limits::CallerLimits;
use masticdeal_wire::peer::{ConfigValue, LoadHint, Versions};
use masticdeal_wire::target::ColdState;
use xxhash_rust::xxh3::xxh3_64;

use super::data::Decision;
use super::journal::Journal;
use crate::evacuations::Evacuations;

/// State of a daemon at one time.
#[derive(Debug, Clone, Copy)]
pub struct StateView<'a> {
    /// Current Unix time in milliseconds.
    pub now_ms: u64,
    /// VM of this daemon.
    pub local_vm: &'a str,
    /// Installed assignment table.
    pub table: &'a Table,
    /// Installed configuration, parsed.
    pub deployment: &'a Deployment,
    /// Installed configuration as it is stored.
    pub config: &'a ConfigValue,
    /// Journal of this daemon.
    pub journal: &'a Journal,
    /// Last reported load of each target, including the target of this daemon.
    pub loads: &'a [ReportedLoad],
    /// Last reported versions of each daemon, including this one.
    pub peers: &'a [PeerVersions],
    /// Evacuated data centres.
    pub evacuations: &'a Evacuations,
    /// Time limits of callers that this daemon has learned.
    pub caller_limits: &'a CallerLimits,
    /// Time since boot, for [`Evacuations::learned_at`].
    pub now: Duration,
}

/// Load that a daemon reported for its target.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLoad {
    /// Session of the daemon.
    pub session: SessionId,
    /// The load.
    pub load: LoadHint,
    /// Time since the report was received.
    pub age: Duration,
    /// Set if the target was cold.
    pub cold: Option<ColdState>,
}

/// Table and configuration versions that a daemon reported.
#[derive(Debug, Clone, Copy)]
pub struct PeerVersions {
    /// Session of the daemon.
    pub session: SessionId,
    /// The versions.
    pub versions: Versions,
    /// Time since the report was received.
    pub report_age: Duration,
}

/// A name that does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownName {
    /// Kind of the name: `service`, `VM`, `data centre` or `shard`.
    pub kind: &'static str,
    /// The given name.
    pub name: String,
    /// The most similar valid name.
    pub nearest: Option<String>,
}

/// A key or shard in the table.
#[derive(Debug, Clone, Copy)]
pub struct ShardLookup<'a> {
    /// The service in the table.
    pub service: &'a Service,
    /// The shard, or the shard of the key.
    pub shard_id: ShardId,
    /// xxh3 hash of the key; `None` for a shard.
    pub key_hash: Option<u64>,
    /// Owner and epoch of the key's override, or else of the shard.
    pub assignment: Shard,
    /// Whether the key has an override.
    pub is_override: bool,
}

impl<'a> StateView<'a> {
    /// Returns a service of the table, with its configuration if it has one.
    pub fn service(
        &self,
        name: &str,
    ) -> Result<(&'a Service, Option<&'a ServiceConfig>), UnknownName> {
        let services = &self.table.services;
        match services.iter().find(|s| s.name == name) {
            Some(service) => Ok((service, self.deployment.service(name))),
            None => Err(unknown_name(
                "service",
                name,
                services.iter().map(|s| s.name.as_str()),
            )),
        }
    }

    /// Returns the latest session of a VM.
    pub fn session_of_vm(&self, name: &str) -> Result<&'a Session, UnknownName> {
        let sessions = &self.table.sessions;
        match sessions.iter().rev().find(|s| s.vm == name) {
            Some(session) => Ok(session),
            None => Err(unknown_name(
                "VM",
                name,
                sessions.iter().map(|s| s.vm.as_str()),
            )),
        }
    }

    /// Checks that the table has a session in a data centre.
    pub fn check_data_centre(&self, name: &str) -> Result<(), UnknownName> {
        let names = || self.table.sessions.iter().map(|s| s.data_centre.as_str());
        if names().any(|known| known == name) {
            return Ok(());
        }
        Err(unknown_name("data centre", name, names()))
    }

    /// Looks up a key of a sharded service. Returns `None` if the number of shards is not a power
    /// of two.
    pub fn key(&self, service: &'a Service, key: &str) -> Option<ShardLookup<'a>> {
        let hash = xxh3_64(key.as_bytes());
        let shards = u32::try_from(service.shards.len())
            .ok()
            .filter(|n| n.is_power_of_two())?;
        let shard_id = shard_of(hash, shards);
        let key_override = service.overrides.iter().find(|o| o.key_hash == hash);
        let assignment = key_override.map_or(service.shards[shard_id.index()], |o| o.assignment);
        Some(ShardLookup {
            service,
            shard_id,
            key_hash: Some(hash),
            assignment,
            is_override: key_override.is_some(),
        })
    }

    /// Looks up a shard.
    pub fn shard(&self, service: &'a Service, shard: u32) -> Option<ShardLookup<'a>> {
        let shard_id = ShardId(shard);
        let assignment = service.shards.get(shard_id.index())?;
        Some(ShardLookup {
            service,
            shard_id,
            key_hash: None,
            assignment: *assignment,
            is_override: false,
        })
    }

    /// Returns the VM of a session in the table.
    pub fn vm_of(&self, session: SessionId) -> Option<&'a str> {
        self.table.session(session).map(|s| s.vm.as_str())
    }

    /// Returns the sessions whose targets belong to a service.
    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = &'a Session> + use<'a> {
        let id = self.table.service_id(service);
        let is_target_of_service = move |s: &&Session| {
            id.is_some() && s.target.as_ref().map(|target| target.service) == id
        };
        self.table.sessions.iter().filter(is_target_of_service)
    }

    /// Returns the number of targets of a service that accept no new work, or will accept none once
    /// the installed configuration reaches them.
    pub fn unavailable_count(&self, service: &str) -> usize {
        let is_unavailable = |s: &&Session| {
            let is_listed_away = self.deployment.rules.away.contains(&s.vm);
            let state = s.target.as_ref().map(|t| t.state);
            is_listed_away || state.is_some_and(|state| state != TargetState::Ready)
        };
        self.targets_of(service).filter(is_unavailable).count()
    }

    /// Returns the latest decision on the owner of a key or shard.
    pub fn decision(&self, lookup: &ShardLookup<'_>) -> Option<Decision> {
        let name = &lookup.service.name;
        let entry = self.journal.newest(|entry| match lookup.key_hash {
            Some(hash) if lookup.is_override => entry.changes_override(name, hash),
            _ => entry.assigns_shard(name, lookup.shard_id),
        });
        entry.map(Decision::from)
    }
}

fn unknown_name<'n>(
    kind: &'static str,
    name: &str,
    valid: impl IntoIterator<Item = &'n str>,
) -> UnknownName {
    UnknownName {
        kind,
        name: name.into(),
        nearest: closest_match(name, valid).map(String::from),
    }
}
