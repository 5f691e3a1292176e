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
pub(super) struct Link {
    pub lessor: SessionId,
    named_at: Duration,
    next_send: Duration,
    outstanding: VecDeque<(u64, Duration)>,
    renewed: Option<Duration>,
    steady_since: Option<Duration>,
}

impl Link {
    fn new(lessor: SessionId, now: Duration) -> Self {
        Self {
            lessor,
            named_at: now,
            next_send: now,
            outstanding: VecDeque::new(),
            renewed: None,
            steady_since: None,
        }
    }

    /// Time at which the lessor counts as silent: half a lease after a renewal was due (R4).
    pub fn silent_at(&self, settings: &CoreSettings) -> Duration {
        let last = self.renewed.unwrap_or(self.named_at).max(self.named_at);
        last + settings.renew + settings.lease / 2
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
    pub links: Vec<Link>,
    /// End of the lease; `None` before the first.
    pub until: Option<Duration>,
    /// While a change of the lessors is in the air: the lessors after it (R4).
    pub changing_to: Option<Vec<SessionId>>,
    sequence: u64,
    /// Sequences start at random, so that answers to an earlier process do not match.
    started: bool,
}

impl Lessee {
    /// Takes over what the newest table says of this session.
    pub fn adopt(&mut self, now: Duration, own: Option<&Session>, settings: &CoreSettings) {
        let Some(own) = own else {
            *self = Self {
                sequence: self.sequence,
                started: self.started,
                ..Self::default()
            };
            return;
        };
        if self.session == Some(own.id) && self.term == own.term {
            return;
        }
        if self.session != Some(own.id) {
            self.until = None;
            self.links.clear();
        }
        self.session = Some(own.id);
        self.term = own.term;
        let mut old = std::mem::take(&mut self.links);
        for &lessor in &own.lessors {
            let known = old.iter().position(|l| l.lessor == lessor);
            let mut link = known.map_or_else(|| Link::new(lessor, now), |at| old.swap_remove(at));
            link.outstanding.clear();
            link.next_send = now;
            link.named_at = now;
            self.links.push(link);
        }
        if settings.without == Some(Rule::NamedLessors) {
            self.links.append(&mut old);
        }
    }

    /// Records a lease that counts from `from`: the start of a swap of the own record (R12), a read
    /// of the table (R13), or the sending of a renewal.
    pub fn extend(&mut self, from: Duration, settings: &CoreSettings) {
        let end = from + lessee_length(settings);
        self.until = Some(self.until.map_or(end, |until| until.max(end)));
    }

    /// Tells whether the lease is live.
    pub fn live(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the renewal requests that are due.
    pub fn due(&mut self, now: Duration, version: u64, settings: &CoreSettings) -> Vec<Renewal> {
        let Some(lessee) = self.session else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        for link in &mut self.links {
            if now < link.next_send {
                continue;
            }
            self.sequence += 1;
            link.next_send = now + settings.renew;
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
    pub fn renewed(
        &mut self,
        now: Duration,
        lessor: SessionId,
        sequence: u64,
        settings: &CoreSettings,
    ) -> bool {
        let outside = |set: &Vec<SessionId>| !set.contains(&lessor);
        let changing = self.changing_to.as_ref().is_some_and(outside);
        let Some(link) = self.links.iter_mut().find(|l| l.lessor == lessor) else {
            return false;
        };
        let Some(at) = link.outstanding.iter().position(|(s, _)| *s == sequence) else {
            return false;
        };
        let (_, sent) = link.outstanding.remove(at).unwrap_or_default();
        if changing && settings.without != Some(Rule::NoOutsideRenewals) {
            return false;
        }
        if now >= link.silent_at(settings) {
            link.steady_since = None;
        }
        link.steady_since = link.steady_since.or(Some(now));
        link.renewed = Some(link.renewed.map_or(sent, |last| last.max(sent)));
        let from = match settings.without {
            Some(Rule::CountFromSend) => now,
            _ => sent,
        };
        self.extend(from, settings);
        true
    }

    /// Notes that a request was refused or failed, and asks again early.
    pub fn failed(
        &mut self,
        now: Duration,
        lessor: SessionId,
        sequence: u64,
        settings: &CoreSettings,
    ) {
        if let Some(link) = self.links.iter_mut().find(|l| l.lessor == lessor) {
            link.outstanding.retain(|(s, _)| *s != sequence);
            link.steady_since = None;
            link.next_send = link.next_send.min(now + settings.renew / 3);
        }
    }

    /// Sets the first sequence, once.
    pub fn start_sequence(&mut self, first: u64) {
        if !self.started {
            self.started = true;
            self.sequence = first;
        }
    }
}

/// Length of a lease as the lessee counts it.
pub(super) fn lessee_length(settings: &CoreSettings) -> Duration {
    settings.lease - drift(settings)
}

/// Length of a lease as a lessor counts it.
pub(super) fn lessor_length(settings: &CoreSettings) -> Duration {
    settings.lease + drift(settings)
}

fn drift(settings: &CoreSettings) -> Duration {
    if settings.without == Some(Rule::DriftBound) {
        return Duration::ZERO;
    }
    settings.lease * settings.drift_ppm / 1_000_000
}
