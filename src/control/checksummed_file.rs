//! Soft state in a file of a replica: a checksum, then the content.

use std::fs::File;
use std::io;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The checksum before the content.
const CHECKSUM_BYTES: usize = 4;

/// What a write must outlast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The process.
    ProcessCrash,
    /// A loss of power.
    PowerLoss,
}

/// Reads what was kept.
///
/// # Errors
/// A reason, if nothing that can be read was.
pub fn load<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<T, String> {
    let bytes = std::fs::read(folder.join(name)).map_err(|error| error.to_string())?;
    let Some((checksum, body)) = bytes.split_at_checked(CHECKSUM_BYTES) else {
        return Err("too short".to_string());
    };
    if checksum != crc32fast::hash(body).to_le_bytes() {
        return Err("the checksum differs".to_string());
    }
    postcard::from_bytes(body).map_err(|error| error.to_string())
}

/// Replaces what was kept, all at once.
///
/// # Errors
/// Those of the disk.
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
