//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::Json;
use crate::util::base64;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as written; `None` for a removal.
    events: Vec<(u64, String, Option<Item>)>,
    /// End of each lease and its length in seconds.
    leases: HashMap<u64, (Instant, f64)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self {
            value,
            revision,
            created,
            lease,
        } = self;
        format!(
            r#""key":"{key}","value":"{value}","revision":{revision},"created-rev":{created},"lease":{lease}"#
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.events.push((revision, key.into(), Some(item.clone())));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.events.push((revision, key.into(), None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.0 <= now)
            .map(|l| *l.0)
            .collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.remove(k, self.revision));
        }
    }
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Store {
            address: listener.local_addr().unwrap(),
            state: Arc::new((
                Mutex::new(State {
                    revision: 10,
                    ..State::default()
                }),
                Condvar::new(),
            )),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value as the operator does.
    pub fn operator_put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(value.as_bytes()), 0, revision);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = http::read_head(&mut reader).ok()??;
            let body = http::read_body(&mut reader, &head, false).ok()?;
            std::thread::sleep(Duration::from_millis(4));
            let (status, text) = self.answer(&head, &body);
            let line = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json")];
            let sent: Result<()> =
                writer.write_all(&http::message(&line, &headers, text.as_bytes()));
            sent.ok()?;
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.part(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        state.expire_leases();
        match (head.part(0), path) {
            ("GET", "/masticdeal/kv-key") => {
                let key = query.get("key").copied().unwrap_or("");
                let revision = state.revision;
                match state.items.get(key) {
                    Some(item) => (
                        200,
                        format!(r#"{{{},"current-rev":{revision}}}"#, item.json(key)),
                    ),
                    None => (404, format!(r#"{{"current-rev":{revision}}}"#)),
                }
            }
            ("GET", "/masticdeal/kv-range") => {
                let prefix = query.get("path-prefix").copied().unwrap_or("");
                let after = query.get("after").copied().unwrap_or("");
                let items = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let items: Vec<_> = items.map(|(k, i)| format!("{{{}}}", i.json(k))).collect();
                let text = format!(
                    r#"{{"items":[{}],"has-more":false,"current-rev":{}}}"#,
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("GET", "/masticdeal/kv-watch") => {
                let prefix = query.get("path-prefix").copied().unwrap_or("").to_owned();
                let number = |name: &str| {
                    query
                        .get(name)
                        .and_then(|v| v.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let (after, wait) = (number("after"), Duration::from_millis(number("wait-ms")));
                let until = Instant::now() + wait;
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(&prefix))
                        .map(|(r, k, item)| match item {
                            Some(item) => format!("{{{}}}", item.json(k)),
                            None => format!(r#"{{"key":"{k}","revision":{r},"tombstone":true}}"#),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.revision;
                        let events = events.join(",");
                        return (
                            200,
                            format!(r#"{{"events":[{events}],"current-rev":{revision}}}"#),
                        );
                    }
                    let step = left.min(Duration::from_millis(500));
                    state = self.state.1.wait_timeout(state, step).unwrap().0;
                    state.expire_leases();
                }
            }
            ("POST", "/masticdeal/kv-txn") => {
                let empty = Json::List(Vec::new());
                let list = |name: &str| body.get(name).unwrap_or(&empty).list().to_vec();
                let key_of =
                    |row: &Json| row.get("key").and_then(Json::text).unwrap_or("").to_owned();
                let number = |row: &Json, name: &str| {
                    row.get(name).and_then(Json::number).unwrap_or(0.0) as u64
                };
                let current =
                    |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
                let expected = list("expected");
                if expected
                    .iter()
                    .any(|row| current(&state, &key_of(row)) != number(row, "revision"))
                {
                    let items = expected.iter().filter_map(|row| {
                        let key = key_of(row);
                        state
                            .items
                            .get(&key)
                            .map(|item| format!("{{{}}}", item.json(&key)))
                    });
                    let items: Vec<_> = items.collect();
                    return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
                }
                let writes = list("writes");
                let is_unknown = |row: &Json| {
                    let lease = number(row, "lease");
                    lease != 0 && !state.leases.contains_key(&lease)
                };
                if writes.iter().any(is_unknown) {
                    return (404, "{}".into());
                }
                state.revision += 1;
                let revision = state.revision;
                for row in &writes {
                    let value = row
                        .get("value")
                        .and_then(Json::text)
                        .unwrap_or("")
                        .to_owned();
                    state.put(&key_of(row), value, number(row, "lease"), revision);
                }
                for key in list("remove") {
                    state.remove(key.text().unwrap_or(""), revision);
                }
                self.state.1.notify_all();
                (200, format!(r#"{{"revision":{revision}}}"#))
            }
            ("POST", "/masticdeal/kv-lease") => {
                let ttl = body
                    .get("ttl-s")
                    .and_then(Json::number)
                    .unwrap_or(1.0)
                    .clamp(1.0, 600.0);
                state.next_lease += 1;
                let id = 77_000 + state.next_lease;
                let end = Instant::now() + Duration::from_secs_f64(ttl);
                state.leases.insert(id, (end, ttl));
                (200, format!(r#"{{"lease":{id},"ttl-s":{ttl}}}"#))
            }
            ("POST", path) if path.starts_with("/masticdeal/kv-keep/") => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_secs_f64(*ttl);
                        (200, format!(r#"{{"ttl-s":{ttl}}}"#))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/masticdeal/kv-lease-end/") => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                state.end_lease(id);
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }
}
