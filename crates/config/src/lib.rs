//! Deployment configuration: services, the keys they own, and rules of spread.

pub mod deployment;
pub mod settings;
