//! Deployments of the runs: services, sizes and configuration.

use std::fmt::Write;

use http::Method;

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name, also the first segment of its paths.
    pub name: &'static str,
    /// Number of targets, each with its own daemon.
    pub targets: usize,
    /// Number of shards; 0 for an unsharded service.
    pub shards: u32,
    /// Whether its targets check grants.
    pub checks_grants: bool,
    /// Method of its requests.
    pub method: Method,
}

/// Deployment of services on VMs.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Region of all VMs.
    pub region: &'static str,
    /// Number of data centres; VMs are assigned to them in turn.
    pub data_centres: usize,
    /// Slots of each target.
    pub slots: u16,
    /// Maximum number of connections of each target.
    pub connections: usize,
    /// Services in the order of their VMs.
    pub services: Vec<Service>,
}

fn service(name: &'static str, targets: usize, shards: u32, method: Method) -> Service {
    Service {
        name,
        targets,
        shards,
        checks_grants: false,
        method,
    }
}

impl Layout {
    /// Returns the deployment of the municipal death notice service.
    pub fn kocaeli() -> Self {
        Self {
            region: "marmara",
            data_centres: 3,
            slots: 6,
            connections: 130,
            services: vec![
                service("search", 6, 256, Method::GET),
                service("registration", 4, 0, Method::POST),
                service("documents", 3, 0, Method::GET),
            ],
        }
    }

    /// Returns the deployment of the congress programme app.
    pub fn hanoi() -> Self {
        Self {
            region: "vietnam",
            data_centres: 4,
            slots: 9,
            connections: 70,
            services: vec![
                service("programme", 5, 256, Method::GET),
                service("registration", 4, 0, Method::POST),
                service("library", 4, 0, Method::GET),
            ],
        }
    }

    /// Returns the deployment with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "kocaeli" => Some(Self::kocaeli()),
            "hanoi" => Some(Self::hanoi()),
            _ => None,
        }
    }

    /// Returns a deployment of one sharded service on `vms` VMs in three data centres.
    pub fn single_sharded(vms: usize, shards: u32) -> Self {
        Self {
            services: vec![service("search", vms, shards, Method::GET)],
            ..Self::kocaeli()
        }
    }

    /// Returns the name of the data centre of the VM with this index.
    pub fn data_centre(&self, vm: usize) -> String {
        let letter = b'a' + (vm % self.data_centres) as u8;
        format!("dc-{}", letter as char)
    }

    /// Returns the deployment configuration, with the same deadline for all services.
    pub fn config(&self, deadline_ms: u64) -> String {
        let mut text = String::new();
        for service in &self.services {
            let checks = if service.checks_grants { "yes" } else { "no" };
            let name = service.name;
            let _ = writeln!(text, "[service {name}]\npaths = /{name}/");
            if service.shards > 0 {
                let _ = writeln!(text, "divided = yes\nshards = {}", service.shards);
                text.push_str("key = path 2\n");
            }
            let _ = writeln!(text, "deadline_ms = {deadline_ms}");
            let _ = writeln!(text, "targets_check_grants = {checks}\n");
        }
        text
    }
}
