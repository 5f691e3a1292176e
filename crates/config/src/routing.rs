//! Selects service and key of a request by the deployment configuration.

use std::borrow::Cow;

use crate::deployment::{Deployment, KeySource, Route, Service};
use crate::deployment_parser::METHODS;

/// Service for a request, and how it was selected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteMatch<'a> {
    pub service: &'a Service,
    /// Route that matched; `None` if a path prefix of the service did.
    pub route: Option<&'a Route>,
}

impl Deployment {
    /// Returns the service for a request.
    ///
    /// `host` is the raw header and `path` the raw path without the query. `sample`, a uniformly
    /// distributed number from 0 to 1, selects one of the services that share a route.
    pub fn resolve(&self, host: &str, path: &str, sample: f64) -> Option<RouteMatch<'_>> {
        if self.routes.is_empty() {
            let service = self.service_for_path(path)?;
            return Some(RouteMatch {
                service,
                route: None,
            });
        }
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matches = |r: &&Route| path.starts_with(&r.prefix) && r.host.eq_ignore_ascii_case(host);
        let routes = self.routes.iter().filter(matches);
        let route = routes.max_by_key(|r| r.prefix.len())?;
        let service = self.service(route.choose_service(sample)?)?;
        Some(RouteMatch {
            service,
            route: Some(route),
        })
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the service with the longest path prefix that matches `path`, the raw path without
    /// the query.
    ///
    /// A prefix matches complete segments: `/search` matches `/search` and `/search/4711`, but not
    /// `/searches`.
    pub fn service_for_path(&self, path: &str) -> Option<&Service> {
        let mut best: Option<(usize, &Service)> = None;
        for service in &self.services {
            for prefix in &service.paths {
                let longer = best.is_none_or(|(length, _)| prefix.len() > length);
                if longer && prefix_matches(prefix, path) {
                    best = Some((prefix.len(), service));
                }
            }
        }
        best.map(|(_, service)| service)
    }
}

impl Route {
    /// Selects a service by weight; `sample` is uniformly distributed from 0 to 1. Returns `None`
    /// if no service has a weight above 0.
    fn choose_service(&self, sample: f64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = sample * total as f64;
        let weighted = self.services.iter().filter(|s| s.weight > 0);
        let mut last = None;
        for candidate in weighted {
            last = Some(candidate.service.as_str());
            remaining -= f64::from(candidate.weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}

impl Service {
    /// Returns the key of a request. Keys from path and query are percent-decoded.
    ///
    /// `path` is the raw path without the query, `query` the raw query without `?`. `header`
    /// returns the value of a header by its lower-case name. Allocates only to decode percent
    /// escapes and `+`.
    ///
    /// Returns `None` if the service is unsharded, or if the key is absent, empty or not valid
    /// UTF-8. Also returns `None` if the target might derive a different key: for a duplicate query
    /// parameter and for a path with `.` or `..` segments.
    pub fn key_of<'a>(
        &self,
        path: &'a str,
        query: Option<&'a str>,
        header: impl FnOnce(&str) -> Option<&'a str>,
    ) -> Option<Cow<'a, str>> {
        let key = match self.key.as_ref()? {
            KeySource::PathSegment(segment) => path_key(path, *segment)?,
            KeySource::QueryParameter(name) => query_key(query?, name)?,
            KeySource::Header(name) | KeySource::NumericHeader(name) => {
                Cow::Borrowed(header(name)?.trim())
            }
        };
        (!key.is_empty()).then_some(key)
    }

    /// Returns whether the keys are numbers, see [`KeySource::NumericHeader`].
    pub fn has_numeric_keys(&self) -> bool {
        matches!(self.key, Some(KeySource::NumericHeader(_)))
    }

    /// Returns whether a request with this method may be executed more than once.
    ///
    /// `header_value` is that of the header by which the caller overrides the configuration: `yes`
    /// or `no`. Any other value counts as `no`. Without it, unknown methods are not idempotent.
    pub fn is_idempotent(&self, method: &str, header_value: Option<&str>) -> bool {
        match header_value {
            Some(value) => value.trim().eq_ignore_ascii_case("yes"),
            None => METHODS.contains(&method) && !self.non_idempotent.iter().any(|m| m == method),
        }
    }
}

fn path_key(path: &str, segment: usize) -> Option<Cow<'_, str>> {
    if has_dot_segment(path) {
        return None;
    }
    let raw = path.strip_prefix('/')?.split('/').nth(segment - 1)?;
    percent_decode(raw, false)
}

fn query_key<'a>(query: &'a str, name: &str) -> Option<Cow<'a, str>> {
    let mut raw_value = None;
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let matches = key == name || (key.contains(['%', '+']) && decodes_to(key, name));
        if matches && raw_value.replace(value).is_some() {
            return None;
        }
    }
    percent_decode(raw_value?, true)
}

fn decodes_to(key: &str, name: &str) -> bool {
    percent_decode(key, true).is_some_and(|decoded| decoded == name)
}

/// Returns whether a segment of the path is `.` or `..`, plain or percent-encoded. A target that
/// resolves such segments would see a different path than the router.
pub(crate) fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(is_dot_segment)
}

fn is_dot_segment(segment: &str) -> bool {
    let Some(rest) = strip_dot(segment) else {
        return false;
    };
    rest.is_empty() || strip_dot(rest).is_some_and(str::is_empty)
}

fn strip_dot(segment: &str) -> Option<&str> {
    match segment.as_bytes() {
        [b'.', ..] => Some(&segment[1..]),
        [b'%', b'2', b'e' | b'E', ..] => Some(&segment[3..]),
        _ => None,
    }
}

/// Decodes `%XX`, and `+` as a space if `plus` is set. Returns `None` for malformed escapes and
/// invalid UTF-8.
fn percent_decode(text: &str, plus: bool) -> Option<Cow<'_, str>> {
    let encoded = |byte: u8| byte == b'%' || (plus && byte == b'+');
    if !text.bytes().any(encoded) {
        return Some(Cow::Borrowed(text));
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => (hex_digit(rest.next()?)? << 4) | hex_digit(rest.next()?)?,
            b'+' if plus => b' ',
            other => other,
        });
    }
    String::from_utf8(bytes).ok().map(Cow::Owned)
}

fn hex_digit(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}
