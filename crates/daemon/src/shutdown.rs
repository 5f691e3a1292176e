//! Graceful shutdown that lets requests in progress complete.
//!
//! First, the caller port accepts no new connections and the owner role refuses new requests.
//! Requests in progress may complete until the drain timeout expires, whatever the size of their
//! responses. Then the connections between daemons close. Until then, the peer port still serves
//! control messages, which keeps the lease valid while requests run.

use tokio::time::timeout;

use crate::node::Node;

/// Drains the daemon. Waits at most `settings.daemon.drain_timeout` less `settings.daemon.linger`;
/// the caller has already waited for the linger time since the stop signal.
///
/// Returns whether all requests completed. The servers of the caller port and the peer port end
/// soon after.
pub async fn shutdown(node: &Node) -> bool {
    node.draining.send_replace(true);
    node.in_progress.close();
    let daemon = &node.settings.daemon;
    let remaining = daemon.drain_timeout.saturating_sub(daemon.linger);
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
