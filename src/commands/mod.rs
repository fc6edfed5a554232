//! Commands that run a process or change state.

pub mod config_patch;
pub mod demo;
pub mod deployment_role;
pub mod emulate;
pub mod key_new;
pub mod load;
pub mod replicas;
pub mod serve;

use std::future::Future;

use crate::error::{Error, Result};

/// Runs a future on a new multi-threaded runtime.
///
/// # Errors
/// `Error::Start` if the runtime can't be created, otherwise the error of the future.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::start("runtime", source, "raise the limits of this user"))?;
    let result = runtime.block_on(future);
    runtime.shutdown_background();
    result
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// `Error::Start` if the signal handlers can't be installed.
pub async fn wait_for_shutdown_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let listen = |kind| {
        signal(kind).map_err(|source| Error::start("signals", source, "report this as a defect"))
    };
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
