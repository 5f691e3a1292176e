//! Sends grants to the target.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use masticdeal_wire::{headers, target::Grant};
use tokio::sync::Mutex;

use super::Owner;
use super::connection::Connection;
use crate::exchange::{Body, full_body};

/// Reason why the target has not confirmed a grant.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// no target is announced
    NoTarget,
    /// the target holds a newer grant
    Stale,
    /// the target refused the grant with status {0}
    Refused(u16),
    /// the target did not respond in time; the grant may be in force
    Timeout,
    /// the connection to the target failed; the grant may be in force: {0}
    Connection(String),
}

impl std::error::Error for Error {}

/// The connection for grants. Requests use other connections, so no long response delays a grant.
#[derive(Default)]
pub struct GrantConnection {
    connection: Mutex<Option<(SocketAddr, Connection)>>,
}

impl Owner {
    /// Sends a grant to the target and waits for the response.
    ///
    /// # Errors
    ///
    /// After [`Error::Timeout`] or [`Error::Connection`] the grant may be in force. The next grant
    /// has a higher sequence number and replaces it.
    pub async fn send_grant(&self, grant: &Grant, timeout: Duration) -> Result<(), Error> {
        let address = self.node.target.borrow().as_ref().map(|t| t.address);
        let address = address.ok_or(Error::NoTarget)?;
        let result = tokio::time::timeout(timeout, self.put_grant(address, grant)).await;
        result.unwrap_or(Err(Error::Timeout))
    }

    async fn put_grant(&self, address: SocketAddr, grant: &Grant) -> Result<(), Error> {
        // The connection is taken out of the cache while it is used, so that dropping this future
        // at the time-out closes it.
        let mut cached = self.grant_connection.connection.lock().await;
        let reused = cached
            .take()
            .filter(|(target, c)| *target == address && c.send.is_ready());
        let mut connection = match reused {
            Some((_, connection)) => connection,
            None => Connection::open(&self.node, address)
                .await
                .map_err(|e| Error::Connection(e.to_string()))?,
        };
        let response = connection
            .send
            .send_request(grant_request(address, grant))
            .await;
        let response = response.map_err(|e| Error::Connection(e.to_string()))?;
        let status = response.status();
        let body = http_body_util::Limited::new(response.into_body(), 4 << 10);
        if body.collect().await.is_ok() {
            *cached = Some((address, connection));
        }
        match status {
            StatusCode::CONFLICT => Err(Error::Stale),
            status if status.is_success() => Ok(()),
            status => Err(Error::Refused(status.as_u16())),
        }
    }
}

fn grant_request(address: SocketAddr, grant: &Grant) -> Request<Body> {
    // A grant consists of integers and always serializes.
    let body = serde_json::to_vec(grant).unwrap_or_default();
    let mut request = Request::new(full_body(body));
    *request.method_mut() = Method::PUT;
    *request.uri_mut() = http::Uri::from_static(headers::PATH_GRANT);
    let map = request.headers_mut();
    map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        map.insert(HOST, host);
    }
    request
}
