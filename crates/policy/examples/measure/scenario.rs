//! What a run simulates: arrivals, targets, faults and the policy's settings.

use masticdeal_policy::balance;
use masticdeal_policy::classifier;
use masticdeal_policy::eject;
use masticdeal_policy::outcome::AttemptEnd;
use masticdeal_policy::queue;
use masticdeal_policy::retry;
use rand::RngExt;
use rand::rngs::StdRng;

/// Mean service time of short work, in seconds.
pub const SHORT: f64 = 0.010;

/// Mean service time of long work, in seconds.
pub const LONG: f64 = 100.0 * SHORT;

/// Deadlines of short and long requests, in seconds.
pub const DEADLINES: (f64, f64) = (0.5, 10.0);

/// Service times of the short shapes, as multiples of [`SHORT`] with a mean of 1.
const SHORT_SHAPES: [(&str, f64); 4] = [
    ("/library/list", 0.6),
    ("/library/session/4711", 0.8),
    ("/library/search", 1.2),
    ("/library/abstract/4711.pdf", 1.4),
];

/// What a target reports as its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Report {
    /// Nothing.
    None,
    /// The share of busy slots.
    True,
    /// That it is idle, whatever it does.
    Idle,
}

/// Faults of one target.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Target that fails; the others never do.
    pub target: usize,
    /// Start and end in seconds.
    pub during: (f64, f64),
    /// Share of its requests that fail.
    pub failing: f64,
    /// Whether all targets fail alike.
    pub all: bool,
}

impl Faults {
    /// Returns the share of requests that fail at a target now.
    pub fn share(&self, now: f64, target: usize) -> f64 {
        let hit = self.all || target == self.target;
        let active = (self.during.0..self.during.1).contains(&now);
        if hit && active { self.failing } else { 0.0 }
    }
}

/// Callers that ask for the impossible.
#[derive(Debug, Clone, Copy, Default)]
pub struct BadCallers {
    /// Start and end in seconds.
    pub during: (f64, f64),
    /// Share of requests that are invalid.
    pub invalid: f64,
    /// Share of requests that are cancelled, or given too little time, half each.
    pub impatient: f64,
}

/// One scenario.
pub struct Scenario {
    /// Length of the arrivals, in seconds.
    pub length: f64,
    /// Requests due before this time are not counted.
    pub warm_up: f64,
    /// Arrivals per second at a time.
    pub rate: Box<dyn Fn(f64) -> f64>,
    /// Upper bound of `rate`.
    pub peak_rate: f64,
    /// Share of long requests.
    pub long: f64,
    /// Factor on the share of long requests at a time.
    pub long_factor: Box<dyn Fn(f64) -> f64>,
    /// Whether long requests are left out, so that only the short ones of the same draw arrive.
    pub skip_long: bool,
    /// Whether each long request has a path that was never seen.
    pub unseen_paths: bool,
    /// Deadlines of short and long requests, in seconds.
    pub deadlines: (f64, f64),
    /// Speed of each target.
    pub speeds: Vec<f64>,
    /// Requests that a target runs at full speed.
    pub slots: usize,
    /// Requests that the queue lets run, if not the slots.
    pub limit: Option<usize>,
    /// Whether running requests are reviewed.
    pub review: bool,
    /// Cost classes of each target.
    pub classifier: classifier::Settings,
    /// Queue of each target.
    pub queue: queue::Settings,
    /// Ingress daemons, each with its own measurements.
    pub ingresses: usize,
    /// Choice of targets.
    pub balance: balance::Settings,
    /// Whether the ingress tells the balancer the class of a request.
    pub classes_at_ingress: bool,
    /// Load reports of the targets in turn.
    pub reports: Vec<Report>,
    /// Ejection, if any.
    pub eject: Option<eject::Settings>,
    /// Retry rule.
    pub retry: retry::Settings,
    /// Retry budget.
    pub budget: retry::RetryBudgetSettings,
    /// Faults of targets.
    pub faults: Faults,
    /// Callers at fault.
    pub bad_callers: BadCallers,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            length: 220.0,
            warm_up: 20.0,
            rate: Box::new(|_| 1.0),
            peak_rate: 1.0,
            long: 0.05,
            long_factor: Box::new(|_| 1.0),
            skip_long: false,
            unseen_paths: false,
            deadlines: DEADLINES,
            speeds: vec![1.0],
            slots: 6,
            limit: None,
            review: true,
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

/// A drawn request.
pub struct Drawn {
    /// Whether it is long.
    pub long: bool,
    /// Service time at speed 1, in seconds.
    pub work: f64,
    /// Request path.
    pub path: String,
    /// Time to the deadline, in seconds.
    pub deadline: f64,
    /// Whether the target rejects it.
    pub caller_fault: bool,
    /// Whether its caller asks for the impossible, so that it counts in no result.
    pub bad: bool,
    /// How it ends when its deadline passes.
    pub at_deadline: AttemptEnd,
}

impl Scenario {
    /// Returns the requests per second that all targets together can run.
    pub fn capacity(&self) -> f64 {
        let speed: f64 = self.speeds.iter().sum();
        let mean = SHORT + self.long * (LONG - SHORT);
        speed * self.slots as f64 / mean
    }

    /// Sets a constant load, as a part of the capacity.
    pub fn with_load(mut self, load: f64) -> Self {
        let rate = load * self.capacity();
        self.peak_rate = rate;
        self.rate = Box::new(move |_| rate);
        self
    }

    /// Draws a request. Each draw takes the same number of random values, so that runs of
    /// different policies with one seed see the same requests.
    pub fn draw(&self, now: f64, rng: &mut StdRng) -> Drawn {
        let [kind, shape, size, caller, word]: [f64; 5] = rng.random();
        let long = kind < self.long * (self.long_factor)(now);
        // Half of the time is fixed and half exponential.
        let spread = 0.5 - 0.5 * (1.0 - size).ln();
        let (path, work) = if long {
            (self.long_path(word), LONG * spread)
        } else {
            let at = (shape * SHORT_SHAPES.len() as f64) as usize;
            let (path, factor) = SHORT_SHAPES[at];
            (path.to_owned(), SHORT * factor * spread)
        };
        let deadline = if long {
            self.deadlines.1
        } else {
            self.deadlines.0
        };
        let mut drawn = Drawn {
            long,
            work,
            path,
            deadline,
            caller_fault: false,
            bad: false,
            at_deadline: AttemptEnd::DeadlineExceeded { enough_time: true },
        };
        self.spoil(now, caller, &mut drawn);
        drawn
    }

    fn long_path(&self, word: f64) -> String {
        if !self.unseen_paths {
            return "/library/slides/4711.pptx".to_owned();
        }
        let letter = |at: i32| {
            let digit = (word * 26f64.powi(at)).fract() * 26.0;
            char::from(b'a' + digit as u8)
        };
        let name: String = (0..6).map(letter).collect();
        format!("/library/slides/{name}")
    }

    /// Turns a request into one of a bad caller.
    fn spoil(&self, now: f64, random: f64, drawn: &mut Drawn) {
        let bad = &self.bad_callers;
        if !(bad.during.0..bad.during.1).contains(&now) {
            return;
        }
        let half = bad.invalid + bad.impatient / 2.0;
        drawn.bad = random < bad.invalid + bad.impatient;
        if random < bad.invalid {
            drawn.caller_fault = true;
        } else if random < half {
            drawn.deadline = drawn.work / 4.0;
            drawn.at_deadline = AttemptEnd::DeadlineExceeded { enough_time: false };
        } else if random < bad.invalid + bad.impatient {
            drawn.deadline = drawn.work / 2.0;
            drawn.at_deadline = AttemptEnd::CallerDisconnected;
        }
    }
}
