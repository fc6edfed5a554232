//! `serve`: runs a node.

use std::path::Path;

use crate::error::{Error, Result};
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry::logs;

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// If the node can't start, or if the shutdown aborted requests.
pub fn run(file: &Path) -> Result<()> {
    let settings = Settings::read(file)?;
    logs::start(&settings.log)?;
    super::block_on(async {
        let (node, addresses) = Node::start(settings).await?;
        println!("ready callers={} operators={}", addresses.callers, addresses.operators);
        super::wait_for_shutdown_signal().await?;
        match node.shut_down().await {
            0 => Ok(()),
            aborted => Err(Error::Failed {
                message: format!(
                    "{aborted} requests were aborted by the shutdown; raise timing.shutdown_ms"
                ),
            }),
        }
    })
}
