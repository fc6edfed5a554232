//! Files for a replica's soft state: a checksum followed by the postcard encoding.

use std::fs::File;
use std::io;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

const CHECKSUM_BYTES: usize = 4;

/// The kind of failure that a write must survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The process ends; the host keeps running.
    ProcessCrash,
    /// The host loses power.
    PowerLoss,
}

/// Reads a file.
///
/// # Errors
///
/// If the file is missing or damaged, or has another layout.
pub fn load<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<T, String> {
    let bytes = std::fs::read(folder.join(name)).map_err(|error| error.to_string())?;
    let Some((checksum, body)) = bytes.split_at_checked(CHECKSUM_BYTES) else {
        return Err("the file is too short".to_string());
    };
    if checksum != crc32fast::hash(body).to_le_bytes() {
        return Err("the checksum does not match".to_string());
    }
    match postcard::take_from_bytes(body) {
        Ok((content, [])) => Ok(content),
        Ok(_) => Err("bytes are left over".to_string()),
        Err(error) => Err(error.to_string()),
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
