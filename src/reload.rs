//! Reloads the settings file when it changes, on SIGHUP and periodically.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::{Error, Result};
use crate::host::HostSettings;
use crate::platform::settings;

/// Time between two reads of the file without a signal. New seeds are in the file a few seconds before they are
/// needed.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Installs a handler for SIGHUP. From then on, the signal no longer terminates the process.
///
/// # Errors
/// `Error::Start` if the signal handler can't be installed.
pub fn listen_for_sighup() -> Result<Signal> {
    signal(SignalKind::hangup())
        .map_err(|source| Error::start("signals", source, "report this as a defect"))
}

/// Calls `on_change` with the new settings whenever they differ from the `current` ones. Returns only on errors.
///
/// # Errors
/// `Error::Start` if the signal handler can't be installed.
pub async fn watch_settings(
    mut current: HostSettings,
    mut on_change: impl FnMut(&HostSettings),
) -> Result<()> {
    let mut sighup = listen_for_sighup()?;
    loop {
        let was_told = tokio::select! {
            received = sighup.recv() => received.is_some(),
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        match settings::read() {
            Ok(mut settings) => {
                // Set by the command line, not by the file.
                settings.cross_domain_price = current.cross_domain_price;
                if settings != current {
                    log::info!("event=reload was_told={was_told} seeds={:?}", settings.seeds);
                    on_change(&settings);
                    current = settings;
                }
            }
            Err(error) => log::warn!("event=reload_failed reason={:?}", error.to_string()),
        }
    }
}
