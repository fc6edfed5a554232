//! Checks of the configuration of `serve` nodes that is valid by itself.

use super::{Category, Finding};
use crate::config::Config;
use crate::config::document::Model;

/// Finds entries without effect and limits that contradict each other.
pub fn check(config: &Config) -> Vec<Finding> {
    let kinds = config.kinds.iter().filter_map(|(id, kind)| {
        let first_token_ms = kind.objective.first_token_ms;
        (kind.deadline_ms < first_token_ms).then(|| {
            Finding::new(
                Category::Contradiction,
                format!("kinds.{id}.deadline_ms"),
                format!(
                    "{} ms is shorter than the objective of {first_token_ms} ms for the first token",
                    kind.deadline_ms
                ),
                "lengthen the deadline or tighten the objective",
            )
        })
    });
    let has_same_versions =
        |model: &Model| model.next_version.as_ref() == Some(&model.weight_version);
    let models =
        config.models.iter().filter(|(_, model)| has_same_versions(model)).map(|(id, model)| {
            Finding::new(
                Category::Unreachable,
                format!("models.{id}.next_version"),
                format!("{:?} is the version in service", model.weight_version),
                "remove it, or name the version to upgrade to",
            )
        });
    kinds.chain(models).collect()
}
