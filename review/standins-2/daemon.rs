//! A daemon of the project as a process of its own, with the settings that the deploy file's template
//! gives a small deployment.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;
use crate::util::{free_ports, record, wait_for};

/// Bounds of the small deployments that the settings contain.
const BOUNDS: [(&str, &str); 5] = [
    ("bounds.grace-s", "6"),
    ("bounds.hold-max-s", "10"),
    ("bounds.retry-budget-slack", "62"),
    ("bounds.budget-window-s", "10"),
    ("bounds.evacuation-s", ""),
];

/// Place of a daemon, and the worker beside it.
#[derive(Debug, Clone)]
pub struct Site {
    pub name: String,
    pub zone: String,
    pub service: String,
}

pub struct Daemon {
    pub site: Site,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    /// Address under which the other daemons reach the peer port.
    pub advertised: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon. With `proxied`, its peer port is reached over another address.
    pub fn new(dir: &Path, site: Site, store: SocketAddr, proxied: bool) -> Daemon {
        let ports = free_ports(6);
        let advertised = if proxied { ports[5] } else { ports[1] };
        let daemon = Daemon {
            callers: ports[0],
            peers: ports[1],
            advertised,
            ready: ports[2],
            control: ports[3],
            app: ports[4],
            settings: dir.join(format!("{}.ini", site.name)),
            log: dir.join(format!("{}.log", site.name)),
            site,
            child: None,
        };
        fs::write(&daemon.settings, daemon.render(store)).unwrap();
        daemon
    }

    fn render(&self, store: SocketAddr) -> String {
        let mut text = fs::read_to_string("deploy/daemon.ini").unwrap();
        let peers = self.peers.to_string();
        text = text.replace("{{ip}}:{{internal-ports.0}}", &peers);
        let own = [
            ("node", self.site.name.clone()),
            ("region", "region-1".into()),
            ("zone", self.site.zone.clone()),
            ("listen.outbound", self.callers.to_string()),
            ("listen.ready", self.ready.to_string()),
            ("listen.control", self.control.to_string()),
            ("service", self.site.service.clone()),
            ("app-addr", self.app.to_string()),
            ("platform.address", store.to_string()),
            ("platform.writes-per-s", "400".into()),
            ("limits.link-mbps", "1000".into()),
        ];
        for (name, value) in own {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        for (name, value) in BOUNDS {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        assert!(
            !text.contains("{{"),
            "the template has unknown fields:\n{text}"
        );
        if self.advertised != self.peers {
            let line = format!("peers = {peers}");
            text = text.replace(
                &line,
                &format!("{line}\npeers_advertised = {}", self.advertised),
            );
        }
        text
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new("target/release/masticdeald-on-platform")
            .arg("--config")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        record(&format!(
            "daemon {} starts, process {}",
            self.site.name,
            child.id()
        ));
        // The case ends the processes of this file if the scenario does not end by itself.
        let pids = self.settings.with_file_name("pids");
        let mut pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(pids)
            .unwrap();
        let _ = writeln!(pids, "{}", child.id());
        self.child = Some(child);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        record(&format!("daemon {} gets SIG{name}", self.site.name));
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
    }

    /// Waits until the process has ended after a signal; kills it after `limit`.
    pub fn wait_end(&mut self, limit: Duration) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let until = crate::util::now() + limit;
        while crate::util::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                record(&format!("daemon {} ended: {status}", self.site.name));
                return;
            }
            crate::util::sleep_ms(10);
        }
        record(&format!("daemon {} is killed", self.site.name));
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let response = http::call(
            self.ready,
            "GET /readyz HTTP/1.1",
            &[("Host", "x")],
            b"",
            limit,
        );
        response.is_ok_and(|(head, _)| head.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all daemons are ready.
pub fn wait_ready(daemons: &[Daemon]) -> bool {
    let all = wait_for(Duration::from_secs(20), || {
        daemons.iter().all(Daemon::is_ready)
    });
    record(if all {
        "all daemons are ready"
    } else {
        "daemons are not ready"
    });
    all
}
