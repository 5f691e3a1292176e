//! What the target has announced to this process, and which of its messages are late.

use std::collections::VecDeque;
use std::time::Duration;

use masticdeal_wire::target::Announce;

use super::announce::ANNOUNCE_TIMEOUT;

/// Time for which an incarnation with a lower number has to report before it replaces one that is
/// silent. Delayed reports of an earlier incarnation arrive at about the same time.
const LOWER_INCARNATION_DELAY: Duration = Duration::from_secs(1);

/// Time after a message of leaving that names no incarnation, from an instance without a report so
/// far, in which the first report of the instance is taken for one from before the message. A target
/// that leaves serves on for longer, so its next incarnation reports later.
const UNNAMED_DEPARTURE_TTL: Duration = ANNOUNCE_TIMEOUT;

/// Time after the first report of an incarnation in which a message of leaving that names none is
/// taken for a late one of the earlier incarnation of the same instance.
const RESTART_MESSAGE_DELAY: Duration = Duration::from_secs(5);

/// Number of incarnations that have left which are remembered. Their reports are at most seconds
/// late.
const MAX_DEPARTED: usize = 8;

/// The last accepted announcement.
#[derive(Debug, Clone)]
pub struct LastAnnouncement {
    /// The announcement as published. Its incarnation is higher than the reported one if the
    /// target's clock stepped back before its start.
    pub announce: Announce,
    /// Incarnation as the target reports it.
    pub reported_incarnation: u64,
    /// Sequence number of its report.
    pub sequence: u64,
    /// When it was received, as time since boot.
    pub received_at: Duration,
}

/// What the target has announced so far.
#[derive(Debug, Default)]
pub struct KnownTarget {
    /// The last accepted announcement.
    pub last: Option<LastAnnouncement>,
    /// The last [`MAX_DEPARTED`] incarnations that have left, as they report themselves. Their later
    /// messages were delayed, or come from a target that does not report that it drains.
    departed: VecDeque<u64>,
    /// Instance whose message of leaving named no incarnation before any report of it arrived, and
    /// when it arrived.
    pub unnamed_departure: Option<(String, Duration)>,
    /// Last incarnation whose departure was reported to this process; 0 if none was. This process
    /// knows which of its reports are later, so the target may become ready again.
    pub draining_incarnation: u64,
    /// Highest incarnation reported.
    highest_incarnation: u64,
    /// Earlier incarnation of the instance that reported last, and when the present one first did.
    restarted: Option<(u64, Duration)>,
    /// Other incarnation that reports meanwhile, not above the highest one, and the time of its
    /// first report.
    lower: Option<(u64, Duration)>,
}

impl KnownTarget {
    /// Returns the incarnation under which to publish a report of `reported`; `None` for a delayed
    /// report of an earlier incarnation.
    ///
    /// Incarnations are numbered by the target's wall clock, so a later one may have the lower
    /// number. It replaces the last one once that has been silent for `silence`, in which its grants
    /// expire.
    pub fn publish_as(&mut self, now: Duration, reported: u64, silence: Duration) -> Option<u64> {
        let Some(last) = &self.last else {
            return Some(reported);
        };
        if reported == last.reported_incarnation {
            self.lower = None;
            return Some(last.announce.incarnation);
        }
        if reported <= self.highest_incarnation {
            let known = self.lower.filter(|(lower, _)| *lower == reported);
            let (_, since) = *self.lower.insert(known.unwrap_or((reported, now)));
            let is_silent = silence <= now.saturating_sub(last.received_at);
            let is_late = now.saturating_sub(since) < LOWER_INCARNATION_DELAY;
            if reported == 0 || is_late || !is_silent {
                return None;
            }
        }
        self.lower = None;
        Some(reported.max(last.announce.incarnation + 1))
    }

    /// Records an accepted report.
    pub fn record_report(&mut self, report: LastAnnouncement) {
        let reported = report.reported_incarnation;
        self.highest_incarnation = self.highest_incarnation.max(reported);
        if let Some(earlier) = &self.last
            && earlier.reported_incarnation != reported
        {
            let is_same_instance = earlier.announce.instance == report.announce.instance;
            self.restarted =
                is_same_instance.then_some((earlier.reported_incarnation, report.received_at));
        }
        self.last = Some(report);
    }

    /// Returns the incarnation that a message of leaving means: the one that it names, or else the
    /// one that the instance reported last. `None` if no report of the instance is known.
    pub fn departing_incarnation(&self, now: Duration, instance: &str, named: u64) -> Option<u64> {
        if named != 0 {
            return Some(named);
        }
        let last = self.last.as_ref();
        let last = last.filter(|last| last.announce.instance == instance)?;
        let is_recent = |(_, at): &(u64, Duration)| now.saturating_sub(*at) < RESTART_MESSAGE_DELAY;
        let earlier = self.restarted.filter(is_recent);
        Some(earlier.map_or(last.reported_incarnation, |(incarnation, _)| incarnation))
    }

    /// Remembers that an incarnation has left.
    pub fn record_departure(&mut self, incarnation: u64) {
        if incarnation == 0 || self.departed.contains(&incarnation) {
            return;
        }
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(incarnation);
    }

    /// Returns whether the incarnation of a report has left.
    pub fn has_departed(&mut self, now: Duration, instance: &str, incarnation: u64) -> bool {
        let is_unnamed = |(unnamed, at): &mut (String, Duration)| {
            unnamed == instance && now.saturating_sub(*at) < UNNAMED_DEPARTURE_TTL
        };
        if self.unnamed_departure.take_if(is_unnamed).is_some() {
            self.record_departure(incarnation);
        }
        self.departed.contains(&incarnation)
    }
}
