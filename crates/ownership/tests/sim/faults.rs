//! Faults and operations of a simulation run.

use std::net::SocketAddr;
use std::time::Duration;

use masticdeal_ownership::ids::ServiceId;
use masticdeal_ownership::lease::{Event, MoveWriter};
use masticdeal_ownership::table::TargetState;
use proptest::prelude::*;
use rand::RngExt;

use super::{Partition, PartitionKind, SimEvent, Simulation, Target, ms};

/// Keys for which each check counts the processes that serve them; some runs create key overrides
/// for them.
pub const KEYS: [u64; 2] = [0x9abc_0000_0000_0001, 0x1234_0000_0000_0002];

/// A fault or an operation. A `usize` is the index of a VM and a `u64` a duration in milliseconds,
/// unless stated otherwise.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The process is paused and resumes after the duration.
    Pause(usize, u64),
    /// All processes are paused.
    PauseAll(u64),
    /// The process ends and another starts at the same address. With
    /// [`Setup::report_incarnations`](super::Setup::report_incarnations), an odd duration is a
    /// power loss, which ends the target too.
    Restart(usize, u64),
    /// The VM is lost and replaced by one with a new address.
    Replace(usize, u64),
    /// The VM is lost and not replaced.
    Kill(usize),
    /// VMs in the mask cannot communicate with the others; bit 31 is the platform.
    Cut(u32, u64),
    /// As `Cut`, but calls reach the platform and only the responses are lost.
    CutResponses(u32, u64),
    /// As `Cut`, but the platform stays reachable.
    CutPeers(u32, u64),
    /// Messages from VMs in the mask to the others are lost; those in the other direction arrive,
    /// except that calls to a platform on the other side never do.
    OneWay(u32, u64),
    /// The store is unavailable; writes that are sent meanwhile may take effect late.
    Down(u64),
    /// The store is away for the second duration and is restored from a backup that is as old as
    /// the first one.
    RestoreStore(u64, u64),
    /// Calls to the store, its responses and its updates to daemons that watch it are delayed at
    /// random.
    Slow(u64),
    /// Responses of the store and its updates to daemons that watch it are lost at random.
    LoseResponses(u64),
    /// Messages between VMs are delayed, reordered or lost.
    Congestion(u64),
    /// The effects of the next event that has any are delayed; with `true` the whole process is
    /// paused meanwhile.
    Stall(usize, u64, bool),
    /// A planner requests a move: the VM of the planner, the shard, the VM of the next owner, and
    /// who writes the move to the table.
    Move(usize, u32, usize, MoveWriter),
    /// The target announces this state.
    Target(usize, TargetState),
    /// The target stops (`true`) or resumes its announcements.
    Silent(usize, bool),
    /// The daemon leaves and is restarted later.
    Leave(usize),
    /// A daemon requests another owner for a key: the index of the key, the VM of the daemon, and
    /// the VM of the next owner. `None` returns the key to the owner of its shard.
    Override(usize, usize, Option<usize>),
    /// The clock changes its rate; -1 and 1 are the largest deviations in either direction.
    Drift(usize, f64),
}

/// Generates fault plans: faults, each with the delay in milliseconds after the previous one.
pub fn fault_plan(vms: usize, shards: u32) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let vm = || 0..vms;
    let length = || prop_oneof![3 => 20u64..700, 2 => 400u64..2500];
    let writer = prop_oneof![Just(MoveWriter::Owner), Just(MoveWriter::Planner)];
    let state = prop_oneof![
        Just(TargetState::Ready),
        Just(TargetState::Draining),
        Just(TargetState::Away)
    ];
    let fault = prop_oneof![
        4 => (vm(), length()).prop_map(|(v, len)| Fault::Pause(v, len)),
        1 => length().prop_map(Fault::PauseAll),
        3 => (vm(), length()).prop_map(|(v, len)| Fault::Restart(v, len)),
        2 => (vm(), length()).prop_map(|(v, len)| Fault::Replace(v, len)),
        6 => (any::<u32>(), length()).prop_map(|(m, len)| Fault::Cut(m, len)),
        2 => (any::<u32>(), length()).prop_map(|(m, len)| Fault::OneWay(m, len)),
        3 => length().prop_map(Fault::Down),
        2 => length().prop_map(Fault::Slow),
        3 => length().prop_map(Fault::LoseResponses),
        3 => length().prop_map(Fault::Congestion),
        4 => (vm(), length(), any::<bool>()).prop_map(|(v, len, f)| Fault::Stall(v, len, f)),
        5 => (vm(), 0..shards, vm(), writer).prop_map(|(p, s, t, w)| Fault::Move(p, s, t, w)),
        2 => (vm(), state).prop_map(|(v, s)| Fault::Target(v, s)),
        1 => (vm(), any::<bool>()).prop_map(|(v, s)| Fault::Silent(v, s)),
        1 => vm().prop_map(Fault::Leave),
        2 => (vm(), -1.0..1.0f64).prop_map(|(v, rate)| Fault::Drift(v, rate)),
        2 => (0..KEYS.len(), vm(), proptest::option::of(vm()))
            .prop_map(|(k, v, t)| Fault::Override(k, v, t)),
    ];
    // Some faults follow each other closely.
    let delay = prop_oneof![3 => 0u64..600, 2 => 0u64..60];
    let single = (delay, fault).prop_map(|one| vec![one]);
    let group = prop_oneof![9 => single, 1 => lost_lessor_change(vms)];
    proptest::collection::vec(group, 10..50).prop_map(|groups| groups.concat())
}

/// Aims at a lessee that replaces a paused lessor and gets no response to the swap. Pauses one VM;
/// about when it resumes, it and another VM are cut off from the rest; their calls reach the
/// platform, but the responses are lost. Both VMs are drawn at random, so only some plans meet the
/// case.
fn lost_lessor_change(vms: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let pair = (0..vms, 1..vms).prop_map(move |(a, step)| (a, (a + step) % vms));
    (pair, 350u64..650, 200u64..500, 1200u64..2500).prop_map(
        |((a, b), pause_ms, wait_ms, length_ms)| {
            vec![
                (300, Fault::LoseResponses(length_ms)),
                (0, Fault::Pause(a, pause_ms)),
                (wait_ms, Fault::CutResponses(1 << a | 1 << b, length_ms)),
            ]
        },
    )
}

impl Simulation {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Pause(vm, length_ms) => self.pause(vm, ms(length_ms)),
            Fault::PauseAll(length_ms) => {
                (0..self.vms.len()).for_each(|vm| self.pause(vm, ms(length_ms)))
            }
            Fault::Restart(vm, length_ms) => {
                if self.setup.report_incarnations && length_ms % 2 == 1 {
                    self.end_target(vm);
                }
                self.restart(vm, ms(length_ms));
            }
            Fault::Replace(vm, length_ms) => {
                if self.end_process(vm) {
                    self.replace(vm);
                    self.schedule(ms(length_ms), SimEvent::Start(vm));
                }
            }
            Fault::Kill(vm) => {
                self.end_process(vm);
                let address = self.vms[vm].address;
                self.addresses.remove(&address);
            }
            Fault::Cut(mask, length_ms) => self.partition(mask, length_ms, PartitionKind::Full),
            Fault::CutResponses(mask, length_ms) => {
                self.partition(mask, length_ms, PartitionKind::ResponsesLost)
            }
            Fault::CutPeers(mask, length_ms) => {
                self.partition(mask, length_ms, PartitionKind::BetweenPeers)
            }
            Fault::OneWay(mask, length_ms) => {
                self.partition(mask, length_ms, PartitionKind::OneWay)
            }
            Fault::Down(length_ms) => self.platform.down_until = now + ms(length_ms),
            Fault::RestoreStore(age_ms, away_ms) => self.restore_store(ms(age_ms), ms(away_ms)),
            Fault::Slow(length_ms) => self.platform.slow_until = now + ms(length_ms),
            Fault::LoseResponses(length_ms) => self.platform.lossy_until = now + ms(length_ms),
            Fault::Congestion(length_ms) => self.congested_until = now + ms(length_ms),
            Fault::Stall(vm, length_ms, pause) => self.vms[vm].stall = Some((ms(length_ms), pause)),
            Fault::Move(planner, shard, to, writer) => {
                self.request_move(planner, shard, to, writer)
            }
            Fault::Target(vm, state) => {
                self.vms[vm].target = state;
                self.announce(vm);
            }
            Fault::Silent(vm, silent) => {
                self.vms[vm].target_silent = silent;
                self.announce(vm);
            }
            Fault::Leave(vm) => {
                self.deliver(vm, Event::LeaveRequested);
                self.schedule(ms(2000), SimEvent::Fault(Fault::Restart(vm, 100)));
            }
            Fault::Drift(vm, share) => {
                let rate = 1.0 + self.setup.max_drift * share;
                self.vms[vm].clock.set_rate(now, rate);
            }
            Fault::Override(key, vm, to) => {
                let to = to.and_then(|t| self.vms[t].core.as_ref()?.session());
                let event = Event::OverrideRequested {
                    service: ServiceId(0),
                    key_hash: KEYS[key],
                    to,
                };
                self.deliver(vm, event);
            }
        }
    }

    fn partition(&mut self, mask: u32, length_ms: u64, kind: PartitionKind) {
        let id = self.rng.random_range(0..u64::MAX);
        self.partitions.push(Partition { id, mask, kind });
        self.schedule(ms(length_ms), SimEvent::Heal(id));
    }

    fn pause(&mut self, vm: usize, length: Duration) {
        let until = self.now + length;
        if until > self.vms[vm].paused_until {
            self.vms[vm].paused_until = until;
            self.schedule(length, SimEvent::Resume(vm));
        }
    }

    /// Ends the target beside a daemon and starts a new incarnation, which holds no grants.
    pub fn end_target(&mut self, vm: usize) {
        self.vms[vm].target_restarts += 1;
        for target in self.targets.iter_mut().filter(|t| t.vm == vm) {
            // The target of a replaced VM keeps its state, since that VM may still run, cut off
            // from the others.
            if !target.replaced {
                target.ended = true;
                target.grants = None;
            }
        }
        self.targets.push(Target {
            vm,
            ..Target::default()
        });
    }

    fn restart(&mut self, vm: usize, after: Duration) {
        if self.end_process(vm) {
            self.schedule(after, SimEvent::Start(vm));
        }
    }

    /// Ends the process. Returns whether one was running.
    pub fn end_process(&mut self, index: usize) -> bool {
        let vm = &mut self.vms[index];
        let ran = vm.core.take().is_some();
        vm.process += 1;
        vm.paused_until = Duration::ZERO;
        vm.stall = None;
        if vm.process_ended {
            return false;
        }
        vm.process_ended = ran;
        ran
    }

    /// Replaces the VM. The target of the lost VM keeps its grants until they end, since a lost VM
    /// cannot be told from one that is cut off and still runs.
    fn replace(&mut self, index: usize) {
        let port = 2000 + self.rng.random_range(0..60_000);
        let address = SocketAddr::from(([127, 0, 1, index as u8], port));
        let vm = &mut self.vms[index];
        self.addresses.remove(&vm.address);
        vm.address = address;
        vm.name = format!("vm-{index}-{port}");
        self.addresses.insert(address, index);
        let former = self.targets.iter_mut().filter(|t| t.vm == index);
        former.for_each(|t| t.replaced = true);
        self.targets.push(Target {
            vm: index,
            ..Target::default()
        });
    }

    /// Lets an operator confirm the loss of the VM of each session that no running process holds.
    pub fn confirm_lost(&mut self) {
        let table = self.table();
        let has_no_process = |s: &&masticdeal_ownership::table::Session| {
            let cores = self.vms.iter().filter_map(|vm| vm.core.as_ref());
            !cores.filter_map(|c| c.session()).any(|id| id == s.id)
        };
        let lost: Vec<_> = table
            .sessions
            .iter()
            .filter(has_no_process)
            .map(|s| s.vm.clone())
            .collect();
        let running_vm = self.vms.iter().position(|vm| vm.core.is_some());
        for vm in lost {
            if let Some(running_vm) = running_vm {
                self.deliver(running_vm, Event::ConfirmLost { vm });
            }
        }
    }

    /// Ends the faults of the network, the platform and the targets, drops pending stalls, and makes
    /// all targets ready. Paused processes resume at the end of their pause.
    pub fn clear_faults(&mut self) {
        let now = self.now;
        self.partitions.clear();
        self.congested_until = now;
        self.platform.down_until = now;
        self.platform.slow_until = now;
        self.platform.lossy_until = now;
        for vm in 0..self.vms.len() {
            self.vms[vm].stall = None;
            self.vms[vm].target_silent = false;
            self.vms[vm].target = TargetState::Ready;
            self.announce(vm);
        }
    }
}
