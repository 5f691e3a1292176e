//! Routes a request to the owner of its shard, or to the target that the balancer selects.

use std::net::SocketAddr;
use std::sync::Arc;

use masticdeal_ownership::ids::{ServiceId, SessionId, ShardId, shard_of};
use masticdeal_ownership::table::{Service, Table};
use masticdeal_wire::peer::Reason;

use super::balance::{SelectedTarget, ServiceBalancer};
use super::head::Head;
use crate::exchange::classifier_request;
use crate::node::Node;

/// Destination of one attempt.
pub struct Route {
    /// Service of the request.
    pub service: ServiceId,
    /// Shard of the key; `None` for an unsharded service.
    pub shard: Option<ShardId>,
    /// Session of the daemon that the attempt is sent to.
    pub session: SessionId,
    /// Address of that daemon's peer port.
    pub address: SocketAddr,
    /// Name of that daemon's VM.
    pub vm: String,
    /// Version of the table that was used.
    pub table_version: u64,
    /// Target selected by the balancer, for an unsharded service.
    pub selected: Option<SelectedTarget>,
}

/// Determines the destination of an attempt from the newest table.
///
/// # Errors
///
/// [`Reason::NoOwner`] or [`Reason::NoTarget`], with the version of the table.
pub fn route(
    node: &Arc<Node>,
    head: &Head,
    balancer: &ServiceBalancer,
    tried: &[SessionId],
) -> Result<Route, (Reason, u64)> {
    let table = Arc::clone(&node.table.borrow());
    let error = |reason| (reason, table.version);
    let service = table
        .service_id(&head.service)
        .ok_or(error(Reason::NoOwner))?;
    let (session, shard, selected) = match head.forward.key_hash {
        Some(key_hash) => {
            let sharded_service = table.service(service).filter(|s| !s.shards.is_empty());
            let sharded_service = sharded_service.ok_or(error(Reason::NoOwner))?;
            let shard = shard_of(key_hash, sharded_service.shards.len() as u32);
            let owner = owner_of(sharded_service, shard, key_hash).ok_or(error(Reason::NoOwner))?;
            (owner, Some(shard), None)
        }
        None => {
            let selected = balancer.choose(
                node,
                &table,
                service,
                classifier_request(&head.forward, head.service()),
                tried,
            );
            let selected = selected.ok_or(error(Reason::NoTarget))?;
            (selected.session, None, Some(selected))
        }
    };
    let (address, vm) = locate(&table, session).ok_or(error(Reason::NoOwner))?;
    Ok(Route {
        service,
        shard,
        session,
        address,
        vm,
        table_version: table.version,
        selected,
    })
}

fn owner_of(service: &Service, shard: ShardId, key_hash: u64) -> Option<SessionId> {
    let key_override = service.overrides.iter().find(|o| o.key_hash == key_hash);
    let assignment = match key_override {
        Some(key_override) => key_override.assignment,
        None => *service.shards.get(shard.index())?,
    };
    assignment.owner
}

fn locate(table: &Table, session: SessionId) -> Option<(SocketAddr, String)> {
    let session = table.session(session)?;
    Some((session.address, session.vm.clone()))
}
