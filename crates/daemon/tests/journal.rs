//! Tests of the journal of decisions, and of its entries from deltas, tables and configurations.

mod fixture;

use fixture::{Fixture, NOW_MS, previous_table, session, table};
use googletest::prelude::*;
use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::Difference;
use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::{Table, TargetState};
use masticdeal_wire::peer::Versions;
use masticdeald::operators::from_delta;
use masticdeald::operators::installed;
use masticdeald::operators::journal::{Cause, Entry, EntryKind, Journal};

/// Guards against a journal that exceeds its memory limit, and against one that claims to be
/// complete after it has dropped entries.
#[gtest]
fn journal_stays_within_its_memory_limit() {
    let mut journal = Journal::new(5, 10_000);
    for time_ms in 100..1_100 {
        let kind = EntryKind::Assigned {
            service: "search".into(),
            // Every second shard, so that no two merge into one range.
            shards: (0..50).map(|n| ShardId(2 * n)).collect(),
            vm: "vm-1".into(),
            session: SessionId(1),
        };
        let versions = Versions::default();
        journal.record(Entry {
            time_ms,
            versions,
            kind,
            cause: Cause::FirstOwner,
        });
        assert_that!(journal.memory_bytes(), le(10_000));
    }
    let entry_count = journal.entries().count() as u64;
    expect_that!(entry_count, gt(5));
    expect_that!(entry_count + journal.dropped(), eq(1_000));
    expect_that!(journal.complete_since_ms(), eq(1_100 - entry_count));
    expect_that!(journal.since(1_098).count(), eq(2));
    let newest = journal
        .newest(|e| e.assigns_shard("search", ShardId(4)))
        .unwrap();
    expect_that!(newest.time_ms, eq(1_099));
    expect_that!(
        journal.newest(|e| e.assigns_shard("search", ShardId(5))),
        none()
    );
}

/// Guards against a journal that lacks decisions or their causes after the daemon missed deltas and
/// installed a complete table, and against entries for decisions before the start of the daemon.
#[gtest]
fn complete_table_yields_entries_like_deltas() {
    let mut previous = previous_table();
    previous.services[0].shards[0].owner = Some(SessionId(2));
    previous.services[0].overrides.clear();
    let entries = installed::entries_of_table(&previous, &table(), 4, NOW_MS);
    let text: Vec<String> = entries.iter().map(ToString::to_string).collect();
    for expected in [
        "vm-0 was ended (session 0) because this daemon learned of it afterwards",
        "the target of vm-5 became draining because its target or an operator asked for it",
        "vm-2 got shard 1 of search because vm-0 was ended: this daemon learned of it afterwards",
        "vm-1 got shard 0 of search because it was moved from vm-2",
        "vm-3 got a hot key of search as an override because another daemon decided so",
    ] {
        expect_that!(text, contains(eq(expected)));
    }
    expect_that!(text, len(eq(5)));
    expect_that!(
        installed::entries_of_table(&table(), &table(), 4, NOW_MS),
        is_empty()
    );
    // The daemon observed none of the decisions in its first table.
    let first = installed::entries_of_table(&Table::default(), &table(), 4, NOW_MS);
    expect_that!(first, is_empty());
}

/// Guards against an answer on a drained VM that does not name the operator.
#[gtest]
fn configuration_entry_names_its_author() {
    let mut fixture = Fixture::new();
    let difference = Difference::Rule {
        key: "away".into(),
        old: "vm-9".into(),
        new: "vm-9, vm-5".into(),
    };
    let (previous, after) = (Deployment::default(), fixture.deployment.clone());
    let mut entry =
        installed::entry_of_config(&previous, &after, &fixture.config, 17, NOW_MS - 1_000);
    let text = "configuration revision 4 was accepted (service search added";
    expect_that!(entry.to_string(), starts_with(text));
    expect_that!(entry.to_string(), ends_with("because Ayşe asked for it"));
    if let EntryKind::Configured { differences, .. } = &mut entry.kind {
        differences.0 = vec![difference];
    }
    fixture.journal.record(entry);
    let (_, text) = fixture.evaluate("why is vm-5 away");
    expect_that!(
        text,
        contains_substring("(rules.away: vm-9 -> vm-9, vm-5) because Ayşe asked")
    );
}

/// Guards against entries without names. A change can refer to a session or service that an earlier
/// change of the same swap added.
#[gtest]
fn changes_can_refer_to_additions_of_the_same_swap() {
    let delta = Delta {
        to_version: 1,
        change_id: ChangeId(1),
        changes: vec![
            Change::Join {
                session: session(9, 0, TargetState::Ready),
            },
            Change::DeclareService {
                name: "search".into(),
                shards: 4,
            },
            Change::Assign {
                service: ServiceId(0),
                owner: SessionId(0),
                shards: (0..4).map(ShardId).collect(),
            },
        ],
    };
    let entries = from_delta::entries(&Table::default(), &delta, 1, 1, None);
    let text: Vec<String> = entries.iter().map(ToString::to_string).collect();
    expect_that!(
        text[0],
        eq("vm-9 joined as session 0 because the daemon asked for it")
    );
    let assigned = "vm-9 got 4 shards of search because nobody owned it at that moment";
    expect_that!(text[2], eq(assigned));
}
