//! `key new`: generates the key with which nodes authenticate each other.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use rand::RngExt;

use crate::error::{Error, Result};

/// Writes a random key to a new file that only its owner may read.
///
/// # Errors
/// `Error::Start` if the file exists or can't be written.
pub fn run(file: &Path) -> Result<()> {
    let file_error = |source| {
        let name = file.display().to_string();
        Error::start(&name, source, "name a new file in a folder that this user may write")
    };
    let key: [u8; 32] = rand::rng().random();
    let hex: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    let mut key_file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(file)
        .map_err(file_error)?;
    writeln!(key_file, "{hex}").map_err(file_error)
}
