//! The lease of this session and its renewal.

use std::collections::VecDeque;
use std::time::Duration;

use super::api::{CoreSettings, Renewal, Rule};
use crate::ids::SessionId;
use crate::table::Session;

/// Maximum number of renewal requests without a reply that are remembered per lessor.
const MAX_OUTSTANDING_REQUESTS: usize = 16;

/// Renewal state for one lessor.
#[derive(Debug, Clone)]
pub(super) struct LessorLink {
    pub lessor: SessionId,
    /// Time at which a table first showed the current term.
    term_installed_at: Duration,
    next_send_at: Duration,
    /// Sequence numbers and send times of the requests without a reply.
    outstanding: VecDeque<(u64, Duration)>,
    /// Send time of the latest granted request.
    renewed_at: Option<Duration>,
    /// Start of the current run of renewals without a gap; `None` after a failure.
    steady_since: Option<Duration>,
}

impl LessorLink {
    fn new(lessor: SessionId, now: Duration) -> Self {
        Self {
            lessor,
            term_installed_at: now,
            next_send_at: now,
            outstanding: VecDeque::new(),
            renewed_at: None,
            steady_since: None,
        }
    }

    /// Returns when the lessor counts as unresponsive unless it renews before: half a lease after
    /// the next renewal is due (R4).
    pub fn unresponsive_at(&self, settings: &CoreSettings) -> Duration {
        let last = self
            .renewed_at
            .unwrap_or(self.term_installed_at)
            .max(self.term_installed_at);
        last + settings.renew_interval + settings.lease / 2
    }

    pub fn steady_since(&self) -> Option<Duration> {
        self.steady_since
    }
}

/// Lease of this session.
#[derive(Debug, Clone, Default)]
pub(super) struct Lessee {
    pub session: Option<SessionId>,
    pub term: u32,
    pub links: Vec<LessorLink>,
    /// When the lease expires; `None` before the first lease.
    pub expires_at: Option<Duration>,
    /// Lessors after the pending swap, if it changes them (R4).
    pub next_lessors: Option<Vec<SessionId>>,
    sequence: u64,
    /// Whether `sequence` was initialised. Its first value is random, so that replies to requests
    /// of an earlier process do not match.
    sequence_started: bool,
}

impl Lessee {
    /// Updates the lessors and the term from the newest table. The lease of an earlier session is
    /// dropped.
    pub fn install(&mut self, now: Duration, own: Option<&Session>, settings: &CoreSettings) {
        let Some(own) = own else {
            *self = Self {
                sequence: self.sequence,
                sequence_started: self.sequence_started,
                ..Self::default()
            };
            return;
        };
        if self.session == Some(own.id) && self.term == own.term {
            return;
        }
        if self.session != Some(own.id) {
            self.expires_at = None;
            self.links.clear();
        }
        self.session = Some(own.id);
        self.term = own.term;
        let mut old = std::mem::take(&mut self.links);
        for &lessor in &own.lessors {
            let known = old.iter().position(|l| l.lessor == lessor);
            let mut link = known.map_or_else(
                || LessorLink::new(lessor, now),
                |index| old.swap_remove(index),
            );
            link.outstanding.clear();
            link.next_send_at = now;
            link.term_installed_at = now;
            self.links.push(link);
        }
        if settings.disabled_rule == Some(Rule::NamedLessors) {
            self.links.append(&mut old);
        }
    }

    /// Extends the lease to one lease length after `from`: the time at which a renewal or join
    /// request was sent, a swap that joins this session or changes its lessors was started (R12),
    /// or a read was started (R13).
    pub fn extend(&mut self, from: Duration, settings: &CoreSettings) {
        let new_expiry = from + lessee_lease_length(settings);
        self.expires_at = Some(
            self.expires_at
                .map_or(new_expiry, |expires_at| expires_at.max(new_expiry)),
        );
    }

    /// Returns whether the lease is valid.
    pub fn has_valid_lease(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns the renewal requests that are due and records them as sent.
    pub fn due_requests(
        &mut self,
        now: Duration,
        version: u64,
        settings: &CoreSettings,
    ) -> Vec<Renewal> {
        let Some(lessee) = self.session else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        for link in &mut self.links {
            if now < link.next_send_at {
                continue;
            }
            self.sequence += 1;
            link.next_send_at = now + settings.renew_interval;
            if link.outstanding.len() >= MAX_OUTSTANDING_REQUESTS {
                link.outstanding.pop_front();
            }
            link.outstanding.push_back((self.sequence, now));
            requests.push(Renewal {
                lessee,
                lessor: link.lessor,
                term: self.term,
                sequence: self.sequence,
                version,
            });
        }
        requests
    }

    pub fn next_send_at(&self) -> Option<Duration> {
        self.links.iter().map(|l| l.next_send_at).min()
    }

    /// Records a granted renewal and extends the lease from when the request was sent. Returns
    /// `false` without extending it if the request is not outstanding, or if a pending swap removes
    /// the lessor (R4).
    pub fn record_renewal(
        &mut self,
        now: Duration,
        lessor: SessionId,
        sequence: u64,
        settings: &CoreSettings,
    ) -> bool {
        let is_excluded = |set: &Vec<SessionId>| !set.contains(&lessor);
        let excluded = self.next_lessors.as_ref().is_some_and(is_excluded);
        let Some(link) = self.links.iter_mut().find(|l| l.lessor == lessor) else {
            return false;
        };
        let Some(index) = link.outstanding.iter().position(|(s, _)| *s == sequence) else {
            return false;
        };
        let (_, sent_at) = link.outstanding.remove(index).unwrap_or_default();
        if excluded && settings.disabled_rule != Some(Rule::NoOutsideRenewals) {
            return false;
        }
        if now >= link.unresponsive_at(settings) {
            link.steady_since = None;
        }
        link.steady_since = link.steady_since.or(Some(now));
        link.renewed_at = Some(link.renewed_at.map_or(sent_at, |last| last.max(sent_at)));
        let from = match settings.disabled_rule {
            Some(Rule::CountFromSend) => now,
            _ => sent_at,
        };
        self.extend(from, settings);
        true
    }

    /// Records a refused or failed request and schedules an early retry.
    pub fn record_failure(
        &mut self,
        now: Duration,
        lessor: SessionId,
        sequence: u64,
        settings: &CoreSettings,
    ) {
        if let Some(link) = self.links.iter_mut().find(|l| l.lessor == lessor) {
            link.outstanding.retain(|(s, _)| *s != sequence);
            link.steady_since = None;
            link.next_send_at = link.next_send_at.min(now + settings.renew_interval / 3);
        }
    }

    /// Sets the first sequence number. Later calls have no effect.
    pub fn start_sequence(&mut self, first: u64) {
        if !self.sequence_started {
            self.sequence_started = true;
            self.sequence = first;
        }
    }
}

/// Returns the lease length as counted by the lessee.
pub(super) fn lessee_lease_length(settings: &CoreSettings) -> Duration {
    settings.lease - drift_allowance(settings)
}

/// Returns the lease length as counted by a lessor.
pub(super) fn lessor_lease_length(settings: &CoreSettings) -> Duration {
    settings.lease + drift_allowance(settings)
}

fn drift_allowance(settings: &CoreSettings) -> Duration {
    if settings.disabled_rule == Some(Rule::DriftBound) {
        return Duration::ZERO;
    }
    settings.lease * settings.drift_ppm / 1_000_000
}
