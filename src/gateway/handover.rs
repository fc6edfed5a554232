//! How far an attempt has come, so that another one can replace it.

use std::time::Duration;

use tokio::sync::watch;

use crate::ids::TargetStart;

/// Who a request has been sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    Target(TargetStart),
    /// Another entry, which has not named a target yet.
    Entry,
}

impl Recipient {
    /// The target, if it is known.
    pub fn into_target(self) -> Option<TargetStart> {
        match self {
            Recipient::Target(target) => Some(target),
            Recipient::Entry => None,
        }
    }
}

/// The state of an attempt, shared with the one that made it.
#[derive(Debug, Default)]
pub struct AttemptState {
    sent_to: watch::Sender<Option<Recipient>>,
    is_given_up: watch::Sender<bool>,
}

impl AttemptState {
    /// Records that the request is sent now.
    pub fn mark_sent(&self, recipient: Recipient) {
        self.sent_to.send_replace(Some(recipient));
    }

    /// Who the request was last sent to; `None` before it is sent.
    pub fn recipient(&self) -> Option<Recipient> {
        self.sent_to.borrow().clone()
    }

    /// Waits until the request is sent.
    pub async fn sent(&self) {
        // Fails only without a sender, which `self` is.
        let _ = self.sent_to.subscribe().wait_for(Option::is_some).await;
    }

    /// Waits until the request has been sent for as long as `limit`; forever without a limit.
    pub async fn silent_for(&self, limit: Option<Duration>) {
        let Some(limit) = limit else { return std::future::pending().await };
        self.sent().await;
        tokio::time::sleep(limit).await;
    }

    /// Ends the wait for the head of the response.
    pub fn give_up(&self) {
        self.is_given_up.send_replace(true);
    }

    /// Waits until the attempt is given up.
    pub async fn given_up(&self) {
        let _ = self.is_given_up.subscribe().wait_for(|is_given_up| *is_given_up).await;
    }
}
