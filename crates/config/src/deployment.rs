//! The deployment configuration that operators declare.

use std::time::Duration;

pub use crate::fault::Fault;

/// The most shards that all services may have together; the assignment table has the same bound.
pub const MAX_SHARDS: usize = 65_536;

/// The most services. The table holds every service that was ever declared.
pub const MAX_SERVICES: usize = 1_024;

/// The whole deployment configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// Services in the order of the text.
    pub services: Vec<Service>,
    /// Routes. With none, the path prefixes of the services decide.
    pub routes: Vec<Route>,
    /// Rules for all services.
    pub rules: Rules,
}

/// Requests of one host and path prefix, and where they go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that the request names; the port is not compared.
    pub host: String,
    /// Path prefix, which begins and ends with a slash. The longest that fits decides.
    pub prefix: String,
    /// Services that share the requests, by weight. A weight of 0 gets none.
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time for a request.
    pub timeout: Duration,
    /// Time within which an answer is worth most; zero when there is none.
    pub objective: Duration,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
}

/// A service's part of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name; letters, digits, dashes and underscores.
    pub name: String,
    /// Path prefixes; the longest that fits decides.
    pub paths: Vec<String>,
    /// Where the key stands, for a service that is divided by key.
    pub key: Option<KeySource>,
    /// Number of shards, a power of two; 0 for a service that is not divided by key.
    pub shards: u32,
    /// Methods that may run at most once.
    pub non_idempotent: Vec<String>,
    /// Time for a request that names none.
    pub deadline: Duration,
    /// Whether the targets check grants themselves.
    pub targets_check_grants: bool,
    /// WeightedService of the slots that long work may hold, above 0 and at most 1.
    pub long_share: f64,
    /// Requests that may wait for a target.
    pub queue_length: usize,
    /// Retries as a share of recent requests.
    pub retry_budget: f64,
    /// WeightedService of the targets that may be ejected at once.
    pub max_ejected: f64,
}

/// Where a request carries its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// Segment of the path, counted from 1.
    PathSegment(usize),
    /// Parameter of the query.
    QueryParameter(String),
    /// Header, in lower case.
    Header(String),
    /// Header, in lower case, with a number from 0 to 65535. Shards are ranges of such numbers, so
    /// that a target can be granted whole ranges.
    NumericHeader(String),
}

/// Shards of a service whose keys are numbers, unless the configuration says otherwise. Busy keys
/// lie close together: of 200 hot keys in a row, which the platform's sites have, a shard of 128 keys takes
/// a half. A grant names at most one range for each shard, and fewer where neighbours lie at one target;
/// with 1,024 shards the ranges of four targets did not fit their answers after a few changes of the fleet.
pub const NUMERIC_KEY_SHARDS: u32 = 512;

/// Rules for all services.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Targets of one service that may be draining or away by command at once.
    pub max_draining: usize,
    /// Shards that the planner moves in one round.
    pub moves_per_round: usize,
    /// Excess of the busiest target over the mean below which the planner moves nothing.
    pub imbalance_tolerance: f64,
    /// Names of the VMs whose targets an operator took away, in alphabetical order.
    pub away: Vec<String>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: String::new(),
            paths: Vec::new(),
            key: None,
            shards: 0,
            non_idempotent: vec!["POST".into(), "PATCH".into()],
            deadline: Duration::from_secs(2),
            targets_check_grants: false,
            long_share: 0.8,
            queue_length: 200,
            retry_budget: 0.1,
            max_ejected: 0.34,
        }
    }
}

impl Default for Route {
    fn default() -> Self {
        Self {
            name: String::new(),
            host: String::new(),
            prefix: "/".into(),
            services: Vec::new(),
            idempotent: false,
            timeout: Duration::from_secs(2),
            objective: Duration::ZERO,
            max_attempts: 1,
            priority: 0,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            max_draining: 1,
            moves_per_round: 8,
            imbalance_tolerance: 0.15,
            away: Vec::new(),
        }
    }
}
