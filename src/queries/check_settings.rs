//! `check-settings`: validates the settings of `serve`.

use std::path::Path;

use crate::config::Config;
use crate::error::{Error, Result};
use crate::peer::PeerKey;
use crate::settings::Settings;

/// Validates the settings, the first configuration in them and the key file.
///
/// # Errors
/// `Error::Invalid` with all problems of the settings or of the first configuration, `Error::Start` if a file
/// can't be read or the key is too short.
pub fn run(file: &Path) -> Result<()> {
    let settings = Settings::read(file)?;
    if let Some(document) = &settings.first_config {
        Config::from_value(document).map_err(|problems| Error::Invalid {
            file: format!("{}: first_config", file.display()),
            problems,
        })?;
    }
    PeerKey::read(&settings.key_file)?;
    println!("{}: valid", file.display());
    Ok(())
}
