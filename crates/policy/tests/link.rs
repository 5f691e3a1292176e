//! A service of calls and downloads on a VM with a slow link: what callers get.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use masticdeal_policy::classifier::{CostClass, ExpectedTime};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::link::Link;
use masticdeal_policy::queue::{Order, Permit, Queue, RequestInfo, Settings};

/// Bytes that the link of 13 Mbit/s passes in a millisecond.
const LINK_BYTES_PER_MS: f64 = 1_625.0;

/// Size of a download and of the answer to a call, in bytes.
const DOWNLOAD_BYTES: f64 = 90_000.0;
const CALL_BYTES: f64 = 600.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What callers got.
#[derive(Debug, Default)]
struct Seen {
    calls: u32,
    calls_in_time: u32,
    downloads: u32,
    downloads_in_time: u32,
}

/// One answer on the link.
struct Sent {
    call: bool,
    arrived: u64,
    left: f64,
}

fn request_info(call: bool, at: u64) -> RequestInfo {
    let (work, due, deadline) = if call {
        (22, 100, 250)
    } else {
        (61, 600, 4_000)
    };
    RequestInfo {
        cost: CostClass::Short,
        shape: None,
        expected: Some(ExpectedTime {
            mean: ms(work),
            upper: ms(work),
        }),
        deadline: ms(at + deadline),
        due: Some(ms(at + due)),
        priority: if call { 1 } else { 2 },
        bytes: if call { CALL_BYTES } else { DOWNLOAD_BYTES },
    }
}

/// Plays 20 s at six slots: two calls every 17 ms, and a download every 40 ms, which is 1.4 times what the
/// link carries and a quarter of what the slots do. Answers pass the link one after the other.
fn play(link_bytes_per_s: f64) -> Seen {
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
    let mut seen = Seen::default();
    let mut requests: Vec<(bool, u64)> = Vec::new();
    let mut running: Vec<(u64, usize, Permit)> = Vec::new();
    let mut link: VecDeque<Sent> = VecDeque::new();
    for at in 0..20_000u64 {
        let now = ms(at);
        pass(&mut link, at, &mut seen);
        let (done, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= at);
        running = left;
        for (_, item, permit) in done {
            let (call, arrived) = requests[item];
            let bytes = if call { CALL_BYTES } else { DOWNLOAD_BYTES };
            queue.finish_with_size(now, permit, Some(ms(22)), Some(bytes as u64));
            link.push_back(Sent {
                call,
                arrived,
                left: bytes,
            });
        }
        let calls = if at % 17 == 0 { 2 } else { 0 };
        for call in std::iter::repeat_n(true, calls).chain((at % 40 == 0).then_some(false)) {
            seen.calls += u32::from(call);
            seen.downloads += u32::from(!call);
            requests.push((call, at));
            let _ = queue.push(now, request_info(call, at), requests.len() - 1);
        }
        queue.take_refused(now);
        while let Some((item, permit)) = queue.pop(now) {
            let work = if requests[item].0 { 22 } else { 61 };
            running.push((at + work, item, permit));
        }
    }
    seen
}

/// Lets the link carry what it can in one millisecond.
fn pass(link: &mut VecDeque<Sent>, at: u64, seen: &mut Seen) {
    let mut room = LINK_BYTES_PER_MS;
    while let Some(first) = link.front_mut() {
        let part = first.left.min(room);
        first.left -= part;
        room -= part;
        if first.left > 0.0 {
            return;
        }
        let time = at - first.arrived;
        seen.calls_in_time += u32::from(first.call && time <= 250);
        seen.downloads_in_time += u32::from(!first.call && time <= 600);
        link.pop_front();
    }
}

/// Guards against calls that fail because their answers queue on the link behind downloads, while the
/// target has free slots, and against downloads that all come late because too many are taken.
#[gtest]
fn calls_are_answered_in_time_beside_downloads_on_a_slow_link() {
    let seen = play(LINK_BYTES_PER_MS * 1_000.0);
    expect_that!(seen.calls_in_time * 100, ge(seen.calls * 97), "{seen:?}");
    // Four fifths of the link carry 289 of the 500 downloads.
    expect_that!(seen.downloads_in_time, ge(260), "{seen:?}");
}

/// Guards against a link that stays closed after answers that were smaller than expected, or opens while
/// larger ones are on it.
#[gtest]
fn the_link_follows_the_real_sizes() {
    struct Case {
        bytes: f64,
        opens_ms: u64,
    }
    // A rate of 1,250 bytes/ms, of which four fifths are used; 100,000 bytes take 100 ms.
    for Case { bytes, opens_ms } in [
        Case {
            bytes: 100_000.0,
            opens_ms: 80,
        },
        Case {
            bytes: 50_000.0,
            opens_ms: 30,
        },
        Case {
            bytes: 200_000.0,
            opens_ms: 180,
        },
    ] {
        let mut link = Link::new(1_250_000.0);
        link.start(ms(0), 100_000.0);
        expect_that!(link.has_room(ms(79)), eq(false));
        link.finish(100_000.0, bytes);
        expect_that!(link.has_room_at(), eq(ms(opens_ms)), "{bytes} bytes");
    }
    let endless = Link::default();
    expect_that!(endless.is_bulk(1e9), eq(false));
}
