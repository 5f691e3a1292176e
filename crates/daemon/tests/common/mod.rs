//! In-process daemons with a hand-made table, and a scripted target.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use masticdeal_config::deployment::{Deployment, KeySource, Service};
use masticdeal_config::settings::Settings;
use masticdeal_ownership::ids::{Epoch, SessionId};
use masticdeal_ownership::table::{self, Session, Shard, Table, TargetInfo, TargetState};
use masticdeal_wire::peer::Reason;
use masticdeal_wire::target::{Announce, AnnouncedState};
use masticdeald::clock::BootClock;
use masticdeald::node::Node;
use masticdeald::owner::Owner;
use masticdeald::peers::{self, Handlers, Peers};
use masticdeald::{ingress, shutdown};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

pub const SECRET: &str = "peers-secret";
pub const LOCAL: &str = "127.0.0.1:0";

/// One daemon without its control plane.
pub struct Daemon {
    pub node: Arc<Node>,
    pub owner: Arc<Owner>,
    pub peers: Arc<Peers>,
    pub callers: SocketAddr,
    pub peers_port: SocketAddr,
    /// What the fake ownership decision refuses with, if anything.
    pub refusal: Arc<Mutex<Option<Reason>>>,
    /// Number of ownership decisions so far.
    pub decisions: Arc<AtomicUsize>,
    pub servers: Vec<JoinHandle<()>>,
}

pub fn settings(edit: impl FnOnce(&mut Settings)) -> Settings {
    let mut settings = Settings::default();
    settings.secret.peers = SECRET.into();
    settings.limits.ping_after = Duration::from_millis(100);
    settings.limits.ping_timeout = Duration::from_millis(100);
    edit(&mut settings);
    settings
}

impl Daemon {
    pub async fn start(mut settings: Settings) -> Self {
        let callers = TcpListener::bind(LOCAL).await.unwrap();
        let port = TcpListener::bind(LOCAL).await.unwrap();
        settings.listen.callers = callers.local_addr().unwrap();
        settings.listen.peers = port.local_addr().unwrap();
        let (refusal, decisions) = (Arc::<Mutex<Option<Reason>>>::default(), Arc::default());
        let (refuse, count) = (Arc::clone(&refusal), Arc::clone(&decisions));
        let may_serve = move |_, _, _| {
            AtomicUsize::fetch_add(&count, 1, Ordering::SeqCst);
            let refusal = *refuse.lock().unwrap();
            refusal.map_or(Ok(Epoch(7)), Err)
        };
        let node = Arc::new(Node::new(
            settings,
            Arc::new(BootClock),
            Box::new(may_serve),
        ));
        let owner = Owner::new(Arc::clone(&node));
        let peers = Peers::new(Arc::clone(&node));
        let handlers = Handlers {
            control: Box::new(|_, _, frame: Bytes| async move { Ok(frame) }.boxed()),
            forward: owner.forwarded(),
        };
        let (callers_port, peers_port) = (node.settings.listen.callers, node.settings.listen.peers);
        let (n, p, o) = (Arc::clone(&node), Arc::clone(&peers), Arc::clone(&owner));
        let servers = vec![
            tokio::spawn(peers::serve(Arc::clone(&node), port, handlers)),
            tokio::spawn(ingress::serve(n, p, o, callers)),
        ];
        let callers = callers_port;
        Self {
            node,
            owner,
            peers,
            callers,
            peers_port,
            refusal,
            decisions,
            servers,
        }
    }

    pub fn refuse(&self, reason: Option<Reason>) {
        *self.refusal.lock().unwrap() = reason;
    }

    pub fn announce(&self, address: SocketAddr, slots: u16, state: AnnouncedState) {
        let service = "search".into();
        let target = Announce {
            service,
            address,
            slots,
            checks_grants: false,
            state,
            load: None,
        };
        self.node.target.send_replace(Some(target));
    }

    /// Shuts down and waits for the servers. Returns whether everything finished.
    pub async fn shutdown(self) -> bool {
        let finished = shutdown::shutdown(&self.node).await;
        for server in self.servers {
            server.await.unwrap();
        }
        finished
    }
}

/// A service `search` keyed by the second path segment, and an undivided service `forms`.
pub fn deployment() -> Deployment {
    let search = Service {
        name: "search".into(),
        paths: vec!["/search/".into()],
        key: Some(KeySource::Path(2)),
        shards: 4,
        ..Service::default()
    };
    let forms = Service {
        name: "forms".into(),
        paths: vec!["/forms/".into()],
        ..Service::default()
    };
    Deployment {
        services: vec![search, forms],
        ..Deployment::default()
    }
}

/// A table in which session `i` belongs to `daemons[i]`, and `owner` owns every shard.
pub fn table(version: u64, daemons: &[&Daemon], owner: Option<usize>) -> Table {
    let session = |(i, d): (usize, &&Daemon)| Session {
        id: SessionId(i as u32),
        incarnation: i as u64,
        vm: format!("vm-{i}"),
        address: d.peers_port,
        region: "r".into(),
        data_centre: "dc".into(),
        lessors: Vec::new(),
        term: 0,
        target: None,
    };
    let shard = Shard {
        owner: owner.map(|o| SessionId(o as u32)),
        epoch: Epoch(7),
    };
    let service = |name: &str, shards| table::Service {
        name: name.into(),
        shards: vec![shard; shards],
        overrides: Vec::new(),
    };
    Table {
        version,
        sessions: daemons.iter().enumerate().map(session).collect(),
        services: vec![service("search", 4), service("forms", 0)],
        ..Table::default()
    }
}

/// Makes the session's target one of the undivided service `forms`.
pub fn serve_forms(table: &mut Table, session: usize) {
    table.sessions[session].target = Some(TargetInfo {
        service: table.service_id("forms").unwrap(),
        slots: 2,
        checks_grants: false,
        state: TargetState::Ready,
        capacity: 0,
    });
}

/// Publishes the table and the configuration to all daemons.
pub fn publish(daemons: &[&Daemon], table: &Table) {
    for (i, daemon) in daemons.iter().enumerate() {
        daemon.node.session.send_replace(Some(SessionId(i as u32)));
        daemon
            .node
            .deployment
            .send_replace((1, Arc::new(deployment())));
        daemon.node.table.send_replace(Arc::new(table.clone()));
    }
}

/// Ingress and owner as two daemons, and a target beside the owner.
pub async fn pair(target: SocketAddr, edit: impl Fn(&mut Settings)) -> (Daemon, Daemon) {
    let ingress = Daemon::start(settings(&edit)).await;
    let owner = Daemon::start(settings(&edit)).await;
    publish(&[&ingress, &owner], &table(1, &[&ingress, &owner], Some(1)));
    owner.announce(target, 2, AnnouncedState::Ready);
    (ingress, owner)
}

/// What the scripted target does with each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Echoes method, path and body, with the request's headers as `got-*` headers.
    Echo,
    /// Sends half of the announced body, then closes.
    CutLength,
    /// Sends one chunk of a chunked body, then closes.
    CutChunked,
    /// Sends an answer that only the end of the connection ends.
    NoFraming,
    /// Reads the request and closes without an answer.
    CloseAfterRead,
    /// Reads the request and never answers.
    Hang,
    /// Refuses with this status and the verdict `NotRun`.
    Refuse(u16),
    /// Sends a chunk of 8 bytes at each release, and ends after this many.
    Chunks(usize),
}

/// A target on a port of its own. It counts the requests whose head it has read.
pub struct Target {
    pub address: SocketAddr,
    pub heads: Arc<AtomicUsize>,
    /// Connections that ended.
    pub closed: Arc<AtomicUsize>,
    pub release: Arc<tokio::sync::Semaphore>,
    pub script: Arc<Mutex<Script>>,
    accept: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

impl Target {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind(LOCAL).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (heads, closed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let release = Arc::new(tokio::sync::Semaphore::new(0));
        let script = Arc::new(Mutex::new(script));
        let (h, c, r, s) = (
            heads.clone(),
            closed.clone(),
            release.clone(),
            script.clone(),
        );
        let accept = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (h, c, r, s) = (h.clone(), c.clone(), r.clone(), s.clone());
                tokio::spawn(async move {
                    let _ = run(stream, &h, &r, &s).await;
                    c.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            heads,
            closed,
            release,
            script,
            accept,
        }
    }

    pub fn count(&self) -> usize {
        self.heads.load(Ordering::SeqCst)
    }
}

async fn run(
    mut stream: TcpStream,
    heads: &AtomicUsize,
    release: &tokio::sync::Semaphore,
    script: &Mutex<Script>,
) -> std::io::Result<()> {
    let mut buf = Vec::new();
    loop {
        let Some((head, body)) = read_request(&mut stream, &mut buf).await? else {
            return Ok(());
        };
        heads.fetch_add(1, Ordering::SeqCst);
        let script = *script.lock().unwrap();
        match script {
            Script::Echo => stream.write_all(&echo(&head, &body)).await?,
            Script::CutLength => {
                return stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf.")
                    .await;
            }
            Script::CutChunked => {
                let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
                return stream.write_all(answer).await;
            }
            Script::NoFraming => return stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole?").await,
            Script::CloseAfterRead => return Ok(()),
            Script::Hang => {
                // Returns when the daemon closes the connection.
                return stream.read_to_end(&mut buf).await.map(|_| ());
            }
            Script::Refuse(status) => {
                let answer = format!(
                    "HTTP/1.1 {status} No\r\nx-masticdeal-verdict: NotRun\r\n\
                     content-length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes()).await?;
            }
            Script::Chunks(count) => chunks(&mut stream, release, count).await?,
        }
    }
}

async fn chunks(
    stream: &mut TcpStream,
    release: &tokio::sync::Semaphore,
    count: usize,
) -> std::io::Result<()> {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .await?;
    for i in 0..count {
        let mut probe = [0; 1];
        tokio::select! {
            permit = release.acquire() => permit.unwrap().forget(),
            // The daemon closes the connection when the request is cancelled.
            _ = stream.read(&mut probe) => return Err(std::io::ErrorKind::BrokenPipe.into()),
        }
        stream
            .write_all(format!("8\r\nchunk{i:03}\r\n").as_bytes())
            .await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

fn echo(head: &str, body: &[u8]) -> Vec<u8> {
    let mut lines = head.split("\r\n");
    let mut text = lines.next().unwrap_or_default().to_owned();
    text.push('\n');
    text.push_str(&String::from_utf8_lossy(body));
    let mut answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", text.len());
    for line in lines.filter(|l| !l.is_empty()) {
        answer.push_str(&format!("got-{line}\r\n"));
    }
    answer.push_str("x-masticdeal-load: forged\r\nconnection: x-private\r\nx-private: 1\r\n\r\n");
    let mut answer = answer.into_bytes();
    answer.extend_from_slice(text.as_bytes());
    answer
}

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let end = loop {
        if let Some(at) = find(buf, b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let headers: HashMap<String, String> = head
        .lines()
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
        .collect();
    if let Some(length) = headers.get("content-length") {
        let length: usize = length.parse().unwrap();
        while buf.len() < length {
            if stream.read_buf(buf).await? == 0 {
                return Ok(None);
            }
        }
        return Ok(Some((head, buf.drain(..length).collect())));
    }
    if !headers.contains_key("transfer-encoding") {
        return Ok(Some((head, Vec::new())));
    }
    let end = loop {
        if let Some(at) = find(buf, b"0\r\n\r\n") {
            break at + 5;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    Ok(Some((head, buf.drain(..end).collect())))
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}

/// A connection of a caller, HTTP/1.1.
pub struct Caller(
    pub hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    JoinHandle<()>,
);

impl Caller {
    pub async fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).await.unwrap();
        let io = hyper_util::rt::TokioIo::new(stream);
        let (send, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Self(send, driver)
    }

    /// Closes the connection.
    pub fn abort(&self) {
        self.1.abort();
    }

    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> http::Response<Incoming> {
        self.0.ready().await.unwrap();
        self.0.send_request(request).await.unwrap()
    }
}

/// A request; `headers` are name and value.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(body.into())).unwrap()
}

/// An answer in full; the body is an error text when it was cut.
pub struct Seen {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Result<String, String>,
}

impl Seen {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }

    /// Status, verdict and reason.
    pub fn failure(&self) -> (u16, &str, &str) {
        let (verdict, reason) = ("x-masticdeal-verdict", "x-masticdeal-reason");
        (self.status, self.header(verdict), self.header(reason))
    }
}

pub async fn read(response: http::Response<Incoming>) -> Seen {
    let (parts, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned()),
        Err(e) => Err(e.to_string()),
    };
    Seen {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    }
}

/// Sends one request on a new connection.
pub async fn call(to: SocketAddr, request: Request<Full<Bytes>>) -> Seen {
    let mut caller = Caller::connect(to).await;
    read(caller.send(request).await).await
}

/// Waits until the condition holds; the test harness bounds the wait.
pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A flag that is set when it is dropped.
pub struct SetOnDrop(pub Arc<AtomicBool>);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}
