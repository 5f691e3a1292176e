//! Messages about the attempts of a connection between daemons that has stopped answering.

use masticdeal_policy::attempts::ConnectionId;
use serde::{Deserialize, Serialize};

/// Withdraws the attempts of a connection that have not started. Sent over another connection, when
/// this one has stopped answering or has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The connection.
    pub connection: ConnectionId,
    /// Numbers of the attempts without a response.
    pub attempts: Vec<u64>,
    /// Whether the connection has ended for the sender, so that bytes that still arrive on it do not
    /// matter.
    pub has_ended: bool,
}

/// Reply to [`Withdraw`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithdrawReply {
    /// These attempts have not run and never will. The others have started.
    Withdrawn(Vec<u64>),
    /// The receiver does not know which attempts have started. Nothing is withdrawn.
    Unknown,
    /// Bytes are arriving on the connection. Nothing is withdrawn.
    Receiving,
}
