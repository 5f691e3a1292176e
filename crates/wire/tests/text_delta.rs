//! Differences between texts: round trips, sizes, and damaged or foreign differences.

use googletest::prelude::*;
use masticdeal_wire::codec;
use masticdeal_wire::peer::{ConfigUpdate, ConfigValue};
use masticdeal_wire::text_delta::{Error, TextDelta};
use proptest::prelude::*;

/// Number of children to which a daemon forwards an update.
const FAN_OUT: usize = masticdeal_ownership::dissemination_tree::FAN_OUT;

/// Bytes that a link of 13 Mbit/s, the slowest of the users' machines, carries in 300 ms. Three
/// levels of the tree then take less than half of the 2.5 s in which a change must be in force.
const BYTES_PER_LEVEL: usize = 13_000_000 / 8 * 3 / 10;

/// Returns a route as it stands in the users' configuration. The names vary as theirs do.
fn route(index: u64) -> String {
    let name = index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!(
        concat!(
            r#"{{"name":"r{0:x}","host":"h{1}.example","path-prefix":"/p{0:x}/","service":"s{1}","#,
            r#""kind":"idempotent","timeout-s":2.0,"target-latency-s":0.5,"max-attempts":2,"#,
            r#""priority":1,"traffic-split":[]}}"#
        ),
        name >> 40,
        index % 3
    )
}

fn configuration(version: u64, routes: impl Iterator<Item = u64>) -> String {
    let routes: Vec<String> = routes.map(route).collect();
    format!(
        r#"{{"version":"r{version}","routes":[{}],"services":[]}}"#,
        routes.join(",")
    )
}

fn encoded_size(base: &str, text: &str) -> usize {
    let update = ConfigUpdate {
        head: ConfigValue::default(),
        deltas: vec![TextDelta::new(base, text)],
    };
    codec::encode(&update).unwrap().len()
}

/// Guards against transfers of a large configuration that saturate the links of small machines, so
/// that no transfer completes and lease renewals are delayed.
#[gtest]
fn large_configurations_are_transferred_within_a_level_of_the_tree() {
    struct Case {
        name: &'static str,
        base: String,
        text: String,
        limit: usize,
    }
    let large = configuration(10, 0..1_700);
    assert_that!(large.len(), gt(300_000));
    let cases = [
        Case {
            name: "the first configuration",
            base: String::new(),
            text: large.clone(),
            limit: BYTES_PER_LEVEL / FAN_OUT,
        },
        Case {
            name: "1,640 routes more",
            base: configuration(9, 0..60),
            text: large.clone(),
            limit: BYTES_PER_LEVEL / FAN_OUT,
        },
        Case {
            name: "one route more",
            base: large.clone(),
            text: configuration(11, 0..1_701),
            limit: 1_024,
        },
        Case {
            name: "one route less",
            base: large.clone(),
            text: configuration(11, (0..1_700).filter(|i| *i != 700)),
            limit: 1_024,
        },
    ];
    for case in &cases {
        let size = encoded_size(&case.base, &case.text);
        expect_that!(size, le(case.limit), "{}: {size} bytes", case.name);
        let delta = TextDelta::new(&case.base, &case.text);
        expect_that!(delta.apply(&case.base), ok(eq(&case.text)), "{}", case.name);
    }
}

/// Guards against a configuration that is built from a text which the sender did not mean.
#[gtest]
fn difference_applies_to_its_own_base_only() {
    let delta = TextDelta::new("a}b}", "a}c}");
    expect_that!(delta.apply("a}d}"), err(eq(&Error::OtherBase)));
    expect_that!(delta.apply("a}b}"), ok(eq("a}c}")));
    let whole = ConfigUpdate {
        head: ConfigValue::default(),
        deltas: vec![TextDelta::new("", "a}b}")],
    };
    let value = whole.apply("another text").unwrap();
    expect_that!(value.text.as_str(), eq("a}b}"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    /// Guards against texts that change on their way, whichever chunks they share.
    #[test]
    fn texts_round_trip(base in "([ab}\n\u{e7}]{0,3}}){0,12}", text in "([ab}\n\u{e7}]{0,3}}){0,12}") {
        let delta = TextDelta::new(&base, &text);
        prop_assert_eq!(delta.apply(&base), Ok(text));
    }

    /// Guards against a panic or another text after a difference was damaged.
    #[test]
    fn damaged_differences_are_rejected(position in any::<proptest::sample::Index>(), garbage in any::<u8>()) {
        let (base, text) = (configuration(1, 0..40), configuration(2, 3..50));
        let delta = TextDelta::new(&base, &text);
        let mut body = codec::encode(&delta).unwrap()[codec::PREFIX_BYTES..].to_vec();
        let index = position.index(body.len());
        body[index] = garbage;
        if let Ok(damaged) = codec::decode_body::<TextDelta>(&body)
            && let Ok(result) = damaged.apply(&base)
        {
            prop_assert_eq!(result, text);
        }
    }
}
