//! Waiting requests in two lanes, one per cost class, each in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use super::types::{EntryId, Order};
use crate::classifier::{CostClass, ShapeId};

/// Number of starts at the highest waiting priority after which one entry of the lowest waiting
/// priority starts. It prevents starvation, and costs the higher priority at most a ninth of the
/// starts.
const MAX_BYPASSES: u32 = 8;

/// A waiting request.
#[derive(Debug)]
pub(super) struct Entry<T> {
    pub(super) id: EntryId,
    pub(super) cost: CostClass,
    pub(super) shape: Option<ShapeId>,
    pub(super) expected: Duration,
    pub(super) arrived: Duration,
    /// From when on a long entry starts before short ones.
    pub(super) promoted_at: Duration,
    /// Instant at which the entry is refused if it has not started.
    pub(super) start_by: Duration,
    /// Last instant at which a start is expected to meet the objective, or the deadline without
    /// objective.
    pub(super) start_by_due: Duration,
    /// Priority; 0 is the highest.
    pub(super) priority: u32,
    /// Expected size of the response in bytes.
    pub(super) bytes: f64,
    /// Whether the entry has to wait for room on the link.
    pub(super) bulk: bool,
    pub(super) item: T,
}

/// Waiting requests. Ids increase in order of arrival, and each lane is sorted by id.
#[derive(Debug)]
pub(super) struct Lanes<T> {
    order: Order,
    short: VecDeque<Entry<T>>,
    long: VecDeque<Entry<T>>,
    /// Lower bound of `start_by` over all entries; `None` only if there are no entries.
    earliest_start_by: Option<Duration>,
    /// Starts at the highest waiting priority since the last start at the lowest one, or since no
    /// lower priority was waiting.
    bypasses: u32,
}

impl<T> Lanes<T> {
    pub(super) fn new(order: Order) -> Self {
        Self {
            order,
            short: VecDeque::new(),
            long: VecDeque::new(),
            earliest_start_by: None,
            bypasses: 0,
        }
    }

    pub(super) fn push(&mut self, entry: Entry<T>) {
        let earliest_start_by = self.earliest_start_by.unwrap_or(entry.start_by);
        self.earliest_start_by = Some(earliest_start_by.min(entry.start_by));
        self.lane_mut(entry.cost).push_back(entry);
    }

    /// Sets the order in which entries start.
    pub(super) fn set_order(&mut self, order: Order) {
        self.order = order;
    }

    /// Removes the entry that starts next.
    ///
    /// Long entries start only if `long_allowed` is true. With [`Order::EarliestDueFirst`], bulk
    /// entries start only if `link_has_room` is true, and `long_allowed` does not apply.
    pub(super) fn pop(
        &mut self,
        now: Duration,
        long_allowed: bool,
        link_has_room: bool,
    ) -> Option<Entry<T>> {
        if self.order == Order::EarliestDueFirst {
            let next = self.select_by_due(now, link_has_room)?;
            let entry = self.remove(next);
            if self.is_empty() {
                self.earliest_start_by = None;
            }
            return entry;
        }
        let long = self.long.front().filter(|_| long_allowed);
        let long_first = match (self.short.front(), long) {
            (Some(short), Some(long)) => match self.order {
                Order::ShortFirst => long.promoted_at <= now,
                Order::Fifo | Order::EarliestDueFirst => long.id < short.id,
            },
            (None, Some(_)) => true,
            (_, None) => false,
        };
        let entry = if long_first {
            self.long.pop_front()
        } else {
            self.short.pop_front()
        };
        if self.is_empty() {
            self.earliest_start_by = None;
        }
        entry
    }

    /// Selects the entry that starts next in the order of priority and objective, and counts the
    /// bypasses.
    fn select_by_due(&mut self, now: Duration, link_has_room: bool) -> Option<EntryId> {
        let may_start = |e: &&Entry<T>| link_has_room || !e.bulk;
        let key = |e: &&Entry<T>| (e.priority, e.start_by_due < now, e.start_by_due);
        let urgent = self.iter().filter(may_start).min_by_key(key)?;
        let (first, priority) = (urgent.id, urgent.priority);
        let others = self
            .iter()
            .filter(may_start)
            .filter(|e| e.priority > priority);
        let Some(other) = others.max_by_key(|e| (e.priority, std::cmp::Reverse(key(e)))) else {
            self.bypasses = 0;
            return Some(first);
        };
        let other = other.id;
        if self.bypasses < MAX_BYPASSES {
            self.bypasses += 1;
            return Some(first);
        }
        self.bypasses = 0;
        Some(other)
    }

    pub(super) fn remove(&mut self, id: EntryId) -> Option<Entry<T>> {
        for lane in [&mut self.short, &mut self.long] {
            if let Ok(index) = lane.binary_search_by(|entry| entry.id.cmp(&id)) {
                return lane.remove(index);
            }
        }
        None
    }

    /// Removes and returns the entries that may no longer start, or all entries if `all` is true.
    pub(super) fn take_expired(&mut self, now: Duration, all: bool) -> Vec<Entry<T>> {
        let any_expired = self
            .earliest_start_by
            .is_some_and(|start_by| start_by <= now);
        if !any_expired && !all {
            return Vec::new();
        }
        let mut expired = Vec::new();
        for lane in [&mut self.short, &mut self.long] {
            let (removed, kept) = std::mem::take(lane)
                .into_iter()
                .partition(|entry| all || entry.start_by <= now);
            *lane = kept;
            expired.extend::<VecDeque<_>>(removed);
        }
        self.earliest_start_by = self.iter().map(|entry| entry.start_by).min();
        expired
    }

    /// Moves the entries to the lane of the current class of their shape.
    pub(super) fn reclassify(&mut self, cost_of: impl Fn(ShapeId) -> Option<CostClass>) {
        for new_cost in [CostClass::Long, CostClass::Short] {
            let (source, destination) = match new_cost {
                CostClass::Long => (&mut self.short, &mut self.long),
                CostClass::Short => (&mut self.long, &mut self.short),
            };
            let changed = |entry: &Entry<T>| entry.shape.and_then(&cost_of) == Some(new_cost);
            let (moved, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(source).into_iter().partition(changed);
            *source = kept;
            for mut entry in moved {
                entry.cost = new_cost;
                let index = destination.partition_point(|other| other.id < entry.id);
                destination.insert(index, entry);
            }
        }
    }

    /// Returns the earliest instant at which [`Lanes::take_expired`] may return entries.
    pub(super) fn next_start_by(&self) -> Option<Duration> {
        self.earliest_start_by
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry<T>> {
        self.short.iter().chain(&self.long)
    }

    pub(super) fn lane_len(&self, cost: CostClass) -> usize {
        match cost {
            CostClass::Short => self.short.len(),
            CostClass::Long => self.long.len(),
        }
    }

    /// Returns the total expected service time in a lane, in seconds.
    pub(super) fn work_s(&self, cost: CostClass) -> f64 {
        let lane = match cost {
            CostClass::Short => &self.short,
            CostClass::Long => &self.long,
        };
        lane.iter().map(|entry| entry.expected.as_secs_f64()).sum()
    }

    /// Returns the total expected service time, in seconds, of the entries that start before one
    /// with this `priority` and `start_by_due`.
    pub(super) fn work_ahead_s(&self, now: Duration, start_by_due: Duration, priority: u32) -> f64 {
        let same_priority = |e: &&Entry<T>| {
            e.priority == priority && now <= e.start_by_due && e.start_by_due <= start_by_due
        };
        let before = self
            .iter()
            .filter(|e| e.priority < priority || same_priority(e));
        before.map(|entry| entry.expected.as_secs_f64()).sum()
    }

    /// Returns the number of entries that start before a new one with this `priority` and
    /// `start_by_due`.
    pub(super) fn count_ahead(
        &self,
        now: Duration,
        start_by_due: Duration,
        priority: u32,
    ) -> usize {
        let new = (priority, start_by_due < now, start_by_due);
        let is_ahead = |e: &&Entry<T>| (e.priority, e.start_by_due < now, e.start_by_due) <= new;
        self.iter().filter(is_ahead).count()
    }

    /// Returns the total expected response size in bytes of the bulk entries with this or a higher
    /// priority.
    pub(super) fn bulk_bytes_ahead(&self, priority: u32) -> f64 {
        let before = self.iter().filter(|e| e.bulk && e.priority <= priority);
        before.map(|e| e.bytes).sum()
    }

    /// Returns whether a bulk entry is waiting.
    pub(super) fn has_bulk(&self) -> bool {
        self.iter().any(|e| e.bulk)
    }

    pub(super) fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    fn lane_mut(&mut self, cost: CostClass) -> &mut VecDeque<Entry<T>> {
        match cost {
            CostClass::Short => &mut self.short,
            CostClass::Long => &mut self.long,
        }
    }
}
