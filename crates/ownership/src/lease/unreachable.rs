//! Data centres that seem to be out of reach.
//!
//! When several lessors of one data centre have not renewed, the others of that data centre are
//! not tried one after the other: each try costs a swap and half a lease, and a cut between data
//! centres would keep every session behind it swapping for as long as it lasts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::SessionId;
use crate::table::Table;

/// Silent lessors from which a data centre counts as out of reach. One may be lost by itself.
const SILENT_LESSORS: usize = 2;

/// Time for which a data centre stays out of reach after its last silent lessor. It is longer than
/// the suspicion of one session, since a cut between regions lasts up to an hour.
const OUT_OF_REACH: Duration = Duration::from_secs(15);

/// Silent lessors of one data centre.
#[derive(Debug, Default)]
struct Silent {
    lessors: Vec<SessionId>,
    until: Duration,
}

/// Silent lessors by region and data centre.
#[derive(Debug, Default)]
pub(super) struct Unreachable {
    places: BTreeMap<(String, String), Silent>,
}

impl Unreachable {
    /// Records that a lessor did not renew.
    pub fn silent(&mut self, now: Duration, table: &Table, lessor: SessionId) {
        let Some(session) = table.session(lessor) else {
            return;
        };
        let place = (session.region.clone(), session.data_centre.clone());
        let silent = self.places.entry(place).or_default();
        if now >= silent.until {
            silent.lessors.clear();
        }
        if !silent.lessors.contains(&lessor) && silent.lessors.len() < SILENT_LESSORS {
            silent.lessors.push(lessor);
        }
        silent.until = now + OUT_OF_REACH;
    }

    /// Records that a lessor renewed, so its data centre is within reach.
    pub fn heard(&mut self, table: &Table, lessor: SessionId) {
        if self.places.is_empty() {
            return;
        }
        if let Some(session) = table.session(lessor) {
            let place = (session.region.clone(), session.data_centre.clone());
            self.places.remove(&place);
        }
    }

    /// Tells whether a session stands in a data centre out of reach, other than `home`.
    pub fn covers(&self, now: Duration, table: &Table, home: (&str, &str), id: SessionId) -> bool {
        if self.places.is_empty() {
            return false;
        }
        let Some(session) = table.session(id) else {
            return false;
        };
        if (&*session.region, &*session.data_centre) == home {
            return false;
        }
        let place = (session.region.clone(), session.data_centre.clone());
        let silent = self.places.get(&place);
        silent.is_some_and(|s| s.lessors.len() >= SILENT_LESSORS && now < s.until)
    }
}
