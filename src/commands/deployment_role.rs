//! `entry` and `replica`: run one role of a deployment on a host of the platform.

use std::future::Future;

use log::LevelFilter;
use tokio::task::LocalSet;

use crate::error::{Error, Result};
use crate::essential_tasks;
use crate::fleet::locality::BytePrice;
use crate::host::HostSettings;
use crate::telemetry::logs;
use crate::{control, gateway, platform, reload};

/// Runs an entry until SIGTERM or SIGINT.
///
/// # Errors
/// If the settings are invalid, the process can't start, or an essential task ends.
pub fn run_entry(price: BytePrice) -> Result<()> {
    run_role(price, gateway::run::run)
}

/// Runs a replica until SIGTERM or SIGINT.
///
/// # Errors
/// If the settings are invalid, the process can't start, its disk fails, or an essential task ends.
pub fn run_replica(price: BytePrice) -> Result<()> {
    run_role(price, control::run::run)
}

/// Runs a role on a single thread: these hosts provide only a fraction of a core.
fn run_role<F: Future<Output = Result<()>>>(
    cross_domain_price: BytePrice,
    role: impl FnOnce(HostSettings) -> F,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::start("runtime", source, "raise the limits of this user"))?;
    {
        let _guard = runtime.enter();
        // Installs the SIGHUP handler early: the default action would terminate the process during its start.
        drop(reload::listen_for_sighup()?);
    }
    let host = HostSettings { cross_domain_price, ..platform::settings::read()? };
    logs::start_non_blocking(LevelFilter::Info)?;
    essential_tasks::log_panics();
    let result = LocalSet::new().block_on(&runtime, role(host));
    runtime.shutdown_background();
    log::logger().flush();
    result
}
