//! State charts that the code steps.
//!
//! The charts are `.scxml` files. A machine holds the current state and follows the transitions of
//! the file, so the file and the behaviour cannot differ.

use std::sync::LazyLock;

use displaydoc::Display;

/// A parsed chart: one transition per state and event.
#[derive(Debug)]
pub struct Chart {
    initial: String,
    transitions: Vec<(String, String, String)>,
}

/// The chart has no transition for an event.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
/// state {state} has no transition for event {event}
pub struct UnexpectedEvent {
    /// The state.
    pub state: &'static str,
    /// The event.
    pub event: String,
}

impl std::error::Error for UnexpectedEvent {}

/// Life of a session: `outside`, `joining`, `member`, `leaving`, `ended`.
pub static SESSION_CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("../charts/session.scxml")));

/// Release of a shard: `draining`, `released`, `withdrawn`, `closed`.
pub static RELEASE_CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("../charts/release.scxml")));

impl Chart {
    /// Parses a chart that is part of the program.
    ///
    /// # Panics
    ///
    /// When the file is not a valid chart with one target per transition.
    fn parse(text: &str) -> Self {
        let chart = scxml::parse_xml(text).expect("chart parses");
        scxml::validate(&chart).expect("chart is valid");
        let resolved = scxml::resolve(&chart);
        let mut transitions = Vec::new();
        for state in &resolved.states {
            for t in &state.transitions {
                let event = t.event.as_ref().expect("transition has an event");
                let [target] = t.targets.as_slice() else {
                    panic!("transition of {} has one target", state.id);
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

/// The current state of one thing that follows a chart.
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

    /// Follows the transition of the event and returns the new state.
    ///
    /// # Errors
    ///
    /// [`UnexpectedEvent`] when the chart has no such transition; the state stays.
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
