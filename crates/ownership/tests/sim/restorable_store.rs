//! A platform store that may be restored from a backup: it has revisions and an era, and compares
//! revisions when it swaps.
//!
//! Used with [`Setup::restores_store`](super::Setup::restores_store). Revisions go back with the
//! copy and are reused. So a write of before the restore may take effect after it, even if the
//! revision that it names belongs to another table by then.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticdeal_ownership::checker;
use masticdeal_ownership::ids::{ChangeId, SessionId};
use masticdeal_ownership::lease::{CollectionReplies, Event, Outcome};
use masticdeal_ownership::table::Table;
use rand::RngExt;

use super::{SimEvent, Simulation, ms};

/// Time-out of a collection.
const COLLECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// State of the store beside the table.
#[derive(Debug, Clone, Default)]
pub struct Revisions {
    /// Number of the era; the first one is 0 or 1.
    pub era: u64,
    /// The store's revision, that of its last change.
    current: u64,
    /// Revision of the table.
    table: u64,
    /// Every state of the store, with the time from which it applied.
    copies: Vec<Copy>,
}

#[derive(Debug, Clone, Default)]
pub struct Copy {
    since: Duration,
    current: u64,
    table_revision: u64,
    table: Arc<Table>,
}

/// What a daemon process knows of the store.
#[derive(Debug, Default)]
pub struct StoreView {
    /// Newest era that a reply showed.
    era: u64,
    /// Era, revision and version of the newest table that was read or written.
    stored: Option<(u64, u64, u64)>,
    /// Calls without a reply or a time-out.
    open_calls: BTreeSet<u64>,
    calls: u64,
    collections: Vec<Collection>,
}

/// The address of a pull, and the session that is expected there.
type Peer = (SocketAddr, Option<SessionId>);

/// Pulls from all other sessions, or from the seeds.
#[derive(Debug)]
struct Collection {
    id: u64,
    version: u64,
    waiting: BTreeSet<Peer>,
    replies: CollectionReplies,
}

/// A call and what its reply is for.
#[derive(Debug, Clone)]
pub enum Request {
    Read(u64),
    /// A read of the revision for a swap.
    ReadRevision(ChangeId, Arc<Table>),
    /// A read by a daemon that watches the store, or that learned of a new era.
    Watch,
    /// A read after a conflict.
    ReadConflict(ChangeId),
    /// A swap on condition that the table has the revision, which was read in the era.
    Write(ChangeId, Arc<Table>, (u64, u64)),
    /// As `Write`, for the table after a restore.
    Restore(ChangeId, Arc<Table>, (u64, u64)),
}

impl Request {
    fn is_write(&self) -> bool {
        matches!(self, Request::Write(..) | Request::Restore(..))
    }
}

/// The reply of the store in an era.
#[derive(Debug, Clone)]
pub struct Reply {
    era: u64,
    /// The table with its revision; `None` after a conflict.
    table: Option<(Arc<Table>, u64)>,
}

/// An event of the store or of a collection. The first values are the index of the VM, the number
/// of its process and the id of the call or the collection.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// A request arrives.
    Request(usize, u64, u64, Request),
    Reply(usize, u64, u64, Request, Reply),
    Timeout(usize, u64, u64, Request),
    /// The store is restored from a backup.
    Restored(Copy),
    /// A VM notices by a watch that the store was restored.
    Watch(usize),
    /// A pull reaches the VM.
    Pull(usize, u64, u64, Peer, usize),
    /// The reply has the session of the process that sent it.
    Pulled(usize, u64, u64, Peer, Option<SessionId>, Arc<Table>),
    CollectionTimeout(usize, u64, u64),
}

impl Simulation {
    pub(super) fn handle_store_event(&mut self, event: StoreEvent) {
        // A paused process handles its replies and time-outs when it resumes.
        if let StoreEvent::Reply(vm, ..)
        | StoreEvent::Timeout(vm, ..)
        | StoreEvent::Pulled(vm, ..)
        | StoreEvent::CollectionTimeout(vm, ..) = event
            && self.vms[vm].is_paused(self.now)
        {
            let delay = self.vms[vm].paused_until - self.now;
            self.schedule(delay, SimEvent::Store(event));
            return;
        }
        match event {
            StoreEvent::Request(vm, process, id, request) => {
                self.execute_request(vm, process, id, request);
            }
            StoreEvent::Reply(vm, process, id, request, reply) => {
                if self.closes_call(vm, process, id) {
                    self.handle_reply(vm, request, reply);
                }
            }
            StoreEvent::Timeout(vm, process, id, request) => {
                if self.closes_call(vm, process, id) {
                    self.handle_timeout(vm, request);
                }
            }
            StoreEvent::Restored(copy) => self.bring_back(copy),
            StoreEvent::Watch(vm) => {
                if self.vms[vm].core.is_some() {
                    self.request_store(vm, Request::Watch);
                }
            }
            StoreEvent::Pull(vm, process, id, peer, responder) => {
                let core = self.vms[responder].core.as_ref();
                let core = core.filter(|_| !self.vms[responder].is_paused(self.now));
                if let Some((session, table)) = core.map(|c| (c.session(), c.table().clone()))
                    && let Some(delay) = self.message_delay(responder, vm)
                {
                    let event = StoreEvent::Pulled(vm, process, id, peer, session, table);
                    self.schedule(delay, SimEvent::Store(event));
                }
            }
            StoreEvent::Pulled(vm, process, id, peer, session, table) => {
                if self.vms[vm].process == process {
                    self.deliver(vm, Event::TableReceived(table));
                    self.record_pulled(vm, id, Some((peer, session)));
                }
            }
            StoreEvent::CollectionTimeout(vm, process, id) => {
                if self.vms[vm].process == process {
                    self.record_pulled(vm, id, None);
                }
            }
        }
    }

    /// Starts a swap, with a read first if the revision of the base version is unknown.
    pub(super) fn swap_by_revision(&mut self, vm: usize, change: ChangeId, next: Arc<Table>) {
        let view = &self.vms[vm].store;
        let base = next.version - 1;
        match view.stored {
            Some((era, revision, version))
                if version == base && era >= view.era && era == next.era =>
            {
                self.request_store(vm, Request::Write(change, next, (era, revision)));
            }
            _ => self.request_store(vm, Request::ReadRevision(change, next)),
        }
    }

    pub(super) fn write_restored_table(
        &mut self,
        vm: usize,
        change_id: ChangeId,
        stored_version: u64,
        next: Arc<Table>,
    ) {
        match self.vms[vm].store.stored {
            Some((era, revision, version)) if version == stored_version && era == next.era => {
                self.request_store(vm, Request::Restore(change_id, next, (era, revision)));
            }
            _ => {
                let outcome = Outcome::Conflict;
                let process = self.vms[vm].process;
                let event = Event::SwapOutcome { change_id, outcome };
                self.schedule(ms(1), SimEvent::ProcessEvent(vm, process, event));
            }
        }
    }

    /// Sends a call to the store.
    pub(super) fn request_store(&mut self, vm: usize, request: Request) {
        let state = &mut self.vms[vm];
        state.store.calls += 1;
        let (process, id) = (state.process, state.store.calls);
        state.store.open_calls.insert(id);
        self.platform.calls += 1;
        let timeout = StoreEvent::Timeout(vm, process, id, request.clone());
        self.schedule(self.platform.timeout, SimEvent::Store(timeout));
        if !self.reaches_platform(vm) {
            return;
        }
        let mut delay = self.platform_delay();
        if self.now < self.platform.down_until {
            // A write may be queued on its way and take effect later, even after a restore.
            if !request.is_write() || self.rng.random_bool(0.7) {
                return;
            }
            delay += ms(self.rng.random_range(0..3000));
        }
        let event = StoreEvent::Request(vm, process, id, request);
        self.schedule(delay, SimEvent::Store(event));
    }

    fn execute_request(&mut self, vm: usize, process: u64, id: u64, request: Request) {
        if self.now < self.platform.down_until && !request.is_write() {
            return;
        }
        let table = match &request {
            Request::Write(_, next, (_, expected)) | Request::Restore(_, next, (_, expected)) => {
                self.write(next, *expected)
            }
            _ => Some((self.platform.table.clone(), self.platform.revisions.table)),
        };
        if self.loses_response() || !self.connected(31, vm) {
            return;
        }
        let era = self.platform.revisions.era;
        let event = StoreEvent::Reply(vm, process, id, request, Reply { era, table });
        let delay = self.platform_delay();
        self.schedule(delay, SimEvent::Store(event));
    }

    /// Replaces the table if it has the expected revision.
    fn write(&mut self, next: &Arc<Table>, expected: u64) -> Option<(Arc<Table>, u64)> {
        if expected != self.platform.revisions.table {
            self.platform.conflicts += 1;
            return None;
        }
        self.platform.writes += 1;
        let stored = &self.platform.table;
        // A write on a revision that was reused replaces a table that its author has never seen.
        let latest = stored.recent_changes.last();
        let follows = latest.is_none_or(|id| next.recent_changes.contains(id));
        let transition = match follows || next.era > stored.era {
            true => checker::check_transition(stored, next),
            false => Ok(()),
        };
        if let Err(violation) = checker::check_table(next).and(transition) {
            self.record_violation(format!("platform: {violation}"));
        }
        self.check_codec(next);
        self.platform.table = next.clone();
        let revisions = &mut self.platform.revisions;
        revisions.current += 1;
        revisions.table = revisions.current;
        self.record_copy();
        for vm in 0..self.vms.len() {
            if self.vms[vm].watches_platform && !self.loses_response() && self.connected(31, vm) {
                let delay = self.platform_delay();
                self.schedule(delay, SimEvent::Store(StoreEvent::Watch(vm)));
            }
        }
        Some((next.clone(), self.platform.revisions.table))
    }

    fn record_copy(&mut self) {
        let (revisions, now) = (&mut self.platform.revisions, self.now);
        revisions.copies.push(Copy {
            since: now,
            current: revisions.current,
            table_revision: revisions.table,
            table: self.platform.table.clone(),
        });
    }

    /// Takes the store down for a time, after which it is restored from a backup of `age` before
    /// now.
    pub(super) fn restore_store(&mut self, age: Duration, down: Duration) {
        self.platform.down_until = self.platform.down_until.max(self.now + down);
        let at = self.now.saturating_sub(age);
        let copies = &self.platform.revisions.copies;
        let copy = copies.iter().rev().find(|copy| copy.since <= at).cloned();
        let event = StoreEvent::Restored(copy.unwrap_or_default());
        self.schedule(down, SimEvent::Store(event));
    }

    fn bring_back(&mut self, copy: Copy) {
        // What others wrote to the store is written again.
        let rewritten = self.rng.random_range(0..3);
        let revisions = &mut self.platform.revisions;
        revisions.era += 1;
        revisions.current = copy.current + rewritten;
        revisions.table = copy.table_revision;
        self.platform.table = copy.table;
        self.record_copy();
        for vm in 0..self.vms.len() {
            if self.rng.random_bool(0.7) {
                let delay = ms(self.rng.random_range(1..500));
                self.schedule(delay, SimEvent::Store(StoreEvent::Watch(vm)));
            }
        }
    }

    /// Returns whether the call is open, and closes it.
    fn closes_call(&mut self, vm: usize, process: u64, id: u64) -> bool {
        self.vms[vm].process == process && self.vms[vm].store.open_calls.remove(&id)
    }

    fn handle_reply(&mut self, vm: usize, request: Request, reply: Reply) {
        let (era, view) = (reply.era, &mut self.vms[vm].store);
        if era > view.era {
            view.era = era;
            let process = self.vms[vm].process;
            let delay = Duration::from_micros(self.rng.random_range(0..2000));
            let event = SimEvent::ProcessEvent(vm, process, Event::StoreEra(era));
            self.schedule(delay, event);
        }
        let view = &mut self.vms[vm].store;
        if let Some((table, revision)) = &reply.table
            && view
                .stored
                .is_none_or(|(e, r, _)| (e, r) <= (era, *revision))
        {
            view.stored = Some((era, *revision, table.version));
        }
        let stored = view.stored;
        match (request, reply.table) {
            (Request::Read(read), Some((table, _))) => {
                let table = Some(table);
                let store_era = era;
                self.deliver(
                    vm,
                    Event::TableRead {
                        read,
                        table,
                        store_era,
                    },
                );
            }
            (Request::Watch, Some((table, _))) => self.deliver(vm, Event::TableReceived(table)),
            (Request::ReadRevision(change, next), Some((table, _))) => match stored {
                Some((era, revision, _))
                    if table.version + 1 == next.version && era == next.era =>
                {
                    self.request_store(vm, Request::Write(change, next, (era, revision)));
                }
                _ => {
                    self.deliver(vm, Event::TableReceived(table));
                    self.report_swap(vm, change, Outcome::Conflict);
                }
            },
            (Request::ReadConflict(change), Some((table, _))) => {
                self.deliver(vm, Event::TableReceived(table));
                self.report_swap(vm, change, Outcome::Conflict);
            }
            (
                Request::Write(change, _, (read_in, _)) | Request::Restore(change, _, (read_in, _)),
                Some(_),
            ) => {
                let outcome = if era == read_in {
                    Outcome::Done
                } else {
                    Outcome::Unknown
                };
                self.report_swap(vm, change, outcome);
            }
            (Request::Write(change, ..), None) => {
                self.request_store(vm, Request::ReadConflict(change));
            }
            (Request::Restore(change, ..), None) => {
                self.report_swap(vm, change, Outcome::Conflict);
            }
            (_, None) => unreachable!("a read has a table"),
        }
    }

    fn handle_timeout(&mut self, vm: usize, request: Request) {
        match request {
            Request::Read(read) => {
                let (table, store_era) = (None, 0);
                self.deliver(
                    vm,
                    Event::TableRead {
                        read,
                        table,
                        store_era,
                    },
                );
            }
            Request::Watch => {}
            Request::ReadRevision(change, _) | Request::ReadConflict(change) => {
                self.report_swap(vm, change, Outcome::Conflict);
            }
            Request::Write(change, ..) | Request::Restore(change, ..) => {
                self.report_swap(vm, change, Outcome::Unknown);
            }
        }
    }

    fn report_swap(&mut self, vm: usize, change_id: ChangeId, outcome: Outcome) {
        self.deliver(vm, Event::SwapOutcome { change_id, outcome });
    }

    /// Checks that the newest table may replace the one before, as a daemon does.
    pub(super) fn check_installed(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let Some(table) = vm.core.as_ref().map(|core| core.table()) else {
            return;
        };
        if Arc::ptr_eq(table, &vm.newest_table) {
            return;
        }
        let before = std::mem::replace(&mut vm.newest_table, table.clone());
        if let Err(violation) = checker::check_transition(&before, &vm.newest_table) {
            self.record_violation(format!("daemon {index}: {violation}"));
        }
    }

    /// Pulls the table from every other session that the process knows, or from the seeds.
    pub(super) fn collect_tables(&mut self, index: usize, version: u64) {
        let vm = &mut self.vms[index];
        let Some(core) = &vm.core else { return };
        let (me, table) = (core.session(), core.table().clone());
        let others = table.sessions.iter().filter(|s| Some(s.id) != me);
        let mut others: BTreeSet<_> = others.map(|s| (s.address, Some(s.id))).collect();
        if others.is_empty() {
            let seeds = self.seeds.iter().filter(|seed| **seed != vm.address);
            others = seeds.map(|seed| (*seed, None)).collect();
        }
        vm.store.calls += 1;
        let (process, id) = (vm.process, vm.store.calls);
        vm.store.collections.push(Collection {
            id,
            version,
            waiting: others.clone(),
            replies: CollectionReplies::AllSessions,
        });
        let is_alone = others.is_empty();
        for (address, session) in others {
            if let Some(&responder) = self.addresses.get(&address)
                && let Some(delay) = self.message_delay(index, responder)
            {
                let event = StoreEvent::Pull(index, process, id, (address, session), responder);
                self.schedule(delay, SimEvent::Store(event));
            }
        }
        let timeout = StoreEvent::CollectionTimeout(index, process, id);
        self.schedule(COLLECTION_TIMEOUT, SimEvent::Store(timeout));
        if is_alone {
            let event = StoreEvent::CollectionTimeout(index, process, id);
            self.schedule(Duration::from_micros(200), SimEvent::Store(event));
        }
    }

    /// Records the reply of the process with a session, or with `None` the time-out of the
    /// collection.
    fn record_pulled(&mut self, vm: usize, id: u64, reply: Option<(Peer, Option<SessionId>)>) {
        let collections = &mut self.vms[vm].store.collections;
        let Some(index) = collections.iter().position(|c| c.id == id) else {
            return;
        };
        let collection = &mut collections[index];
        if let Some((peer, session)) = reply {
            collection.waiting.remove(&peer);
            if peer.1.is_some_and(|asked| session != Some(asked)) {
                let restarted = CollectionReplies::RestartedSession;
                collection.replies = collection.replies.max(restarted);
            }
            if !collection.waiting.is_empty() {
                return;
            }
        }
        let Collection {
            version,
            waiting,
            mut replies,
            ..
        } = collections.swap_remove(index);
        if !waiting.is_empty() {
            replies = CollectionReplies::SilentAddress;
        }
        self.deliver(vm, Event::TablesCollected { version, replies });
    }
}
