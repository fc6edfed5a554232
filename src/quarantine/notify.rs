//! Updates of the quarantine that the tasks of one process share.

use tokio::sync::watch;

use super::{MergeResult, Quarantine};

/// Updates the quarantine, notifies its subscribers if it changed, and logs newly held requests.
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
