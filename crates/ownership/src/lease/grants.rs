//! Decides which shards this daemon may serve and grant to its target.

use std::time::Duration;

use super::api::{Grants, HeldShard, Refusal, Rule, TargetReport, override_shard};
use super::core::Core;
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::table::Shard;

impl Core {
    /// Returns the epoch under which this daemon may serve a key at `now`, the time since boot
    /// (R1). Call it again after every await before acting on the result.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if this daemon must not serve the key.
    pub fn may_serve(
        &self,
        now: Duration,
        service: ServiceId,
        shard: ShardId,
        key_hash: u64,
    ) -> Result<Epoch, Refusal> {
        let me = self.session.ok_or(Refusal::NotJoined)?;
        let table_service = self.table.service(service).ok_or(Refusal::NoService)?;
        let key_override = table_service
            .overrides
            .iter()
            .find(|o| o.key_hash == key_hash);
        let assignment = match key_override {
            Some(key_override) => key_override.assignment,
            None => *table_service
                .shards
                .get(shard.index())
                .ok_or(Refusal::NoService)?,
        };
        self.check_owner_and_lease(now, me, assignment)?;
        let is_moving = match key_override {
            Some(_) => self.releases.contains_key(service, key_hash),
            None => self.releases.contains(service, shard),
        };
        if is_moving {
            return Err(Refusal::Moving);
        }
        if key_override.is_none() && self.is_settling(now, service, shard) {
            return Err(Refusal::Settling);
        }
        Ok(assignment.epoch)
    }

    fn check_owner_and_lease(
        &self,
        now: Duration,
        me: SessionId,
        assignment: Shard,
    ) -> Result<(), Refusal> {
        match assignment.owner {
            None => return Err(Refusal::NoOwner),
            Some(owner) if owner != me => return Err(Refusal::WrongOwner(owner)),
            Some(_) => {}
        }
        if !self.lessee.has_valid_lease(now) || self.writer.is_ending() {
            return Err(Refusal::LeaseExpired);
        }
        Ok(())
    }

    fn is_settling(&self, now: Duration, service: ServiceId, shard: ShardId) -> bool {
        let until = self.settling_until.get(&(service, shard));
        until.is_some_and(|until| now < *until)
    }

    /// Returns whether the planner must be notified of the release of this shard
    /// ([`Event::MoveReleased`](super::Event::MoveReleased)). The planner must not be notified of
    /// other releases: only the owner writes those moves, and it may cancel them.
    pub fn notifies_planner(&self, held: HeldShard) -> bool {
        self.releases.planner_may_write(held)
    }

    /// Returns whether the planner is to be notified of the release of this shard because the data
    /// centre of this daemon is evacuated. It chooses the next owner. This daemon does not cancel such
    /// a release, and writes the move itself if the planner does not.
    pub fn leaves_evacuated(&self, held: HeldShard) -> bool {
        self.is_home_evacuated() && self.releases.is_leaving(held)
    }

    /// Returns whether the data centre of this daemon is evacuated.
    pub(super) fn is_home_evacuated(&self) -> bool {
        self.evacuated.contains(&self.identity.data_centre)
    }

    /// Returns when the lease expires; `None` before the first lease.
    pub fn lease_until(&self) -> Option<Duration> {
        self.lessee.expires_at
    }

    /// Returns the shards that this daemon may serve at `now`, the time since boot. Overridden keys
    /// are not included.
    pub fn serving(&self, now: Duration) -> impl Iterator<Item = &HeldShard> {
        let may_serve = self.lessee.has_valid_lease(now) && !self.writer.is_ending();
        self.owned.iter().filter(move |held| {
            may_serve
                && !self.releases.contains(held.service, held.shard)
                && !self.is_settling(now, held.service, held.shard)
        })
    }

    /// Returns the shards that the newest table assigns to this daemon.
    pub fn owned(&self) -> &[HeldShard] {
        &self.owned
    }

    /// Returns the shards and overridden keys that may be granted to the target; `None` without a
    /// target or a valid lease, and while a swap that ends the session is pending. The grant never
    /// outlives the lease (R10).
    ///
    /// An incarnation of the target that the table does not show gets no grant: the next process of
    /// this daemon takes it for one without grants (R7).
    pub fn grants(&self, now: Duration) -> Option<Grants> {
        let session = self.session?;
        let target = self.table.session(session)?.target.as_ref()?;
        let is_shown = |reported: &TargetReport| reported.incarnation == target.incarnation;
        if !self.target.as_ref().is_none_or(is_shown) {
            return None;
        }
        if !self.lessee.has_valid_lease(now) || self.writer.is_ending() {
            return None;
        }
        let until = match self.settings.disabled_rule {
            Some(Rule::GrantEnd) => now + self.settings.lease,
            _ => self.lessee.expires_at?,
        };
        let service = target.service;
        let mut shards: Vec<_> = self
            .serving(now)
            .filter(|held| held.service == service)
            .map(|held| (held.shard, held.epoch))
            .collect();
        let overrides = self.table.service(service)?.overrides.iter();
        shards.extend(
            overrides
                .filter(|o| o.assignment.owner == Some(session))
                .filter(|o| !self.releases.contains_key(service, o.key_hash))
                .map(|o| (override_shard(o.key_hash), o.assignment.epoch)),
        );
        Some(Grants {
            session,
            until,
            service,
            shards,
        })
    }

    /// Returns the time since boot at which the next [`Event::Tick`](super::Event::Tick) is due.
    pub fn next_deadline(&self) -> Option<Duration> {
        let not_before = self.writer.not_before;
        let reading = self.writer.is_reading();
        let due = self.swap_due_at().map(|at| at.max(not_before));
        let swap = match self.writer.pending {
            Some(_) => None,
            None => due.filter(|_| !reading),
        };
        let swap = match &self.restoration {
            Some(_) if self.writer.is_ending() => None,
            Some(_) => self.restoration_due_at(),
            None => swap,
        };
        let writer = match &self.restoration {
            Some(_) => self.writer.read_deadline(),
            None => self.writer.next_deadline(),
        };
        let queries = self.lessees.next_query_at(&self.settings);
        let queries = queries.map(|at| at.max(not_before)).filter(|_| !reading);
        let self_renewal = self.self_renewal_read_at();
        let self_renewal = self_renewal
            .map(|at| at.max(not_before))
            .filter(|_| !reading);
        let settling = self.settling_until.values().copied().min();
        let cancellable_drain = self.releases.earliest_cancellable_drain();
        let cancellable_drain = cancellable_drain
            .filter(|_| self.writer.pending.is_none() && !self.writer.platform_responsive());
        [
            cancellable_drain.map(|at| at + self.settings.reclaim_delay),
            self.lessee.next_send_at(),
            swap,
            queries,
            self_renewal,
            settling,
            writer,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
