//! Errors of the process. Each message is one line and names the remedy.

use std::fmt;

use snafu::Snafu;

/// A result, with the process's error if no other is named.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What stops a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The command line can't be understood.
    #[snafu(display("{message}; {remedy}"))]
    Usage {
        /// What is wrong.
        message: String,
        /// What to do.
        remedy: String,
    },
    /// Settings or a configuration are invalid.
    #[snafu(display("{file}: {}", join_problems(problems)))]
    Invalid {
        /// The file, or `patch`.
        file: String,
        /// Everything that is wrong with it.
        problems: Vec<Problem>,
    },
    /// A part of the process could not start.
    #[snafu(display("{component}: {reason}; {remedy}"))]
    Start {
        /// The setting or part.
        component: String,
        /// Why.
        reason: String,
        /// What to do.
        remedy: String,
    },
    /// A node or target could not be asked.
    #[snafu(display("{address}: {reason}; {remedy}"))]
    Request {
        /// Whom we asked.
        address: String,
        /// Why it failed.
        reason: String,
        /// What to do.
        remedy: String,
    },
    /// A run finished, but what it checked does not hold.
    #[snafu(display("{message}"))]
    Failed {
        /// What does not hold.
        message: String,
    },
}

impl Error {
    /// A part that could not start.
    pub fn start(component: &str, reason: impl fmt::Display, remedy: &str) -> Error {
        Error::Start {
            component: component.to_string(),
            reason: reason.to_string(),
            remedy: remedy.to_string(),
        }
    }

    /// A node or target that could not be asked.
    pub fn request(address: &str, reason: impl fmt::Display, remedy: &str) -> Error {
        Error::Request {
            address: address.to_string(),
            reason: reason.to_string(),
            remedy: remedy.to_string(),
        }
    }

    /// The exit code: 2 for a wrong call, 3 for invalid settings, 1 for the rest.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage { .. } => 2,
            Error::Invalid { .. } => 3,
            Error::Start { .. } | Error::Request { .. } | Error::Failed { .. } => 1,
        }
    }
}

/// One thing wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where, for example `limits.queue_len`.
    pub path: String,
    /// What is wrong, with the value.
    pub message: String,
    /// What to do.
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
