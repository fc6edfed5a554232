//! JSON merge patch (RFC 7396).

use serde_json::{Map, Value};

/// Applies `patch` to `document`: objects merge, null removes, anything else replaces.
pub fn merge(document: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *document = patch.clone();
        return;
    };
    if !document.is_object() {
        *document = Value::Object(Map::new());
    }
    let Some(fields) = document.as_object_mut() else { return };
    for (name, change) in changes {
        if change.is_null() {
            fields.remove(name);
        } else {
            merge(fields.entry(name.clone()).or_insert(Value::Null), change);
        }
    }
}
