//! The leases that this daemon's session renews for others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::api::{CoreSettings, ExpiryQuery, Rule};
use super::lessee::lessor_lease_length;
use crate::ids::SessionId;
use crate::table::{Session, Table};

/// What a lessor knows of one lessee in its current term.
#[derive(Debug, Clone)]
pub(super) struct LesseeRecord {
    pub term: u32,
    term_seen_at: Duration,
    granted_at: Option<Duration>,
    committed: bool,
    other_lessors: Vec<SessionId>,
    /// Other lessors that are not in the table, with the time at which this daemon saw that.
    ended_lessors: BTreeMap<SessionId, Duration>,
    confirmed_by: BTreeSet<SessionId>,
    queried_at: Option<Duration>,
}

impl LesseeRecord {
    fn new(now: Duration, me: SessionId, lessee: &Session) -> Self {
        let others = lessee.lessors.iter().copied().filter(|id| *id != me);
        Self {
            term: lessee.term,
            term_seen_at: now,
            granted_at: None,
            committed: false,
            other_lessors: others.collect(),
            ended_lessors: BTreeMap::new(),
            confirmed_by: BTreeSet::new(),
            queried_at: None,
        }
    }

    /// Time at which this lessor has counted the lessee out (R2).
    pub fn expired_at(&self, settings: &CoreSettings) -> Duration {
        let last = match (self.granted_at, settings.disabled_rule) {
            (granted, Some(Rule::FullLeaseOnNewTerm)) => granted.unwrap_or_default(),
            (Some(granted), _) => granted.max(self.term_seen_at),
            (None, _) => self.term_seen_at,
        };
        last + lessor_lease_length(settings)
    }

    /// Time from which the session may be ended; `None` while another lessor has not confirmed.
    pub fn may_end_at(&self, settings: &CoreSettings) -> Option<Duration> {
        let mut at = self.expired_at(settings);
        if settings.disabled_rule == Some(Rule::AllLessors) {
            return Some(at);
        }
        for other in &self.other_lessors {
            if self.confirmed_by.contains(other) {
                continue;
            }
            let ended = *self.ended_lessors.get(other)?;
            // R5: the ended lessor may have granted up to the end of its own lease.
            at = at.max(match settings.disabled_rule {
                Some(Rule::EndedLessorWait) => ended,
                _ => ended + lessor_lease_length(settings),
            });
        }
        Some(at)
    }

    /// Lessors that have to be asked before the session may be ended.
    fn unconfirmed(&self) -> impl Iterator<Item = SessionId> {
        let is_open = |id: &SessionId| {
            !self.confirmed_by.contains(id) && !self.ended_lessors.contains_key(id)
        };
        self.other_lessors.iter().copied().filter(is_open)
    }
}

/// All records of this daemon's session.
#[derive(Debug, Clone, Default)]
pub(super) struct Lessees {
    pub records: BTreeMap<SessionId, LesseeRecord>,
}

impl Lessees {
    /// Takes over what the newest table says of the lessees of `me`.
    pub fn install(
        &mut self,
        now: Duration,
        me: Option<SessionId>,
        table: &Table,
        settings: &CoreSettings,
    ) {
        let mut old = std::mem::take(&mut self.records);
        let Some(me) = me else { return };
        for lessee in table.sessions.iter().filter(|s| s.lessors.contains(&me)) {
            let known = old.remove(&lessee.id);
            let mut record = match known {
                Some(record) if record.term == lessee.term => record,
                Some(record) if settings.disabled_rule == Some(Rule::FullLeaseOnNewTerm) => {
                    LesseeRecord {
                        granted_at: record.granted_at,
                        ..LesseeRecord::new(now, me, lessee)
                    }
                }
                _ => LesseeRecord::new(now, me, lessee),
            };
            for &other in &record.other_lessors {
                if table.session(other).is_none() {
                    record.ended_lessors.entry(other).or_insert(now);
                }
            }
            self.records.insert(lessee.id, record);
        }
    }

    /// Grants a renewal, unless the term is another or this lessor is committed.
    pub fn grant(
        &mut self,
        now: Duration,
        lessee: SessionId,
        term: u32,
        settings: &CoreSettings,
    ) -> bool {
        let grants_unnamed = settings.disabled_rule == Some(Rule::NamedLessors);
        let Some(record) = self.records.get_mut(&lessee) else {
            return grants_unnamed;
        };
        let committed =
            record.committed && settings.disabled_rule != Some(Rule::NoGrantAfterCommit);
        if committed || (record.term != term && !grants_unnamed) {
            return false;
        }
        record.granted_at = Some(now);
        true
    }

    /// Answers the other lessor; commits when the lessee is counted out here as well.
    pub fn answer_query(
        &mut self,
        now: Duration,
        query: &ExpiryQuery,
        settings: &CoreSettings,
    ) -> bool {
        let Some(record) = self.records.get_mut(&query.lessee) else {
            return false;
        };
        if record.term != query.term || !record.other_lessors.contains(&query.from) {
            return false;
        }
        if now >= record.expired_at(settings) {
            record.committed = true;
        }
        record.committed
    }

    /// Records the commitment of the other lessor.
    pub fn record_confirmation(&mut self, query: &ExpiryQuery) {
        if let Some(record) = self.records.get_mut(&query.lessee)
            && record.term == query.term
        {
            record.confirmed_by.insert(query.to);
        }
    }

    /// Commits to the end of a lessee.
    pub fn commit(&mut self, lessee: SessionId) {
        if let Some(record) = self.records.get_mut(&lessee) {
            record.committed = true;
        }
    }

    /// Time from which another lessor has to be asked; `None` when there is nothing to query.
    pub fn next_query_at(&self, settings: &CoreSettings) -> Option<Duration> {
        let is_open = |r: &&LesseeRecord| r.unconfirmed().next().is_some();
        let due = |r: &LesseeRecord| {
            let again = r
                .queried_at
                .map_or(Duration::ZERO, |at| at + settings.renew_interval);
            r.expired_at(settings).max(again)
        };
        self.records.values().filter(is_open).map(due).min()
    }

    /// Returns whom to ask about which lessee and term, and notes that they are asked now.
    pub fn due_queries(
        &mut self,
        now: Duration,
        settings: &CoreSettings,
    ) -> Vec<(SessionId, SessionId, u32)> {
        let mut queries = Vec::new();
        for (&lessee, record) in &mut self.records {
            let due = record
                .queried_at
                .is_none_or(|at| now >= at + settings.renew_interval);
            if now < record.expired_at(settings) || !due {
                continue;
            }
            let before = queries.len();
            queries.extend(
                record
                    .unconfirmed()
                    .map(|other| (other, lessee, record.term)),
            );
            if queries.len() > before {
                record.queried_at = Some(now);
            }
        }
        queries
    }

    /// Tells whether this lessor renewed the lessee within the last lease.
    pub fn renewed_recently(
        &self,
        now: Duration,
        lessee: SessionId,
        settings: &CoreSettings,
    ) -> bool {
        let record = self.records.get(&lessee);
        record.is_some_and(|r| r.granted_at.is_some() && now < r.expired_at(settings))
    }

    /// Tells whether a lessee has missed a renewal.
    pub fn missed_renewal(
        &self,
        now: Duration,
        lessee: SessionId,
        settings: &CoreSettings,
    ) -> bool {
        let record = self.records.get(&lessee);
        record.is_some_and(|r| now + settings.lease / 2 >= r.expired_at(settings))
    }
}
