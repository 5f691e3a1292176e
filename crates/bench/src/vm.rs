//! VMs of a fleet: their processes and addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::Child;

use crate::layout::Layout;

/// Which process of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The daemon.
    Daemon,
    /// The target.
    Target,
}

/// One VM.
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
    base: u16,
    pub(crate) daemon: Option<Child>,
    pub(crate) target: Option<Child>,
}

impl Vm {
    /// Returns the callers port.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base)
    }

    /// Returns the peers port.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base + 1)
    }

    /// Returns the operators port.
    pub fn operators(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base + 2)
    }

    /// Returns the announce port.
    pub fn announce(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base + 3)
    }

    /// Returns the target's own port.
    pub fn target(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.base + 4)
    }

    /// Returns where a relay listens in front of the peers port.
    pub fn relay(&self) -> SocketAddr {
        let IpAddr::V4(ip) = self.ip else {
            unreachable!("VMs have IPv4 addresses")
        };
        let [a, b, _, d] = ip.octets();
        SocketAddr::new(Ipv4Addr::new(a, b, 2, d).into(), self.base + 1)
    }

    /// Returns whether a process was started and not killed since.
    pub fn runs(&self, part: Part) -> bool {
        match part {
            Part::Daemon => self.daemon.is_some(),
            Part::Target => self.target.is_some(),
        }
    }

    /// Returns the process id of a running process.
    pub fn pid(&self, part: Part) -> Option<u32> {
        let child = match part {
            Part::Daemon => &self.daemon,
            Part::Target => &self.target,
        };
        child.as_ref().map(Child::id)
    }
}

/// Places the VMs of a layout and the platform on addresses whose ports are free.
pub(crate) fn place(layout: &Layout) -> Option<(SocketAddr, Vec<Vm>)> {
    for attempt in 0..64 {
        // Below the range from which the kernel picks ports of outgoing connections.
        let base = 10_000 + ((std::process::id() * 8 + attempt * 1_003) % 20_000) as u16;
        let vms = vms(layout, base);
        let platform = SocketAddr::from(([127, 0, 1, 254], base));
        let ports = |vm: &Vm| {
            [
                vm.callers(),
                vm.peers(),
                vm.operators(),
                vm.announce(),
                vm.target(),
            ]
        };
        let relays = vms.iter().map(Vm::relay);
        let mut all = vms.iter().flat_map(ports).chain(relays).chain([platform]);
        if all.all(|address| TcpListener::bind(address).is_ok()) {
            return Some((platform, vms));
        }
    }
    None
}

fn vms(layout: &Layout, base: u16) -> Vec<Vm> {
    let services = layout.services.iter().enumerate();
    let services = services.flat_map(|(at, s)| std::iter::repeat_n(at, s.targets));
    let vm = |(at, service): (usize, usize)| Vm {
        name: format!("vm-{}", at + 1),
        data_centre: layout.data_centre(at),
        service,
        ip: Ipv4Addr::new(127, 0, 1, at as u8 + 1).into(),
        base,
        daemon: None,
        target: None,
    };
    services.enumerate().map(vm).collect()
}
