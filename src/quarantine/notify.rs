//! Updates of the quarantine that the tasks of one process share.

use tokio::sync::watch;

use super::{Fingerprint, MergeResult, Quarantine};

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
    log_held(&quarantine.borrow(), &held);
}

/// Logs newly held requests with the reason for each.
pub fn log_held(quarantine: &Quarantine, held: &[Fingerprint]) {
    for fingerprint in held {
        if let Some(reason) = quarantine.hold_reason(*fingerprint) {
            log::warn!("event=request_held fingerprint={fingerprint} {reason}");
        }
    }
}
