//! Answers as values. The JSON form is the value, and the text form has at most two sentences.

use masticdeal_ownership::ids::SessionId;
use serde::Serialize;

use super::journal::{Entry, TargetLabel};

/// Content of an answer. In JSON the field `kind` names the variant in snake case.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum AnswerData {
    /// The owner of a key or shard.
    Owner(ShardOwner),
    /// A key or shard that nobody owns.
    NoOwner {
        /// The key or shard.
        thing: String,
        /// Its shard.
        shard: u32,
        /// Version of the table.
        table_version: u64,
        /// Last decision about it in the journal.
        decision: Option<Decision>,
    },
    /// The service is not divided by key.
    NotDivided {
        /// Name of the service.
        service: String,
        /// VMs of its targets.
        vms: Vec<String>,
    },
    /// What a VM owns.
    Owns {
        /// The VM.
        vm: String,
        /// State of its target.
        state: TargetLabel,
        /// One entry per service in which it owns something.
        services: Vec<OwnedShards>,
        /// Version of the table.
        table_version: u64,
    },
    /// Why a VM owns a key or shard.
    Reason {
        /// The owner.
        owner: ShardOwner,
        /// The decision; absent when the journal does not hold it.
        decision: Option<Decision>,
        /// The daemon that answers.
        daemon: String,
        /// Unix time in milliseconds from which on the journal is complete.
        journal_from_ms: u64,
    },
    /// The VM does not own the key or shard; another one does.
    OtherOwner {
        /// The VM that was asked about.
        vm: String,
        /// The owner.
        owner: ShardOwner,
        /// The decision; absent when the journal does not hold it.
        decision: Option<Decision>,
    },
    /// Why a target takes no new work, or that it does.
    Availability {
        /// The VM.
        vm: String,
        /// State of its target; absent when the VM is not in the table.
        state: Option<TargetLabel>,
        /// The decision; absent when the journal does not hold it.
        decision: Option<Decision>,
        /// The daemon that answers.
        daemon: String,
        /// Unix time in milliseconds from which on the journal is complete.
        journal_from_ms: u64,
    },
    /// All services.
    Services {
        /// In the order of the configuration.
        services: Vec<ServiceLine>,
    },
    /// Targets.
    Targets {
        /// The service, when only one was asked for.
        service: Option<String>,
        /// In the order of their sessions.
        targets: Vec<TargetLine>,
    },
    /// Load of targets.
    Load {
        /// The service, when only one was asked for.
        service: Option<String>,
        /// The busiest first.
        targets: Vec<LoadLine>,
    },
    /// Decisions.
    Changes {
        /// Unix time in milliseconds from which on they are given.
        since_ms: u64,
        /// Whether the journal holds all of them.
        complete: bool,
        /// Oldest first.
        decisions: Vec<Decision>,
    },
    /// The configuration.
    Config {
        /// Its revision.
        revision: u64,
        /// Its author.
        author: String,
        /// Unix time of the change in milliseconds.
        time_ms: u64,
        /// Number of services.
        services: usize,
        /// Daemons that hold this revision or a newer one.
        in_force: usize,
        /// Daemons in the table.
        daemons: usize,
        /// VMs whose daemons are behind or were not heard.
        behind: Vec<String>,
        /// The text.
        text: String,
    },
    /// The forms of the language.
    Help {
        /// Each form with its meaning.
        forms: Vec<(&'static str, &'static str)>,
    },
    /// A name leads nowhere.
    NoSuch {
        /// Kind of the name.
        what: &'static str,
        /// The name as it was given.
        name: String,
        /// Valid name near to it.
        nearest: Option<String>,
    },
    /// The line is no sentence.
    Malformed {
        /// Column in characters, counted from 1; 0 when the fault has no column.
        column: usize,
        /// What is wrong and what was expected.
        message: String,
    },
    /// A command that was not carried out.
    Refused {
        /// The command as text.
        command: String,
        /// Why.
        reason: String,
    },
    /// A command that was carried out.
    Done {
        /// The command as text.
        command: String,
        /// Version of the table that holds the outcome; 0 when it is not in the table.
        table_version: u64,
        /// Revision of the configuration that holds the outcome; 0 when it is not in there.
        config_revision: u64,
        /// What follows.
        next: String,
    },
    /// A command whose outcome is not known.
    Unknown {
        /// The command as text.
        command: String,
        /// Why.
        reason: String,
    },
}

/// A key or shard with its owner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShardOwner {
    /// The key or shard.
    pub thing: String,
    /// Name of the service.
    pub service: String,
    /// The shard.
    pub shard: u32,
    /// Number of shards of the service.
    pub shards: u32,
    /// Epoch of the assignment.
    pub epoch: u32,
    /// The owner's VM.
    pub vm: String,
    /// The owner's session.
    pub session: SessionId,
    /// The owner's data centre.
    pub data_centre: String,
    /// State of the owner's target.
    pub state: TargetLabel,
    /// Whether the key has an owner of its own, apart from its shard.
    pub hot_key: bool,
    /// Version of the table.
    pub table_version: u64,
}

/// What a VM owns of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OwnedShards {
    /// Name of the service.
    pub service: String,
    /// Shards that it owns.
    pub shards: usize,
    /// Shards of the service.
    pub of: usize,
    /// Hot keys that it owns apart from their shards.
    pub hot_keys: usize,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceLine {
    /// Name.
    pub service: String,
    /// Path prefixes.
    pub paths: Vec<String>,
    /// Number of shards; 0 when it is not divided by key.
    pub shards: u32,
    /// Number of targets.
    pub targets: usize,
    /// Targets that take work.
    pub ready: usize,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TargetLine {
    /// Its VM.
    pub vm: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its state.
    pub state: TargetLabel,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether it refuses requests without a current grant.
    pub checks_grants: bool,
}

/// Load of one target.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadLine {
    /// Its VM.
    pub vm: String,
    /// Its service.
    pub service: String,
    /// Requests running.
    pub running: u16,
    /// Requests in the queue.
    pub queued: u16,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Smoothed service time in microseconds.
    pub service_us: u32,
    /// Time since the report in milliseconds.
    pub age_ms: u64,
}

impl LoadLine {
    /// Returns requests running and queued per slot.
    pub fn per_slot(&self) -> f64 {
        (f64::from(self.running) + f64::from(self.queued)) / f64::from(self.slots.max(1))
    }
}

/// A decision of the journal as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// Unix time in milliseconds at which the daemon learned of it.
    pub time_ms: u64,
    /// Version of the table that holds it.
    pub table_version: u64,
    /// Revision of the configuration that it was made on.
    pub config_revision: u64,
    /// What was decided.
    pub what: String,
    /// Why.
    pub cause: String,
}

impl From<&Entry> for Decision {
    fn from(entry: &Entry) -> Self {
        Self {
            time_ms: entry.time_ms,
            table_version: entry.versions.table,
            config_revision: entry.versions.config,
            what: entry.kind.to_string(),
            cause: entry.cause.to_string(),
        }
    }
}
