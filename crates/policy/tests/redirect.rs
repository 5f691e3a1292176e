//! Cases of requests that nobody ran.

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_policy::redirect::{NextStep, NotRunCause, Progress, Settings};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Plays one request whose every attempt meets the same obstacle at once. Returns the attempts, the
/// time of the refusal and its advice.
fn play(
    cause: NotRunCause,
    latest: Duration,
    advice: Option<Duration>,
) -> (u32, Duration, Duration) {
    let settings = Settings::default();
    let mut progress = Progress::default();
    let (mut now, mut attempts) = (Duration::ZERO, 1);
    loop {
        match progress.next_step(now, cause, latest, advice, &settings, 1.0) {
            NextStep::OtherTarget => {}
            NextStep::Wait(wait) => now += wait,
            NextStep::Refuse(after) => return (attempts, now, after),
        }
        attempts += 1;
    }
}

/// Guards against the storm after a loss: each request tried every target again and again, until no
/// daemon had the processor time to join.
#[gtest]
fn each_obstacle_costs_a_bounded_number_of_attempts() {
    struct Case {
        cause: NotRunCause,
        latest: Duration,
        attempts: u32,
        refused_by: Duration,
    }
    let case = |cause, latest, attempts, refused_by| Case {
        cause,
        latest,
        attempts,
        refused_by,
    };
    let cases = [
        case(NotRunCause::Gone, ms(60_000), 3, ms(0)),
        case(NotRunCause::Busy, ms(60_000), 2, ms(0)),
        case(NotRunCause::Moving, ms(60_000), 12, ms(1_200)),
        case(NotRunCause::Moving, ms(300), 8, ms(300)),
        // There is no time for a takeover, so the caller learns it soon.
        case(NotRunCause::Unowned, ms(900), 6, ms(150)),
        case(NotRunCause::Unowned, ms(60_000), 11, ms(1_000)),
        case(NotRunCause::Gone, ms(0), 1, ms(0)),
    ];
    for c in cases {
        let (attempts, at, _) = play(c.cause, c.latest, None);
        expect_that!(attempts, le(c.attempts), "{:?}", c.cause);
        expect_that!(at, le(c.refused_by), "{:?}", c.cause);
    }
}

/// Guards against callers that all come back at the same moment, or earlier than advised by half.
#[gtest]
fn advice_is_spread_over_its_second_half() {
    let settings = Settings::default();
    for (random, least, most) in [(0.0, 250, 250), (1.0, 500, 500), (0.5, 370, 380)] {
        let next = Progress::default().next_step(
            ms(10),
            NotRunCause::Busy,
            ms(10),
            Some(ms(500)),
            &settings,
            random,
        );
        let NextStep::Refuse(after) = next else {
            panic!("{next:?}")
        };
        expect_that!(after, ge(ms(least)), "{random}");
        expect_that!(after, le(ms(most)), "{random}");
    }
}
