//! Client of the daemons' operators ports.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use masticdeal_wire::headers;

use crate::http1::{Answer, Client, Result, number};

/// Longest wait for one answer.
pub const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Client of the daemons' operators ports.
#[derive(Debug, Clone)]
pub struct Operators {
    /// HTTP client, also for the stand-ins' control.
    pub http: Client,
    bearer: String,
}

/// Outcome of a write of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// In force from this revision on.
    Yes(u64),
    /// Another change came first.
    Conflict,
    /// Refused, or not known.
    Unknown,
}

impl Operators {
    /// Makes a client with the operators' secret.
    pub fn new(secret: &str) -> Self {
        Self {
            http: Client::default(),
            bearer: format!("Bearer {secret}"),
        }
    }

    /// Writes a configuration.
    ///
    /// # Errors
    ///
    /// When there is no answer; the configuration may have been accepted.
    pub async fn put_config(
        &self,
        at: SocketAddr,
        if_revision: u64,
        text: &str,
        author: &str,
    ) -> Result<Answer> {
        let if_revision = if_revision.to_string();
        let change = rand::random::<u64>().to_string();
        let headers = [
            (headers::IF_REVISION, if_revision.as_str()),
            (headers::AUTHOR, author),
            (headers::CHANGE_ID, &change),
        ];
        let path = headers::PATH_CONFIG;
        self.call(at, Method::PUT, path, &headers, text).await
    }

    /// Writes a configuration and classifies the answer.
    pub async fn swap_config(
        &self,
        at: SocketAddr,
        if_revision: u64,
        text: &str,
        author: &str,
    ) -> Accepted {
        match self.put_config(at, if_revision, text, author).await {
            Ok(answer) if answer.status.is_success() => {
                let revision = number(&answer.headers, headers::REVISION);
                Accepted::Yes(revision.unwrap_or(if_revision + 1))
            }
            Ok(answer) if answer.status == 409 => Accepted::Conflict,
            _ => Accepted::Unknown,
        }
    }

    /// Reads the configuration's revision and text.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn config(&self, at: SocketAddr) -> Result<Option<(u64, String)>> {
        let answer = self.read(at, headers::PATH_CONFIG).await?;
        let revision = number(&answer.headers, headers::REVISION);
        Ok(revision.map(|revision| (revision, answer.text())))
    }

    /// Sends a sentence and returns its answer.
    ///
    /// # Errors
    ///
    /// When there is no answer; a command may have been carried out.
    pub async fn ask(&self, at: SocketAddr, sentence: &str) -> Result<Answer> {
        let change = rand::random::<u64>().to_string();
        let named = [(headers::AUTHOR, "bench"), (headers::CHANGE_ID, &change)];
        let path = headers::PATH_ASK;
        self.call(at, Method::POST, path, &named, sentence).await
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn read(&self, at: SocketAddr, path: &str) -> Result<Answer> {
        self.call(at, Method::GET, path, &[], "").await
    }

    async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let mut all = vec![("authorization", self.bearer.as_str())];
        all.extend(headers);
        let body = body.to_owned();
        self.http
            .send(method, at, path, &all, body, CALL_LIMIT)
            .await
    }
}
