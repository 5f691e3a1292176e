//! Scenario of a simulation run: arrivals, targets, faults and policy settings.

use masticdeal_policy::balance;
use masticdeal_policy::classifier;
use masticdeal_policy::eject;
use masticdeal_policy::outcome::AttemptEnd;
use masticdeal_policy::queue;
use masticdeal_policy::retry;
use rand::RngExt;
use rand::rngs::StdRng;

/// Mean service time of short requests in seconds.
pub const SHORT_S: f64 = 0.010;

/// Mean service time of long requests in seconds.
pub const LONG_S: f64 = 100.0 * SHORT_S;

/// Deadlines of short and long requests in seconds.
pub const DEADLINES_S: (f64, f64) = (0.5, 10.0);

/// Paths of short requests and their mean service times, as multiples of [`SHORT_S`] with a mean
/// of 1.
const SHORT_PATHS: [(&str, f64); 4] = [
    ("/library/list", 0.6),
    ("/library/session/4711", 0.8),
    ("/library/search", 1.2),
    ("/library/abstract/4711.pdf", 1.4),
];

/// Load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Report {
    /// No report.
    None,
    /// Actual share of busy slots.
    True,
    /// Always idle, regardless of the actual load.
    Idle,
}

/// Faults of one target or of all targets.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Index of the failing target; ignored if all targets fail.
    pub target: usize,
    /// Start and end in seconds.
    pub period_s: (f64, f64),
    /// Share of requests that fail.
    pub failure_share: f64,
    /// Whether all targets fail.
    pub all_targets: bool,
}

impl Faults {
    /// Returns the share of requests that currently fail at a target.
    pub fn current_share(&self, now: f64, target: usize) -> f64 {
        let affected = self.all_targets || target == self.target;
        let active = (self.period_s.0..self.period_s.1).contains(&now);
        if affected && active {
            self.failure_share
        } else {
            0.0
        }
    }
}

/// Callers whose requests cannot succeed.
#[derive(Debug, Clone, Copy, Default)]
pub struct BadCallers {
    /// Start and end in seconds.
    pub period_s: (f64, f64),
    /// Share of requests that are invalid.
    pub invalid_share: f64,
    /// Share of requests that cannot finish in time: one half has a deadline that is too short, and
    /// the caller cancels the other half.
    pub impatient_share: f64,
}

/// Scenario of a simulation run.
pub struct Scenario {
    /// Time during which requests arrive, in seconds.
    pub duration_s: f64,
    /// Requests that arrive before this time in seconds are not counted.
    pub warm_up_s: f64,
    /// Arrivals per second as a function of time.
    pub rate: Box<dyn Fn(f64) -> f64>,
    /// Upper bound of `rate`.
    pub peak_rate: f64,
    /// Share of long requests.
    pub long_share: f64,
    /// Factor on the share of long requests as a function of time.
    pub long_factor: Box<dyn Fn(f64) -> f64>,
    /// Whether long requests are omitted from the arrivals. The short ones are unchanged.
    pub skip_long: bool,
    /// Whether each long request has a random path, which the classifiers have not seen before.
    pub unseen_paths: bool,
    /// Deadlines of short and long requests in seconds.
    pub deadlines: (f64, f64),
    /// Relative speed of each target.
    pub speeds: Vec<f64>,
    /// Number of requests that a target runs at full speed.
    pub slots: usize,
    /// Concurrency limit of the queue, if it differs from the slots.
    pub limit: Option<usize>,
    /// Whether the queue reclassifies running and waiting requests.
    pub reclassify: bool,
    /// Settings of the classifiers.
    pub classifier: classifier::Settings,
    /// Settings of the queue of each target.
    pub queue: queue::Settings,
    /// Number of ingress daemons, each with measurements of its own.
    pub ingresses: usize,
    /// Settings of the balancers.
    pub balance: balance::Settings,
    /// Whether the ingress passes the cost class and expected time of a request to the balancer. If
    /// false, all requests count as short.
    pub classes_at_ingress: bool,
    /// Load reports of the targets, repeated if there are more targets.
    pub reports: Vec<Report>,
    /// Settings of the ejectors; `None` disables ejection.
    pub eject: Option<eject::Settings>,
    /// Settings of retries.
    pub retry: retry::Settings,
    /// Settings of the retry budgets.
    pub budget: retry::RetryBudgetSettings,
    /// Faults of targets.
    pub faults: Faults,
    /// Callers whose requests cannot succeed.
    pub bad_callers: BadCallers,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            duration_s: 220.0,
            warm_up_s: 20.0,
            rate: Box::new(|_| 1.0),
            peak_rate: 1.0,
            long_share: 0.05,
            long_factor: Box::new(|_| 1.0),
            skip_long: false,
            unseen_paths: false,
            deadlines: DEADLINES_S,
            speeds: vec![1.0],
            slots: 6,
            limit: None,
            reclassify: true,
            classifier: classifier::Settings::default(),
            queue: queue::Settings::default(),
            ingresses: 1,
            balance: balance::Settings::default(),
            classes_at_ingress: true,
            reports: vec![Report::True],
            eject: None,
            retry: retry::Settings {
                max_attempts: 1,
                ..retry::Settings::default()
            },
            budget: retry::RetryBudgetSettings::default(),
            faults: Faults::default(),
            bad_callers: BadCallers::default(),
        }
    }
}

/// A randomly drawn request.
pub struct DrawnRequest {
    /// Whether the request is long.
    pub is_long: bool,
    /// Service time at speed 1 in seconds.
    pub work: f64,
    /// Request path.
    pub path: String,
    /// Time to the deadline, or to the cancellation by the caller, in seconds.
    pub deadline: f64,
    /// Whether the target rejects the request as invalid.
    pub caller_fault: bool,
    /// Whether the request comes from a bad caller, and is not counted in the results.
    pub bad: bool,
    /// How the attempt ends if the request is not finished at `deadline`.
    pub end_at_deadline: AttemptEnd,
}

impl Scenario {
    /// Returns the total capacity of the targets in requests per second.
    pub fn capacity(&self) -> f64 {
        let speed: f64 = self.speeds.iter().sum();
        let mean = SHORT_S + self.long_share * (LONG_S - SHORT_S);
        speed * self.slots as f64 / mean
    }

    /// Sets a constant load as a share of the capacity.
    pub fn with_load(mut self, load: f64) -> Self {
        let rate = load * self.capacity();
        self.peak_rate = rate;
        self.rate = Box::new(move |_| rate);
        self
    }

    /// Draws a request. Each draw consumes the same number of random values, so that runs with the
    /// same seed receive the same requests under all policies.
    pub fn draw(&self, now: f64, rng: &mut StdRng) -> DrawnRequest {
        let [kind, path_seed, size, caller, name_seed]: [f64; 5] = rng.random();
        let is_long = kind < self.long_share * (self.long_factor)(now);
        // Half of the service time is constant and half is exponentially distributed.
        let spread = 0.5 - 0.5 * (1.0 - size).ln();
        let (path, work) = if is_long {
            (self.long_path(name_seed), LONG_S * spread)
        } else {
            let index = (path_seed * SHORT_PATHS.len() as f64) as usize;
            let (path, factor) = SHORT_PATHS[index];
            (path.to_owned(), SHORT_S * factor * spread)
        };
        let deadline = if is_long {
            self.deadlines.1
        } else {
            self.deadlines.0
        };
        let mut drawn = DrawnRequest {
            is_long,
            work,
            path,
            deadline,
            caller_fault: false,
            bad: false,
            end_at_deadline: AttemptEnd::DeadlineExceeded { enough_time: true },
        };
        self.apply_bad_callers(now, caller, &mut drawn);
        drawn
    }

    fn long_path(&self, name_seed: f64) -> String {
        if !self.unseen_paths {
            return "/library/slides/4711.pptx".to_owned();
        }
        let letter = |position: i32| {
            let digit = (name_seed * 26f64.powi(position)).fract() * 26.0;
            char::from(b'a' + digit as u8)
        };
        let name: String = (0..6).map(letter).collect();
        format!("/library/slides/{name}")
    }

    /// Turns a request into one of a bad caller with the configured probability, while bad callers
    /// are active.
    fn apply_bad_callers(&self, now: f64, random: f64, drawn: &mut DrawnRequest) {
        let bad = &self.bad_callers;
        if !(bad.period_s.0..bad.period_s.1).contains(&now) {
            return;
        }
        let short_deadline_threshold = bad.invalid_share + bad.impatient_share / 2.0;
        drawn.bad = random < bad.invalid_share + bad.impatient_share;
        if random < bad.invalid_share {
            drawn.caller_fault = true;
        } else if random < short_deadline_threshold {
            drawn.deadline = drawn.work / 4.0;
            drawn.end_at_deadline = AttemptEnd::DeadlineExceeded { enough_time: false };
        } else if random < bad.invalid_share + bad.impatient_share {
            drawn.deadline = drawn.work / 2.0;
            drawn.end_at_deadline = AttemptEnd::CallerDisconnected;
        }
    }
}
