//! Statistics of the measurements.

use googletest::prelude::*;
use masticdeal_bench::load::Latency;
use masticdeal_bench::measure::Percentiles;

/// Guards against a 99th percentile that excludes the maximum of a small set.
#[gtest]
fn percentiles_use_the_nearest_rank() {
    let s = Percentiles::from_values((1..=20).rev().map(f64::from).collect());
    expect_that!(
        (s.count, s.median, s.p99, s.max),
        eq((20, 10.0, 20.0, 20.0))
    );
    expect_that!(Percentiles::from_values(vec![]), eq(Percentiles::default()));
}

/// Guards against a histogram that clamps latencies to its initial range.
#[gtest]
fn latencies_are_recorded_beyond_the_initial_range() {
    let l = Latency::from_micros((1..=1_000).map(|ms| ms * 1_000));
    expect_that!(l.count, eq(1_000));
    expect_that!(l.p50, near_u64(500_000));
    expect_that!(l.p99, near_u64(990_000));
    expect_that!(l.max, near_u64(1_000_000));
}

/// Matches values within the precision of three significant digits.
fn near_u64(value: u64) -> impl Matcher<u64> {
    all![ge(value - value / 1_000), le(value + value / 1_000)]
}
