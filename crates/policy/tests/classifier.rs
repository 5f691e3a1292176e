//! Tests of path shapes and cost classes.

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_policy::classifier::{Classification, Classifier, CostClass, Request, Settings};
use masticdeal_policy::shape::write_shape;
use proptest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn req(path: &str) -> Request<'_> {
    Request {
        service: "library",
        method: "GET",
        path,
        key_segment: None,
        is_route: false,
    }
}

fn record_samples(
    classifier: &mut Classifier,
    path: &str,
    service_time: Duration,
    count: usize,
) -> Classification {
    for _ in 0..count {
        let class = classifier.classify(ms(0), req(path));
        classifier.record(ms(0), class.shape, service_time);
    }
    classifier.classify(ms(0), req(path))
}

/// Guards against a separate estimate for each identifier, and against a common one for paths that
/// differ in service time.
#[gtest]
fn shapes_replace_variable_segments() {
    struct Case {
        path: &'static str,
        key: Option<usize>,
        shape: &'static str,
    }
    let case = |path, key, shape| Case { path, key, shape };
    let cases = [
        case("/search/4711", None, "/search/*"),
        case("/v1/search/list?name=a", None, "/v1/search/list"),
        case("/doc/4711.pdf", None, "/doc/*.pdf"),
        case("/doc/sheet.pdf", None, "/doc/sheet.pdf"),
        case("/a/6f1c-22b9-aa/b", None, "/a/*/b"),
        case("/a/averyveryverylongfreetextsegment", None, "/a/*"),
        case("/name/caf%C3%A9", None, "/name/*"),
        case("/search/smith/list", Some(2), "/search/*/list"),
        case("//a//b/", None, "/a/b"),
        case("/a/b/c/d/e/f/g/h/i/j", None, "/a/b/c/d/e/f/g/h/**"),
        case("", None, ""),
        case("/.hidden", None, "/*"),
    ];
    for Case { path, key, shape } in cases {
        let mut buf = String::new();
        write_shape(path, key, &mut buf);
        expect_that!(buf, eq(shape), "{path}");
    }
}

/// Guards against an absolute threshold, by which all requests of a slow service would count as
/// long.
#[gtest]
fn long_shapes_are_relative_to_their_service() {
    let mut classifier = Classifier::new(Settings::default());
    record_samples(&mut classifier, "/list", ms(10), 200);
    let slides = record_samples(&mut classifier, "/slides/1.pptx", ms(1000), 10);
    expect_that!(slides.cost, eq(CostClass::Long));
    expect_that!(
        classifier.classify(ms(0), req("/list")).cost,
        eq(CostClass::Short)
    );
    expect_that!(slides.expected.unwrap().mean, eq(ms(1000)));
    // The same service time is short in a service where all requests take as long.
    for _ in 0..20 {
        let request = Request {
            service: "archive",
            ..req("/slides/1.pptx")
        };
        let class = classifier.classify(ms(0), request);
        expect_that!(class.cost, eq(CostClass::Short));
        classifier.record(ms(0), class.shape, ms(1000));
    }
}

/// Guards against a shape near the threshold that changes class with every sample.
#[gtest]
fn class_changes_only_outside_the_hysteresis_band() {
    let settings = Settings {
        smoothing: 1.0,
        ..Settings::default()
    };
    let mut classifier = Classifier::new(settings);
    record_samples(&mut classifier, "/list", ms(10), 200);
    let cost_after =
        |classifier: &mut Classifier, time| record_samples(classifier, "/mid", ms(time), 4).cost;
    expect_that!(cost_after(&mut classifier, 80), eq(CostClass::Short));
    expect_that!(cost_after(&mut classifier, 110), eq(CostClass::Long));
    expect_that!(cost_after(&mut classifier, 80), eq(CostClass::Long));
    expect_that!(cost_after(&mut classifier, 60), eq(CostClass::Long));
    expect_that!(cost_after(&mut classifier, 40), eq(CostClass::Short));
}

/// Guards against a shape that counts as long without evidence, or as short although one of its
/// requests exceeded the threshold.
#[gtest]
fn unknown_shape_is_short_until_a_request_exceeds_the_threshold() {
    let mut classifier = Classifier::new(Settings::default());
    record_samples(&mut classifier, "/list", ms(10), 20);
    let class = classifier.classify(ms(0), req("/export/all"));
    expect_that!(class.cost, eq(CostClass::Short));
    expect_that!(class.expected, none());
    expect_that!(
        classifier.classify_running(class.shape, ms(90)),
        eq(CostClass::Short)
    );
    expect_that!(
        classifier.classify_running(class.shape, ms(110)),
        eq(CostClass::Long)
    );
    let next = classifier.classify(ms(0), req("/export/all"));
    expect_that!(next.cost, eq(CostClass::Long));
}

/// Guards against downloads that all count as short at first because each has a path of its own.
#[gtest]
fn unknown_shape_takes_the_class_of_its_siblings() {
    let names = ["anna", "bela", "cem", "duc", "eda", "fatih"];
    for use_siblings in [true, false] {
        let mut classifier = Classifier::new(Settings {
            use_siblings,
            ..Settings::default()
        });
        record_samples(&mut classifier, "/list", ms(10), 100);
        for name in names {
            record_samples(&mut classifier, &format!("/slides/{name}"), ms(1000), 1);
        }
        let class = classifier.classify(ms(0), req("/slides/never"));
        let expected = if use_siblings {
            CostClass::Long
        } else {
            CostClass::Short
        };
        expect_that!(class.cost, eq(expected));
    }
}

/// Guards against one long export that makes a whole directory of short lists count as long.
#[gtest]
fn one_long_sibling_does_not_make_the_others_long() {
    let mut classifier = Classifier::new(Settings::default());
    for (i, name) in ["anna", "bela", "cem", "duc", "eda"].iter().enumerate() {
        let time = if i == 2 { ms(60_000) } else { ms(10) };
        record_samples(&mut classifier, &format!("/rooms/{name}"), time, 6);
    }
    let class = classifier.classify(ms(0), req("/rooms/never"));
    expect_that!(class.cost, eq(CostClass::Short));
}

/// Guards against refusing a shape because of an outdated service time.
#[gtest]
fn outdated_estimate_is_not_used() {
    let mut classifier = Classifier::new(Settings::default());
    let class = record_samples(&mut classifier, "/list", ms(10), 20);
    expect_that!(class.expected, some(anything()));
    // By default, estimates are used for at most 15 s after the last sample.
    let later = Duration::from_secs(16);
    expect_that!(classifier.classify(later, req("/list")).expected, none());
}

/// Guards against many paths that are each requested once and evict the shapes in regular use.
#[gtest]
fn shapes_requested_once_do_not_evict_those_in_use() {
    let settings = Settings {
        capacity: 16,
        ..Settings::default()
    };
    let mut classifier = Classifier::new(settings);
    let list_class = record_samples(&mut classifier, "/list", ms(10), 50);
    for i in 0..2000u32 {
        let letter = |n: u32| char::from(b'a' + (n % 26) as u8);
        let path = format!("/{}{}{}", letter(i), letter(i / 26), letter(i / 676));
        let class = classifier.classify(ms(0), req(&path));
        classifier.record(ms(0), class.shape, ms(10));
        if i % 20 == 0 {
            record_samples(&mut classifier, "/list", ms(10), 1);
        }
    }
    expect_that!(classifier.len(), le(16));
    expect_that!(
        classifier.cost(list_class.shape),
        some(eq(CostClass::Short))
    );
}

/// Guards against recording a service time for the shape that replaced an evicted one.
#[gtest]
fn handle_of_an_evicted_shape_is_ignored() {
    let settings = Settings {
        capacity: 1,
        use_siblings: false,
        ..Settings::default()
    };
    let mut classifier = Classifier::new(settings);
    let first = classifier.classify(ms(0), req("/a"));
    let second = classifier.classify(ms(0), req("/b"));
    classifier.record(ms(0), first.shape, ms(1000));
    expect_that!(classifier.cost(first.shape), none());
    expect_that!(classifier.expected_time(ms(0), second.shape), none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against paths that cause a panic, and against a table that grows with the number of
    /// paths.
    #[test]
    fn table_stays_bounded_for_any_path(paths in prop::collection::vec(any::<String>(), 1..60)) {
        let mut classifier = Classifier::new(Settings { capacity: 8, ..Settings::default() });
        for (i, path) in paths.iter().enumerate() {
            let class = classifier.classify(ms(i as u64), req(path));
            classifier.record(ms(i as u64), class.shape, ms(i as u64 % 50));
            prop_assert!(classifier.len() <= 8);
        }
    }
}

/// Guards against two routes of one service that share an estimate because their prefixes look like
/// identifiers. Calls of 20 ms would then be refused as if they took as long as downloads.
#[gtest]
fn routes_are_distinguished_by_their_whole_prefix() {
    let mut classifier = Classifier::new(Settings::default());
    let route = |path| Request {
        service: "documents",
        method: "GET",
        path,
        key_segment: None,
        is_route: true,
    };
    let calls = classifier.classify(ms(0), route("/lose964/")).shape;
    let downloads = classifier.classify(ms(0), route("/yeno802/")).shape;
    expect_that!(calls, not(eq(downloads)));
    for i in 0..50 {
        classifier.record(ms(i), calls, ms(20));
        classifier.record(ms(i), downloads, ms(200));
    }
    let expected = classifier.classify(ms(60), route("/lose964/")).expected;
    let mean = expected.map(|e| e.mean);
    expect_that!(mean, some(le(ms(25))));
}
