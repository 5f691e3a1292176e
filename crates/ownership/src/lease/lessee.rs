//! The lease of this daemon's own session.

use std::collections::VecDeque;
use std::time::Duration;

use super::api::{CoreSettings, Renewal, Rule};
use crate::ids::SessionId;
use crate::table::Session;

/// The most renewal requests per lessor that may still be answered.
const MAX_OUTSTANDING: usize = 16;

/// The tie to one lessor.
#[derive(Debug, Clone)]
pub(super) struct LessorLink {
    pub lessor: SessionId,
    named_at: Duration,
    next_send: Duration,
    outstanding: VecDeque<(u64, Duration)>,
    renewed_at: Option<Duration>,
    steady_since: Option<Duration>,
}

impl LessorLink {
    fn new(lessor: SessionId, now: Duration) -> Self {
        Self {
            lessor,
            named_at: now,
            next_send: now,
            outstanding: VecDeque::new(),
            renewed_at: None,
            steady_since: None,
        }
    }

    /// Time at which the lessor counts as silent: half a lease after a renewal was due (R4).
    pub fn silent_at(&self, settings: &CoreSettings) -> Duration {
        let last = self.renewed_at.unwrap_or(self.named_at).max(self.named_at);
        last + settings.renew_interval + settings.lease / 2
    }

    /// Time since which renewals came without a gap.
    pub fn steady_since(&self) -> Option<Duration> {
        self.steady_since
    }
}

/// The lease and its lessors.
#[derive(Debug, Clone, Default)]
pub(super) struct Lessee {
    pub session: Option<SessionId>,
    pub term: u32,
    pub links: Vec<LessorLink>,
    /// End of the lease; `None` before the first.
    pub expires_at: Option<Duration>,
    /// While a change of the lessors is in the air: the lessors after it (R4).
    pub next_lessors: Option<Vec<SessionId>>,
    sequence: u64,
    /// Sequences start at random, so that answers to an earlier process do not match.
    sequence_started: bool,
}

impl Lessee {
    /// Takes over what the newest table says of this session.
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
            let mut link =
                known.map_or_else(|| LessorLink::new(lessor, now), |at| old.swap_remove(at));
            link.outstanding.clear();
            link.next_send = now;
            link.named_at = now;
            self.links.push(link);
        }
        if settings.disabled_rule == Some(Rule::NamedLessors) {
            self.links.append(&mut old);
        }
    }

    /// Records a lease that counts from `from`: the start of a swap of the own record (R12), a read
    /// of the table (R13), or the sending of a renewal.
    pub fn extend(&mut self, from: Duration, settings: &CoreSettings) {
        let end = from + lessee_lease_length(settings);
        self.expires_at = Some(
            self.expires_at
                .map_or(end, |expires_at| expires_at.max(end)),
        );
    }

    /// Tells whether the lease is live.
    pub fn is_live(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns the renewal requests that are due.
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
            if now < link.next_send {
                continue;
            }
            self.sequence += 1;
            link.next_send = now + settings.renew_interval;
            if link.outstanding.len() >= MAX_OUTSTANDING {
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

    /// Time of the next request.
    pub fn next_send(&self) -> Option<Duration> {
        self.links.iter().map(|l| l.next_send).min()
    }

    /// Takes a granted renewal. Returns whether it counts.
    pub fn record_renewal(
        &mut self,
        now: Duration,
        lessor: SessionId,
        sequence: u64,
        settings: &CoreSettings,
    ) -> bool {
        let outside = |set: &Vec<SessionId>| !set.contains(&lessor);
        let changing = self.next_lessors.as_ref().is_some_and(outside);
        let Some(link) = self.links.iter_mut().find(|l| l.lessor == lessor) else {
            return false;
        };
        let Some(at) = link.outstanding.iter().position(|(s, _)| *s == sequence) else {
            return false;
        };
        let (_, sent_at) = link.outstanding.remove(at).unwrap_or_default();
        if changing && settings.disabled_rule != Some(Rule::NoOutsideRenewals) {
            return false;
        }
        if now >= link.silent_at(settings) {
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

    /// Notes that a request was refused or failed, and asks again early.
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
            link.next_send = link.next_send.min(now + settings.renew_interval / 3);
        }
    }

    /// Sets the first sequence, once.
    pub fn start_sequence(&mut self, first: u64) {
        if !self.sequence_started {
            self.sequence_started = true;
            self.sequence = first;
        }
    }
}

/// Length of a lease as the lessee counts it.
pub(super) fn lessee_lease_length(settings: &CoreSettings) -> Duration {
    settings.lease - drift_allowance(settings)
}

/// Length of a lease as a lessor counts it.
pub(super) fn lessor_lease_length(settings: &CoreSettings) -> Duration {
    settings.lease + drift_allowance(settings)
}

fn drift_allowance(settings: &CoreSettings) -> Duration {
    if settings.disabled_rule == Some(Rule::DriftBound) {
        return Duration::ZERO;
    }
    settings.lease * settings.drift_ppm / 1_000_000
}
