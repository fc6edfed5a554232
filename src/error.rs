//! The error type of commands. Each message is one line and names the remedy.

use std::fmt;

use snafu::Snafu;

/// A result whose error is [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{message}; {remedy}"))]
    Usage { message: String, remedy: String },
    /// Settings or a configuration are invalid.
    #[snafu(display("{file}: {}", join_problems(problems)))]
    Invalid {
        /// The file, or `patch`.
        file: String,
        /// All problems found.
        problems: Vec<Problem>,
    },
    /// A component of the process could not start.
    #[snafu(display("{component}: {reason}; {remedy}"))]
    Start {
        /// The setting or component.
        component: String,
        reason: String,
        remedy: String,
    },
    /// A request to a node or target failed.
    #[snafu(display("{address}: {reason}; {remedy}"))]
    Request {
        /// Address of the node or target.
        address: String,
        reason: String,
        remedy: String,
    },
    /// The command ran, but was refused or a check of its results failed.
    #[snafu(display("{message}"))]
    Failed {
        /// What was refused or which check failed.
        message: String,
    },
}

impl Error {
    pub fn start(component: &str, reason: impl fmt::Display, remedy: &str) -> Error {
        Error::Start {
            component: component.to_string(),
            reason: reason.to_string(),
            remedy: remedy.to_string(),
        }
    }

    pub fn request(address: &str, reason: impl fmt::Display, remedy: &str) -> Error {
        Error::Request {
            address: address.to_string(),
            reason: reason.to_string(),
            remedy: remedy.to_string(),
        }
    }

    /// The exit code: 2 for an invalid command line, 3 for invalid settings or configuration, 1 otherwise.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage { .. } => 2,
            Error::Invalid { .. } => 3,
            Error::Start { .. } | Error::Request { .. } | Error::Failed { .. } => 1,
        }
    }
}

/// One problem of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, for example `bounds.queue_len`.
    pub path: String,
    /// What is wrong, including the value.
    pub message: String,
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.message, self.remedy)
    }
}

fn join_problems(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join(" | ")
}
