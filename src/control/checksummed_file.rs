//! Files for a replica's soft state: a checksum followed by the postcard encoding.

use std::fs::File;
use std::io;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

const CHECKSUM_BYTES: usize = 4;

/// The kind of failure that a write must survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The process ends; the host keeps running.
    ProcessCrash,
    /// The host loses power.
    PowerLoss,
}

/// Why a file was not read.
#[derive(Debug, Snafu)]
pub enum LoadError {
    #[snafu(display("the file is missing"))]
    Missing,
    #[snafu(display("{source}"))]
    Unreadable { source: io::Error },
    #[snafu(display("{reason}"))]
    Damaged { reason: String },
}

impl LoadError {
    /// Whether the error is what a first start finds.
    pub fn is_expected(&self, is_first_start: bool) -> bool {
        is_first_start && matches!(self, LoadError::Missing)
    }

    fn damaged(reason: impl ToString) -> LoadError {
        LoadError::Damaged { reason: reason.to_string() }
    }
}

/// Reads a file.
///
/// # Errors
///
/// If the file is missing or damaged, or has another layout.
pub fn load<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<T, LoadError> {
    let bytes = std::fs::read(folder.join(name)).map_err(|source| match source.kind() {
        io::ErrorKind::NotFound => LoadError::Missing,
        _ => LoadError::Unreadable { source },
    })?;
    let Some((checksum, body)) = bytes.split_at_checked(CHECKSUM_BYTES) else {
        return Err(LoadError::damaged("the file is too short"));
    };
    if checksum != crc32fast::hash(body).to_le_bytes() {
        return Err(LoadError::damaged("the checksum does not match"));
    }
    match postcard::take_from_bytes(body) {
        Ok((content, [])) => Ok(content),
        Ok(_) => Err(LoadError::damaged("bytes are left over")),
        Err(error) => Err(LoadError::damaged(error)),
    }
}

/// Replaces a file atomically.
///
/// # Errors
///
/// If the file cannot be written.
pub fn write<T: Serialize>(
    folder: &Path,
    name: &str,
    content: &T,
    durability: Durability,
) -> io::Result<()> {
    let body = postcard::to_stdvec(content).map_err(io::Error::other)?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    let draft = folder.join(format!("{name}.draft"));
    std::fs::write(&draft, bytes)?;
    if durability == Durability::PowerLoss {
        File::open(&draft)?.sync_all()?;
    }
    std::fs::rename(&draft, folder.join(name))?;
    if durability == Durability::PowerLoss {
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}
