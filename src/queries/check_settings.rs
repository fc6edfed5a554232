//! `check-settings`: checks settings of `serve`.

use std::path::Path;

use crate::config::Config;
use crate::error::{Error, Result};
use crate::peer::PeerKey;
use crate::settings::Settings;

/// Checks settings whole and prints that they are valid.
///
/// # Errors
/// Everything that is wrong.
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
