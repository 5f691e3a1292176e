//! State charts and state machines that follow them.
//!
//! The charts are `.scxml` files. A state machine holds the current state and performs only
//! transitions of the parsed file. It rejects every other event.

use std::sync::LazyLock;

use displaydoc::Display;

/// A parsed chart, as its transitions (state, event, next state).
#[derive(Debug)]
pub struct Chart {
    initial: String,
    transitions: Vec<(String, String, String)>,
}

#[derive(Debug, Display, Clone, PartialEq, Eq)]
/// state {state} has no transition for event {event}
pub struct UnexpectedEvent {
    /// State at the time of the event.
    pub state: &'static str,
    /// Name of the event.
    pub event: String,
}

impl std::error::Error for UnexpectedEvent {}

/// States of a session: `outside`, `joining`, `withdrawing`, `member`, `leaving`, `ended`. In
/// `withdrawing` the daemon leaves while its join may still take effect.
pub static SESSION_CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("../charts/session.scxml")));

/// States of the release of a shard: `draining`, `released`, `withdrawn`, `closed`. In `withdrawn`
/// the release was abandoned after the drain, and the owner waits for a swap to return the shard.
pub static RELEASE_CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(include_str!("../charts/release.scxml")));

impl Chart {
    /// Parses a chart that is compiled into the program.
    ///
    /// # Panics
    ///
    /// If the text is not a valid chart with one event and one target state per transition.
    fn parse(text: &str) -> Self {
        let chart = scxml::parse_xml(text).expect("chart must parse");
        scxml::validate(&chart).expect("chart must be valid");
        let resolved = scxml::resolve(&chart);
        let mut transitions = Vec::new();
        for state in &resolved.states {
            for t in &state.transitions {
                let event = t.event.as_ref().expect("transition must have an event");
                let [target_state] = t.targets.as_slice() else {
                    panic!(
                        "transition of state {} must have one target state",
                        state.id
                    );
                };
                transitions.push((
                    state.id.to_string(),
                    event.to_string(),
                    target_state.to_string(),
                ));
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
    /// [`UnexpectedEvent`] if the chart has no such transition; the state does not change.
    pub fn step(&mut self, event: &str) -> Result<&'static str, UnexpectedEvent> {
        let transition = self
            .chart
            .transitions
            .iter()
            .find(|(state, name, _)| state == self.state && name == event);
        let Some((_, _, next_state)) = transition else {
            return Err(UnexpectedEvent {
                state: self.state,
                event: event.to_owned(),
            });
        };
        self.state = next_state;
        Ok(next_state)
    }
}
