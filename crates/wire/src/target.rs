//! Messages between a daemon and the target beside it, as JSON bodies.

use serde::{Deserialize, Serialize};

/// A target's announcement to the daemon beside it, sent about once a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Name of the service.
    pub service: String,
    /// `ip:port` of the target's own port.
    pub address: std::net::SocketAddr,
    /// Requests that the target runs at once; at least 1.
    pub slots: u16,
    /// Whether the target refuses requests without a current grant.
    pub checks_grants: bool,
    /// Whether the target takes work.
    pub state: AnnouncedState,
    /// Load as the target reports it, 1.0 meaning that all slots are busy. A hint only.
    #[serde(default)]
    pub load: Option<f32>,
    /// Identifier by which requests can name the target; empty when it has none.
    #[serde(default)]
    pub instance: String,
    /// Names one life of the target; 0 when it does not tell its lives apart.
    #[serde(default, rename = "life")]
    pub incarnation: u64,
}

/// A report of a target that takes its grants as the answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// What the target says of itself.
    pub announce: Announce,
    /// Rises with each report of one life.
    pub sequence: u64,
    /// Ranges that the target holds or still works on.
    pub holds: Vec<HeldRange>,
    /// Ranges that it released since its last report that was answered.
    pub released: Vec<ReleasedRange>,
}

/// Keys from `first` to `last`, both included, that a target holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Epoch under which it holds them.
    pub epoch: u32,
}

/// Keys that a target released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// What the next holder needs in order to serve them without a warm-up; opaque.
    pub handover: String,
}

/// The answer to a [`Report`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportReply {
    /// Everything that the target is to hold; `None` renews nothing and takes nothing away.
    pub grant: Option<RangeGrant>,
}

/// Everything that a target is to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeGrant {
    /// Length, counted by the target from when it sent its report.
    pub hold: std::time::Duration,
    /// The ranges.
    pub ranges: Vec<GrantedRange>,
}

/// Keys from `first` to `last`, both included, that a target is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Epoch, the fencing token.
    pub epoch: u32,
    /// What the last holder handed over; empty when there is nothing.
    pub handover: String,
}

/// State in an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AnnouncedState {
    /// Not ready for work yet.
    Starting,
    /// Takes work.
    Ready,
    /// Takes no new work.
    Draining,
}

/// A grant of the daemon to its target. It replaces the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The daemon's session.
    pub session: u32,
    /// Rises with each grant of a session; the target refuses a lower one.
    pub sequence: u64,
    /// End of the grant, in milliseconds of the VM's boot-time clock. An instant and not a time
    /// to live: a daemon paused between writing and sending hands out no time that has passed.
    pub until_boot_ms: u64,
    /// Shard and epoch of everything that the target may run; empty revokes.
    pub shards: Vec<(u32, u32)>,
    /// Key hash and epoch of single keys that the target may run.
    #[serde(default)]
    pub keys: Vec<(u64, u32)>,
}
