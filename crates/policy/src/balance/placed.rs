//! Choice by the time at which a request is expected to end, with the trip between data centres as a cost.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Balancer, Target, TargetIx};

/// Targets of each side, near and far, that are compared for one request.
const DRAWN: usize = 3;

/// Time in which an owner's count loses most of its meaning: about the time that a request takes.
const COUNT_AGE: Duration = Duration::from_millis(300);

/// Part of the service time that a full target costs against an empty one.
const EMPTIER: f64 = 0.2;

/// Service time of targets of which nothing is known, in seconds.
const UNKNOWN_SERVICE_S: f64 = 0.05;

/// Where a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Whether it is in the data centre of this daemon.
    pub near: bool,
    /// Requests that it runs at once.
    pub slots: u16,
}

impl Default for Place {
    fn default() -> Self {
        Self {
            near: true,
            slots: 1,
        }
    }
}

/// What the owner of a target counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Count {
    /// Requests that run or wait.
    pub load: u32,
    /// Smoothed service time.
    pub service: Duration,
    /// When the count came, as time since boot.
    pub at: Duration,
}

impl Balancer {
    /// Chooses the target at which a request is expected to end first, where `far` is the time for
    /// which it may be held up to stay in this data centre.
    ///
    /// It answers the crest: the owners' own counts tell which of few targets has room, and answers
    /// with many bytes stay near unless the wait there costs more than the trip. With many targets
    /// some are drawn, near ones first, so that daemons with the same counts do not all choose alike.
    pub fn choose_placed(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        far: Duration,
        allowed: impl Fn(TargetIx) -> bool,
    ) -> Option<TargetIx> {
        let all = (0..self.targets.len() as u32).map(TargetIx);
        let open: Vec<TargetIx> = all
            .filter(|ix| self.target(*ix).present && allowed(*ix))
            .collect();
        let unknown = self.least_service();
        let time = |ix: TargetIx| {
            let target = self.target(ix);
            let trip = if target.place.near {
                0.0
            } else {
                far.as_secs_f64()
            };
            expected_time(target, now, unknown) + trip
        };
        let mut drawn = Vec::with_capacity(DRAWN);
        for near in [true, false] {
            let mut side: Vec<_> = open
                .iter()
                .copied()
                .filter(|ix| self.target(*ix).place.near == near)
                .collect();
            for _ in 0..DRAWN.min(side.len()) {
                drawn.push(side.swap_remove(rng.random_range(0..side.len())));
            }
        }
        drawn
            .into_iter()
            .min_by(|a, b| time(*a).total_cmp(&time(*b)))
    }

    /// Returns the shortest service time that owners counted, in seconds. A target of which nothing
    /// is known is taken to be that fast, so that it is tried.
    fn least_service(&self) -> f64 {
        let present = self.targets.iter().filter(|t| t.present);
        let counts = present.filter_map(|t| t.count);
        let known = counts.filter(|c| !c.service.is_zero());
        let least = known.map(|c| c.service.as_secs_f64());
        least.reduce(f64::min).unwrap_or(UNKNOWN_SERVICE_S)
    }
}

/// Returns the expected time of one more request at a target, in seconds. A count ages towards what
/// this daemon itself has outstanding there.
fn expected_time(target: &Target, now: Duration, unknown: f64) -> f64 {
    let own = f64::from(target.outstanding.iter().sum::<u32>());
    let (load, service) = match target.count {
        None => (own, unknown),
        Some(count) => {
            let age = now.saturating_sub(count.at).as_secs_f64();
            let fresh = (-age / COUNT_AGE.as_secs_f64()).exp();
            let counted = f64::from(count.load + target.sent_since);
            let service = count.service.as_secs_f64();
            let service = if service > 0.0 { service } else { unknown };
            (own.max(counted * fresh), service)
        }
    };
    let slots = f64::from(target.place.slots.max(1));
    let waves = ((load + 1.0) / slots - 1.0).max(0.0);
    // Below that, the emptier target is a little better: it is less likely to fill up meanwhile.
    service * (1.0 + waves + EMPTIER * load / slots)
}
