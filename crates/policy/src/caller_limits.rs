//! Recognition of requests that return after a refusal, by the time limits that callers send.
//!
//! Each attempt of a caller has a new id, but its time limit is the time that the caller has left.
//! [`CallerLimits`] learns the limits of first attempts on each route. A request with a clearly
//! lower limit is a returning one, and the difference is its age.
//!
//! The limits are learned while no request of the route is refused, since all requests are then
//! first attempts. Without samples every request counts as a first attempt.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time after a refusal in which its caller may return.
const RETURN_WINDOW: Duration = Duration::from_secs(2);

/// Number of samples from which the limits of a route are known.
const MIN_SAMPLES: usize = 8;

/// Maximum number of samples of a route. The newest ones are kept.
const MAX_SAMPLES: usize = 64;

/// Maximum number of routes. Further ones are not learned.
const MAX_ROUTES: usize = 64;

/// Factor on the 10th percentile of the samples below which a limit is that of a returning request.
const RETURNING_BELOW: f64 = 0.95;

/// Lowest ratio of the 10th to the 90th percentile at which limits tell the age. A caller waits at
/// most a third of the time that it has left. A lower ratio therefore means that the route has
/// callers of several kinds, whose first attempts can't be told from returning requests.
const MIN_RATIO: f64 = 2.0 / 3.0;

/// Pause in learning whose end is worth a log line.
const LONG_PAUSE: Duration = Duration::from_secs(10);

/// Shares of its remaining time for which a refused caller should wait if there is no capacity for it
/// within the objective. The upper one is the longest wait that callers accept.
const SPREAD: (f64, f64) = (0.25, 1.0 / 3.0);

/// What the limit of an arriving request tells.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Arrival {
    /// Time since the caller's first attempt; zero for a first attempt.
    pub age: Duration,
    /// Whether returning requests of the route can be recognised.
    pub is_recognisable: bool,
    /// Change in learning to be logged.
    pub event: Option<Event>,
}

/// Change in the learning of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// The limits have become known.
    Known(Limits),
    /// A sample was taken after a pause of this length.
    Resumed(Duration),
}

/// Limits of the first attempts on a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Median of the samples.
    pub median: Duration,
    /// 10th percentile of the samples.
    pub low: Duration,
    /// 90th percentile of the samples.
    pub high: Duration,
}

impl Limits {
    fn new(samples: &VecDeque<Duration>) -> Option<Self> {
        let mut sorted: Vec<_> = samples.iter().copied().collect();
        sorted.sort_unstable();
        (sorted.len() >= MIN_SAMPLES).then(|| Self {
            median: sorted[sorted.len() / 2],
            low: sorted[(sorted.len() - 1) / 10],
            high: sorted[((sorted.len() - 1) * 9).div_ceil(10)],
        })
    }

    /// Returns whether returning requests can be recognised by their limits.
    pub fn is_recognisable(&self) -> bool {
        self.low >= self.high.mul_f64(MIN_RATIO)
    }

    /// Returns the limit below which a request is a returning one.
    pub fn returning_below(&self) -> Duration {
        self.low.mul_f64(RETURNING_BELOW)
    }

    /// Returns the time since the first attempt of a caller with this limit.
    fn age(&self, limit: Duration) -> Duration {
        if self.is_recognisable() && limit < self.returning_below() {
            self.median.saturating_sub(limit)
        } else {
            Duration::ZERO
        }
    }
}

/// Learned limits of all routes of one target.
#[derive(Debug, Default)]
pub struct CallerLimits {
    routes: HashMap<String, Route>,
}

#[derive(Debug, Default)]
struct Route {
    /// Limits of first attempts, oldest first.
    samples: VecDeque<Duration>,
    limits: Option<Limits>,
    last_refusal: Option<Duration>,
    /// First refusal since the last sample.
    paused_since: Option<Duration>,
}

impl CallerLimits {
    /// Records a request and returns what its limit tells. `limit` is the time limit as the caller
    /// sent it.
    pub fn record_arrival(
        &mut self,
        now: Duration,
        route: &str,
        limit: Option<Duration>,
    ) -> Arrival {
        let (Some(limit), Some(route)) = (limit, self.route_mut(route)) else {
            return Arrival::default();
        };
        let known = route.limits;
        Arrival {
            age: known.map_or(Duration::ZERO, |limits| limits.age(limit)),
            is_recognisable: known.is_some_and(|limits| limits.is_recognisable()),
            event: route.learn(now, limit),
        }
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self, now: Duration, route: &str) {
        if let Some(route) = self.route_mut(route) {
            route.last_refusal = Some(now);
            route.paused_since.get_or_insert(now);
        }
    }

    /// Returns the routes whose limits are known, by name.
    pub fn known(&self) -> Vec<(&str, Limits)> {
        let mut known: Vec<_> = self
            .routes
            .iter()
            .filter_map(|(name, route)| Some((name.as_str(), route.limits?)))
            .collect();
        known.sort_unstable_by_key(|(name, _)| *name);
        known
    }

    fn route_mut(&mut self, name: &str) -> Option<&mut Route> {
        if !self.routes.contains_key(name) {
            if self.routes.len() >= MAX_ROUTES {
                return None;
            }
            self.routes.insert(name.to_owned(), Route::default());
        }
        self.routes.get_mut(name)
    }
}

impl Route {
    /// Takes the limit as a sample unless its caller may be a refused one.
    fn learn(&mut self, now: Duration, limit: Duration) -> Option<Event> {
        if self.last_refusal.is_some_and(|at| now < at + RETURN_WINDOW) {
            return None;
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(limit);
        let was_known = self.limits.is_some();
        self.limits = Limits::new(&self.samples);
        let pause = self.paused_since.take().map(|at| now.saturating_sub(at));
        match self.limits {
            Some(limits) if !was_known => Some(Event::Known(limits)),
            _ => pause.filter(|p| *p > LONG_PAUSE).map(Event::Resumed),
        }
    }
}

/// A refused request, to advise its caller when to retry.
#[derive(Debug, Clone, Copy)]
pub struct RefusedCaller {
    /// Time in which capacity is expected.
    pub capacity_in: Duration,
    /// Time in which the request must start to meet its objective.
    pub start_within: Duration,
    /// Time that the caller has left; `None` if it is not known or if a returning request of its
    /// route would not be recognised.
    pub time_left: Option<Duration>,
}

impl RefusedCaller {
    /// Returns the time after which the caller should retry. `random` is uniform in 0 to 1 and keeps
    /// callers apart that were refused together.
    ///
    /// A caller that can't be in time is spread over its remaining time, so that its retry meets
    /// spare capacity and not the next requests that could still be in time.
    pub fn retry_after(&self, random: f64) -> Duration {
        let random = random.clamp(0.0, 1.0);
        match self.time_left {
            Some(left) if self.capacity_in > self.start_within => {
                left.mul_f64(SPREAD.0 + (SPREAD.1 - SPREAD.0) * random)
            }
            _ => self.capacity_in.mul_f64(0.5 + 0.5 * random),
        }
    }
}
