//! Tests of the configuration in a store that is restored from a backup, in the project's own
//! protocol.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use common::{Daemon, LOOPBACK_ANY_PORT, settings};
use googletest::prelude::*;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use masticdeal_platform::{Client, Settings};
use masticdeal_wire::headers::{IF_REVISION, REVISION};
use masticdeal_wire::peer::ConfigValue;
use masticdeald::control::config_store::{ConfigStore, Error, Proposal};
use tokio::net::TcpListener;

const KOCAELI: &str = include_str!("../../../examples/kocaeli.ini");

/// Value of the only key with its revision, and the revision of the last write.
#[derive(Debug, Clone, Default)]
struct State {
    value: Option<(u64, Bytes)>,
    revision: u64,
}

impl State {
    fn put(&mut self, expected_revision: u64, bytes: Bytes) -> Response<Full<Bytes>> {
        let current = self.value.as_ref().map_or(0, |(revision, _)| *revision);
        if current != expected_revision {
            return response(409, current, Bytes::new());
        }
        self.revision += 1;
        self.value = Some((self.revision, bytes));
        response(200, self.revision, Bytes::new())
    }

    fn get(&self) -> Response<Full<Bytes>> {
        match &self.value {
            Some((revision, bytes)) => response(200, *revision, bytes.clone()),
            None => response(404, 0, Bytes::new()),
        }
    }
}

fn response(status: u16, revision: u64, body: Bytes) -> Response<Full<Bytes>> {
    let res = Response::builder()
        .status(status)
        .header(REVISION, revision);
    res.body(Full::new(body)).unwrap()
}

/// A store with one key that can be restored from an earlier copy.
struct Store {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    async fn start() -> Self {
        let listener = TcpListener::bind(LOOPBACK_ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::<Mutex<State>>::default();
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                let service = service_fn(move |req| handle(state.clone(), req));
                let io = TokioIo::new(stream);
                tokio::spawn(http1::Builder::new().serve_connection(io, service));
            }
        });
        Self { address, state }
    }

    fn copy(&self) -> State {
        self.state.lock().unwrap().clone()
    }

    fn restore(&self, copy: &State) {
        *self.state.lock().unwrap() = copy.clone();
    }

    /// Returns the configuration of a daemon that does not have one yet.
    async fn open_config(&self) -> ConfigStore {
        let daemon = Daemon::start(settings(|_| {})).await;
        let client = Client::new(Settings {
            address: self.address,
            ..Settings::default()
        });
        ConfigStore::new(daemon.node, client)
    }

    fn stored(&self) -> ConfigValue {
        let state = self.state.lock().unwrap();
        let (_, bytes) = state.value.as_ref().unwrap();
        serde_json::from_slice(bytes).unwrap()
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    if req.method() == Method::GET {
        return Ok(state.lock().unwrap().get());
    }
    let expected = req.headers()[IF_REVISION].to_str().unwrap();
    let expected = expected.parse().unwrap();
    let bytes = req.into_body().collect().await?.to_bytes();
    Ok(state.lock().unwrap().put(expected, bytes))
}

fn proposal(expected_revision: u64, change_id: u64) -> Proposal {
    Proposal {
        expected_revision,
        author: "Ayşe".into(),
        time_ms: 0,
        change_id,
        text: format!("; change {change_id}\n{KOCAELI}"),
    }
}

/// Returns revision and change id of the accepted configuration, or of the one that stands instead.
async fn propose(config: &ConfigStore, proposal: &Proposal) -> Result<(u64, u64), (u64, u64)> {
    match config.propose(proposal).await {
        Ok(value) => Ok((value.revision, value.change_id)),
        Err(Error::Conflict(value)) => Err((value.revision, value.change_id)),
        Err(e) => panic!("{e}"),
    }
}

/// Guards against an accepted configuration that a restored store loses although a daemon has it.
#[tokio::test]
async fn accepted_configuration_outlives_the_restored_store() {
    struct Case {
        name: &'static str,
        /// Number of configurations that were accepted before the copy.
        before_copy: u64,
        /// Number of configurations that were accepted after the copy.
        lost: u64,
    }
    let cases = [
        Case {
            name: "the last change is lost",
            before_copy: 1,
            lost: 1,
        },
        Case {
            name: "three changes are lost",
            before_copy: 2,
            lost: 3,
        },
        Case {
            name: "the first configuration is lost",
            before_copy: 0,
            lost: 1,
        },
    ];
    for case in cases {
        let store = Store::start().await;
        let config = store.open_config().await;
        for revision in 0..case.before_copy {
            let accepted = propose(&config, &proposal(revision, 10 + revision)).await;
            assert_that!(accepted, ok(anything()), "{}", case.name);
        }
        let copy = store.copy();
        let last = case.before_copy + case.lost;
        for revision in case.before_copy..last {
            let accepted = propose(&config, &proposal(revision, 10 + revision)).await;
            assert_that!(accepted, ok(anything()), "{}", case.name);
        }
        store.restore(&copy);
        let accepted = propose(&config, &proposal(last, 99)).await;
        assert_that!(accepted, ok(eq((last + 1, 99))), "{}", case.name);
        let retried = propose(&config, &proposal(last - 1, 10 + last - 1)).await;
        assert_that!(retried, ok(eq((last + 1, 99))), "{}", case.name);
    }
}

/// Guards against a restored store that keeps an older configuration than daemons have in force, and
/// against daemons that all write it.
#[tokio::test]
async fn restored_store_gets_the_newest_configuration_back_once() {
    let store = Store::start().await;
    let [first, second] = [store.open_config().await, store.open_config().await];
    assert_that!(propose(&first, &proposal(0, 10)).await, ok(eq((1, 10))));
    let copy = store.copy();
    assert_that!(propose(&first, &proposal(1, 20)).await, ok(eq((2, 20))));
    assert_that!(second.install(&first.current()), eq(true));
    store.restore(&copy);
    tokio::join!(first.write_back(), second.write_back());
    assert_that!(store.stored(), eq(&first.current()));
    assert_that!(store.copy().revision, eq(copy.revision + 1));
    let late = store.open_config().await;
    late.write_back().await;
    assert_that!(store.copy().revision, eq(copy.revision + 1));
    assert_that!(propose(&late, &proposal(2, 30)).await, ok(eq((3, 30))));
}

/// Guards against two daemons that keep different configurations of one revision.
#[tokio::test]
async fn changes_of_one_revision_converge_after_restore() {
    let store = Store::start().await;
    let [first, second] = [store.open_config().await, store.open_config().await];
    assert_that!(propose(&first, &proposal(0, 10)).await, ok(eq((1, 10))));
    let copy = store.copy();
    assert_that!(propose(&first, &proposal(1, 20)).await, ok(eq((2, 20))));
    store.restore(&copy);
    assert_that!(propose(&second, &proposal(1, 30)).await, ok(eq((2, 30))));
    // The author of this change has seen change 20, and not change 30.
    let refused = propose(&first, &proposal(2, 40)).await;
    assert_that!(refused, err(eq((3, 30))));
    let refused = propose(&second, &proposal(2, 50)).await;
    assert_that!(refused, err(eq((3, 30))));
    assert_that!(first.current(), eq(&second.current()));
    assert_that!(store.stored(), eq(&second.current()));
}
