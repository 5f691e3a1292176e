//! State machine for draining a target.
//!
//! The chart `drain.scxml` defines the states and their transitions. This module executes the chart
//! and adds the time limit for queued requests. Invariants:
//! - A draining target admits no requests.
//! - No queued request is sent to it after [`DRAIN_START_WINDOW`].
//! - It stops only on [`Event::Emptied`], which reports that it has no requests left.

use std::sync::LazyLock;
use std::time::Duration;

use displaydoc::Display;
use scxml::model::Statechart;

/// Time after the start of a drain during which queued requests are still sent to the target.
///
/// A target that is leaving must receive no requests after 2 s. The difference covers the
/// transmission to the target.
pub const DRAIN_START_WINDOW: Duration = Duration::from_millis(1800);

static CHART: LazyLock<Statechart> = LazyLock::new(|| {
    let chart = scxml::parse_xml(include_str!("drain.scxml")).expect("the drain chart parses");
    scxml::validate(&chart).expect("the drain chart is well formed");
    chart
});

/// Result with [`NotAccepted`] as the default error.
pub type Result<T, E = NotAccepted> = std::result::Result<T, E>;

/// State of the drain.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// serving
    Serving,
    /// draining
    Draining,
    /// stopped
    Stopped,
}

/// Event of the drain.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// drain
    Drain,
    /// emptied
    Emptied,
    /// return
    Return,
}

/// event `{event}` is not accepted in state `{state}`
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct NotAccepted {
    /// Current state, which is unchanged.
    pub state: State,
    /// Event for which that state has no transition.
    pub event: Event,
}

impl std::error::Error for NotAccepted {}

/// Drain state of one target.
#[derive(Debug, Clone)]
pub struct Drain {
    state: State,
    entered_at: Duration,
}

impl Drain {
    /// Creates the state machine in the initial state of the chart.
    pub fn new(now: Duration) -> Self {
        Self {
            state: State::from_id(&CHART.initial),
            entered_at: now,
        }
    }

    /// Executes the transition for an event and returns the new state.
    ///
    /// # Errors
    ///
    /// [`NotAccepted`] if the current state has no transition for the event. The state is then
    /// unchanged.
    pub fn handle(&mut self, now: Duration, event: Event) -> Result<State> {
        let not_accepted = NotAccepted {
            state: self.state,
            event,
        };
        self.state = next_state(self.state, event).ok_or(not_accepted)?;
        self.entered_at = now;
        Ok(self.state)
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns when the current state was entered, as time since boot.
    pub fn entered_at(&self) -> Duration {
        self.entered_at
    }

    /// Returns whether new requests may be queued.
    pub fn may_admit(&self) -> bool {
        self.state == State::Serving
    }

    /// Returns whether queued requests may be sent to the target.
    pub fn may_start(&self, now: Duration) -> bool {
        match self.state {
            State::Serving => true,
            State::Draining => now < self.entered_at + DRAIN_START_WINDOW,
            State::Stopped => false,
        }
    }

    /// Returns the events that the current state accepts according to the chart.
    pub fn accepted_events(&self) -> Vec<Event> {
        let all = [Event::Drain, Event::Emptied, Event::Return];
        let accepts = |event: &Event| next_state(self.state, *event).is_some();
        all.into_iter().filter(accepts).collect()
    }
}

/// Returns the state to which an event leads, or `None` if the chart has no such transition.
fn next_state(state: State, event: Event) -> Option<State> {
    let id = state.to_string();
    let event_name = event.to_string();
    let source = CHART.states.iter().find(|s| s.id == id.as_str())?;
    let matches = |name: &str| name == event_name;
    let transition = source
        .transitions
        .iter()
        .find(|t| t.event.as_deref().is_some_and(matches))?;
    transition
        .targets
        .first()
        .map(|target| State::from_id(target))
}

impl State {
    /// Returns the state with a given id in the chart.
    ///
    /// # Panics
    ///
    /// If the chart contains a state that this module does not define. A test covers all states.
    fn from_id(id: &str) -> Self {
        let all = [Self::Serving, Self::Draining, Self::Stopped];
        let state = all.into_iter().find(|state| state.to_string() == id);
        state.expect("the drain chart names only known states")
    }
}
