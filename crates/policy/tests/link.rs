//! Tests of the link model, and of the queue at a VM with a slow link.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_policy::classifier::{CostClass, ExpectedTime};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::link::Link;
use masticdeal_policy::queue::{Order, Permit, Queue, RequestInfo, Settings};

/// Rate of a link of 13 Mbit/s, in bytes per millisecond.
const LINK_BYTES_PER_MS: f64 = 1_625.0;

/// Response sizes of a download and of a call, in bytes.
const DOWNLOAD_BYTES: f64 = 90_000.0;
const CALL_BYTES: f64 = 600.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Number of requests of each kind, and of those with a response in time: within 250 ms for a call
/// (its deadline) and within 600 ms for a download (its objective).
#[derive(Debug, Default)]
struct Results {
    calls: u32,
    calls_in_time: u32,
    downloads: u32,
    downloads_in_time: u32,
}

/// A response in transmission.
struct Transmission {
    is_call: bool,
    arrival_ms: u64,
    remaining_bytes: f64,
}

fn request_info(is_call: bool, now_ms: u64) -> RequestInfo {
    let (service_ms, due, deadline) = if is_call {
        (22, 100, 250)
    } else {
        (61, 600, 4_000)
    };
    RequestInfo {
        cost: CostClass::Short,
        shape: None,
        expected: Some(ExpectedTime {
            mean: ms(service_ms),
            upper: ms(service_ms),
        }),
        deadline: ms(now_ms + deadline),
        due: Some(ms(now_ms + due)),
        priority: if is_call { 1 } else { 2 },
        bytes: if is_call { CALL_BYTES } else { DOWNLOAD_BYTES },
    }
}

/// Simulates 20 s at six slots, with two calls every 17 ms and a download every 40 ms.
///
/// The downloads need 1.4 times the capacity of the link and a quarter of the slots. The link
/// transmits one response after the other.
fn simulate(link_bytes_per_s: f64) -> Results {
    let settings = Settings {
        long_share: None,
        order: Order::EarliestDueFirst,
        link_bytes_per_s,
        ..Settings::default()
    };
    let mut queue: Queue<usize> = Queue::new(
        settings,
        ConcurrencyLimit::new(limit::Settings::default(), 6),
    );
    let mut results = Results::default();
    let mut requests: Vec<(bool, u64)> = Vec::new();
    let mut running: Vec<(u64, usize, Permit)> = Vec::new();
    let mut link: VecDeque<Transmission> = VecDeque::new();
    for now_ms in 0..20_000u64 {
        let now = ms(now_ms);
        transmit(&mut link, now_ms, &mut results);
        let (done, remaining): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now_ms);
        running = remaining;
        for (_, item, permit) in done {
            let (is_call, arrival_ms) = requests[item];
            let bytes = if is_call { CALL_BYTES } else { DOWNLOAD_BYTES };
            queue.finish_with_size(now, permit, Some(ms(22)), Some(bytes as u64));
            link.push_back(Transmission {
                is_call,
                arrival_ms,
                remaining_bytes: bytes,
            });
        }
        let calls = if now_ms % 17 == 0 { 2 } else { 0 };
        for is_call in std::iter::repeat_n(true, calls).chain((now_ms % 40 == 0).then_some(false)) {
            results.calls += u32::from(is_call);
            results.downloads += u32::from(!is_call);
            requests.push((is_call, now_ms));
            let _ = queue.push(now, request_info(is_call, now_ms), requests.len() - 1);
        }
        queue.take_refused(now);
        while let Some((item, permit)) = queue.pop(now) {
            let service_ms = if requests[item].0 { 22 } else { 61 };
            running.push((now_ms + service_ms, item, permit));
        }
    }
    results
}

/// Transmits for one millisecond.
fn transmit(link: &mut VecDeque<Transmission>, now_ms: u64, results: &mut Results) {
    let mut budget = LINK_BYTES_PER_MS;
    while let Some(first) = link.front_mut() {
        let sent_bytes = first.remaining_bytes.min(budget);
        first.remaining_bytes -= sent_bytes;
        budget -= sent_bytes;
        if first.remaining_bytes > 0.0 {
            return;
        }
        let response_ms = now_ms - first.arrival_ms;
        results.calls_in_time += u32::from(first.is_call && response_ms <= 250);
        results.downloads_in_time += u32::from(!first.is_call && response_ms <= 600);
        link.pop_front();
    }
}

/// Guards against calls that fail because their responses wait behind downloads on the link while
/// the target has free slots. Also guards against admitting so many downloads that all are late.
#[gtest]
fn calls_are_in_time_beside_downloads_on_a_slow_link() {
    let results = simulate(LINK_BYTES_PER_MS * 1_000.0);
    expect_that!(
        results.calls_in_time * 100,
        ge(results.calls * 97),
        "{results:?}"
    );
    // Four fifths of the link rate suffice for 289 of the 500 downloads.
    expect_that!(results.downloads_in_time, ge(260), "{results:?}");
}

/// Guards against a modelled backlog that ignores actual response sizes. Bulk requests would then
/// wait too long after responses smaller than expected, and not long enough after larger ones. Also
/// guards against bulk requests that wait on an unlimited link.
#[gtest]
fn backlog_follows_actual_response_sizes() {
    struct Case {
        bytes: f64,
        has_room_at_ms: u64,
    }
    // Four fifths of the 1,250 bytes/ms are used, so 100,000 bytes take 100 ms. A bulk request may
    // start when the backlog takes at most another 20 ms.
    for Case {
        bytes,
        has_room_at_ms,
    } in [
        Case {
            bytes: 100_000.0,
            has_room_at_ms: 80,
        },
        Case {
            bytes: 50_000.0,
            has_room_at_ms: 30,
        },
        Case {
            bytes: 200_000.0,
            has_room_at_ms: 180,
        },
    ] {
        let mut link = Link::new(1_250_000.0);
        link.add_response(ms(0), 100_000.0);
        expect_that!(link.has_room(ms(79)), eq(false));
        link.correct_response(100_000.0, bytes);
        expect_that!(link.room_at(), eq(ms(has_room_at_ms)), "{bytes} bytes");
    }
    let unlimited = Link::default();
    expect_that!(unlimited.is_bulk(1e9), eq(false));
}
