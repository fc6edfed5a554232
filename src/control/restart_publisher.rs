//! Sends news of targets that may have restarted to all other replicas at once.

use std::net::IpAddr;
use std::rc::Rc;

use super::frames::ReplicaFrame;
use super::shared::Shared;
use crate::clock::boot_now;

/// Publishes news for as long as the process lives.
pub async fn keep_publishing(shared: Rc<Shared>, own_ip: IpAddr) {
    let mut news = shared.restarts.subscribe();
    let mut sent = 0;
    // `changed` fails only once `shared` is dropped.
    while news.changed().await.is_ok() {
        let restarts = {
            let known = news.borrow_and_update();
            let restarts = known.since(sent, boot_now());
            sent = known.revision();
            restarts
        };
        if !restarts.is_empty() {
            let view = shared.view.borrow();
            shared.broadcast(&view.state, own_ip, &ReplicaFrame::Restarts(restarts));
        }
    }
}
