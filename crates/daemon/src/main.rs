//! The masticdeal daemon: one process beside each target.

fn main() {}
