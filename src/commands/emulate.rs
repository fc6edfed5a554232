//! `emulate`: runs emulated targets and an emulated platform.

use std::path::Path;

use crate::emulator::{Emulator, EmulatorSettings};
use crate::error::Result;
use crate::telemetry::logs;

/// Runs the emulator until SIGTERM or SIGINT.
///
/// # Errors
/// If the settings are invalid or the emulator can't start.
pub fn run(file: &Path) -> Result<()> {
    let settings = EmulatorSettings::read(file)?;
    logs::start(&settings.log)?;
    super::block_on(async {
        let (_emulator, platform) = Emulator::start(settings).await?;
        println!("ready platform=http://{platform}");
        super::wait_for_shutdown_signal().await
    })
}
