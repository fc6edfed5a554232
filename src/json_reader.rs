//! Reads JSON objects field by field and collects all problems.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::error::Problem;

/// Minimum similarity of an unknown name to a known one that is suggested instead.
const MIN_SIMILARITY: f64 = 0.75;

/// Reads the fields of one object. Call `finish` at the end to report unknown fields.
pub struct ObjectReader<'a> {
    object: Map<String, Value>,
    path: String,
    known: Vec<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of `value`, which is at `path` in the document (empty for the root).
    pub fn new(value: &Value, path: &str, problems: &'a mut Vec<Problem>) -> ObjectReader<'a> {
        let object = match value {
            Value::Object(object) => object.clone(),
            other => {
                problems.push(Problem {
                    path: if path.is_empty() { "document".into() } else { path.into() },
                    message: format!("{other} is not an object"),
                    remedy: "write a JSON object in braces".into(),
                });
                Map::new()
            }
        };
        ObjectReader { object, path: path.to_string(), known: Vec::new(), problems }
    }

    /// Returns the path of a field of this object.
    pub fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_string() } else { format!("{}.{name}", self.path) }
    }

    /// Reads a field of any type. Returns `None` if it is absent or null.
    pub fn value(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        self.object.get(name).cloned().filter(|value| !value.is_null())
    }

    /// Reports a problem with a field.
    pub fn report(&mut self, name: &str, message: String, remedy: &str) {
        let path = self.path_of(name);
        self.problems.push(Problem { path, message, remedy: remedy.to_string() });
    }

    /// Reads an integer in `min..=max`. Returns `default` if it is absent or invalid.
    pub fn number(&mut self, name: &'static str, default: u64, min: u64, max: u64) -> u64 {
        let Some(value) = self.value(name) else { return default };
        match value.as_u64().filter(|number| (min..=max).contains(number)) {
            Some(number) => number,
            None => {
                let remedy = format!("give a whole number from {min} to {max}");
                self.report(name, format!("{value} is not accepted"), &remedy);
                default
            }
        }
    }

    /// Reads an optional, non-empty string.
    pub fn optional_text(&mut self, name: &'static str) -> Option<String> {
        match self.value(name)? {
            Value::String(text) if !text.is_empty() => Some(text),
            other => {
                self.report(name, format!("{other} is not accepted"), "give a non-empty string");
                None
            }
        }
    }

    /// Reads a required, non-empty string. Returns an empty one if it is absent or invalid.
    pub fn text(&mut self, name: &'static str, remedy: &str) -> String {
        if !self.object.contains_key(name) {
            self.known.push(name);
            self.report(name, "is missing".into(), remedy);
            return String::new();
        }
        self.optional_text(name).unwrap_or_default()
    }

    /// Reads a required address in the form `IP:PORT`. Returns 127.0.0.1:0 if it is absent or invalid.
    pub fn address(&mut self, name: &'static str) -> SocketAddr {
        let text = self.text(name, "give an address as IP:PORT, for example 127.0.0.1:8080");
        match text.parse() {
            Ok(address) => address,
            Err(_) => {
                if !text.is_empty() {
                    self.report(name, format!("{text:?} is not an address"), "give IP:PORT");
                }
                SocketAddr::from(([127, 0, 0, 1], 0))
            }
        }
    }

    /// Reads a boolean. Returns `default` if it is absent or invalid.
    pub fn bool(&mut self, name: &'static str, default: bool) -> bool {
        match self.value(name) {
            None => default,
            Some(Value::Bool(flag)) => flag,
            Some(other) => {
                self.report(name, format!("{other} is not accepted"), "give true or false");
                default
            }
        }
    }

    /// Reads an object with `read`; an absent one is treated as empty.
    pub fn object<T>(&mut self, name: &'static str, read: impl FnOnce(ObjectReader<'_>) -> T) -> T {
        let value = self.value(name).unwrap_or_else(|| Value::Object(Map::new()));
        let path = self.path_of(name);
        read(ObjectReader::new(&value, &path, self.problems))
    }

    /// Reads a list of objects with `read`; an absent one is treated as empty.
    pub fn list<T>(&mut self, name: &'static str, read: impl Fn(ObjectReader<'_>) -> T) -> Vec<T> {
        let path = self.path_of(name);
        match self.value(name) {
            None => Vec::new(),
            Some(Value::Array(items)) => items
                .iter()
                .enumerate()
                .map(|(i, item)| {
                    read(ObjectReader::new(item, &format!("{path}[{i}]"), self.problems))
                })
                .collect(),
            Some(other) => {
                self.report(name, format!("{other} is not a list"), "give a list in brackets");
                Vec::new()
            }
        }
    }

    /// Reports the fields that were not read.
    pub fn finish(self) {
        for name in self.object.keys().filter(|name| !self.known.contains(&name.as_str())) {
            let remedy = match most_similar(name, &self.known) {
                Some(known) => format!("did you mean {known:?}? else remove it"),
                None => format!("remove it; known fields: {}", self.known.join(", ")),
            };
            let path =
                if self.path.is_empty() { name.clone() } else { format!("{}.{name}", self.path) };
            self.problems.push(Problem { path, message: "unknown field".into(), remedy });
        }
    }
}

/// Returns the known name that is most similar to `name`, if any is similar enough.
pub fn most_similar<'n>(name: &str, known: &[&'n str]) -> Option<&'n str> {
    known
        .iter()
        .map(|known| (strsim::jaro_winkler(name, known), *known))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, known)| known)
}
