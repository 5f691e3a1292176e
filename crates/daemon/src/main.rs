//! The masticdeal daemon: one process beside each target.

// The parts are wired together as they land.
#![allow(dead_code)]

mod clock;
mod node;

fn main() {}
