//! Fault plans of failure runs: actions and their times, generated from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::platform::{Fault, Outage};
use crate::vm::Process;

/// Action on the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Kill processes of a VM.
    Kill(usize, Vec<Process>),
    /// Start those of the given processes of a VM that are not running.
    Start(usize, Vec<Process>),
    /// Suspend processes of a VM.
    Freeze(usize, Vec<Process>),
    /// Resume suspended processes of a VM.
    Thaw(usize, Vec<Process>),
    /// Partition the link between two VMs.
    Cut(usize, usize),
    /// Heal the link between two VMs.
    Heal(usize, usize),
    /// Partition all links between a data centre, given by index, and the others.
    CutDataCentre(usize),
    /// Heal all links between a data centre and the others.
    HealDataCentre(usize),
    /// Discard all further bytes on the existing connections between two VMs.
    Silence(usize, usize),
    /// Delay all links; zero ends the delay.
    Delay(Duration),
    /// Set the faults of the platform stand-in.
    Platform(Fault),
    /// Write two conflicting configurations concurrently through the daemons of two VMs.
    RaceConfig(usize, usize),
    /// Drain a VM through one daemon and concurrently return it through another or the same one.
    RaceDrain {
        /// VM to drain and return.
        vm: usize,
        /// VM whose daemon receives the drain command.
        drain: usize,
        /// VM whose daemon receives the return command.
        back: usize,
    },
    /// Return a drained VM.
    Return(usize),
}

/// Actions that cause and end faults, ordered by time.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// Time since the start of the run, and action.
    pub actions: Vec<(Duration, Action)>,
    /// Number of faults; the actions that end them are not counted.
    pub faults: usize,
}

impl FaultPlan {
    /// Generates a plan for `vms` VMs in `data_centres` data centres. All faults start within
    /// `length`; the last ones may end later.
    pub fn random(seed: u64, length: Duration, vms: usize, data_centres: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = Self::default();
        let mut at = Duration::from_secs(1);
        while at < length {
            plan.add_random_fault(&mut rng, at, vms, data_centres);
            // Some gaps are shorter than a lease, so that faults occur during earlier recoveries.
            at += Duration::from_millis(rng.random_range(200..3_000));
        }
        plan.actions.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Returns the fixed plan of the continuous checks: kills, freezes, a partition, a silenced
    /// link, an outage of the platform and a configuration race, one after another.
    pub fn short() -> Self {
        use Process::{Daemon, Target};
        let ms = Duration::from_millis;
        let mut plan = Self::default();
        plan.add_kill(ms(1_000), ms(1_500), 0, vec![Daemon]);
        plan.add_freeze(ms(4_000), ms(1_200), 1, vec![Daemon, Target]);
        plan.add_kill(ms(7_000), ms(1_000), 2, vec![Target]);
        plan.add_temporary_fault(ms(9_500), ms(1_500), Action::Cut(0, 1), Action::Heal(0, 1));
        plan.add_fault(ms(12_000), Action::Silence(1, 2));
        let hang = Fault {
            down: Outage::Hang,
            ..Fault::default()
        };
        plan.add_platform_fault(ms(14_000), ms(2_000), hang);
        plan.add_fault(ms(17_500), Action::RaceConfig(0, 1));
        plan.add_freeze(ms(19_000), ms(1_200), 3, vec![Daemon]);
        plan.actions.sort_by_key(|(at, _)| *at);
        plan
    }

    fn add_random_fault(
        &mut self,
        rng: &mut StdRng,
        at: Duration,
        vms: usize,
        data_centres: usize,
    ) {
        let length = Duration::from_millis(rng.random_range(100..3_500));
        // `other` and `third` differ from `vm`, but may be equal.
        let vm = rng.random_range(0..vms);
        let other = (vm + rng.random_range(1..vms)) % vms;
        let third = (vm + rng.random_range(1..vms)) % vms;
        let processes = match rng.random_range(0..3) {
            0 => vec![Process::Daemon],
            1 => vec![Process::Target],
            _ => vec![Process::Daemon, Process::Target],
        };
        let dc = rng.random_range(0..data_centres);
        match rng.random_range(0..20) {
            0..4 => self.add_kill(at, length, vm, processes),
            4..9 => self.add_freeze(at, length, vm, processes),
            9..11 => self.add_temporary_fault(
                at,
                length,
                Action::Cut(vm, other),
                Action::Heal(vm, other),
            ),
            11 => self.add_temporary_fault(
                at,
                length,
                Action::CutDataCentre(dc),
                Action::HealDataCentre(dc),
            ),
            12..14 => self.add_fault(at, Action::Silence(vm, other)),
            14 => {
                let delay = Duration::from_millis(rng.random_range(1..120));
                self.add_temporary_fault(
                    at,
                    length,
                    Action::Delay(delay),
                    Action::Delay(Duration::ZERO),
                );
            }
            15..18 => {
                let fault = platform_fault(rng);
                self.add_platform_fault(at, length, fault);
            }
            18 => self.add_fault(at, Action::RaceConfig(vm, other)),
            _ => {
                let (drain, back) = (other, third);
                self.add_temporary_fault(
                    at,
                    length,
                    Action::RaceDrain { vm, drain, back },
                    Action::Return(vm),
                );
            }
        }
    }

    fn add_kill(&mut self, at: Duration, length: Duration, vm: usize, processes: Vec<Process>) {
        let start_action = Action::Start(vm, processes.clone());
        self.add_temporary_fault(at, length, Action::Kill(vm, processes), start_action);
    }

    fn add_freeze(&mut self, at: Duration, length: Duration, vm: usize, processes: Vec<Process>) {
        let thaw_action = Action::Thaw(vm, processes.clone());
        self.add_temporary_fault(at, length, Action::Freeze(vm, processes), thaw_action);
    }

    fn add_platform_fault(&mut self, at: Duration, length: Duration, fault: Fault) {
        let clear = Action::Platform(Fault::default());
        self.add_temporary_fault(at, length, Action::Platform(fault), clear);
    }

    fn add_temporary_fault(
        &mut self,
        at: Duration,
        length: Duration,
        start_action: Action,
        end_action: Action,
    ) {
        self.add_fault(at, start_action);
        self.actions.push((at + length, end_action));
    }

    fn add_fault(&mut self, at: Duration, action: Action) {
        self.actions.push((at, action));
        self.faults += 1;
    }
}

fn platform_fault(rng: &mut StdRng) -> Fault {
    let kind = rng.random_range(0..5);
    let no_fault = Fault::default();
    match kind {
        0 => Fault {
            down: Outage::Refuse,
            ..no_fault
        },
        1 => Fault {
            down: Outage::Hang,
            ..no_fault
        },
        2 => Fault {
            delay_ms: rng.random_range(20..700),
            ..no_fault
        },
        3 => Fault {
            lose_answers: rng.random_range(0.1..0.9),
            ..no_fault
        },
        _ => Fault {
            late_writes: rng.random_range(0.1..0.9),
            late_ms: rng.random_range(50..1_500),
            ..no_fault
        },
    }
}
