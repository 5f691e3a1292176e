//! Stand-ins for the platform and the targets, load tool, measurements and failure runs.
//!
//! The stand-ins implement exactly the protocols of the design page, so that a daemon cannot
//! distinguish them from the real services. Callers and targets write [`records`] as JSON lines;
//! [`check`] compares them after a run.

pub mod check;
pub mod fleet;
pub mod http1;
pub mod layout;
pub mod load;
pub mod measure;
pub mod observer;
pub mod operator_client;
pub mod payload;
pub mod plan;
pub mod platform;
pub mod records;
pub mod relay;
pub mod store;
pub mod target;
pub mod vm;
