//! Metrics in the OpenMetrics text format.
//!
//! Every label set is bounded: service names come from the configuration, and all other label
//! values from fixed sets.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS_S: [f64; 14] = [
    0.0001, 0.0003, 0.001, 0.002, 0.005, 0.009, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0, 60.0,
];

/// Labels of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the service, or `none`.
    pub service: String,
    /// `answered`, `cut` (the response was truncated), `cancelled` or the verdict of a failure.
    pub outcome: &'static str,
}

/// Label of refusals, failures and retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// [`masticdeal_wire::peer::Reason::as_str`].
    pub reason: &'static str,
}

/// Labels of requests that the owner admitted or refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionLabels {
    /// `first` or `returning`.
    pub age: &'static str,
    /// `admitted` or `refused`.
    pub outcome: &'static str,
}

/// Label of connections and platform calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Kind; see [`Metrics::connections`] and [`masticdeal_platform::CallKind::as_str`].
    pub kind: &'static str,
}

/// Label of attempts without a response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `withdrawn`, `waiting` or `unknown`.
    pub outcome: &'static str,
}

/// Labels of swaps of the assignment table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SwapLabels {
    /// [`masticdeal_ownership::swap_cause::SwapCause::as_str`].
    pub cause: &'static str,
    /// [`masticdeal_ownership::lease::Outcome::as_str`].
    pub outcome: &'static str,
}

type SignedGauge = Gauge<i64, std::sync::atomic::AtomicI64>;

/// All metrics of a daemon.
pub struct Metrics {
    registry: Registry,
    /// Callers' requests, by service and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Failure responses to callers, by reason.
    pub failures: Family<ReasonLabel, Counter>,
    /// Requests refused by this daemon as the owner, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Requests that this daemon started or refused as the owner, by age and outcome. Counted only
    /// where returning requests are recognised.
    pub admissions: Family<AdmissionLabels, Counter>,
    /// Waiting time in the owner's queue.
    pub queue_time: Histogram,
    /// Time from the write to the target to the end of its response.
    pub service_time: Histogram,
    /// Time from the write to the owner's daemon to the head of its response.
    pub hop_time: Histogram,
    /// Retries of the ingress, by the reason of the failed attempt.
    pub retries: Family<ReasonLabel, Counter>,
    /// Bytes read from control connections.
    pub control_in: Counter<u64, AtomicU64>,
    /// Bytes written to control connections.
    pub control_out: Counter<u64, AtomicU64>,
    /// Open connections, by kind: `caller`, `peer-in`, `peer-out`, `target`.
    pub connections: Family<KindLabel, SignedGauge>,
    /// Connections between daemons on which the peer sent nothing after a ping, by kind. Those of
    /// kind `peer-out` turned suspect. Those of kind `peer-in` stay open while requests on them can
    /// be answered.
    pub silent_connections: Family<KindLabel, Counter>,
    /// Attempts on connections that turned suspect or ended, by outcome: `withdrawn` (not run),
    /// `waiting` for their responses, or `unknown`.
    pub attempts_without_response: Family<OutcomeLabel, Counter>,
    /// Queries to peers about attempts without a response.
    pub attempt_queries: Counter,
    /// Calls to the platform's store, by kind, as counted by the platform client.
    pub platform_calls: Family<KindLabel, Counter>,
    /// Swaps of the assignment table that this daemon tried, by cause and outcome.
    pub table_swaps: Family<SwapLabels, Counter>,
    /// Whether the target is cold: 0 or 1.
    pub target_cold: SignedGauge,
    /// How long ago this daemon knew that its configuration was the newest; NaN if it never did.
    pub config_age: Gauge<f64, AtomicU64>,
    /// Number of evacuated data centres that this daemon knows of.
    pub evacuated_data_centres: SignedGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let new_histogram = || Histogram::new(TIME_BUCKETS_S);
        let mut metrics = Self {
            registry: Registry::with_prefix("masticdeal"),
            requests: Family::default(),
            failures: Family::default(),
            refusals: Family::default(),
            admissions: Family::default(),
            queue_time: new_histogram(),
            service_time: new_histogram(),
            hop_time: new_histogram(),
            retries: Family::default(),
            control_in: Counter::default(),
            control_out: Counter::default(),
            connections: Family::default(),
            silent_connections: Family::default(),
            attempts_without_response: Family::default(),
            attempt_queries: Counter::default(),
            platform_calls: Family::default(),
            table_swaps: Family::default(),
            target_cold: SignedGauge::default(),
            config_age: Gauge::default(),
            evacuated_data_centres: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests of callers", self.requests.clone());
        r.register(
            "failures",
            "Failures towards callers",
            self.failures.clone(),
        );
        r.register("refusals", "Refusals of the owner", self.refusals.clone());
        r.register(
            "admissions",
            "Requests at the owner by age and outcome",
            self.admissions.clone(),
        );
        r.register(
            "retries",
            "Further attempts of the ingress",
            self.retries.clone(),
        );
        r.register("connections", "Open connections", self.connections.clone());
        r.register(
            "silent_connections",
            "Connections that received nothing after a ping",
            self.silent_connections.clone(),
        );
        r.register(
            "attempts_without_response",
            "Attempts on connections that turned suspect or ended",
            self.attempts_without_response.clone(),
        );
        r.register(
            "attempt_queries",
            "Queries to peers about attempts without a response",
            self.attempt_queries.clone(),
        );
        r.register(
            "platform_calls",
            "Calls of the platform",
            self.platform_calls.clone(),
        );
        r.register(
            "table_swaps",
            "Swaps of the assignment table",
            self.table_swaps.clone(),
        );
        r.register(
            "target_cold",
            "Whether the target is cold",
            self.target_cold.clone(),
        );
        r.register_with_unit(
            "config_age",
            "Time since the configuration was known to be the newest",
            Unit::Seconds,
            self.config_age.clone(),
        );
        r.register(
            "evacuated_data_centres",
            "Data centres that operators evacuated",
            self.evacuated_data_centres.clone(),
        );
        let register_bytes = |r: &mut Registry, name: &str, help: &str, counter: &Counter| {
            r.register_with_unit(name, help, Unit::Bytes, counter.clone());
        };
        register_bytes(
            r,
            "control_in",
            "Read from control connections",
            &self.control_in,
        );
        register_bytes(
            r,
            "control_out",
            "Written to control connections",
            &self.control_out,
        );
        let register_time = |r: &mut Registry, name: &str, help: &str, histogram: &Histogram| {
            r.register_with_unit(name, help, Unit::Seconds, histogram.clone());
        };
        register_time(
            r,
            "queue_time",
            "Time in the owner's queue",
            &self.queue_time,
        );
        register_time(r, "service_time", "Time at the target", &self.service_time);
        register_time(r, "hop_time", "Time at the owner's daemon", &self.hop_time);
    }

    /// Returns the registry, to add the metrics of another part of the daemon.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing into a string cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Counts an open connection of this kind until the guard is dropped.
    pub fn track_connection(&self, kind: &'static str) -> ConnectionGuard {
        let gauge = self.connections.get_or_create(&KindLabel { kind }).clone();
        gauge.inc();
        ConnectionGuard(gauge)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Guard that counts one open connection.
#[derive(Debug)]
pub struct ConnectionGuard(SignedGauge);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Records a duration in a histogram of seconds.
pub fn observe_duration(histogram: &Histogram, duration: Duration) {
    histogram.observe(duration.as_secs_f64());
}
