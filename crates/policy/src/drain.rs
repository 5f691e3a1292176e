//! Drain of a target: no new work, then the end of the running work.
//!
//! The states and the events that each accepts stand in the chart `drain.scxml`; this module steps
//! that chart and adds the times. Invariants: a draining target admits nothing; it starts nothing
//! after [`DRAIN_START_WINDOW`]; it stops only when it is empty.

use std::sync::LazyLock;
use std::time::Duration;

use displaydoc::Display;
use scxml::model::Statechart;

/// Time for which a draining target still starts work that was queued before.
///
/// A target that is leaving receives no new work after 2 s; the rest is for the way to the target.
pub const DRAIN_START_WINDOW: Duration = Duration::from_millis(1800);

static CHART: LazyLock<Statechart> = LazyLock::new(|| {
    let chart = scxml::parse_xml(include_str!("drain.scxml")).expect("the drain chart parses");
    scxml::validate(&chart).expect("the drain chart is well formed");
    chart
});

/// Result of this module.
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
    /// State that the drain stays in.
    pub state: State,
    /// Event that was refused.
    pub event: Event,
}

impl std::error::Error for NotAccepted {}

/// Drain of one target.
#[derive(Debug, Clone)]
pub struct Drain {
    state: State,
    since: Duration,
}

impl Drain {
    /// Starts in the initial state of the chart.
    pub fn new(now: Duration) -> Self {
        Self {
            state: State::from_id(&CHART.initial),
            since: now,
        }
    }

    /// Steps the chart.
    ///
    /// # Errors
    ///
    /// [`NotAccepted`] when the present state has no transition for the event; the state stays.
    pub fn handle(&mut self, now: Duration, event: Event) -> Result<State> {
        let refused = NotAccepted {
            state: self.state,
            event,
        };
        self.state = step(self.state, event).ok_or(refused)?;
        self.since = now;
        Ok(self.state)
    }

    /// Returns the present state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns when the present state was entered, as time since boot.
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Returns whether new requests may be queued.
    pub fn may_admit(&self) -> bool {
        self.state == State::Serving
    }

    /// Returns whether queued requests may be sent to the target.
    pub fn may_start(&self, now: Duration) -> bool {
        match self.state {
            State::Serving => true,
            State::Draining => now < self.since + DRAIN_START_WINDOW,
            State::Stopped => false,
        }
    }

    /// Returns the events that the present state accepts, from the chart.
    pub fn accepted(&self) -> Vec<Event> {
        let all = [Event::Drain, Event::Emptied, Event::Return];
        let accepts = |event: &Event| step(self.state, *event).is_some();
        all.into_iter().filter(accepts).collect()
    }
}

/// Finds the transition of the chart and returns its target.
fn step(state: State, event: Event) -> Option<State> {
    let id = state.to_string();
    let name = event.to_string();
    let from = CHART.states.iter().find(|s| s.id == id.as_str())?;
    let fits = |event: &str| event == name;
    let taken = from
        .transitions
        .iter()
        .find(|t| t.event.as_deref().is_some_and(fits))?;
    taken.targets.first().map(|target| State::from_id(target))
}

impl State {
    /// Returns the state that a chart id names.
    ///
    /// # Panics
    ///
    /// When the chart names a state that this module does not know; a test steps all of them.
    fn from_id(id: &str) -> Self {
        let all = [Self::Serving, Self::Draining, Self::Stopped];
        let named = all.into_iter().find(|state| state.to_string() == id);
        named.expect("the drain chart names only known states")
    }
}
