//! The leases that this daemon's session renews for others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::api::{CoreSettings, Expiry, Rule};
use super::lessee::lessor_length;
use crate::ids::SessionId;
use crate::table::{Session, Table};

/// What a lessor knows of one lessee in its current term.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub term: u32,
    seen_at: Duration,
    granted_at: Option<Duration>,
    committed: bool,
    others: Vec<SessionId>,
    /// Other lessors that are not in the table, with the time at which this daemon saw that.
    ended: BTreeMap<SessionId, Duration>,
    confirmed: BTreeSet<SessionId>,
    asked_at: Option<Duration>,
}

impl Record {
    fn new(now: Duration, me: SessionId, lessee: &Session) -> Self {
        let others = lessee.lessors.iter().copied().filter(|id| *id != me);
        Self {
            term: lessee.term,
            seen_at: now,
            granted_at: None,
            committed: false,
            others: others.collect(),
            ended: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            asked_at: None,
        }
    }

    /// Time at which this lessor has counted the lessee out (R2).
    pub fn out_at(&self, settings: &CoreSettings) -> Duration {
        let last = match (self.granted_at, settings.without) {
            (granted, Some(Rule::FullLeaseOnNewTerm)) => granted.unwrap_or_default(),
            (Some(granted), _) => granted.max(self.seen_at),
            (None, _) => self.seen_at,
        };
        last + lessor_length(settings)
    }

    /// Time from which the session may be ended; `None` while another lessor has not confirmed.
    pub fn end_at(&self, settings: &CoreSettings) -> Option<Duration> {
        let mut at = self.out_at(settings);
        if settings.without == Some(Rule::AllLessors) {
            return Some(at);
        }
        for other in &self.others {
            if self.confirmed.contains(other) {
                continue;
            }
            let ended = *self.ended.get(other)?;
            // R5: the ended lessor may have granted up to the end of its own lease.
            at = at.max(match settings.without {
                Some(Rule::EndedLessorWait) => ended,
                _ => ended + lessor_length(settings),
            });
        }
        Some(at)
    }

    /// Lessors that have to be asked before the session may be ended.
    fn unconfirmed(&self) -> impl Iterator<Item = SessionId> {
        let open = |id: &SessionId| !self.confirmed.contains(id) && !self.ended.contains_key(id);
        self.others.iter().copied().filter(open)
    }
}

/// All records of this daemon's session.
#[derive(Debug, Clone, Default)]
pub(super) struct Lessees {
    pub records: BTreeMap<SessionId, Record>,
}

impl Lessees {
    /// Takes over what the newest table says of the lessees of `me`.
    pub fn adopt(
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
                Some(record) if settings.without == Some(Rule::FullLeaseOnNewTerm) => Record {
                    granted_at: record.granted_at,
                    ..Record::new(now, me, lessee)
                },
                _ => Record::new(now, me, lessee),
            };
            for &other in &record.others {
                if table.session(other).is_none() {
                    record.ended.entry(other).or_insert(now);
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
        let open = settings.without == Some(Rule::NamedLessors);
        let Some(record) = self.records.get_mut(&lessee) else {
            return open;
        };
        let committed = record.committed && settings.without != Some(Rule::NoGrantAfterCommit);
        if committed || (record.term != term && !open) {
            return false;
        }
        record.granted_at = Some(now);
        true
    }

    /// Answers the other lessor; commits when the lessee is counted out here as well.
    pub fn confirm(&mut self, now: Duration, ask: &Expiry, settings: &CoreSettings) -> bool {
        let Some(record) = self.records.get_mut(&ask.lessee) else {
            return false;
        };
        if record.term != ask.term || !record.others.contains(&ask.from) {
            return false;
        }
        if now >= record.out_at(settings) {
            record.committed = true;
        }
        record.committed
    }

    /// Records the commitment of the other lessor.
    pub fn confirmed(&mut self, ask: &Expiry) {
        if let Some(record) = self.records.get_mut(&ask.lessee)
            && record.term == ask.term
        {
            record.confirmed.insert(ask.to);
        }
    }

    /// Commits to the end of a lessee.
    pub fn commit(&mut self, lessee: SessionId) {
        if let Some(record) = self.records.get_mut(&lessee) {
            record.committed = true;
        }
    }

    /// Time from which another lessor has to be asked; `None` when there is nothing to ask.
    pub fn ask_at(&self, settings: &CoreSettings) -> Option<Duration> {
        let open = |d: &&Record| d.unconfirmed().next().is_some();
        let due = |d: &Record| {
            let again = d.asked_at.map_or(Duration::ZERO, |at| at + settings.renew);
            d.out_at(settings).max(again)
        };
        self.records.values().filter(open).map(due).min()
    }

    /// Returns whom to ask about which lessee and term, and notes that they are asked now.
    pub fn asks(
        &mut self,
        now: Duration,
        settings: &CoreSettings,
    ) -> Vec<(SessionId, SessionId, u32)> {
        let mut asks = Vec::new();
        for (&lessee, record) in &mut self.records {
            let waited = record.asked_at.is_none_or(|at| now >= at + settings.renew);
            if now < record.out_at(settings) || !waited {
                continue;
            }
            let before = asks.len();
            asks.extend(
                record
                    .unconfirmed()
                    .map(|other| (other, lessee, record.term)),
            );
            if asks.len() > before {
                record.asked_at = Some(now);
            }
        }
        asks
    }

    /// Tells whether this lessor renewed the lessee within the last lease.
    pub fn renewed_lately(
        &self,
        now: Duration,
        lessee: SessionId,
        settings: &CoreSettings,
    ) -> bool {
        let record = self.records.get(&lessee);
        record.is_some_and(|d| d.granted_at.is_some() && now < d.out_at(settings))
    }

    /// Tells whether a lessee has missed a renewal.
    pub fn suspects(&self, now: Duration, lessee: SessionId, settings: &CoreSettings) -> bool {
        let record = self.records.get(&lessee);
        record.is_some_and(|d| now + settings.lease / 2 >= d.out_at(settings))
    }
}
