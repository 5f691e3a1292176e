//! Detection of unreachable data centres.
//!
//! If several lessors in one data centre fail to renew, the sessions of that data centre are
//! avoided in the selection of lessors for a while. Selecting an unreachable lessor costs a swap,
//! and the lessor counts as unresponsive only after a renewal interval and half a lease. Without
//! this rule, every session affected by a network partition between data centres would write one
//! swap after another while the partition lasts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::SessionId;
use crate::table::Table;

/// Minimum number of unresponsive lessors for a data centre to count as unreachable. A single one
/// may have failed by itself.
const MIN_UNRESPONSIVE_LESSORS: usize = 2;

/// Time for which a data centre counts as unreachable after a lessor in it was last found
/// unresponsive. It is longer than the suspicion period of one session (`SUSPICION_PERIOD`), since
/// a partition between regions lasts up to an hour and each end of the period permits new attempts.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(15);

/// Unresponsive lessors of one data centre.
#[derive(Debug, Default)]
struct UnresponsiveLessors {
    lessors: Vec<SessionId>,
    /// End of the period in which the lessors count.
    until: Duration,
}

/// Unresponsive lessors, by region and data centre.
#[derive(Debug, Default)]
pub(super) struct DataCentreReachability {
    data_centres: BTreeMap<(String, String), UnresponsiveLessors>,
}

impl DataCentreReachability {
    /// Records that a lessor is unresponsive.
    pub fn record_unresponsive(&mut self, now: Duration, table: &Table, lessor: SessionId) {
        let Some(session) = table.session(lessor) else {
            return;
        };
        let key = (session.region.clone(), session.data_centre.clone());
        let unresponsive = self.data_centres.entry(key).or_default();
        if now >= unresponsive.until {
            unresponsive.lessors.clear();
        }
        if !unresponsive.lessors.contains(&lessor)
            && unresponsive.lessors.len() < MIN_UNRESPONSIVE_LESSORS
        {
            unresponsive.lessors.push(lessor);
        }
        unresponsive.until = now + UNREACHABLE_PERIOD;
    }

    /// Records that a lessor renewed, so that its data centre counts as reachable again.
    pub fn record_renewal(&mut self, table: &Table, lessor: SessionId) {
        if self.data_centres.is_empty() {
            return;
        }
        if let Some(session) = table.session(lessor) {
            let key = (session.region.clone(), session.data_centre.clone());
            self.data_centres.remove(&key);
        }
    }

    /// Returns whether a session is in an unreachable data centre other than `home`.
    pub fn is_unreachable(
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
        let unresponsive = self.data_centres.get(&key);
        unresponsive.is_some_and(|s| s.lessors.len() >= MIN_UNRESPONSIVE_LESSORS && now < s.until)
    }
}
