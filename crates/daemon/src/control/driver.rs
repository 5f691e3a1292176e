//! Passes events to the lease core and carries out its effects.
//!
//! The core is called under a lock and performs no I/O. Its effects run as tasks, which report
//! their results as further events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::change::Delta;
use masticdeal_ownership::checker;
use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::lease::{
    Effect, Event, ExpiryQuery, JoinRequest, Outcome, Renewal, TargetRequest,
};
use masticdeal_ownership::swap_cause::SwapCause;
use masticdeal_ownership::table::Table;
use masticdeal_wire::headers;
use masticdeal_wire::peer::{ExpiryReply, ExpiryRequest, Renew, RenewReply, Update, Versions};
use serde::Serialize;

use super::Control;
use super::table_store::SwapResult;
use crate::operators::{from_delta, installed};
use crate::peers;
use crate::telemetry::metrics::SwapLabels;

/// Longest time between two ticks when the core has no earlier deadline.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Longest wait at startup for the configuration and the first announcement of the target. A
/// target announces itself once a second.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before each pull of the table after another daemon accepted this daemon's join request.
/// The first is the usual duration of a swap; each further one is twice the one before.
const JOIN_PULL_DELAYS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(160),
];

/// Aborts the process when an invariant is violated. A daemon that may be wrong about what it owns
/// must not serve; once its lease has run out, its shards get other owners.
fn abort_on_violation(result: checker::Result<()>) {
    if let Err(violation) = result {
        log::error!("ownership invariant violated, aborting: {violation}");
        log::logger().flush();
        std::process::abort();
    }
}

impl Control {
    /// Sends ticks to the lease core until the task is dropped: at each of the core's deadlines,
    /// after other events, and at least once per `MAX_SLEEP`.
    pub async fn run_lease_core(self: Arc<Self>) {
        loop {
            self.handle_event(Event::Tick);
            let sleep = self.time_to_tick();
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Waits until a configuration is installed and the target has announced itself, for at most
    /// [`STARTUP_TIMEOUT`]. A restarted daemon whose target has announced itself takes over the
    /// shards of its earlier process in the swap that writes its join. Otherwise they would move to
    /// other daemons and back.
    async fn await_config_and_target(&self) {
        let mut deployment = self.node.deployment.subscribe();
        let mut target = self.node.target.subscribe();
        let both = async {
            let _ = deployment.wait_for(|(revision, _)| *revision > 0).await;
            let _ = target.wait_for(Option::is_some).await;
        };
        let _ = tokio::time::timeout(STARTUP_TIMEOUT, both).await;
    }

    /// Records the changes of the deltas that are newer than `before` in the journal.
    fn record_deltas(&self, before: &Arc<Table>, deltas: &[Delta]) {
        let mut table = before.clone();
        let config = self.node.deployment.borrow().0;
        let time_ms = super::unix_ms();
        let mut journal = self.journal.lock().unwrap();
        let newer = deltas
            .iter()
            .filter(|delta| delta.to_version > before.version);
        let mut newer = newer.peekable();
        while let Some(delta) = newer.next() {
            let cause = self.move_reasons.lock().unwrap().cause(delta.to_version);
            let entries = from_delta::entries(&table, delta, config, time_ms, cause.as_ref());
            entries.into_iter().for_each(|entry| journal.record(entry));
            // Applying a delta copies the whole table, so the last one is not applied.
            if newer.peek().is_none() {
                return;
            }
            match table.apply(delta) {
                Ok(next) => table = Arc::new(next),
                Err(_) => return,
            }
        }
    }

    fn time_to_tick(&self) -> Duration {
        let next = self.core.lock().unwrap().next_deadline();
        next.map_or(MAX_SLEEP, |deadline| {
            let left = deadline.saturating_sub(self.node.clock.now());
            left.min(MAX_SLEEP)
        })
    }

    /// Passes one event to the core and carries out its effects, except for replies. Returns the
    /// replies, which the function that received the request sends.
    pub fn handle_event(self: &Arc<Self>, event: Event) -> Vec<Effect> {
        let deltas = self.event_deltas(&event);
        // After a tick, the driver reads the next deadline by itself and needs no wake-up.
        let is_tick = matches!(event, Event::Tick);
        let effects = {
            let mut core = self.core.lock().unwrap();
            let effects = core.handle(self.node.clock.now(), event);
            abort_on_violation(checker::check_core(&core, self.node.clock.now()));
            // Publishing under the lock keeps the tables in the order of their versions, and keeps
            // the end of an old session from overwriting a newer session.
            self.publish_session(core.session());
            for effect in &effects {
                if let Effect::TableChanged(table) = effect {
                    self.publish(table, &deltas);
                }
            }
            effects
        };
        if !is_tick {
            self.wake.notify_one();
        }
        let mut replies = Vec::new();
        for effect in effects {
            match effect {
                Effect::ReplyRenew { .. } | Effect::ReplyExpired { .. } => replies.push(effect),
                other => self.run_effect(other),
            }
        }
        replies
    }

    /// Returns the deltas that lead to the table of an event, or an empty list when they are not
    /// known.
    fn event_deltas(&self, event: &Event) -> Vec<Delta> {
        match event {
            Event::DeltasReceived(deltas) => deltas.clone(),
            Event::SwapOutcome {
                change_id,
                outcome: Outcome::Done,
            } => {
                let delta = self.swap_delta.lock().unwrap().take();
                let swapped = delta.filter(|delta| delta.change_id == *change_id);
                swapped.into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn publish_session(&self, session: Option<SessionId>) {
        let replace = |published: &mut _| std::mem::replace(published, session) != session;
        self.node.session.send_if_modified(replace);
    }

    /// Publishes a table and records its changes in the journal. `deltas` lead to the table; an
    /// empty list means that it was received as a whole.
    fn publish(self: &Arc<Self>, table: &Arc<Table>, deltas: &[Delta]) {
        let mut history = self.history.lock().unwrap();
        let before = self.node.table.borrow().clone();
        let is_delta_chain = deltas
            .last()
            .is_some_and(|last| last.to_version == table.version);
        if is_delta_chain {
            let newer = deltas
                .iter()
                .filter(|delta| delta.to_version > before.version);
            newer.for_each(|delta| history.push(delta.clone()));
            self.record_deltas(&before, deltas);
        } else {
            history.clear();
            let config = self.node.deployment.borrow().0;
            let entries = installed::entries_of_table(&before, table, config, super::unix_ms());
            let mut journal = self.journal.lock().unwrap();
            entries.into_iter().for_each(|entry| journal.record(entry));
        }
        abort_on_violation(checker::check_table(table));
        abort_on_violation(checker::check_transition(&before, table));
        self.node.table.send_replace(table.clone());
        if self.node.protocol.target.grants_by_report {
            self.forward_handovers(&before, table);
        }
    }

    fn run_effect(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::ReplyRenew { .. } | Effect::ReplyExpired { .. } => {}
            Effect::TableChanged(_) => {}
            Effect::SendRenew(renewal) => self.spawn(Self::renew, renewal),
            Effect::SendExpired(expiry) => self.spawn(Self::query_expired, expiry),
            Effect::Swap { delta, next } => self.spawn(Self::swap, (delta, next)),
            Effect::CollectTables { version } => self.spawn(Self::collect_tables, version),
            Effect::RestoreTable {
                change_id,
                stored_version,
                next,
            } => self.spawn(Self::restore_table, (change_id, stored_version, next)),
            Effect::ReadTable { read } => self.spawn(Self::read_table, read),
            Effect::SendJoin { to, request } => self.spawn(Self::request_join, (to, request)),
            Effect::SendTarget { to, request } => self.spawn(Self::request_target, (to, request)),
            Effect::Pull { from } => self.spawn(Self::pull_from, from),
            Effect::DrainShard(held) => self.spawn(Self::drain_shard, held),
            Effect::DrainKey {
                service,
                key_hash,
                epoch,
            } => self.spawn(Self::drain_key, (service, key_hash, epoch)),
            Effect::GrantsChanged => self.grants_changed.notify_one(),
            Effect::LogDecision(decision) => log::debug!("{}", decision.kind),
            Effect::Joined(session) => {
                let owned = self.core.lock().unwrap().owned().len();
                log::info!(owned; "joined as session {session}");
            }
            Effect::Ended(session) => {
                log::warn!("session {session} is no longer in the table");
            }
        }
    }

    pub(super) fn spawn<A, F>(self: &Arc<Self>, task: fn(Arc<Self>, A) -> F, argument: A)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(task(self.clone(), argument));
    }

    /// Returns the address of a session in the newest table.
    pub fn address_of(&self, session: SessionId) -> Option<SocketAddr> {
        let table = self.node.table.borrow();
        table.session(session).map(|s| s.address)
    }

    async fn renew(self: Arc<Self>, renewal: Renewal) {
        let message = Renew {
            session: renewal.lessee,
            term: renewal.term,
            lessor: renewal.lessor,
            sequence: renewal.sequence,
            versions: self.node.versions(),
            config_proof: self.config_proof(),
        };
        let timeout = self.node.settings.lease.renew_interval;
        let sent_at = self.node.clock.now();
        let reply: Option<RenewReply> = self
            .call(renewal.lessor, headers::PATH_RENEW, &message, timeout)
            .await;
        let lessor = renewal.lessor;
        let sequence = renewal.sequence;
        let Some(reply) = reply else {
            self.handle_event(Event::RenewTimeout { lessor, sequence });
            return;
        };
        // The reply was made after the request was sent, and may have been late since.
        self.confirm_config(reply.versions.config, reply.config_proof, sent_at);
        self.handle_event(Event::RenewReply {
            lessor,
            sequence,
            granted: reply.granted,
            version: reply.versions.table,
        });
        self.pull_if_newer(lessor, reply.versions);
    }

    async fn query_expired(self: Arc<Self>, expiry: ExpiryQuery) {
        let message = ExpiryRequest {
            from: expiry.from,
            lessee: expiry.lessee,
            term: expiry.term,
            versions: self.node.versions(),
        };
        let timeout = self.node.settings.lease.renew_interval;
        let reply: Option<ExpiryReply> = self
            .call(expiry.to, headers::PATH_EXPIRED, &message, timeout)
            .await;
        if let Some(reply) = reply {
            self.handle_event(Event::ExpiredReply {
                expiry,
                committed: reply.committed,
                version: reply.versions.table,
            });
        }
    }

    /// Sends one control message to a session. Returns `None` if the session is not in the table or
    /// there is no valid reply.
    pub async fn call<M, R>(
        &self,
        to: SessionId,
        path: &'static str,
        message: &M,
        timeout: Duration,
    ) -> Option<R>
    where
        M: serde::Serialize,
        R: serde::de::DeserializeOwned,
    {
        let address = self.address_of(to)?;
        match self.peers.control(address, path, message, timeout).await {
            Ok(reply) => Some(reply),
            Err(e) => {
                log::debug!("control message {path} to session {to} failed: {e}");
                None
            }
        }
    }

    /// Sends another daemon the request to write this daemon's join, then pulls the table that
    /// contains the join.
    async fn request_join(self: Arc<Self>, (to, request): (SessionId, JoinRequest)) {
        if !self.send_request(to, headers::PATH_JOIN, &request).await {
            return;
        }
        for delay in JOIN_PULL_DELAYS {
            tokio::time::sleep(delay).await;
            if self.session().is_some() {
                return;
            }
            self.clone().pull_from(to).await;
        }
    }

    /// Sends another daemon the request to write the first entry of this daemon's target.
    async fn request_target(self: Arc<Self>, (to, request): (SessionId, TargetRequest)) {
        self.send_request(to, headers::PATH_TARGET, &request).await;
    }

    /// Sends a request to a member and returns whether it was accepted.
    async fn send_request<M: Serialize>(
        self: &Arc<Self>,
        to: SessionId,
        path: &'static str,
        request: &M,
    ) -> bool {
        let timeout = self.node.settings.lease.renew_interval;
        let reply = match self.address_of(to) {
            Some(address) => self.peers.control(address, path, request, timeout).await,
            None => Err(peers::Error::Connect("session has ended".into())),
        };
        let refused = match reply {
            Ok(true) => return true,
            Ok(false) | Err(peers::Error::Refused(_)) => true,
            Err(_) => false,
        };
        log::info!(session:% = to, path, refused; "member did not accept the request");
        self.handle_event(Event::RequestFailed { to, refused });
        false
    }

    async fn swap(self: Arc<Self>, (delta, next): (Delta, Arc<Table>)) {
        let change_id = delta.change_id;
        *self.swap_delta.lock().unwrap() = Some(delta.clone());
        let cause = SwapCause::of(&delta);
        let started_at = self.node.clock.now();
        let outcome = match self.tables.swap(&next, &delta).await {
            SwapResult::Done => {
                self.move_reasons.lock().unwrap().commit(&delta);
                Outcome::Done
            }
            SwapResult::Conflict(newer) => {
                if let Some(table) = newer {
                    self.handle_event(Event::TableReceived(Arc::new(table)));
                }
                Outcome::Conflict
            }
            SwapResult::Unknown => Outcome::Unknown,
        };
        self.record_swap(&delta, cause, outcome, started_at);
        self.handle_event(Event::SwapOutcome { change_id, outcome });
        if outcome == Outcome::Done {
            let stored = self.tables.stored(delta.to_version);
            let deltas = vec![delta];
            self.disseminate(Update {
                origin: self.session(),
                stored,
                move_reasons: self.move_reasons.lock().unwrap().for_deltas(&deltas),
                deltas,
                ..Update::default()
            });
        }
    }

    /// Logs a swap and counts it by cause and outcome.
    fn record_swap(&self, delta: &Delta, cause: SwapCause, outcome: Outcome, started_at: Duration) {
        let labels = SwapLabels {
            cause: cause.as_str(),
            outcome: outcome.as_str(),
        };
        let ms = (self.node.clock.now().saturating_sub(started_at)).as_millis() as u64;
        log::info!(table = delta.to_version, changes = delta.changes.len(), ms,
            cause = labels.cause, outcome = labels.outcome; "table swap");
        self.node.metrics.table_swaps.get_or_create(&labels).inc();
    }

    /// Reads the table for the core. The first read waits for configuration and target. The core
    /// requests its join only after this read, so the wait delays nothing else.
    async fn read_table(self: Arc<Self>, read_id: u64) {
        self.startup_wait
            .get_or_init(|| self.await_config_and_target())
            .await;
        let (table, store_era) = match self.tables.read().await {
            Ok((table, era)) => (Some(Arc::new(table)), era),
            Err(e) => {
                log::warn!("cannot read the assignment table: {e}");
                (None, 0)
            }
        };
        self.handle_event(Event::TableRead {
            read: read_id,
            table,
            store_era,
        });
    }

    /// Pulls updates from a peer whose table or configuration is newer than this daemon's.
    pub(super) fn pull_if_newer(self: &Arc<Self>, peer: SessionId, reported: Versions) {
        if reported.has_newer_than(&self.node.versions()) {
            self.spawn(Self::pull_from, peer);
        }
    }
}
