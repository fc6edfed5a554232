//! How the tasks of one process share what it knows.

use tokio::sync::watch;

use super::{MergeResult, Quarantine};

/// Changes what a process knows, tells those who wait for news, and logs which requests are held from now
/// on.
pub fn update_and_notify(
    quarantine: &watch::Sender<Quarantine>,
    update: impl FnOnce(&mut Quarantine) -> MergeResult,
) {
    let mut held = Vec::new();
    quarantine.send_if_modified(|known| {
        let merged = update(known);
        held = merged.held;
        merged.changed
    });
    for fingerprint in held {
        log::warn!("event=request_held fingerprint={fingerprint}");
    }
}
