//! Selects the preferred lessors of a session (R11).
//!
//! The sessions form a ring, ordered by a hash of their ids. A session takes the nearest suitable
//! sessions that follow it as its lessors, so a cycle of lessors spans at least one full turn of
//! the ring and is never confined to one data centre. In a small fleet such a cycle can consist of
//! two sessions that renew each other, and losing both would require an operator. Among equally
//! placed sessions, the selection therefore avoids those that the lessee itself renews. In a small
//! fleet it also prefers lessors with few lessees, so that every session can find a lessor that it
//! does not renew itself.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::SessionId;
use crate::table::{Session, Table};

/// Maximum number of sessions of a small fleet, in which the number of lessees takes precedence
/// over the ring order.
const SMALL_FLEET_SESSIONS: usize = 32;

/// Number of lessees at which a session of a large fleet is ranked lower as a lessor. The mean is
/// two. Each lessee causes renewal traffic, and with the ring order alone the busiest of 480
/// sessions had 15 to 20 lessees.
const LESSEE_SOFT_LIMIT: u32 = 4;

/// Mean number of sessions between two that a change of lessors must gain on the ring. A cycle of
/// lessors that are up to this far apart still spans the ring in many steps.
const RING_STEP_SESSIONS: u128 = 16;

/// Id and location of a lessee.
#[derive(Debug, Clone, Copy)]
pub struct Location<'a> {
    /// The id; for a session that is about to join, the id that the table allocates next.
    pub id: SessionId,
    /// The region.
    pub region: &'a str,
    /// The data centre.
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

/// Returns up to `count` lessors for a lessee at `location`. The sessions of `keep` that are in the
/// table come first. Others for which `avoid` does not hold follow in order of preference.
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

/// Returns the best set of lessors for `lessee` that differs from the current one in one lessor, or
/// `None` if no such set is better than the current one. The lessor that stays renews the lease
/// during the swap.
pub fn better_lessors(
    table: &Table,
    lessee: &Session,
    count: usize,
    avoid: impl Fn(SessionId) -> bool,
) -> Option<Vec<SessionId>> {
    let location = Location::from(lessee);
    let lessees = LesseeCounts::count(table, lessee.id);
    let avoid = |id| avoid(id) || lessee.lessors.contains(&id);
    let replace_lessor = |replaced: &SessionId| {
        let keep: Vec<_> = lessee
            .lessors
            .iter()
            .copied()
            .filter(|l| l != replaced)
            .collect();
        let set = fill_lessors(table, &lessees, location, &keep, count, avoid);
        (set.len() == count).then_some(set)
    };
    let sets = lessee.lessors.iter().filter_map(replace_lessor);
    let score_of = |set: &[SessionId]| score(table, &lessees, location, set);
    let best = sets.min_by_key(|set| score_of(set))?;
    let is_better = score_of(&best).coarse() < score_of(&lessee.lessors).coarse();
    is_better.then_some(best)
}

/// Score of a set of lessors; lower is better.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    ranks: u32,
    mutual: u32,
    lessee_penalty: u32,
    /// In a large fleet the sum of the distances on the ring, which keeps cycles of lessors long. In
    /// a small fleet 0, and the even distribution of lessees keeps the cycles long.
    ring_distance: u128,
    /// Distance on the ring that a change of lessors must gain.
    ring_step: u128,
}

impl Score {
    /// Returns the score for the decision whether to change lessors. Each session that joins becomes
    /// the nearest one on the ring for some others; if they changed their lessors for it, each join
    /// would cause further swaps.
    fn coarse(self) -> Self {
        Self {
            ring_distance: self.ring_distance / self.ring_step,
            ..self
        }
    }
}

/// Returns the score of a set of lessors.
fn score(
    table: &Table,
    lessees: &LesseeCounts<'_>,
    location: Location<'_>,
    set: &[SessionId],
) -> Score {
    let mut chosen: Vec<&Session> = Vec::new();
    let sessions = table.sessions.len().max(1) as u128;
    let mut score = Score {
        ranks: 0,
        mutual: 0,
        lessee_penalty: 0,
        ring_distance: 0,
        ring_step: u128::from(u64::MAX) / sessions * RING_STEP_SESSIONS,
    };
    for s in set.iter().filter_map(|&id| table.session(id)) {
        score.ranks += u32::from(placement_rank(location, &chosen, s));
        score.mutual += u32::from(s.lessors.contains(&location.id));
        score.lessee_penalty += lessees.lessee_penalty(s.id);
        if table.sessions.len() > SMALL_FLEET_SESSIONS {
            score.ring_distance += u128::from(ring_distance(location.id, s.id));
        }
        chosen.push(s);
    }
    score
}

/// Number of lessees of each session, by its index in the table.
struct LesseeCounts<'a> {
    table: &'a Table,
    counts: Vec<u32>,
}

impl<'a> LesseeCounts<'a> {
    /// Counts the lessees of every session. `excluded` is not counted as a lessee.
    fn count(table: &'a Table, excluded: SessionId) -> Self {
        let mut counts = vec![0; table.sessions.len()];
        let others = table.sessions.iter().filter(|s| s.id != excluded);
        for lessor in others.flat_map(|s| &s.lessors) {
            if let Some(index) = session_index(table, *lessor) {
                counts[index] += 1;
            }
        }
        Self { table, counts }
    }

    /// Returns the penalty for giving the session one more lessee; 0 is best.
    fn lessee_penalty(&self, id: SessionId) -> u32 {
        let count = session_index(self.table, id).map_or(0, |index| self.counts[index]);
        match self.table.sessions.len() <= SMALL_FLEET_SESSIONS {
            true => count,
            false => (count + 1).saturating_sub(LESSEE_SOFT_LIMIT),
        }
    }
}

fn session_index(table: &Table, id: SessionId) -> Option<usize> {
    table.sessions.binary_search_by_key(&id, |s| s.id).ok()
}

/// Returns the rank of a candidate by its location relative to the lessee and the chosen lessors;
/// lower is better.
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

/// Returns the distance from one session forward along the ring to the other.
fn ring_distance(from: SessionId, to: SessionId) -> u64 {
    let hash = |id: SessionId| xxh3_64(&id.0.to_le_bytes());
    hash(to).wrapping_sub(hash(from))
}
