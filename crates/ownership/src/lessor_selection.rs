//! Preferred lessors of a session (R11).
//!
//! All sessions stand in a ring by a hash of their ids. A walk from the lessee onwards finds the
//! lessors, so a cycle of lessors goes at least once round the ring and never lies inside one
//! data centre. In a small fleet that can be as few as two sessions that renew each other, and the
//! loss of both would need an operator. The walk therefore passes over sessions that the lessee
//! itself renews, and a small fleet prefers lessors with few lessees, which leaves every session
//! such a choice.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::SessionId;
use crate::table::{Session, Table};

/// Number of sessions up to which the number of lessees goes before the order of the ring.
const SMALL_FLEET: usize = 32;

/// Lessees from which a session of a large fleet is passed over. The mean is two; each lessee costs
/// its lessor traffic, and by the order of the ring alone the busiest of 480 had 15 to 20.
const MANY_LESSEES: u32 = 4;

/// Where a lessee stands.
#[derive(Debug, Clone, Copy)]
pub struct Location<'a> {
    /// Its id; for a session that is about to join, the id that the table gives next.
    pub id: SessionId,
    /// Its region.
    pub region: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

impl<'a> From<&'a Session> for Location<'a> {
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
pub fn select_lessors(
    table: &Table,
    place: Location<'_>,
    keep: &[SessionId],
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Vec<SessionId> {
    let lessees = Lessees::count(table, place.id);
    fill(table, &lessees, place, keep, count, avoid)
}

fn fill(
    table: &Table,
    lessees: &Lessees<'_>,
    place: Location<'_>,
    keep: &[SessionId],
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Vec<SessionId> {
    let mut chosen: Vec<&Session> = keep.iter().filter_map(|&id| table.session(id)).collect();
    chosen.truncate(count);
    while chosen.len() < count {
        let candidates = table.sessions.iter().filter(|s| {
            s.id != place.id && !avoid(s.id) && chosen.iter().all(|other| other.id != s.id)
        });
        let best = candidates.min_by_key(|s| {
            let mutual = s.lessors.contains(&place.id);
            (
                rank(place, &chosen, s),
                mutual,
                lessees.burden(s.id),
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
pub fn better_lessors(
    table: &Table,
    own: &Session,
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Option<Vec<SessionId>> {
    let place = Location::from(own);
    let lessees = Lessees::count(table, own.id);
    let avoid = |id| avoid(id) || own.lessors.contains(&id);
    let one_replaced = |old: &SessionId| {
        let keep: Vec<_> = own.lessors.iter().copied().filter(|l| l != old).collect();
        let set = fill(table, &lessees, place, &keep, count, avoid);
        (set.len() == count).then_some(set)
    };
    let found = own.lessors.iter().filter_map(one_replaced);
    let score = |set: &[SessionId]| score(table, &lessees, place, set);
    let best = found.min_by_key(|set| score(set))?;
    let better = score(&best) < score(&own.lessors);
    better.then_some(best)
}

/// Ranks a set of lessors; lower is better. Last counts what keeps cycles of lessors long: the
/// distance in a large fleet, and in a small one an even number of lessees.
fn score(
    table: &Table,
    lessees: &Lessees<'_>,
    place: Location<'_>,
    set: &[SessionId],
) -> (u32, u32, u32, u128) {
    let mut chosen: Vec<&Session> = Vec::new();
    let (mut ranks, mut mutual, mut burden, mut last) = (0, 0, 0, 0);
    for s in set.iter().filter_map(|&id| table.session(id)) {
        ranks += u32::from(rank(place, &chosen, s));
        mutual += u32::from(s.lessors.contains(&place.id));
        burden += lessees.burden(s.id);
        if table.sessions.len() > SMALL_FLEET {
            last += u128::from(distance(place.id, s.id));
        }
        chosen.push(s);
    }
    (ranks, mutual, burden, last)
}

/// Number of lessees of each session, by its index in the table.
struct Lessees<'a> {
    table: &'a Table,
    counts: Vec<u32>,
}

impl<'a> Lessees<'a> {
    /// Counts the lessees, without the session that chooses.
    fn count(table: &'a Table, except: SessionId) -> Self {
        let mut counts = vec![0; table.sessions.len()];
        let others = table.sessions.iter().filter(|s| s.id != except);
        for lessor in others.flat_map(|s| &s.lessors) {
            if let Some(at) = index(table, *lessor) {
                counts[at] += 1;
            }
        }
        Self { table, counts }
    }

    /// Returns what speaks against one more lessee; 0 when nothing does.
    fn burden(&self, id: SessionId) -> u32 {
        let count = index(self.table, id).map_or(0, |at| self.counts[at]);
        match self.table.sessions.len() <= SMALL_FLEET {
            true => count,
            false => (count + 1).saturating_sub(MANY_LESSEES),
        }
    }
}

fn index(table: &Table, id: SessionId) -> Option<usize> {
    table.sessions.binary_search_by_key(&id, |s| s.id).ok()
}

/// Rank of a candidate beside the lessors already chosen; lower is better.
fn rank(place: Location<'_>, chosen: &[&Session], s: &Session) -> u8 {
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
