//! Where a request goes: the owner of its shard, or a chosen target.

use std::net::SocketAddr;
use std::sync::Arc;

use masticdeal_ownership::ids::{ServiceId, SessionId, ShardId, shard_of};
use masticdeal_ownership::table::{Service, Table};
use masticdeal_wire::peer::Reason;

use super::balance::{Balance, Choice};
use super::head::Head;
use crate::exchange::shape_of;
use crate::node::Node;

/// Destination of one attempt.
pub struct Route {
    /// The service.
    pub service: ServiceId,
    /// The shard, for a service that is divided by key.
    pub shard: Option<ShardId>,
    /// Session of the owner's daemon.
    pub session: SessionId,
    /// Address of its peers' port.
    pub address: SocketAddr,
    /// Name of its VM.
    pub vm: String,
    /// Version of the table that the route was taken from.
    pub table: u64,
    /// Choice of the balancer.
    pub choice: Option<Choice>,
}

/// Finds the destination in the newest table.
///
/// # Errors
///
/// [`Reason::NoOwner`] or [`Reason::NoTarget`], and the version of the table.
pub fn route(
    node: &Arc<Node>,
    head: &Head,
    balance: &Balance,
    tried: &[SessionId],
) -> Result<Route, (Reason, u64)> {
    let table = Arc::clone(&node.table.borrow());
    let failed = |reason| (reason, table.version);
    let service = table
        .service_id(&head.service)
        .ok_or(failed(Reason::NoOwner))?;
    let (session, shard, choice) = match head.forward.key_hash {
        Some(key_hash) => {
            let declared = table.service(service).filter(|s| !s.shards.is_empty());
            let declared = declared.ok_or(failed(Reason::NoOwner))?;
            let shard = shard_of(key_hash, declared.shards.len() as u32);
            let owner = owner(declared, shard, key_hash).ok_or(failed(Reason::NoOwner))?;
            (owner, Some(shard), None)
        }
        None => {
            let choice = balance.choose(
                node,
                &table,
                service,
                shape_of(&head.forward, head.service()),
                tried,
            );
            let choice = choice.ok_or(failed(Reason::NoTarget))?;
            (choice.session, None, Some(choice))
        }
    };
    let (address, vm) = place(&table, session).ok_or(failed(Reason::NoOwner))?;
    Ok(Route {
        service,
        shard,
        session,
        address,
        vm,
        table: table.version,
        choice,
    })
}

fn owner(service: &Service, shard: ShardId, key_hash: u64) -> Option<SessionId> {
    let single = service.overrides.iter().find(|o| o.key_hash == key_hash);
    let assigned = match single {
        Some(single) => single.assignment,
        None => *service.shards.get(shard.index())?,
    };
    assigned.owner
}

fn place(table: &Table, session: SessionId) -> Option<(SocketAddr, String)> {
    let session = table.session(session)?;
    Some((session.address, session.vm.clone()))
}
