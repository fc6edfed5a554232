//! Publishes requests under which targets have ended to other replicas, as soon as this one knows of it.
//!
//! What is lost on the way is found by the digests that replicas send each other.

use std::net::IpAddr;
use std::rc::Rc;

use super::frames::ReplicaFrame;
use super::shared::Shared;
use crate::clock::boot_now;
use crate::quarantine::Revision;

/// Publishes what changes for as long as the process lives.
pub async fn keep_publishing(shared: Rc<Shared>, own: IpAddr) {
    let mut quarantine = shared.quarantine.subscribe();
    let mut sent = Revision::default();
    // The sender lives as long as `shared`.
    while quarantine.changed().await.is_ok() {
        let reports = {
            let known = quarantine.borrow_and_update();
            let reports = known.changed_since(sent, boot_now());
            sent = known.revision();
            reports
        };
        if !reports.is_empty() {
            let state = shared.view.borrow().state.clone();
            shared.broadcast(&state, own, &ReplicaFrame::Quarantine(reports));
        }
    }
}
