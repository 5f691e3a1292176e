//! What a target holds that takes its grants as answers to its reports.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::ids::{Epoch, ShardId};
use masticdeal_wire::target::{
    Announce, AnnouncedState, GrantedRange, HeldRange, RangeGrant, ReleasedRange, Report,
};
use masticdeald::holdings::{GrantableShards, GrantedShards, numeric_key_hash, shard_key_range};

/// Shards of the service; each has 512 keys.
const SHARD_COUNT: u32 = 128;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(incarnation: u64, holds: &[HeldRange]) -> Report {
    Report {
        announce: Announce {
            service: "search".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            slots: 6,
            checks_grants: true,
            state: AnnouncedState::Ready,
            load: None,
            instance: "t".into(),
            incarnation,
        },
        sequence: 1,
        holds: holds.to_vec(),
        released: Vec::new(),
    }
}

fn held_range(first: u16, last: u16, epoch: u32) -> HeldRange {
    HeldRange { first, last, epoch }
}

fn grant(
    granted_shards: &GrantedShards,
    now: Duration,
    shards: &[(u32, u32)],
    until: Duration,
) -> RangeGrant {
    let shards: Vec<_> = shards
        .iter()
        .map(|(s, e)| (ShardId(*s), Epoch(*e)))
        .collect();
    let grantable = GrantableShards {
        shards: &shards,
        shard_count: SHARD_COUNT,
        until,
        max_hold: ms(10_000),
        drift_ppm: 20_000,
    };
    granted_shards.grant(now, &grantable)
}

/// Guards against a shard that is given to a second owner while the first may hold it: it is free
/// when a report after the answer without it lacks it, or when the grant has run out.
#[gtest]
fn shard_is_free_when_a_report_or_the_clock_says_so() {
    struct Case {
        name: &'static str,
        /// Whether the answer after the grant leaves the shard out.
        left_out: bool,
        /// Life and granted_shards of the next report, if there is one.
        next: Option<(u64, &'static [HeldRange])>,
        at: Duration,
        free: bool,
    }
    const HELD: &[HeldRange] = &[HeldRange {
        first: 0,
        last: 1_023,
        epoch: 4,
    }];
    let case = |name, left_out, next, at, free| Case {
        name,
        left_out,
        next,
        at,
        free,
    };
    let cases = [
        case("granted", false, None, ms(1_000), false),
        case(
            "granted and not yet reported",
            false,
            Some((1, &[][..])),
            ms(1_000),
            false,
        ),
        case("left out, no report since", true, None, ms(1_000), false),
        case(
            "left out, still held",
            true,
            Some((1, HELD)),
            ms(1_000),
            false,
        ),
        case(
            "left out, reported gone",
            true,
            Some((1, &[][..])),
            ms(1_000),
            true,
        ),
        case("another life", false, Some((2, &[][..])), ms(1_000), true),
        case("run out", false, None, ms(3_000), true),
    ];
    for c in cases {
        let granted_shards = GrantedShards::default();
        granted_shards.apply_report(ms(0), &report(1, &[]), SHARD_COUNT, ms(3_060));
        grant(&granted_shards, ms(0), &[(0, 4)], ms(3_000));
        if c.left_out {
            granted_shards.apply_report(ms(500), &report(1, HELD), SHARD_COUNT, ms(3_060));
            grant(&granted_shards, ms(500), &[], ms(3_500));
        }
        if let Some((life, holds)) = c.next {
            granted_shards.apply_report(ms(600), &report(life, holds), SHARD_COUNT, ms(3_060));
        }
        expect_that!(
            granted_shards.is_released(c.at, ShardId(0)),
            eq(c.free),
            "{}",
            c.name
        );
    }
}

/// Guards against a grant that outlives the lease on a slow clock of the target, and against requests
/// that overtake the answer which grants their shard.
#[gtest]
fn grant_ends_before_the_lease_and_begins_after_its_answer() {
    let granted_shards = GrantedShards::default();
    granted_shards.apply_report(ms(0), &report(1, &[]), SHARD_COUNT, ms(3_060));
    let given = grant(&granted_shards, ms(100), &[(3, 9)], ms(2_650));
    expect_that!(given.hold.mul_f64(1.02), le(ms(2_550)));
    expect_that!(given.hold, ge(ms(2_490)));
    for (at, epoch, holds) in [
        (100, 9, false),
        (110, 9, true),
        (110, 8, false),
        (2_649, 9, true),
        (2_650, 9, false),
    ] {
        let known = granted_shards.holds(ms(at), ShardId(3), Epoch(epoch));
        expect_that!(known, eq(holds), "{at} ms, epoch {epoch}");
    }
}

/// Guards against answers beyond 4 KiB, and against shards that are left out of them: neighbours are one
/// range under the highest of their epochs.
#[gtest]
fn neighbours_are_one_range_and_the_answer_is_bounded() {
    for epoch_of in [|_| 128, |shard| shard + 1] {
        let granted_shards = GrantedShards::default();
        let shards: Vec<_> = (0..SHARD_COUNT).map(|s| (s, epoch_of(s))).collect();
        let given = grant(&granted_shards, ms(0), &shards, ms(3_000));
        let whole = GrantedRange {
            first: 0,
            last: u16::MAX,
            epoch: 128,
            handover: String::new(),
        };
        expect_that!(given.ranges, elements_are![eq(&whole)]);
    }
    let granted_shards = GrantedShards::default();
    // Every second shard of 1,024, which is more than one answer holds.
    let shards: Vec<_> = (0..512).map(|s| (ShardId(s * 2), Epoch(123_456))).collect();
    let grantable = GrantableShards {
        shards: &shards,
        shard_count: 1_024,
        until: ms(3_000),
        max_hold: ms(10_000),
        drift_ppm: 20_000,
    };
    let given = granted_shards.grant(ms(0), &grantable);
    // Rows as the platform writes them, and what stands around them.
    let row = |r: &GrantedRange| format!("[{},{},{},\"\"],", r.first, r.last, r.epoch).len();
    let bytes: usize = given.ranges.iter().map(row).sum();
    expect_that!(bytes, all!(ge(3_500), le(4_096 - 60)));
    // Only what is granted counts as held_range.
    let last = ShardId(given.ranges.len() as u32 * 2 - 2);
    let next = ShardId(last.0 + 2);
    expect_that!(
        granted_shards.holds(ms(100), last, Epoch(123_456)),
        eq(true)
    );
    expect_that!(
        granted_shards.holds(ms(100), next, Epoch(123_456)),
        eq(false)
    );
}

/// Guards against a range whose epoch falls when the neighbour that raised it has moved: the target refuses
/// a row under an epoch below one that it has seen. What is served is checked by the shard's own epoch.
#[gtest]
fn epoch_of_a_range_never_falls_for_a_shard() {
    let granted_shards = GrantedShards::default();
    grant(&granted_shards, ms(0), &[(0, 4), (1, 9)], ms(3_000));
    let alone = grant(&granted_shards, ms(100), &[(0, 4)], ms(3_000));
    expect_that!(alone.ranges[0].epoch, eq(9));
    expect_that!(
        granted_shards.holds(ms(200), ShardId(0), Epoch(4)),
        eq(true)
    );
    // A new process learns it from the target's report.
    let restarted = GrantedShards::default();
    restarted.apply_report(
        ms(300),
        &report(1, &[held_range(0, 511, 9)]),
        SHARD_COUNT,
        ms(3_060),
    );
    let again = grant(&restarted, ms(300), &[(0, 7)], ms(3_000));
    expect_that!(again.ranges[0].epoch, eq(9));
}

/// Guards against a handover that is lost, or used for a later epoch of the shard.
#[gtest]
fn handover_goes_with_the_epoch_it_was_sent_for() {
    let old = GrantedShards::default();
    let mut leaving = report(1, &[]);
    leaving.released = vec![ReleasedRange {
        first: 512,
        last: 1_535,
        handover: "h".into(),
    }];
    old.apply_report(ms(0), &leaving, SHARD_COUNT, ms(3_060));
    expect_that!(old.take_handover(ShardId(1)), some(eq("h")));
    expect_that!(old.take_handover(ShardId(1)), none());
    expect_that!(old.take_handover(ShardId(0)), none());
    let new = GrantedShards::default();
    new.store_handover(ShardId(1), Epoch(7), "h".into());
    let with = grant(&new, ms(0), &[(1, 7)], ms(3_000));
    expect_that!(with.ranges[0].handover, eq("h"));
    let later = grant(&new, ms(0), &[(1, 8)], ms(3_000));
    expect_that!(later.ranges[0].handover, eq(""));
}

/// Guards against a key that is routed to another shard than the range that is granted for it.
#[gtest]
fn number_keys_fall_into_the_range_of_their_shard() {
    for shard_count in [1u32, 64, 128, 65_536] {
        for key in [0u16, 1, 511, 512, 40_000, u16::MAX] {
            let shard = masticdeal_ownership::ids::shard_of(
                numeric_key_hash(key, shard_count),
                shard_count,
            );
            let (first, last) = shard_key_range(shard, shard_count);
            expect_that!(key, all!(ge(first), le(last)), "{shard_count} shards");
        }
    }
    expect_that!(
        held_range(0, 511, 1).last,
        eq(shard_key_range(ShardId(0), SHARD_COUNT).1)
    );
}

/// Guards against a daemon that restarts, knows of no grant, and lets a shard move while its target
/// still holds it from the earlier process; and against one that waits for its next report to serve it.
#[gtest]
fn new_process_learns_what_its_target_holds() {
    let granted_shards = GrantedShards::default();
    granted_shards.apply_report(
        ms(100),
        &report(1, &[held_range(0, 1_023, 4)]),
        SHARD_COUNT,
        ms(3_060),
    );
    for shard in [0, 1] {
        expect_that!(
            granted_shards.is_released(ms(200), ShardId(shard)),
            eq(false)
        );
        // The epoch rises when the new process takes the shards over.
        expect_that!(
            granted_shards.holds(ms(200), ShardId(shard), Epoch(5)),
            eq(true)
        );
        expect_that!(
            granted_shards.holds(ms(200), ShardId(shard), Epoch(3)),
            eq(false)
        );
        expect_that!(
            granted_shards.is_released(ms(3_160), ShardId(shard)),
            eq(true)
        );
    }
    expect_that!(granted_shards.is_released(ms(200), ShardId(2)), eq(true));
    grant(&granted_shards, ms(200), &[], ms(3_000));
    granted_shards.apply_report(
        ms(300),
        &report(1, &[held_range(512, 1_023, 4)]),
        SHARD_COUNT,
        ms(3_060),
    );
    expect_that!(granted_shards.is_released(ms(300), ShardId(0)), eq(true));
    expect_that!(granted_shards.is_released(ms(300), ShardId(1)), eq(false));
}

/// Guards against a request that waits for a grant and misses the report that brings it, because the report
/// comes between its look at the granted_shards and its wait.
#[gtest]
#[tokio::test]
async fn a_change_between_look_and_wait_is_not_missed() {
    let granted_shards = GrantedShards::default();
    let changed = granted_shards.changed();
    grant(&granted_shards, ms(0), &[(0, 4)], ms(3_000));
    let waited = tokio::time::timeout(ms(1_000), changed).await;
    expect_that!(waited.is_ok(), eq(true));
}

/// Guards against keys that are granted to nobody because the handovers of many arriving shards fill the
/// answer: the handovers are left out then, and not the keys.
#[gtest]
fn shards_go_before_handovers_when_an_answer_is_full() {
    let granted_shards = GrantedShards::default();
    let shards: Vec<_> = (0..128).map(|s| (s, 7)).collect();
    for &(shard, epoch) in &shards {
        granted_shards.store_handover(ShardId(shard), Epoch(epoch), "0123456789abcdef".into());
    }
    let given = grant(&granted_shards, ms(0), &shards, ms(3_000));
    expect_that!(given.ranges.len(), eq(1));
    expect_that!(
        granted_shards.holds(ms(100), ShardId(127), Epoch(7)),
        eq(true)
    );
    let few = grant(&granted_shards, ms(200), &shards[..50], ms(3_000));
    expect_that!(few.ranges.len(), eq(50));
    expect_that!(few.ranges[0].handover, eq("0123456789abcdef"));
}
