//! Tests of logs and traces.

use std::sync::mpsc;

use googletest::prelude::*;
use log::Log as _;
use masticdeal_config::settings::{Log, Settings};
use masticdeald::telemetry::logs;
use masticdeald::telemetry::traces::HopSpan;

/// Guards against log lines that are not one JSON object each, levels that are ignored, and secrets
/// in the output of the settings.
#[gtest]
#[test]
fn log_lines_are_json_with_levels_per_module() {
    let (tx, rx) = mpsc::channel();
    let modules = vec![("masticdeald::peers".into(), "debug".into())];
    let settings = Log {
        level: "warn".into(),
        modules,
    };
    let (_, logger) = logs::dispatch(&settings).unwrap().chain(tx).into_log();
    let mut secret_settings = Settings::default();
    secret_settings.secret.peers = "hidden-1".into();
    secret_settings.secret.operators = "hidden-2".into();
    let text = format!("a \"quoted\"\nline {secret_settings:?}");
    let levels = [
        ("masticdeald::peers::link", log::Level::Debug, true),
        ("masticdeald::peers", log::Level::Trace, false),
        ("masticdeald::owner", log::Level::Info, false),
        ("masticdeald::owner", log::Level::Warn, true),
    ];
    for (target, level, is_logged) in levels {
        let pairs = [("peer", "127.0.0.1:1"), ("message", "not replaced")];
        let arguments = format_args!("{text}");
        let mut record = log::Record::builder();
        record
            .target(target)
            .level(level)
            .args(arguments)
            .key_values(&pairs);
        logger.log(&record.build());
        let line = rx.try_recv();
        expect_that!(line.is_ok(), eq(is_logged), "{target} {level}");
        let Ok(line) = line else { continue };
        expect_that!(line.trim_end().lines().count(), eq(1));
        let fields: serde_json::Value = serde_json::from_str(&line).unwrap();
        expect_that!(fields["module"].as_str(), some(eq(target)));
        expect_that!(fields["message"].as_str(), some(eq(text.as_str())));
        expect_that!(fields["peer"].as_str(), some(eq("127.0.0.1:1")));
        expect_that!(line, not(contains_substring("hidden-")));
    }
    let invalid = Log {
        level: "loud".into(),
        modules: Vec::new(),
    };
    expect_that!(
        logs::dispatch(&invalid).err(),
        some(eq(&logs::Error::Level("loud".into())))
    );
}

/// Guards against a hop that does not continue the trace of its sender, and against an invalid
/// trace id after a malformed `traceparent`.
#[gtest]
#[test]
fn traces_continue_across_hops() {
    let caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let first = HopSpan::start("ingress", caller);
    let second = HopSpan::start("owner", &first.traceparent());
    expect_that!(
        second.traceparent(),
        starts_with("00-0af7651916cd43dd8448eb211c80319c-")
    );
    for malformed in ["", "00-zz", "x"] {
        let new_trace = HopSpan::start("ingress", malformed).traceparent();
        expect_that!(new_trace.len(), eq(55), "{malformed}");
        expect_that!(
            new_trace,
            not(contains_substring("00000000000000000000000000000000"))
        );
    }
}
