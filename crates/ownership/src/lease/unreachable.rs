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
const MIN_SILENT_LESSORS: usize = 2;

/// Time for which a data centre stays out of reach after its last silent lessor. It is longer than
/// the suspicion of one session, since a cut between regions lasts up to an hour.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(15);

/// Silent lessors of one data centre.
#[derive(Debug, Default)]
struct SilentLessors {
    lessors: Vec<SessionId>,
    until: Duration,
}

/// Silent lessors by region and data centre.
#[derive(Debug, Default)]
pub(super) struct UnreachableDataCentres {
    data_centres: BTreeMap<(String, String), SilentLessors>,
}

impl UnreachableDataCentres {
    /// Records that a lessor did not renew.
    pub fn record_silence(&mut self, now: Duration, table: &Table, lessor: SessionId) {
        let Some(session) = table.session(lessor) else {
            return;
        };
        let key = (session.region.clone(), session.data_centre.clone());
        let silent = self.data_centres.entry(key).or_default();
        if now >= silent.until {
            silent.lessors.clear();
        }
        if !silent.lessors.contains(&lessor) && silent.lessors.len() < MIN_SILENT_LESSORS {
            silent.lessors.push(lessor);
        }
        silent.until = now + UNREACHABLE_PERIOD;
    }

    /// Records that a lessor renewed, so its data centre is within reach.
    pub fn record_renewal(&mut self, table: &Table, lessor: SessionId) {
        if self.data_centres.is_empty() {
            return;
        }
        if let Some(session) = table.session(lessor) {
            let key = (session.region.clone(), session.data_centre.clone());
            self.data_centres.remove(&key);
        }
    }

    /// Tells whether a session stands in a data centre out of reach, other than `home`.
    pub fn contains(
        &self,
        now: Duration,
        table: &Table,
        home: (&str, &str),
        id: SessionId,
    ) -> bool {
        if self.data_centres.is_empty() {
            return false;
        }
        let Some(session) = table.session(id) else {
            return false;
        };
        if (&*session.region, &*session.data_centre) == home {
            return false;
        }
        let key = (session.region.clone(), session.data_centre.clone());
        let silent = self.data_centres.get(&key);
        silent.is_some_and(|s| s.lessors.len() >= MIN_SILENT_LESSORS && now < s.until)
    }
}
