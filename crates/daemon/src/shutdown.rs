//! End of the daemon that cuts off no request in progress.
//!
//! Order: the callers' port takes no connection and the owner refuses new requests; running ones
//! finish, however long their answers are; then the connections between daemons close. The peers'
//! port keeps answering control messages until that point, so the lease lives while work runs.

use tokio::time::timeout;

use crate::node::Node;

/// Drains the daemon for at most `settings.daemon.drain_timeout`, which counts from the signal to stop. Returns whether everything finished; the
/// servers of the callers' and the peers' ports return soon after.
pub async fn shutdown(node: &Node) -> bool {
    node.draining.send_replace(true);
    node.in_progress.close();
    let daemon = &node.settings.daemon;
    let left = daemon.drain_timeout.saturating_sub(daemon.linger);
    let finished = timeout(left, node.in_progress.wait()).await.is_ok();
    if !finished {
        log::warn!(requests = node.in_progress.len(); "The drain ended with requests in progress");
    }
    node.closing.send_replace(true);
    finished
}
