//! Answers about evacuated data centres.

use masticdeal_ownership::ids::SessionId;

use super::data::{AnswerData, EvacuationLine};
use super::state_view::StateView;

/// Returns the evacuated data centres and what is still there.
pub fn evacuations(view: &StateView<'_>) -> AnswerData {
    let set = view.evacuations.state.set();
    let sessions = &view.table.sessions;
    let is_confirmed = |session: SessionId| {
        let reported = view.peers.iter().find(|peer| peer.session == session);
        reported.is_some_and(|peer| match view.evacuations.is_configured {
            true => peer.versions.config >= set.position.revision,
            false => peer.versions.evacuations >= set.position,
        })
    };
    let behind = sessions.iter().filter(|s| !is_confirmed(s.id));
    let line = |(name, revision): (&String, &u64)| {
        let learned_at = view.evacuations.learned_at.get(name).copied();
        let learned = view.now.saturating_sub(learned_at.unwrap_or(view.now));
        EvacuationLine {
            data_centre: name.clone(),
            revision: *revision,
            learned_ms: learned.as_millis() as u64,
            is_known: sessions.iter().any(|s| s.data_centre == *name),
            shards: shards_in(view, name),
        }
    };
    AnswerData::Evacuations {
        data_centres: set.data_centres.iter().map(line).collect(),
        none_left: view.evacuations.leaves_none_of(view.table),
        behind: behind.map(|s| s.vm.clone()).collect(),
    }
}

fn shards_in(view: &StateView<'_>, data_centre: &str) -> usize {
    let is_there = |owner: SessionId| {
        let session = view.table.session(owner);
        session.is_some_and(|s| s.data_centre == data_centre)
    };
    let shards = view.table.services.iter().flat_map(|s| &s.shards);
    shards.filter(|s| s.owner.is_some_and(is_there)).count()
}

/// Returns the evacuated data centre as a phrase.
pub fn evacuation_phrase(line: &EvacuationLine) -> String {
    let EvacuationLine {
        data_centre,
        revision,
        learned_ms,
        is_known,
        shards,
    } = line;
    let left = match is_known {
        true => format!("{shards} shards left"),
        false => "not in the table".into(),
    };
    let learned_s = learned_ms / 1_000;
    format!("{data_centre} since revision {revision}, learned {learned_s} s ago, {left}")
}
