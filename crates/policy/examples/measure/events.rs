//! Event queue in order of virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Pending events. Events at the same time are returned in the order in which they were scheduled.
pub struct Events<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    sequence: u64,
}

struct Scheduled<E> {
    at: f64,
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

    /// Schedules an event at a time in seconds.
    pub fn push(&mut self, at: f64, event: E) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence,
            event,
        }));
    }

    /// Removes the next event, and returns it with its time.
    pub fn pop(&mut self) -> Option<(f64, E)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.at, next.event))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        let time = self.at.total_cmp(&other.at);
        time.then(self.sequence.cmp(&other.sequence))
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
