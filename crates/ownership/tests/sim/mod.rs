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

pub use faults::{Fault, fault_plan};
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
    pub locations: Vec<(&'static str, &'static str)>,
    pub shards: u32,
    /// Largest deviation of a clock's rate from true time.
    pub max_drift: f64,
    /// Share of messages that are lost at any time.
    pub loss_rate: f64,
    pub check_invariants: bool,
    /// Whether the targets announce that they check grants.
    pub targets_check_grants: bool,
    /// Whether the targets tell their lives apart. A target here outlives its daemon's processes, except
    /// that half of the restarts are power losses, which end both.
    pub report_incarnations: bool,
    /// Running work of a shard that is drained takes less than this many milliseconds.
    pub max_work_ms: u64,
    /// Share of the drains that are given up.
    pub abandon_rate: f64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            settings: CoreSettings::default(),
            locations: vec![("r", "a"), ("r", "b"), ("r", "c"), ("r", "a"), ("r", "b")],
            shards: 4,
            max_drift: 0.0,
            loss_rate: 0.0,
            check_invariants: true,
            targets_check_grants: true,
            report_incarnations: false,
            max_work_ms: 30,
            abandon_rate: 0.1,
        }
    }
}

/// What happens at an instant.
#[derive(Debug, Clone)]
pub enum SimEvent {
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
    newest_grant: (u32, u64),
    grants: Option<Grants>,
}

/// What a cut stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionKind {
    /// Everything between the two sides.
    Full,
    /// As full, but calls still reach the platform.
    ResponsesLost,
    /// Messages from the masked side to the other.
    OneWay,
    /// Messages between VMs; the platform is reached and answers.
    BetweenPeers,
}

/// A cut between the places in the mask and the others.
#[derive(Debug, Clone, Copy)]
pub struct Partition {
    pub id: u64,
    pub mask: u32,
    pub kind: PartitionKind,
}

impl Partition {
    fn contains(&self, endpoint: usize) -> bool {
        self.mask >> endpoint.min(31) & 1 == 1
    }
}

/// A broken invariant with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    pub at: Duration,
    pub what: String,
}

pub struct Simulation {
    pub setup: Setup,
    pub now: Duration,
    pub rng: SmallRng,
    pub vms: Vec<Vm>,
    pub platform: Platform,
    pub addresses: BTreeMap<SocketAddr, usize>,
    /// Targets, those of replaced VMs included.
    pub targets: Vec<Target>,
    pub jam_until: Duration,
    pub partitions: Vec<Partition>,
    pub broken: Option<Broken>,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<SimEvent>>,
    free_slots: Vec<usize>,
    scheduled: u64,
    pub trace: bool,
}

impl Simulation {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let mut sim = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            vms: Vec::new(),
            platform: Platform::default(),
            addresses: BTreeMap::new(),
            targets: Vec::new(),
            jam_until: Duration::ZERO,
            partitions: Vec::new(),
            broken: None,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            scheduled: 0,
            trace: std::env::var_os("MODEL_TRACE").is_some(),
            setup,
        };
        sim.platform.timeout = ms([100, 250, 500][seed as usize % 3]);
        for at in 0..sim.setup.locations.len() {
            let vm = Vm::new(at, &sim.setup, &mut sim.rng);
            sim.addresses.insert(vm.address, at);
            sim.vms.push(vm);
            sim.targets.push(Target {
                vm: at,
                ..Target::default()
            });
            sim.schedule(ms(at as u64 * 3), SimEvent::Start(at));
        }
        sim
    }

    /// Schedules a step after a delay.
    pub fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.scheduled += 1;
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.queue
            .push(Reverse((self.now + delay, self.scheduled, slot)));
    }

    /// Runs for a while; stops at the first broken invariant.
    pub fn run(&mut self, length: Duration) -> Result<(), Broken> {
        let end = self.now + length;
        while let Some(&Reverse((at, _, slot))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[slot].take() {
                self.free_slots.push(slot);
                self.handle(event);
            }
            if self.setup.check_invariants {
                self.check();
            }
            if let Some(broken) = &self.broken {
                return Err(broken.clone());
            }
        }
        self.now = end;
        Ok(())
    }

    fn handle(&mut self, event: SimEvent) {
        if self.trace && !matches!(event, SimEvent::Tick(..) | SimEvent::Grant(..)) {
            eprintln!("{:?} {event:?}", self.now);
        }
        match event {
            SimEvent::Tick(vm, at) => self.handle_tick(vm, at),
            SimEvent::Event(vm, event) => self.deliver(vm, event),
            SimEvent::Own(vm, process, event) => {
                if self.vms[vm].process == process {
                    self.deliver(vm, event);
                }
            }
            SimEvent::Effects(vm, process, effects) => {
                if self.vms[vm].process == process {
                    self.perform_effects(vm, effects);
                }
            }
            SimEvent::Platform(call) => self.execute_call(call),
            SimEvent::Grant(target, process, sequence, grants) => {
                self.receive_grant(target, process, sequence, grants);
            }
            SimEvent::RenewTimeout(vm, process, lessor, sequence) => {
                let own = &mut self.vms[vm];
                if own.process == process && own.open_renewals.remove(&(lessor, sequence)) {
                    self.deliver(vm, Event::RenewTimeout { lessor, sequence });
                }
            }
            SimEvent::Pull(requester, responder) => self.pull(requester, responder),
            SimEvent::Wake(vm) => self.resume(vm),
            SimEvent::Start(vm) => self.start(vm),
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::Heal(id) => self.partitions.retain(|partition| partition.id != id),
        }
    }

    /// Tells whether messages pass from one place to another; the platform is place 31.
    pub fn connected(&self, from: usize, to: usize) -> bool {
        let platform = from == 31 || to == 31;
        self.partitions.iter().all(|partition| {
            let (from, to) = (partition.contains(from), partition.contains(to));
            let spared = platform && partition.kind == PartitionKind::BetweenPeers;
            from == to || spared || partition.kind == PartitionKind::OneWay && !from
        })
    }

    /// Tells whether calls of a VM reach the platform, answered or not.
    pub fn reaches_platform(&self, vm: usize) -> bool {
        let passes = |partition: &Partition| {
            let spared = matches!(
                partition.kind,
                PartitionKind::ResponsesLost | PartitionKind::BetweenPeers
            );
            spared || partition.contains(vm) == partition.contains(31)
        };
        self.partitions.iter().all(passes)
    }

    /// Delay of a message between VMs; `None` when it is lost.
    pub fn message_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        if !self.connected(from, to) || self.rng.random_bool(self.setup.loss_rate) {
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
        if let Some(delay) = self.message_delay(from, vm) {
            self.schedule(delay, SimEvent::Event(vm, event));
        }
    }

    /// Sends an answer back to the VM that asked.
    pub fn reply(&mut self, from: usize, to: usize, event: Event) {
        if let Some(delay) = self.message_delay(from, to) {
            self.schedule(delay, SimEvent::Event(to, event));
        }
    }

    fn pull(&mut self, requester: usize, responder: usize) {
        let Some(core) = &self.vms[responder].core else {
            return;
        };
        if self.vms[responder].frozen(self.now) {
            return;
        }
        let table = core.table().clone();
        self.reply(responder, requester, Event::TableReceived(table));
    }

    fn receive_grant(
        &mut self,
        target: usize,
        process: u64,
        sequence: u64,
        grants: Option<Grants>,
    ) {
        let target = &mut self.targets[target];
        let vm = target.vm;
        if target.ended {
            return;
        }
        if let Some(grants) = grants {
            let order = (grants.session.0, sequence);
            if order > target.newest_grant {
                target.newest_grant = order;
                target.grants = Some(grants);
            }
        } else {
            target.grants = None;
        }
        if self.vms[vm].process == process {
            self.report_drained(vm, sequence);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let cores = self.vms.iter().filter_map(|vm| {
            let core = vm.core.as_ref()?;
            Some((core, vm.clock.local(now)))
        });
        if let Err(violation) = checker::check_cores(cores) {
            self.record_violation(violation.to_string());
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
                self.record_violation(format!("two owners of key {key:x}"));
            }
        }
    }

    fn check_targets(&mut self) {
        let mut seen: BTreeMap<ShardId, (usize, Epoch)> = BTreeMap::new();
        let mut conflict = None;
        for (at, target) in self.targets.iter().enumerate() {
            let Some(grants) = &target.grants else {
                continue;
            };
            if self.vms[target.vm].clock.local(self.now) >= grants.until {
                continue;
            }
            for &(shard, epoch) in &grants.shards {
                if let Some(other) = seen.insert(shard, (at, epoch)) {
                    conflict = Some((shard, other.0, at));
                }
            }
        }
        if let Some((shard, a, b)) = conflict {
            self.record_violation(format!("targets {a} and {b} both hold shard {shard}"));
        }
    }

    pub fn record_violation(&mut self, what: String) {
        if self.broken.is_none() {
            self.broken = Some(Broken { at: self.now, what });
        }
    }

    /// Number of shards that some live process may serve now.
    pub fn served_shards(&self) -> usize {
        let served = self.vms.iter().filter(|vm| !vm.frozen(self.now));
        served
            .filter_map(|vm| Some(vm.core.as_ref()?.serving(vm.clock.local(self.now)).count()))
            .sum()
    }

    /// Tells whether some live process may serve the shard now.
    pub fn is_served(&self, shard: ShardId) -> bool {
        let live = self.vms.iter().filter(|vm| !vm.frozen(self.now));
        let mut cores = live.filter_map(|vm| Some((vm.core.as_ref()?, vm.clock.local(self.now))));
        cores.any(|(core, now)| core.serving(now).any(|held| held.shard == shard))
    }

    /// The newest table of the platform.
    pub fn table(&self) -> Arc<Table> {
        self.platform.table.clone()
    }
}
