//! Differences between the configurations that were installed lately, kept to bring daemons with an
//! older one up to date.
//!
//! Invariant: the differences are consecutive, and the last one produced the installed text.

use std::collections::VecDeque;

use masticdeal_wire::text_delta::{self, TextDelta};

/// Maximum number of differences that are kept.
const MAX_DELTAS: usize = 64;

/// Differences up to the installed configuration.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    deltas: VecDeque<TextDelta>,
    /// Difference from the empty text to the installed one, once it was requested.
    whole: Option<TextDelta>,
}

impl ConfigHistory {
    /// Records that the text `after` replaced `before`.
    pub fn record(&mut self, before: &str, after: &str) {
        if self.deltas.len() == MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(TextDelta::new(before, after));
        self.whole = None;
    }

    /// Returns the difference that produced the installed text; empty before the first one.
    pub fn last(&self) -> Vec<TextDelta> {
        self.deltas.back().cloned().into_iter().collect()
    }

    /// Returns the differences that lead from the text with the digest `base` to `installed`. If they
    /// are not kept, or are larger, returns the difference from the empty text.
    pub fn since(&mut self, base: u64, installed: &str) -> Vec<TextDelta> {
        if base == text_delta::digest(installed) {
            return Vec::new();
        }
        let is_base = |delta: &TextDelta| delta.base_digest() == base;
        let kept = self.deltas.iter().rposition(is_base);
        let whole = self
            .whole
            .get_or_insert_with(|| TextDelta::new("", installed));
        let kept = kept.map(|first| self.deltas.range(first..));
        match kept {
            Some(deltas) if deltas.clone().map(TextDelta::len).sum::<usize>() <= whole.len() => {
                deltas.cloned().collect()
            }
            _ => vec![whole.clone()],
        }
    }
}
