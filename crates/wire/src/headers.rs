//! Names of HTTP headers, paths and keys of the platform store.

/// Prefix of all headers defined by masticdeal.
pub const PREFIX: &str = "x-masticdeal-";
/// Whether the target ran a failed request: `NotRun`, `MayHaveRun` or `Ran`.
pub const VERDICT: &str = "x-masticdeal-verdict";
/// Reason for a failure, as in [`Reason::as_str`](crate::peer::Reason::as_str).
pub const REASON: &str = "x-masticdeal-reason";
/// Name of the VM whose target served the request.
pub const SERVED_BY: &str = "x-masticdeal-served-by";
/// Remaining time until the deadline of the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-masticdeal-deadline-ms";
/// Whether the request may run more than once: `yes` or `no`.
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
/// Era of the platform store: the number of times that it was restored from a backup. Absent in the
/// responses of a store that never was.
pub const STORE_ERA: &str = "x-store-era";
/// Revision that a conditional write expects; 0 means that the key must not exist.
pub const IF_REVISION: &str = "x-if-revision";
/// Lease of the platform store that a written key is bound to.
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
/// Daemon to daemon: query to the other lessor of a lessee whether it considers the lease expired.
pub const PATH_EXPIRED: &str = "/expired";
/// Daemon to daemon: newer table or configuration, sent along the dissemination tree.
pub const PATH_UPDATE: &str = "/delta";
/// Daemon to daemon: request for a newer table and configuration.
pub const PATH_PULL: &str = "/pull";
/// Daemon to daemon: request to the owner to release a shard or a key for a move.
pub const PATH_RELEASE: &str = "/release";
/// Daemon to daemon: shards that their owner has released for moves that the planner writes.
pub const PATH_RELEASED: &str = "/released";
/// Daemon to daemon: request for the load of the receiver's shards and keys.
pub const PATH_LOAD: &str = "/load";
/// Daemon to daemon: request to a member to write the sender's join.
pub const PATH_JOIN: &str = "/join";
/// Daemon to daemon: request to write the first entry of the sender's target to the table.
pub const PATH_TARGET: &str = "/target";
/// Daemon to daemon: handover data of the target that released a shard, for the next owner's
/// target.
pub const PATH_HANDOVER: &str = "/handover";
/// Daemon to daemon: request to a member to read or write the table in the platform store.
pub const PATH_STORE: &str = "/store";
/// Paths of all control messages between daemons. [`PATH_FORWARD`] and [`PATH_WITHDRAW`] are not among
/// them.
pub const CONTROL_PATHS: [&str; 11] = [
    PATH_RENEW,
    PATH_EXPIRED,
    PATH_UPDATE,
    PATH_PULL,
    PATH_RELEASE,
    PATH_LOAD,
    PATH_HANDOVER,
    PATH_JOIN,
    PATH_TARGET,
    PATH_RELEASED,
    PATH_STORE,
];
/// Daemon to daemon: a forwarded request of a caller.
pub const PATH_FORWARD: &str = "/forward";
/// Daemon to daemon: sent on a connection before the first message whose format matters. The reply
/// tells the format that the receiver reads, see [`crate::format`].
pub const PATH_HELLO: &str = "/hello";
/// Header of messages between daemons with the number of their format. Daemons of the previous format
/// do not send it.
pub const FORMAT: &str = "x-masticdeal-format";
/// Daemon to daemon: withdrawal of the forwarded requests of another connection.
pub const PATH_WITHDRAW: &str = "/withdraw";

/// Key of the assignment table in the platform store.
pub const KEY_TABLE: &str = "masticdeal/table";
/// Key of the deployment configuration in the platform store.
pub const KEY_CONFIG: &str = "masticdeal/config";
