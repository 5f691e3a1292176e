//! Preferred lessors of a session (R11).
//!
//! All sessions stand in a ring by a hash of their ids. A walk from the lessee onwards finds the
//! lessors, so a cycle of lessors goes at least once round the ring and never lies inside one
//! data centre. In a small fleet that can be as few as two sessions that renew each other, and the
//! loss of both would need an operator. The walk therefore passes over sessions that the lessee
//! itself renews, and a small fleet prefers lessors with few lessees, which leaves every session
//! such a choice.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::SessionId;
use crate::table::{Session, Table};

/// Number of sessions up to which the number of lessees goes before the order of the ring.
const SMALL_FLEET: usize = 32;

/// Where a lessee stands.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// Its id; for a session that is about to join, the id that the table gives next.
    pub id: SessionId,
    /// Its region.
    pub region: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

impl<'a> From<&'a Session> for Place<'a> {
    fn from(s: &'a Session) -> Self {
        Self {
            id: s.id,
            region: &s.region,
            data_centre: &s.data_centre,
        }
    }
}

/// Returns up to `count` lessors for `place`: those of `keep`, filled up in the order of
/// preference with live sessions that `avoid` does not name.
pub fn lessors(
    table: &Table,
    place: Place<'_>,
    keep: &[SessionId],
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Vec<SessionId> {
    let mut chosen: Vec<&Session> = keep.iter().filter_map(|&id| table.session(id)).collect();
    chosen.truncate(count);
    let lessees = match table.sessions.len() <= SMALL_FLEET {
        true => count_lessees(table, place.id),
        false => BTreeMap::new(),
    };
    while chosen.len() < count {
        let candidates = table.sessions.iter().filter(|s| {
            s.id != place.id && !avoid(s.id) && chosen.iter().all(|other| other.id != s.id)
        });
        let best = candidates.min_by_key(|s| {
            let mutual = s.lessors.contains(&place.id);
            let lessees = lessees.get(&s.id).copied().unwrap_or(0);
            (
                rank(place, &chosen, s),
                mutual,
                lessees,
                distance(place.id, s.id),
            )
        });
        match best {
            Some(best) => chosen.push(best),
            None => break,
        }
    }
    chosen.iter().map(|s| s.id).collect()
}

/// Returns lessors for `own` that differ from its current ones in one session and are better
/// placed; `None` when there are none. The other lessor stays, so that it renews during the swap.
pub fn better(
    table: &Table,
    own: &Session,
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Option<Vec<SessionId>> {
    let place = Place::from(own);
    let avoid = |id| avoid(id) || own.lessors.contains(&id);
    let one_replaced = |old: &SessionId| {
        let keep: Vec<_> = own.lessors.iter().copied().filter(|l| l != old).collect();
        let set = lessors(table, place, &keep, count, avoid);
        (set.len() == count).then_some(set)
    };
    let found = own.lessors.iter().filter_map(one_replaced);
    let best = found.min_by_key(|set| score(table, place, set))?;
    let better = score(table, place, &best) < score(table, place, &own.lessors);
    better.then_some(best)
}

/// Ranks a set of lessors; lower is better. Last counts what keeps cycles of lessors long: the
/// distance in a large fleet, and in a small one an even number of lessees.
fn score(table: &Table, place: Place<'_>, set: &[SessionId]) -> (u32, u32, u128) {
    let small = table.sessions.len() <= SMALL_FLEET;
    let lessees = match small {
        true => count_lessees(table, place.id),
        false => BTreeMap::new(),
    };
    let mut chosen: Vec<&Session> = Vec::new();
    let (mut ranks, mut mutual, mut last) = (0, 0, 0);
    for s in set.iter().filter_map(|&id| table.session(id)) {
        ranks += u32::from(rank(place, &chosen, s));
        mutual += u32::from(s.lessors.contains(&place.id));
        last += match small {
            true => u128::from(lessees.get(&s.id).copied().unwrap_or(0)),
            false => u128::from(distance(place.id, s.id)),
        };
        chosen.push(s);
    }
    (ranks, mutual, last)
}

fn count_lessees(table: &Table, except: SessionId) -> BTreeMap<SessionId, u32> {
    let mut counts = BTreeMap::new();
    for s in table.sessions.iter().filter(|s| s.id != except) {
        for lessor in &s.lessors {
            *counts.entry(*lessor).or_insert(0) += 1;
        }
    }
    counts
}

/// Rank of a candidate beside the lessors already chosen; lower is better.
fn rank(place: Place<'_>, chosen: &[&Session], s: &Session) -> u8 {
    let home = s.region == place.region && s.data_centre == place.data_centre;
    let shared = chosen
        .iter()
        .any(|other| (&other.region, &other.data_centre) == (&s.region, &s.data_centre));
    match (home, shared, s.region == place.region) {
        (false, false, true) => 0,
        (false, false, false) => 1,
        (false, true, _) => 2,
        (true, ..) => 3,
    }
}

/// Steps from one session to the other along the ring.
fn distance(from: SessionId, to: SessionId) -> u64 {
    let hash = |id: SessionId| xxh3_64(&id.0.to_le_bytes());
    hash(to).wrapping_sub(hash(from))
}
