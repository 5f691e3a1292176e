//! Choice of a target among those of a service that is not divided by key.
//!
//! The policy draws two targets at random and takes the one with the smaller score: outstanding
//! requests times smoothed latency, both measured here. Two draws avoid the herd that a full scan
//! by many daemons makes, and need no shared state. A latency counts relative to what such requests
//! take on the whole, since one long request would otherwise make its target look slow.
//!
//! Invariant: a reported load changes a score by at most the factor [`REPORT_WEIGHT`] allows, and
//! only as far as own measurements are out of date. A target whose own score is worse by more than
//! that never wins through its report.

mod shortest_delay;

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::classifier::CostClass;

pub use shortest_delay::{OwnerLoad, TargetAttributes};

/// Most that a reported load adds to a score, as a part of it.
pub const REPORT_WEIGHT: f64 = 0.25;

/// Draws after which a cold target is taken although its ramp says otherwise.
const MAX_COLD_DRAWS: usize = 8;

/// Part of its traffic that a target receives when its ramp begins.
const MIN_RAMP_UP_SHARE: f64 = 0.05;

/// Factor on the estimate of a target with each of its faults, and the most that it can reach. A
/// target that fails at once has few requests outstanding and would draw more of them.
const FAULT_LATENCY_FACTOR: f64 = 1.5;
const MAX_FAULT_LATENCY: f64 = 50.0;

/// Dense index of a target within its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetIx(pub u32);

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Better of two random targets by outstanding requests times smoothed latency.
    TwoChoices,
    /// Best of all targets by the same score (baseline).
    BestScore,
    /// Uniformly at random (baseline).
    Random,
    /// In turn (baseline).
    RoundRobin,
    /// Fewest outstanding requests (baseline).
    LeastOutstanding,
    /// Lowest reported load (baseline that trusts the targets).
    LowestReport,
}

/// Settings of the balancer.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How a target is chosen.
    pub policy: Policy,
    /// Weight of a new latency sample, above 0 and at most 1.
    pub smoothing: f64,
    /// Time in which an estimate without new samples moves most of the way to the mean of all
    /// targets, so that a target that was slow once is tried again.
    pub latency_decay: Duration,
    /// Age at which a reported load counts for nothing.
    pub report_max_age: Duration,
    /// Time over which a cold target ramps up to its full part of the traffic.
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
    /// Smoothed latency of each class over all targets, in seconds.
    class_latency: [Option<f64>; 2],
    round_robin_next: usize,
}

#[derive(Debug, Clone, Default)]
struct Target {
    present: bool,
    /// Outstanding requests by class.
    outstanding: [u32; 2],
    /// Sum of the start times of the outstanding short requests, in seconds.
    start_sum_s: f64,
    /// Smoothed latency of each class relative to the typical one, and the time of its last
    /// sample. The classes are kept apart because long work waits in the queue far longer.
    latency: [Option<(f64, Duration)>; 2],
    /// Reported load, 0 to 1, and when it came.
    report: Option<(f64, Duration)>,
    cold_since: Option<Duration>,
    /// Where the target is and what its owner counted last.
    attributes: TargetAttributes,
    owner_load: Option<OwnerLoad>,
    /// Requests sent since the last count.
    sent_since_load: u32,
}

/// A request that was sent to a target, given back with [`Balancer::finish`].
#[derive(Debug)]
#[must_use = "a sent request that is not finished counts as outstanding for good"]
pub struct SentRequest {
    target: TargetIx,
    at: Duration,
    cost: CostClass,
    expected: Option<Duration>,
}

impl SentRequest {
    /// Returns the target that the request went to.
    pub fn target(&self) -> TargetIx {
        self.target
    }

    /// Returns the time since the request was sent.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }
}

impl Balancer {
    /// Makes a balancer without targets.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            targets: Vec::new(),
            class_latency: [None; 2],
            round_robin_next: 0,
        }
    }

    /// Adds a target, or brings it back. A cold target ramps up.
    pub fn add(&mut self, now: Duration, target: TargetIx, cold: bool) {
        let at = target.0 as usize;
        if at >= self.targets.len() {
            self.targets.resize_with(at + 1, Target::default);
        }
        let entry = &mut self.targets[at];
        entry.present = true;
        if cold {
            entry.cold_since = Some(now);
            entry.latency = [None; 2];
        }
    }

    /// Takes a target out of the choice. Its outstanding requests still finish.
    pub fn remove(&mut self, target: TargetIx) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            entry.present = false;
        }
    }

    /// Takes a reported load, 0 (idle) to 1 (all slots busy).
    pub fn record_report(&mut self, now: Duration, target: TargetIx, load: f64) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            let load = if load.is_nan() { 0.0 } else { load };
            entry.report = Some((load.clamp(0.0, 1.0), now));
        }
    }

    /// Notes where a target is.
    pub fn set_attributes(&mut self, target: TargetIx, attributes: TargetAttributes) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            entry.attributes = attributes;
        }
    }

    /// Takes what the owner of a target counted.
    pub fn record_owner_load(&mut self, target: TargetIx, load: OwnerLoad) {
        if let Some(entry) = self.targets.get_mut(target.0 as usize) {
            entry.owner_load = Some(load);
            entry.sent_since_load = 0;
        }
    }

    /// Chooses a target for a short request; `None` when there is none.
    pub fn choose(&mut self, now: Duration, rng: &mut impl Rng) -> Option<TargetIx> {
        self.choose_among(now, rng, |_| true)
    }

    /// Chooses among the targets that `allowed` accepts, such as those not ejected.
    pub fn choose_among(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        allowed: impl Fn(TargetIx) -> bool,
    ) -> Option<TargetIx> {
        self.choose_for(now, rng, CostClass::Short, allowed)
    }

    /// Chooses a target for a request of the given class.
    pub fn choose_for(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        cost: CostClass,
        allowed: impl Fn(TargetIx) -> bool,
    ) -> Option<TargetIx> {
        let all = (0..self.targets.len() as u32).map(TargetIx);
        let candidates = |ix: &TargetIx| self.target(*ix).present && allowed(*ix);
        let candidates: Vec<TargetIx> = all.filter(candidates).collect();
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
                self.min_by_value(&candidates, rng, |t| self.score_of(t, now, mean, cost))
            }
            (_, Policy::TwoChoices) => Some(self.better_of_two(now, &candidates, rng, cost)),
        }
    }

    /// Records that a short request goes to a target.
    pub fn start(&mut self, now: Duration, target: TargetIx) -> SentRequest {
        self.start_for(now, target, CostClass::Short, None)
    }

    /// Records that a request of the given class goes to a target.
    ///
    /// `expected` is the latency of such requests at any target, as the ingress has learned it;
    /// `None` takes that of the class.
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
            at: now,
            cost,
            expected,
        }
    }

    /// Records the end of a request. `answered` is false when it failed or was cancelled: its time
    /// then can only raise the estimate, since a target that fails fast is not a fast target.
    pub fn finish(&mut self, now: Duration, sent: SentRequest, answered: bool) {
        let smoothing = self.settings.smoothing;
        let class = sent.cost as usize;
        let latency = sent.elapsed(now).as_secs_f64();
        if answered {
            let class_latency = self.class_latency[class].get_or_insert(latency);
            *class_latency += smoothing * (latency - *class_latency);
        }
        let class_latency = self.class_latency[class].unwrap_or(latency);
        let expected = sent.expected.map_or(class_latency, |e| e.as_secs_f64());
        let Some(entry) = self.targets.get_mut(sent.target.0 as usize) else {
            return;
        };
        entry.outstanding[class] = entry.outstanding[class].saturating_sub(1);
        if sent.cost == CostClass::Short {
            entry.start_sum_s -= sent.at.as_secs_f64();
        }
        if expected <= 0.0 {
            return;
        }
        let sample = latency / expected;
        let (mean, _) = entry.latency[class].unwrap_or((sample, now));
        if answered || sample > mean {
            entry.latency[class] = Some((mean + smoothing * (sample - mean), now));
        }
    }

    /// Records a fault of the target, besides the end of the request.
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

    /// Returns the requests outstanding at a target.
    pub fn outstanding(&self, target: TargetIx) -> u32 {
        let entry = self.targets.get(target.0 as usize);
        entry.map_or(0, |entry| entry.outstanding.iter().sum())
    }

    /// Returns the score of a target for short work, from own measurements only.
    pub fn measured_score(&self, now: Duration, target: TargetIx) -> f64 {
        let mean = self.mean_latency(CostClass::Short);
        self.score_of(self.target(target), now, mean, CostClass::Short)
    }

    fn target(&self, ix: TargetIx) -> &Target {
        &self.targets[ix.0 as usize]
    }

    fn next_in_turn(&mut self, candidates: &[TargetIx]) -> TargetIx {
        self.round_robin_next = self.round_robin_next.wrapping_add(1);
        candidates[self.round_robin_next % candidates.len()]
    }

    /// Returns the target with the smallest value, a random one among equals.
    fn min_by_value(
        &self,
        candidates: &[TargetIx],
        rng: &mut impl Rng,
        value: impl Fn(&Target) -> f64,
    ) -> Option<TargetIx> {
        let from = rng.random_range(0..candidates.len());
        let (before, after) = candidates.split_at(from);
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
            self.score_of(target, now, mean, cost) * self.report_factor(target, now, cost)
        };
        if score(second) < score(first) {
            second
        } else {
            first
        }
    }

    /// Draws a target other than `excluded`. A cold target is passed over with a probability that falls
    /// along its ramp; by score alone it would get nothing while the others are idle, or everything.
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

    /// Returns the part of its traffic that a target takes, 1 when it is warm.
    fn ramp_up_share(&self, target: &Target, now: Duration) -> f64 {
        let Some(since) = target.cold_since else {
            return 1.0;
        };
        let ramp_up = self.settings.ramp_up.as_secs_f64();
        let passed = now.saturating_sub(since).as_secs_f64();
        if passed >= ramp_up {
            return 1.0;
        }
        (passed / ramp_up).max(MIN_RAMP_UP_SHARE)
    }

    /// Returns outstanding requests times relative latency. Long work has slots of its own and
    /// waits only for long work.
    fn score_of(&self, target: &Target, now: Duration, mean: f64, cost: CostClass) -> f64 {
        let [short, long] = target.outstanding;
        let ahead = match cost {
            CostClass::Short => short + long,
            CostClass::Long => long,
        };
        f64::from(ahead + 1) * self.relative_latency(target, now, mean, cost)
    }

    /// Returns the relative latency to reckon with.
    ///
    /// The mean age of the outstanding short requests is a lower bound that needs no answer, so
    /// that a frozen target gets worse although it yields no samples.
    fn relative_latency(&self, target: &Target, now: Duration, mean: f64, cost: CostClass) -> f64 {
        let smoothed = match target.latency[cost as usize] {
            Some((latency, _)) => mean + (latency - mean) * self.freshness(target, now, cost),
            None => mean,
        };
        let short = target.outstanding[CostClass::Short as usize];
        let Some(class_latency) =
            self.class_latency[CostClass::Short as usize].filter(|t| short > 0 && *t > 0.0)
        else {
            return smoothed;
        };
        let age = now.as_secs_f64() - target.start_sum_s / f64::from(short);
        smoothed.max(age / class_latency)
    }

    /// Returns how far the own measurements of a target still hold, 1 for fresh ones.
    fn freshness(&self, target: &Target, now: Duration, cost: CostClass) -> f64 {
        let Some((_, at)) = target.latency[cost as usize] else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        (-age / self.settings.latency_decay.as_secs_f64()).exp()
    }

    /// Returns the mean relative latency of the present targets.
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

    /// Returns the factor that a reported load puts on a score, from 1 to 1 + [`REPORT_WEIGHT`].
    fn report_factor(&self, target: &Target, now: Duration, cost: CostClass) -> f64 {
        let Some((load, at)) = target.report else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        let fresh = (1.0 - age / self.settings.report_max_age.as_secs_f64()).max(0.0);
        1.0 + REPORT_WEIGHT * load * fresh * (1.0 - self.freshness(target, now, cost))
    }
}

/// Draws one of `candidates` other than `excluded`.
fn draw_other_candidate(
    candidates: &[TargetIx],
    excluded: Option<TargetIx>,
    rng: &mut impl Rng,
) -> TargetIx {
    let skipped = excluded.and_then(|excluded| candidates.iter().position(|ix| *ix == excluded));
    let Some(skipped) = skipped.filter(|_| candidates.len() > 1) else {
        return candidates[rng.random_range(0..candidates.len())];
    };
    let at = rng.random_range(0..candidates.len() - 1);
    candidates[if at >= skipped { at + 1 } else { at }]
}
