//! What a run counts.

use masticdeal_policy::Outcome;

use crate::scenario::Scenario;

/// The end of a request, as its caller sees it.
pub struct Answer {
    /// When it was due, in seconds.
    pub due: f64,
    /// When it ended, in seconds.
    pub end: f64,
    /// Whether it is long.
    pub long: bool,
    /// Its service time at speed 1, in seconds.
    pub work: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it ended before its deadline.
    pub in_time: bool,
}

/// Counts of one kind of work.
#[derive(Debug, Default, Clone)]
pub struct Kind {
    /// Requests that were due.
    pub offered: usize,
    /// Latencies of the answers in time, in seconds.
    pub latencies: Vec<f64>,
    /// Summed service time of the answers in time, in seconds.
    pub work: f64,
}

/// Counts of one run.
pub struct Run {
    warm_up: f64,
    length: f64,
    /// Short and long work.
    pub kinds: [Kind; 2],
    /// Attempts at each target, first ones included.
    pub attempts: Vec<usize>,
    /// Ejections of each target.
    pub ejections: Vec<usize>,
}

impl Run {
    /// Makes empty counts.
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            warm_up: scenario.warm_up,
            length: scenario.length,
            kinds: Default::default(),
            attempts: vec![0; scenario.speeds.len()],
            ejections: vec![0; scenario.speeds.len()],
        }
    }

    /// Counts a request that is due.
    pub fn offered(&mut self, due: f64, long: bool) {
        if due >= self.warm_up {
            self.kinds[usize::from(long)].offered += 1;
        }
    }

    /// Counts an attempt at a target.
    pub fn attempt(&mut self, now: f64, target: usize) {
        if now >= self.warm_up {
            self.attempts[target] += 1;
        }
    }

    /// Counts an ejection.
    pub fn ejected(&mut self, target: usize) {
        self.ejections[target] += 1;
    }

    /// Counts the end of a request.
    pub fn answer(&mut self, answer: &Answer) {
        let good = answer.outcome == Outcome::Success && answer.in_time;
        if answer.due < self.warm_up || !good {
            return;
        }
        let kind = &mut self.kinds[usize::from(answer.long)];
        kind.latencies.push(answer.end - answer.due);
        kind.work += answer.work;
    }

    /// Returns the answers in time per second.
    pub fn goodput(&self) -> f64 {
        let answers: usize = self.kinds.iter().map(|kind| kind.latencies.len()).sum();
        answers as f64 / (self.length - self.warm_up)
    }

    /// Returns the work done in time per second, in seconds.
    pub fn work(&self) -> f64 {
        let work: f64 = self.kinds.iter().map(|kind| kind.work).sum();
        work / (self.length - self.warm_up)
    }

    /// Returns the share of due requests that were answered in time.
    pub fn in_time(&self) -> f64 {
        let answers: usize = self.kinds.iter().map(|kind| kind.latencies.len()).sum();
        let offered: usize = self.kinds.iter().map(|kind| kind.offered).sum();
        answers as f64 / offered.max(1) as f64
    }

    /// Returns the attempts per request.
    pub fn load_factor(&self) -> f64 {
        let offered: usize = self.kinds.iter().map(|kind| kind.offered).sum();
        let attempts: usize = self.attempts.iter().sum();
        attempts as f64 / offered.max(1) as f64
    }

    /// Returns the share of attempts that went to a target.
    pub fn part_of(&self, target: usize) -> f64 {
        let attempts: usize = self.attempts.iter().sum();
        self.attempts[target] as f64 / attempts.max(1) as f64
    }
}

impl Kind {
    /// Returns the share of due requests that were answered in time.
    pub fn in_time(&self) -> f64 {
        self.latencies.len() as f64 / self.offered.max(1) as f64
    }

    /// Returns quantiles of the latencies of answers in time, in milliseconds.
    pub fn quantiles_ms<const N: usize>(&self, quantiles: [f64; N]) -> [f64; N] {
        let mut sorted = self.latencies.clone();
        sorted.sort_by(f64::total_cmp);
        quantiles.map(|quantile| {
            let rank = (sorted.len() as f64 * quantile).ceil() as usize;
            let at = rank.saturating_sub(1);
            sorted.get(at).map_or(f64::NAN, |latency| latency * 1e3)
        })
    }
}

/// Returns the median, the least and the greatest of some values.
pub fn spread(values: &[f64]) -> (f64, f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len() - 1;
    let middle = (sorted[last / 2] + sorted[sorted.len() / 2]) / 2.0;
    (middle, sorted[0], sorted[last])
}
