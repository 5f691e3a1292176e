//! Passes on and pulls what is newer: deltas of the table, and the configuration.
//!
//! News travels along a tree of peers; versions in heartbeats and forwarded requests make up for
//! what the tree missed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::dissemination_tree;
use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::Event;
use masticdeal_wire::headers::{PATH_DELTA, PATH_PULL};
use masticdeal_wire::peer::{Pull, Update, Versions};

use super::Control;

/// Longest wait for a peer that is pulled from, or that news is passed on to.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before the versions that forwarded requests reported are acted on. The tree usually
/// brings the news within it.
const REPORTED_VERSIONS_DELAY: Duration = Duration::from_millis(20);

impl Control {
    /// Sends news to this daemon's children in the tree.
    pub(super) fn disseminate(self: &Arc<Self>, news: Update) {
        let (Some(origin), Some(me)) = (news.origin, self.session()) else {
            return;
        };
        let children = dissemination_tree::children(&self.node.table.borrow(), origin, me);
        let news = Arc::new(news);
        for child in children {
            let control = self.clone();
            let news = news.clone();
            tokio::spawn(async move {
                let _: Option<Versions> = control.call(child, PATH_DELTA, &*news, TIMEOUT).await;
            });
        }
    }

    /// Takes over news of a peer and passes it on when anything in it was new.
    pub(super) fn apply_update(self: &Arc<Self>, news: Update) {
        if let Some(config) = &news.config {
            self.config.install(config);
        }
        for (version, reason) in &news.reasons {
            let mut reasons = self.move_reasons.lock().unwrap();
            reasons.insert(*version, reason.clone());
        }
        if let Some(table) = &news.table {
            self.handle_event(Event::TableReceived(Arc::new(table.clone())));
        } else if !news.deltas.is_empty() {
            self.handle_event(Event::DeltasReceived(news.deltas.clone()));
        }
        if news.origin.is_some() && self.needs_dissemination(&news) {
            self.disseminate(news);
        }
    }

    /// Returns whether this daemon has not passed on these versions yet. What it learned by a pull
    /// meanwhile does not count: its children in the tree may still lack it.
    fn needs_dissemination(&self, news: &Update) -> bool {
        let table = news.deltas.last().map_or(0, |delta| delta.to_version);
        let table = table.max(news.table.as_ref().map_or(0, |t| t.version));
        let config = news.config.as_ref().map_or(0, |c| c.revision);
        let mut disseminated = self.disseminated.lock().unwrap();
        let newer = table > disseminated.table || config > disseminated.config;
        disseminated.table = disseminated.table.max(table);
        disseminated.config = disseminated.config.max(config);
        newer
    }

    /// Returns what is newer than `have`.
    pub(super) fn updates_since(&self, have: Versions) -> Update {
        let mut news = Update::default();
        let current = self.config.current();
        if current.revision > have.config {
            news.config = Some(current);
        }
        let history = self.history.lock().unwrap();
        let table = self.node.table.borrow();
        if table.version > have.table {
            match history.deltas_since(have.table, table.version) {
                Some(deltas) => {
                    news.reasons = self.move_reasons.lock().unwrap().for_deltas(&deltas);
                    news.deltas = deltas;
                }
                None => news.table = Some((**table).clone()),
            }
        }
        news
    }

    /// Pulls what is newer from one session.
    pub(super) async fn pull_from(self: Arc<Self>, from: SessionId) {
        let pull = Pull {
            have: self.node.versions(),
        };
        let news: Option<Update> = self.call(from, PATH_PULL, &pull, TIMEOUT).await;
        if let Some(news) = news {
            self.apply_update(news);
        }
    }

    /// Learns table and configuration from other daemons, for a start while the platform's service
    /// does not answer: first from the seeds of the settings, then from one session of each data
    /// centre, so that the highest revision that any of them holds counts.
    pub(super) async fn bootstrap_from_peers(self: &Arc<Self>) {
        for &seed in &self.node.settings.daemon.seeds {
            let pull = Pull {
                have: self.node.versions(),
            };
            let answer = self.peers.control(seed, PATH_PULL, &pull, TIMEOUT).await;
            match answer {
                Ok(news) => self.apply_update(news),
                Err(e) => {
                    log::warn!(target: "masticdeald::control::news",
                        "seed {seed} does not answer: {e}")
                }
            }
        }
        for session in self.one_per_data_centre() {
            self.clone().pull_from(session).await;
        }
    }

    fn one_per_data_centre(&self) -> Vec<SessionId> {
        let table = self.node.table.borrow();
        let mut first = BTreeMap::new();
        for session in &table.sessions {
            first.entry(&*session.data_centre).or_insert(session.id);
        }
        first.into_values().collect()
    }

    /// Acts on versions that forwarded requests reported, until the task is dropped.
    pub async fn follow_reported_versions(self: Arc<Self>) {
        let mut reported = self.node.reported_versions.subscribe();
        while reported.changed().await.is_ok() {
            tokio::time::sleep(REPORTED_VERSIONS_DELAY).await;
            let theirs = *reported.borrow_and_update();
            let own = self.node.versions();
            if theirs.table > own.table || theirs.config > own.config {
                self.pull_from_any().await;
            }
        }
    }

    /// Pulls from a lessor, or from any other session.
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
