//! Sends changes of the quarantine to all other replicas at once.
//!
//! Lost frames are detected by the digests that replicas exchange periodically.

use std::net::IpAddr;
use std::rc::Rc;

use super::frames::ReplicaFrame;
use super::shared::Shared;
use crate::clock::boot_now;
use crate::quarantine::Revision;

/// Publishes changes for as long as the process lives.
pub async fn keep_publishing(shared: Rc<Shared>, own_ip: IpAddr) {
    let mut quarantine = shared.quarantine.subscribe();
    let mut sent = Revision::default();
    // `changed` fails only once `shared` is dropped.
    while quarantine.changed().await.is_ok() {
        let reports = {
            let known = quarantine.borrow_and_update();
            let reports = known.news_since(sent, boot_now());
            sent = known.revision();
            reports
        };
        if !reports.is_empty() {
            let state = shared.view.borrow().state.clone();
            shared.broadcast(&state, own_ip, &ReplicaFrame::Quarantine(reports));
        }
    }
}
