//! What a change would do, and what another change did, in plain lines.

use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::Difference;

/// Returns one line per difference, with its effect on routing and ownership.
pub fn lines(differences: &[Difference], new: &Deployment) -> Vec<String> {
    differences
        .iter()
        .map(|difference| line(difference, new))
        .collect()
}

fn line(difference: &Difference, new: &Deployment) -> String {
    let added = match difference {
        Difference::Added { service } => new.service(service),
        _ => None,
    };
    match (added, difference.effect()) {
        (Some(service), _) if service.shards > 0 => {
            format!("{difference}; its {} shards get owners", service.shards)
        }
        (_, Some(effect)) => format!("{difference}; {effect}"),
        (_, None) => format!("{difference}; nothing moves"),
    }
}

/// Returns a sentence on what another change did.
pub fn summary(differences: &[Difference]) -> String {
    const SHOWN: usize = 5;
    let shown: Vec<String> = differences
        .iter()
        .take(SHOWN)
        .map(ToString::to_string)
        .collect();
    match differences.len() {
        0 => "it is not known what it changed".into(),
        all if all > SHOWN => format!("{} and {} more", shown.join("; "), all - SHOWN),
        _ => shown.join("; "),
    }
}
