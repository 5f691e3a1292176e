//! Load balancing by shortest expected delay, with a penalty for targets in other data centres.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Balancer, Target, TargetIx};

/// Maximum number of local targets, and of remote targets, that are compared for one request.
const CANDIDATES_PER_LOCALITY: usize = 3;

/// Time constant with which an owner's reported load decays, about the duration of a request.
const LOAD_DECAY: Duration = Duration::from_millis(300);

/// Delay added for a target with all slots busy, as a share of the service time. At other loads, it
/// is in proportion to the load.
const OCCUPANCY_PENALTY: f64 = 0.2;

/// Service time of a target in seconds, assumed while no owner has reported one.
const DEFAULT_SERVICE_S: f64 = 0.05;

/// Locality and size of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetAttributes {
    /// Whether the target is in the data centre of this daemon.
    pub local: bool,
    /// Requests that the target can run concurrently.
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

/// Load of a target, as reported by its owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerLoad {
    /// Running and queued requests.
    pub requests: u32,
    /// Smoothed service time.
    pub service_time: Duration,
    /// Time from the receipt until a new request may start, if the target is cold; zero otherwise.
    pub start_wait: Duration,
    /// Time of receipt, as time since boot.
    pub received_at: Duration,
}

impl Balancer {
    /// Chooses the target with the shortest expected delay.
    ///
    /// `remote_penalty` is added to the delay of targets in other data centres, so that requests
    /// with large responses stay local unless the local wait exceeds the remote one by more than
    /// this penalty.
    ///
    /// The loads reported by the owners show which targets have room at a load peak. Only a random
    /// sample of the local and of the remote targets is compared, so that daemons with the same
    /// reports do not all choose the same target.
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
        let delay = |ix: TargetIx| {
            let target = self.target(ix);
            let penalty = if target.attributes.local {
                0.0
            } else {
                remote_penalty.as_secs_f64()
            };
            expected_delay(target, now, default_service_s) + penalty
        };
        let mut candidates = Vec::with_capacity(CANDIDATES_PER_LOCALITY);
        for local in [true, false] {
            let mut group: Vec<_> = eligible
                .iter()
                .copied()
                .filter(|ix| self.target(*ix).attributes.local == local)
                .collect();
            for _ in 0..CANDIDATES_PER_LOCALITY.min(group.len()) {
                candidates.push(group.swap_remove(rng.random_range(0..group.len())));
            }
        }
        candidates
            .into_iter()
            .min_by(|a, b| delay(*a).total_cmp(&delay(*b)))
    }

    /// Returns the shortest service time that owners reported, in seconds.
    ///
    /// It is assumed for targets without a report, so that they are tried.
    fn min_service_s(&self) -> f64 {
        let present = self.targets.iter().filter(|t| t.present);
        let loads = present.filter_map(|t| t.owner_load);
        let known = loads.filter(|load| !load.service_time.is_zero());
        let service_times_s = known.map(|load| load.service_time.as_secs_f64());
        service_times_s
            .reduce(f64::min)
            .unwrap_or(DEFAULT_SERVICE_S)
    }
}

/// Returns the expected time until one more request finishes at a target, plus the
/// [`OCCUPANCY_PENALTY`], in seconds.
///
/// The reported load decays, but never below the requests that this daemon has outstanding there.
fn expected_delay(target: &Target, now: Duration, default_service_s: f64) -> f64 {
    let outstanding = f64::from(target.outstanding.iter().sum::<u32>());
    let (load, service_s, start_wait_s) = match target.owner_load {
        None => (outstanding, default_service_s, 0.0),
        Some(owner_load) => {
            let age = now.saturating_sub(owner_load.received_at);
            let start_wait = owner_load.start_wait.saturating_sub(age);
            let age = age.as_secs_f64();
            let freshness = (-age / LOAD_DECAY.as_secs_f64()).exp();
            let reported = f64::from(owner_load.requests + target.sent_since_load);
            let service_s = owner_load.service_time.as_secs_f64();
            let service_s = if service_s > 0.0 {
                service_s
            } else {
                default_service_s
            };
            let load = outstanding.max(reported * freshness);
            (load, service_s, start_wait.as_secs_f64())
        }
    };
    let slots = f64::from(target.attributes.slots.max(1));
    let rounds_of_wait = ((load + 1.0) / slots - 1.0).max(0.0);
    // While slots are free, a small penalty prefers the emptier target, which is less likely to
    // fill up before the request arrives.
    service_s * (1.0 + rounds_of_wait + OCCUPANCY_PENALTY * load / slots) + start_wait_s
}
