//! What a change would do, in plain lines.

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

/// Joins the first of several differences, and counts the rest.
pub fn summary(differences: &[String]) -> String {
    const MAX_SHOWN: usize = 5;
    let shown = differences[..differences.len().min(MAX_SHOWN)].join("; ");
    match differences.len() {
        0 => "no difference in meaning".into(),
        all if all > MAX_SHOWN => format!("{shown} and {} more", all - MAX_SHOWN),
        _ => shown,
    }
}
