//! Fake operator port of a daemon: a compare-and-swap store with injected faults.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use masticdeal_config::deployment::Deployment;

pub const SECRET: &str = "operator-secret-of-tests";
pub const KOCAELI: &str = include_str!("../../../../examples/kocaeli.ini");

/// Fault of one write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The connection closes before the write takes effect.
    DropRequest,
    /// The write takes effect, and the connection closes without a response.
    DropResponse,
    /// The write takes effect, and the response has status 503.
    Unavailable,
}

/// Accepted change.
#[derive(Debug, Clone)]
pub struct Accepted {
    pub revision: u64,
    pub author: String,
    pub change_id: u64,
    pub text: String,
}

/// State of the store, and record of the requests.
#[derive(Debug, Default)]
pub struct Store {
    pub history: Vec<Accepted>,
    pub faults: VecDeque<Fault>,
    /// Answers by sentence: status, and JSON or text.
    pub answers: HashMap<String, (u16, String)>,
    /// Subject header of each sentence received.
    pub subjects: Vec<Option<String>>,
    /// Installed revisions of the daemons, one list per status request. The last list is repeated.
    pub peers: VecDeque<Vec<Option<u64>>>,
}

pub type SharedStore = Arc<Mutex<Store>>;

/// Makes a store with the Kocaeli example as its first revision, by Ayşe.
pub fn store() -> SharedStore {
    let first = Accepted {
        revision: 1,
        author: "Ayşe".into(),
        change_id: 7,
        text: KOCAELI.into(),
    };
    Arc::new(Mutex::new(Store {
        history: vec![first],
        ..Store::default()
    }))
}

/// Serves the store on a loopback port until the runtime ends.
pub async fn serve(store: SharedStore) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let store = store.clone();
            let service = service_fn(move |req| handle(store.clone(), req));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

type HandlerResult = Result<Response<Full<Bytes>>, std::io::Error>;

async fn handle(store: SharedStore, req: Request<Incoming>) -> HandlerResult {
    let (head, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let header = |name: &str| {
        head.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(String::from)
            .unwrap_or_default()
    };
    let mut store = store.lock().unwrap();
    if header("authorization") != format!("Bearer {SECRET}") {
        return respond(401, &[], "");
    }
    match (head.method, head.uri.path()) {
        (Method::GET, "/v1/config") => {
            let current = store.history.last().unwrap();
            let headers = [
                ("x-revision", current.revision.to_string()),
                (
                    "x-author",
                    masticdeal_language::header_text::encode(&current.author),
                ),
                ("x-change-id", current.change_id.to_string()),
                ("x-time-ms", "1780000000000".into()),
            ];
            respond(200, &headers, &current.text)
        }
        (Method::PUT, "/v1/config") => {
            let author = masticdeal_language::header_text::decode(&header("x-author")).unwrap();
            let change_id = header("x-change-id").parse().unwrap();
            let fault = store.faults.pop_front().unwrap_or(Fault::None);
            if fault == Fault::DropRequest {
                return Err(std::io::Error::other("injected fault"));
            }
            let if_revision = header("x-if-revision").parse().unwrap();
            let result = put(&mut store, if_revision, author, change_id, text);
            match fault {
                Fault::DropResponse => Err(std::io::Error::other("injected fault")),
                Fault::Unavailable => respond(503, &[], r#"{"error":"platform is silent"}"#),
                _ => result,
            }
        }
        (Method::GET, "/v1/status") => {
            let revisions = match store.peers.len() {
                0 | 1 => store.peers.front().cloned().unwrap_or_default(),
                _ => store.peers.pop_front().unwrap(),
            };
            let peer = |(index, revision): (usize, &Option<u64>)| {
                let name = format!("vm-{}", index + 1);
                serde_json::json!({"name": name, "data_centre": "dc-a", "config_revision": revision})
            };
            let peers: Vec<_> = revisions.iter().enumerate().map(peer).collect();
            respond(200, &[], &serde_json::json!({ "peers": peers }).to_string())
        }
        (Method::POST, "/v1/ask") => {
            let subject = header("x-masticdeal-subject");
            store
                .subjects
                .push((!subject.is_empty()).then_some(subject));
            let unknown = (404, format!("no answer to {text}"));
            let (status, answer) = store.answers.get(&text).cloned().unwrap_or(unknown);
            respond(
                status,
                &[("x-masticdeal-subject", "search key 4711".into())],
                &answer,
            )
        }
        _ => respond(404, &[], ""),
    }
}

fn put(
    store: &mut Store,
    if_revision: u64,
    author: String,
    change_id: u64,
    text: String,
) -> HandlerResult {
    if let Some(earlier) = store.history.iter().find(|a| a.change_id == change_id) {
        return respond(200, &[("x-revision", earlier.revision.to_string())], "");
    }
    if let Err(faults) = Deployment::parse(&text) {
        return respond(400, &[], &serde_json::to_string(&faults).unwrap());
    }
    let current = store.history.last().unwrap();
    if current.revision != if_revision {
        let conflict = serde_json::json!({
            "author": current.author, "time_ms": 1_780_000_000_000_u64,
            "change_id": current.change_id, "differences": ["search.deadline_ms: 900 -> 2000"],
        });
        let headers = [("x-revision", current.revision.to_string())];
        return respond(409, &headers, &conflict.to_string());
    }
    let revision = if_revision + 1;
    store.history.push(Accepted {
        revision,
        author,
        change_id,
        text,
    });
    respond(200, &[("x-revision", revision.to_string())], "")
}

fn respond(status: u16, headers: &[(&str, String)], body: &str) -> HandlerResult {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    Ok(builder
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap())
}

/// Serves the store on a separate runtime, for tests that run the binary.
pub fn serve_in_background(store: &SharedStore) -> (tokio::runtime::Runtime, SocketAddr) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let address = runtime.block_on(serve(store.clone()));
    (runtime, address)
}
