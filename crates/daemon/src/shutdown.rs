//! Graceful shutdown that lets requests in progress complete.
//!
//! First, the caller port accepts no new connections, while the owner role still serves the shards
//! that have not moved yet. Then the owner role refuses new requests too. Requests in progress may
//! complete until the drain timeout expires, whatever the size of their responses. Then the
//! connections between daemons close. Until then, the peer port still serves control messages, which
//! keeps the lease valid while requests run.

use std::time::Duration;

use tokio::time::timeout;

use crate::node::Node;

/// Makes the caller port accept no further connections or requests. Callers must not depend on how
/// long the shards take to move: a request that is taken too late would be cut at the end of the
/// drain timeout.
pub fn close_caller_port(node: &Node) {
    node.caller_port_closed.send_replace(true);
}

/// Drains the daemon. Waits at most `remaining` for the requests in progress.
///
/// Returns whether all requests completed. The servers of the caller port and the peer port end
/// soon after.
pub async fn shutdown(node: &Node, remaining: Duration) -> bool {
    close_caller_port(node);
    node.draining.send_replace(true);
    node.in_progress.close();
    let completed = timeout(remaining, node.in_progress.wait()).await.is_ok();
    if !completed {
        log::warn!(
            requests = node.in_progress.len();
            "drain timeout expired with requests in progress"
        );
    }
    node.closing.send_replace(true);
    completed
}
