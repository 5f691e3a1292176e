//! Tests of what daemons tell each other about the configuration: differences, and how long ago each
//! knew that it had the newest one.

use std::time::Duration;

use googletest::prelude::*;
use masticdeal_ownership::ids::SessionId;
use masticdeal_ownership::table::{Session, Table};
use masticdeal_wire::text_delta::{TextDelta, digest};
use masticdeald::control::config_freshness::{CheckRole, ConfigFreshness, MAX_CONFIRMATION_AGE};
use masticdeald::control::config_history::ConfigHistory;
use masticdeald::control::watcher::{CONFIG_WATCHERS, is_watcher};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Applies consecutive differences to a text.
fn apply(base: &str, deltas: &[TextDelta]) -> Result<String> {
    let mut text = base.to_owned();
    for delta in deltas {
        text = delta.apply(&text).or_fail()?;
    }
    Ok(text)
}

/// Guards against a peer with an older configuration that gets differences to another text, and
/// against a whole text where a difference is enough.
#[gtest]
fn history_leads_from_any_kept_text_to_the_installed_one() -> Result<()> {
    let text = |version: u32| {
        let routes: String = (0..400).map(|i| format!("{{route {i}}}\n")).collect();
        format!("{routes}version {version}\n")
    };
    let mut history = ConfigHistory::default();
    history.record("", &text(0));
    for version in 1..100 {
        history.record(&text(version - 1), &text(version));
    }
    let whole = TextDelta::new("", &text(99)).len();
    for version in 90..99 {
        let deltas = history.since(digest(&text(version)), &text(99));
        verify_that!(apply(&text(version), &deltas)?, eq(&text(99)))?;
        let size: usize = deltas.iter().map(TextDelta::len).sum();
        verify_that!(size, lt(whole))?;
    }
    for unknown in ["", "another text"] {
        let deltas = history.since(digest(unknown), &text(99));
        verify_that!(apply("", &deltas)?, eq(&text(99)))?;
    }
    verify_that!(history.since(digest(&text(99)), &text(99)).len(), eq(0))
}

/// Guards against a daemon that relies on peers which no longer hear from the store.
#[gtest]
fn confirmation_expires_unless_the_store_or_a_peer_renews_it() {
    let mut freshness = ConfigFreshness::default();
    expect_that!(freshness.age(ms(5_000)), none());
    expect_that!(
        freshness.expires_at(MAX_CONFIRMATION_AGE),
        eq(Duration::ZERO)
    );

    freshness.confirm(ms(4_700));
    expect_that!(freshness.age(ms(5_000)), some(eq(ms(300))));
    let expires_at = freshness.expires_at(MAX_CONFIRMATION_AGE);
    expect_that!(expires_at, eq(ms(4_700) + MAX_CONFIRMATION_AGE));

    // An older confirmation that arrives later changes nothing.
    freshness.confirm(ms(4_200));
    expect_that!(freshness.age(ms(5_100)), some(eq(ms(400))));

    // Time passes while a call to the store waits; only its answer counts, as of its start.
    expect_that!(freshness.age(ms(25_000)), some(eq(ms(20_300))));
    freshness.confirm(ms(26_000));
    expect_that!(freshness.age(ms(26_100)), some(eq(ms(100))));
}

/// Guards against a fleet that asks the store at once, and against a daemon that asks it too late.
#[gtest]
fn daemons_ask_the_store_in_the_order_of_their_roles() {
    let ages = [CheckRole::First, CheckRole::Watcher, CheckRole::Other]
        .map(|role| (role.max_age(0.0), role.max_age(1.0)));
    for ((_, latest), (earliest, _)) in ages.iter().zip(&ages[1..]) {
        expect_that!(latest, le(earliest));
    }
    expect_that!(ages[2].1, eq(MAX_CONFIRMATION_AGE));
}

/// Time from a failed call to the store until the daemon asks it again: the timeout of a call and the
/// longest delay after it.
const RETRY_TIME: Duration = Duration::from_millis(2_200);

/// State of one daemon of a fleet in virtual time.
struct Member {
    role: CheckRole,
    freshness: ConfigFreshness,
    /// Whether the store answers this daemon.
    is_answered: bool,
    revision: u64,
    /// When the daemon may ask the store again after a failed call.
    retry_at: Duration,
    /// Number of calls to the store, without those of the start.
    calls: u32,
}

/// A fleet of which the first daemons watch the configuration.
#[derive(Clone, Copy)]
struct Fleet {
    count: usize,
    watchers: usize,
    /// Every n-th daemon gets no answers of the store; 0 for none.
    ignored_each: usize,
    /// Whether the watchers get none, although their watches wait.
    watchers_ignored: bool,
    /// Whether confirmations are disseminated. Otherwise they spread by renewals alone.
    disseminates: bool,
}

/// What a fleet did in virtual time.
struct Spread {
    /// Times until each daemon has revision 2, in their order.
    times: Vec<Duration>,
    /// Number of daemons without a watch that asked the store.
    stand_ins: usize,
    /// Calls of all daemons that ask for a newer configuration, per second.
    calls_per_s: f64,
}

/// Returns when a change reaches each daemon. Daemons renew their leases at two others each 300 ms.
fn spread(fleet: &Fleet) -> Spread {
    let (start, change_at, end) = (ms(3_000), ms(10_000), ms(20_000));
    let count = fleet.count;
    let mut members: Vec<Member> = (0..count)
        .map(|i| {
            let is_ignored = fleet.ignored_each > 0 && i.is_multiple_of(fleet.ignored_each)
                || fleet.watchers_ignored && i < fleet.watchers;
            Member {
                role: match i {
                    0 => CheckRole::First,
                    i if i < fleet.watchers => CheckRole::Watcher,
                    _ => CheckRole::Other,
                },
                freshness: ConfigFreshness::default(),
                is_answered: !is_ignored,
                revision: 1,
                retry_at: Duration::ZERO,
                calls: 0,
            }
        })
        .collect();
    let mut learned = vec![Duration::MAX; count];
    for step in 0..end.as_millis() as u64 / 10 {
        let now = ms(step * 10);
        let stored_revision = if now >= change_at { 2 } else { 1 };
        for i in 0..count {
            let member = &mut members[i];
            if now < start {
                // All daemons read the configuration when they start.
                member.freshness.confirm(now);
                continue;
            }
            if i < fleet.watchers && member.is_answered {
                member.revision = stored_revision;
            }
            if check(member, i, now, stored_revision) && fleet.disseminates {
                let revision = member.revision;
                let peers = members.iter_mut().filter(|peer| peer.revision == revision);
                peers.for_each(|peer| peer.freshness.confirm(now));
            }
            // Daemon i renews at a time of its own in each interval.
            if step % 30 == (i as u64 * 7) % 30 {
                for lessor in [(i * 5 + 1) % count, (i * 11 + 3) % count] {
                    exchange(&mut members, now, i, lessor);
                }
            }
            if members[i].revision == 2 {
                learned[i] = learned[i].min(now.saturating_sub(change_at));
            }
        }
    }
    learned.sort();
    let calls: u32 = members.iter().map(|m| m.calls).sum();
    let others = members.iter().skip(fleet.watchers);
    Spread {
        times: learned,
        stand_ins: others.filter(|m| m.calls > 0).count(),
        calls_per_s: f64::from(calls) / (end - start).as_secs_f64(),
    }
}

/// Asks the store for a newer configuration if it is time to. Returns whether the store answered.
fn check(member: &mut Member, index: usize, now: Duration, stored_revision: u64) -> bool {
    let seed = index as u128 * 7_919 + now.as_millis() * 104_729;
    let max_age = member.role.max_age((seed % 1_000) as f64 / 1_000.0);
    if now < member.freshness.expires_at(max_age).max(member.retry_at) {
        return false;
    }
    member.calls += 1;
    if member.is_answered {
        member.revision = stored_revision;
        member.freshness.confirm(now);
    } else {
        member.retry_at = now + RETRY_TIME;
    }
    member.is_answered
}

/// Plays one renewal: both sides confirm each other's configuration or pull the newer one.
fn exchange(members: &mut [Member], now: Duration, a: usize, b: usize) {
    for (from, to) in [(a, b), (b, a)] {
        let (age, revision) = (members[from].freshness.age(now), members[from].revision);
        let to = &mut members[to];
        to.revision = to.revision.max(revision);
        if let Some(age) = age.filter(|_| to.revision == revision) {
            to.freshness.confirm(now - age);
        }
    }
}

/// Guards against daemons that learn of a configuration too late at any size of the fleet, also if
/// the store ignores all watchers, and against a store that every daemon asks.
#[gtest]
fn configuration_reaches_fleets_in_time_by_renewals_alone() {
    for (count, watchers) in [
        (17, 12),
        (62, 12),
        (71, 12),
        (196, 20),
        (480, 28),
        (724, 28),
    ] {
        for (ignored_each, watchers_ignored, disseminates) in [
            (0, false, true),
            (3, false, true),
            (0, false, false),
            (3, false, false),
            (0, true, true),
            (3, true, true),
            (3, true, false),
        ] {
            let fleet = Fleet {
                count,
                watchers,
                ignored_each,
                watchers_ignored,
                disseminates,
            };
            let Spread {
                times,
                stand_ins,
                calls_per_s,
            } = spread(&fleet);
            let (median, worst) = (times[count / 2], times[count - 1]);
            println!(
                "{count} daemons, ignored {ignored_each} {watchers_ignored}, disseminates \
                 {disseminates}: median {median:?}, worst {worst:?}, {stand_ins} stand-ins, \
                 {calls_per_s:.2} calls/s"
            );
            expect_that!(worst, le(ms(2_000)), "{count} daemons");
            if !watchers_ignored && disseminates {
                expect_that!(stand_ins, le(count / 10), "{count} daemons");
            }
            if ignored_each == 0 && !watchers_ignored && disseminates {
                expect_that!(calls_per_s, le(2.0), "{count} daemons");
            }
        }
    }
}

/// Guards against a data centre without watchers of its own, and against fleets that all watch.
#[gtest]
fn lowest_sessions_of_each_data_centre_watch_the_configuration() {
    let session = |id: u32| Session {
        id: SessionId(id),
        incarnation: 0,
        vm: format!("vm-{id}"),
        address: ([127, 0, 0, 1], 1).into(),
        region: "r".into(),
        data_centre: format!("dc-{}", id % 5),
        lessors: Vec::new(),
        term: 1,
        target: None,
    };
    let table = Table {
        sessions: (0..196).map(session).collect(),
        ..Table::default()
    };
    let watchers: Vec<u32> = (0..196)
        .filter(|id| is_watcher(&table, SessionId(*id), CONFIG_WATCHERS))
        .collect();
    expect_that!(watchers, eq(&(0..20).collect::<Vec<_>>()));
    expect_that!(
        is_watcher(&table, SessionId(999), CONFIG_WATCHERS),
        eq(false)
    );
}
