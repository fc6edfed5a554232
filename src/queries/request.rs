//! `report request`: finds the log lines of one request in the logs of all processes.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use crate::error::{Error, Result};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Id that the caller gave the request.
    pub id: String,
    /// Folder with one log file per process.
    pub logs: PathBuf,
}

/// Prints the log lines of a request, and the other events during it that concern its processes and targets.
///
/// # Errors
/// If the folder can't be read, or no line has the id.
pub fn run(options: &Options) -> Result<()> {
    let lines = read_folder(&options.logs)?;
    let related = related_lines(&lines, &options.id);
    if related.is_empty() {
        return Err(Error::Failed {
            message: format!(
                "no log line has the request id {:?}; check the id and that its logs are in {}",
                options.id,
                options.logs.display()
            ),
        });
    }
    related.iter().for_each(|line| println!("{line}"));
    Ok(())
}

/// A log line and the process that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// Value of `ts`, the time at which the process wrote the line.
    pub timestamp: String,
    /// File name of the log without its extension.
    pub process: String,
    /// The whole line.
    pub text: String,
}

impl LogLine {
    /// Parses a line; `None` if it has no `ts`.
    pub fn parse(process: &str, text: &str) -> Option<LogLine> {
        let timestamp = first_value(text, "ts")?.to_string();
        Some(LogLine { timestamp, process: process.to_string(), text: text.to_string() })
    }
}

/// The lines of a request in order of time. Other events between its start and its last line are included if a
/// process of the request logged them or if they name one of its targets.
pub fn related_lines(lines: &[LogLine], id: &str) -> Vec<String> {
    let is_of_request = |line: &&LogLine| first_value(&line.text, "id") == Some(id);
    let own: Vec<&LogLine> = lines.iter().filter(is_of_request).collect();
    let (Some(first), Some(last)) = (own.iter().min(), own.iter().max()) else { return Vec::new() };
    let took_ms =
        own.iter().filter_map(|line| first_value(&line.text, "took_ms")?.parse().ok()).max();
    let started_at = time_before(&first.timestamp, took_ms.unwrap_or(0));
    let targets: BTreeSet<&str> =
        own.iter().flat_map(|line| values(&line.text, "target")).collect();
    let processes: BTreeSet<&str> = own.iter().map(|line| line.process.as_str()).collect();
    let mut shown: Vec<&LogLine> = lines
        .iter()
        .filter(|line| started_at <= line.timestamp && line.timestamp <= last.timestamp)
        .filter(|line| first_value(&line.text, "event") != Some("request"))
        .filter(|line| {
            processes.contains(line.process.as_str())
                || targets.iter().any(|target| line.text.contains(target))
        })
        .chain(own)
        .collect();
    shown.sort();
    shown.iter().map(|line| format!("{} {}", line.process, line.text)).collect()
}

fn read_folder(folder: &Path) -> Result<Vec<LogLine>> {
    let shown = folder.display().to_string();
    let folder_error =
        |source| Error::start(&shown, source, "name a folder with the processes' logs");
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(folder_error)? {
        let path = entry.map_err(folder_error)?.path();
        if !path.is_file() {
            continue;
        }
        let process = path.file_stem().map_or(String::new(), |name| name.to_string_lossy().into());
        let text = std::fs::read(&path).map_err(folder_error)?;
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.lines().filter_map(|text| LogLine::parse(&process, text)));
    }
    Ok(lines)
}

/// The first value of a key in a line of key=value pairs.
fn first_value<'t>(text: &'t str, key: &str) -> Option<&'t str> {
    values(text, key).next()
}

fn values<'t>(text: &'t str, key: &str) -> impl Iterator<Item = &'t str> {
    text.split(' ').filter_map(move |pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// A log timestamp minus some milliseconds; unchanged if it is not in RFC 3339 format.
fn time_before(ts: &str, ms: i64) -> String {
    let Ok(time) = chrono::DateTime::parse_from_rfc3339(ts) else { return ts.to_string() };
    let time = time - chrono::TimeDelta::milliseconds(ms);
    time.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string()
}
