//! Leases that this session renews as a lessor.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::api::{CoreSettings, ExpiryQuery, Rule};
use super::lessee::lessor_lease_length;
use crate::ids::SessionId;
use crate::table::{Session, Table};

/// What this lessor knows of one lessee, in the lessee's current term.
#[derive(Debug, Clone)]
pub(super) struct LesseeRecord {
    pub term: u32,
    /// When this lessor first saw the term in a table.
    term_seen_at: Duration,
    /// Time of the last renewal in this term.
    renewed_at: Option<Duration>,
    /// Whether this lessor committed to the end of the lessee's session. It then no longer renews
    /// the lease in this term.
    committed: bool,
    /// The lessee's lessors other than this one.
    other_lessors: Vec<SessionId>,
    /// Other lessors that are no longer in the table, and when this was first seen.
    ended_lessors: BTreeMap<SessionId, Duration>,
    /// Other lessors that confirmed that they committed to the end of the lessee's session.
    confirmed_by: BTreeSet<SessionId>,
    /// When this lessor last queried the other lessors.
    queried_at: Option<Duration>,
}

impl LesseeRecord {
    fn new(now: Duration, me: SessionId, lessee: &Session) -> Self {
        let others = lessee.lessors.iter().copied().filter(|id| *id != me);
        Self {
            term: lessee.term,
            term_seen_at: now,
            renewed_at: None,
            committed: false,
            other_lessors: others.collect(),
            ended_lessors: BTreeMap::new(),
            confirmed_by: BTreeSet::new(),
            queried_at: None,
        }
    }

    /// Returns when this lessor considers the lease expired (rule R2, see [`Rule`]).
    pub fn expires_at(&self, settings: &CoreSettings) -> Duration {
        let last = match (self.renewed_at, settings.disabled_rule) {
            (renewed, Some(Rule::FullLeaseOnNewTerm)) => renewed.unwrap_or_default(),
            (Some(renewed), _) => renewed.max(self.term_seen_at),
            (None, _) => self.term_seen_at,
        };
        last + lessor_lease_length(settings)
    }

    /// Returns when the lessee's session may be ended; `None` while the confirmation of another
    /// lessor that is still in the table is missing.
    pub fn may_end_at(&self, settings: &CoreSettings) -> Option<Duration> {
        let mut may_end_at = self.expires_at(settings);
        if settings.disabled_rule == Some(Rule::AllLessors) {
            return Some(may_end_at);
        }
        for other in &self.other_lessors {
            if self.confirmed_by.contains(other) {
                continue;
            }
            let ended_at = *self.ended_lessors.get(other)?;
            // Rule R5: a lessor whose session ended may have renewed until its own lease expired.
            may_end_at = may_end_at.max(match settings.disabled_rule {
                Some(Rule::EndedLessorWait) => ended_at,
                _ => ended_at + lessor_lease_length(settings),
            });
        }
        Some(may_end_at)
    }

    /// Returns the other lessors whose sessions have not ended and whose confirmation is missing.
    fn unconfirmed(&self) -> impl Iterator<Item = SessionId> {
        let is_missing = |id: &SessionId| {
            !self.confirmed_by.contains(id) && !self.ended_lessors.contains_key(id)
        };
        self.other_lessors.iter().copied().filter(is_missing)
    }
}

/// State of all lessees of this session.
#[derive(Debug, Clone, Default)]
pub(super) struct Lessees {
    pub records: BTreeMap<SessionId, LesseeRecord>,
}

impl Lessees {
    /// Updates the records from the newest table.
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
                        renewed_at: record.renewed_at,
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

    /// Renews the lease if this session is a lessor of the lessee, the term matches and this lessor
    /// has not committed to the end of the lessee's session. Returns whether the lease is renewed.
    pub fn renew(
        &mut self,
        now: Duration,
        lessee: SessionId,
        term: u32,
        settings: &CoreSettings,
    ) -> bool {
        let renews_unlisted = settings.disabled_rule == Some(Rule::NamedLessors);
        let Some(record) = self.records.get_mut(&lessee) else {
            return renews_unlisted;
        };
        let committed =
            record.committed && settings.disabled_rule != Some(Rule::NoGrantAfterCommit);
        if committed || (record.term != term && !renews_unlisted) {
            return false;
        }
        record.renewed_at = Some(now);
        true
    }

    /// Handles a query of another lessor: commits to the end of the lessee's session if this lessor
    /// considers the lease expired as well. Returns whether this lessor has committed; `false` if
    /// the query does not match the lessors and the term in the newest table.
    pub fn handle_query(
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
        if now >= record.expires_at(settings) {
            record.committed = true;
        }
        record.committed
    }

    /// Records the confirmation of the other lessor that it has committed.
    pub fn record_confirmation(&mut self, query: &ExpiryQuery) {
        if let Some(record) = self.records.get_mut(&query.lessee)
            && record.term == query.term
        {
            record.confirmed_by.insert(query.to);
        }
    }

    /// Commits to the end of the lessee's session, so that this lessor no longer renews its lease in
    /// this term.
    pub fn commit(&mut self, lessee: SessionId) {
        if let Some(record) = self.records.get_mut(&lessee) {
            record.committed = true;
        }
    }

    /// Returns when the next query is due; `None` if no confirmation is missing.
    pub fn next_query_at(&self, settings: &CoreSettings) -> Option<Duration> {
        let needs_confirmation = |r: &&LesseeRecord| r.unconfirmed().next().is_some();
        let due = |r: &LesseeRecord| {
            let retry_at = r
                .queried_at
                .map_or(Duration::ZERO, |at| at + settings.renew_interval);
            r.expires_at(settings).max(retry_at)
        };
        self.records
            .values()
            .filter(needs_confirmation)
            .map(due)
            .min()
    }

    /// Returns the due queries as `(lessor, lessee, term)` and records their time.
    pub fn due_queries(
        &mut self,
        now: Duration,
        settings: &CoreSettings,
    ) -> Vec<(SessionId, SessionId, u32)> {
        let mut queries = Vec::new();
        for (&lessee, record) in &mut self.records {
            let is_due = record
                .queried_at
                .is_none_or(|at| now >= at + settings.renew_interval);
            if now < record.expires_at(settings) || !is_due {
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

    /// Returns whether this lessor renewed the lessee's lease in the current term and the lease has
    /// not expired since.
    pub fn renewed_recently(
        &self,
        now: Duration,
        lessee: SessionId,
        settings: &CoreSettings,
    ) -> bool {
        let record = self.records.get(&lessee);
        record.is_some_and(|r| r.renewed_at.is_some() && now < r.expires_at(settings))
    }

    /// Returns whether a lessee has missed a renewal: at most half of its lease is left.
    pub fn missed_renewal(
        &self,
        now: Duration,
        lessee: SessionId,
        settings: &CoreSettings,
    ) -> bool {
        let record = self.records.get(&lessee);
        record.is_some_and(|r| now + settings.lease / 2 >= r.expires_at(settings))
    }
}
