//! HTTP client of the daemons' operator ports, with the operators' secret.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use masticdeal_wire::headers;

use crate::http1::{Client, ReceivedResponse, Result, header_number};

/// Timeout of a call, until its response is complete.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of the daemons' operator ports.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    /// HTTP client; also used for the control paths of the stand-ins.
    pub http: Client,
    authorization: String,
}

/// Outcome of a configuration write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigWriteOutcome {
    /// The configuration was accepted with this revision.
    Accepted(u64),
    /// Another change was accepted first.
    Conflict,
    /// The configuration was rejected for another reason, or the outcome is unknown.
    Unknown,
}

impl OperatorClient {
    /// Creates a client with the operators' secret.
    pub fn new(secret: &str) -> Self {
        Self {
            http: Client::default(),
            authorization: format!("Bearer {secret}"),
        }
    }

    /// Writes a configuration if the current one has revision `if_revision`.
    ///
    /// # Errors
    ///
    /// If there is no response; the configuration may have been accepted.
    pub async fn put_config(
        &self,
        address: SocketAddr,
        if_revision: u64,
        text: &str,
        author: &str,
    ) -> Result<ReceivedResponse> {
        let if_revision = if_revision.to_string();
        let change_id = rand::random::<u64>().to_string();
        let headers = [
            (headers::IF_REVISION, if_revision.as_str()),
            (headers::AUTHOR, author),
            (headers::CHANGE_ID, &change_id),
        ];
        let path = headers::PATH_CONFIG;
        self.call(address, Method::PUT, path, &headers, text).await
    }

    /// Writes a configuration and returns its outcome.
    pub async fn swap_config(
        &self,
        address: SocketAddr,
        if_revision: u64,
        text: &str,
        author: &str,
    ) -> ConfigWriteOutcome {
        match self.put_config(address, if_revision, text, author).await {
            Ok(response) if response.status.is_success() => {
                let revision = header_number(&response.headers, headers::REVISION);
                ConfigWriteOutcome::Accepted(revision.unwrap_or(if_revision + 1))
            }
            Ok(response) if response.status == 409 => ConfigWriteOutcome::Conflict,
            _ => ConfigWriteOutcome::Unknown,
        }
    }

    /// Reads the revision and text of the configuration. Returns `None` if the response has no
    /// revision.
    ///
    /// # Errors
    ///
    /// If there is no response.
    pub async fn read_config(&self, address: SocketAddr) -> Result<Option<(u64, String)>> {
        let response = self.read(address, headers::PATH_CONFIG).await?;
        let revision = header_number(&response.headers, headers::REVISION);
        Ok(revision.map(|revision| (revision, response.text())))
    }

    /// Sends a question or command and returns the answer.
    ///
    /// # Errors
    ///
    /// If there is no response; a command may have been executed.
    pub async fn ask(&self, address: SocketAddr, sentence: &str) -> Result<ReceivedResponse> {
        let change_id = rand::random::<u64>().to_string();
        let headers = [(headers::AUTHOR, "bench"), (headers::CHANGE_ID, &change_id)];
        let path = headers::PATH_ASK;
        self.call(address, Method::POST, path, &headers, sentence)
            .await
    }

    /// Sends a `GET` request for a path.
    ///
    /// # Errors
    ///
    /// If there is no response.
    pub async fn read(&self, address: SocketAddr, path: &str) -> Result<ReceivedResponse> {
        self.call(address, Method::GET, path, &[], "").await
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<ReceivedResponse> {
        let mut all_headers = vec![("authorization", self.authorization.as_str())];
        all_headers.extend(headers);
        let body = body.to_owned();
        self.http
            .send(method, address, path, &all_headers, body, CALL_TIMEOUT)
            .await
    }
}
