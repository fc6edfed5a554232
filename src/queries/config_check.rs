//! `config check`: checks a configuration file before it is sent.

use std::path::{Path, PathBuf};

use crate::config_check::{Category, Finding, check};
use crate::error::{Error, Result};

#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    pub file: PathBuf,
    /// The version to compare with, usually the one in force.
    pub against: Option<PathBuf>,
    /// Print JSON.
    pub json: bool,
}

/// Checks the file and prints the findings, one a line.
///
/// # Errors
/// `Error::Usage` if a file can't be read, `Error::Failed` if there are findings.
pub fn run(options: &Options) -> Result<()> {
    let document = read(&options.file)?;
    let against = options.against.as_deref().map(read).transpose()?;
    let findings = check(&document, against.as_deref());
    if options.json {
        println!("{}", serde_json::json!({ "findings": findings }));
    } else {
        findings.iter().for_each(|finding| println!("{}", line(finding)));
    }
    if findings.is_empty() {
        return Ok(());
    }
    let message = format!("{}: {} findings", options.file.display(), findings.len());
    Err(Error::Failed { message })
}

fn read(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(|source| Error::Usage {
        message: format!("{}: {source}", file.display()),
        remedy: "name a file that can be read".to_string(),
    })
}

fn line(finding: &Finding) -> String {
    let category = match finding.category {
        Category::Error => "error",
        Category::Unreachable => "unreachable",
        Category::Contradiction => "contradiction",
        Category::Difference => "difference",
    };
    let Finding { path, message, remedy, .. } = finding;
    format!("{category}: {path}: {message}; {remedy}")
}
