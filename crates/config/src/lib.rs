//! Settings of one daemon, and the deployment configuration that operators declare: services, the
//! keys they own, and rules of spread.
//!
//! Both are INI texts. A reader checks the whole text and returns every fault at once, each with
//! its place; a text with a fault yields no value, so nothing runs on half of a configuration.
//! Values of the section `[secret]` never appear in a fault.

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

/// Result of the readers: the value, or every fault of the text.
pub type Result<T, E = Vec<Fault>> = std::result::Result<T, E>;
