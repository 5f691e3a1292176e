//! Open-loop load: every request has a due time that does not depend on earlier answers, and its
//! latency counts from then.

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
use crate::records::{Outcome, Seen, boot_us};

/// Number of hot keys, from the deployments' conditions.
pub const HOT_KEYS: usize = 18;

/// Time past its deadline after which a request without an answer is given up.
pub const GRACE: Duration = Duration::from_secs(2);

/// Largest latency that is told apart, one hour in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Requests to one service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name, also the first segment of the path.
    pub name: String,
    /// Weight in the mix.
    pub weight: f64,
    /// Method of its requests.
    pub method: Method,
    /// Where its requests go; the daemons' callers ports, or targets.
    pub addresses: Vec<SocketAddr>,
}

/// What load to offer.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Services of the mix.
    pub services: Vec<Service>,
    /// Requests per second.
    pub rate: f64,
    /// Factor on the rate during the surge.
    pub surge: f64,
    /// Start and end of the surge, from the start of the run.
    pub surge_at: (Duration, Duration),
    /// Length of the run.
    pub duration: Duration,
    /// Keys per service.
    pub keys: u64,
    /// Share of the requests that go to hot keys.
    pub hot_share: f64,
    /// Time after which other keys are hot.
    pub hot_for: Duration,
    /// Share of long requests.
    pub long_share: f64,
    /// Service time of long requests.
    pub long: Duration,
    /// Length of the answer to a long request in bytes.
    pub long_bytes: usize,
    /// Service time of short requests; `None` leaves it to the target.
    pub work: Option<Duration>,
    /// Deadline of short requests.
    pub deadline: Duration,
    /// Deadline of long requests.
    pub long_deadline: Duration,
    /// Requests in progress at once, over all services.
    pub connections: usize,
    /// Seed of arrivals and keys.
    pub seed: u64,
    /// Prefix of request ids.
    pub prefix: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            rate: 200.0,
            surge: 1.0,
            surge_at: (Duration::ZERO, Duration::ZERO),
            duration: Duration::from_secs(5),
            keys: 100_000,
            hot_share: 0.3,
            hot_for: Duration::from_secs(60),
            long_share: 0.0,
            long: Duration::from_millis(200),
            long_bytes: 100_000,
            work: None,
            deadline: Duration::from_secs(2),
            long_deadline: Duration::from_secs(60),
            connections: 256,
            seed: 1,
            prefix: "r".into(),
        }
    }
}

/// One request to send.
#[derive(Debug, Clone)]
struct Ticket {
    id: String,
    service: usize,
    address: SocketAddr,
    key: u64,
    long: bool,
    due: Instant,
    due_us: u64,
}

/// Offers the load until its end or until `stop` is set, and returns what the callers saw.
pub async fn run(plan: Plan, stop: Arc<AtomicBool>) -> Vec<Outcome> {
    let plan = Arc::new(plan);
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    let cx = Arc::new(Sender {
        plan: plan.clone(),
        http: Client::default(),
        free: Semaphore::new(plan.connections),
    });
    let handle = tokio::runtime::Handle::current();
    // A thread of its own: the timer of the runtime is too coarse for due times, at 1 ms.
    let dispatcher = std::thread::spawn(move || {
        let mut tickets = Tickets::new(&plan);
        while let Some(ticket) = tickets.next(&plan) {
            std::thread::sleep(ticket.due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let (cx, tx) = (cx.clone(), tx.clone());
            handle.spawn(async move {
                let _ = tx.send(cx.exchange(ticket).await);
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

/// Draws requests in the order of their due times.
struct Tickets {
    rng: StdRng,
    start: Instant,
    start_us: u64,
    at: Duration,
    count: u64,
}

impl Tickets {
    fn new(plan: &Plan) -> Self {
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            start: Instant::now(),
            start_us: boot_us(),
            at: Duration::ZERO,
            count: 0,
        }
    }

    fn next(&mut self, plan: &Plan) -> Option<Ticket> {
        let surging = self.at >= plan.surge_at.0 && self.at < plan.surge_at.1;
        let rate = plan.rate * if surging { plan.surge } else { 1.0 };
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.at += Duration::from_secs_f64(gap);
        if self.at >= plan.duration {
            return None;
        }
        self.count += 1;
        let service = self.pick_service(plan);
        let addresses = &plan.services[service].addresses;
        Some(Ticket {
            id: format!("{}-{}", plan.prefix, self.count),
            service,
            address: addresses[self.rng.random_range(0..addresses.len())],
            key: self.pick_key(plan),
            long: self.rng.random::<f64>() < plan.long_share,
            due: self.start + self.at,
            due_us: self.start_us + self.at.as_micros() as u64,
        })
    }

    fn pick_service(&mut self, plan: &Plan) -> usize {
        let total: f64 = plan.services.iter().map(|s| s.weight).sum();
        let mut left = self.rng.random::<f64>() * total;
        for (at, service) in plan.services.iter().enumerate() {
            left -= service.weight;
            if left < 0.0 {
                return at;
            }
        }
        plan.services.len() - 1
    }

    /// Draws a hot key by Zipf's law, or any key.
    fn pick_key(&mut self, plan: &Plan) -> u64 {
        if self.rng.random::<f64>() >= plan.hot_share {
            return self.rng.random_range(0..plan.keys);
        }
        let total: f64 = (1..=HOT_KEYS).map(|rank| 1.0 / rank as f64).sum();
        let mut left = self.rng.random::<f64>() * total;
        let mut rank = 1;
        while rank < HOT_KEYS && left >= 1.0 / rank as f64 {
            left -= 1.0 / rank as f64;
            rank += 1;
        }
        let generation = self.at.as_millis() / plan.hot_for.as_millis().max(1);
        xxh3_64(format!("{} {generation} {rank}", plan.seed).as_bytes()) % plan.keys
    }
}

struct Sender {
    plan: Arc<Plan>,
    http: Client,
    free: Semaphore,
}

impl Sender {
    async fn exchange(&self, ticket: Ticket) -> Outcome {
        let service = &self.plan.services[ticket.service];
        let mut outcome = Outcome {
            id: ticket.id.clone(),
            key: format!("{}/{}", service.name, ticket.key),
            idempotent: service.method != Method::POST,
            long: ticket.long,
            due_us: ticket.due_us,
            took_us: 0,
            seen: Seen::NotSent,
            verdict: None,
            reason: None,
            target: None,
        };
        let deadline = self.deadline(&ticket);
        let permit = tokio::time::timeout(deadline, self.free.acquire()).await;
        if permit.is_ok() {
            let request = self.request(&ticket, deadline);
            let exchange = self.judge(request, &mut outcome);
            let silent = tokio::time::timeout(deadline + GRACE, exchange).await;
            if silent.is_err() {
                outcome.seen = Seen::Silent;
            }
        }
        outcome.took_us = ticket.due.elapsed().as_micros() as u64;
        outcome
    }

    fn deadline(&self, ticket: &Ticket) -> Duration {
        match ticket.long {
            true => self.plan.long_deadline,
            false => self.plan.deadline,
        }
    }

    fn request(&self, ticket: &Ticket, deadline: Duration) -> Request<Full<bytes::Bytes>> {
        let service = &self.plan.services[ticket.service];
        let shape = if ticket.long { "/full" } else { "" };
        let (address, name, key) = (ticket.address, &service.name, ticket.key);
        let left = deadline.saturating_sub(ticket.due.elapsed());
        let mut req = Request::builder()
            .method(service.method.clone())
            .uri(format!("http://{address}/{name}/{key}{shape}"))
            .header(headers::REQUEST_ID, &ticket.id)
            .header(headers::DEADLINE_MS, left.as_millis() as u64);
        if ticket.long {
            req = req
                .header(payload::WORK_MS, self.plan.long.as_millis() as u64)
                .header(payload::ANSWER_BYTES, self.plan.long_bytes);
        } else if let Some(work) = self.plan.work {
            req = req.header(payload::WORK_MS, work.as_millis() as u64);
        }
        req.body(Full::default()).expect("request of plain parts")
    }

    async fn judge(&self, req: Request<Full<bytes::Bytes>>, outcome: &mut Outcome) {
        // Stands when the exchange is given up while the answer is under way.
        outcome.seen = Seen::Broken;
        match self.http.start(req).await {
            Ok(res) => judge_answer(res, outcome).await,
            Err(e) => outcome.reason = Some(e.to_string()),
        }
    }
}

async fn judge_answer(res: Response<Incoming>, outcome: &mut Outcome) {
    let (head, body) = res.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            outcome.reason = Some(e.to_string());
            return;
        }
    };
    let header = |name| http1::text(&head.headers, name).map(str::to_owned);
    outcome.target = header(payload::TARGET);
    outcome.verdict = header(headers::VERDICT).and_then(|v| Verdict::parse(&v));
    outcome.reason = header(headers::REASON);
    let wrong = payload::fault(&outcome.id, &head.headers, &body);
    outcome.seen = match (head.status.is_success(), outcome.verdict, wrong) {
        (_, Some(_), _) => Seen::Failed,
        (true, None, None) => Seen::Answered,
        (true, None, Some(_)) => Seen::Wrong,
        (false, None, None) => Seen::TargetError,
        (false, None, Some(_)) => Seen::Unexplained,
    };
    if outcome.seen == Seen::Wrong {
        outcome.reason = wrong.map(str::to_owned);
    }
    if outcome.seen == Seen::Unexplained {
        outcome.reason = Some(format!("status {}", head.status.as_u16()));
    }
}

/// Latencies in microseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Latency {
    /// Number of answers.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Longest.
    pub max: u64,
}

impl Latency {
    /// Summarises latencies in microseconds.
    pub fn of(values: impl Iterator<Item = u64>) -> Self {
        let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
        let mut histogram = histogram.expect("bounds of a histogram");
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
    /// Answered whole, over the length of the run, per second.
    pub goodput: f64,
    /// Requests by what the caller saw, verdict and reason.
    pub seen: BTreeMap<String, u64>,
    /// Latency of answered requests by service, and length of the work.
    pub latency_us: BTreeMap<String, Latency>,
}

impl Summary {
    /// Summarises the outcomes of a run of the given length.
    pub fn of(outcomes: &[Outcome], duration: Duration) -> Self {
        let answered: Vec<_> = outcomes
            .iter()
            .filter(|o| o.seen == Seen::Answered)
            .collect();
        let mut seen = BTreeMap::new();
        for outcome in outcomes {
            *seen.entry(label(outcome)).or_default() += 1;
        }
        let mut groups: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for outcome in &answered {
            groups
                .entry(group(outcome))
                .or_default()
                .push(outcome.took_us);
        }
        let latencies = groups
            .into_iter()
            .map(|(name, v)| (name, Latency::of(v.into_iter())));
        Self {
            due: outcomes.len(),
            goodput: answered.len() as f64 / duration.as_secs_f64(),
            seen,
            latency_us: latencies.collect(),
        }
    }
}

fn group(outcome: &Outcome) -> String {
    let service = outcome.key.split('/').next().unwrap_or("");
    match outcome.long {
        true => format!("{service} long"),
        false => service.to_owned(),
    }
}

fn label(outcome: &Outcome) -> String {
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
