//! Text on the effects of a configuration change.

use masticdeal_config::deployment::Deployment;
use masticdeal_config::diff::Difference;

/// Formats the differences with their effects on routing and ownership, one line each.
pub fn lines(differences: &[Difference], new: &Deployment) -> Vec<String> {
    differences
        .iter()
        .map(|difference| line(difference, new))
        .collect()
}

fn line(difference: &Difference, new: &Deployment) -> String {
    let added_service = match difference {
        Difference::Added { service } => new.service(service),
        _ => None,
    };
    match (added_service, difference.effect()) {
        (Some(service), _) if service.shards > 0 => {
            format!("{difference}; its {} shards get owners", service.shards)
        }
        (_, Some(effect)) => format!("{difference}; {effect}"),
        (_, None) => format!("{difference}; nothing moves"),
    }
}

/// Joins the first differences into one line and adds the number of the others.
pub fn summary(differences: &[String]) -> String {
    const MAX_SHOWN: usize = 5;
    let shown = differences[..differences.len().min(MAX_SHOWN)].join("; ");
    match differences.len() {
        0 => "no difference in meaning".into(),
        count if count > MAX_SHOWN => format!("{shown} and {} more", count - MAX_SHOWN),
        _ => shown,
    }
}
