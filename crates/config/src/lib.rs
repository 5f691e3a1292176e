//! Settings of one daemon, and the deployment configuration that operators declare: services, their
//! request keys and shards, and rules for all services.
//!
//! Both are INI texts. A parser checks the whole text and returns its faults together (at most
//! [`fault::MAX_FAULTS`]), each with its line, section and key. A text with a fault yields no
//! value, so a daemon never runs on a partial configuration. Values of the section `[secret]` never
//! appear in a fault.

pub mod deployment;
pub mod diff;
pub mod edit;
pub mod fault;
pub mod settings;

mod canonical;
mod deployment_parser;
mod ini_text;
mod routing;
mod section_reader;
mod settings_parser;

pub use fault::{Fault, FaultKind};
pub use ini_text::MAX_TEXT_BYTES;

/// Result of the parsers and checks, with the faults as the default error.
pub type Result<T, E = Vec<Fault>> = std::result::Result<T, E>;
