//! Load balancing over the targets of an unsharded service.
//!
//! The default policy draws two targets at random and takes the one with the lower score: the
//! number of outstanding requests times the smoothed latency, both measured by this daemon. Drawing
//! two avoids the herding that occurs when many daemons scan all targets. It needs no shared state.
//! Latencies are relative to the expected latency of the request, so that one long request does not
//! make its target look slow.
//!
//! Invariant: a reported load raises a score by at most the factor `1 + REPORT_WEIGHT`, and only to
//! the extent that the daemon's own measurements are out of date. A target with a measured score
//! that is worse by more than this factor is never chosen because of its report.

mod shortest_delay;

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::classifier::CostClass;

pub use shortest_delay::{OwnerLoad, TargetAttributes};

/// Largest relative increase of a score by a reported load.
pub const REPORT_WEIGHT: f64 = 0.25;

/// Number of draws after which a cold target is taken regardless of its ramp-up.
const MAX_COLD_DRAWS: usize = 8;

/// Share of its normal traffic that a cold target receives at the start of its ramp-up.
const MIN_RAMP_UP_SHARE: f64 = 0.05;

/// Factor by which each fault raises the latency estimate of a target.
///
/// A target that fails fast has few outstanding requests and would otherwise attract more.
const FAULT_LATENCY_FACTOR: f64 = 1.5;

/// Largest relative latency that faults alone can produce.
const MAX_FAULT_LATENCY: f64 = 50.0;

/// Dense index of a target within its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetIx(pub u32);

/// Balancing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Better of two random targets by outstanding requests times smoothed latency (the default).
    TwoChoices,
    /// Best of all targets by the same score (baseline for comparison).
    BestScore,
    /// Uniformly random target (baseline).
    Random,
    /// Each target in turn (baseline).
    RoundRobin,
    /// Target with the fewest outstanding requests (baseline).
    LeastOutstanding,
    /// Target with the lowest reported load (baseline that trusts the reports).
    LowestReport,
}

/// Settings of the balancer.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Balancing policy.
    pub policy: Policy,
    /// Weight of a new sample in the smoothed latency, above 0 and at most 1.
    pub smoothing: f64,
    /// Time constant with which an estimate without new samples decays to the mean of all targets,
    /// so that a target that was slow once is tried again.
    pub latency_decay: Duration,
    /// Age from which a reported load is ignored.
    pub report_max_age: Duration,
    /// Time over which a cold target ramps up to its full share of the traffic.
    pub ramp_up: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::TwoChoices,
            smoothing: 0.1,
            latency_decay: Duration::from_secs(5),
            report_max_age: Duration::from_secs(3),
            ramp_up: Duration::from_secs(3),
        }
    }
}

/// Balancer of one service.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    targets: Vec<Target>,
    /// Smoothed latency over all targets by cost class, in seconds.
    class_latency_s: [Option<f64>; 2],
    round_robin_next: usize,
}

#[derive(Debug, Clone, Default)]
struct Target {
    present: bool,
    /// Outstanding requests by cost class.
    outstanding: [u32; 2],
    /// Sum of the start times of the outstanding short requests, in seconds.
    start_sum_s: f64,
    /// Smoothed relative latency and time of the last sample, by cost class. The classes are kept
    /// apart because long requests wait far longer in the queue.
    latency: [Option<(f64, Duration)>; 2],
    /// Load that the target's daemon reported last, from 0 to 1, and its time of receipt.
    report: Option<(f64, Duration)>,
    cold_since: Option<Duration>,
    attributes: TargetAttributes,
    /// As `report`, in requests and service time, for [`Balancer::choose_shortest_delay`].
    owner_load: Option<OwnerLoad>,
    /// Requests sent since the receipt of `owner_load`.
    sent_since_load: u32,
}

/// An outstanding request to a target, returned with [`Balancer::finish`].
#[derive(Debug)]
#[must_use = "a sent request counts as outstanding until it is finished"]
pub struct SentRequest {
    target: TargetIx,
    sent_at: Duration,
    cost: CostClass,
    expected: Option<Duration>,
}

impl SentRequest {
    /// Returns the target that the request was sent to.
    pub fn target(&self) -> TargetIx {
        self.target
    }

    /// Returns the time since the request was sent.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.sent_at)
    }
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            targets: Vec::new(),
            class_latency_s: [None; 2],
            round_robin_next: 0,
        }
    }

    /// Adds a target, or makes a removed one available again. A cold target ramps up.
    pub fn add(&mut self, now: Duration, target: TargetIx, cold: bool) {
        let index = target.0 as usize;
        if index >= self.targets.len() {
            self.targets.resize_with(index + 1, Target::default);
        }
        let entry = &mut self.targets[index];
        entry.present = true;
        if cold {
            entry.cold_since = Some(now);
            entry.latency = [None; 2];
        }
    }

    /// Removes a target from the choice. Its outstanding requests can still finish.
    pub fn remove(&mut self, target: TargetIx) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            entry.present = false;
        }
    }

    /// Records the load that the target's daemon reported, from 0 (idle) to 1 (all slots busy).
    /// Values outside this range are clamped.
    pub fn record_report(&mut self, now: Duration, target: TargetIx, load: f64) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            let load = if load.is_nan() { 0.0 } else { load };
            entry.report = Some((load.clamp(0.0, 1.0), now));
        }
    }

    /// Sets the locality and the slots of a target.
    pub fn set_attributes(&mut self, target: TargetIx, attributes: TargetAttributes) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            entry.attributes = attributes;
        }
    }

    /// Records the load that the owner of a target reported, for
    /// [`Balancer::choose_shortest_delay`].
    pub fn record_owner_load(&mut self, target: TargetIx, load: OwnerLoad) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            entry.owner_load = Some(load);
            entry.sent_since_load = 0;
        }
    }

    /// Chooses a target for a short request; `None` if no target is available.
    pub fn choose(&mut self, now: Duration, rng: &mut impl Rng) -> Option<TargetIx> {
        self.choose_among(now, rng, |_| true)
    }

    /// Chooses a target for a short request among those that `allowed` accepts.
    pub fn choose_among(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        allowed: impl Fn(TargetIx) -> bool,
    ) -> Option<TargetIx> {
        self.choose_for(now, rng, CostClass::Short, allowed)
    }

    /// Chooses a target for a request of a cost class among those that `allowed` accepts.
    pub fn choose_for(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        cost: CostClass,
        allowed: impl Fn(TargetIx) -> bool,
    ) -> Option<TargetIx> {
        let all = (0..self.targets.len() as u32).map(TargetIx);
        let is_candidate = |ix: &TargetIx| self.target(*ix).present && allowed(*ix);
        let candidates: Vec<TargetIx> = all.filter(is_candidate).collect();
        match (candidates.len(), self.settings.policy) {
            (0, _) => None,
            (1, _) => Some(candidates[0]),
            (n, Policy::Random) => Some(candidates[rng.random_range(0..n)]),
            (_, Policy::RoundRobin) => Some(self.next_in_turn(&candidates)),
            (_, Policy::LeastOutstanding) => self.min_by_value(&candidates, rng, |t| {
                f64::from(t.outstanding.iter().sum::<u32>())
            }),
            (_, Policy::LowestReport) => {
                self.min_by_value(&candidates, rng, |t| t.report.map_or(0.0, |r| r.0))
            }
            (_, Policy::BestScore) => {
                let mean = self.mean_latency(cost);
                self.min_by_value(&candidates, rng, |t| self.score(t, now, mean, cost))
            }
            (_, Policy::TwoChoices) => Some(self.better_of_two(now, &candidates, rng, cost)),
        }
    }

    /// Records that a short request is sent to a target.
    pub fn start(&mut self, now: Duration, target: TargetIx) -> SentRequest {
        self.start_for(now, target, CostClass::Short, None)
    }

    /// Records that a request of a cost class is sent to a target.
    ///
    /// `expected` is the latency of such requests over all targets, as measured by the ingress;
    /// `None` stands for the mean of the cost class.
    pub fn start_for(
        &mut self,
        now: Duration,
        target: TargetIx,
        cost: CostClass,
        expected: Option<Duration>,
    ) -> SentRequest {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            entry.outstanding[cost as usize] += 1;
            entry.sent_since_load += 1;
            if cost == CostClass::Short {
                entry.start_sum_s += now.as_secs_f64();
            }
        }
        SentRequest {
            target,
            sent_at: now,
            cost,
            expected,
        }
    }

    /// Records the end of a request.
    ///
    /// If `succeeded` is false, the request failed or was cancelled, and its latency can only raise
    /// the estimate: a target that fails fast is not a fast target.
    pub fn finish(&mut self, now: Duration, sent: SentRequest, succeeded: bool) {
        let smoothing = self.settings.smoothing;
        let class = sent.cost as usize;
        let latency = sent.elapsed(now).as_secs_f64();
        if succeeded {
            let class_latency_s = self.class_latency_s[class].get_or_insert(latency);
            *class_latency_s += smoothing * (latency - *class_latency_s);
        }
        let class_latency_s = self.class_latency_s[class].unwrap_or(latency);
        let expected = sent.expected.map_or(class_latency_s, |e| e.as_secs_f64());
        let Some(entry) = self.targets.get_mut(sent.target.0 as usize) else {
            return;
        };
        entry.outstanding[class] = entry.outstanding[class].saturating_sub(1);
        if sent.cost == CostClass::Short {
            entry.start_sum_s -= sent.sent_at.as_secs_f64();
        }
        if expected <= 0.0 {
            return;
        }
        let sample = latency / expected;
        let (mean, _) = entry.latency[class].unwrap_or((sample, now));
        if succeeded || sample > mean {
            entry.latency[class] = Some((mean + smoothing * (sample - mean), now));
        }
    }

    /// Records a fault of a target, in addition to the end of the request.
    pub fn record_fault(&mut self, now: Duration, target: TargetIx) {
        let Some(entry) = self.targets.get_mut(target.0 as usize) else {
            return;
        };
        for latency in &mut entry.latency {
            let (mean, _) = latency.unwrap_or((1.0, now));
            let worse = (mean * FAULT_LATENCY_FACTOR).min(MAX_FAULT_LATENCY.max(mean));
            *latency = Some((worse, now));
        }
    }

    /// Returns the number of outstanding requests at a target.
    pub fn outstanding(&self, target: TargetIx) -> u32 {
        let entry = self.targets.get(target.0 as usize);
        entry.map_or(0, |entry| entry.outstanding.iter().sum())
    }

    /// Returns the score of a target for short requests without the reported load.
    pub fn measured_score(&self, now: Duration, target: TargetIx) -> f64 {
        let mean = self.mean_latency(CostClass::Short);
        self.score(self.target(target), now, mean, CostClass::Short)
    }

    fn target(&self, ix: TargetIx) -> &Target {
        &self.targets[ix.0 as usize]
    }

    fn next_in_turn(&mut self, candidates: &[TargetIx]) -> TargetIx {
        self.round_robin_next = self.round_robin_next.wrapping_add(1);
        candidates[self.round_robin_next % candidates.len()]
    }

    /// Returns the target with the lowest value. Ties are broken at random.
    fn min_by_value(
        &self,
        candidates: &[TargetIx],
        rng: &mut impl Rng,
        value: impl Fn(&Target) -> f64,
    ) -> Option<TargetIx> {
        let offset = rng.random_range(0..candidates.len());
        let (before, after) = candidates.split_at(offset);
        let rotated = after.iter().chain(before).copied();
        rotated.min_by(|a, b| value(self.target(*a)).total_cmp(&value(self.target(*b))))
    }

    fn better_of_two(
        &self,
        now: Duration,
        candidates: &[TargetIx],
        rng: &mut impl Rng,
        cost: CostClass,
    ) -> TargetIx {
        let mean = self.mean_latency(cost);
        let first = self.draw_candidate(now, candidates, None, rng);
        let second = self.draw_candidate(now, candidates, Some(first), rng);
        let score = |ix| {
            let target = self.target(ix);
            self.score(target, now, mean, cost) * self.report_factor(target, now, cost)
        };
        if score(second) < score(first) {
            second
        } else {
            first
        }
    }

    /// Draws a target other than `excluded`. If it is cold, the draw is repeated with a probability
    /// that falls to 0 during the ramp-up. The score alone would give a cold target either no
    /// requests or all of them.
    fn draw_candidate(
        &self,
        now: Duration,
        candidates: &[TargetIx],
        excluded: Option<TargetIx>,
        rng: &mut impl Rng,
    ) -> TargetIx {
        let mut candidate = candidates[0];
        for _ in 0..MAX_COLD_DRAWS {
            candidate = draw_other_candidate(candidates, excluded, rng);
            if rng.random::<f64>() < self.ramp_up_share(self.target(candidate), now) {
                break;
            }
        }
        candidate
    }

    /// Returns the share of its normal traffic that a target receives; 1 if it is not cold.
    fn ramp_up_share(&self, target: &Target, now: Duration) -> f64 {
        let Some(since) = target.cold_since else {
            return 1.0;
        };
        let ramp_up = self.settings.ramp_up.as_secs_f64();
        let elapsed = now.saturating_sub(since).as_secs_f64();
        if elapsed >= ramp_up {
            return 1.0;
        }
        (elapsed / ramp_up).max(MIN_RAMP_UP_SHARE)
    }

    /// Returns the number of requests up to and including a new one, times the relative latency.
    ///
    /// Long requests have a share of the slots and wait only for other long requests.
    fn score(&self, target: &Target, now: Duration, mean: f64, cost: CostClass) -> f64 {
        let [short, long] = target.outstanding;
        let ahead = match cost {
            CostClass::Short => short + long,
            CostClass::Long => long,
        };
        f64::from(ahead + 1) * self.relative_latency(target, now, mean, cost)
    }

    /// Returns the estimated relative latency of a target.
    ///
    /// The mean age of the outstanding short requests is a lower bound, so that the estimate of a
    /// frozen target rises although no response provides a sample.
    fn relative_latency(&self, target: &Target, now: Duration, mean: f64, cost: CostClass) -> f64 {
        let smoothed = match target.latency[cost as usize] {
            Some((latency, _)) => mean + (latency - mean) * self.freshness(target, now, cost),
            None => mean,
        };
        let short = target.outstanding[CostClass::Short as usize];
        let Some(class_latency_s) =
            self.class_latency_s[CostClass::Short as usize].filter(|t| short > 0 && *t > 0.0)
        else {
            return smoothed;
        };
        let age = now.as_secs_f64() - target.start_sum_s / f64::from(short);
        smoothed.max(age / class_latency_s)
    }

    /// Returns the weight of the latency samples of a target, which decays from 1 with their age.
    fn freshness(&self, target: &Target, now: Duration, cost: CostClass) -> f64 {
        let Some((_, at)) = target.latency[cost as usize] else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        (-age / self.settings.latency_decay.as_secs_f64()).exp()
    }

    /// Returns the mean smoothed relative latency of the present targets, or 1 without samples.
    fn mean_latency(&self, cost: CostClass) -> f64 {
        let present = self.targets.iter().filter(|t| t.present);
        let known = present.filter_map(|t| t.latency[cost as usize]);
        let (sum, count) = known.fold((0.0, 0u32), |(sum, count), (latency, _)| {
            (sum + latency, count + 1)
        });
        if count == 0 {
            return 1.0;
        }
        sum / f64::from(count)
    }

    /// Returns the factor by which the reported load raises a score, at most `1 + REPORT_WEIGHT`.
    fn report_factor(&self, target: &Target, now: Duration, cost: CostClass) -> f64 {
        let Some((load, at)) = target.report else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        let report_freshness = (1.0 - age / self.settings.report_max_age.as_secs_f64()).max(0.0);
        1.0 + REPORT_WEIGHT * load * report_freshness * (1.0 - self.freshness(target, now, cost))
    }
}

/// Draws one of `candidates` other than `excluded`.
fn draw_other_candidate(
    candidates: &[TargetIx],
    excluded: Option<TargetIx>,
    rng: &mut impl Rng,
) -> TargetIx {
    let excluded_index =
        excluded.and_then(|excluded| candidates.iter().position(|ix| *ix == excluded));
    let Some(excluded_index) = excluded_index.filter(|_| candidates.len() > 1) else {
        return candidates[rng.random_range(0..candidates.len())];
    };
    let i = rng.random_range(0..candidates.len() - 1);
    candidates[if i >= excluded_index { i + 1 } else { i }]
}
