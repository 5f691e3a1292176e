//! Plans of failure runs.

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_bench::plan::{Action, FaultPlan};

fn net_count(
    plan: &FaultPlan,
    begin: fn(&Action) -> bool,
    end: fn(&Action) -> bool,
) -> (usize, usize) {
    let count = |of: fn(&Action) -> bool| plan.actions.iter().filter(|(_, a)| of(a)).count();
    (count(begin), count(end))
}

/// Guards against runs that cannot be repeated from their seed, and faults that never end.
#[gtest]
fn plan_follows_from_its_seed_and_ends_what_it_begins() {
    let length = Duration::from_secs(600);
    for seed in 0..20 {
        let plan = FaultPlan::random(seed, length, 9, 3);
        expect_that!(
            FaultPlan::random(seed, length, 9, 3).actions,
            eq(&plan.actions)
        );
        expect_that!(plan.faults, gt(100));
        let (kills, starts) = net_count(
            &plan,
            |a| matches!(a, Action::Kill(..)),
            |a| matches!(a, Action::Start(..)),
        );
        expect_that!(kills, eq(starts));
        let (freezes, thaws) = net_count(
            &plan,
            |a| matches!(a, Action::Freeze(..)),
            |a| matches!(a, Action::Thaw(..)),
        );
        expect_that!(freezes, eq(thaws));
    }
    expect_that!(
        FaultPlan::random(1, length, 9, 3).actions,
        not(eq(&FaultPlan::random(2, length, 9, 3).actions))
    );
}
