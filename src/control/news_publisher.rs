//! Sends news of targets to all other replicas at once.

use std::net::IpAddr;
use std::rc::Rc;

use super::frames::ReplicaFrame;
use super::shared::Shared;
use crate::clock::boot_now;

/// Publishes news for as long as the process lives.
pub async fn keep_publishing(shared: Rc<Shared>, own_ip: IpAddr) {
    let mut changes = shared.news.subscribe();
    let mut sent = 0;
    // `changed` fails only once `shared` is dropped.
    while changes.changed().await.is_ok() {
        let news = {
            let known = changes.borrow_and_update();
            let news = known.since(sent, boot_now());
            sent = known.revision();
            news
        };
        if !news.is_empty() {
            let view = shared.view.borrow();
            shared.broadcast(&view.state, own_ip, &ReplicaFrame::News(news));
        }
    }
}
