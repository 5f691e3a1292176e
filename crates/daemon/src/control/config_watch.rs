//! Keeps the configuration of this daemon, and its set of evacuated data centres, the newest ones.
//! Each call to the store covers both.
//!
//! The daemons that watch the configuration learn of a change at once and disseminate it. A watch
//! that waits does not show that the store is still there, so one of them also asks the store in
//! short intervals and disseminates the answer. Every daemon that no such answer reaches asks the
//! store by itself: first the other watchers, then the rest of the fleet.

use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use masticdeal_platform::{Client, Value};
use masticdeal_policy::evacuation::Recorded;
use masticdeal_wire::peer::{ConfigConfirmation, ConfigProof, Update};

use super::Control;
use super::config_freshness::{CheckRole, ConfigFreshness};
use super::key_watch::{KeyWatch, Received, Scope};
use super::watcher::{CONFIG_WATCHERS, is_watcher};

/// Calls to the store that ask for a newer configuration.
struct ConfigCheck {
    watch: KeyWatch,
    /// Revision of the configuration in force after the last call.
    revision: u64,
}

impl Control {
    /// Watches the configuration while this daemon has to, checks whether it is the newest one, and
    /// disseminates changes, until the task is dropped.
    pub async fn watch_config(self: Arc<Self>, platform: Client) {
        let scope = self.config_scope();
        let mut watch = KeyWatch::new(scope);
        let mut check = ConfigCheck {
            watch: KeyWatch::without_wait(scope),
            revision: 0,
        };
        loop {
            if !self.watches_config() {
                // Its position will be old: the store would send every configuration since.
                watch = KeyWatch::new(scope);
                tokio::select! {
                    () = self.await_watch_role() => {}
                    () = self.find_newer_config(&mut check, &platform) => {}
                }
                continue;
            }
            tokio::select! {
                () = self.follow_config(&mut watch, &platform) => {}
                () = self.find_newer_config(&mut check, &platform), if watch.is_positioned() => {
                    log::warn!(revision = self.config.revision();
                        "a check found a newer configuration than the watch, restarting the watch");
                    watch = KeyWatch::new(scope);
                }
            }
        }
    }

    /// Makes one call of the watch and installs what it returns. A daemon without a configuration
    /// asks peers when the store does not answer.
    async fn follow_config(self: &Arc<Self>, watch: &mut KeyWatch, platform: &Client) {
        let started_at = self.node.clock.now();
        let is_waiting = watch.is_positioned();
        let received = watch.next(platform).await;
        let is_current = self.record_received_evacuations(received.as_ref()) != Recorded::Older;
        if let Some((value, era)) = self.config_value(received.as_ref()) {
            let call_ms = (self.node.clock.now() - started_at).as_millis() as u64;
            log::info!(call_ms, waited = is_waiting, installed = self.config.revision();
                "received the stored configuration");
            self.install_received(&value, era).await;
        } else if watch.is_failing() && self.config.revision() == 0 {
            self.bootstrap_from_peers().await;
        }
        // Only now: peers that hear of it take the installed configuration for the newest. A stored
        // value that cannot be used does not count as newer: no daemon could use it.
        if watch.is_positioned() && is_current {
            self.config_freshness().confirm(started_at);
        }
    }

    /// Asks the store for a newer configuration or set whenever the last confirmation is too old.
    /// Returns once it has installed one.
    async fn find_newer_config(self: &Arc<Self>, check: &mut ConfigCheck, platform: &Client) {
        loop {
            self.await_config_check().await;
            if check.revision != self.config.revision() {
                // Its position is old: the store would send every configuration since.
                check.watch = KeyWatch::without_wait(self.config_scope());
            }
            let started_at = self.node.clock.now();
            let received = check.watch.next(platform).await;
            let recorded = self.record_received_evacuations(received.as_ref());
            let is_newer = match self.config_value(received.as_ref()) {
                Some((value, era)) => self.install_received(&value, era).await,
                None => false,
            };
            check.revision = self.config.revision();
            if check.watch.is_positioned() && recorded != Recorded::Older {
                self.config_freshness().confirm(started_at);
                self.disseminate_confirmation();
            }
            if is_newer || recorded == Recorded::Changed {
                return;
            }
        }
    }

    /// Returns what the calls to the store cover.
    fn config_scope(&self) -> Scope {
        match self.node.evacuation_keys() {
            Some(keys) => Scope::Prefix(keys.watched_prefix),
            None => Scope::Key(self.node.protocol.config.key),
        }
    }

    /// Returns the configuration and the era of the store in the result of a call.
    fn config_value(&self, received: Option<&Received>) -> Option<(Value, u64)> {
        let received = received?;
        let value = received.value_of(self.node.protocol.config.key)?;
        Some((value, received.position.era))
    }

    /// Installs and disseminates a configuration from the store if it is newer. Returns whether it
    /// was installed.
    async fn install_received(self: &Arc<Self>, value: &Value, era: u64) -> bool {
        match self.config.decode(value) {
            Ok(stored) => {
                let is_newer = self.install_stored_config(&stored, era).await;
                if is_newer {
                    self.disseminate_config();
                }
                is_newer || self.config.install_rewritten(&stored)
            }
            Err(e) => {
                log::error!("cannot decode the stored configuration: {e}");
                false
            }
        }
    }

    /// Returns whether this daemon watches the configuration: it has not joined, or it is one of the
    /// watchers of its data centre.
    fn watches_config(&self) -> bool {
        let table = self.node.table.borrow();
        let me = self.session();
        me.is_none_or(|me| is_watcher(&table, me, CONFIG_WATCHERS))
    }

    async fn await_watch_role(&self) {
        let mut table = self.node.table.subscribe();
        let mut session = self.node.session.subscribe();
        while !self.watches_config() {
            tokio::select! {
                _ = table.changed() => {}
                _ = session.changed() => {}
            }
        }
    }

    /// Waits until the last confirmation is so old that this daemon has to ask the store.
    async fn await_config_check(&self) {
        let mut deployment = self.node.deployment.subscribe();
        // Without a configuration, the watch reads it.
        let _ = deployment.wait_for(|(revision, _)| *revision > 0).await;
        let spread = rand::random();
        loop {
            let role = self.check_role();
            let expires_at = self.config_freshness().expires_at(role.max_age(spread));
            let left = expires_at.saturating_sub(self.node.clock.now());
            if left.is_zero() {
                if role != CheckRole::First {
                    log::info!(config = self.config.revision(), role:?;
                        "peers do not confirm the configuration, asking the platform store");
                }
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    fn check_role(&self) -> CheckRole {
        let table = self.node.table.borrow();
        let Some(me) = self.session() else {
            return CheckRole::Other;
        };
        if table.sessions.first().is_some_and(|s| s.id == me) {
            CheckRole::First
        } else if is_watcher(&table, me, CONFIG_WATCHERS) {
            CheckRole::Watcher
        } else {
            CheckRole::Other
        }
    }

    /// Tells all daemons that the store has just confirmed the configuration of this one.
    fn disseminate_confirmation(self: &Arc<Self>) {
        self.disseminate(Update {
            origin: self.session(),
            confirmation: Some(ConfigConfirmation {
                confirmed_ms: self.node.clock.now().as_millis() as u64,
                revision: self.config.revision(),
                proof: self.config_proof(),
            }),
            ..Update::default()
        });
    }

    pub(super) fn config_freshness(&self) -> MutexGuard<'_, ConfigFreshness> {
        self.config_freshness.lock().unwrap()
    }

    /// Returns what this daemon knows about its configuration.
    pub(super) fn config_proof(&self) -> ConfigProof {
        let age = self.config_freshness().age(self.node.clock.now());
        ConfigProof {
            digest: self.proof_digest(),
            age_ms: age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
        }
    }

    /// Records what a peer with the configuration `revision` knew about it at the time `at`, if this
    /// daemon has the same one.
    pub(super) fn confirm_config(&self, revision: u64, proof: ConfigProof, at: Duration) {
        if (revision, proof.digest) == (self.config.revision(), self.proof_digest())
            && let Some(age_ms) = proof.age_ms
            && let Some(confirmed_at) = at.checked_sub(Duration::from_millis(age_ms.into()))
        {
            self.config_freshness().confirm(confirmed_at);
        }
    }
}
