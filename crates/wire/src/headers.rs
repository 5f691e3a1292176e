//! Names of HTTP headers, paths and platform keys.

/// Prefix of all headers defined by masticdeal.
pub const PREFIX: &str = "x-masticdeal-";
/// Verdict on the execution of a failed request: `NotRun`, `MayHaveRun` or `Ran`.
pub const VERDICT: &str = "x-masticdeal-verdict";
/// Reason for a failure, as in [`Reason::as_str`](crate::peer::Reason::as_str).
pub const REASON: &str = "x-masticdeal-reason";
/// Name of the VM that served the request.
pub const SERVED_BY: &str = "x-masticdeal-served-by";
/// Remaining time until the deadline of the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-masticdeal-deadline-ms";
/// `yes` or `no`: whether the request may run more than once.
pub const IDEMPOTENT: &str = "x-masticdeal-idempotent";
/// Shard of the key, in decimal.
pub const SHARD: &str = "x-masticdeal-shard";
/// Epoch under which the owner serves the shard, in decimal.
pub const EPOCH: &str = "x-masticdeal-epoch";
/// Identifier of the request, set by the caller or the ingress daemon.
pub const REQUEST_ID: &str = "x-request-id";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Revision of a value in the platform store.
pub const REVISION: &str = "x-revision";
/// Revision that a conditional write expects; 0 means that the key must not exist.
pub const IF_REVISION: &str = "x-if-revision";
/// Platform lease that a written key is bound to.
pub const LEASE: &str = "x-lease";
/// Author of a configuration.
pub const AUTHOR: &str = "x-author";
/// Random number that identifies an attempted write.
pub const CHANGE_ID: &str = "x-change-id";

/// Target to daemon: announcement.
pub const PATH_ANNOUNCE: &str = "/v1/announce";
/// Daemon to target: grant.
pub const PATH_GRANT: &str = "/masticdeal/grant";
/// Operator to daemon: questions and commands.
pub const PATH_ASK: &str = "/v1/ask";
/// Operator to daemon: configuration.
pub const PATH_CONFIG: &str = "/v1/config";
/// Operator to daemon: state of the daemon as JSON.
pub const PATH_STATUS: &str = "/v1/status";

/// Daemon to daemon: lease renewal.
pub const PATH_RENEW: &str = "/renew";
/// Daemon to daemon: query to the other lessor whether the lease of a lessee has expired.
pub const PATH_EXPIRED: &str = "/expired";
/// Daemon to daemon: newer deltas or configuration, sent along the dissemination tree.
pub const PATH_DELTA: &str = "/delta";
/// Daemon to daemon: request for updates.
pub const PATH_PULL: &str = "/pull";
/// Daemon to daemon: request to the owner to release a shard for a planned move.
pub const PATH_RELEASE: &str = "/release";
/// Daemon to daemon: request for the load of the receiver's shards and keys.
pub const PATH_LOAD: &str = "/load";
/// Daemon to daemon: request to a member to write the sender's join.
pub const PATH_JOIN: &str = "/join";
/// Daemon to daemon: handover of a target for the next owner of its keys.
pub const PATH_HANDOVER: &str = "/handover";
/// Daemon to daemon: request to a member to read or write the table in the platform store.
pub const PATH_STORE: &str = "/store";
/// Paths of all control messages between daemons.
pub const CONTROL_PATHS: [&str; 9] = [
    PATH_RENEW,
    PATH_EXPIRED,
    PATH_DELTA,
    PATH_PULL,
    PATH_RELEASE,
    PATH_LOAD,
    PATH_HANDOVER,
    PATH_JOIN,
    PATH_STORE,
];
/// Daemon to daemon: a forwarded request of a caller.
pub const PATH_FORWARD: &str = "/forward";

/// Platform key of the assignment table.
pub const KEY_TABLE: &str = "masticdeal/table";
/// Platform key of the deployment configuration.
pub const KEY_CONFIG: &str = "masticdeal/config";
