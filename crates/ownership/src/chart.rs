//! State charts and state machines that follow them.
//!
//! The charts are `.scxml` files. A state machine holds the current state and takes its transitions
//! from the parsed file, so the code cannot deviate from it.

use std::sync::LazyLock;

use displaydoc::Display;

/// A parsed chart, as its transitions (state, event, target state).
#[derive(Debug)]
pub struct Chart {
    initial: String,
    transitions: Vec<(String, String, String)>,
}

/// Error of an event without a transition in the current state.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
/// state {state} has no transition for event {event}
pub struct UnexpectedEvent {
    /// The state.
    pub state: &'static str,
    /// The event.
    pub event: String,
}

impl std::error::Error for UnexpectedEvent {}

/// States of a session: `outside`, `joining`, `withdrawing`, `member`, `leaving`, `ended`.
pub static SESSION_CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("../charts/session.scxml")));

/// States of the release of a shard: `draining`, `released`, `withdrawn`, `closed`.
pub static RELEASE_CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("../charts/release.scxml")));

impl Chart {
    /// Parses a chart that is compiled into the program.
    ///
    /// # Panics
    ///
    /// When the text is not a valid chart with one target per transition.
    fn parse(text: &str) -> Self {
        let chart = scxml::parse_xml(text).expect("chart must parse");
        scxml::validate(&chart).expect("chart must be valid");
        let resolved = scxml::resolve(&chart);
        let mut transitions = Vec::new();
        for state in &resolved.states {
            for t in &state.transitions {
                let event = t.event.as_ref().expect("transition must have an event");
                let [target] = t.targets.as_slice() else {
                    panic!("transition of state {} must have one target", state.id);
                };
                transitions.push((state.id.to_string(), event.to_string(), target.to_string()));
            }
        }
        Self {
            initial: resolved.initial.to_string(),
            transitions,
        }
    }
}

/// The current state of an object that follows a chart.
#[derive(Debug, Clone, Copy)]
pub struct StateMachine {
    chart: &'static Chart,
    state: &'static str,
}

impl StateMachine {
    /// Starts in the initial state of the chart.
    pub fn new(chart: &'static LazyLock<Chart>) -> Self {
        let chart = LazyLock::force(chart);
        Self {
            chart,
            state: &chart.initial,
        }
    }

    /// Returns the name of the current state.
    pub fn state(&self) -> &'static str {
        self.state
    }

    /// Follows the transition for the event and returns the new state.
    ///
    /// # Errors
    ///
    /// [`UnexpectedEvent`] when the chart has no such transition; the state does not change.
    pub fn step(&mut self, event: &str) -> Result<&'static str, UnexpectedEvent> {
        let found = self
            .chart
            .transitions
            .iter()
            .find(|(state, name, _)| state == self.state && name == event);
        let Some((_, _, target)) = found else {
            return Err(UnexpectedEvent {
                state: self.state,
                event: event.to_owned(),
            });
        };
        self.state = target;
        Ok(target)
    }
}
