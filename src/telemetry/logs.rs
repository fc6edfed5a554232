//! Log setup: each event is one line of key=value pairs.

use std::fmt::Display;
use std::path::PathBuf;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

use super::non_blocking_appender::NonBlockingAppender;
use crate::error::{Error, Result};

const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";
/// Wraps the free text that libraries log in key=value pairs.
const LIBRARY_PATTERN: &str =
    "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} event=library source={t} message=<{m}>{n}";

/// Level and destination of logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level to log.
    pub level: LevelFilter,
    /// File to append to; standard error if `None`.
    pub file: Option<PathBuf>,
}

/// Starts logging to standard output. Loggers never block on a slow reader.
///
/// # Errors
/// `Error::Start` if logging is already started.
pub fn start_non_blocking(level: LevelFilter) -> Result<()> {
    let build_appender = |pattern| Box::new(NonBlockingAppender::new(pattern, std::io::stdout()));
    install(level, build_appender(PATTERN), build_appender(LIBRARY_PATTERN))
}

/// Starts logging to the destination in the settings.
///
/// # Errors
/// `Error::Start` if the file can't be opened or logging is already started.
pub fn start(settings: &LogSettings) -> Result<()> {
    install(
        settings.level,
        build_appender(settings, PATTERN)?,
        build_appender(settings, LIBRARY_PATTERN)?,
    )
}

fn install(
    level: LevelFilter,
    own_appender: Box<dyn Append>,
    library_appender: Box<dyn Append>,
) -> Result<()> {
    let logger = Logger::builder().appender("ours").additive(false);
    let root = Root::builder().appender("libraries");
    let config = Config::builder()
        .appender(Appender::builder().build("ours", own_appender))
        .appender(Appender::builder().build("libraries", library_appender))
        .logger(logger.build("kumquatpost", level))
        .build(root.build(level.min(LevelFilter::Warn)))
        .map_err(|source| Error::start("log", source, "check the log settings"))?;
    log4rs::init_config(config)
        .map_err(|source| Error::start("log", source, "start logging only once per process"))?;
    Ok(())
}

fn build_appender(settings: &LogSettings, pattern: &str) -> Result<Box<dyn Append>> {
    let encoder = Box::new(PatternEncoder::new(pattern));
    match &settings.file {
        Some(path) => match FileAppender::builder().encoder(encoder).build(path) {
            Ok(appender) => Ok(Box::new(appender)),
            Err(source) => {
                Err(Error::start("log.file", source, "name a file that this user may write"))
            }
        },
        None => {
            Ok(Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build()))
        }
    }
}

/// Formats a value for a log line: quoted if it is empty or contains whitespace, quotes, `=` or control characters.
pub fn quoted(value: &str) -> String {
    let is_bare = !value.is_empty()
        && !value.contains(|c: char| c.is_whitespace() || c == '"' || c == '=' || c.is_control());
    if is_bare { value.to_string() } else { format!("{value:?}") }
}

/// Formats an optional value for a log line: `-` if there is none.
pub fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}

/// Formats a list for a log line: separated by commas, `-` if it is empty.
pub fn joined(values: impl IntoIterator<Item: Display>) -> String {
    let values: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    if values.is_empty() { "-".to_string() } else { values.join(",") }
}
