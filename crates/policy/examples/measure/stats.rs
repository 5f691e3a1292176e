//! Counts of one simulation run.

use masticdeal_policy::Outcome;

use crate::scenario::Scenario;

/// End of a request, as observed by its caller.
pub struct RequestEnd {
    /// Scheduled arrival in seconds.
    pub arrival: f64,
    /// End in seconds.
    pub end: f64,
    /// Whether the request is long.
    pub is_long: bool,
    /// Service time at speed 1 in seconds.
    pub work: f64,
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// Whether the request ended before its deadline.
    pub in_time: bool,
}

/// Counts of the short or the long requests.
#[derive(Debug, Default, Clone)]
pub struct Kind {
    /// Number of requests that arrived.
    pub offered: usize,
    /// Latencies of successful responses in time, in seconds.
    pub latencies: Vec<f64>,
    /// Total service time of successful responses in time, in seconds.
    pub work: f64,
}

/// Counts of one run.
pub struct Run {
    warm_up_s: f64,
    duration_s: f64,
    /// Counts of short and of long requests.
    pub kinds: [Kind; 2],
    /// Attempts at each target after the warm-up, including first attempts.
    pub attempts: Vec<usize>,
    /// Ejections of each target, including the warm-up.
    pub ejections: Vec<usize>,
}

impl Run {
    /// Creates empty counts.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            warm_up_s: scenario.warm_up_s,
            duration_s: scenario.duration_s,
            kinds: Default::default(),
            attempts: vec![0; scenario.speeds.len()],
            ejections: vec![0; scenario.speeds.len()],
        }
    }

    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, arrival: f64, is_long: bool) {
        if arrival >= self.warm_up_s {
            self.kinds[usize::from(is_long)].offered += 1;
        }
    }

    /// Counts an attempt at a target, also of a request from a bad caller.
    pub fn record_attempt(&mut self, now: f64, target: usize) {
        if now >= self.warm_up_s {
            self.attempts[target] += 1;
        }
    }

    /// Counts an ejection, also during the warm-up.
    pub fn record_ejection(&mut self, target: usize) {
        self.ejections[target] += 1;
    }

    /// Counts the end of a request, if it is successful and in time.
    pub fn record_end(&mut self, request: &RequestEnd) {
        let good = request.outcome == Outcome::Success && request.in_time;
        if request.arrival < self.warm_up_s || !good {
            return;
        }
        let kind = &mut self.kinds[usize::from(request.is_long)];
        kind.latencies.push(request.end - request.arrival);
        kind.work += request.work;
    }

    /// Returns the successful responses in time per second.
    pub fn goodput(&self) -> f64 {
        let responses: usize = self.kinds.iter().map(|kind| kind.latencies.len()).sum();
        responses as f64 / (self.duration_s - self.warm_up_s)
    }

    /// Returns the service time in seconds of the successful responses in time, per second.
    pub fn work(&self) -> f64 {
        let work: f64 = self.kinds.iter().map(|kind| kind.work).sum();
        work / (self.duration_s - self.warm_up_s)
    }

    /// Returns the share of requests with a successful response in time.
    pub fn in_time(&self) -> f64 {
        let responses: usize = self.kinds.iter().map(|kind| kind.latencies.len()).sum();
        let offered: usize = self.kinds.iter().map(|kind| kind.offered).sum();
        responses as f64 / offered.max(1) as f64
    }

    /// Returns the number of attempts per request. The requests exclude those of bad callers.
    pub fn load_factor(&self) -> f64 {
        let offered: usize = self.kinds.iter().map(|kind| kind.offered).sum();
        let attempts: usize = self.attempts.iter().sum();
        attempts as f64 / offered.max(1) as f64
    }

    /// Returns the share of attempts at a target.
    pub fn share_of(&self, target: usize) -> f64 {
        let attempts: usize = self.attempts.iter().sum();
        self.attempts[target] as f64 / attempts.max(1) as f64
    }
}

impl Kind {
    /// Returns the share of requests with a successful response in time.
    pub fn in_time(&self) -> f64 {
        self.latencies.len() as f64 / self.offered.max(1) as f64
    }

    /// Returns quantiles of the latencies of successful responses in time, in milliseconds.
    pub fn quantiles_ms<const N: usize>(&self, quantiles: [f64; N]) -> [f64; N] {
        let mut sorted = self.latencies.clone();
        sorted.sort_by(f64::total_cmp);
        quantiles.map(|quantile| {
            let rank = (sorted.len() as f64 * quantile).ceil() as usize;
            let index = rank.saturating_sub(1);
            sorted.get(index).map_or(f64::NAN, |latency| latency * 1e3)
        })
    }
}

/// Returns the median, minimum and maximum of the values.
pub fn median_and_range(values: &[f64]) -> (f64, f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len() - 1;
    let median = (sorted[last / 2] + sorted[sorted.len() / 2]) / 2.0;
    (median, sorted[0], sorted[last])
}
