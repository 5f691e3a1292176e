//! What this daemon may serve now, and what its target may be granted.

use std::time::Duration;

use super::api::{Grants, Held, Refusal, Rule, override_shard};
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
            Some(_) => self.releases.covers_key(service, key_hash),
            None => self.releases.covers(service, shard),
        };
        if moving {
            return Err(Refusal::Moving);
        }
        if own.is_none() && self.settles(now, service, shard) {
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
        if !self.lessee.live(now) || self.writer.ending() {
            return Err(Refusal::LeaseExpired);
        }
        Ok(())
    }

    fn settles(&self, now: Duration, service: ServiceId, shard: ShardId) -> bool {
        let until = self.settling.get(&(service, shard));
        until.is_some_and(|until| now < *until)
    }

    /// Tells whether a planner is to be told ([`Event::MoveReleased`](super::Event::MoveReleased))
    /// that the shard is released. It must not be told of any other release: only the owner swaps
    /// that one, and may keep the shard.
    pub fn tells_planner(&self, held: Held) -> bool {
        self.releases.is_told(held)
    }

    /// Returns the end of the lease; `None` before the first.
    pub fn lease_until(&self) -> Option<Duration> {
        self.lessee.until
    }

    /// Returns the shards that this daemon may serve at boot time `now`.
    pub fn serving(&self, now: Duration) -> impl Iterator<Item = &Held> {
        let live = self.lessee.live(now) && !self.writer.ending();
        self.owned.iter().filter(move |held| {
            live && !self.releases.covers(held.service, held.shard)
                && !self.settles(now, held.service, held.shard)
        })
    }

    /// Returns the shards that the newest table gives to this daemon.
    pub fn owned(&self) -> &[Held] {
        &self.owned
    }

    /// Returns what the target may be granted; `None` without a live lease or a target. The end
    /// never lies after the end of the lease (R10).
    pub fn grants(&self, now: Duration) -> Option<Grants> {
        let session = self.session?;
        let target = self.table.session(session)?.target.as_ref()?;
        if !self.lessee.live(now) || self.writer.ending() {
            return None;
        }
        let until = match self.settings.without {
            Some(Rule::GrantEnd) => now + self.settings.lease,
            _ => self.lessee.until?,
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
                .filter(|o| !self.releases.covers_key(service, o.key_hash))
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
        let reading = self.writer.reading();
        let due = self.due_at().map(|at| at.max(not_before));
        let waits = match self.writer.pending {
            Some(_) => None,
            None => due.filter(|_| !reading),
        };
        let asks = self.lessees.ask_at(&self.settings);
        let asks = asks.map(|at| at.max(not_before)).filter(|_| !reading);
        let lone = self.lone_read_at();
        let lone = lone.map(|at| at.max(not_before)).filter(|_| !reading);
        let settled = self.settling.values().copied().min();
        let kept = self.releases.first_own();
        let kept = kept.filter(|_| self.writer.pending.is_none() && !self.writer.answers_now());
        [
            kept.map(|at| at + self.settings.take_back),
            self.lessee.next_send(),
            waits,
            asks,
            lone,
            settled,
            self.writer.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
