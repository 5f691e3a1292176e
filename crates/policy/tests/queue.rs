//! Tests of the owner's queue and of the concurrency limit.

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_policy::Verdict;
use masticdeal_policy::classifier::{
    Classifier, CostClass, ExpectedTime, Request, Settings as ClassSettings,
};
use masticdeal_policy::limit::{self, ConcurrencyLimit};
use masticdeal_policy::queue::{Cancelled, Permit, Queue, RefusalReason, RequestInfo, Settings};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn queue(settings: Settings, slots: usize) -> Queue<u32> {
    Queue::new(
        settings,
        ConcurrencyLimit::new(limit::Settings::default(), slots),
    )
}

fn request_info(cost: CostClass, mean: Duration, deadline: Duration) -> RequestInfo {
    RequestInfo {
        cost,
        shape: None,
        expected: Some(ExpectedTime { mean, upper: mean }),
        deadline,
        due: None,
        priority: 0,
        bytes: 0.0,
    }
}

fn start_all(queue: &mut Queue<u32>, now: Duration) -> Vec<(u32, Permit)> {
    std::iter::from_fn(|| queue.pop(now)).collect()
}

/// Guards against rounding the share of long requests to no slots or, if there are several slots,
/// to all of them.
#[gtest]
fn long_quota_leaves_a_slot_to_each_class_if_there_are_several() {
    struct Case {
        share: f64,
        slots: usize,
        quota: usize,
    }
    let case = |share, slots, quota| Case {
        share,
        slots,
        quota,
    };
    let cases = [
        case(0.5, 6, 3),
        case(0.5, 9, 4),
        case(0.8, 6, 4),
        case(0.8, 9, 7),
        case(0.01, 6, 1),
        case(1.0, 6, 5),
        case(0.5, 2, 1),
        case(0.5, 1, 1),
        case(0.5, 0, 0),
    ];
    for Case {
        share,
        slots,
        quota,
    } in cases
    {
        let settings = Settings {
            long_share: Some(share),
            ..Settings::default()
        };
        expect_that!(settings.long_quota(slots), eq(quota), "{share} of {slots}");
    }
}

/// Guards against admitting requests that cannot meet their deadline, or that would wait for more
/// than `max_wait_share` of the time to it. Also guards against refusing other requests.
#[gtest]
fn admission_depends_on_deadline_and_expected_wait() {
    // The only slot is busy for 100 ms. A request of 50 ms can meet a deadline of 400 ms, but not
    // one of 140 ms. It could meet a deadline of 180 ms, but would wait for more than half of that.
    struct Case {
        deadline: Duration,
        admitted: bool,
    }
    let cases = [
        (ms(400), true),
        (ms(140), false),
        (ms(180), false),
        (ms(0), false),
    ];
    for Case { deadline, admitted } in cases.map(|(deadline, admitted)| Case { deadline, admitted })
    {
        let settings = Settings {
            max_wait_share: 0.5,
            ..Settings::default()
        };
        let mut queue = queue(settings, 1);
        let now = ms(1000);
        let busy = request_info(CostClass::Short, ms(100), now + ms(1000));
        queue.push(now, busy, 0).unwrap();
        let _running = start_all(&mut queue, now);
        let pushed = queue.push(
            now,
            request_info(CostClass::Short, ms(50), now + deadline),
            1,
        );
        expect_that!(pushed.is_ok(), eq(admitted), "{deadline:?}");
        if let Err(refused) = pushed {
            expect_that!(refused.refusal.verdict(), eq(Verdict::NotRun));
            expect_that!(refused.refusal.retry_after, ge(ms(10)));
        }
    }
}

/// Guards against advising a time after which the request is refused again although no other
/// request arrived.
#[gtest]
fn retry_after_suffices_for_admission() {
    let mut queue = queue(Settings::default(), 2);
    let now = ms(1000);
    let request = |now| request_info(CostClass::Short, ms(100), now + ms(500));
    let refused = loop {
        match queue.push(now, request(now), 0) {
            Ok(_) => {}
            Err(refused) => break refused,
        }
    };
    expect_that!(
        refused.refusal.reason,
        eq(RefusalReason::DeadlineUnreachable)
    );
    let later = now + refused.refusal.retry_after;
    let mut now = now;
    let mut running = start_all(&mut queue, now);
    while now + ms(100) <= later {
        now += ms(100);
        for (_, permit) in running.drain(..) {
            queue.finish(now, permit, Some(ms(100)));
        }
        running = start_all(&mut queue, now);
    }
    expect_that!(queue.push(later, request(later), 1).is_ok(), eq(true));
}

/// Guards against refusing every request of a shape because its expected time exceeds the deadline.
/// A request must run to correct the estimate.
#[gtest]
fn idle_queue_admits_a_request_despite_its_expected_time() {
    let mut queue = queue(Settings::default(), 6);
    let slow = request_info(CostClass::Short, ms(5000), ms(500));
    expect_that!(queue.push(ms(0), slow, 0).is_ok(), eq(true));
    let started = start_all(&mut queue, ms(100));
    expect_that!(started.len(), eq(1));
    let second = queue.push(ms(100), slow, 1).map_err(|r| r.refusal.reason);
    expect_that!(second, err(eq(RefusalReason::DeadlineUnreachable)));
}

/// Guards against requests that stay in the queue after their deadline, or are returned twice.
#[gtest]
fn expired_entries_are_returned_as_not_run() {
    let settings = Settings {
        refuse_unreachable: false,
        ..Settings::default()
    };
    let mut queue = queue(settings, 1);
    for item in 0..3 {
        let deadline = ms(100 + 100 * u64::from(item));
        queue
            .push(
                ms(0),
                request_info(CostClass::Short, ms(10), deadline),
                item,
            )
            .unwrap();
    }
    let _running = start_all(&mut queue, ms(0));
    let expired: Vec<u32> = queue.take_refused(ms(250)).iter().map(|r| r.item).collect();
    expect_that!(expired, elements_are![eq(&1)]);
    let expired = queue.take_refused(ms(301));
    expect_that!(expired.len(), eq(1));
    expect_that!(
        expired[0].refusal.reason,
        eq(RefusalReason::DeadlineExceeded)
    );
    expect_that!(queue.take_refused(ms(400)).len(), eq(0));
}

/// Guards against a queue full of long requests that refuses short ones, and vice versa.
#[gtest]
fn full_queue_reserves_a_place_for_each_class() {
    for (first, other) in [
        (CostClass::Short, CostClass::Long),
        (CostClass::Long, CostClass::Short),
    ] {
        let settings = Settings {
            capacity: 10,
            refuse_unreachable: false,
            ..Settings::default()
        };
        let mut queue = queue(settings, 0);
        let request = |cost| request_info(cost, ms(1), ms(60_000));
        let refused = (0..20).filter(|i| queue.push(ms(0), request(first), *i).is_err());
        expect_that!(refused.count(), gt(0));
        expect_that!(queue.push(ms(0), request(other), 99).is_ok(), eq(true));
    }
}

/// Guards against a drain that admits new requests, starts waiting ones after its time limit, or
/// leaves them in the queue.
#[gtest]
fn drain_starts_waiting_requests_only_until_its_time_limit() {
    let mut queue = queue(Settings::default(), 1);
    for item in 0..3 {
        queue
            .push(
                ms(0),
                request_info(CostClass::Short, ms(10), ms(60_000)),
                item,
            )
            .unwrap();
    }
    let (_, permit) = queue.pop(ms(0)).unwrap();
    queue.drain(ms(1800));
    let refused = queue.push(
        ms(10),
        request_info(CostClass::Short, ms(10), ms(60_000)),
        9,
    );
    expect_that!(
        refused.unwrap_err().refusal.reason,
        eq(RefusalReason::Draining)
    );
    queue.finish(ms(1000), permit, Some(ms(1000)));
    let (_, permit) = queue.pop(ms(1000)).unwrap();
    queue.finish(ms(1800), permit, Some(ms(800)));
    expect_that!(queue.pop(ms(1800)).is_none(), eq(true));
    let drained = queue.take_refused(ms(1800));
    expect_that!(drained.len(), eq(1));
    expect_that!(drained[0].refusal.reason, eq(RefusalReason::Draining));
    expect_that!(queue.is_idle(), eq(true));
}

/// Guards against requests of an unknown shape that run long but stay classified as short, and so
/// take all slots.
#[gtest]
fn running_request_above_the_threshold_counts_as_long() {
    let mut classifier = Classifier::new(ClassSettings::default());
    let req = |path| Request {
        service: "library",
        method: "GET",
        path,
        key_segment: None,
        is_route: false,
    };
    for _ in 0..20 {
        let class = classifier.classify(ms(0), req("/list"));
        classifier.record(ms(0), class.shape, ms(10));
    }
    let mut queue = queue(Settings::default(), 6);
    let push = |queue: &mut Queue<u32>, classifier: &mut Classifier, now, item| {
        let class = classifier.classify(now, req("/slides/1.pptx"));
        queue
            .push(now, RequestInfo::new(class, now + ms(10_000)), item)
            .unwrap();
        class.cost
    };
    expect_that!(
        push(&mut queue, &mut classifier, ms(0), 0),
        eq(CostClass::Short)
    );
    let _first = start_all(&mut queue, ms(0));
    // The queue gets the threshold only when it reclassifies.
    expect_that!(queue.next_wakeup(ms(0)).is_none(), eq(true));
    queue.reclassify(ms(50), &mut classifier);
    expect_that!(queue.long_running(), eq(0));
    // The threshold is ten times the 10 ms of `/list`.
    expect_that!(queue.next_wakeup(ms(50)), some(eq(ms(100))));
    queue.reclassify(ms(101), &mut classifier);
    expect_that!(queue.long_running(), eq(1));
    expect_that!(
        push(&mut queue, &mut classifier, ms(101), 1),
        eq(CostClass::Long)
    );
}

/// Guards against requests that are found to be long while they wait, but stay classified as short
/// and then take all slots.
#[gtest]
fn waiting_requests_are_reclassified_with_their_shape() {
    let mut classifier = Classifier::new(ClassSettings::default());
    let req = |path| Request {
        service: "library",
        method: "GET",
        path,
        key_segment: None,
        is_route: false,
    };
    for _ in 0..20 {
        let class = classifier.classify(ms(0), req("/list"));
        classifier.record(ms(0), class.shape, ms(10));
    }
    let settings = Settings {
        long_share: Some(0.5),
        ..Settings::default()
    };
    let mut queue = queue(settings, 2);
    for item in 0..5 {
        let class = classifier.classify(ms(0), req("/slides/1.pptx"));
        queue
            .push(ms(0), RequestInfo::new(class, ms(60_000)), item)
            .unwrap();
    }
    let mut running = start_all(&mut queue, ms(0));
    expect_that!(running.len(), eq(2));
    queue.reclassify(ms(200), &mut classifier);
    queue.finish(ms(200), running.remove(0).1, None);
    // One long request is still running, which uses up the quota of one of the two slots.
    expect_that!(queue.pop(ms(200)).is_none(), eq(true));
    let class = classifier.classify(ms(200), req("/list"));
    queue
        .push(ms(200), RequestInfo::new(class, ms(60_000)), 9)
        .unwrap();
    expect_that!(queue.pop(ms(200)).map(|(item, _)| item), some(eq(9)));
}

/// Guards against a cancelled request that stays in the queue, or whose state is reported wrongly.
#[gtest]
fn cancel_returns_the_state_of_the_request() {
    let mut queue = queue(Settings::default(), 1);
    let request = request_info(CostClass::Short, ms(10), ms(60_000));
    let first = queue.push(ms(0), request, 0).unwrap();
    let second = queue.push(ms(0), request, 1).unwrap();
    let (_, permit) = queue.pop(ms(0)).unwrap();
    expect_that!(queue.cancel(first), eq(&Cancelled::Running));
    expect_that!(queue.cancel(second), eq(&Cancelled::Waiting(1)));
    expect_that!(queue.cancel(second), eq(&Cancelled::Unknown));
    queue.finish(ms(5), permit, None);
    expect_that!(queue.cancel(first), eq(&Cancelled::Unknown));
}

/// Guards against sending the full load to a cold target, and against a limit that does not
/// recover.
#[gtest]
fn limit_ramps_up_decreases_and_recovers() {
    let mut limit = ConcurrencyLimit::new(limit::Settings::default(), 9);
    expect_that!(limit.slots(ms(0)), eq(9));
    limit.start_cold(ms(1000));
    expect_that!(limit.slots(ms(1000)), eq(1));
    expect_that!(limit.slots(ms(2000)), eq(3));
    expect_that!(limit.slots(ms(4000)), eq(9));
    limit.reduce(ms(5000));
    expect_that!(limit.slots(ms(5000)), eq(6));
    limit.reduce(ms(5050));
    expect_that!(
        limit.slots(ms(5050)),
        eq(6),
        "one burst of refusals counts once"
    );
    limit.reduce(ms(5200));
    expect_that!(limit.slots(ms(5200)), eq(4));
    expect_that!(limit.slots(ms(10_200)), eq(9));
    for i in 0..50 {
        limit.reduce(ms(20_000 + 100 * i));
    }
    expect_that!(limit.slots(ms(25_000)), ge(1));
    limit.set_slots(0);
    expect_that!(limit.slots(ms(25_000)), eq(0));
}

/// Guards against long requests that hold their whole share when a load peak of short requests
/// begins, and against a peak that leaves no slots to long requests.
#[gtest]
fn long_limit_follows_the_demand_of_short_requests() {
    struct Case {
        requests: u32,
        long_limit: usize,
    }
    let settings = Settings {
        refuse_unreachable: false,
        ..Settings::default()
    };
    // Requests of 10 ms arrive over 3 s at 9 slots, of which long requests may hold 7. With 900
    // requests, the smoothed demand is 2.9 busy slots. With the margin of half its square root, it
    // needs 4 slots.
    let cases = [(0, 7), (50, 7), (900, 5), (5000, 2)];
    for Case {
        requests,
        long_limit,
    } in cases.map(|(requests, long_limit)| Case {
        requests,
        long_limit,
    }) {
        let mut queue = queue(settings.clone(), 9);
        for item in 0..requests {
            let now = ms(5000) + ms(3000) * item / requests;
            let _ = queue.push(
                now,
                request_info(CostClass::Short, ms(10), now + ms(500)),
                item,
            );
            while let Some((_, permit)) = queue.pop(now) {
                queue.finish(now, permit, Some(ms(10)));
            }
        }
        expect_that!(queue.long_limit(ms(8000)), eq(long_limit), "{requests}");
        expect_that!(queue.long_limit(ms(30_000)), eq(7), "after the peak");
    }
}
