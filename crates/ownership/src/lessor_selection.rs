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
const SMALL_FLEET_SESSIONS: usize = 32;

/// Lessees from which a session of a large fleet is passed over. The mean is two; each lessee costs
/// its lessor traffic, and by the order of the ring alone the busiest of 480 had 15 to 20.
const LESSEE_SOFT_LIMIT: u32 = 4;

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
    location: Location<'_>,
    keep: &[SessionId],
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Vec<SessionId> {
    let lessees = LesseeCounts::count(table, location.id);
    fill_lessors(table, &lessees, location, keep, count, avoid)
}

fn fill_lessors(
    table: &Table,
    lessees: &LesseeCounts<'_>,
    location: Location<'_>,
    keep: &[SessionId],
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Vec<SessionId> {
    let mut chosen: Vec<&Session> = keep.iter().filter_map(|&id| table.session(id)).collect();
    chosen.truncate(count);
    while chosen.len() < count {
        let candidates = table.sessions.iter().filter(|s| {
            s.id != location.id && !avoid(s.id) && chosen.iter().all(|other| other.id != s.id)
        });
        let best = candidates.min_by_key(|s| {
            let mutual = s.lessors.contains(&location.id);
            (
                placement_rank(location, &chosen, s),
                mutual,
                lessees.lessee_penalty(s.id),
                ring_distance(location.id, s.id),
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
    let location = Location::from(own);
    let lessees = LesseeCounts::count(table, own.id);
    let avoid = |id| avoid(id) || own.lessors.contains(&id);
    let one_replaced = |old: &SessionId| {
        let keep: Vec<_> = own.lessors.iter().copied().filter(|l| l != old).collect();
        let set = fill_lessors(table, &lessees, location, &keep, count, avoid);
        (set.len() == count).then_some(set)
    };
    let found = own.lessors.iter().filter_map(one_replaced);
    let score = |set: &[SessionId]| score(table, &lessees, location, set);
    let best = found.min_by_key(|set| score(set))?;
    let better = score(&best) < score(&own.lessors);
    better.then_some(best)
}

/// Ranks a set of lessors; lower is better. Last counts what keeps cycles of lessors long: the
/// distance in a large fleet, and in a small one an even number of lessees.
fn score(
    table: &Table,
    lessees: &LesseeCounts<'_>,
    location: Location<'_>,
    set: &[SessionId],
) -> (u32, u32, u32, u128) {
    let mut chosen: Vec<&Session> = Vec::new();
    let (mut ranks, mut mutual, mut lessee_penalty, mut tie_break) = (0, 0, 0, 0);
    for s in set.iter().filter_map(|&id| table.session(id)) {
        ranks += u32::from(placement_rank(location, &chosen, s));
        mutual += u32::from(s.lessors.contains(&location.id));
        lessee_penalty += lessees.lessee_penalty(s.id);
        if table.sessions.len() > SMALL_FLEET_SESSIONS {
            tie_break += u128::from(ring_distance(location.id, s.id));
        }
        chosen.push(s);
    }
    (ranks, mutual, lessee_penalty, tie_break)
}

/// Number of lessees of each session, by its index in the table.
struct LesseeCounts<'a> {
    table: &'a Table,
    counts: Vec<u32>,
}

impl<'a> LesseeCounts<'a> {
    /// Counts the lessees, without the session that chooses.
    fn count(table: &'a Table, except: SessionId) -> Self {
        let mut counts = vec![0; table.sessions.len()];
        let others = table.sessions.iter().filter(|s| s.id != except);
        for lessor in others.flat_map(|s| &s.lessors) {
            if let Some(at) = session_index(table, *lessor) {
                counts[at] += 1;
            }
        }
        Self { table, counts }
    }

    /// Returns what speaks against one more lessee; 0 when nothing does.
    fn lessee_penalty(&self, id: SessionId) -> u32 {
        let count = session_index(self.table, id).map_or(0, |at| self.counts[at]);
        match self.table.sessions.len() <= SMALL_FLEET_SESSIONS {
            true => count,
            false => (count + 1).saturating_sub(LESSEE_SOFT_LIMIT),
        }
    }
}

fn session_index(table: &Table, id: SessionId) -> Option<usize> {
    table.sessions.binary_search_by_key(&id, |s| s.id).ok()
}

/// Rank of a candidate beside the lessors already chosen; lower is better.
fn placement_rank(location: Location<'_>, chosen: &[&Session], s: &Session) -> u8 {
    let same_data_centre = s.region == location.region && s.data_centre == location.data_centre;
    let shares_data_centre = chosen
        .iter()
        .any(|other| (&other.region, &other.data_centre) == (&s.region, &s.data_centre));
    match (
        same_data_centre,
        shares_data_centre,
        s.region == location.region,
    ) {
        (false, false, true) => 0,
        (false, false, false) => 1,
        (false, true, _) => 2,
        (true, ..) => 3,
    }
}

/// Steps from one session to the other along the ring.
fn ring_distance(from: SessionId, to: SessionId) -> u64 {
    let hash = |id: SessionId| xxh3_64(&id.0.to_le_bytes());
    hash(to).wrapping_sub(hash(from))
}
