//! `entry` and `replica`: run one role of a deployment on the platform's host.

use std::future::Future;

use log::LevelFilter;
use tokio::task::LocalSet;

use crate::error::{Error, Result};
use crate::essential;
use crate::host::HostSettings;
use crate::telemetry::logs;
use crate::{control, gateway, platform, reload};

/// Runs an entry until SIGTERM or SIGINT.
///
/// # Errors
/// If it can't start.
pub fn entry() -> Result<()> {
    run(gateway::run::run)
}

/// Runs a replica until SIGTERM or SIGINT.
///
/// # Errors
/// If it can't start.
pub fn replica() -> Result<()> {
    run(control::run::run)
}

/// These hosts have a part of one core, so one thread does all the work.
fn run<F: Future<Output = Result<()>>>(role: impl FnOnce(HostSettings) -> F) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::start("runtime", source, "raise the limits of this user"))?;
    {
        let _inside = runtime.enter();
        // Taken from now on, even if nobody listens yet.
        drop(reload::take_hang_ups()?);
    }
    let host = platform::settings::read()?;
    logs::start_non_blocking(LevelFilter::Info)?;
    essential::log_panics();
    let result = LocalSet::new().block_on(&runtime, role(host));
    runtime.shutdown_background();
    log::logger().flush();
    result
}
