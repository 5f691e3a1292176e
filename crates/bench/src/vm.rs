//! VMs of a fleet, with their processes and addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::Child;

use crate::layout::Layout;

/// Kind of process on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Process {
    /// The daemon.
    Daemon,
    /// The target.
    Target,
}

/// VM with its processes.
#[derive(Debug)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Index of its service in the layout.
    pub service: usize,
    /// Address of the VM.
    pub ip: IpAddr,
    base_port: u16,
    pub(crate) daemon: Option<Child>,
    pub(crate) target: Option<Child>,
}

impl Vm {
    /// Returns the address of the caller port.
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port)
    }

    /// Returns the address of the peer port.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 1)
    }

    /// Returns the address of the operator port.
    pub fn operator_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 2)
    }

    /// Returns the address of the announce port.
    pub fn announce_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 3)
    }

    /// Returns the address of the target.
    pub fn target_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base_port + 4)
    }

    /// Returns the address of the relay in front of the peer port.
    pub fn relay_address(&self) -> SocketAddr {
        let IpAddr::V4(ip) = self.ip else {
            unreachable!("VMs have IPv4 addresses")
        };
        let [a, b, _, d] = ip.octets();
        SocketAddr::new(Ipv4Addr::new(a, b, 2, d).into(), self.base_port + 1)
    }

    /// Returns whether a process was started and has not been killed since.
    pub fn is_running(&self, process: Process) -> bool {
        match process {
            Process::Daemon => self.daemon.is_some(),
            Process::Target => self.target.is_some(),
        }
    }

    /// Returns the process id of a running process.
    pub fn pid(&self, process: Process) -> Option<u32> {
        let child = match process {
            Process::Daemon => &self.daemon,
            Process::Target => &self.target,
        };
        child.as_ref().map(Child::id)
    }
}

/// Assigns addresses to the platform stand-in and the VMs of a layout. Returns `None` if none of
/// the base ports tried has all ports of the fleet free.
pub(crate) fn assign_addresses(layout: &Layout) -> Option<(SocketAddr, Vec<Vm>)> {
    for attempt in 0..64 {
        // Below the kernel's ephemeral port range.
        let base_port = 10_000 + ((std::process::id() * 8 + attempt * 1_003) % 20_000) as u16;
        let vms = create_vms(layout, base_port);
        let platform = SocketAddr::from(([127, 0, 1, 254], base_port));
        let addresses = |vm: &Vm| {
            [
                vm.caller_address(),
                vm.peer_address(),
                vm.operator_address(),
                vm.announce_address(),
                vm.target_address(),
            ]
        };
        let relays = vms.iter().map(Vm::relay_address);
        let mut all_addresses = vms
            .iter()
            .flat_map(addresses)
            .chain(relays)
            .chain([platform]);
        if all_addresses.all(|address| TcpListener::bind(address).is_ok()) {
            return Some((platform, vms));
        }
    }
    None
}

fn create_vms(layout: &Layout, base_port: u16) -> Vec<Vm> {
    let services = layout.services.iter().enumerate();
    let services = services.flat_map(|(index, s)| std::iter::repeat_n(index, s.targets));
    let vm = |(index, service): (usize, usize)| Vm {
        name: format!("vm-{}", index + 1),
        data_centre: layout.data_centre(index),
        service,
        ip: Ipv4Addr::new(127, 0, 1, index as u8 + 1).into(),
        base_port,
        daemon: None,
        target: None,
    };
    services.enumerate().map(vm).collect()
}
