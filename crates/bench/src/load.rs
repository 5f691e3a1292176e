//! Open-loop load generator. The due time of a request does not depend on earlier responses, and
//! its latency is measured from the due time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use masticdeal_policy::Verdict;
use masticdeal_wire::headers;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::sync::Semaphore;
use xxhash_rust::xxh3::xxh3_64;

use crate::http1::{self, Client};
use crate::payload;
use crate::records::{ObservedResult, Outcome, time_since_boot_us};

/// Number of hot keys, as given in the conditions of the deployments.
pub const HOT_KEY_COUNT: usize = 18;

/// A request without a complete response is abandoned after its deadline plus this time, counted
/// from the sending.
pub const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Upper bound of the latency histogram: one hour in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Service of the mix and the addresses for its requests.
#[derive(Debug, Clone)]
pub struct MixEntry {
    /// Name of the service, also the first segment of the path.
    pub name: String,
    /// Weight in the mix.
    pub weight: f64,
    /// Method of its requests.
    pub method: Method,
    /// Addresses that its requests are sent to: caller ports of daemons, or targets.
    pub addresses: Vec<SocketAddr>,
}

/// Parameters of the load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Services of the mix.
    pub services: Vec<MixEntry>,
    /// Requests per second.
    pub rate: f64,
    /// Factor on the rate during the surge.
    pub surge: f64,
    /// Start and end of the surge, from the start of the run.
    pub surge_window: (Duration, Duration),
    /// Duration of the run.
    pub duration: Duration,
    /// Keys per service.
    pub keys: u64,
    /// Share of the requests that go to hot keys.
    pub hot_share: f64,
    /// Interval between changes of the hot keys.
    pub hot_key_period: Duration,
    /// Share of long requests.
    pub long_share: f64,
    /// Service time of long requests.
    pub long_service_time: Duration,
    /// Size of the response to a long request in bytes.
    pub long_response_bytes: usize,
    /// Service time of short requests; `None` for the target's default.
    pub short_service_time: Option<Duration>,
    /// Deadline of short requests.
    pub deadline: Duration,
    /// Deadline of long requests.
    pub long_deadline: Duration,
    /// Maximum number of requests in flight over all services.
    pub max_in_flight: usize,
    /// Seed of arrivals and keys.
    pub seed: u64,
    /// Prefix of request ids.
    pub id_prefix: String,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            rate: 200.0,
            surge: 1.0,
            surge_window: (Duration::ZERO, Duration::ZERO),
            duration: Duration::from_secs(5),
            keys: 100_000,
            hot_share: 0.3,
            hot_key_period: Duration::from_secs(60),
            long_share: 0.0,
            long_service_time: Duration::from_millis(200),
            long_response_bytes: 100_000,
            short_service_time: None,
            deadline: Duration::from_secs(2),
            long_deadline: Duration::from_secs(60),
            max_in_flight: 256,
            seed: 1,
            id_prefix: "r".into(),
        }
    }
}

/// Request with its due time.
#[derive(Debug, Clone)]
struct PlannedRequest {
    id: String,
    service: usize,
    address: SocketAddr,
    key: u64,
    long: bool,
    due: Instant,
    due_us: u64,
}

/// Sends the load until its end or until `stop` is set, waits for the requests in flight and
/// returns the outcome of each request.
pub async fn run(plan: LoadPlan, stop: Arc<AtomicBool>) -> Vec<Outcome> {
    let plan = Arc::new(plan);
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let cx = Arc::new(Sender {
        plan: plan.clone(),
        http: Client::default(),
        permits: Semaphore::new(plan.max_in_flight),
    });
    let handle = tokio::runtime::Handle::current();
    // A separate thread, because the runtime's timer resolution of 1 ms is too coarse for due
    // times.
    let dispatcher = std::thread::spawn(move || {
        let mut generator = RequestGenerator::new(&plan);
        while let Some(planned) = generator.next(&plan) {
            std::thread::sleep(planned.due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let (cx, tx) = (cx.clone(), tx.clone());
            handle.spawn(async move {
                let _ = tx.send(cx.exchange(planned).await);
            });
        }
    });
    let mut outcomes = Vec::new();
    while let Some(outcome) = rx.recv().await {
        outcomes.push(outcome);
    }
    dispatcher.join().expect("dispatcher thread");
    outcomes
}

/// Generates random requests in the order of their due times.
struct RequestGenerator {
    rng: StdRng,
    start: Instant,
    start_us: u64,
    elapsed: Duration,
    count: u64,
}

impl RequestGenerator {
    fn new(plan: &LoadPlan) -> Self {
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            start: Instant::now(),
            start_us: time_since_boot_us(),
            elapsed: Duration::ZERO,
            count: 0,
        }
    }

    fn next(&mut self, plan: &LoadPlan) -> Option<PlannedRequest> {
        let surging = self.elapsed >= plan.surge_window.0 && self.elapsed < plan.surge_window.1;
        let rate = plan.rate * if surging { plan.surge } else { 1.0 };
        let interval = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.elapsed += Duration::from_secs_f64(interval);
        if self.elapsed >= plan.duration {
            return None;
        }
        self.count += 1;
        let service = self.choose_service(plan);
        let addresses = &plan.services[service].addresses;
        Some(PlannedRequest {
            id: format!("{}-{}", plan.id_prefix, self.count),
            service,
            address: addresses[self.rng.random_range(0..addresses.len())],
            key: self.choose_key(plan),
            long: self.rng.random::<f64>() < plan.long_share,
            due: self.start + self.elapsed,
            due_us: self.start_us + self.elapsed.as_micros() as u64,
        })
    }

    fn choose_service(&mut self, plan: &LoadPlan) -> usize {
        let total: f64 = plan.services.iter().map(|s| s.weight).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (index, service) in plan.services.iter().enumerate() {
            remaining -= service.weight;
            if remaining < 0.0 {
                return index;
            }
        }
        plan.services.len() - 1
    }

    /// Chooses a hot key by Zipf's law with probability `hot_share`, otherwise any key uniformly.
    fn choose_key(&mut self, plan: &LoadPlan) -> u64 {
        if self.rng.random::<f64>() >= plan.hot_share {
            return self.rng.random_range(0..plan.keys);
        }
        let total: f64 = (1..=HOT_KEY_COUNT).map(|rank| 1.0 / rank as f64).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        let mut rank = 1;
        while rank < HOT_KEY_COUNT && remaining >= 1.0 / rank as f64 {
            remaining -= 1.0 / rank as f64;
            rank += 1;
        }
        let generation = self.elapsed.as_millis() / plan.hot_key_period.as_millis().max(1);
        xxh3_64(format!("{} {generation} {rank}", plan.seed).as_bytes()) % plan.keys
    }
}

struct Sender {
    plan: Arc<LoadPlan>,
    http: Client,
    permits: Semaphore,
}

impl Sender {
    async fn exchange(&self, planned: PlannedRequest) -> Outcome {
        let service = &self.plan.services[planned.service];
        let mut outcome = Outcome {
            id: planned.id.clone(),
            key: format!("{}/{}", service.name, planned.key),
            idempotent: service.method != Method::POST,
            long: planned.long,
            due_us: planned.due_us,
            took_us: 0,
            seen: ObservedResult::NotSent,
            verdict: None,
            reason: None,
            target: None,
        };
        let deadline = self.deadline(&planned);
        let permit = tokio::time::timeout(deadline, self.permits.acquire()).await;
        if permit.is_ok() {
            let req = self.build_request(&planned, deadline);
            let exchange = self.send_and_classify(req, &mut outcome);
            let result = tokio::time::timeout(deadline + RESPONSE_GRACE, exchange).await;
            if result.is_err() {
                outcome.seen = ObservedResult::Silent;
            }
        }
        outcome.took_us = planned.due.elapsed().as_micros() as u64;
        outcome
    }

    fn deadline(&self, planned: &PlannedRequest) -> Duration {
        match planned.long {
            true => self.plan.long_deadline,
            false => self.plan.deadline,
        }
    }

    fn build_request(
        &self,
        planned: &PlannedRequest,
        deadline: Duration,
    ) -> Request<Full<bytes::Bytes>> {
        let service = &self.plan.services[planned.service];
        let path_suffix = if planned.long { "/full" } else { "" };
        let (address, name, key) = (planned.address, &service.name, planned.key);
        let time_left = deadline.saturating_sub(planned.due.elapsed());
        let mut req = Request::builder()
            .method(service.method.clone())
            .uri(format!("http://{address}/{name}/{key}{path_suffix}"))
            .header(headers::REQUEST_ID, &planned.id)
            .header(headers::DEADLINE_MS, time_left.as_millis() as u64);
        if planned.long {
            req = req
                .header(
                    payload::WORK_MS_HEADER,
                    self.plan.long_service_time.as_millis() as u64,
                )
                .header(
                    payload::RESPONSE_BYTES_HEADER,
                    self.plan.long_response_bytes,
                );
        } else if let Some(service_time) = self.plan.short_service_time {
            req = req.header(payload::WORK_MS_HEADER, service_time.as_millis() as u64);
        }
        req.body(Full::default())
            .expect("request with valid URI and headers")
    }

    async fn send_and_classify(&self, req: Request<Full<bytes::Bytes>>, outcome: &mut Outcome) {
        // Remains if the connection cannot be opened or fails before the response is complete.
        outcome.seen = ObservedResult::Broken;
        match self.http.send_streaming(req).await {
            Ok(res) => classify_response(res, outcome).await,
            Err(e) => outcome.reason = Some(e.to_string()),
        }
    }
}

async fn classify_response(res: Response<Incoming>, outcome: &mut Outcome) {
    let (head, body) = res.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            outcome.reason = Some(e.to_string());
            return;
        }
    };
    let header = |name| http1::header_text(&head.headers, name).map(str::to_owned);
    outcome.target = header(payload::TARGET_HEADER);
    outcome.verdict = header(headers::VERDICT).and_then(|v| Verdict::parse(&v));
    outcome.reason = header(headers::REASON);
    let validation_error = payload::validation_error(&outcome.id, &head.headers, &body);
    outcome.seen = match (head.status.is_success(), outcome.verdict, validation_error) {
        (_, Some(_), _) => ObservedResult::Failed,
        (true, None, None) => ObservedResult::Answered,
        (true, None, Some(_)) => ObservedResult::Wrong,
        (false, None, None) => ObservedResult::TargetError,
        (false, None, Some(_)) => ObservedResult::Unexplained,
    };
    if outcome.seen == ObservedResult::Wrong {
        outcome.reason = validation_error.map(str::to_owned);
    }
    if outcome.seen == ObservedResult::Unexplained {
        outcome.reason = Some(format!("status {}", head.status.as_u16()));
    }
}

/// Latencies in microseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Latency {
    /// Number of responses.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

impl Latency {
    /// Summarises latencies given in microseconds. Those above one hour count as one hour.
    pub fn from_micros(values: impl Iterator<Item = u64>) -> Self {
        let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
        let mut histogram = histogram.expect("valid histogram bounds");
        for value in values {
            histogram.saturating_record(value);
        }
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p90: histogram.value_at_quantile(0.9),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            max: histogram.max(),
        }
    }
}

/// Totals of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Requests that were due.
    pub due: usize,
    /// Requests with a complete and valid response, per second of the run.
    pub goodput: f64,
    /// Number of requests by observed result, verdict and reason.
    pub seen: BTreeMap<String, u64>,
    /// Latency of requests with a complete and valid response, by service. Long requests of a
    /// service have their own entry.
    pub latency_us: BTreeMap<String, Latency>,
}

impl Summary {
    /// Summarises the outcomes of a run.
    pub fn from_outcomes(outcomes: &[Outcome], duration: Duration) -> Self {
        let answered: Vec<_> = outcomes
            .iter()
            .filter(|o| o.seen == ObservedResult::Answered)
            .collect();
        let mut seen = BTreeMap::new();
        for outcome in outcomes {
            *seen.entry(outcome_label(outcome)).or_default() += 1;
        }
        let mut groups: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for outcome in &answered {
            groups
                .entry(latency_group(outcome))
                .or_default()
                .push(outcome.took_us);
        }
        let latencies = groups
            .into_iter()
            .map(|(name, v)| (name, Latency::from_micros(v.into_iter())));
        Self {
            due: outcomes.len(),
            goodput: answered.len() as f64 / duration.as_secs_f64(),
            seen,
            latency_us: latencies.collect(),
        }
    }
}

fn latency_group(outcome: &Outcome) -> String {
    let service = outcome.key.split('/').next().unwrap_or("");
    match outcome.long {
        true => format!("{service} long"),
        false => service.to_owned(),
    }
}

fn outcome_label(outcome: &Outcome) -> String {
    let seen = serde_json::to_value(outcome.seen).unwrap_or_default();
    let mut label = seen.as_str().unwrap_or("").to_owned();
    if let Some(verdict) = outcome.verdict {
        label = format!("{label} {verdict}");
    }
    match &outcome.reason {
        Some(reason) => format!("{label} {reason}"),
        None => label,
    }
}
