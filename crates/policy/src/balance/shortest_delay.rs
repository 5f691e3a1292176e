//! Choice by the time at which a request is expected to end, with the trip between data centres as a cost.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Balancer, Target, TargetIx};

/// Targets of each side, near and far, that are compared for one request.
const CANDIDATES_PER_SIDE: usize = 3;

/// Time in which an owner's count loses most of its meaning: about the time that a request takes.
const LOAD_DECAY: Duration = Duration::from_millis(300);

/// Part of the service time that a full target costs against an empty one.
const OCCUPANCY_PENALTY: f64 = 0.2;

/// Service time of targets of which nothing is known, in seconds.
const DEFAULT_SERVICE_S: f64 = 0.05;

/// Where a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetAttributes {
    /// Whether it is in the data centre of this daemon.
    pub local: bool,
    /// Requests that it runs at once.
    pub slots: u16,
}

impl Default for TargetAttributes {
    fn default() -> Self {
        Self {
            local: true,
            slots: 1,
        }
    }
}

/// What the owner of a target reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerLoad {
    /// Requests that run or wait.
    pub requests: u32,
    /// Smoothed service time.
    pub service_time: Duration,
    /// When the count came, as time since boot.
    pub received_at: Duration,
}

impl Balancer {
    /// Chooses the target at which a request is expected to end first, where `remote_penalty` is the time for
    /// which it may be held up to stay in this data centre.
    ///
    /// It answers the crest: the owners' own counts tell which of few targets has room, and answers
    /// with many bytes stay near unless the wait there costs more than the trip. With many targets
    /// some are drawn, near ones first, so that daemons with the same counts do not all choose alike.
    pub fn choose_shortest_delay(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        remote_penalty: Duration,
        allowed: impl Fn(TargetIx) -> bool,
    ) -> Option<TargetIx> {
        let all = (0..self.targets.len() as u32).map(TargetIx);
        let eligible: Vec<TargetIx> = all
            .filter(|ix| self.target(*ix).present && allowed(*ix))
            .collect();
        let default_service_s = self.min_service_s();
        let time = |ix: TargetIx| {
            let target = self.target(ix);
            let penalty = if target.attributes.local {
                0.0
            } else {
                remote_penalty.as_secs_f64()
            };
            expected_delay(target, now, default_service_s) + penalty
        };
        let mut candidates = Vec::with_capacity(CANDIDATES_PER_SIDE);
        for local in [true, false] {
            let mut side: Vec<_> = eligible
                .iter()
                .copied()
                .filter(|ix| self.target(*ix).attributes.local == local)
                .collect();
            for _ in 0..CANDIDATES_PER_SIDE.min(side.len()) {
                candidates.push(side.swap_remove(rng.random_range(0..side.len())));
            }
        }
        candidates
            .into_iter()
            .min_by(|a, b| time(*a).total_cmp(&time(*b)))
    }

    /// Returns the shortest service time that owners reported, in seconds. A target of which nothing
    /// is known is taken to be that fast, so that it is tried.
    fn min_service_s(&self) -> f64 {
        let present = self.targets.iter().filter(|t| t.present);
        let loads = present.filter_map(|t| t.owner_load);
        let known = loads.filter(|c| !c.service_time.is_zero());
        let least = known.map(|c| c.service_time.as_secs_f64());
        least.reduce(f64::min).unwrap_or(DEFAULT_SERVICE_S)
    }
}

/// Returns the expected time of one more request at a target, in seconds. A count ages towards what
/// this daemon itself has outstanding there.
fn expected_delay(target: &Target, now: Duration, default_service_s: f64) -> f64 {
    let own = f64::from(target.outstanding.iter().sum::<u32>());
    let (load, service) = match target.owner_load {
        None => (own, default_service_s),
        Some(owner_load) => {
            let age = now.saturating_sub(owner_load.received_at).as_secs_f64();
            let fresh = (-age / LOAD_DECAY.as_secs_f64()).exp();
            let reported = f64::from(owner_load.requests + target.sent_since_load);
            let service = owner_load.service_time.as_secs_f64();
            let service = if service > 0.0 {
                service
            } else {
                default_service_s
            };
            (own.max(reported * fresh), service)
        }
    };
    let slots = f64::from(target.attributes.slots.max(1));
    let waves = ((load + 1.0) / slots - 1.0).max(0.0);
    // Below that, the emptier target is a little better: it is less likely to fill up meanwhile.
    service * (1.0 + waves + OCCUPANCY_PENALTY * load / slots)
}
