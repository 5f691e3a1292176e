//! Preferred lessors of a session (R11).
//!
//! All sessions stand in a ring by a hash of their ids. A walk from the lessee onwards finds the
//! lessors, so a cycle of lessors goes at least once round the ring and never lies inside one
//! data centre.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::SessionId;
use crate::table::{Session, Table};

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
    while chosen.len() < count {
        let candidates = table.sessions.iter().filter(|s| {
            s.id != place.id && !avoid(s.id) && chosen.iter().all(|other| other.id != s.id)
        });
        let best = candidates.min_by_key(|s| (rank(place, &chosen, s), distance(place.id, s.id)));
        match best {
            Some(best) => chosen.push(best),
            None => break,
        }
    }
    chosen.iter().map(|s| s.id).collect()
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
