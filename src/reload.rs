//! Notices that the settings file has changed, with a signal or without.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::{Error, Result};
use crate::host::HostSettings;
use crate::platform::settings;

/// How often the file is looked at without a signal: seeds change some seconds before they matter.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Has SIGHUP taken from here on, so that one that comes while the process starts does not end it.
///
/// # Errors
/// If signals can't be taken.
pub fn listen_for_sighup() -> Result<Signal> {
    signal(SignalKind::hangup())
        .map_err(|source| Error::start("signals", source, "report this as a defect"))
}

/// Hands out the settings each time that they have changed, for as long as the process lives.
///
/// # Errors
/// If signals can't be taken.
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
            Ok(settings) => {
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
