//! A fixed table, configuration and journal for the tests of operators' answers.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::time::Duration;

use masticdeal_config::deployment::Deployment;
use masticdeal_ownership::change::{Change, Delta, EndCause};
use masticdeal_ownership::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::{
    KeyOverride, Service, Session, Shard, Table, TargetInfo, TargetState,
};
use masticdeal_wire::peer::{ConfigValue, LoadHint, Versions};
use masticdeald::operators::answer::{Reply, Status, reply};
use masticdeald::operators::facts::{Facts, Load, Peer};
use masticdeald::operators::from_delta;
use masticdeald::operators::journal::Journal;
use xxhash_rust::xxh3::xxh3_64;

const KOCAELI: &str = include_str!("../../../../examples/kocaeli.ini");
pub const NOW_MS: u64 = 1_780_000_000_000;
pub const HOT: &str = "hot";

pub fn session(id: u32, service: u16, state: TargetState) -> Session {
    Session {
        id: SessionId(id),
        incarnation: u64::from(id),
        vm: format!("vm-{id}"),
        address: ([127, 0, 0, 1], 7000 + id as u16).into(),
        region: "marmara".into(),
        data_centre: "dc-a".into(),
        lessors: Vec::new(),
        term: 4,
        target: Some(TargetInfo {
            service: ServiceId(service),
            slots: 6,
            checks_grants: false,
            state,
            capacity: 0,
            incarnation: 0,
        }),
    }
}

pub fn shard(owner: Option<u32>, epoch: u32) -> Shard {
    Shard {
        owner: owner.map(SessionId),
        epoch: Epoch(epoch),
    }
}

/// Search with 4 shards on VMs 1 to 3 (shard 3 has no owner), registration on VMs 4 and 5, of
/// which VM 5 drains.
pub fn table() -> Table {
    let services = vec![
        Service {
            name: "search".into(),
            shards: vec![
                shard(Some(1), 1),
                shard(Some(2), 5),
                shard(Some(2), 1),
                shard(None, 2),
            ],
            overrides: vec![KeyOverride {
                key_hash: xxh3_64(HOT.as_bytes()),
                assignment: shard(Some(3), 7),
            }],
        },
        Service {
            name: "registration".into(),
            shards: vec![],
            overrides: vec![],
        },
    ];
    let ready = TargetState::Ready;
    let mut sessions: Vec<Session> = (1..=3).map(|id| session(id, 0, ready)).collect();
    sessions.push(session(4, 1, ready));
    sessions.push(session(5, 1, TargetState::Draining));
    Table {
        version: 17,
        next_session: 6,
        sessions,
        services,
        recent_changes: vec![],
    }
}

/// Everything that [`Facts`] borrows.
pub struct World {
    pub table: Table,
    pub deployment: Deployment,
    pub config: ConfigValue,
    pub journal: Journal,
    pub loads: Vec<Load>,
    pub peers: Vec<Peer>,
}

impl World {
    pub fn new() -> Self {
        let text = KOCAELI.replace("shards = 256", "shards = 4");
        let hint = |session, running, queued| Load {
            session: SessionId(session),
            load: LoadHint {
                running,
                queued,
                service_us: 900,
            },
            age: Duration::from_millis(20),
        };
        let peer = |session, config, heard_s| Peer {
            session: SessionId(session),
            versions: Versions { table: 17, config },
            heard: Duration::from_secs(heard_s),
        };
        Self {
            table: table(),
            deployment: Deployment::parse(&text).unwrap(),
            config: ConfigValue {
                revision: 4,
                author: "Ayşe".into(),
                time_ms: NOW_MS - 60_000,
                text,
                ..ConfigValue::default()
            },
            journal: journal(),
            loads: vec![hint(1, 6, 12), hint(2, 3, 0)],
            peers: vec![peer(1, 4, 0), peer(2, 5, 1), peer(3, 3, 0), peer(4, 4, 60)],
        }
    }

    pub fn facts(&self) -> Facts<'_> {
        Facts {
            now_ms: NOW_MS,
            name: "vm-1",
            table: &self.table,
            deployment: &self.deployment,
            config: &self.config,
            journal: &self.journal,
            loads: &self.loads,
            peers: &self.peers,
        }
    }

    pub fn ask(&self, line: &str) -> (Status, String) {
        match reply(line, &self.facts(), None) {
            Reply::Answer(answer) => (answer.status, answer.text),
            Reply::Command(command) => (Status::Ok, format!("{:?}", command.action)),
        }
    }
}

/// The table before: VM 0 owned shards 1 and 3, and the target of VM 5 was ready.
pub fn before() -> Table {
    let mut before = table();
    before.version = 15;
    before.sessions.insert(0, session(0, 0, TargetState::Ready));
    before.sessions[5].target.as_mut().unwrap().state = TargetState::Ready;
    for at in [1, 3] {
        before.services[0].shards[at].owner = Some(SessionId(0));
    }
    before
}

/// VM 0 owned shards 1 and 3, ended, and shard 1 went to VM 2; VM 5 began to drain.
fn journal() -> Journal {
    let before = before();
    let delta = Delta {
        to_version: 16,
        change_id: ChangeId(1),
        changes: vec![
            Change::End {
                session: SessionId(0),
                term: 1,
                cause: EndCause::LeaseExpired,
            },
            Change::Assign {
                service: ServiceId(0),
                owner: SessionId(2),
                shards: vec![ShardId(1)],
            },
            Change::SetTarget {
                session: SessionId(5),
                target: table().sessions[4].target.clone(),
            },
        ],
    };
    let mut journal = Journal::new(NOW_MS - 600_000, 1 << 16);
    for entry in from_delta::entries(&before, &delta, 4, NOW_MS - 30_000, None) {
        journal.record(entry);
    }
    journal
}
