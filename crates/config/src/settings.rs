//! Settings of one daemon, read from an INI file at startup.

use std::net::SocketAddr;
use std::time::Duration;

pub use crate::fault::Fault;

/// All settings of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Section `[daemon]`.
    pub daemon: Daemon,
    /// Section `[listen]`.
    pub listen: Listen,
    /// Section `[platform]`.
    pub platform: Platform,
    /// Section `[lease]`.
    pub lease: Lease,
    /// Section `[limits]`.
    pub limits: Limits,
    /// Section `[secret]`.
    pub secret: Secret,
    /// Section `[log]`.
    pub log: Log,
    /// Section `[target]`.
    pub target: Target,
    /// Section `[retries]`.
    pub retries: Retries,
    /// Section `[placing]`.
    pub placing: Placing,
}

/// Identity and process settings of the daemon.
#[derive(Debug, Clone)]
pub struct Daemon {
    /// Name of the VM.
    pub name: String,
    /// Region of the VM.
    pub region: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Worker threads: 0 for one per core, 1 for a VM that has only a fraction of a core.
    pub threads: usize,
    /// Upper bound of the time that a drain waits for running requests.
    pub drain_timeout: Duration,
    /// Time after the stop signal during which new requests are still accepted, so that callers can
    /// notice that the daemon is no longer ready.
    pub linger: Duration,
    /// Peer ports of other daemons. The daemon loads table and configuration from them if the
    /// platform store does not respond at startup.
    pub seeds: Vec<SocketAddr>,
    /// Time after an operator's request to evacuate a data centre from which no request may reach its
    /// targets. `None` if the platform's store has no such requests; requests in the configuration then
    /// have the default limit.
    pub evacuation: Option<Duration>,
}

/// Addresses on which the daemon listens.
#[derive(Debug, Clone)]
pub struct Listen {
    /// Caller port.
    pub callers: SocketAddr,
    /// Peer port.
    pub peers: SocketAddr,
    /// Address under which other daemons reach the peer port, if it differs from `peers`.
    pub peers_advertised: Option<SocketAddr>,
    /// Operator port.
    pub operators: SocketAddr,
    /// Announce port, on which the target of the same VM announces itself. A loopback address, or
    /// the address of the VM if the platform blocks access to the port from elsewhere.
    pub announce: SocketAddr,
}

/// Access to the platform store, the platform's key-value service.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of one request.
    pub timeout: Duration,
    /// Writes per second that the store accepts from all daemons; 0 if unknown. The store of a larger
    /// fleet accepts more, and services with numeric keys are then divided more finely.
    pub writes_per_s: u32,
}

/// Timing of the peer lease.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Validity of a lease after a renewal.
    pub duration: Duration,
    /// Time between two renewals; at most a third of `duration`.
    pub renew_interval: Duration,
    /// Upper bound of the rate difference between the clocks of two VMs, in parts per million.
    pub drift_ppm: u32,
    /// Extra wait of a new owner after an unplanned loss, for targets that do not check grants.
    pub settle_delay: Duration,
    /// Maximum duration of a grant sent in the reply to a target's report.
    pub longest_grant: Duration,
    /// Time that a new service waits for its targets before the first assignment of its shards.
    pub gather_delay: Duration,
}

/// Resource limits of the daemon.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum total size of the header names and values of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Upper bound of the queue length of every service.
    pub queue_length: usize,
    /// Maximum number of caller connections.
    pub connections: usize,
    /// Maximum number of caller requests in progress.
    pub requests: usize,
    /// Bandwidth of the VM's link in Mbit/s; 0 if the link is never a bottleneck.
    pub link_mbps: f64,
    /// Time without a received byte after which a connection with outstanding requests is pinged.
    pub ping_after: Duration,
    /// Time without a received byte after the ping until the connection is considered dead.
    pub ping_timeout: Duration,
    /// Whether a request that returns after a refusal is due when its first attempt was, and refused
    /// callers that can't be in time are spread over the time that they have left.
    pub returning_callers: bool,
}

/// Shared secrets, which the [`std::fmt::Debug`] output omits.
#[derive(Clone, Default)]
pub struct Secret {
    /// Secret of the daemons.
    pub peers: String,
    /// Secret of the operators.
    pub operators: String,
}

/// Expected properties of the target on the same VM.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// Name of its service; empty if not configured. Reports for another service are rejected.
    pub service: String,
    /// Its address, if configured. Reports with another address are rejected.
    pub address: Option<SocketAddr>,
}

/// Retry budget of the whole fleet.
#[derive(Debug, Clone)]
pub struct Retries {
    /// Retries as a fraction of recent requests; overrides the `retry_budget` of each service.
    pub share: Option<f64>,
    /// Retries per window that the whole fleet may make in addition to `share`.
    pub reserve: u32,
    /// Length of the window in which retries are counted.
    pub window: Duration,
}

/// Target selection for unsharded services.
#[derive(Debug, Clone)]
pub struct Placing {
    /// Delay that is accepted per kilobyte of response to stay within the data centre.
    pub remote_penalty_per_kb: Duration,
}

/// Logging.
#[derive(Debug, Clone)]
pub struct Log {
    /// Level of all modules that `modules` does not list.
    pub level: String,
    /// Module paths with their levels.
    pub modules: Vec<(String, String)>,
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Default for Daemon {
    fn default() -> Self {
        Self {
            name: "vm-1".into(),
            region: "local".into(),
            data_centre: "dc-a".into(),
            threads: 0,
            drain_timeout: Duration::from_secs(120),
            linger: Duration::ZERO,
            seeds: Vec::new(),
            evacuation: None,
        }
    }
}

impl Listen {
    /// Returns the address under which other daemons reach the peer port.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers_advertised.unwrap_or(self.peers)
    }
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: SocketAddr::from(([127, 0, 0, 1], 7000)),
            peers: SocketAddr::from(([127, 0, 0, 1], 7001)),
            peers_advertised: None,
            operators: SocketAddr::from(([127, 0, 0, 1], 7002)),
            announce: SocketAddr::from(([127, 0, 0, 1], 7003)),
        }
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7100)),
            timeout: Duration::from_millis(500),
            writes_per_s: 0,
        }
    }
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            duration: Duration::from_millis(450),
            renew_interval: Duration::from_millis(150),
            drift_ppm: 20_000,
            settle_delay: Duration::from_millis(100),
            longest_grant: Duration::from_secs(10),
            gather_delay: Duration::from_millis(500),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 32 << 10,
            max_body_bytes: 64 << 20,
            queue_length: 1_000,
            connections: 4_096,
            requests: 8_192,
            link_mbps: 0.0,
            ping_after: Duration::from_millis(300),
            ping_timeout: Duration::from_millis(300),
            returning_callers: false,
        }
    }
}

impl Default for Placing {
    fn default() -> Self {
        Self {
            remote_penalty_per_kb: Duration::from_micros(100),
        }
    }
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            share: None,
            reserve: 0,
            window: Duration::from_secs(10),
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".into(),
            modules: Vec::new(),
        }
    }
}
