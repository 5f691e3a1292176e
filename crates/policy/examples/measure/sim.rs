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

struct Job {
    req: usize,
    permit: Permit,
    remaining_s: f64,
    started: f64,
    fails: bool,
}

struct Target {
    queue: Queue<usize>,
    classifier: Classifier,
    jobs: Vec<Job>,
    shapes: Vec<(usize, classifier::ShapeId)>,
    speed: f64,
    slots: usize,
    advanced_at: f64,
    version: u64,
    timer: f64,
}

struct Ingress {
    balancer: Balancer,
    classifier: Classifier,
    ejector: Option<Ejector>,
    budget: RetryBudget,
}

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
    arrivals: StdRng,
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
    while let Some((at, event)) = sim.events.pop() {
        sim.now = at;
        sim.handle(event);
    }
    sim.run
}

fn time(seconds: f64) -> Duration {
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
            arrivals: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            now: 0.0,
            events: Events::new(),
            requests: Vec::new(),
            ingresses: (0..scenario.ingresses).map(ingress).collect(),
            targets,
            run: Run::new(scenario),
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.events.push(at.max(self.now), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Attempt(req) => self.attempt(req),
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
            Event::Deadline(req) => self.deadline(req),
            Event::Reports => self.reports(),
        }
    }

    /// Handles an arrival and schedules the next one. Arrivals are drawn by thinning a Poisson
    /// process with the peak rate.
    fn arrive(&mut self) {
        let scenario = self.scenario;
        let gap: f64 = -(1.0 - self.arrivals.random::<f64>()).ln() / scenario.peak_rate;
        let kept = self.arrivals.random::<f64>() * scenario.peak_rate < (scenario.rate)(self.now);
        let next = self.now + gap;
        let drawn = scenario.draw(self.now, &mut self.arrivals);
        if next < scenario.length {
            self.schedule(next, Event::Arrive);
        }
        if !kept || (drawn.long && scenario.skip_long) {
            return;
        }
        let ingress = self.arrivals.random_range(0..scenario.ingresses);
        let req = self.requests.len();
        if !drawn.bad {
            self.run.record_arrival(self.now, drawn.long);
        }
        self.requests.push(Request::new(self.now, ingress, drawn));
        self.ingresses[ingress].budget.deposit(time(self.now));
        self.schedule(self.requests[req].deadline, Event::Deadline(req));
        self.attempt(req);
    }

    fn attempt(&mut self, req: usize) {
        let now = time(self.now);
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
            return self.attempt_ended(req, AttemptEnd::PeerFailed, Verdict::NotRun);
        };
        if let (Some(ejector), Some(_)) = (&mut ingress.ejector, probe) {
            ejector.begin_probe(now, ix);
        }
        let expected = expected.map(|expected| expected.mean);
        let sent = ingress.balancer.start_for(now, ix, cost, expected);
        self.run.record_attempt(self.now, ix.0 as usize);
        let request = &mut self.requests[req];
        request.sent = Some(sent);
        request.target = ix.0 as usize;
        self.enqueue(req);
    }

    fn enqueue(&mut self, req: usize) {
        let now = time(self.now);
        let request = &mut self.requests[req];
        let target = &mut self.targets[request.target];
        let class = target
            .classifier
            .classify(now, classifier_request(&request.path));
        let info = RequestInfo::new(class, time(request.deadline));
        target.shapes.push((req, class.shape));
        match target.queue.push(now, info, req) {
            Ok(id) => {
                request.entry = Some(id);
                let at = request.target;
                self.dispatch(at);
            }
            Err(refused) => self.refused(refused),
        }
    }

    fn refused(&mut self, refused: queue::Refused<usize>) {
        let req = refused.item;
        let target = &mut self.targets[self.requests[req].target];
        target.shapes.retain(|(other, _)| *other != req);
        self.requests[req].entry = None;
        self.requests[req].retry_after = Some(refused.refusal.retry_after);
        self.attempt_ended(req, AttemptEnd::Shed, refused.refusal.verdict());
    }

    /// Starts requests that may run at a target, and refuses expired ones.
    fn dispatch(&mut self, at: usize) {
        let now = time(self.now);
        self.advance(at);
        let target = &mut self.targets[at];
        if self.scenario.reclassify {
            target.queue.reclassify(now, &mut target.classifier);
        }
        while let Some((req, permit)) = target.queue.pop(now) {
            let request = &self.requests[req];
            let share = self.scenario.faults.share(self.now, at);
            let fails = self.rng.random::<f64>() < share;
            // A failed or rejected request takes a tenth of its service time.
            let early = fails || request.caller_fault;
            target.jobs.push(Job {
                req,
                permit,
                remaining_s: if early {
                    request.work / 10.0
                } else {
                    request.work
                },
                started: self.now,
                fails,
            });
        }
        let refused = target.queue.take_refused(now);
        let next = target.queue.next_wakeup(now);
        let next = next.map_or(f64::INFINITY, |next| next.as_secs_f64() + 1e-6);
        if next < target.timer {
            target.timer = next;
            self.schedule(next, Event::Timer(at));
        }
        self.schedule_job_end(at);
        for one in refused {
            self.refused(one);
        }
    }

    fn rate(&self, at: usize) -> f64 {
        let target = &self.targets[at];
        let running = target.jobs.len().max(1) as f64;
        target.speed * (target.slots as f64 / running).min(1.0)
    }

    fn advance(&mut self, at: usize) {
        let done = (self.now - self.targets[at].advanced_at) * self.rate(at);
        let target = &mut self.targets[at];
        target.advanced_at = self.now;
        for job in &mut target.jobs {
            job.remaining_s -= done;
        }
    }

    /// Schedules the next end of a job, which invalidates the one scheduled before.
    fn schedule_job_end(&mut self, at: usize) {
        let rate = self.rate(at);
        let target = &mut self.targets[at];
        target.version += 1;
        let version = target.version;
        let remaining_s = target.jobs.iter().map(|job| job.remaining_s);
        if let Some(min) = remaining_s.min_by(f64::total_cmp) {
            self.schedule(self.now + min.max(0.0) / rate, Event::JobEnds(at, version));
        }
    }

    fn end_jobs(&mut self, at: usize) {
        self.advance(at);
        while let Some(job) = self.targets[at]
            .jobs
            .iter()
            .position(|job| job.remaining_s <= 1e-9)
        {
            let job = self.targets[at].jobs.swap_remove(job);
            self.end_job(at, job);
        }
        self.dispatch(at);
    }

    fn end_job(&mut self, at: usize, job: Job) {
        let now = time(self.now);
        let req = job.req;
        let caller_fault = self.requests[req].caller_fault;
        let service_time = time(self.now - job.started);
        let valid = !job.fails && !caller_fault;
        let target = &mut self.targets[at];
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
        self.attempt_ended(req, ending, verdict);
    }

    /// Handles a deadline: the caller gives up, and the target cancels the request.
    fn deadline(&mut self, req: usize) {
        let Some(id) = self.requests[req].entry.take() else {
            return;
        };
        let at = self.requests[req].target;
        self.advance(at);
        let target = &mut self.targets[at];
        target.shapes.retain(|(other, _)| *other != req);
        if let queue::Cancelled::Running = target.queue.cancel(id) {
            let job = target.jobs.iter().position(|job| job.req == req);
            let job = target
                .jobs
                .swap_remove(job.expect("a running request has a job"));
            target.queue.finish(time(self.now), job.permit, None);
        }
        self.attempt_ended(req, self.requests[req].at_deadline, Verdict::MayHaveRun);
        self.dispatch(at);
    }

    /// Handles the end of an attempt at the ingress, which may retry.
    fn attempt_ended(&mut self, req: usize, ending: AttemptEnd, verdict: Verdict) {
        let now = time(self.now);
        let outcome = ending.outcome();
        let request = &mut self.requests[req];
        let ingress = &mut self.ingresses[request.ingress];
        if let Some(sent) = request.sent.take() {
            let ix = sent.target();
            let latency = sent.elapsed(now);
            let good = outcome == Outcome::Success;
            ingress.balancer.finish(now, sent, good);
            if let Some(shape) = request.shape.filter(|_| good) {
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
                deadline: Deadline::new(Duration::ZERO, None, time(request.deadline)),
                expected: Duration::ZERO,
                retry_after: request.retry_after.take(),
            };
            let random = self.rng.random();
            let settings = &self.scenario.retry;
            let decision = retry::decide(now, &failed, &mut ingress.budget, settings, random);
            if let Decision::Retry(wait) = decision {
                let at = self.now + wait.as_secs_f64();
                return self.schedule(at, Event::Attempt(req));
            }
        }
        if request.bad {
            return;
        }
        self.run.record_end(&RequestEnd {
            arrival: request.arrival,
            end: self.now,
            long: request.long,
            work: request.work,
            outcome,
            in_time: self.now <= request.deadline,
        });
    }

    fn reports(&mut self) {
        let now = time(self.now);
        for at in 0..self.targets.len() {
            let busy = self.targets[at].queue.running() as f64 / self.targets[at].slots as f64;
            let load = match self.scenario.reports[at % self.scenario.reports.len()] {
                Report::None => continue,
                Report::True => busy,
                Report::Idle => 0.0,
            };
            for ingress in &mut self.ingresses {
                ingress
                    .balancer
                    .record_report(now, TargetIx(at as u32), load);
            }
        }
        if self.now < self.scenario.length {
            self.schedule(self.now + REPORT_INTERVAL_S, Event::Reports);
        }
    }
}
