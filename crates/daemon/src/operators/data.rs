//! Answers as values. They are serialised to JSON; their text has at most two sentences.

use masticdeal_ownership::ids::SessionId;
use serde::Serialize;

use super::journal::{Entry, TargetLabel};

/// Content of an answer. In JSON, the field `kind` contains the variant in snake case.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum AnswerData {
    /// The owner of a key or shard.
    Owner(ShardOwner),
    /// A key or shard without an owner.
    NoOwner {
        /// The key or shard.
        thing: String,
        /// Its shard.
        shard: u32,
        /// Version of the table.
        table_version: u64,
        /// Latest decision on its owner in the journal.
        decision: Option<Decision>,
    },
    /// The service is not sharded.
    NotDivided {
        /// Name of the service.
        service: String,
        /// VMs of its targets.
        vms: Vec<String>,
    },
    /// Shards and keys that a VM owns.
    Owns {
        /// The VM.
        vm: String,
        /// State of its target.
        state: TargetLabel,
        /// One entry for each service of which it owns shards or keys.
        services: Vec<OwnedShards>,
        /// Version of the table.
        table_version: u64,
    },
    /// Why a VM owns a key or shard.
    Reason {
        /// The owner.
        owner: ShardOwner,
        /// The decision that made the VM the owner; `None` if the journal does not contain it.
        decision: Option<Decision>,
        /// VM of the answering daemon.
        daemon: String,
        /// Unix time in milliseconds from which the journal is complete.
        journal_from_ms: u64,
    },
    /// The key or shard belongs to a VM other than the one in the question.
    OtherOwner {
        /// VM in the question.
        vm: String,
        /// The owner.
        owner: ShardOwner,
        /// The decision that made `owner` the owner; `None` if the journal does not contain it.
        decision: Option<Decision>,
    },
    /// Whether a target is ready for new work, and if not, why.
    Availability {
        /// The VM.
        vm: String,
        /// State of its target; `None` if the VM is not in the table.
        state: Option<TargetLabel>,
        /// The latest decision that affected its target; `None` if the target is ready or the
        /// journal does not contain the decision.
        decision: Option<Decision>,
        /// VM of the answering daemon.
        daemon: String,
        /// Unix time in milliseconds from which the journal is complete.
        journal_from_ms: u64,
    },
    /// All services.
    Services {
        /// In the order of the configuration.
        services: Vec<ServiceLine>,
    },
    /// Targets of one or of all services.
    Targets {
        /// The service; `None` for all.
        service: Option<String>,
        /// In the order of their sessions.
        targets: Vec<TargetLine>,
    },
    /// Load of the targets of one or of all services.
    Load {
        /// The service; `None` for all.
        service: Option<String>,
        /// In descending order of load per slot.
        targets: Vec<LoadLine>,
    },
    /// Cold targets of one or of all services.
    Cold {
        /// The service; `None` for all.
        service: Option<String>,
        /// In the order of their sessions.
        targets: Vec<ColdLine>,
        /// Number of targets whose daemons reported their state.
        reported: usize,
    },
    /// Decisions since a given time.
    Changes {
        /// That Unix time in milliseconds.
        since_ms: u64,
        /// Whether the answer contains all decisions since then.
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
        /// Number of daemons with this revision or a newer one.
        in_force: usize,
        /// Number of daemons in the table.
        daemons: usize,
        /// VMs of daemons that have an older revision or did not report.
        behind: Vec<String>,
        /// The INI text.
        text: String,
    },
    /// Evacuated data centres.
    Evacuations {
        /// By name.
        data_centres: Vec<EvacuationLine>,
        /// Whether all data centres of the table are evacuated.
        none_left: bool,
        /// VMs of daemons that have an older set or did not report.
        behind: Vec<String>,
    },
    /// Time limits of callers, as learned by the answering daemon.
    Limits {
        /// VM of the answering daemon.
        daemon: String,
        /// By name.
        routes: Vec<LimitsLine>,
    },
    /// The sentences of the language.
    Help {
        /// Syntax and description of each sentence.
        forms: Vec<(&'static str, &'static str)>,
    },
    /// A name that does not exist.
    NoSuch {
        /// Kind of the name: `service`, `VM` or `shard`.
        what: &'static str,
        /// The given name.
        name: String,
        /// The most similar valid name.
        nearest: Option<String>,
    },
    /// A line that is not a valid sentence.
    Malformed {
        /// Column in characters, counted from 1; 0 if the error has no column.
        column: usize,
        /// What is wrong and what was expected.
        message: String,
    },
    /// A command that was not carried out.
    Refused {
        /// The command as text.
        command: String,
        /// The reason, as a clause without a full stop.
        reason: String,
    },
    /// A command that was carried out.
    Done {
        /// The command as text.
        command: String,
        /// Version of the table that contains the change; 0 if the table did not change.
        table_version: u64,
        /// Revision of the configuration that contains the change; 0 if the configuration did not
        /// change.
        config_revision: u64,
        /// Effects that follow, as a sentence without its full stop.
        next: String,
    },
    /// A command with an unknown outcome.
    Unknown {
        /// The command as text.
        command: String,
        /// The reason, as a clause without a full stop.
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
    /// Whether the key has an override, so that its owner can differ from that of its shard.
    pub hot_key: bool,
    /// Version of the table.
    pub table_version: u64,
}

/// Shards and keys of one service that a VM owns.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OwnedShards {
    /// Name of the service.
    pub service: String,
    /// Number of shards that it owns.
    pub shards: usize,
    /// Number of shards of the service.
    pub of: usize,
    /// Number of hot keys that it owns by overrides.
    pub hot_keys: usize,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceLine {
    /// Name.
    pub service: String,
    /// Path prefixes.
    pub paths: Vec<String>,
    /// Number of shards; 0 if the service is not sharded.
    pub shards: u32,
    /// Number of targets.
    pub targets: usize,
    /// Number of targets that accept new work.
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
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Whether it rejects requests for shards without a current grant.
    pub checks_grants: bool,
}

/// One evacuated data centre.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EvacuationLine {
    /// Its name.
    pub data_centre: String,
    /// Revision of the store since which it is evacuated.
    pub revision: u64,
    /// How long ago the answering daemon learned it, in milliseconds.
    pub learned_ms: u64,
    /// Whether the table has a daemon of this data centre.
    pub is_known: bool,
    /// Number of shards that targets of this data centre own.
    pub shards: usize,
}

/// Load of one target.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadLine {
    /// Its VM.
    pub vm: String,
    /// Its service.
    pub service: String,
    /// Number of running requests.
    pub running: u16,
    /// Number of queued requests.
    pub queued: u16,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Smoothed service time in microseconds.
    pub service_us: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// One cold target.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ColdLine {
    /// Its VM.
    pub vm: String,
    /// Its service.
    pub service: String,
    /// Maximum number of requests a second that it gets; `None` if the answering daemon knows no
    /// limit.
    pub requests_per_s: Option<usize>,
    /// Time since it turned cold, in milliseconds.
    pub since_ms: u64,
    /// Expected remaining time in milliseconds.
    pub remaining_ms: u64,
}

/// Time limits of the callers of one route.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitsLine {
    /// Path prefix of the route; empty for requests without a route.
    pub route: String,
    /// Median limit of first attempts, in milliseconds.
    pub median_ms: u64,
    /// Limit below which a request counts as returning, in milliseconds; `None` if the callers'
    /// limits differ too much.
    pub returning_below_ms: Option<u64>,
}

impl LoadLine {
    /// Returns the number of running and queued requests per slot.
    pub fn per_slot(&self) -> f64 {
        (f64::from(self.running) + f64::from(self.queued)) / f64::from(self.slots.max(1))
    }
}

/// A journal entry in the form that operators see.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// Unix time in milliseconds at which the daemon recorded it.
    pub time_ms: u64,
    /// Version of the table that contains it.
    pub table_version: u64,
    /// Revision of the configuration that the daemon had installed at that time, or that contains
    /// the decision.
    pub config_revision: u64,
    /// The decision, as a clause.
    pub what: String,
    /// Its cause, as a clause that follows "because".
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
