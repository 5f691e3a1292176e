//! Fleet of real processes on loopback: platform stand-in, daemons and target stand-ins.
//!
//! The fleet owns its processes and kills them when it is dropped. Each VM has its own loopback
//! address, so that the source address of a connection identifies the peer.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use displaydoc::Display;
use http::Method;
use rustix::process::{Pid, Signal, kill_process};

use crate::http1;
use crate::layout::Layout;
use crate::operator_client::{CALL_TIMEOUT, OperatorClient};
use crate::platform::{Fault, Stats};
use crate::records::{Event, read_all};
use crate::vm::{Process, Vm, assign_addresses};
use crate::{load, target};

/// Operators' secret of every fleet.
const OPERATORS_SECRET: &str = "operators-of-a-run-on-loopback";

/// Error of starting or controlling a fleet.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}: {1}
    Io(String, std::io::Error),
    /// found no base port at which all ports of the fleet are free
    NoPorts,
    /// {0} exited with {1}; logs are in {2}
    ProcessExited(String, std::process::ExitStatus, String),
    /// fleet not ready after {0:?}: {1}
    NotReady(Duration, String),
    /// daemon rejected the configuration with status {0}: {1}
    ConfigRejected(u16, String),
    /// {0}
    Http(http1::Error),
}

impl std::error::Error for Error {}

impl From<http1::Error> for Error {
    fn from(e: http1::Error) -> Self {
        Self::Http(e)
    }
}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Options of a fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// Whether daemons advertise the addresses of the relays to their peers.
    pub relayed: bool,
    /// Whether targets run inside this process. They cannot be killed or frozen, and write no
    /// records.
    pub inline_targets: bool,
}

/// Fleet with its processes.
#[derive(Debug)]
pub struct Fleet {
    /// Services, their sizes and the data centres.
    pub layout: Layout,
    /// VMs in the order of the layout's services.
    pub vms: Vec<Vm>,
    /// Directory with settings, logs and records.
    pub dir: PathBuf,
    /// Client of the daemons' operator ports.
    pub operator_client: OperatorClient,
    options: Options,
    inline_tasks: Vec<tokio::task::JoinHandle<std::io::Result<()>>>,
    platform_address: SocketAddr,
    platform: Child,
}

impl Fleet {
    /// Assigns addresses to the VMs and starts the platform stand-in, but no daemons and targets.
    ///
    /// # Errors
    ///
    /// If a file cannot be written, no ports are free, or a process does not start.
    pub fn new(layout: Layout, options: Options) -> Result<Self> {
        let dir = create_run_dir()?;
        let (platform_address, vms) = assign_addresses(&layout).ok_or(Error::NoPorts)?;
        let mut command = Command::new(binary_path("platform-standin"));
        command.args(["--listen", &platform_address.to_string()]);
        let platform = spawn(command, &dir.join("platform.log"))?;
        let fleet = Self {
            layout,
            vms,
            dir,
            operator_client: OperatorClient::new(OPERATORS_SECRET),
            options,
            inline_tasks: Vec::new(),
            platform_address,
            platform,
        };
        write_file(&fleet.secret_file(), OPERATORS_SECRET)?;
        Ok(fleet)
    }

    /// Starts all daemons and targets, writes the configuration and waits until the fleet is ready.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub async fn start(&mut self, timeout: Duration) -> Result<()> {
        for vm in 0..self.vms.len() {
            self.start_process(vm, Process::Daemon)?;
            self.start_process(vm, Process::Target)?;
        }
        self.write_initial_config(timeout).await?;
        self.wait_ready(timeout).await
    }

    /// Starts a daemon or a target at the addresses of its VM.
    ///
    /// # Errors
    ///
    /// If the process does not start.
    pub fn start_process(&mut self, vm: usize, process: Process) -> Result<()> {
        if process == Process::Target && self.options.inline_targets {
            return self.start_inline_target(vm);
        }
        let log = self
            .dir
            .join(format!("{}-{process:?}.log", self.vms[vm].name));
        let command = match process {
            Process::Daemon => self.daemon_command(vm)?,
            Process::Target => self.target_command(vm),
        };
        let child = spawn(command, &log)?;
        match process {
            Process::Daemon => self.vms[vm].daemon = Some(child),
            Process::Target => self.vms[vm].target = Some(child),
        }
        Ok(())
    }

    fn start_inline_target(&mut self, vm: usize) -> Result<()> {
        let (vm, layout) = (&self.vms[vm], &self.layout);
        let io_error = |e| Error::Io(vm.name.clone(), e);
        let listener = std::net::TcpListener::bind(vm.target_address()).map_err(io_error)?;
        listener.set_nonblocking(true).map_err(io_error)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(io_error)?;
        let settings = target::Settings {
            name: vm.name.clone(),
            service: layout.services[vm.service].name.to_owned(),
            announce: Some(vm.announce_address()),
            slots: layout.slots,
            connections: layout.connections,
            checks_grants: layout.services[vm.service].checks_grants,
            ..target::Settings::default()
        };
        let task = tokio::spawn(target::serve(listener, settings));
        self.inline_tasks.push(task);
        Ok(())
    }

    /// Kills a daemon or a target and waits until it has exited.
    pub fn kill(&mut self, vm: usize, process: Process) {
        let child = match process {
            Process::Daemon => self.vms[vm].daemon.take(),
            Process::Target => self.vms[vm].target.take(),
        };
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends a process with `SIGSTOP`.
    pub fn freeze(&self, vm: usize, process: Process) {
        self.signal(vm, process, Signal::STOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn thaw(&self, vm: usize, process: Process) {
        self.signal(vm, process, Signal::CONT);
    }

    fn signal(&self, vm: usize, process: Process, signal: Signal) {
        let pid = self.vms[vm].pid(process);
        if let Some(pid) = pid.and_then(|pid| Pid::from_raw(pid as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    fn daemon_command(&self, vm: usize) -> Result<Command> {
        let settings = self.dir.join(format!("{}.ini", self.vms[vm].name));
        write_file(&settings, &self.daemon_settings(vm))?;
        let mut command = Command::new(binary_path("masticdeald"));
        command.arg("--config").arg(settings);
        Ok(command)
    }

    fn daemon_settings(&self, vm: usize) -> String {
        let region = self.layout.region;
        let vm = &self.vms[vm];
        let advertised = match self.options.relayed {
            true => format!("peers_advertised = {}\n", vm.relay_address()),
            false => String::new(),
        };
        format!(
            "[daemon]\nname = {}\nregion = {region}\ndata_centre = {}\n\
             [listen]\ncallers = {}\npeers = {}\n{advertised}operators = {}\nannounce = {}\n\
             [platform]\naddress = {}\ntimeout_ms = 500\n\
             [secret]\npeers = peers-of-a-run-on-loopback\noperators = {OPERATORS_SECRET}\n\
             [log]\nlevel = info\n",
            vm.name,
            vm.data_centre,
            vm.caller_address(),
            vm.peer_address(),
            vm.operator_address(),
            vm.announce_address(),
            self.platform_address,
        )
    }

    fn target_command(&self, vm: usize) -> Command {
        let vm = &self.vms[vm];
        let service = &self.layout.services[vm.service];
        let mut command = Command::new(binary_path("target-standin"));
        command
            .args(["--listen", &vm.target_address().to_string()])
            .args(["--announce", &vm.announce_address().to_string()])
            .args(["--name", &vm.name, "--service", service.name])
            .args(["--slots", &self.layout.slots.to_string()])
            .args(["--connections", &self.layout.connections.to_string()])
            .arg("--record")
            .arg(self.record_file(&vm.name));
        if service.checks_grants {
            command.arg("--checks-grants");
        }
        command
    }

    fn record_file(&self, vm: &str) -> PathBuf {
        self.dir.join(format!("{vm}.jsonl"))
    }

    /// Returns the path of the file with the operators' secret.
    pub fn secret_file(&self) -> PathBuf {
        self.dir.join("secret")
    }

    async fn write_initial_config(&mut self, timeout: Duration) -> Result<()> {
        let start = Instant::now();
        let text = self.layout.config(2_000);
        loop {
            self.check_alive()?;
            let address = self.vms[0].operator_address();
            match self
                .operator_client
                .put_config(address, 0, &text, "run")
                .await
            {
                Ok(response) if response.status.is_success() => return Ok(()),
                Ok(response) if response.status == 409 => return Ok(()),
                Ok(response) if response.status == 400 || start.elapsed() > timeout => {
                    return Err(Error::ConfigRejected(
                        response.status.as_u16(),
                        response.text(),
                    ));
                }
                Err(e) if start.elapsed() > timeout => return Err(e.into()),
                _ => tokio::time::sleep(Duration::from_millis(100)).await,
            }
        }
    }

    /// Waits until every running daemon responds to `/readyz` with status 200.
    ///
    /// # Errors
    ///
    /// [`Error::ProcessExited`] if a daemon or target has exited, [`Error::NotReady`] after the
    /// timeout.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Result<()> {
        let start = Instant::now();
        loop {
            self.check_alive()?;
            let mut not_ready = String::new();
            for vm in (0..self.vms.len()).filter(|&vm| self.vms[vm].is_running(Process::Daemon)) {
                let name = &self.vms[vm].name;
                let address = self.vms[vm].operator_address();
                match self.operator_client.read(address, "/readyz").await {
                    Ok(response) if response.status == 200 => {}
                    Ok(response) => not_ready += &format!("{name}: {}; ", response.text().trim()),
                    Err(e) => not_ready += &format!("{name}: {e}; "),
                }
            }
            if not_ready.is_empty() {
                return Ok(());
            }
            if start.elapsed() > timeout {
                return Err(Error::NotReady(timeout, not_ready));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Checks that no started daemon or target process has exited by itself.
    ///
    /// # Errors
    ///
    /// [`Error::ProcessExited`] with the first process that has exited.
    pub fn check_alive(&mut self) -> Result<()> {
        let dir = self.dir.display().to_string();
        for vm in &mut self.vms {
            for (process, child) in [("daemon", &mut vm.daemon), ("target", &mut vm.target)] {
                let exit_status = child.as_mut().and_then(|c| c.try_wait().ok().flatten());
                if let Some(status) = exit_status {
                    return Err(Error::ProcessExited(
                        format!("{process} of {}", vm.name),
                        status,
                        dir,
                    ));
                }
            }
        }
        Ok(())
    }

    /// Sets the faults of the platform stand-in.
    ///
    /// # Errors
    ///
    /// If it does not respond.
    pub async fn set_platform_faults(&self, fault: &Fault) -> http1::Result<()> {
        let body = serde_json::to_vec(fault).unwrap_or_default();
        let (address, path) = (self.platform_address, "/control/fault");
        let sent =
            self.operator_client
                .http
                .send(Method::POST, address, path, &[], body, CALL_TIMEOUT);
        sent.await.map(drop)
    }

    /// Reads the call counters of the platform stand-in. They are 0 if the response is malformed.
    ///
    /// # Errors
    ///
    /// If it does not respond.
    pub async fn platform_stats(&self) -> http1::Result<Stats> {
        let (address, path) = (self.platform_address, "/control/stats");
        let sent =
            self.operator_client
                .http
                .send(Method::GET, address, path, &[], "", CALL_TIMEOUT);
        Ok(serde_json::from_slice(&sent.await?.body).unwrap_or_default())
    }

    /// Sets the state of a target stand-in.
    ///
    /// # Errors
    ///
    /// If it does not respond.
    pub async fn set_target_state(
        &self,
        vm: usize,
        state: &target::TargetState,
    ) -> http1::Result<()> {
        let body = serde_json::to_vec(state).unwrap_or_default();
        let (address, path) = (self.vms[vm].target_address(), "/control/state");
        let sent =
            self.operator_client
                .http
                .send(Method::POST, address, path, &[], body, CALL_TIMEOUT);
        sent.await.map(drop)
    }

    /// Returns the services as a mix for the load tool, weighted by their number of targets.
    pub fn mix(&self) -> Vec<load::MixEntry> {
        let addresses: Vec<_> = self.vms.iter().map(Vm::caller_address).collect();
        let services = self.layout.services.iter();
        let service = |s: &crate::layout::Service| load::MixEntry {
            name: s.name.to_owned(),
            weight: s.targets as f64,
            method: s.method.clone(),
            addresses: addresses.clone(),
        };
        services.map(service).collect()
    }

    /// Reads the records of all targets.
    ///
    /// # Errors
    ///
    /// If a record cannot be read.
    pub fn events(&self) -> Result<Vec<Event>> {
        let files: Vec<_> = self
            .vms
            .iter()
            .map(|vm| self.record_file(&vm.name))
            .collect();
        read_all(&files).map_err(|e| Error::Io("records".into(), e))
    }

    /// Removes the directory of the run. Processes that still have files in it open can write to
    /// them.
    pub fn remove_dir(&self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in 0..self.vms.len() {
            self.kill(vm, Process::Daemon);
            self.kill(vm, Process::Target);
        }
        self.inline_tasks.iter().for_each(|task| task.abort());
        let _ = self.platform.kill();
        let _ = self.platform.wait();
    }
}

/// Returns the path of a binary of this workspace: in the directory of this executable, or in its
/// parent directory if this is a test. Returns `name` itself if neither contains it.
pub fn binary_path(name: &str) -> PathBuf {
    let current_exe = std::env::current_exe().unwrap_or_default();
    let dirs = current_exe.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(name));
    paths
        .find(|path| path.exists())
        .unwrap_or_else(|| name.into())
}

fn spawn(mut command: Command, log: &Path) -> Result<Child> {
    let name = command.get_program().to_string_lossy().into_owned();
    let io_error = |e| Error::Io(name.clone(), e);
    let log = File::options().create(true).append(true).open(log);
    let log = log.map_err(io_error)?;
    command
        .stdin(Stdio::null())
        .stdout(log.try_clone().map_err(io_error)?)
        .stderr(log)
        .spawn()
        .map_err(io_error)
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).map_err(|e| Error::Io(path.display().to_string(), e))
}

fn create_run_dir() -> Result<PathBuf> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("masticdeal-run-{}-{count}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).map_err(|e| Error::Io(dir.display().to_string(), e))?;
    Ok(dir)
}

/// Waits for `SIGTERM` or `SIGINT`. The caller then drops the fleet, which kills its processes.
pub async fn termination_requested() {
    use tokio::signal::unix::{SignalKind, signal};
    let mut sigterm = signal(SignalKind::terminate()).expect("SIGTERM handler is installed");
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
