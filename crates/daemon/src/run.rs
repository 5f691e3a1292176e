//! Starts the components of the daemon and shuts them down in order.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use displaydoc::Display;
use futures_util::FutureExt;
use masticdeal_config::settings::Settings;
use masticdeal_ownership::lease::{Core, CoreSettings, Event, Identity, Refusal};
use masticdeal_platform::CallKind;
use masticdeal_wire::peer::Reason;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::clock::{BootClock, Clock};
use crate::control::Control;
use crate::node::{MayServe, Node};
use crate::owner::{self, Owner};
use crate::peers::{self, Peers};
use crate::protocol::Protocol;
use crate::telemetry::logs;
use crate::{ingress, reload, shutdown};

/// Maximum time for which a leaving daemon still accepts forwarded requests while its shards move.
/// It is below the 2 s after which a leaving target gets no new requests.
const SHARD_MOVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum wait for the end of the session after the requests have completed or the drain timeout
/// has expired.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the daemon cannot start.
#[derive(Debug, Display)]
pub enum Error {
    /// logging cannot start: {0}
    Logs(logs::Error),
    /// cannot listen on {0} for {1}: {2}
    Listen(SocketAddr, &'static str, std::io::Error),
    /// the runtime cannot start: {0}
    Runtime(std::io::Error),
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reads the settings file `path` and runs the daemon. If `check` is set, only validates the file.
///
/// Prints errors to standard error. The exit code is 2 for invalid settings.
pub fn start(path: &str, check: bool, protocol: Protocol) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(message) => {
            eprint!("{message}");
            return ExitCode::from(2);
        }
    };
    if check {
        println!("{path}: settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings, protocol, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("masticdeald: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the daemon until it has received SIGTERM or SIGINT and has drained. `path` is the settings
/// file, which is reloaded while the daemon runs.
///
/// # Errors
///
/// Returns an [`Error`] if the daemon cannot start. No request has been accepted then.
pub fn run(settings: Settings, protocol: Protocol, path: &str) -> Result<()> {
    let log_writer = logs::init(&settings.log).map_err(Error::Logs)?;
    let runtime = if settings.daemon.threads == 1 {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
    } else {
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
    };
    let result = runtime
        .map_err(Error::Runtime)?
        .block_on(serve(settings, protocol, path));
    log_writer.flush();
    result
}

/// Listening sockets of the daemon, by the clients that connect to them.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
    announce: TcpListener,
}

async fn serve(settings: Settings, protocol: Protocol, path: &str) -> Result<()> {
    let listeners = Listeners::bind(&settings).await?;
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let core = Core::new(core_settings(&settings), identity(&settings, clock.now()));
    let core = Arc::new(Mutex::new(core));
    let may_serve = may_serve(core.clone(), clock.clone());
    let store = protocol.store;
    let node = Arc::new(Node {
        protocol,
        ..Node::new(settings, clock, may_serve)
    });
    tokio::spawn(reload::watch_settings(node.clone(), path.to_owned()));
    let peers = Peers::new(node.clone());
    let owner = Owner::new(node.clone());
    let platform = masticdeal_platform::Client::new(masticdeal_platform::Settings {
        address: node.settings.platform.address,
        timeout: node.settings.platform.timeout,
        binding: store,
    });
    let control = Control::new(
        node.clone(),
        peers.clone(),
        owner.clone(),
        platform.clone(),
        core,
    );
    start_control(&control, platform.clone());
    let handlers = peers::Handlers {
        control: control_handler(control.clone()),
        forward: owner.forward_handler(),
    };
    let peer_task = tokio::spawn(peers::serve(node.clone(), listeners.peers, handlers));
    let report_control = control.clone();
    tokio::spawn(owner::serve_announce(
        node.clone(),
        listeners.announce,
        Box::new(move |report| report_control.on_report(report)),
    ));
    tokio::spawn(control.clone().serve_operators(listeners.operators));
    let ingress_task = tokio::spawn(ingress::serve(
        node.clone(),
        peers,
        owner,
        listeners.callers,
    ));
    log::info!("{} is listening", node.settings.daemon.name);
    wait_for_stop_signal().await;
    let linger = node.settings.daemon.linger;
    let resumes = control.target_survives_restart();
    log::info!(linger_ms = linger.as_millis() as u64, resumes; "stopping");
    let drained_by = node.clock.now() + node.settings.daemon.drain_timeout;
    node.stopping.send_replace(true);
    tokio::time::sleep(linger).await;
    shutdown::close_caller_port(&node);
    if !resumes {
        control.handle_event(Event::LeaveRequested);
        await_session_end(&control, SHARD_MOVE_TIMEOUT).await;
    }
    let remaining = drained_by.saturating_sub(node.clock.now());
    shutdown::shutdown(&node, remaining).await;
    if !resumes && !await_session_end(&control, LEAVE_TIMEOUT).await {
        log::warn!("session did not end within {LEAVE_TIMEOUT:?} and is still in the table");
    }
    let calls = platform.call_counts();
    log::info!(reads = calls.get(CallKind::Get), swaps = calls.get(CallKind::Swap),
        watches = calls.get(CallKind::Watch); "stopped; calls to the platform store since the start");
    // Both tasks end soon after the shutdown.
    let _ = ingress_task.await;
    let _ = peer_task.await;
    Ok(())
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind(listen.callers, "callers").await?,
            peers: bind(listen.peers, "peers").await?,
            operators: bind(listen.operators, "operators").await?,
            announce: bind(listen.announce, "the target's announcements").await?,
        })
    }
}

async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|e| Error::Listen(address, purpose, e))
}

fn core_settings(settings: &Settings) -> CoreSettings {
    let lease = &settings.lease;
    CoreSettings {
        lease: lease.duration,
        renew_interval: lease.renew_interval,
        drift_ppm: lease.drift_ppm,
        settle_delay: lease.settle_delay,
        gather_delay: lease.gather_delay,
        ..CoreSettings::default()
    }
}

fn identity(settings: &Settings, bound_at: Duration) -> Identity {
    let daemon = &settings.daemon;
    Identity {
        incarnation: rand::random(),
        vm: daemon.name.clone(),
        address: settings.listen.peer_address(),
        region: daemon.region.clone(),
        data_centre: daemon.data_centre.clone(),
        bound_at,
        seed: rand::random(),
    }
}

fn may_serve(core: Arc<Mutex<Core>>, clock: Arc<dyn Clock>) -> MayServe {
    Box::new(move |service, shard, key_hash| {
        let core = core.lock().unwrap();
        // Reads the clock under the lock: time spent waiting for the lock must count against the
        // lease.
        core.may_serve(clock.now(), service, shard, key_hash)
            .map_err(refusal_reason)
    })
}

fn refusal_reason(refusal: Refusal) -> Reason {
    match refusal {
        Refusal::WrongOwner(_) => Reason::WrongOwner,
        Refusal::NoService => Reason::NoService,
        Refusal::NoOwner => Reason::NoOwner,
        Refusal::LeaseExpired | Refusal::NotJoined => Reason::LeaseExpired,
        Refusal::Moving | Refusal::Settling => Reason::Moving,
    }
}

fn control_handler(control: Arc<Control>) -> peers::server::ControlHandler {
    Box::new(move |format, path, frame| {
        let control = control.clone();
        async move {
            let reply = control.handle_message(format, path, &frame).await;
            reply.map_err(|e| {
                log::warn!("control message {path} rejected: {e}");
                peers::Error::Refused(400)
            })
        }
        .boxed()
    })
}

fn start_control(control: &Arc<Control>, platform: masticdeal_platform::Client) {
    let (is_watcher_tx, is_watcher_rx) = watch::channel(false);
    tokio::spawn(control.clone().run_lease_core());
    tokio::spawn(control.clone().follow_reported_versions());
    tokio::spawn(control.clone().follow_services());
    tokio::spawn(control.clone().follow_target());
    tokio::spawn(control.clone().refresh_grants());
    tokio::spawn(control.clone().update_roles(is_watcher_tx));
    tokio::spawn(control.clone().watch_table(platform.clone(), is_watcher_rx));
    tokio::spawn(control.clone().export_platform_state(platform.clone()));
    tokio::spawn(control.clone().follow_store_era(platform.clone()));
    tokio::spawn(control.clone().watch_config(platform));
    tokio::spawn(control.clone().run_planner());
}

/// Waits for the end of the session. Returns whether it ended within `timeout`.
async fn await_session_end(control: &Arc<Control>, timeout: Duration) -> bool {
    let mut session = control.node.session.subscribe();
    let session_ended = session.wait_for(Option::is_none);
    tokio::time::timeout(timeout, session_ended).await.is_ok()
}

/// Waits for SIGTERM or SIGINT. Never returns if the signals cannot be handled.
async fn wait_for_stop_signal() {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
