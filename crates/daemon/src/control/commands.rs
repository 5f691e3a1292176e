//! Runs operator commands.
//!
//! Draining a target and returning it, evacuating a data centre and readmitting it, and changing a
//! setting are changes of the configuration. Each is accepted by one conditional write, survives the
//! loss of any daemon, and has an author. A move and the confirmation of a loss are changes of the
//! table.

use std::sync::Arc;
use std::time::Duration;

use masticdeal_config::edit;
use masticdeal_ownership::ids::{Epoch, SessionId};
use masticdeal_ownership::lease::Event;
use masticdeal_ownership::table::Table;
use masticdeal_wire::headers::PATH_RELEASE;
use masticdeal_wire::peer::{ConfigValue, MoveReason, Release, ReleaseReply};

use super::Control;
use super::config_store::{Error, Proposal, Result};
use crate::operators::command::{Action, Command, Outcome};

/// Longest wait for the reply of an owner to a release request.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait until the table shows the effect of a command.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(5);

impl Control {
    /// Proposes a configuration and disseminates it once it is accepted.
    pub async fn propose_config(self: &Arc<Self>, proposal: &Proposal) -> Result<ConfigValue> {
        let value = self.config.propose(proposal).await?;
        self.disseminate_config();
        Ok(value)
    }

    /// Runs a command that passed the checks against this daemon's state.
    pub async fn run_command(self: &Arc<Self>, command: &Command, author: &str) -> Outcome {
        match &command.action {
            Action::Drain { session } => self.set_drain(*session, true, author).await,
            Action::Return { session } => self.set_drain(*session, false, author).await,
            Action::Evacuate { data_centre } => self.set_evacuated(data_centre, true, author).await,
            Action::Readmit { data_centre } => self.set_evacuated(data_centre, false, author).await,
            Action::Configure {
                if_revision, text, ..
            } => self.configure(*if_revision, text.clone(), author).await,
            Action::Move { .. } => self.run_move(&command.action, author).await,
            Action::ConfirmLost { session, .. } => self.confirm_lost(*session).await,
        }
    }

    async fn set_drain(self: &Arc<Self>, session: SessionId, drain: bool, author: &str) -> Outcome {
        let Some(vm) = self.vm_name(session) else {
            return refused("its session has ended");
        };
        let names = self.node.deployment.borrow().1.rules.away.clone();
        self.set_listed("away", names, &vm, drain, author).await
    }

    async fn set_evacuated(
        self: &Arc<Self>,
        data_centre: &str,
        evacuated: bool,
        author: &str,
    ) -> Outcome {
        let names = self.node.deployment.borrow().1.rules.evacuated.clone();
        self.set_listed("evacuated", names, data_centre, evacuated, author)
            .await
    }

    /// Adds a name to the list of a rule, or removes it.
    async fn set_listed(
        self: &Arc<Self>,
        key: &str,
        mut names: Vec<String>,
        name: &str,
        listed: bool,
        author: &str,
    ) -> Outcome {
        let current = self.config.current();
        names.retain(|other| other != name);
        if listed {
            names.push(name.into());
        }
        match edit::set(&current.text, edit::RULES_SCOPE, key, &names.join(", ")) {
            Ok((text, _)) => self.configure(current.revision, text, author).await,
            Err(faults) => refused(faults.first().map_or(String::new(), ToString::to_string)),
        }
    }

    fn vm_name(&self, session: SessionId) -> Option<String> {
        let table = self.node.table.borrow();
        table.session(session).map(|s| s.vm.clone())
    }

    async fn configure(
        self: &Arc<Self>,
        expected_revision: u64,
        text: String,
        author: &str,
    ) -> Outcome {
        let proposal = Proposal {
            expected_revision,
            author: author.into(),
            time_ms: super::unix_ms(),
            change_id: rand::random(),
            text,
        };
        match self.propose_config(&proposal).await {
            Ok(value) => Outcome::Done {
                table_version: 0,
                config_revision: value.revision,
            },
            Err(e @ Error::NotWritable) => refused(e.to_string()),
            Err(Error::Conflict(current)) => refused(format!(
                "{} changed the configuration to revision {} at the same time",
                current.author, current.revision
            )),
            Err(Error::Faults(faults)) => {
                refused(faults.first().map_or(String::new(), ToString::to_string))
            }
            Err(e @ Error::Unavailable(_)) => Outcome::Unknown {
                reason: e.to_string(),
            },
        }
    }

    async fn run_move(self: &Arc<Self>, action: &Action, author: &str) -> Outcome {
        let Action::Move {
            service,
            shard,
            key_hash,
            from,
            to,
        } = *action
        else {
            return refused("it is not a move");
        };
        let Some((owner, epoch)) = from else {
            return refused("nobody owns it at the moment");
        };
        if owner == to {
            return refused("it is there already");
        }
        let release = Release {
            service,
            shard,
            key_hash,
            epoch,
            to,
            reason: MoveReason::Operator(author.into()),
            writer: None,
        };
        match self.request_release(owner, release.clone()).await {
            Some(ReleaseReply::Started) => {}
            Some(ReleaseReply::NotOwner) => return refused("its owner changed meanwhile"),
            None => return unknown("its owner does not answer"),
        }
        let is_moved = |table: &Table| {
            let current = owner_and_epoch(table, &release);
            current.is_some_and(|(owner, _)| owner == to)
        };
        self.await_table(is_moved, "running work did not finish in time")
            .await
    }

    /// Asks the owner of a shard or key to release it. Returns `None` when the owner does not
    /// reply.
    pub(super) async fn request_release(
        self: &Arc<Self>,
        owner: SessionId,
        release: Release,
    ) -> Option<ReleaseReply> {
        if Some(owner) == self.session() {
            return Some(self.on_release(release));
        }
        self.call(owner, PATH_RELEASE, &release, RELEASE_TIMEOUT)
            .await
    }

    async fn confirm_lost(self: &Arc<Self>, session: SessionId) -> Outcome {
        let Some(vm) = self.vm_name(session) else {
            return refused("its session has ended already");
        };
        self.handle_event(Event::ConfirmLost { vm });
        let is_ended = move |table: &Table| table.session(session).is_none();
        self.await_table(is_ended, "the table did not change in time")
            .await
    }

    /// Waits until the table shows the effect of a command. Returns [`Outcome::Unknown`] with
    /// `timeout_reason` after [`EFFECT_TIMEOUT`].
    async fn await_table(
        &self,
        has_effect: impl Fn(&Table) -> bool,
        timeout_reason: &str,
    ) -> Outcome {
        let mut table = self.node.table.subscribe();
        let wait = table.wait_for(|table| has_effect(table));
        match tokio::time::timeout(EFFECT_TIMEOUT, wait).await {
            Ok(Ok(table)) => Outcome::Done {
                table_version: table.version,
                config_revision: 0,
            },
            _ => unknown(timeout_reason),
        }
    }
}

/// Returns the owner and the epoch of the shard or key of a release. Returns `None` when it has no
/// owner, or when the key has no override.
fn owner_and_epoch(table: &Table, release: &Release) -> Option<(SessionId, Epoch)> {
    let service = table.service(release.service)?;
    let assignment = match release.key_hash {
        None => service.shards.get(release.shard.index())?,
        Some(hash) => {
            let key_override = service.overrides.iter().find(|o| o.key_hash == hash)?;
            &key_override.assignment
        }
    };
    Some((assignment.owner?, assignment.epoch))
}

fn refused(reason: impl Into<String>) -> Outcome {
    Outcome::Refused {
        reason: reason.into(),
    }
}

fn unknown(reason: impl Into<String>) -> Outcome {
    Outcome::Unknown {
        reason: reason.into(),
    }
}
