//! Collects the tables of all daemons, and writes the restored table, after the platform's store
//! was restored from a backup.

use std::sync::Arc;

use futures_util::future::join_all;
use masticdeal_ownership::ids::ChangeId;
use masticdeal_ownership::lease::{CollectionReplies, Event, Outcome};
use masticdeal_ownership::table::Table;
use masticdeal_wire::peer::Update;

use super::Control;
use super::table_store::SwapResult;

impl Control {
    /// Pulls updates from every other session in the table, or from the seeds if it has none, and
    /// reports the end of the collection to the lease core. `version` identifies the collection.
    pub(super) async fn collect_tables(self: Arc<Self>, version: u64) {
        let me = self.session();
        let table = self.node.table.borrow().clone();
        let others = table.sessions.iter().map(|s| s.id);
        let others = others.filter(|id| Some(*id) != me);
        let replies = join_all(others.map(|session| self.pull_and_apply(session))).await;
        let sessions = replies.len();
        let replies = match replies.into_iter().max() {
            Some(last) => last,
            None => self.pull_from_seeds().await,
        };
        log::info!(table = version, sessions, replies:?;
            "collected the tables of other daemons");
        self.handle_event(Event::TablesCollected { version, replies });
    }

    async fn pull_from_seeds(self: &Arc<Self>) -> CollectionReplies {
        let settings = &self.node.settings;
        let own_address = settings.listen.peer_address();
        let seeds = settings.daemon.seeds.iter();
        let others = seeds.filter(|seed| **seed != own_address);
        let replied = join_all(others.map(|seed| self.pull_from_seed(*seed))).await;
        match replied.into_iter().all(|replied| replied) {
            true => CollectionReplies::AllSessions,
            false => CollectionReplies::SilentAddress,
        }
    }

    /// Writes the restored table and disseminates it.
    pub(super) async fn restore_table(
        self: Arc<Self>,
        (change_id, stored_version, next): (ChangeId, u64, Arc<Table>),
    ) {
        let outcome = match self.tables.restore(&next, stored_version).await {
            SwapResult::Done => Outcome::Done,
            SwapResult::Conflict(_) => Outcome::Conflict,
            SwapResult::Unknown => Outcome::Unknown,
        };
        log::info!(era = next.era, table = next.version, stored = stored_version, outcome:?;
            "wrote the table back to the restored platform store");
        self.handle_event(Event::SwapOutcome { change_id, outcome });
        if outcome == Outcome::Done {
            self.disseminate(Update {
                origin: self.session(),
                table: Some((*next).clone()),
                ..Update::default()
            });
        }
    }
}
