//! Answers to operators, as pure functions of what a daemon knows.
//!
//! - [`state_view`]: borrowed view of the daemon's state.
//! - [`journal`]: decisions with their causes, in bounded memory.
//! - [`from_delta`]: journal entries of an accepted swap.
//! - [`installed`]: journal entries of a whole table or configuration.
//! - [`answer`]: from a sentence to an answer or a command.
//! - [`command`]: checked commands, which the control plane runs.
//! - [`data`]: answers as values, with their text of at most two sentences.
//! - [`subject`]: what "it" refers to, carried by the tool in a header.
//!
//! Invariant: nothing here performs I/O, reads a clock or changes state. A command that reaches
//! the control plane was possible on the facts; the control plane checks it again on its own.

pub mod answer;
pub mod command;
pub mod data;
pub mod from_delta;
pub mod installed;
pub mod journal;
pub mod state_view;
pub mod subject;
mod text;
