//! A fake of everything around the lease cores: platform, network, clocks, processes and targets.
//!
//! Time is simulated. Every step ends with the checker of the crate and a check that no two targets
//! hold a valid grant for one shard.

#![allow(dead_code, unused_imports)]

mod faults;
mod platform;
pub mod seeds;
mod vm;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::checker;
use masticdeal_ownership::ids::{Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::lease::{CoreSettings, Effect, Event, Grants};
use masticdeal_ownership::table::Table;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use faults::{Fault, plan};
pub use platform::Platform;
pub use vm::Vm;

/// Milliseconds as a duration.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Size and timing of a world.
#[derive(Debug, Clone)]
pub struct Setup {
    pub settings: CoreSettings,
    /// Data centre of each VM.
    pub places: Vec<(&'static str, &'static str)>,
    pub shards: u32,
    /// Largest deviation of a clock's rate from true time.
    pub drift: f64,
    /// Share of messages that are lost at any time.
    pub drop: f64,
    pub checks: bool,
    /// Whether the targets announce that they check grants.
    pub grants_checked: bool,
    /// Whether the targets tell their lives apart. A target here outlives its daemon's processes, except
    /// that half of the restarts are power losses, which end both.
    pub lives: bool,
    /// Running work of a shard that is drained takes less than this many milliseconds.
    pub work: u64,
    /// Share of the drains that are given up.
    pub abandon: f64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            settings: CoreSettings::default(),
            places: vec![("r", "a"), ("r", "b"), ("r", "c"), ("r", "a"), ("r", "b")],
            shards: 4,
            drift: 0.0,
            drop: 0.0,
            checks: true,
            grants_checked: true,
            lives: false,
            work: 30,
            abandon: 0.1,
        }
    }
}

/// What happens at an instant.
#[derive(Debug, Clone)]
pub enum Step {
    Tick(usize, u64),
    Event(usize, Event),
    /// An event for one process only, such as an answer of the platform.
    Own(usize, u64, Event),
    /// Effects that were held back, for one process.
    Effects(usize, u64, Vec<Effect>),
    Platform(platform::Call),
    /// For the target with this index: process and sequence of the daemon, and the grant.
    Grant(usize, u64, u64, Option<Grants>),
    RenewTimeout(usize, u64, SessionId, u64),
    Pull(usize, usize),
    Wake(usize),
    Start(usize),
    Fault(Fault),
    Heal(u64),
}

/// What the target beside a daemon holds.
#[derive(Debug, Clone, Default)]
pub struct Target {
    pub vm: usize,
    /// Whether its process is gone.
    pub ended: bool,
    /// Whether another VM took the place of its VM.
    pub replaced: bool,
    order: (u32, u64),
    grants: Option<Grants>,
}

/// What a cut stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// Everything between the two sides.
    Full,
    /// As full, but calls still reach the platform.
    Mute,
    /// Messages from the masked side to the other.
    OneWay,
    /// Messages between VMs; the platform is reached and answers.
    Peers,
}

/// A cut between the places in the mask and the others.
#[derive(Debug, Clone, Copy)]
pub struct Cut {
    pub id: u64,
    pub mask: u32,
    pub kind: CutKind,
}

impl Cut {
    fn holds(&self, place: usize) -> bool {
        self.mask >> place.min(31) & 1 == 1
    }
}

/// A broken invariant with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    pub at: Duration,
    pub what: String,
}

pub struct World {
    pub setup: Setup,
    pub now: Duration,
    pub rng: SmallRng,
    pub vms: Vec<Vm>,
    pub platform: Platform,
    pub addresses: BTreeMap<SocketAddr, usize>,
    /// Targets, those of replaced VMs included.
    pub targets: Vec<Target>,
    pub jam_until: Duration,
    pub cuts: Vec<Cut>,
    pub broken: Option<Broken>,
    steps: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    bodies: Vec<Option<Step>>,
    free: Vec<usize>,
    order: u64,
    pub trace: bool,
}

impl World {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            vms: Vec::new(),
            platform: Platform::default(),
            addresses: BTreeMap::new(),
            targets: Vec::new(),
            jam_until: Duration::ZERO,
            cuts: Vec::new(),
            broken: None,
            steps: BinaryHeap::new(),
            bodies: Vec::new(),
            free: Vec::new(),
            order: 0,
            trace: std::env::var_os("MODEL_TRACE").is_some(),
            setup,
        };
        world.platform.timeout = ms([100, 250, 500][seed as usize % 3]);
        for at in 0..world.setup.places.len() {
            let vm = Vm::new(at, &world.setup, &mut world.rng);
            world.addresses.insert(vm.address, at);
            world.vms.push(vm);
            world.targets.push(Target {
                vm: at,
                ..Target::default()
            });
            world.at(ms(at as u64 * 3), Step::Start(at));
        }
        world
    }

    /// Schedules a step after a delay.
    pub fn at(&mut self, delay: Duration, step: Step) {
        self.order += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.bodies.push(None);
            self.bodies.len() - 1
        });
        self.bodies[slot] = Some(step);
        self.steps
            .push(Reverse((self.now + delay, self.order, slot)));
    }

    /// Runs for a while; stops at the first broken invariant.
    pub fn run(&mut self, length: Duration) -> Result<(), Broken> {
        let end = self.now + length;
        while let Some(&Reverse((at, _, slot))) = self.steps.peek() {
            if at > end {
                break;
            }
            self.steps.pop();
            self.now = at;
            if let Some(step) = self.bodies[slot].take() {
                self.free.push(slot);
                self.step(step);
            }
            if self.setup.checks {
                self.check();
            }
            if let Some(broken) = &self.broken {
                return Err(broken.clone());
            }
        }
        self.now = end;
        Ok(())
    }

    fn step(&mut self, step: Step) {
        if self.trace && !matches!(step, Step::Tick(..) | Step::Grant(..)) {
            eprintln!("{:?} {step:?}", self.now);
        }
        match step {
            Step::Tick(vm, at) => self.tick(vm, at),
            Step::Event(vm, event) => self.deliver(vm, event),
            Step::Own(vm, process, event) => {
                if self.vms[vm].process == process {
                    self.deliver(vm, event);
                }
            }
            Step::Effects(vm, process, effects) => {
                if self.vms[vm].process == process {
                    self.perform_all(vm, effects);
                }
            }
            Step::Platform(call) => self.platform_call(call),
            Step::Grant(target, process, sequence, grants) => {
                self.grant(target, process, sequence, grants);
            }
            Step::RenewTimeout(vm, process, lessor, sequence) => {
                let own = &mut self.vms[vm];
                if own.process == process && own.asked.remove(&(lessor, sequence)) {
                    self.deliver(vm, Event::RenewTimeout { lessor, sequence });
                }
            }
            Step::Pull(asker, asked) => self.pull(asker, asked),
            Step::Wake(vm) => self.wake(vm),
            Step::Start(vm) => self.start(vm),
            Step::Fault(fault) => self.fault(fault),
            Step::Heal(id) => self.cuts.retain(|cut| cut.id != id),
        }
    }

    /// Tells whether messages pass from one place to another; the platform is place 31.
    pub fn connected(&self, from: usize, to: usize) -> bool {
        let platform = from == 31 || to == 31;
        self.cuts.iter().all(|cut| {
            let (from, to) = (cut.holds(from), cut.holds(to));
            let spared = platform && cut.kind == CutKind::Peers;
            from == to || spared || cut.kind == CutKind::OneWay && !from
        })
    }

    /// Tells whether calls of a VM reach the platform, answered or not.
    pub fn reaches_platform(&self, vm: usize) -> bool {
        let passes = |cut: &Cut| {
            let spared = matches!(cut.kind, CutKind::Mute | CutKind::Peers);
            spared || cut.holds(vm) == cut.holds(31)
        };
        self.cuts.iter().all(passes)
    }

    /// Delay of a message between VMs; `None` when it is lost.
    pub fn travel(&mut self, from: usize, to: usize) -> Option<Duration> {
        if !self.connected(from, to) || self.rng.random_bool(self.setup.drop) {
            return None;
        }
        let mut delay = Duration::from_micros(self.rng.random_range(150..350));
        if self.now < self.jam_until && self.rng.random_bool(0.4) {
            if self.rng.random_bool(0.2) {
                return None;
            }
            // Up to 2.5 leases, which also reorders messages.
            delay += ms(self.rng.random_range(0..1125));
        }
        Some(delay)
    }

    /// Sends an event to the process that listens at the address of a session.
    pub fn send(&mut self, from: usize, to: SessionId, event: Event) {
        let table = match &self.vms[from].core {
            Some(core) => core.table().clone(),
            None => return,
        };
        let Some(address) = table.session(to).map(|s| s.address) else {
            return;
        };
        let Some(&vm) = self.addresses.get(&address) else {
            return;
        };
        if let Some(delay) = self.travel(from, vm) {
            self.at(delay, Step::Event(vm, event));
        }
    }

    /// Sends an answer back to the VM that asked.
    pub fn answer(&mut self, from: usize, to: usize, event: Event) {
        if let Some(delay) = self.travel(from, to) {
            self.at(delay, Step::Event(to, event));
        }
    }

    fn pull(&mut self, asker: usize, asked: usize) {
        let Some(core) = &self.vms[asked].core else {
            return;
        };
        if self.vms[asked].frozen(self.now) {
            return;
        }
        let table = core.table().clone();
        self.answer(asked, asker, Event::TableLearned(table));
    }

    fn grant(&mut self, target: usize, process: u64, sequence: u64, grants: Option<Grants>) {
        let target = &mut self.targets[target];
        let vm = target.vm;
        if target.ended {
            return;
        }
        if let Some(grants) = grants {
            let order = (grants.session.0, sequence);
            if order > target.order {
                target.order = order;
                target.grants = Some(grants);
            }
        } else {
            target.grants = None;
        }
        if self.vms[vm].process == process {
            self.drained(vm, sequence);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let cores = self.vms.iter().filter_map(|vm| {
            let core = vm.core.as_ref()?;
            Some((core, vm.clock.local(now)))
        });
        if let Err(violation) = checker::check_cores(cores) {
            self.violation(violation.to_string());
        }
        self.check_keys();
        self.check_targets();
    }

    fn check_keys(&mut self) {
        for key in faults::KEYS {
            let shard = ShardId(key as u32 & (self.setup.shards - 1));
            let serves = |vm: &&Vm| {
                let core = vm.core.as_ref();
                let now = vm.clock.local(self.now);
                core.is_some_and(|c| c.may_serve(now, ServiceId(0), shard, key).is_ok())
            };
            if self.vms.iter().filter(serves).count() > 1 {
                self.violation(format!("two owners of key {key:x}"));
            }
        }
    }

    fn check_targets(&mut self) {
        let mut seen: BTreeMap<ShardId, (usize, Epoch)> = BTreeMap::new();
        let mut twice = None;
        for (at, target) in self.targets.iter().enumerate() {
            let Some(grants) = &target.grants else {
                continue;
            };
            if self.vms[target.vm].clock.local(self.now) >= grants.until {
                continue;
            }
            for &(shard, epoch) in &grants.shards {
                if let Some(other) = seen.insert(shard, (at, epoch)) {
                    twice = Some((shard, other.0, at));
                }
            }
        }
        if let Some((shard, a, b)) = twice {
            self.violation(format!("targets {a} and {b} both hold shard {shard}"));
        }
    }

    pub fn violation(&mut self, what: String) {
        if self.broken.is_none() {
            self.broken = Some(Broken { at: self.now, what });
        }
    }

    /// Number of shards that some live process may serve now.
    pub fn served(&self) -> usize {
        let served = self.vms.iter().filter(|vm| !vm.frozen(self.now));
        served
            .filter_map(|vm| Some(vm.core.as_ref()?.serving(vm.clock.local(self.now)).count()))
            .sum()
    }

    /// Tells whether some live process may serve the shard now.
    pub fn serves(&self, shard: ShardId) -> bool {
        let live = self.vms.iter().filter(|vm| !vm.frozen(self.now));
        let mut cores = live.filter_map(|vm| Some((vm.core.as_ref()?, vm.clock.local(self.now))));
        cores.any(|(core, now)| core.serving(now).any(|held| held.shard == shard))
    }

    /// The newest table of the platform.
    pub fn table(&self) -> Arc<Table> {
        self.platform.table.clone()
    }
}
