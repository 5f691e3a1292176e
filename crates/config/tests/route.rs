//! Routing of requests: path prefixes, routes, keys and idempotence.

use googletest::prelude::*;
use masticdeal_config::deployment::{Deployment, KeySource, Route, Service, WeightedService};

fn deployment() -> Deployment {
    let text =
        "[service all]\npaths = /\n[service a]\npaths = /a\n[service ab]\npaths = /a/b/, /c\n";
    Deployment::parse(text).unwrap()
}

/// Guards against a prefix that matches part of a segment, or wins over a longer one.
#[gtest]
fn longest_prefix_of_complete_segments_matches() {
    let deployment = deployment();
    for (path, service) in [
        ("/", "all"),
        ("/a", "a"),
        ("/a/", "a"),
        ("/a/b", "a"),
        ("/a/b/", "ab"),
        ("/a/b/c", "ab"),
        ("/ab", "all"),
        ("/c/d", "ab"),
        ("/cd", "all"),
    ] {
        let matched = deployment.service_for_path(path).map(|s| s.name.as_str());
        expect_that!(matched, some(eq(service)), "{path}");
    }
    expect_that!(deployment.service_for_path("a"), none());
    expect_that!(Deployment::default().service_for_path("/"), none());
}

/// Request with the source of the key and the expected key.
struct Case {
    source: &'static str,
    path: &'static str,
    query: Option<&'static str>,
    expected: Option<&'static str>,
}

const fn case(
    source: &'static str,
    path: &'static str,
    query: Option<&'static str>,
    expected: Option<&'static str>,
) -> Case {
    Case {
        source,
        path,
        query,
        expected,
    }
}

#[rustfmt::skip]
const KEYS: &[Case] = &[
    case("path", "/search/4711", None, Some("4711")),
    case("path", "/search/4711/sheet", None, Some("4711")),
    case("path", "/search/a%2Fb%20c", None, Some("a/b c")),
    case("path", "/search/a+b", None, Some("a+b")),
    case("path", "/search/%C3%A9", None, Some("é")),
    case("path", "/search/%C3", None, None),
    case("path", "/search/%4", None, None),
    case("path", "/search/%zz", None, None),
    case("path", "/search/", None, None),
    case("path", "/search", None, None),
    case("path", "/search//4711", None, None),
    // A target that resolves dot segments would derive another key.
    case("path", "/search/4711/../4712", None, None),
    case("path", "/search/4711/%2E%2e", None, None),
    case("path", "/search/.", None, None),
    case("path", "/search/...", None, Some("...")),
    case("path", "/search/.a", None, Some(".a")),
    case("query", "/search", Some("id=4711"), Some("4711")),
    case("query", "/search", Some("x=1&id=a+b%2B"), Some("a b+")),
    case("query", "/search", Some("i%64=7"), Some("7")),
    case("query", "/search", Some("id="), None),
    case("query", "/search", Some("id"), None),
    case("query", "/search", Some("ids=1&xid=2"), None),
    case("query", "/search", None, None),
    // Targets differ in which of two equal parameters they use.
    case("query", "/search", Some("id=1&id=2"), None),
    case("query", "/search", Some("id=1&%69d=2"), None),
    case("header", "/search", None, Some("h-1")),
];

/// Guards against a key that differs from the one that the target derives from the same request.
#[gtest]
fn key_comes_from_the_configured_source() {
    for case in KEYS {
        let source = match case.source {
            "path" => KeySource::PathSegment(2),
            "query" => KeySource::QueryParameter("id".into()),
            _ => KeySource::Header("x-key".into()),
        };
        let service = Service {
            key: Some(source),
            shards: 4,
            ..Service::default()
        };
        let header = |name: &str| (name == "x-key").then_some(" h-1 ");
        let key = service.key_of(case.path, case.query, header);
        expect_that!(
            key.as_deref(),
            eq(case.expected),
            "{} {:?}",
            case.path,
            case.query
        );
    }
    expect_that!(
        Service::default().key_of("/search/1", None, |_| None),
        none()
    );
}

/// Guards against executing a request more than once although the configuration or the caller does
/// not allow it.
#[gtest]
fn method_and_header_decide_idempotence() {
    let service = Service::default();
    for (method, header, expected) in [
        ("GET", None, true),
        ("PUT", None, true),
        ("POST", None, false),
        ("PATCH", None, false),
        ("POST", Some("yes"), true),
        ("POST", Some(" Yes"), true),
        ("GET", Some("no"), false),
        // An unknown value or method must not lead to a second execution.
        ("GET", Some("maybe"), false),
        ("PURGE", None, false),
        ("get", None, false),
    ] {
        expect_that!(
            service.is_idempotent(method, header),
            eq(expected),
            "{method} {header:?}"
        );
    }
}

/// Host, path prefix, and services with their weights.
type RouteSpec<'a> = (&'a str, &'a str, &'a [(&'a str, u32)]);

fn deployment_with_routes(routes: &[RouteSpec<'_>]) -> Deployment {
    let route = |(host, prefix, weights): &RouteSpec<'_>| Route {
        host: (*host).into(),
        prefix: (*prefix).into(),
        services: weights
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        ..Route::default()
    };
    let service = |name: &str| Service {
        name: name.into(),
        ..Service::default()
    };
    Deployment {
        services: ["a", "b"].map(service).into(),
        routes: routes.iter().map(route).collect(),
        ..Deployment::default()
    }
}

/// Guards against selecting a route of another host or with a shorter prefix, and against a port in
/// the host header that prevents a match.
#[gtest]
fn routes_match_host_and_longest_prefix() {
    let deployment = deployment_with_routes(&[
        ("one.example", "/x/", &[("a", 1)]),
        ("one.example", "/x/y/", &[("b", 1)]),
        ("two.example", "/x/", &[("b", 1)]),
    ]);
    for (host, path, service) in [
        ("one.example", "/x/1", Some("a")),
        ("One.Example:8080", "/x/1", Some("a")),
        ("one.example", "/x/y/1", Some("b")),
        ("two.example", "/x/y/1", Some("b")),
        ("one.example", "/x", None),
        ("three.example", "/x/1", None),
    ] {
        let matched = deployment.resolve(host, path, 0.0);
        expect_that!(
            matched.map(|m| m.service.name.as_str()),
            eq(service),
            "{host}{path}"
        );
    }
}

/// Guards against a traffic split that deviates from the weights or selects a service of weight 0.
#[gtest]
fn traffic_split_follows_the_weights() {
    let weights: &[(&str, u32)] = &[("a", 90), ("b", 10)];
    let deployment =
        deployment_with_routes(&[("h", "/", weights), ("h", "/none/", &[("a", 0), ("b", 3)])]);
    let count = |path: &str, service: &str| {
        let samples = (0..1_000).map(|i| f64::from(i) / 1_000.0);
        let matching = samples.filter(|sample| {
            let matched = deployment.resolve("h", path, *sample).unwrap();
            matched.service.name == service
        });
        matching.count()
    };
    expect_that!(count("/p/", "a"), eq(900));
    expect_that!(count("/none/p/", "a"), eq(0));
}

/// Guards against a `number` key that is parsed as an ordinary header key.
#[gtest]
fn numeric_key_source_is_parsed() {
    let text = "[service s]\npaths = /s\ndivided = yes\nshards = 128\nkey = number X-Key\n";
    let deployment = Deployment::parse(text).unwrap();
    let service = deployment.service("s").unwrap();
    expect_that!(service.has_numeric_keys(), eq(true));
    expect_that!(
        service.key,
        some(eq(&KeySource::NumericHeader("x-key".into())))
    );
}
