//! Operator port: questions and commands, configuration, status, health and metrics.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff;
use masticdeal_config::fault::Fault;
use masticdeal_language::header_text;
use masticdeal_ownership::ids::SessionId;
use masticdeal_wire::headers;
use masticdeal_wire::peer::ConfigValue;
use serde_json::json;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::Control;
use super::config_store::{Error, Proposal};
use super::load_collection::CollectedLoad;
use crate::operators::answer::{Answer, Evaluation, evaluate};
use crate::operators::state_view::{PeerVersions, ReportedLoad, StateView};
use crate::operators::subject::Subject;

/// Maximum number of concurrent connections on the operator port.
const MAX_CONNECTIONS: usize = 256;

/// Maximum size of a request body in bytes. A configuration of the maximum size fits.
const MAX_BODY_BYTES: usize = 512 << 10;

/// Longest wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Author of a command that was sent without an author's name.
const UNNAMED_AUTHOR: &str = "an operator without a name";

/// Header with the subject of an answer: what the answer was about, such as a key or shard. The
/// operator's client sends it back with the next question, which may refer to it.
const SUBJECT: &str = "x-masticdeal-subject";

/// Header with the Unix time of the last change of the configuration, in milliseconds.
const TIME_MS: &str = "x-time-ms";

type HttpResponse = Response<Full<Bytes>>;

impl Control {
    /// Serves the operator port until the task is dropped.
    pub async fn serve_operators(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("operator port failed to accept a connection: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let control = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|req| {
                    let control = control.clone();
                    async move { Ok::<_, Infallible>(control.handle_operator_request(req).await) }
                });
                let served = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(e) = served {
                    log::debug!("operator connection failed: {e}");
                }
                drop(permit);
            });
        }
    }

    async fn handle_operator_request(self: Arc<Self>, req: Request<Incoming>) -> HttpResponse {
        let (head, body) = req.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/healthz") => return text_response(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => return self.readiness_response(),
            (&Method::GET, "/metrics") => {
                return text_response(StatusCode::OK, self.node.metrics.encode());
            }
            _ => {}
        }
        if !self.is_operator(&head.headers) {
            return text_response(
                StatusCode::UNAUTHORIZED,
                "operators' secret is missing or wrong\n",
            );
        }
        let read = Limited::new(body, MAX_BODY_BYTES).collect();
        let body = match tokio::time::timeout(BODY_TIMEOUT, read).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, "body exceeds 524288 bytes\n");
            }
            Err(_) => {
                return text_response(StatusCode::REQUEST_TIMEOUT, "body did not arrive in time\n");
            }
        };
        let Ok(body) = String::from_utf8(body.to_vec()) else {
            return text_response(StatusCode::BAD_REQUEST, "body is not UTF-8\n");
        };
        match (&head.method, head.uri.path()) {
            (&Method::POST, headers::PATH_ASK) => self.answer_sentence(&head.headers, &body).await,
            (&Method::GET, headers::PATH_CONFIG) => config_response(&self.config.current()),
            (&Method::PUT, headers::PATH_CONFIG) => self.put_config(&head.headers, body).await,
            (&Method::GET, headers::PATH_STATUS) => self.status_response().await,
            (_, headers::PATH_ASK | headers::PATH_CONFIG | headers::PATH_STATUS) => text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "method is not allowed here\n",
            ),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    fn is_operator(&self, headers: &HeaderMap) -> bool {
        let expected = format!("Bearer {}", self.node.settings.secret.operators);
        let given = headers
            .get(AUTHORIZATION)
            .map_or(&b""[..], HeaderValue::as_bytes);
        bool::from(given.ct_eq(expected.as_bytes()))
    }

    /// Serves `/readyz`. A daemon is ready when it is not shutting down, has joined with a valid
    /// lease, and has a configuration, and when this or an earlier check found all services
    /// assigned, so that requests can be routed.
    fn readiness_response(&self) -> HttpResponse {
        let obstacle = if *self.node.stopping.borrow() || *self.node.draining.borrow() {
            Some("shutting down")
        } else if self.session().is_none() {
            Some("not joined")
        } else if self.lease_left().is_none() {
            Some("no live lease")
        } else if self.node.deployment.borrow().0 == 0 {
            Some("no configuration")
        } else if !self.check_services_once_assigned() {
            Some("services have no owners yet")
        } else {
            None
        };
        match obstacle {
            None => text_response(StatusCode::OK, "ready\n"),
            Some(obstacle) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{obstacle}\n"))
            }
        }
    }

    /// Returns whether this or an earlier check found all services assigned. The first success is
    /// recorded and ends the checks: a service that loses its targets later must not make the
    /// daemon unready for the other services.
    fn check_services_once_assigned(&self) -> bool {
        if !self.services_assigned.load(Ordering::Relaxed) && self.are_services_assigned_now() {
            self.services_assigned.store(true, Ordering::Relaxed);
        }
        self.services_assigned.load(Ordering::Relaxed)
    }

    /// Returns whether each declared service is in the table with an owner for each shard, and
    /// whether the local target is in the table if it has announced itself.
    fn are_services_assigned_now(&self) -> bool {
        let table = self.node.table.borrow().clone();
        let declared = self.node.deployment.borrow().1.clone();
        let is_assigned = |name: &str| {
            let service = table.services.iter().find(|s| s.name == name);
            service.is_some_and(|s| s.shards.iter().all(|shard| shard.owner.is_some()))
        };
        let target_announced = self.node.target.borrow().is_some();
        let session = self.session().and_then(|id| table.session(id));
        let in_table = session.is_some_and(|session| session.target.is_some());
        declared.services.iter().all(|s| is_assigned(&s.name)) && (in_table || !target_announced)
    }

    /// Answers a question, or runs a command and answers with its outcome.
    async fn answer_sentence(
        self: &Arc<Self>,
        headers: &HeaderMap,
        sentence: &str,
    ) -> HttpResponse {
        let last_subject = headers
            .get(SUBJECT)
            .and_then(|v| v.to_str().ok())
            .and_then(Subject::from_header);
        let collected = self.collect_loads().await;
        let answer = match self.evaluate(sentence, &collected, last_subject.as_ref()) {
            Evaluation::Answer(answer) => answer,
            Evaluation::Command(command) => {
                let author = author(headers).unwrap_or_else(|| UNNAMED_AUTHOR.into());
                let outcome = self.run_command(&command, &author).await;
                command.answer(&outcome)
            }
        };
        let wants_json = headers
            .get(ACCEPT)
            .is_some_and(|v| v.as_bytes().starts_with(b"application/json"));
        answer_response(&answer, wants_json)
    }

    fn evaluate(
        &self,
        sentence: &str,
        collected: &HashMap<SessionId, CollectedLoad>,
        last_subject: Option<&Subject>,
    ) -> Evaluation {
        let now = self.node.clock.now();
        let loads: Vec<ReportedLoad> = collected
            .iter()
            .map(|(session, load)| ReportedLoad {
                session: *session,
                load: load.report.load,
                age: now.saturating_sub(load.received_at),
                cold: load.report.cold,
            })
            .collect();
        let peers: Vec<PeerVersions> = collected
            .iter()
            .map(|(session, load)| PeerVersions {
                session: *session,
                versions: load.report.versions,
                report_age: now.saturating_sub(load.received_at),
            })
            .collect();
        let table = self.node.table.borrow().clone();
        let deployment = self.node.deployment.borrow().1.clone();
        let config = self.config.current();
        let evacuations = self.node.evacuations.borrow().clone();
        let caller_limits = self.node.caller_limits();
        let journal = self.journal.lock().unwrap();
        let view = StateView {
            now_ms: super::unix_ms(),
            local_vm: &self.node.settings.daemon.name,
            table: &table,
            deployment: &deployment,
            config: &config,
            journal: &journal,
            loads: &loads,
            peers: &peers,
            evacuations: &evacuations,
            caller_limits: &caller_limits,
            now,
        };
        evaluate(sentence, &view, last_subject)
    }

    async fn put_config(self: &Arc<Self>, headers: &HeaderMap, body: String) -> HttpResponse {
        let Some(expected_revision) = header_number(headers, headers::IF_REVISION) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "x-if-revision is missing or not a number\n",
            );
        };
        let Some(change_id) = header_number(headers, headers::CHANGE_ID) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "x-change-id is missing or not a number\n",
            );
        };
        let Some(author) = author(headers) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "x-author is missing or malformed\n",
            );
        };
        let proposal = Proposal {
            expected_revision,
            author,
            time_ms: super::unix_ms(),
            change_id,
            text: body,
        };
        match self.propose_config(&proposal).await {
            Ok(value) => with_revision(text_response(StatusCode::OK, "accepted\n"), value.revision),
            Err(Error::Faults(faults)) => faults_response(&faults),
            Err(Error::Conflict(current)) => conflict_response(&proposal.text, &current),
            Err(e @ Error::NotWritable) => {
                text_response(StatusCode::METHOD_NOT_ALLOWED, format!("{e}\n"))
            }
            Err(e @ Error::Unavailable(_)) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{e}\n"))
            }
        }
    }

    async fn status_response(self: &Arc<Self>) -> HttpResponse {
        let collected = self.collect_loads().await;
        let table = self.node.table.borrow().clone();
        let revision_of = |id| collected.get(&id).map(|load| load.report.versions.config);
        let peers: Vec<_> = table
            .sessions
            .iter()
            .map(|s| {
                json!({
                    "name": s.vm,
                    "data_centre": s.data_centre,
                    "config_revision": revision_of(s.id),
                })
            })
            .collect();
        let owned = self.core.lock().unwrap().owned().len();
        let versions = self.node.versions();
        let lease_ms = self.lease_left().map(|left| left.as_millis() as u64);
        let status = json!({
            "name": self.node.settings.daemon.name,
            "session": self.session().map(|s| s.0),
            "table_version": versions.table,
            "config_revision": versions.config,
            "lease": if lease_ms.is_some() { "live" } else { "none" },
            "lease_left_ms": lease_ms,
            "shards_owned": owned,
            "planner": *self.is_planner.borrow(),
            "peers": peers,
        });
        json_response(StatusCode::OK, &status)
    }
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the author's name, which is percent-encoded in the header.
fn author(headers: &HeaderMap) -> Option<String> {
    header_text::decode(header_str(headers, headers::AUTHOR)?)
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_str(headers, name)?.parse().ok()
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut out = Response::new(Full::new(body.into()));
    *out.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    out.headers_mut().insert(CONTENT_TYPE, plain);
    out
}

fn json_response(status: StatusCode, value: &serde_json::Value) -> HttpResponse {
    let mut out = text_response(status, value.to_string());
    let json = HeaderValue::from_static("application/json");
    out.headers_mut().insert(CONTENT_TYPE, json);
    out
}

fn with_revision(mut out: HttpResponse, revision: u64) -> HttpResponse {
    out.headers_mut().insert(headers::REVISION, revision.into());
    out
}

fn config_response(current: &ConfigValue) -> HttpResponse {
    let mut out = with_revision(
        text_response(StatusCode::OK, current.text.clone()),
        current.revision,
    );
    let headers = out.headers_mut();
    headers.insert(headers::CHANGE_ID, current.change_id.into());
    headers.insert(TIME_MS, current.time_ms.into());
    if let Ok(author) = HeaderValue::from_str(&header_text::encode(&current.author)) {
        headers.insert(headers::AUTHOR, author);
    }
    out
}

fn faults_response(faults: &[Fault]) -> HttpResponse {
    let value = serde_json::to_value(faults).unwrap_or_default();
    json_response(StatusCode::BAD_REQUEST, &value)
}

fn conflict_response(proposed: &str, current: &ConfigValue) -> HttpResponse {
    let differences = match (
        Deployment::parse(proposed),
        Deployment::parse(&current.text),
    ) {
        (Ok(proposed), Ok(current)) => diff::diff(&proposed, &current),
        _ => Vec::new(),
    };
    let differences: Vec<String> = differences.iter().map(ToString::to_string).collect();
    let body = json!({
        "author": current.author,
        "time_ms": current.time_ms,
        "change_id": current.change_id,
        "differences": differences,
    });
    with_revision(json_response(StatusCode::CONFLICT, &body), current.revision)
}

fn answer_response(answer: &Answer, wants_json: bool) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status.code()).unwrap_or(StatusCode::OK);
    let mut out = if wants_json {
        json_response(status, &answer.json)
    } else {
        text_response(status, format!("{}\n", answer.text))
    };
    let subject = answer.subject.as_ref().map(Subject::to_header);
    if let Some(value) = subject.and_then(|s| HeaderValue::from_str(&s).ok()) {
        out.headers_mut().insert(SUBJECT, value);
    }
    out
}
