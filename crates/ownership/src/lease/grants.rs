//! What this daemon may serve now, and what its target may be granted.

use std::time::Duration;

use super::api::{Grants, HeldShard, Refusal, Rule, override_shard};
use super::core::Core;
use crate::ids::{Epoch, ServiceId, SessionId, ShardId};
use crate::table::Shard;

impl Core {
    /// Decides whether this daemon may serve a key at boot time `now` (R1), and under which epoch.
    /// Call it again after every await that precedes an effect.
    ///
    /// # Errors
    ///
    /// Any [`Refusal`]; the request was not run.
    pub fn may_serve(
        &self,
        now: Duration,
        service: ServiceId,
        shard: ShardId,
        key_hash: u64,
    ) -> Result<Epoch, Refusal> {
        let me = self.session.ok_or(Refusal::NotJoined)?;
        let known = self.table.service(service).ok_or(Refusal::NoService)?;
        let own = known.overrides.iter().find(|o| o.key_hash == key_hash);
        let held = match own {
            Some(own) => own.assignment,
            None => *known.shards.get(shard.index()).ok_or(Refusal::NoService)?,
        };
        self.check_owner(now, me, held)?;
        let moving = match own {
            Some(_) => self.releases.contains_key(service, key_hash),
            None => self.releases.contains(service, shard),
        };
        if moving {
            return Err(Refusal::Moving);
        }
        if own.is_none() && self.is_settling(now, service, shard) {
            return Err(Refusal::Settling);
        }
        Ok(held.epoch)
    }

    fn check_owner(&self, now: Duration, me: SessionId, held: Shard) -> Result<(), Refusal> {
        match held.owner {
            None => return Err(Refusal::NoOwner),
            Some(owner) if owner != me => return Err(Refusal::WrongOwner(owner)),
            Some(_) => {}
        }
        if !self.lessee.is_live(now) || self.writer.is_ending() {
            return Err(Refusal::LeaseExpired);
        }
        Ok(())
    }

    fn is_settling(&self, now: Duration, service: ServiceId, shard: ShardId) -> bool {
        let until = self.settling_until.get(&(service, shard));
        until.is_some_and(|until| now < *until)
    }

    /// Tells whether a planner is to be told ([`Event::MoveReleased`](super::Event::MoveReleased))
    /// that the shard is released. It must not be told of any other release: only the owner swaps
    /// that one, and may keep the shard.
    pub fn notifies_planner(&self, held: HeldShard) -> bool {
        self.releases.planner_notified(held)
    }

    /// Returns the end of the lease; `None` before the first.
    pub fn lease_until(&self) -> Option<Duration> {
        self.lessee.expires_at
    }

    /// Returns the shards that this daemon may serve at boot time `now`.
    pub fn serving(&self, now: Duration) -> impl Iterator<Item = &HeldShard> {
        let live = self.lessee.is_live(now) && !self.writer.is_ending();
        self.owned.iter().filter(move |held| {
            live && !self.releases.contains(held.service, held.shard)
                && !self.is_settling(now, held.service, held.shard)
        })
    }

    /// Returns the shards that the newest table gives to this daemon.
    pub fn owned(&self) -> &[HeldShard] {
        &self.owned
    }

    /// Returns what the target may be granted; `None` without a live lease or a target. The end
    /// never lies after the end of the lease (R10).
    pub fn grants(&self, now: Duration) -> Option<Grants> {
        let session = self.session?;
        let target = self.table.session(session)?.target.as_ref()?;
        if !self.lessee.is_live(now) || self.writer.is_ending() {
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

    /// Returns the boot time at which [`Event::Tick`](super::Event::Tick) is due next.
    pub fn next_deadline(&self) -> Option<Duration> {
        let not_before = self.writer.not_before;
        let reading = self.writer.is_reading();
        let due = self.swap_due_at().map(|at| at.max(not_before));
        let waits = match self.writer.pending {
            Some(_) => None,
            None => due.filter(|_| !reading),
        };
        let queries = self.lessees.next_query_at(&self.settings);
        let queries = queries.map(|at| at.max(not_before)).filter(|_| !reading);
        let self_renewal = self.self_renewal_read_at();
        let self_renewal = self_renewal
            .map(|at| at.max(not_before))
            .filter(|_| !reading);
        let settled = self.settling_until.values().copied().min();
        let kept = self.releases.first_cancellable_at();
        let kept =
            kept.filter(|_| self.writer.pending.is_none() && !self.writer.platform_responsive());
        [
            kept.map(|at| at + self.settings.reclaim_delay),
            self.lessee.next_send(),
            waits,
            queries,
            self_renewal,
            settled,
            self.writer.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
