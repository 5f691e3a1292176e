//! Settings of one daemon, read from an INI file at its start.

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

/// Who the daemon is.
#[derive(Debug, Clone)]
pub struct Daemon {
    /// Name of the VM.
    pub name: String,
    /// Region of the VM.
    pub region: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Threads: 1 for a VM whose share of a core leaves no use for more, 0 for one per core.
    pub threads: usize,
    /// Longest time that a drain waits for running requests.
    pub drain_timeout: Duration,
    /// Time after the signal to stop for which requests are still taken, so that callers have time
    /// to learn that the daemon is not ready any more.
    pub linger: Duration,
    /// Peers' ports of other daemons, asked for table and configuration when the daemon starts
    /// while the platform's service does not answer.
    pub seeds: Vec<SocketAddr>,
}

/// Ports of the daemon.
#[derive(Debug, Clone)]
pub struct Listen {
    /// Callers' port.
    pub callers: SocketAddr,
    /// Peers' port.
    pub peers: SocketAddr,
    /// Address that other daemons use for the peers' port, when it differs.
    pub peers_advertised: Option<SocketAddr>,
    /// Operators' port.
    pub operators: SocketAddr,
    /// Port on which the target beside the daemon announces itself: a loopback address, or the
    /// address of the VM where the platform keeps all others from it.
    pub announce: SocketAddr,
}

/// The platform's key-value service.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Address of the service.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

/// Timing of the peer lease.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Length of a lease.
    pub duration: Duration,
    /// Time between two renewals; at most a third of the length.
    pub renew_interval: Duration,
    /// Largest difference in rate between two VMs' clocks, in parts per million.
    pub drift_ppm: u32,
    /// Further wait of a new owner after an unplanned loss, for targets that do not check grants.
    pub settle_delay: Duration,
    /// Longest grant that a target takes as the answer to a report.
    pub longest_grant: Duration,
    /// Time that a new service waits for its targets before its shards get their first owners.
    pub gather_delay: Duration,
}

/// Bounds on what others may ask of the daemon.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest sum of header names and values of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Upper bound of every service's queue length.
    pub queue_length: usize,
    /// Connections of callers.
    pub connections: usize,
    /// Requests of callers in progress.
    pub requests: usize,
    /// Rate of the VM's link in Mbit/s; 0 for one that is never short.
    pub link_mbps: f64,
    /// Time after which a connection with requests outstanding and no frame is pinged.
    pub ping_after: Duration,
    /// Time to wait for the answer to a ping before the connection is retired.
    pub ping_timeout: Duration,
}

/// Shared secrets. [`std::fmt::Debug`] prints neither.
#[derive(Clone, Default)]
pub struct Secret {
    /// Secret of the daemons.
    pub peers: String,
    /// Secret of the operators.
    pub operators: String,
}

/// The target beside the daemon, as far as the settings name it.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// Name of its service. Reports of any other are not believed; empty when it is not known.
    pub service: String,
    /// Its address. Reports that name another one are not believed.
    pub address: Option<SocketAddr>,
}

/// Retries that all daemons share.
#[derive(Debug, Clone)]
pub struct Retries {
    /// Retries as a share of recent requests, in place of each service's own.
    pub share: Option<f64>,
    /// Retries in each window beyond the share of each service, for the whole fleet.
    pub reserve: u32,
    /// Length of the window.
    pub window: Duration,
}

/// Choice of a target for services that are not divided by key.
#[derive(Debug, Clone)]
pub struct Placing {
    /// Time for which an answer may be held up to keep a kilobyte of it in the data centre.
    pub remote_penalty_per_kb: Duration,
}

/// Logging.
#[derive(Debug, Clone)]
pub struct Log {
    /// Level for all modules without one of their own.
    pub level: String,
    /// Module path and level.
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
        }
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
