//! Disseminates updates: deltas of the table, the configuration, and the set of evacuated data centres.
//!
//! An update travels along a tree of peers. Lease renewals and forwarded requests carry versions,
//! so that a daemon notices and pulls an update that the tree did not deliver.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::dissemination_tree;
use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::{CollectionReplies, Event};
use masticdeal_policy::evacuation::StorePosition;
use masticdeal_wire::headers::{PATH_PULL, PATH_UPDATE};
use masticdeal_wire::peer::{Pull, Update, Versions};

use super::Control;
use super::config_store::Applied;

/// Longest wait for the reply of a peer to a pull or an update.
pub(super) const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest transfer of an update to or from a peer. The first configuration of many routes has tens
/// of kilobytes, and a link of 13 Mbit/s also carries responses.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a pull for versions that forwarded requests reported. The tree usually delivers the
/// update within this time.
const REPORTED_VERSIONS_DELAY: Duration = Duration::from_millis(20);

impl Control {
    /// Sends an update to this daemon's children in the dissemination tree.
    pub(super) fn disseminate(self: &Arc<Self>, update: Update) {
        let (Some(origin), Some(me)) = (update.origin, self.session()) else {
            return;
        };
        let children = dissemination_tree::children(&self.node.table.borrow(), origin, me);
        let update = Arc::new(update);
        for child in children {
            let control = self.clone();
            let update = update.clone();
            tokio::spawn(async move {
                let _: Option<Versions> = control
                    .call(child, PATH_UPDATE, &*update, TRANSFER_TIMEOUT)
                    .await;
            });
        }
    }

    /// Applies an update from a peer.
    pub(super) fn apply_update(self: &Arc<Self>, update: &Update) {
        // Before the configuration: a daemon that has just started reports its target with the first
        // one, and must know then whether its data centre is evacuated.
        if let Some(set) = &update.evacuations {
            self.record_peer_evacuations(set, update.origin);
        }
        if let Some(config) = &update.config
            && self.config.apply(config) == Applied::OtherBase
            && let Some(origin) = update.origin
        {
            log::info!(revision = config.head.revision, installed = self.config.revision(), origin:%;
                "pulling a configuration whose base is not installed");
            self.spawn(Self::pull_from, origin);
        }
        if let Some(confirmation) = &update.confirmation {
            let now = self.node.clock.now();
            self.confirm_config(confirmation.revision, confirmation.proof, now);
        }
        for (version, reason) in &update.move_reasons {
            let mut reasons = self.move_reasons.lock().unwrap();
            reasons.insert(*version, reason.clone());
        }
        if let Some(stored) = update.stored {
            self.tables.record_peer(stored);
        }
        if let Some(table) = &update.table {
            self.handle_event(Event::TableReceived(Arc::new(table.clone())));
        } else if !update.deltas.is_empty() {
            self.handle_event(Event::DeltasReceived(update.deltas.clone()));
        }
    }

    /// Forwards an update that came along the tree, if it is newer than those forwarded before.
    pub(super) fn forward_update(self: &Arc<Self>, update: Update) {
        let Some(origin) = update.origin else {
            return;
        };
        let is_newer = match &update.confirmation {
            Some(confirmation) => self.mark_confirmation(origin, confirmation.confirmed_ms),
            None => self.mark_disseminated(&update),
        };
        if is_newer {
            self.disseminate(update);
        }
    }

    /// Records a confirmation as forwarded. Returns whether it is newer than those of the same origin
    /// before.
    fn mark_confirmation(&self, origin: SessionId, confirmed_ms: u64) -> bool {
        let forwarded = &mut *self.forwarded_confirmations.lock().unwrap();
        if !forwarded.contains_key(&origin) {
            let table = self.node.table.borrow();
            forwarded.retain(|session, _| table.session(*session).is_some());
        }
        let newest_ms = forwarded.entry(origin).or_default();
        let is_newer = *newest_ms < confirmed_ms;
        *newest_ms = confirmed_ms.max(*newest_ms);
        is_newer
    }

    /// Records the versions of an update as forwarded. Returns whether any of them is newer than
    /// those forwarded before. Must not be called for the reply to a pull: the children in the tree
    /// may still lack its versions.
    fn mark_disseminated(&self, update: &Update) -> bool {
        let table = update.deltas.last().map_or(0, |delta| delta.to_version);
        let table = table.max(update.table.as_ref().map_or(0, |t| t.version));
        let set = update.evacuations.as_ref();
        let versions = Versions {
            table,
            config: update.config.as_ref().map_or(0, |c| c.head.revision),
            evacuations: set.map_or_else(StorePosition::default, |set| set.position),
        };
        let mut disseminated = self.disseminated.lock().unwrap();
        let is_newer = versions.has_newer_than(&disseminated);
        disseminated.raise_to(&versions);
        is_newer
    }

    /// Returns an update with everything newer than the sender of `pull` has.
    pub(super) fn updates_since(&self, pull: &Pull) -> Update {
        let versions = pull.versions;
        let mut update = Update {
            origin: self.session(),
            config: self
                .config
                .update_since(versions.config, pull.config_digest),
            evacuations: self.evacuations_since(versions.evacuations),
            ..Update::default()
        };
        let history = self.history.lock().unwrap();
        let table = self.node.table.borrow();
        if table.version > versions.table {
            update.stored = self.tables.stored(table.version);
            match history.deltas_since(versions.table, table.version) {
                Some(deltas) => {
                    update.move_reasons = self.move_reasons.lock().unwrap().for_deltas(&deltas);
                    update.deltas = deltas;
                }
                None => update.table = Some((**table).clone()),
            }
        }
        update
    }

    /// Pulls and applies an update from one session, unless such a pull is in progress. Each renewal
    /// and each forwarded request may show the newer version again, and repeated transfers would
    /// delay each other on a slow link.
    pub(super) async fn pull_from(self: Arc<Self>, from: SessionId) {
        if !self.pulls.lock().unwrap().insert(from) {
            return;
        }
        self.pull_and_apply(from).await;
        self.pulls.lock().unwrap().remove(&from);
    }

    fn pull_request(&self) -> Pull {
        Pull {
            versions: self.node.versions(),
            config_digest: self.config.digest(),
        }
    }

    /// Pulls and applies an update from one session. Returns who replied.
    pub(super) async fn pull_and_apply(self: &Arc<Self>, from: SessionId) -> CollectionReplies {
        let pull = self.pull_request();
        let update: Option<Update> = self.call(from, PATH_PULL, &pull, TRANSFER_TIMEOUT).await;
        let Some(update) = update else {
            return CollectionReplies::SilentAddress;
        };
        self.apply_update(&update);
        match update.origin == Some(from) {
            true => CollectionReplies::AllSessions,
            false => CollectionReplies::RestartedSession,
        }
    }

    /// Pulls table and configuration from peers when the daemon starts while the platform's store
    /// is unavailable. Pulls from the seeds of the settings first and then from one session of each
    /// data centre, so that this daemon gets the newest table and configuration that any of these
    /// peers has.
    pub(super) async fn bootstrap_from_peers(self: &Arc<Self>) {
        for &seed in &self.node.settings.daemon.seeds {
            self.pull_from_seed(seed).await;
        }
        for session in self.first_session_per_data_centre() {
            self.clone().pull_from(session).await;
        }
    }

    /// Pulls and applies an update from one seed. Returns whether it replied.
    pub(super) async fn pull_from_seed(self: &Arc<Self>, seed: SocketAddr) -> bool {
        let pull = self.pull_request();
        let reply: Result<Update, _> = self
            .peers
            .control(seed, PATH_PULL, &pull, PEER_CALL_TIMEOUT)
            .await;
        match &reply {
            Ok(update) => self.apply_update(update),
            Err(e) => {
                // Logs under the module's former name, which operators' filters use.
                log::warn!(target: "masticdeald::control::news",
                    "pull from seed {seed} failed: {e}")
            }
        }
        reply.is_ok()
    }

    /// Returns the first session of each data centre in the table. Data centres of the same name in
    /// different regions count as one.
    fn first_session_per_data_centre(&self) -> Vec<SessionId> {
        let table = self.node.table.borrow();
        let mut first = BTreeMap::new();
        for session in &table.sessions {
            first.entry(&*session.data_centre).or_insert(session.id);
        }
        first.into_values().collect()
    }

    /// Pulls an update whenever forwarded requests report newer versions, until the task is
    /// dropped.
    pub async fn follow_reported_versions(self: Arc<Self>) {
        let mut reported = self.node.reported_versions.subscribe();
        while reported.changed().await.is_ok() {
            tokio::time::sleep(REPORTED_VERSIONS_DELAY).await;
            let newest = *reported.borrow_and_update();
            if newest.has_newer_than(&self.node.versions()) {
                self.pull_from_any().await;
            }
        }
    }

    /// Pulls an update from a lessor, or from any other session when there is none.
    async fn pull_from_any(self: &Arc<Self>) {
        let Some(me) = self.session() else {
            return;
        };
        let from = {
            let table = self.node.table.borrow();
            let lessors = table.session(me).map(|s| s.lessors.clone());
            let others = table.sessions.iter().map(|s| s.id).filter(|id| *id != me);
            lessors.into_iter().flatten().chain(others).next()
        };
        if let Some(from) = from {
            self.clone().pull_from(from).await;
        }
    }
}
