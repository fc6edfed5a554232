//! What replicas tell entries of the quarantine: the records whose holds may have changed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::frames::{Update, encode};
use super::shared::Shared;
use crate::clock::{BootTime, boot_now};
use crate::quarantine::{Quarantine, Revision};

/// Shortest interval between updates. Many targets may end at the same time.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// How long a frame is sent. It tells the ages of ends at the time at which it was encoded.
const FRAME_VALIDITY: Duration = Duration::from_millis(200);

/// The last update of holds, encoded once for all entries.
#[derive(Clone, Default)]
pub struct HoldNews {
    /// An entry that was told up to this revision needs nothing but `frame`.
    since: Revision,
    /// The revision up to which `frame` tells.
    until: Revision,
    frame: Option<Arc<[u8]>>,
    encoded_at: BootTime,
}

impl HoldNews {
    /// What to send to an entry that was told up to `told`, which becomes the newest revision.
    pub fn frame_after(
        &self,
        told: &mut Revision,
        known: &Quarantine,
        now: BootTime,
    ) -> Option<Arc<[u8]>> {
        let since = std::mem::replace(told, self.until);
        match since {
            since if since == self.until => None,
            since if since == self.since && now < self.encoded_at + FRAME_VALIDITY => {
                self.frame.clone()
            }
            since => encode_since(since, known, now),
        }
    }

    /// Advances to what is known now. Returns whether there is anything new for entries.
    pub fn advance(&mut self, known: &Quarantine, now: BootTime) -> bool {
        let newest = known.holds_revision();
        if newest == self.until {
            return false;
        }
        self.frame = encode_since(self.until, known, now);
        self.encoded_at = now;
        self.since = std::mem::replace(&mut self.until, newest);
        true
    }
}

fn encode_since(since: Revision, known: &Quarantine, now: BootTime) -> Option<Arc<[u8]>> {
    let reports = known.hold_reports_since(since, now);
    (!reports.is_empty()).then(|| encode(&Update::Quarantine(reports)))
}

/// Publishes changes for as long as the process lives.
pub async fn keep_publishing(shared: Rc<Shared>) {
    let mut quarantine = shared.quarantine.subscribe();
    // It may have been restored from disk.
    quarantine.mark_changed();
    // `changed` fails only once `shared` is dropped.
    while quarantine.changed().await.is_ok() {
        let has_news = {
            let known = quarantine.borrow_and_update();
            shared.hold_news.send_if_modified(|news| news.advance(&known, boot_now()))
        };
        if has_news {
            tokio::time::sleep(UPDATE_INTERVAL).await;
        }
    }
}
