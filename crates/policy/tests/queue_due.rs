//! The owner's queue in the order of ranks and objectives: cases, and loads with what callers get.

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_policy::classifier::{CostClass, ExpectedTime};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::queue::{Order, Permit, Queue, RequestInfo, Settings};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn due_request(mean: u64, due: u64, deadline: u64) -> RequestInfo {
    let mean = ms(mean);
    RequestInfo {
        cost: CostClass::Short,
        shape: None,
        expected: Some(ExpectedTime { mean, upper: mean }),
        deadline: ms(deadline),
        due: Some(ms(due)),
        priority: 0,
        bytes: 0.0,
    }
}

fn due_queue(slots: usize) -> Queue<u32> {
    let settings = Settings {
        long_share: None,
        order: Order::EarliestDueFirst,
        ..Settings::default()
    };
    Queue::new(
        settings,
        ConcurrencyLimit::new(limit::Settings::default(), slots),
    )
}

fn start_all(queue: &mut Queue<u32>, now: Duration) -> Vec<(u32, Permit)> {
    std::iter::from_fn(|| queue.pop(now)).collect()
}

/// Guards against calls that wait behind new work: the work that made them is then thrown away.
#[gtest]
fn what_is_due_first_starts_first() {
    let mut queue = due_queue(1);
    queue.push(ms(0), due_request(100, 400, 2_500), 0).unwrap();
    let (_, running) = queue.pop(ms(0)).unwrap();
    queue.push(ms(10), due_request(100, 410, 2_500), 1).unwrap();
    queue.push(ms(20), due_request(20, 150, 250), 2).unwrap();
    queue.finish(ms(100), running, Some(ms(100)));
    let order: Vec<u32> = start_all(&mut queue, ms(100)).iter().map(|s| s.0).collect();
    expect_that!(order, elements_are![eq(&2)]);
}

/// Guards against a crest at which everything is served late: what cannot be in time is refused at
/// once, with the time in which there is room again, and what waits is not held up by it.
#[gtest]
fn crest_is_served_in_time_or_refused_at_once() {
    // One request each 5 ms for 2 s, 25 ms each on 2 slots: the load is 2.5 times the capacity.
    let mut queue = due_queue(2);
    let (mut in_time, mut late, mut refused, mut held) = (0, 0, 0, Duration::ZERO);
    let mut running: Vec<(Duration, u32, Permit)> = Vec::new();
    for at in 0..2_000u64 {
        let now = ms(at);
        let (done, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
        running = left;
        for (_, arrived, permit) in done {
            queue.finish(now, permit, Some(ms(25)));
            if at - u64::from(arrived) <= 200 {
                in_time += 1;
            } else {
                late += 1;
            }
        }
        if at % 5 == 0 {
            match queue.push(now, due_request(25, at + 200, at + 2_000), at as u32) {
                Ok(_) => {}
                Err(e) => {
                    refused += 1;
                    expect_that!(e.refusal.retry_after, ge(ms(50)));
                }
            }
        }
        for e in queue.take_refused(now) {
            held = held.max(now - ms(e.item.into()));
            refused += 1;
        }
        for (arrived, permit) in start_all(&mut queue, now) {
            running.push((now + ms(25), arrived, permit));
        }
    }
    // The capacity is 160 requests; one wave at each end is lost.
    expect_that!(in_time, ge(150), "late {late}, refused {refused}");
    expect_that!(late, le(5));
    expect_that!(held, le(ms(260)));
}

/// Guards against a short burst at a calm target of which a part is sent away that would have been answered
/// within a tenth of its objective.
#[gtest]
fn what_misses_its_objective_by_little_is_taken() {
    for (due, taken) in [(210, true), (190, true), (170, false)] {
        let mut queue = due_queue(1);
        queue.push(ms(0), due_request(100, 400, 2_500), 0).unwrap();
        let _running = queue.pop(ms(0)).unwrap();
        let pushed = queue.push(ms(0), due_request(100, due, 2_500), 1);
        expect_that!(
            pushed.is_ok(),
            eq(taken),
            "due in {due} ms, ready in 200 ms"
        );
    }
}

/// Guards against refusing what misses its objective while the target is idle: a late answer is
/// worth more than none.
#[gtest]
fn late_work_runs_while_a_slot_is_free() {
    let mut queue = due_queue(1);
    expect_that!(
        queue.push(ms(0), due_request(300, 100, 1_000), 0).is_ok(),
        eq(true)
    );
    let _running = queue.pop(ms(0)).unwrap();
    let refused = queue.push(ms(1), due_request(300, 101, 1_000), 1);
    expect_that!(refused.is_err(), eq(true));
}

/// What callers get of one service at which urgent calls meet downloads.
#[derive(Debug, Default)]
struct Mixed {
    calls: u32,
    calls_in_time: u32,
    downloads: u32,
    downloads_served: u32,
}

/// Plays 10 s: calls of 22 ms due in 100 ms and useless after 250 ms, and downloads of 61 ms due in 600 ms,
/// at six slots. Each kind by itself takes 0.65 of them.
fn play_mixed(call_priority: u32) -> Mixed {
    let mut queue = due_queue(6);
    let mut seen = Mixed::default();
    let mut running: Vec<(Duration, (bool, u64), Permit)> = Vec::new();
    let mut arrivals = Vec::new();
    for at in 0..10_000u64 {
        let now = ms(at);
        let (done, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
        running = left;
        for (_, (call, arrived), permit) in done {
            queue.finish(now, permit, Some(ms(if call { 22 } else { 61 })));
            seen.calls_in_time += u32::from(call && at - arrived <= 250);
            seen.downloads_served += u32::from(!call);
        }
        // Calls come two at once, every 11 ms; downloads one each 16 ms.
        let calls = if at % 11 == 0 { 2 } else { 0 };
        let kinds = std::iter::repeat_n(true, calls).chain((at % 16 == 0).then_some(false));
        for call in kinds {
            let request_info = match call {
                true => RequestInfo {
                    priority: call_priority,
                    ..due_request(22, at + 100, at + 250)
                },
                false => RequestInfo {
                    priority: 2,
                    ..due_request(61, at + 600, at + 4_000)
                },
            };
            seen.calls += u32::from(call);
            seen.downloads += u32::from(!call);
            arrivals.push((call, at));
            let _ = queue.push(now, request_info, arrivals.len() as u32 - 1);
        }
        queue.take_refused(now);
        for (item, permit) in start_all(&mut queue, now) {
            let (call, arrived) = arrivals[item as usize];
            let work = ms(if call { 22 } else { 61 });
            running.push((now + work, (call, arrived), permit));
        }
    }
    seen
}

/// Guards against calls that fail behind downloads of a crowded service: each failed call throws the work
/// away that made it, and what may run only once is lost with it. Downloads are not starved by it.
#[gtest]
fn urgent_calls_go_before_downloads_at_a_crest() {
    let ranked = play_mixed(1);
    expect_that!(
        ranked.calls_in_time * 100,
        ge(ranked.calls * 97),
        "{ranked:?}"
    );
    expect_that!(
        ranked.downloads_served * 100,
        ge(ranked.downloads * 45),
        "{ranked:?}"
    );
}

/// Guards against less urgent work that never starts while urgent work keeps coming.
#[gtest]
fn less_urgent_work_is_passed_over_a_bounded_number_of_times() {
    let mut queue = due_queue(1);
    let urgent = |at: u64| RequestInfo {
        priority: 1,
        ..due_request(10, at + 1_000, at + 2_000)
    };
    let other = RequestInfo {
        priority: 2,
        ..due_request(10, 1_000, 60_000)
    };
    queue.push(ms(0), other, 999).unwrap();
    queue.push(ms(0), urgent(0), 0).unwrap();
    let mut started = Vec::new();
    for at in 1..20u64 {
        let (item, permit) = queue.pop(ms(at * 10)).unwrap();
        started.push(item);
        queue.push(ms(at * 10), urgent(at * 10), at as u32).unwrap();
        queue.finish(ms(at * 10 + 10), permit, Some(ms(10)));
    }
    let turn = started.iter().position(|item| *item == 999);
    expect_that!(turn, some(eq(8)));
}
