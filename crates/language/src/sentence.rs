//! Syntax tree of a sentence, and its text.

use std::fmt::{Display, Formatter};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Reference to the subject of a question or command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum SubjectRef {
    /// Key of a service.
    Key {
        /// Name of the service.
        service: String,
        /// The key, not empty and without control characters.
        key: String,
    },
    /// Shard of a service.
    Shard {
        /// Name of the service.
        service: String,
        /// Index of the shard.
        shard: u32,
    },
    /// Subject of the previous answer.
    It,
}

/// Setting of the deployment configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setting {
    /// Name of a service, or `rules`.
    pub scope: String,
    /// Key in the configuration text.
    pub key: String,
}

/// Question or command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "sentence")]
pub enum Sentence {
    /// Which VM owns a key or shard.
    Who {
        /// The key or shard.
        #[serde(rename = "thing")]
        subject: SubjectRef,
    },
    /// What a VM owns.
    What {
        /// Name of the VM.
        vm: String,
    },
    /// Why a VM owns a key or shard.
    Why {
        /// Name of the VM.
        vm: String,
        /// The key or shard.
        #[serde(rename = "thing")]
        subject: SubjectRef,
    },
    /// Why a VM is out of service.
    WhyAway {
        /// Name of the VM.
        vm: String,
    },
    /// All services.
    ShowServices,
    /// Targets, of one service or of all.
    ShowTargets {
        /// Name of the service.
        service: Option<String>,
    },
    /// Load of the targets, of one service or of all.
    ShowLoad {
        /// Name of the service.
        service: Option<String>,
    },
    /// Cold targets, of one service or of all.
    ShowCold {
        /// Name of the service.
        service: Option<String>,
    },
    /// Latest decisions.
    ShowChanges {
        /// Maximum age, if the age is limited.
        since: Option<Duration>,
    },
    /// Current configuration.
    ShowConfig,
    /// Evacuated data centres.
    ShowEvacuations,
    /// Learned time limits of callers.
    ShowLimits,
    /// Help on the language.
    Help,
    /// Takes a target out of service.
    Drain {
        /// Name of the target's VM.
        vm: String,
    },
    /// Takes a drained target back into service.
    Return {
        /// Name of the target's VM.
        vm: String,
    },
    /// Sends no more requests to the targets of a data centre.
    Evacuate {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Takes the targets of an evacuated data centre back into service.
    Readmit {
        /// Name of the data centre.
        data_centre: String,
    },
    /// Gives a key or shard to another VM.
    Move {
        /// The key or shard.
        #[serde(rename = "thing")]
        subject: SubjectRef,
        /// Name of the VM.
        to: String,
    },
    /// Changes one setting of the configuration.
    Set {
        /// The setting.
        setting: Setting,
        /// Value, as in the configuration text.
        value: String,
    },
    /// Confirms that a VM is permanently lost, which allows its session to be ended.
    ConfirmLost {
        /// Name of the VM.
        vm: String,
    },
}

impl Sentence {
    /// Returns whether the sentence is a command, which may change something, and not a question.
    pub fn is_command(&self) -> bool {
        matches!(
            self,
            Self::Drain { .. }
                | Self::Return { .. }
                | Self::Evacuate { .. }
                | Self::Readmit { .. }
                | Self::Move { .. }
                | Self::Set { .. }
                | Self::ConfirmLost { .. }
        )
    }
}

impl Display for Sentence {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Who { subject } => write!(f, "who owns {subject}"),
            Self::What { vm } => write!(f, "what does {vm} own"),
            Self::Why { vm, subject } => write!(f, "why does {vm} own {subject}"),
            Self::WhyAway { vm } => write!(f, "why is {vm} away"),
            Self::ShowServices => f.write_str("show services"),
            Self::ShowTargets { service } => write_show(f, "targets", service.as_deref()),
            Self::ShowLoad { service } => write_show(f, "load", service.as_deref()),
            Self::ShowCold { service } => write_show(f, "cold", service.as_deref()),
            Self::ShowChanges { since: None } => f.write_str("show changes"),
            Self::ShowChanges { since: Some(since) } => {
                write!(f, "show changes since {}", format_span(*since))
            }
            Self::ShowConfig => f.write_str("show config"),
            Self::ShowEvacuations => f.write_str("show evacuations"),
            Self::ShowLimits => f.write_str("show limits"),
            Self::Help => f.write_str("help"),
            Self::Drain { vm } => write!(f, "drain {vm}"),
            Self::Return { vm } => write!(f, "return {vm}"),
            Self::Evacuate { data_centre } => write!(f, "evacuate {data_centre}"),
            Self::Readmit { data_centre } => write!(f, "readmit {data_centre}"),
            Self::Move { subject, to } => write!(f, "move {subject} to {to}"),
            Self::Set { setting, value } => {
                write!(f, "set {}.{} {value}", setting.scope, setting.key)
            }
            Self::ConfirmLost { vm } => write!(f, "confirm lost {vm}"),
        }
    }
}

fn write_show(f: &mut Formatter<'_>, topic: &str, service: Option<&str>) -> std::fmt::Result {
    match service {
        None => write!(f, "show {topic}"),
        Some(service) => write!(f, "show {topic} of {service}"),
    }
}

/// Formats a duration in the largest unit that divides it. Fractions of a second are dropped.
fn format_span(duration: Duration) -> String {
    let seconds = duration.as_secs();
    let units = [(86_400, 'd'), (3_600, 'h'), (60, 'm')];
    match units
        .iter()
        .find(|(length, _)| seconds > 0 && seconds.is_multiple_of(*length))
    {
        Some((length, unit)) => format!("{}{unit}", seconds / length),
        None => format!("{seconds}s"),
    }
}

impl Display for SubjectRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Key { service, key } => write!(f, "{service} key {}", KeyText(key)),
            Self::Shard { service, shard } => write!(f, "{service} shard {shard}"),
            Self::It => f.write_str("it"),
        }
    }
}

/// Key, in quotes if it might not parse as a single word.
struct KeyText<'a>(&'a str);

impl Display for KeyText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let special = |c: char| c.is_whitespace() || matches!(c, '"' | '\\' | '?');
        if !self.0.is_empty() && !self.0.contains(special) {
            return f.write_str(self.0);
        }
        let escaped = self.0.replace('\\', "\\\\").replace('"', "\\\"");
        write!(f, "\"{escaped}\"")
    }
}
