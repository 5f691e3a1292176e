//! Faults and operations that a run contains.

use std::net::SocketAddr;
use std::time::Duration;

use masticdeal_ownership::ids::ServiceId;
use masticdeal_ownership::lease::{Event, MoveWriter};
use masticdeal_ownership::table::TargetState;
use proptest::prelude::*;
use rand::RngExt;

use super::{Partition, PartitionKind, SimEvent, Simulation, Target, ms};

/// Keys whose owners are checked, with and without an override.
pub const KEYS: [u64; 2] = [0x9abc_0000_0000_0001, 0x1234_0000_0000_0002];

/// One fault or operation.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The process stops for a while and goes on as though nothing happened.
    Freeze(usize, u64),
    FreezeAll(u64),
    /// The process dies and another starts at the same address.
    Restart(usize, u64),
    /// The VM is lost and another with a new address takes its place.
    Replace(usize, u64),
    /// The VM is lost for good.
    Kill(usize),
    /// VMs in the mask cannot talk to the others; bit 31 stands for the platform.
    Cut(u32, u64),
    /// As a cut, but calls still reach the platform and only their answers are lost.
    Mute(u32, u64),
    /// As a cut, but the platform is reached and answers.
    CutPeers(u32, u64),
    /// Messages from VMs in the mask to the others are lost, those back arrive.
    OneWay(u32, u64),
    Down(u64),
    Slow(u64),
    LoseAnswers(u64),
    /// Messages between VMs are late, reordered and lost.
    Jam(u64),
    /// The effects of the next event wait; with `true` the whole process does.
    Stall(usize, u64, bool),
    Move(usize, u32, usize, MoveWriter),
    Target(usize, TargetState),
    Silent(usize, bool),
    Leave(usize),
    Override(usize, usize, Option<usize>),
    /// The clock goes on at another rate; -1 and 1 are the largest deviations.
    Skew(usize, f64),
}

/// Draws a plan: delays in milliseconds and faults.
pub fn fault_plan(vms: usize, shards: u32) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let vm = || 0..vms;
    let length = || prop_oneof![3 => 20u64..700, 2 => 400u64..2500];
    let by = prop_oneof![Just(MoveWriter::Owner), Just(MoveWriter::Planner)];
    let state = prop_oneof![
        Just(TargetState::Ready),
        Just(TargetState::Draining),
        Just(TargetState::Away)
    ];
    let fault = prop_oneof![
        4 => (vm(), length()).prop_map(|(v, l)| Fault::Freeze(v, l)),
        1 => length().prop_map(Fault::FreezeAll),
        3 => (vm(), length()).prop_map(|(v, l)| Fault::Restart(v, l)),
        2 => (vm(), length()).prop_map(|(v, l)| Fault::Replace(v, l)),
        6 => (any::<u32>(), length()).prop_map(|(m, l)| Fault::Cut(m, l)),
        2 => (any::<u32>(), length()).prop_map(|(m, l)| Fault::OneWay(m, l)),
        3 => length().prop_map(Fault::Down),
        2 => length().prop_map(Fault::Slow),
        3 => length().prop_map(Fault::LoseAnswers),
        3 => length().prop_map(Fault::Jam),
        4 => (vm(), length(), any::<bool>()).prop_map(|(v, l, f)| Fault::Stall(v, l, f)),
        5 => (vm(), 0..shards, vm(), by).prop_map(|(p, s, t, b)| Fault::Move(p, s, t, b)),
        2 => (vm(), state).prop_map(|(v, s)| Fault::Target(v, s)),
        1 => (vm(), any::<bool>()).prop_map(|(v, s)| Fault::Silent(v, s)),
        1 => vm().prop_map(Fault::Leave),
        2 => (vm(), -1.0..1.0f64).prop_map(|(v, rate)| Fault::Skew(v, rate)),
        2 => (0..KEYS.len(), vm(), proptest::option::of(vm()))
            .prop_map(|(k, v, t)| Fault::Override(k, v, t)),
    ];
    // Some faults follow each other at once.
    let delay = prop_oneof![3 => 0u64..600, 2 => 0u64..60];
    let single = (delay, fault).prop_map(|one| vec![one]);
    let group = prop_oneof![9 => single, 1 => lost_lessor_change(vms)];
    proptest::collection::vec(group, 10..50).prop_map(|groups| groups.concat())
}

/// A lessor stops for a while, so that a lessee replaces it, and returns when the two are cut off
/// together and the answer to the replacing swap is lost.
fn lost_lessor_change(vms: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let pair = (0..vms, 1..vms).prop_map(move |(a, step)| (a, (a + step) % vms));
    (pair, 350u64..650, 200u64..500, 1200u64..2500).prop_map(|((a, b), stop, wait, l)| {
        vec![
            (300, Fault::LoseAnswers(l)),
            (0, Fault::Freeze(a, stop)),
            (wait, Fault::Mute(1 << a | 1 << b, l)),
        ]
    })
}

impl Simulation {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Freeze(vm, l) => self.freeze(vm, ms(l)),
            Fault::FreezeAll(l) => (0..self.vms.len()).for_each(|vm| self.freeze(vm, ms(l))),
            Fault::Restart(vm, l) => {
                if self.setup.report_incarnations && l % 2 == 1 {
                    self.end_target(vm);
                }
                self.restart(vm, ms(l));
            }
            Fault::Replace(vm, l) => {
                if self.kill(vm) {
                    self.replace(vm);
                    self.schedule(ms(l), SimEvent::Start(vm));
                }
            }
            Fault::Kill(vm) => {
                self.kill(vm);
                let address = self.vms[vm].address;
                self.addresses.remove(&address);
            }
            Fault::Cut(mask, l) => self.partition(mask, l, PartitionKind::Full),
            Fault::Mute(mask, l) => self.partition(mask, l, PartitionKind::ResponsesLost),
            Fault::CutPeers(mask, l) => self.partition(mask, l, PartitionKind::BetweenPeers),
            Fault::OneWay(mask, l) => self.partition(mask, l, PartitionKind::OneWay),
            Fault::Down(l) => self.platform.down_until = now + ms(l),
            Fault::Slow(l) => self.platform.slow_until = now + ms(l),
            Fault::LoseAnswers(l) => self.platform.lossy_until = now + ms(l),
            Fault::Jam(l) => self.jam_until = now + ms(l),
            Fault::Stall(vm, l, freeze) => self.vms[vm].stall = Some((ms(l), freeze)),
            Fault::Move(planner, shard, to, by) => self.request_move(planner, shard, to, by),
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
            Fault::Skew(vm, share) => {
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

    fn partition(&mut self, mask: u32, l: u64, kind: PartitionKind) {
        let id = self.rng.random_range(0..u64::MAX);
        self.partitions.push(Partition { id, mask, kind });
        self.schedule(ms(l), SimEvent::Heal(id));
    }

    fn freeze(&mut self, vm: usize, length: Duration) {
        let until = self.now + length;
        if until > self.vms[vm].frozen_until {
            self.vms[vm].frozen_until = until;
            self.schedule(length, SimEvent::Wake(vm));
        }
    }

    /// Ends the target beside a daemon; its next life holds nothing.
    pub fn end_target(&mut self, vm: usize) {
        self.vms[vm].target_restarts += 1;
        for target in self.targets.iter_mut().filter(|t| t.vm == vm) {
            // Targets of VMs that were replaced before stay as they are: such a VM may only be cut off.
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
        if self.kill(vm) {
            self.schedule(after, SimEvent::Start(vm));
        }
    }

    /// Ends the process. Returns `false` when there is none.
    pub fn kill(&mut self, at: usize) -> bool {
        let vm = &mut self.vms[at];
        let ran = vm.core.take().is_some();
        vm.process += 1;
        vm.frozen_until = Duration::ZERO;
        vm.stall = None;
        if vm.start_pending {
            return false;
        }
        vm.start_pending = ran;
        ran
    }

    /// Puts another VM in the slot. The target of the lost one keeps its grants until they end,
    /// since a cut-off VM looks the same.
    fn replace(&mut self, at: usize) {
        let port = 2000 + self.rng.random_range(0..60_000);
        let address = SocketAddr::from(([127, 0, 1, at as u8], port));
        let vm = &mut self.vms[at];
        self.addresses.remove(&vm.address);
        vm.address = address;
        vm.name = format!("vm-{at}-{port}");
        self.addresses.insert(address, at);
        let old = self.targets.iter_mut().filter(|t| t.vm == at);
        old.for_each(|t| t.replaced = true);
        self.targets.push(Target {
            vm: at,
            ..Target::default()
        });
    }

    /// Has an operator confirm every VM as lost whose process is gone.
    pub fn confirm_lost(&mut self) {
        let table = self.table();
        let mine = |s: &&masticdeal_ownership::table::Session| {
            let cores = self.vms.iter().filter_map(|vm| vm.core.as_ref());
            !cores.filter_map(|c| c.session()).any(|id| id == s.id)
        };
        let lost: Vec<_> = table
            .sessions
            .iter()
            .filter(mine)
            .map(|s| s.vm.clone())
            .collect();
        let alive = self.vms.iter().position(|vm| vm.core.is_some());
        for vm in lost {
            if let Some(at) = alive {
                self.deliver(at, Event::ConfirmLost { vm });
            }
        }
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        let now = self.now;
        self.partitions.clear();
        self.jam_until = now;
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
