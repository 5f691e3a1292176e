//! Event queue in order of virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Pending events. Events at the same time are returned in the order in which they were scheduled.
pub struct Events<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    sequence: u64,
}

struct Scheduled<E> {
    time_s: f64,
    sequence: u64,
    event: E,
}

impl<E> Events<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }

    /// Schedules an event at a virtual time in seconds.
    pub fn push(&mut self, time_s: f64, event: E) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(Reverse(Scheduled {
            time_s,
            sequence,
            event,
        }));
    }

    /// Removes the next event, and returns it with its time.
    pub fn pop(&mut self) -> Option<(f64, E)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.time_s, next.event))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        let time_order = self.time_s.total_cmp(&other.time_s);
        time_order.then(self.sequence.cmp(&other.sequence))
    }
}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Scheduled<E> {}
