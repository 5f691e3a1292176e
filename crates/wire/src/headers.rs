//! Names of HTTP headers and paths on all ports.

/// Prefix of the project's own headers.
pub const PREFIX: &str = "x-masticdeal-";
/// Verdict on a failed request: `NotRun`, `MayHaveRun` or `Ran`.
pub const VERDICT: &str = "x-masticdeal-verdict";
/// Reason for a failure, one short word with dashes.
pub const REASON: &str = "x-masticdeal-reason";
/// Name of the VM whose target answered.
pub const SERVED_BY: &str = "x-masticdeal-served-by";
/// Remaining time for the request, in whole milliseconds.
pub const DEADLINE_MS: &str = "x-masticdeal-deadline-ms";
/// `yes` or `no`: whether the caller allows the request to run more than once.
pub const IDEMPOTENT: &str = "x-masticdeal-idempotent";
/// Shard of the key, decimal.
pub const SHARD: &str = "x-masticdeal-shard";
/// Epoch under which the owner serves the shard, decimal.
pub const EPOCH: &str = "x-masticdeal-epoch";
/// Identifier of the request, chosen by the caller or the ingress daemon.
pub const REQUEST_ID: &str = "x-request-id";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Revision of a value in the platform's service.
pub const REVISION: &str = "x-revision";
/// Revision that a conditional write expects; 0 means that the key must not exist.
pub const IF_REVISION: &str = "x-if-revision";
/// Platform lease under which a key is written.
pub const LEASE: &str = "x-lease";
/// Author of a configuration.
pub const AUTHOR: &str = "x-author";
/// Random number that names an attempted write.
pub const CHANGE_ID: &str = "x-change-id";

/// Target to daemon: announcement.
pub const PATH_ANNOUNCE: &str = "/v1/announce";
/// Daemon to target: grant.
pub const PATH_GRANT: &str = "/masticdeal/grant";
/// Operators: questions and commands.
pub const PATH_ASK: &str = "/v1/ask";
/// Operators: configuration.
pub const PATH_CONFIG: &str = "/v1/config";
/// Operators: state of one daemon as JSON.
pub const PATH_STATUS: &str = "/v1/status";

/// Peer to peer: lease renewal.
pub const PATH_RENEW: &str = "/renew";
/// Peer to peer: asks the other lessor of a lessee whether it has counted it out.
pub const PATH_EXPIRED: &str = "/expired";
/// Peer to peer: newer deltas or configuration, pushed along the tree.
pub const PATH_DELTA: &str = "/delta";
/// Peer to peer: asks for what the sender lacks.
pub const PATH_PULL: &str = "/pull";
/// Peer to peer: asks an owner to release a shard for a planned move.
pub const PATH_RELEASE: &str = "/release";
/// Peer to peer: asks for the load of a daemon's shards and keys.
pub const PATH_LOAD: &str = "/load";
/// Peer to peer: asks a member to write the sender's join.
pub const PATH_JOIN: &str = "/join";
/// Peer to peer: what a target handed over for the next owner of its keys.
pub const PATH_HANDOVER: &str = "/handover";
/// Peer to peer: asks a member to call the platform's service for the assignment table.
pub const PATH_STORE: &str = "/store";
/// Paths of all control messages between peers.
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
/// Peer to peer: one request of a caller.
pub const PATH_FORWARD: &str = "/forward";

/// Platform key of the assignment table.
pub const KEY_TABLE: &str = "masticdeal/table";
/// Platform key of the deployment configuration.
pub const KEY_CONFIG: &str = "masticdeal/config";
