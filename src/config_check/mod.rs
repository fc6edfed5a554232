//! Checks a configuration before operators send it: errors, entries that can never match, limits that contradict
//! each other, and differences from another version. No I/O.

mod deployment;
mod diff;
mod node_config;

use serde::Serialize;
use serde_json::Value;

use crate::config::Config;
use crate::deployment::{Deployment, validate};
use crate::error::Problem;
use crate::platform::deployment_document;

/// What kind of finding it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Category {
    /// The document would be refused.
    Error,
    /// An entry that can never apply to a request.
    Unreachable,
    /// Limits that contradict each other.
    Contradiction,
    /// A difference from the other version.
    Difference,
}

/// One finding of a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    pub category: Category,
    /// Path of the entry, for example `routes[3].timeout`.
    pub path: String,
    pub message: String,
    pub remedy: String,
}

/// A decoded document.
enum Document {
    /// The configuration of `serve` nodes.
    Nodes(Box<Config>),
    /// A deployment on the platform.
    Deployment(Box<Deployment>),
}

impl Finding {
    fn new(category: Category, path: impl Into<String>, message: String, remedy: &str) -> Finding {
        Finding { category, path: path.into(), message, remedy: remedy.to_string() }
    }

    fn error(problem: Problem) -> Finding {
        let Problem { path, message, remedy } = problem;
        Finding { category: Category::Error, path, message, remedy }
    }
}

/// Checks a document, and compares it with another version if there is one. Findings are ordered by category.
pub fn check(document: &[u8], against: Option<&[u8]>) -> Vec<Finding> {
    let decoded = match decode(document) {
        Ok(decoded) => decoded,
        Err(findings) => return findings,
    };
    let mut findings = match &decoded {
        Document::Nodes(config) => node_config::check(config),
        Document::Deployment(deployment) => {
            let problems = validate::problems(deployment).into_iter();
            problems.map(Finding::error).chain(deployment::check(deployment)).collect()
        }
    };
    if let Some(against) = against {
        findings.extend(compare(&decoded, against));
    }
    findings.sort_by_key(|finding| finding.category);
    findings
}

/// Decodes a document of either kind.
///
/// # Errors
/// Why it can't be decoded.
fn decode(text: &[u8]) -> Result<Document, Vec<Finding>> {
    let unreadable = |error: serde_json::Error| {
        let remedy = "correct the document; docs/OPERATIONS.md lists its fields";
        vec![Finding::new(Category::Error, "document", error.to_string(), remedy)]
    };
    let value: Value = serde_json::from_slice(text).map_err(unreadable)?;
    if deployment_document::is_deployment(&value) {
        let deployment = deployment_document::decode(text).map_err(unreadable)?;
        return Ok(Document::Deployment(Box::new(deployment)));
    }
    let config = Config::from_value(&value);
    let config =
        config.map_err(|problems| problems.into_iter().map(Finding::error).collect::<Vec<_>>());
    config.map(|config| Document::Nodes(Box::new(config)))
}

fn compare(document: &Document, against: &[u8]) -> Vec<Finding> {
    let other = match decode(against) {
        Ok(other) => other,
        Err(findings) => {
            let in_other = |finding: Finding| Finding {
                path: format!("against: {}", finding.path),
                ..finding
            };
            return findings.into_iter().map(in_other).collect();
        }
    };
    match (document, &other) {
        (Document::Nodes(config), Document::Nodes(other)) => {
            diff::differences(&to_value(other), &to_value(config))
        }
        (Document::Deployment(deployment), Document::Deployment(other)) => {
            let differences = diff::differences(
                &deployment::comparable(other),
                &deployment::comparable(deployment),
            );
            deployment::version_finding(deployment, other).into_iter().chain(differences).collect()
        }
        _ => vec![Finding::new(
            Category::Error,
            "document",
            "the other version is a document of another kind".to_string(),
            "compare two configurations of nodes, or two deployments",
        )],
    }
}

/// The JSON form of a decoded document.
fn to_value(document: &impl Serialize) -> Value {
    // Fails only for maps whose keys are not strings; these documents have none.
    serde_json::to_value(document).unwrap_or_default()
}
