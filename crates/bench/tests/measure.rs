//! Statistics of the measurements.

use googletest::prelude::*;
use masticdeal_bench::measure::Spread;

/// Guards against percentiles that leave out the worst try of a small set.
#[gtest]
fn percentiles_are_of_the_nearest_rank() {
    let s = Spread::of((1..=20).rev().map(f64::from).collect());
    expect_that!(
        (s.count, s.median, s.p99, s.worst),
        eq((20, 10.0, 20.0, 20.0))
    );
    expect_that!(Spread::of(vec![]), eq(Spread::default()));
}
