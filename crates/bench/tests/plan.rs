//! Tests of the random fault plans of failure runs.

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_bench::plan::{Action, FaultPlan};

/// Counts the actions that start a kind of fault and those that end it.
fn action_counts(
    plan: &FaultPlan,
    is_start: fn(&Action) -> bool,
    is_end: fn(&Action) -> bool,
) -> (usize, usize) {
    let count = |matches_kind: fn(&Action) -> bool| {
        plan.actions.iter().filter(|(_, a)| matches_kind(a)).count()
    };
    (count(is_start), count(is_end))
}

/// Guards against plans that cannot be reproduced from their seed or are the same for all seeds,
/// and against kills and freezes that are not undone.
#[gtest]
fn plan_is_determined_by_its_seed_and_undoes_each_kill_and_freeze() {
    let length = Duration::from_secs(600);
    for seed in 0..20 {
        let plan = FaultPlan::random(seed, length, 9, 3);
        expect_that!(
            FaultPlan::random(seed, length, 9, 3).actions,
            eq(&plan.actions)
        );
        expect_that!(plan.faults, gt(100));
        let (kills, starts) = action_counts(
            &plan,
            |a| matches!(a, Action::Kill(..)),
            |a| matches!(a, Action::Start(..)),
        );
        expect_that!(kills, eq(starts));
        let (freezes, thaws) = action_counts(
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
