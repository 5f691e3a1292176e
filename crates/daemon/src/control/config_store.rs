//! The deployment configuration: accepting a change, and learning one that was accepted elsewhere.
//!
//! The configuration is one value in the platform's service. A change is accepted by one
//! compare-and-swap of that value.
//!
//! Invariant: the revision that this daemon publishes only rises.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff;
use masticdeal_config::fault::Fault;
use masticdeal_platform::{Client, SwapOutcome, Value};
use masticdeal_wire::peer::ConfigValue;

use crate::node::Node;

/// Tries of one change while the platform's answers are lost or late.
const MAX_ATTEMPTS: u32 = 20;

/// Change ids that a configuration remembers for authors who lost the answer.
const MAX_RECENT_CHANGE_IDS: usize = 32;

/// Pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A change that an operator proposes.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Revision of the configuration that the change was made from.
    pub expect: u64,
    /// Who proposes it.
    pub author: String,
    /// Unix time in milliseconds.
    pub time_ms: u64,
    /// Names the attempt; the same number is used when the operator tries again.
    pub change_id: u64,
    /// The new INI text.
    pub text: String,
}

/// Why a change is not accepted.
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

/// the configuration cannot be read: {0}
#[derive(Debug, Display)]
pub struct ReadError(String);

impl std::error::Error for ReadError {}

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Holds the newest configuration that this daemon knows.
pub struct ConfigStore {
    node: Arc<Node>,
    platform: Client,
    current: Mutex<ConfigValue>,
}

impl ConfigStore {
    /// Makes a store that knows no configuration yet.
    pub fn new(node: Arc<Node>, platform: Client) -> Self {
        Self {
            node,
            platform,
            current: Mutex::default(),
        }
    }

    /// Returns the newest configuration; revision 0 when there is none yet.
    pub fn current(&self) -> ConfigValue {
        self.current.lock().unwrap().clone()
    }

    /// Takes over a configuration that was accepted elsewhere. Returns whether it is newer.
    ///
    /// A text that does not parse is refused here as well, so that a value written by another
    /// program never replaces one that works.
    pub fn install(&self, value: &ConfigValue) -> bool {
        let mut current = self.current.lock().unwrap();
        if value.revision <= current.revision {
            return false;
        }
        let deployment = match (self.node.protocol.config.parse)(&value.text) {
            Ok(deployment) => deployment,
            Err(faults) => {
                log::error!(
                    "configuration revision {} has {} faults and is not used",
                    value.revision,
                    faults.len()
                );
                return false;
            }
        };
        *current = value.clone();
        let published = (value.revision, Arc::new(deployment));
        self.node.deployment.send_replace(published);
        log::info!(
            "configuration revision {} of {} is in force",
            value.revision,
            value.author
        );
        true
    }

    /// Reads the configuration from the platform's service. Returns whether it is newer.
    ///
    /// # Errors
    ///
    /// [`ReadError`] when the service does not answer.
    pub async fn refresh(&self) -> Result<bool, ReadError> {
        let stored = self.read().await.map_err(ReadError)?;
        Ok(self.install(&stored.value))
    }

    /// Takes over a value that a watch returned. Returns whether it is newer.
    pub fn install_stored(&self, stored: &Value) -> bool {
        match (self.node.protocol.config.decode)(&stored.bytes) {
            Ok(value) => self.install(&value),
            Err(e) => {
                log::error!("stored configuration cannot be read: {e}");
                false
            }
        }
    }

    /// Has a change accepted.
    ///
    /// After a lost answer the value is read back, and written again with the same change id while
    /// the revision still stands at the expected one: until it has risen, the lost write may yet
    /// take effect.
    ///
    /// # Errors
    ///
    /// [`Error::Faults`] and [`Error::Conflict`] mean that the change is not accepted;
    /// [`Error::Unavailable`] leaves it open.
    pub async fn propose(&self, proposal: &Proposal) -> Result<ConfigValue> {
        if !self.node.protocol.config.writable {
            return Err(Error::NotWritable);
        }
        let deployment = Deployment::parse(&proposal.text).map_err(Error::Faults)?;
        let mut last = String::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(proposal, &deployment).await {
                Attempt::Accepted(value) => return Ok(value),
                Attempt::Rejected(e) => return Err(e),
                Attempt::Unresolved(why) => last = why,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(Error::Unavailable(last))
    }

    async fn attempt(&self, proposal: &Proposal, deployment: &Deployment) -> Attempt {
        let stored = match self.read().await {
            Ok(stored) => stored,
            Err(why) => return Attempt::Unresolved(why),
        };
        let known = stored.value;
        self.install(&known);
        if known.change_id == proposal.change_id || known.recent.contains(&proposal.change_id) {
            return Attempt::Accepted(known);
        }
        if known.revision != proposal.expect {
            return Attempt::Rejected(Error::Conflict(known));
        }
        if let Err(faults) = check_change(&known.text, deployment) {
            return Attempt::Rejected(Error::Faults(faults));
        }
        let value = next_value(&known, proposal);
        let bytes = match encode(&value) {
            Ok(bytes) => bytes,
            Err(why) => return Attempt::Unresolved(why),
        };
        match self
            .platform
            .swap(self.node.protocol.config.key, stored.revision, bytes, None)
            .await
        {
            SwapOutcome::Applied(_) => {
                self.install(&value);
                Attempt::Accepted(value)
            }
            SwapOutcome::Conflict(at) => {
                Attempt::Unresolved(format!("the value changed to revision {at}"))
            }
            SwapOutcome::Unknown(e) => Attempt::Unresolved(e.to_string()),
        }
    }

    async fn read(&self) -> Result<StoredConfig, String> {
        let found = self.platform.get(self.node.protocol.config.key).await;
        match found.map_err(|e| e.to_string())? {
            None => Ok(StoredConfig::default()),
            Some(Value { revision, bytes }) => Ok(StoredConfig {
                revision,
                value: (self.node.protocol.config.decode)(&bytes)?,
            }),
        }
    }
}

/// The value in the platform's service with the platform's revision of it.
#[derive(Debug, Default)]
struct StoredConfig {
    revision: u64,
    value: ConfigValue,
}

/// Outcome of one try.
enum Attempt {
    Accepted(ConfigValue),
    Rejected(Error),
    Unresolved(String),
}

fn next_value(known: &ConfigValue, proposal: &Proposal) -> ConfigValue {
    let mut recent = known.recent.clone();
    if known.revision > 0 {
        recent.push(known.change_id);
    }
    let excess = recent.len().saturating_sub(MAX_RECENT_CHANGE_IDS);
    recent.drain(..excess);
    ConfigValue {
        revision: known.revision + 1,
        author: proposal.author.clone(),
        time_ms: proposal.time_ms,
        change_id: proposal.change_id,
        recent,
        text: proposal.text.clone(),
    }
}

fn check_change(known: &str, new: &Deployment) -> Result<(), Vec<Fault>> {
    match Deployment::parse(known) {
        Ok(old) => diff::check_change(&old, new).map(drop),
        // There is no configuration yet, or none that could be in force.
        Err(_) => Ok(()),
    }
}

fn encode(value: &ConfigValue) -> Result<Bytes, String> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|e| e.to_string())
}
