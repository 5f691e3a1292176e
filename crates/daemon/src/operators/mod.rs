//! Answers to operators' questions, and checks of their commands.
//!
//! - [`state_view`]: borrowed view of the daemon's state.
//! - [`journal`]: bounded journal of decisions and their causes.
//! - [`from_delta`]: journal entries of a delta.
//! - [`installed`]: journal entries of a table or configuration that was installed as a whole.
//! - [`answer`]: evaluates a sentence to an answer or a command.
//! - [`command`]: checked commands and their outcomes.
//! - [`data`]: answers as values, which are serialised to JSON.
//! - `text`: answers as text of at most two sentences.
//! - [`subject`]: the key or shard that "it" refers to.
//!
//! Invariant: nothing here performs I/O or reads a clock, and evaluating a sentence changes no
//! state. The state may have changed when the control plane runs a checked command, so an action
//! contains the epoch or revision that it was checked against.

pub mod answer;
pub mod command;
pub mod data;
pub mod evacuation;
pub mod from_delta;
pub mod installed;
pub mod journal;
pub mod state_view;
pub mod subject;
mod text;
