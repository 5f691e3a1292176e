//! Simulation of callers, ingresses and targets in virtual time, with the actual policy code.
//!
//! Arrivals are open-loop: they do not wait for responses, and the latency is measured from the
//! scheduled arrival. A target shares its processor among its running requests. Up to the number of
//! slots, each request runs at full speed. Beyond that, all slow down equally.

use std::time::Duration;

use masticdeal_policy::balance::{Balancer, TargetIx};
use masticdeal_policy::classifier::{self, Classifier, CostClass};
use masticdeal_policy::deadline::Deadline;
use masticdeal_policy::eject::{Change, EjectionState, Ejector};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::outcome::{AttemptEnd, Outcome};
use masticdeal_policy::queue::{Permit, Queue, RequestInfo};
use masticdeal_policy::retry::{self, Decision, FailedAttempt, RetryBudget};
use masticdeal_policy::{Verdict, queue};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::events::Events;
use crate::request::{Request, classifier_request};
use crate::scenario::{Report, Scenario};
use crate::stats::{RequestEnd, Run};

/// Time between two load reports of a target in seconds.
const REPORT_INTERVAL_S: f64 = 1.0;

/// Running request. Times are in seconds; the remaining work is for speed 1.
struct Job {
    req: usize,
    permit: Permit,
    remaining_s: f64,
    started_at: f64,
    fails: bool,
}

/// Target with its owner's queue and classifier.
struct Target {
    queue: Queue<usize>,
    classifier: Classifier,
    jobs: Vec<Job>,
    /// Shapes of the queued and running requests.
    shapes: Vec<(usize, classifier::ShapeId)>,
    speed: f64,
    slots: usize,
    advanced_at: f64,
    /// Number of the newest scheduled [`Event::JobEnds`]; older ones are ignored.
    version: u64,
    /// Time of the next [`Event::Timer`]; infinite if none is scheduled.
    timer: f64,
}

struct Ingress {
    balancer: Balancer,
    classifier: Classifier,
    ejector: Option<Ejector>,
    budget: RetryBudget,
}

/// Event in virtual time. The first number is the index of a request or target, the second one the
/// [`Target::version`].
enum Event {
    Arrive,
    Attempt(usize),
    JobEnds(usize, u64),
    Timer(usize),
    Deadline(usize),
    Reports,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    arrival_rng: StdRng,
    rng: StdRng,
    now: f64,
    events: Events<Event>,
    requests: Vec<Request>,
    targets: Vec<Target>,
    ingresses: Vec<Ingress>,
    run: Run,
}

/// Simulates a scenario with one seed.
pub fn run(scenario: &Scenario, seed: u64) -> Run {
    let mut sim = Sim::new(scenario, seed);
    sim.schedule(0.0, Event::Arrive);
    sim.schedule(0.0, Event::Reports);
    while let Some((time_s, event)) = sim.events.pop() {
        sim.now = time_s;
        sim.handle(event);
    }
    sim.run
}

fn to_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let target = |speed: &f64| {
            let slots = scenario.limit.unwrap_or(scenario.slots);
            let limit = ConcurrencyLimit::new(limit::Settings::default(), slots);
            Target {
                queue: Queue::new(scenario.queue.clone(), limit),
                classifier: Classifier::new(scenario.classifier.clone()),
                jobs: Vec::new(),
                shapes: Vec::new(),
                speed: *speed,
                slots: scenario.slots,
                advanced_at: 0.0,
                version: 0,
                timer: f64::INFINITY,
            }
        };
        let targets: Vec<Target> = scenario.speeds.iter().map(target).collect();
        let ingress = |_| {
            let mut balancer = Balancer::new(scenario.balance.clone());
            for ix in 0..targets.len() {
                balancer.add(Duration::ZERO, TargetIx(ix as u32), false);
            }
            let settings = scenario.eject.clone();
            Ingress {
                balancer,
                classifier: Classifier::new(scenario.classifier.clone()),
                ejector: settings.map(|settings| Ejector::new(settings, targets.len())),
                budget: RetryBudget::new(Duration::ZERO, scenario.budget.clone()),
            }
        };
        Self {
            scenario,
            // Arrivals use a separate generator, so that they are the same for all policies.
            arrival_rng: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            now: 0.0,
            events: Events::new(),
            requests: Vec::new(),
            ingresses: (0..scenario.ingresses).map(ingress).collect(),
            targets,
            run: Run::new(scenario),
        }
    }

    fn schedule(&mut self, time_s: f64, event: Event) {
        self.events.push(time_s.max(self.now), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.handle_arrival(),
            Event::Attempt(req) => self.start_attempt(req),
            Event::JobEnds(target, version) => {
                if self.targets[target].version == version {
                    self.end_jobs(target);
                }
            }
            Event::Timer(target) => {
                if self.targets[target].timer <= self.now {
                    self.targets[target].timer = f64::INFINITY;
                    self.dispatch(target);
                }
            }
            Event::Deadline(req) => self.handle_deadline(req),
            Event::Reports => self.send_reports(),
        }
    }

    /// Handles an arrival and schedules the next one. Arrivals are drawn by thinning a Poisson
    /// process with the peak rate.
    fn handle_arrival(&mut self) {
        let scenario = self.scenario;
        let gap: f64 = -(1.0 - self.arrival_rng.random::<f64>()).ln() / scenario.peak_rate;
        let accepted =
            self.arrival_rng.random::<f64>() * scenario.peak_rate < (scenario.rate)(self.now);
        let next = self.now + gap;
        let drawn = scenario.draw(self.now, &mut self.arrival_rng);
        if next < scenario.duration_s {
            self.schedule(next, Event::Arrive);
        }
        if !accepted || (drawn.is_long && scenario.skip_long) {
            return;
        }
        let ingress = self.arrival_rng.random_range(0..scenario.ingresses);
        let req = self.requests.len();
        if !drawn.bad {
            self.run.record_arrival(self.now, drawn.is_long);
        }
        self.requests.push(Request::new(self.now, ingress, drawn));
        self.ingresses[ingress]
            .budget
            .deposit(to_duration(self.now));
        self.schedule(self.requests[req].deadline, Event::Deadline(req));
        self.start_attempt(req);
    }

    /// Selects a target for a request and sends the request to it. A due probe takes precedence.
    fn start_attempt(&mut self, req: usize) {
        let now = to_duration(self.now);
        self.requests[req].attempts += 1;
        let ingress = &mut self.ingresses[self.requests[req].ingress];
        let probe = ingress.ejector.as_ref().and_then(|ejector| {
            let all = (0..self.targets.len() as u32).map(TargetIx);
            let mut probes =
                all.filter(|ix| ejector.ejection_state(now, *ix) == EjectionState::ProbeDue);
            probes.next()
        });
        let in_rotation = |ix: TargetIx| match &ingress.ejector {
            Some(ejector) => ejector.ejection_state(now, ix) == EjectionState::InRotation,
            None => true,
        };
        let request = &mut self.requests[req];
        let class = ingress
            .classifier
            .classify(now, classifier_request(&request.path));
        request.shape = Some(class.shape);
        let classes_used = self.scenario.classes_at_ingress;
        let cost = if classes_used {
            class.cost
        } else {
            CostClass::Short
        };
        let expected = class.expected.filter(|_| classes_used);
        let rng = &mut self.rng;
        let chosen = match probe {
            Some(ix) => Some(ix),
            None => ingress.balancer.choose_for(now, rng, cost, in_rotation),
        };
        let Some(ix) = chosen else {
            return self.end_attempt(req, AttemptEnd::PeerFailed, Verdict::NotRun);
        };
        if let (Some(ejector), Some(_)) = (&mut ingress.ejector, probe) {
            ejector.begin_probe(now, ix);
        }
        let expected = expected.map(|expected| expected.mean);
        let sent_request = ingress.balancer.start_for(now, ix, cost, expected);
        self.run.record_attempt(self.now, ix.0 as usize);
        let request = &mut self.requests[req];
        request.sent_request = Some(sent_request);
        request.target = ix.0 as usize;
        self.enqueue(req);
    }

    /// Adds a request to the queue of its target.
    fn enqueue(&mut self, req: usize) {
        let now = to_duration(self.now);
        let request = &mut self.requests[req];
        let target = &mut self.targets[request.target];
        let class = target
            .classifier
            .classify(now, classifier_request(&request.path));
        let info = RequestInfo::new(class, to_duration(request.deadline));
        target.shapes.push((req, class.shape));
        match target.queue.push(now, info, req) {
            Ok(id) => {
                request.entry = Some(id);
                let target_index = request.target;
                self.dispatch(target_index);
            }
            Err(refused) => self.handle_refusal(refused),
        }
    }

    fn handle_refusal(&mut self, refused: queue::Refused<usize>) {
        let req = refused.item;
        let target = &mut self.targets[self.requests[req].target];
        target.shapes.retain(|(other, _)| *other != req);
        self.requests[req].entry = None;
        self.requests[req].retry_after = Some(refused.refusal.retry_after);
        self.end_attempt(req, AttemptEnd::Shed, refused.refusal.verdict());
    }

    /// Starts requests that may run at a target, and refuses expired ones.
    fn dispatch(&mut self, target_index: usize) {
        let now = to_duration(self.now);
        self.advance(target_index);
        let target = &mut self.targets[target_index];
        if self.scenario.reclassify {
            target.queue.reclassify(now, &mut target.classifier);
        }
        while let Some((req, permit)) = target.queue.pop(now) {
            let request = &self.requests[req];
            let share = self.scenario.faults.current_share(self.now, target_index);
            let fails = self.rng.random::<f64>() < share;
            // A failed or rejected request takes a tenth of its service time.
            let ends_early = fails || request.caller_fault;
            target.jobs.push(Job {
                req,
                permit,
                remaining_s: if ends_early {
                    request.work / 10.0
                } else {
                    request.work
                },
                started_at: self.now,
                fails,
            });
        }
        let refused = target.queue.take_refused(now);
        let next = target.queue.next_wakeup(now);
        let next = next.map_or(f64::INFINITY, |next| next.as_secs_f64() + 1e-6);
        if next < target.timer {
            target.timer = next;
            self.schedule(next, Event::Timer(target_index));
        }
        self.schedule_job_end(target_index);
        for refusal in refused {
            self.handle_refusal(refusal);
        }
    }

    /// Returns the speed of each running job of a target, in seconds of work per second.
    fn rate_per_job(&self, target_index: usize) -> f64 {
        let target = &self.targets[target_index];
        let running = target.jobs.len().max(1) as f64;
        target.speed * (target.slots as f64 / running).min(1.0)
    }

    /// Reduces the remaining work of the running jobs by what was done since the last call.
    fn advance(&mut self, target_index: usize) {
        let done =
            (self.now - self.targets[target_index].advanced_at) * self.rate_per_job(target_index);
        let target = &mut self.targets[target_index];
        target.advanced_at = self.now;
        for job in &mut target.jobs {
            job.remaining_s -= done;
        }
    }

    /// Schedules the next end of a job, which invalidates the one scheduled before.
    fn schedule_job_end(&mut self, target_index: usize) {
        let rate = self.rate_per_job(target_index);
        let target = &mut self.targets[target_index];
        target.version += 1;
        let version = target.version;
        let remaining_s = target.jobs.iter().map(|job| job.remaining_s);
        if let Some(min) = remaining_s.min_by(f64::total_cmp) {
            self.schedule(
                self.now + min.max(0.0) / rate,
                Event::JobEnds(target_index, version),
            );
        }
    }

    /// Ends the jobs without remaining work, and starts others.
    fn end_jobs(&mut self, target_index: usize) {
        self.advance(target_index);
        while let Some(job) = self.targets[target_index]
            .jobs
            .iter()
            .position(|job| job.remaining_s <= 1e-9)
        {
            let job = self.targets[target_index].jobs.swap_remove(job);
            self.end_job(target_index, job);
        }
        self.dispatch(target_index);
    }

    fn end_job(&mut self, target_index: usize, job: Job) {
        let now = to_duration(self.now);
        let req = job.req;
        let caller_fault = self.requests[req].caller_fault;
        let service_time = to_duration(self.now - job.started_at);
        let valid = !job.fails && !caller_fault;
        let target = &mut self.targets[target_index];
        target
            .queue
            .finish(now, job.permit, valid.then_some(service_time));
        let shape = target.shapes.iter().position(|(other, _)| *other == req);
        if let Some(shape) = shape {
            let (_, shape) = target.shapes.swap_remove(shape);
            if valid {
                target.classifier.record(now, shape, service_time);
            }
        }
        self.requests[req].entry = None;
        let (ending, verdict) = match (job.fails, caller_fault) {
            (true, _) => (AttemptEnd::Status(500), Verdict::MayHaveRun),
            (_, true) => (AttemptEnd::Status(400), Verdict::Ran),
            _ => (AttemptEnd::Status(200), Verdict::Ran),
        };
        self.end_attempt(req, ending, verdict);
    }

    /// Handles a deadline: the caller gives up, and the target cancels the request.
    fn handle_deadline(&mut self, req: usize) {
        let Some(id) = self.requests[req].entry.take() else {
            return;
        };
        let target_index = self.requests[req].target;
        self.advance(target_index);
        let target = &mut self.targets[target_index];
        target.shapes.retain(|(other, _)| *other != req);
        if let queue::Cancelled::Running = target.queue.cancel(id) {
            let job = target.jobs.iter().position(|job| job.req == req);
            let job = target
                .jobs
                .swap_remove(job.expect("a running request has a job"));
            target.queue.finish(to_duration(self.now), job.permit, None);
        }
        self.end_attempt(req, self.requests[req].end_at_deadline, Verdict::MayHaveRun);
        self.dispatch(target_index);
    }

    /// Handles the end of an attempt at the ingress, which may retry.
    fn end_attempt(&mut self, req: usize, ending: AttemptEnd, verdict: Verdict) {
        let now = to_duration(self.now);
        let outcome = ending.outcome();
        let request = &mut self.requests[req];
        let ingress = &mut self.ingresses[request.ingress];
        if let Some(sent_request) = request.sent_request.take() {
            let ix = sent_request.target();
            let latency = sent_request.elapsed(now);
            let succeeded = outcome == Outcome::Success;
            ingress.balancer.finish(now, sent_request, succeeded);
            if let Some(shape) = request.shape.filter(|_| succeeded) {
                ingress.classifier.record(now, shape, latency);
            }
            if outcome == Outcome::TargetFault {
                ingress.balancer.record_fault(now, ix);
            }
            if let Some(ejector) = &mut ingress.ejector {
                match ejector.record(now, ix, outcome) {
                    Some(Change::Ejected(_)) => self.run.record_ejection(ix.0 as usize),
                    Some(Change::Returned) => ingress.balancer.add(now, ix, true),
                    None => {}
                }
            }
        }
        if outcome != Outcome::Success && outcome != Outcome::CallerFault {
            let failed = FailedAttempt {
                attempt: request.attempts,
                idempotent: true,
                verdict,
                outcome,
                response_started: false,
                deadline: Deadline::new(Duration::ZERO, None, to_duration(request.deadline)),
                expected: Duration::ZERO,
                retry_after: request.retry_after.take(),
            };
            let random = self.rng.random();
            let settings = &self.scenario.retry;
            let decision = retry::decide(now, &failed, &mut ingress.budget, settings, random);
            if let Decision::Retry(wait) = decision {
                let time_s = self.now + wait.as_secs_f64();
                return self.schedule(time_s, Event::Attempt(req));
            }
        }
        if request.bad {
            return;
        }
        self.run.record_end(&RequestEnd {
            arrival: request.arrival,
            end: self.now,
            is_long: request.is_long,
            work: request.work,
            outcome,
            in_time: self.now <= request.deadline,
        });
    }

    /// Sends the load reports of all targets to all ingresses.
    fn send_reports(&mut self) {
        let now = to_duration(self.now);
        for target_index in 0..self.targets.len() {
            let busy = self.targets[target_index].queue.running() as f64
                / self.targets[target_index].slots as f64;
            let load = match self.scenario.reports[target_index % self.scenario.reports.len()] {
                Report::None => continue,
                Report::True => busy,
                Report::Idle => 0.0,
            };
            for ingress in &mut self.ingresses {
                ingress
                    .balancer
                    .record_report(now, TargetIx(target_index as u32), load);
            }
        }
        if self.now < self.scenario.duration_s {
            self.schedule(self.now + REPORT_INTERVAL_S, Event::Reports);
        }
    }
}
