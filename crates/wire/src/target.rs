//! Messages between a daemon and the target on its VM, in two protocols:
//!
//! - The target sends an [`Announce`], and the daemon sends each [`Grant`] on its own, both as
//!   JSON.
//! - The target sends a [`Report`] and receives a [`RangeGrant`] in the [`ReportReply`]. Their
//!   encoding is defined where the protocol is implemented.

use serde::{Deserialize, Serialize};

/// How long a target has been cold, and how long it is expected to remain so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdState {
    /// Time since the target turned cold, in milliseconds.
    pub since_ms: u32,
    /// Expected remaining time in milliseconds.
    pub remaining_ms: u32,
}

/// Announcement of a target to the daemon on its VM, sent about once a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Name of the service.
    pub service: String,
    /// Address at which the target receives requests.
    pub address: std::net::SocketAddr,
    /// Maximum number of requests that the target runs concurrently; at least 1.
    pub slots: u16,
    /// Whether the target rejects requests without a valid grant.
    pub checks_grants: bool,
    /// Whether the target accepts requests.
    pub state: AnnouncedState,
    /// Load reported by the target, as a hint; 1.0 means that all slots are busy.
    #[serde(default)]
    pub load: Option<f32>,
    /// Identifier by which requests can address this target; empty if it has none.
    #[serde(default)]
    pub instance: String,
    /// Increases with each restart of the target; 0 if the target does not report it.
    #[serde(default, rename = "life")]
    pub incarnation: u64,
}

/// Report of a target that receives its grants in the replies to its reports.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The announcement.
    pub announce: Announce,
    /// Increases with each report within one incarnation of the target.
    pub sequence: u64,
    /// Ranges that the target holds, including those for which requests are still running; `None` if
    /// the report does not list them.
    pub holds: Option<Vec<HeldRange>>,
    /// Ranges released since the last report that got a reply.
    pub released: Vec<ReleasedRange>,
    /// Time for which the target remains cold: it handles few requests for some seconds after its
    /// start. `None` if the target does not report it.
    pub cold_remaining: Option<std::time::Duration>,
}

/// Keys from `first` to `last`, inclusive, that a target holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Epoch under which the target holds the keys.
    pub epoch: u32,
}

/// Keys from `first` to `last`, inclusive, that a target released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasedRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Data, opaque to the daemons, that lets the next holder serve the keys without a warm-up.
    pub handover: String,
}

/// Reply to a [`Report`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportReply {
    /// The new grant; `None` neither renews nor revokes anything.
    pub grant: Option<RangeGrant>,
}

/// A grant of all ranges that a target may hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeGrant {
    /// Time for which the grant is valid, counted by the target from when it sent the report.
    pub hold: std::time::Duration,
    /// The ranges.
    pub ranges: Vec<GrantedRange>,
}

/// Keys from `first` to `last`, inclusive, that are granted to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedRange {
    /// Lowest key.
    pub first: u16,
    /// Highest key.
    pub last: u16,
    /// Epoch, used as the fencing token.
    pub epoch: u32,
    /// Handover data of the previous holder; empty if there is none.
    pub handover: String,
}

/// State of a target in an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AnnouncedState {
    /// Not ready for requests yet.
    Starting,
    /// Accepts requests.
    Ready,
    /// Accepts no new requests.
    Draining,
}

/// Grant of a daemon to its target, sent as JSON. It replaces the previous grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Session of the daemon.
    pub session: u32,
    /// Increases with each grant of a session. The target compares the session and then the
    /// sequence, and rejects a grant that is not newer than the previous one in this order.
    pub sequence: u64,
    /// Expiry, in milliseconds since boot (`CLOCK_BOOTTIME` of the VM). It is an instant, not a
    /// duration, so that a pause of the daemon before sending does not extend the grant.
    pub until_boot_ms: u64,
    /// Shards that the target may serve, with their epochs. A grant with neither shards nor keys
    /// revokes the previous one.
    pub shards: Vec<(u32, u32)>,
    /// Hashes of overridden keys that the target may serve, with their epochs.
    #[serde(default)]
    pub keys: Vec<(u64, u32)>,
}
