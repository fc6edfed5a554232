//! Differences between two JSON documents.

use serde_json::Value;

use super::{Category, Finding};

/// Longest value that is shown; longer ones are cut.
const MAX_SHOWN_CHARS: usize = 60;
const REMEDY: &str = "leave it as it was if the change is not intended";

/// Lists the fields in which two documents differ, those of nested objects one by one.
pub fn differences(before: &Value, after: &Value) -> Vec<Finding> {
    let mut findings = Vec::new();
    collect("", before, after, &mut findings);
    findings
}

fn collect(path: &str, before: &Value, after: &Value, findings: &mut Vec<Finding>) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        if before != after {
            let message = format!("changed from {} to {}", shown(before), shown(after));
            findings.push(Finding::new(Category::Difference, path, message, REMEDY));
        }
        return;
    };
    for (name, value) in old {
        let path = join(path, name);
        match new.get(name) {
            Some(after) => collect(&path, value, after, findings),
            None => {
                let message = format!("removed; it was {}", shown(value));
                findings.push(Finding::new(Category::Difference, path, message, REMEDY));
            }
        }
    }
    for (name, value) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        let message = format!("added as {}", shown(value));
        findings.push(Finding::new(Category::Difference, join(path, name), message, REMEDY));
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_string() } else { format!("{path}.{name}") }
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
