//! Routing decisions on the deployment configuration, called for every request.

use std::borrow::Cow;

use crate::deployment::{Deployment, KeySource, Route, Service};
use crate::deployment_parser::METHODS;

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteMatch<'a> {
    /// The service.
    pub service: &'a Service,
    /// The route; `None` when a path prefix of the service decided.
    pub route: Option<&'a Route>,
}

impl Deployment {
    /// Returns where a request of this host and path goes. `draw` is uniform in 0 to 1 and decides
    /// between the services that share a route.
    ///
    /// `host` is the raw header; `path` is the raw path without the query.
    pub fn resolve(&self, host: &str, path: &str, sample: f64) -> Option<RouteMatch<'_>> {
        if self.routes.is_empty() {
            let service = self.service_for_path(path)?;
            return Some(RouteMatch {
                service,
                route: None,
            });
        }
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |r: &&Route| path.starts_with(&r.prefix) && r.host.eq_ignore_ascii_case(host);
        let routes = self.routes.iter().filter(fits);
        let route = routes.max_by_key(|r| r.prefix.len())?;
        let service = self.service(route.choose_service(sample)?)?;
        Some(RouteMatch {
            service,
            route: Some(route),
        })
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the service whose path prefix fits `path` and is the longest that does.
    ///
    /// A prefix fits whole segments: `/search` fits `/search` and `/search/4711` but not
    /// `/searches`. `path` is the raw path of the request, without the query.
    pub fn service_for_path(&self, path: &str) -> Option<&Service> {
        let mut best: Option<(usize, &Service)> = None;
        for service in &self.services {
            for prefix in &service.paths {
                let longer = best.is_none_or(|(length, _)| prefix.len() > length);
                if longer && fits(prefix, path) {
                    best = Some((prefix.len(), service));
                }
            }
        }
        best.map(|(_, service)| service)
    }
}

impl Route {
    /// Returns the service to which a request goes; `draw` is uniform in 0 to 1.
    fn choose_service(&self, sample: f64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = sample * total as f64;
        let weighted = self.services.iter().filter(|s| s.weight > 0);
        let mut last = None;
        for candidate in weighted {
            last = Some(candidate.service.as_str());
            left -= f64::from(candidate.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

fn fits(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}

impl Service {
    /// Returns the key of a request, percent-decoded for path and query.
    ///
    /// `path` is the raw path without the query, `query` the raw query without `?`, and `header`
    /// returns the value of a header by its lower-case name. Allocates only when the key is
    /// percent-encoded.
    ///
    /// Returns `None` when the service has no key, when the request has none or an empty one, when
    /// it does not decode to UTF-8, and when the target could read another key than this function:
    /// a query parameter given twice, or a path with `.` or `..` segments.
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

    /// Returns whether the keys are numbers.
    pub fn has_numeric_keys(&self) -> bool {
        matches!(self.key, Some(KeySource::NumericHeader(_)))
    }

    /// Returns whether a request with this method may run more than once.
    ///
    /// `idempotent` is the value of the header by which the caller decides: `yes` or `no`. Any
    /// other value counts as `no`, and so does a method that is not one of the usual ones.
    pub fn is_idempotent(&self, method: &str, idempotent: Option<&str>) -> bool {
        match idempotent {
            Some(text) => text.trim().eq_ignore_ascii_case("yes"),
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
    let mut found = None;
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let same = key == name || (key.contains(['%', '+']) && decodes_to(key, name));
        if same && found.replace(value).is_some() {
            return None;
        }
    }
    percent_decode(found?, true)
}

fn decodes_to(key: &str, name: &str) -> bool {
    percent_decode(key, true).is_some_and(|decoded| decoded == name)
}

/// Returns whether a segment of the path is `.` or `..`, plain or percent-encoded. A target may
/// resolve such segments and so read other segments than the router.
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

/// Decodes `%XX`, and `+` as a space when `plus` is set. Returns `None` for a malformed escape and
/// for bytes that are not UTF-8.
fn percent_decode(text: &str, plus: bool) -> Option<Cow<'_, str>> {
    let encoded = |byte: u8| byte == b'%' || (plus && byte == b'+');
    if !text.bytes().any(encoded) {
        return Some(Cow::Borrowed(text));
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => (hex(rest.next()?)? << 4) | hex(rest.next()?)?,
            b'+' if plus => b' ',
            other => other,
        });
    }
    String::from_utf8(bytes).ok().map(Cow::Owned)
}

fn hex(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}
