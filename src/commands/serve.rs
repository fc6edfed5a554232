//! `serve`: runs a node until it is asked to end.

use std::path::Path;

use crate::error::{Error, Result};
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry::logs;

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// If it can't start, or if requests were cut off at the end.
pub fn run(file: &Path) -> Result<()> {
    let settings = Settings::read(file)?;
    logs::start(&settings.log)?;
    super::block_on(async {
        let (node, listening) = Node::start(settings).await?;
        println!("ready callers={} operators={}", listening.callers, listening.operators);
        super::until_asked_to_end().await?;
        match node.shut_down().await {
            0 => Ok(()),
            cut_off => Err(Error::Failed {
                message: format!(
                    "{cut_off} requests were cut off by the shutdown; raise timing.shutdown_ms"
                ),
            }),
        }
    })
}
