//! Writes changes of the deployment configuration and installs those written by other daemons.
//!
//! The configuration is one value in the platform's store. A change is accepted by one
//! compare-and-swap of that value.
//!
//! The store may be restored from a backup and lose accepted changes. A daemon that has the newest
//! of them in force writes it back, so that later changes are based on it.
//!
//! Invariant: the revision that this daemon publishes never decreases.

use std::cmp::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use masticdeal_config::deployment::{Deployment, NUMERIC_KEY_SHARDS, numeric_key_shards};
use masticdeal_config::diff;
use masticdeal_config::fault::Fault;
use masticdeal_platform::{Client, Position, SwapOutcome, Value};
use masticdeal_wire::peer::{ConfigUpdate, ConfigValue};
use masticdeal_wire::text_delta;

use super::config_history::ConfigHistory;
use crate::node::Node;
use crate::protocol::DecodeResult;

/// Maximum number of attempts at one change while its outcome is unresolved, for example because
/// the platform's replies are lost or late.
const MAX_ATTEMPTS: u32 = 20;

/// Maximum number of ids of earlier changes that a configuration contains. An author whose reply
/// was lost retries with the same id and finds it among them if the change was accepted.
const MAX_RECENT_CHANGE_IDS: usize = 32;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A change that an operator proposes.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Revision of the configuration that the change is based on.
    pub expected_revision: u64,
    /// Operator who proposes the change.
    pub author: String,
    /// Unix time of the proposal in milliseconds.
    pub time_ms: u64,
    /// Id of the change; a retry uses the same id.
    pub change_id: u64,
    /// New INI text.
    pub text: String,
}

/// Error of proposing a change.
#[derive(Debug, Display)]
pub enum Error {
    /// the configuration has faults
    Faults(Vec<Fault>),
    /// the configuration is written by other means than this daemon
    NotWritable,
    /// the configuration was changed meanwhile
    Conflict(ConfigValue),
    /// the platform's service does not answer: {0}; the change may or may not be accepted, try again with the same change id
    Unavailable(String),
}

impl std::error::Error for Error {}

/// cannot read the configuration from the platform's store: {0}
#[derive(Debug, Display)]
pub struct ReadError(String);

impl std::error::Error for ReadError {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Installed configuration of this daemon, and access to the stored one.
pub struct ConfigStore {
    node: Arc<Node>,
    platform: Client,
    current: Mutex<Installed>,
}

/// The installed configuration and the differences that led to it.
#[derive(Debug, Default)]
struct Installed {
    value: ConfigValue,
    /// Digest of the text.
    digest: u64,
    history: ConfigHistory,
}

/// Result of applying an update from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The configuration was installed.
    Installed,
    /// The installed configuration is as new, or the new one was ignored because it is malformed.
    Ignored,
    /// The update is newer, but based on a text that this daemon does not have.
    OtherBase,
}

impl ConfigStore {
    /// Creates a store without a configuration.
    pub fn new(node: Arc<Node>, platform: Client) -> Self {
        Self {
            node,
            platform,
            current: Mutex::new(Installed {
                digest: text_delta::digest(""),
                ..Installed::default()
            }),
        }
    }

    /// Returns the installed configuration; revision 0 when there is none yet.
    pub fn current(&self) -> ConfigValue {
        self.current.lock().unwrap().value.clone()
    }

    /// Returns the revision of the installed configuration, or 0.
    pub fn revision(&self) -> u64 {
        self.current.lock().unwrap().value.revision
    }

    /// Returns the digest of the text of the installed configuration.
    pub fn digest(&self) -> u64 {
        self.current.lock().unwrap().digest
    }

    /// Returns the update from the configuration that was installed before the current one.
    pub fn last_update(&self) -> ConfigUpdate {
        let current = self.current.lock().unwrap();
        ConfigUpdate {
            head: head(&current.value),
            deltas: current.history.last(),
        }
    }

    /// Returns the update for a daemon with a configuration of `revision` whose text has the digest
    /// `base`; `None` if that is as new.
    pub fn update_since(&self, revision: u64, base: u64) -> Option<ConfigUpdate> {
        let current = &mut *self.current.lock().unwrap();
        (current.value.revision > revision).then(|| ConfigUpdate {
            head: head(&current.value),
            deltas: current.history.since(base, &current.value.text),
        })
    }

    /// Installs the configuration of an update from a peer if it is newer than the current one.
    pub fn apply(&self, update: &ConfigUpdate) -> Applied {
        let applied = {
            let current = self.current.lock().unwrap();
            if update.head.revision <= current.value.revision {
                return Applied::Ignored;
            }
            update.apply(&current.value.text)
        };
        match applied {
            Ok(value) if self.install(&value) => Applied::Installed,
            Ok(_) => Applied::Ignored,
            Err(text_delta::Error::OtherBase) => Applied::OtherBase,
            Err(e) => {
                log::error!(revision = update.head.revision; "ignoring a configuration of a peer: {e}");
                Applied::Ignored
            }
        }
    }

    /// Installs a configuration if it is newer than the current one. Returns whether it was
    /// installed.
    ///
    /// A text that does not parse is ignored, so that a value written by another program never
    /// replaces a valid one.
    pub fn install(&self, value: &ConfigValue) -> bool {
        self.install_if(value, |current| current.revision < value.revision)
    }

    /// Installs a configuration from the store if it has the revision of the current one but another
    /// text: operators may give out a revision again that the store had lost. Returns whether it was
    /// installed, which is never the case if daemons write the configuration.
    pub fn install_rewritten(&self, value: &ConfigValue) -> bool {
        let is_rewritten = |current: &ConfigValue| {
            current.revision == value.revision && current.text != value.text
        };
        !self.node.protocol.config.writable && self.install_if(value, is_rewritten)
    }

    fn install_if(&self, value: &ConfigValue, replaces: impl FnOnce(&ConfigValue) -> bool) -> bool {
        let current = &mut *self.current.lock().unwrap();
        if !replaces(&current.value) {
            return false;
        }
        let deployment = match (self.node.protocol.config.parse)(&value.text) {
            Ok(deployment) => self.with_fine_shards(deployment),
            Err(faults) => {
                log::error!(
                    "ignoring configuration revision {} with {} faults",
                    value.revision,
                    faults.len()
                );
                return false;
            }
        };
        current.history.record(&current.value.text, &value.text);
        current.value = value.clone();
        current.digest = text_delta::digest(&value.text);
        let published = (value.revision, Arc::new(deployment));
        self.node.deployment.send_replace(published);
        log::info!(
            "configuration revision {} of {} is in force",
            value.revision,
            value.author
        );
        true
    }

    /// Divides the services with numeric keys as finely as the platform's store allows, unless daemons
    /// write the configuration, which then names the numbers of shards.
    fn with_fine_shards(&self, mut deployment: Deployment) -> Deployment {
        if self.node.protocol.config.writable {
            return deployment;
        }
        let shards = numeric_key_shards(self.node.settings.platform.writes_per_s);
        for service in &mut deployment.services {
            if service.has_numeric_keys() && service.shards > 0 {
                service.shards = shards;
            }
        }
        let planned = deployment.rules.moves_per_round as u32 * shards / NUMERIC_KEY_SHARDS;
        deployment.rules.moves_per_round = planned as usize;
        deployment
    }

    /// Reads the configuration from the platform's store.
    ///
    /// # Errors
    ///
    /// [`ReadError`] when the store does not answer or its value cannot be decoded.
    pub async fn read(&self) -> Result<StoredConfig, ReadError> {
        let read = self.platform.read(self.node.protocol.config.key).await;
        let read = read.map_err(|e| ReadError(e.to_string()))?;
        let (revision, value) = match read.value {
            None => (0, ConfigValue::default()),
            Some(stored) => (stored.revision, self.decode(&stored).map_err(ReadError)?),
        };
        Ok(StoredConfig {
            position: Position::new(read.era, revision),
            value,
        })
    }

    /// Decodes a value from the platform's store.
    ///
    /// # Errors
    ///
    /// A description of what is malformed.
    pub fn decode(&self, stored: &Value) -> DecodeResult<ConfigValue> {
        (self.node.protocol.config.decode)(&stored.bytes)
    }

    /// Writes a proposed change.
    ///
    /// After a write without a reply, the value is read back. While the stored revision is still
    /// the expected one, that write may yet take effect, so the change is written again with the
    /// same change id; the compare-and-swap applies only one of the two writes.
    ///
    /// # Errors
    ///
    /// With [`Error::Unavailable`] the change may have been accepted. With any other [`Error`] it
    /// was not.
    pub async fn propose(&self, proposal: &Proposal) -> Result<ConfigValue> {
        if !self.node.protocol.config.writable {
            return Err(Error::NotWritable);
        }
        let deployment = Deployment::parse(&proposal.text).map_err(Error::Faults)?;
        let mut last_reason = String::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt_change(proposal, &deployment).await {
                Attempt::Accepted(value) => return Ok(value),
                Attempt::Rejected(e) => return Err(e),
                Attempt::Unresolved(reason) => last_reason = reason,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Error::Unavailable(last_reason))
    }

    /// Writes the installed configuration back if the store lost it. Does nothing if operators write
    /// the configuration by other means.
    pub async fn write_back(&self) {
        if !self.node.protocol.config.writable || self.revision() == 0 {
            return;
        }
        for _ in 0..MAX_ATTEMPTS {
            match self.read().await {
                Ok(stored) if self.replace_if_lost(&stored).await => return,
                Ok(_) => {}
                Err(e) => log::warn!("{e}"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether the store lost the installed configuration and this daemon may write it back.
    pub fn is_lost(&self, stored: &ConfigValue) -> bool {
        self.node.protocol.config.writable && self.replacement_for(stored).is_some()
    }

    /// Installs the stored configuration if it is newer, or replaces it if the store lost the
    /// installed one. Returns `false` if it was to be replaced, and must be read again.
    async fn replace_if_lost(&self, stored: &StoredConfig) -> bool {
        let Some(next) = self.replacement_for(&stored.value) else {
            self.install(&stored.value);
            return true;
        };
        let bytes = match encode(&next) {
            Ok(bytes) => bytes,
            Err(reason) => {
                log::error!("cannot encode the configuration: {reason}");
                return false;
            }
        };
        let key = self.node.protocol.config.key;
        let outcome = self.platform.swap(key, stored.position, bytes, None).await;
        log::warn!(stored = stored.value.revision, revision = next.revision, outcome:?;
            "wrote the configuration back to the platform store, which had lost it");
        if matches!(outcome, SwapOutcome::Applied { .. }) {
            self.log_dropped_change(&next);
            self.install(&next);
        }
        false
    }

    /// Logs the installed change if `next` replaces it by another one of the same revision.
    fn log_dropped_change(&self, next: &ConfigValue) {
        let installed = self.current();
        if next.change_id != installed.change_id {
            log::error!(revision = installed.revision, author = installed.author.as_str(),
                change_id = installed.change_id, kept_change_id = next.change_id;
                "dropped an accepted configuration: another one was accepted as the same revision");
        }
    }

    /// Returns the configuration to write if the store lost the installed one.
    fn replacement_for(&self, stored: &ConfigValue) -> Option<ConfigValue> {
        let installed = self.current();
        match stored.revision.cmp(&installed.revision) {
            Ordering::Less => Some(installed),
            // Both were accepted. The stored one gets a new revision, so that it also replaces the
            // other one on the daemons that have that in force.
            Ordering::Equal if stored.change_id != installed.change_id => Some(ConfigValue {
                revision: stored.revision + 1,
                ..stored.clone()
            }),
            Ordering::Equal | Ordering::Greater => None,
        }
    }

    async fn attempt_change(&self, proposal: &Proposal, deployment: &Deployment) -> Attempt {
        let stored = match self.read().await {
            Ok(stored) => stored,
            Err(e) => return Attempt::Unresolved(e.to_string()),
        };
        if !self.replace_if_lost(&stored).await {
            return Attempt::Unresolved("the store had lost an accepted configuration".into());
        }
        let current = stored.value;
        if current.change_id == proposal.change_id || current.recent.contains(&proposal.change_id) {
            return Attempt::Accepted(current);
        }
        if current.revision != proposal.expected_revision {
            return Attempt::Rejected(Error::Conflict(current));
        }
        if let Err(faults) = check_change(&current.text, deployment) {
            return Attempt::Rejected(Error::Faults(faults));
        }
        let value = next_value(&current, proposal);
        let bytes = match encode(&value) {
            Ok(bytes) => bytes,
            Err(reason) => return Attempt::Unresolved(reason),
        };
        match self
            .platform
            .swap(self.node.protocol.config.key, stored.position, bytes, None)
            .await
        {
            SwapOutcome::Applied { .. } => {
                self.install(&value);
                Attempt::Accepted(value)
            }
            SwapOutcome::Conflict(revision) => {
                Attempt::Unresolved(format!("the value changed to revision {revision}"))
            }
            SwapOutcome::Unknown(e) => Attempt::Unresolved(e.to_string()),
        }
    }
}

/// Stored configuration.
#[derive(Debug)]
pub struct StoredConfig {
    /// The platform's revision of the key, 0 when no configuration is stored, and the store's era.
    pub position: Position,
    /// The configuration.
    pub value: ConfigValue,
}

/// Outcome of one attempt at a change.
enum Attempt {
    Accepted(ConfigValue),
    Rejected(Error),
    /// A read or write failed, or the outcome of the write is unknown; contains the reason.
    Unresolved(String),
}

/// Returns a configuration without its text.
fn head(value: &ConfigValue) -> ConfigValue {
    ConfigValue {
        revision: value.revision,
        author: value.author.clone(),
        time_ms: value.time_ms,
        change_id: value.change_id,
        recent: value.recent.clone(),
        text: String::new(),
    }
}

fn next_value(current: &ConfigValue, proposal: &Proposal) -> ConfigValue {
    let mut recent = current.recent.clone();
    if current.revision > 0 {
        recent.push(current.change_id);
    }
    let excess = recent.len().saturating_sub(MAX_RECENT_CHANGE_IDS);
    recent.drain(..excess);
    ConfigValue {
        revision: current.revision + 1,
        author: proposal.author.clone(),
        time_ms: proposal.time_ms,
        change_id: proposal.change_id,
        recent,
        text: proposal.text.clone(),
    }
}

fn check_change(current: &str, new: &Deployment) -> Result<(), Vec<Fault>> {
    match Deployment::parse(current) {
        Ok(old) => diff::check_change(&old, new).map(drop),
        // No configuration is stored yet, or the stored one is invalid.
        Err(_) => Ok(()),
    }
}

fn encode(value: &ConfigValue) -> Result<Bytes, String> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|e| e.to_string())
}
