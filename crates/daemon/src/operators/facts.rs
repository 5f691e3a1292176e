//! Borrowed view of what a daemon knows, from which operators are answered.

use std::time::Duration;

use masticdeal_config::deployment::{Deployment, Service as Declared};
use masticdeal_language::closest_match;
use masticdeal_ownership::ids::{SessionId, ShardId, shard_of};
use masticdeal_ownership::table::{Service, Session, Shard, Table, TargetState};
use masticdeal_wire::peer::{ConfigValue, LoadHint, Versions};
use xxhash_rust::xxh3::xxh3_64;

use super::data::Decision;
use super::journal::Journal;

/// What a daemon knows at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Facts<'a> {
    /// Unix time in milliseconds.
    pub now_ms: u64,
    /// Name of the VM of this daemon.
    pub name: &'a str,
    /// Newest assignment table.
    pub table: &'a Table,
    /// Newest configuration, read.
    pub deployment: &'a Deployment,
    /// Newest configuration as it is stored.
    pub config: &'a ConfigValue,
    /// Decisions that this daemon knows.
    pub journal: &'a Journal,
    /// Last known load of each target, the one beside this daemon included.
    pub loads: &'a [Load],
    /// Versions of each daemon, this one included.
    pub peers: &'a [Peer],
}

/// Load of one target.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Session of its daemon.
    pub session: SessionId,
    /// The load.
    pub load: LoadHint,
    /// Time since it was reported.
    pub age: Duration,
}

/// What is known of one daemon.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// Its session.
    pub session: SessionId,
    /// Versions that it reported.
    pub versions: Versions,
    /// Time since it was heard last; zero for this daemon.
    pub heard: Duration,
}

/// Why a name leads nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoSuch {
    /// Kind of the name: `service`, `VM` or `shard`.
    pub kind: &'static str,
    /// The name as it was given.
    pub name: String,
    /// Valid name near to it.
    pub nearest: Option<String>,
}

/// A shard or key with its place in the table.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// The service in the table.
    pub service: &'a Service,
    /// The shard.
    pub shard_id: ShardId,
    /// xxh3 hash of the key, for a key.
    pub key_hash: Option<u64>,
    /// Assignment of the key's override, or of the shard.
    pub shard: Shard,
    /// Whether the key has an owner of its own.
    pub is_override: bool,
}

impl<'a> Facts<'a> {
    /// Returns the service of the table with its declaration.
    pub fn service(&self, name: &str) -> Result<(&'a Service, Option<&'a Declared>), NoSuch> {
        let services = &self.table.services;
        match services.iter().find(|s| s.name == name) {
            Some(service) => Ok((service, self.deployment.service(name))),
            None => Err(no_such(
                "service",
                name,
                services.iter().map(|s| s.name.as_str()),
            )),
        }
    }

    /// Returns the newest session of a VM.
    pub fn vm(&self, name: &str) -> Result<&'a Session, NoSuch> {
        let sessions = &self.table.sessions;
        match sessions.iter().rev().find(|s| s.vm == name) {
            Some(session) => Ok(session),
            None => Err(no_such("VM", name, sessions.iter().map(|s| s.vm.as_str()))),
        }
    }

    /// Returns the place of a key of a divided service.
    pub fn key(&self, service: &'a Service, key: &str) -> Option<Place<'a>> {
        let hash = xxh3_64(key.as_bytes());
        let shards = u32::try_from(service.shards.len())
            .ok()
            .filter(|n| n.is_power_of_two())?;
        let shard_id = shard_of(hash, shards);
        let own = service.overrides.iter().find(|o| o.key_hash == hash);
        let shard = own.map_or(service.shards[shard_id.index()], |o| o.assignment);
        Some(Place {
            service,
            shard_id,
            key_hash: Some(hash),
            shard,
            is_override: own.is_some(),
        })
    }

    /// Returns the place of a shard.
    pub fn shard(&self, service: &'a Service, shard: u32) -> Option<Place<'a>> {
        let shard_id = ShardId(shard);
        let found = service.shards.get(shard_id.index())?;
        Some(Place {
            service,
            shard_id,
            key_hash: None,
            shard: *found,
            is_override: false,
        })
    }

    /// Returns the name of the VM of a session that is in the table.
    pub fn vm_of(&self, session: SessionId) -> Option<&'a str> {
        self.table.session(session).map(|s| s.vm.as_str())
    }

    /// Returns the sessions whose targets belong to a service.
    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = &'a Session> + use<'a> {
        let id = self.table.service_id(service);
        let belongs = move |s: &&Session| {
            id.is_some() && s.target.as_ref().map(|target| target.service) == id
        };
        self.table.sessions.iter().filter(belongs)
    }

    /// Returns the number of targets of a service that take no new work, or will not once the
    /// newest configuration has reached them.
    pub fn away_count(&self, service: &str) -> usize {
        let away = |s: &&Session| {
            let leaves = self.deployment.rules.away.contains(&s.vm);
            let state = s.target.as_ref().map(|t| t.state);
            leaves || state.is_some_and(|state| state != TargetState::Ready)
        };
        self.targets_of(service).filter(away).count()
    }

    /// Returns the newest decision that gave this place its owner.
    pub fn decision(&self, place: &Place<'_>) -> Option<Decision> {
        let name = &place.service.name;
        let entry = self.journal.newest(|entry| match place.key_hash {
            Some(hash) if place.is_override => entry.gave_key(name, hash),
            _ => entry.gave_shard(name, place.shard_id),
        });
        entry.map(Decision::from)
    }
}

fn no_such<'n>(kind: &'static str, name: &str, valid: impl IntoIterator<Item = &'n str>) -> NoSuch {
    NoSuch {
        kind,
        name: name.into(),
        nearest: closest_match(name, valid).map(String::from),
    }
}
