//! Tests of the statistics of measurements and load.

use googletest::prelude::*;
use masticdeal_bench::load::Latency;
use masticdeal_bench::measure::Percentiles;

/// Guards against interpolated percentiles, whose 99th would be below the maximum of a small set.
#[gtest]
fn percentiles_use_the_nearest_rank() {
    let percentiles = Percentiles::from_values((1..=20).rev().map(f64::from).collect());
    expect_that!(
        (
            percentiles.count,
            percentiles.median,
            percentiles.p99,
            percentiles.max
        ),
        eq((20, 10.0, 20.0, 20.0))
    );
    expect_that!(Percentiles::from_values(vec![]), eq(Percentiles::default()));
}

/// Guards against a histogram whose range is so small that it clamps latencies.
#[gtest]
fn latencies_up_to_one_second_are_not_clamped() {
    let latency = Latency::from_micros((1..=1_000).map(|ms| ms * 1_000));
    expect_that!(latency.count, eq(1_000));
    expect_that!(latency.p50, near_u64(500_000));
    expect_that!(latency.p99, near_u64(990_000));
    expect_that!(latency.max, near_u64(1_000_000));
}

/// Matches values within the precision of three significant digits.
fn near_u64(value: u64) -> impl Matcher<u64> {
    all![ge(value - value / 1_000), le(value + value / 1_000)]
}
