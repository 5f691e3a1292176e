//! Measures the duration of the ownership operations by table size and prints CSV.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticdeal_ownership::assignment;
use masticdeal_ownership::change::{Change, Delta, EndCause};
use masticdeal_ownership::ids::{ChangeId, ServiceId, SessionId, ShardId};
use masticdeal_ownership::lease::{
    Core, CoreSettings, Effect, Event, Identity, Outcome, Renewal, TargetReport,
};
use masticdeal_ownership::planner::{self, FleetLoad, PlanSettings, ServiceLoad};
use masticdeal_ownership::table::{self, Session, Table, TargetInfo, TargetState};

fn session(n: u32) -> Session {
    Session {
        id: SessionId(n),
        incarnation: u64::from(n) + 1,
        vm: format!("vm-{n}"),
        address: ([127, 0, (n >> 8) as u8, n as u8], 7001).into(),
        region: format!("region-{}", n % 3),
        data_centre: format!("dc-{}", n % 7),
        lessors: Vec::new(),
        term: 1,
        target: None,
    }
}

fn target() -> TargetInfo {
    TargetInfo {
        service: ServiceId(0),
        slots: 6,
        checks_grants: true,
        state: TargetState::Ready,
        capacity: 0,
        incarnation: 0,
    }
}

fn apply(table: &Table, changes: Vec<Change>) -> Table {
    table.apply(&delta(table, changes)).expect("change applies")
}

fn delta(table: &Table, changes: Vec<Change>) -> Delta {
    Delta {
        to_version: table.version + 1,
        change_id: ChangeId(table.version + 1),
        changes,
    }
}

/// Creates a table in which every session has a target of the one service and two lessors.
fn build_table(sessions: u32, shards: u32) -> Table {
    let declare = Change::DeclareService {
        name: "search".into(),
        shards,
    };
    let mut table = apply(&Table::default(), vec![declare]);
    let joins = (0..sessions).map(|n| Change::Join {
        session: session(n),
    });
    table = apply(&table, joins.collect());
    let mut changes = Vec::new();
    for n in 0..sessions {
        changes.push(Change::SetTarget {
            session: SessionId(n),
            target: Some(target()),
        });
        changes.push(Change::SetLessors {
            session: SessionId(n),
            term: table.sessions[n as usize].term,
            lessors: vec![SessionId((n + 1) % sessions), SessionId((n + 2) % sessions)],
        });
    }
    table = apply(&table, changes);
    let assign = assignment::assign_shards(&table, |_| false, |_| false);
    apply(&table, assign)
}

/// Creates a core that joins the table and owns shard 0, with a valid lease.
fn joined_core(base: &Table) -> Core {
    let me = Identity {
        incarnation: u64::MAX,
        vm: "vm-new".into(),
        address: ([127, 9, 9, 9], 7001).into(),
        region: "region-0".into(),
        data_centre: "dc-0".into(),
        bound_at: Duration::ZERO,
        seed: 1,
    };
    let mut core = Core::new(CoreSettings::default(), me);
    let report = TargetReport {
        service: "search".into(),
        slots: 6,
        checks_grants: true,
        state: TargetState::Ready,
        capacity: 0,
        incarnation: 0,
    };
    core.handle(Duration::ZERO, Event::TargetChanged(Some(report)));
    let table = Some(Arc::new(base.clone()));
    let effects = core.handle(
        Duration::ZERO,
        Event::TableRead {
            read: 1,
            table,
            store_era: 0,
        },
    );
    let swap = effects.into_iter().find_map(|e| match e {
        Effect::Swap { delta, .. } => Some(delta.change_id),
        _ => None,
    });
    let change_id = swap.expect("core joins");
    let outcome = Outcome::Done;
    core.handle(Duration::ZERO, Event::SwapOutcome { change_id, outcome });
    let (current, me) = (core.table().clone(), core.session().expect("joined"));
    let shard = current.services[0].shards[0];
    let changes = vec![
        Change::SetTarget {
            session: me,
            target: Some(target()),
        },
        Change::Move {
            service: ServiceId(0),
            shard: ShardId(0),
            from: shard.owner.expect("owned"),
            epoch: shard.epoch,
            to: me,
        },
    ];
    let move_to_self = delta(&current, changes);
    core.handle(Duration::ZERO, Event::DeltasReceived(vec![move_to_self]));
    core
}

/// Returns the median over 15 batches of the mean time of a call in microseconds.
fn median_time_us(batch: u32, mut call: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..15)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..batch {
                call();
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(batch)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Measures the operations for one size of the table and prints a row.
fn print_row(sessions: u32, shards: u32) {
    let base = build_table(sessions, shards);
    let bytes = table::encode(&base).expect("table encodes");
    let lost = SessionId(sessions / 2);
    let end = Change::End {
        session: lost,
        term: base.session(lost).expect("session").term,
        cause: EndCause::LeaseExpired,
    };
    let ended = apply(&base, vec![end.clone()]);
    let mut changes = vec![end];
    changes.extend(assignment::assign_shards(&ended, |_| false, |_| false));
    let loss = delta(&base, changes);
    let apply = median_time_us(20, || drop(black_box(base.apply(&loss))));
    let decode = median_time_us(20, || drop(black_box(table::decode(&bytes))));
    let encode = median_time_us(20, || drop(black_box(table::encode(&base))));
    let rates = (0..shards)
        .map(|shard| 1.0 / f64::from(shard % 97 + 1))
        .collect();
    let loads = FleetLoad {
        services: vec![ServiceLoad {
            shard_rates: rates,
            hot_keys: Vec::new(),
        }],
        ..FleetLoad::default()
    };
    let settings = PlanSettings::default();
    let plan = median_time_us(10, || {
        drop(black_box(planner::plan(&base, &loads, &settings)))
    });
    let core = joined_core(&base);
    let now = Duration::from_millis(1);
    let served = core.may_serve(now, ServiceId(0), ShardId(0), 0);
    assert!(served.is_ok(), "{served:?}");
    let serve = median_time_us(10_000, || {
        let _ = black_box(core.may_serve(now, ServiceId(0), ShardId(0), 0));
    });
    let mut core = joined_core(&base);
    let renewal = Renewal {
        lessee: SessionId(0),
        lessor: core.session().expect("joined"),
        term: 1,
        sequence: 1,
        version: 0,
    };
    let renew = median_time_us(100, || {
        drop(black_box(core.handle(now, Event::RenewRequest(renewal))))
    });
    let install = install_time_us(&base);
    println!(
        "{sessions},{shards},{},{apply:.1},{decode:.1},{encode:.1},{plan:.1},{install:.1},{renew:.2},{:.4}",
        bytes.len(),
        serve
    );
}

/// Returns the median time in microseconds in which a core installs a delta that changes one
/// target.
fn install_time_us(base: &Table) -> f64 {
    let mut core = joined_core(base);
    median_time_us(10, || {
        let current = core.table().clone();
        let change = Change::SetTarget {
            session: SessionId(0),
            target: Some(target()),
        };
        let next = delta(&current, vec![change]);
        core.handle(Duration::ZERO, Event::DeltasReceived(vec![next]));
    })
}

fn main() {
    println!(
        "sessions,shards,bytes,apply_us,decode_us,encode_us,plan_us,learn_us,renew_us,may_serve_us"
    );
    for sessions in [40, 120, 480] {
        for shards in [1024, 4096, 16_384] {
            print_row(sessions, shards);
        }
    }
}
