//! Data model of the deployment configuration.

use std::time::Duration;

pub use crate::fault::Fault;

/// Maximum total number of shards of all services. The assignment table has the same limit.
pub const MAX_SHARDS: usize = 65_536;

/// Maximum number of services. The assignment table keeps every service that was ever declared.
pub const MAX_SERVICES: usize = 1_024;

/// Deployment configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// Services, in text order.
    pub services: Vec<Service>,
    /// Routes, which the INI format does not contain. If there are none, requests are routed by the
    /// path prefixes of the services.
    pub routes: Vec<Route>,
    /// Rules for all services.
    pub rules: Rules,
}

/// Assigns the requests of one host and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name; the port of the `host` header is ignored.
    pub host: String,
    /// Path prefix, which starts and ends with a slash. The longest match applies.
    pub prefix: String,
    /// Services that share the requests in proportion to their weights.
    pub services: Vec<WeightedService>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Upper bound of the duration of a request.
    pub timeout: Duration,
    /// Latency objective of a response; zero if there is none.
    pub objective: Duration,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// Service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Relative share of the requests; 0 for none.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name; letters, digits, dashes and underscores.
    pub name: String,
    /// Path prefixes; the longest match over all services applies.
    pub paths: Vec<String>,
    /// Source of the request key; `None` for an unsharded service.
    pub key: Option<KeySource>,
    /// Number of shards, a power of two; 0 for an unsharded service.
    pub shards: u32,
    /// Methods whose requests must not be executed more than once.
    pub non_idempotent: Vec<String>,
    /// Time limit of a request that does not set a deadline.
    pub deadline: Duration,
    /// Whether the targets check grants.
    pub targets_check_grants: bool,
    /// Maximum fraction of the slots used by long requests, above 0 and at most 1.
    pub long_share: f64,
    /// Maximum number of requests that wait for a target.
    pub queue_length: usize,
    /// Retries as a fraction of recent requests.
    pub retry_budget: f64,
    /// Maximum fraction of the targets that are ejected at the same time.
    pub max_ejected: f64,
    /// Time for which a target is cold after its start.
    pub cold_start: Duration,
    /// Number of requests a second that a cold target can handle; 0 if there is no limit. The INI
    /// format does not contain it.
    pub cold_requests_per_s: f64,
}

/// Part of a request that carries its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// Path segment, counted from 1.
    PathSegment(usize),
    /// Query parameter.
    QueryParameter(String),
    /// Header; the name is in lower case.
    Header(String),
    /// Header with a number from 0 to 65535; the name is in lower case. Each shard is a range of
    /// numbers, so that a grant can cover a range of shards.
    NumericHeader(String),
}

/// Default number of shards of a service with numeric keys, which gives shards of 128 keys.
///
/// Hot keys are adjacent: of the 200 consecutive hot keys at the platform's sites, one shard of 128
/// keys takes half. More shards make grants larger: a grant lists one range per group of adjacent
/// shards at the same target, at most one per shard. With 1,024 shards, the ranges of four targets
/// did not fit into their replies after a few changes of the fleet.
pub const NUMERIC_KEY_SHARDS: u32 = 512;

/// Maximum number of shards of a service with numeric keys, which gives shards of 16 keys.
const MAX_NUMERIC_KEY_SHARDS: u32 = 4_096;

/// Shards of a service with numeric keys per write that the platform store accepts per second. The
/// stores of fleets of 71 and of 196 daemons accept 1,200 and 3,200 writes per second; with 2,048 and
/// 4,096 shards, each target of their sharded services owns 52 and 38.
const SHARDS_PER_WRITE_RATE: f64 = 1.25;

/// Returns the number of shards of a service with numeric keys in a fleet whose store accepts
/// `writes_per_s`, 0 if unknown. Grants stay small in a larger fleet, since its shards have more
/// owners.
pub fn numeric_key_shards(writes_per_s: u32) -> u32 {
    let shards = (f64::from(writes_per_s) * SHARDS_PER_WRITE_RATE) as u32;
    let shards = shards.checked_next_power_of_two().unwrap_or(u32::MAX);
    shards.clamp(NUMERIC_KEY_SHARDS, MAX_NUMERIC_KEY_SHARDS)
}

/// Rules for all services.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Maximum number of targets of one service that are draining or taken out of service by
    /// command at the same time.
    pub max_draining: usize,
    /// Maximum number of shards that the planner moves in one round.
    pub moves_per_round: usize,
    /// Relative excess of the busiest target's load over the mean, up to which the planner moves
    /// nothing.
    pub imbalance_tolerance: f64,
    /// Names of the VMs whose targets an operator took out of service, sorted.
    pub away: Vec<String>,
    /// Names of the data centres that an operator evacuated, sorted.
    pub evacuated: Vec<String>,
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
            cold_start: Duration::ZERO,
            cold_requests_per_s: 0.0,
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
            evacuated: Vec::new(),
        }
    }
}
