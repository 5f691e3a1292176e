//! Learns which data centres are evacuated: from the platform's store and from peers, or from the
//! configuration where daemons write it.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::Event;
use masticdeal_policy::evacuation::{EvacuatedSet, EvacuationChange, Recorded, StorePosition};
use masticdeal_wire::peer::Update;
use masticdeal_wire::text_delta;

use super::Control;
use super::key_watch::Received;
use crate::protocol::EvacuationKeys;

impl Control {
    /// Records what a call to the store showed, and disseminates the set if it changed. Must be called
    /// without an await after the call, so that no change is lost when the task is dropped.
    pub(super) fn record_received_evacuations(
        self: &Arc<Self>,
        received: Option<&Received>,
    ) -> Recorded {
        let (Some(keys), Some(received)) = (self.node.evacuation_keys(), received) else {
            return Recorded::Same;
        };
        let changes = evacuation_changes(keys, received);
        let at = StorePosition::new(received.position.era, received.position.revision);
        let source = if received.is_whole {
            "read of the store"
        } else {
            "watch of the store"
        };
        let recorded = self
            .node
            .record_evacuations(source, |state| match received.is_whole {
                true => state.record_read(at, evacuated(changes)),
                false => state.record_changes(at, &changes),
            });
        match recorded {
            Recorded::Changed => {
                self.apply_evacuations();
                self.disseminate_evacuations();
            }
            Recorded::Older => {
                log::warn!(era = at.era, revision = at.revision;
                    "the platform store showed an older state of the evacuated data centres");
            }
            Recorded::Same => {}
        }
        recorded
    }

    /// Records the set of a peer.
    pub(super) fn record_peer_evacuations(
        self: &Arc<Self>,
        set: &EvacuatedSet,
        origin: Option<SessionId>,
    ) {
        if self.node.evacuation_keys().is_none() {
            return;
        }
        let source = origin.map_or_else(|| "peer".into(), |id| format!("session {id}"));
        let recorded = self
            .node
            .record_evacuations(&source, |state| state.record_peer(set));
        if recorded == Recorded::Changed {
            self.apply_evacuations();
        }
    }

    /// Records the data centres that the configuration in force evacuates. Where operators evacuate them
    /// by keys of the store, the configuration lists none.
    pub(super) fn record_configured_evacuations(self: &Arc<Self>) {
        let (revision, deployment) = self.node.deployment.borrow().clone();
        if self.node.protocol.config.evacuations.is_some() || revision == 0 {
            return;
        }
        let names = &deployment.rules.evacuated;
        let recorded = self.node.record_evacuations("configuration", |state| {
            state.record_config(revision, names)
        });
        if recorded == Recorded::Changed {
            self.apply_evacuations();
        }
    }

    /// Passes a changed set to the lease core, which does not move shards to these data centres.
    fn apply_evacuations(self: &Arc<Self>) {
        self.node.warn_of_evacuations();
        let set = self.node.evacuations.borrow().state.set().clone();
        let names = set.data_centres.into_keys().collect();
        self.handle_event(Event::DataCentresEvacuated(names));
    }

    fn disseminate_evacuations(self: &Arc<Self>) {
        let set = self.node.evacuations.borrow().state.set().clone();
        self.disseminate(Update {
            origin: self.session(),
            evacuations: Some(set),
            ..Update::default()
        });
    }

    /// Returns the set if its position is above that of a peer; `None` where it is a part of the
    /// configuration.
    pub(super) fn evacuations_since(&self, position: StorePosition) -> Option<EvacuatedSet> {
        self.node.evacuation_keys()?;
        let evacuations = self.node.evacuations.borrow();
        let set = evacuations.state.set();
        (set.position > position).then(|| set.clone())
    }

    /// Returns the digest of the configuration and of the set of evacuated data centres. Without
    /// evacuated data centres, and where they are a part of the configuration, it is that of the
    /// configuration.
    pub(super) fn proof_digest(&self) -> u64 {
        if self.node.evacuation_keys().is_none() {
            return self.config.digest();
        }
        let evacuations = self.node.evacuations.borrow().clone();
        let entries = evacuations.state.set().data_centres.iter();
        let text: String = entries
            .map(|(name, rev)| format!("{name} {rev}\n"))
            .collect();
        let set_digest = match text.is_empty() {
            true => 0,
            false => text_delta::digest(&text),
        };
        self.config.digest() ^ set_digest
    }
}

fn evacuation_changes(keys: EvacuationKeys, received: &Received) -> Vec<EvacuationChange> {
    let changes = received.changes.iter().filter_map(|change| {
        let name = change.key.strip_prefix(keys.prefix)?;
        Some(EvacuationChange {
            data_centre: name.into(),
            revision: change.revision,
            is_evacuated: change.value.is_some(),
        })
    });
    changes.collect()
}

/// Returns the set that the changes of a read contain.
fn evacuated(changes: Vec<EvacuationChange>) -> BTreeMap<String, u64> {
    let present = changes.into_iter().filter(|change| change.is_evacuated);
    present.map(|c| (c.data_centre, c.revision)).collect()
}
