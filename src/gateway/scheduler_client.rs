//! Asks the scheduler where prompts run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::clock::{BootTime, boot_now};
use crate::control::frames::{FromEntry, SchedulerError, encode};
use crate::scheduler::{End, Placed, PlacementEvent, PlacementRequest};

/// An answer takes one or two milliseconds. After this time the entry decides alone.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// After an answer that did not come in time, nothing is asked for this long.
const PAUSE_AFTER_TIMEOUT: Duration = Duration::from_millis(200);

/// While nothing schedules, a prompt waits for this part of its objective, and at least for so long: an
/// election takes some 50 to 600 ms. An entry that decides alone does not know what is resident where, and
/// fetches nothing: the contexts of most of its prompts are read again (3,000 tokens each, measured), and
/// engines are busy with that when the scheduler is back.
const WAIT_OBJECTIVE_FRACTION: f64 = 0.4;
const MIN_SCHEDULER_WAIT: Duration = Duration::from_millis(200);
/// It waits for at most this part of the time that its caller has left.
const TIME_LEFT_DIVISOR: u32 = 3;
/// After this time without answers nobody waits any more: the replicas are gone, not between two leaders.
const MAX_ABSENCE: Duration = Duration::from_secs(1);
/// How often it is asked again meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);

type PlacementOutcome = Result<Placed, SchedulerError>;

/// What the scheduler says to a placement request.
pub(super) enum Reply {
    Queued,
    Placed(Box<PlacementOutcome>),
}

/// An ask that is not answered yet. The scheduler is told when nobody waits any more.
struct PendingRequest<'a> {
    client: &'a SchedulerClient,
    number: u64,
    replies: mpsc::Receiver<Reply>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let is_open = self.client.pending.borrow_mut().remove(&self.number).is_some();
        self.replies.close();
        // An answer that came too late is in the channel, or finds nobody later.
        while let Ok(reply) = self.replies.try_recv() {
            if let Reply::Placed(outcome) = reply
                && let Ok(placed) = *outcome
            {
                self.client.return_placement(&placed);
            }
        }
        if is_open {
            self.client.send(&FromEntry::Withdraw(self.number));
        }
    }
}

/// The connection to the scheduler.
#[derive(Default)]
pub struct SchedulerClient {
    outgoing: RefCell<Option<mpsc::Sender<Arc<[u8]>>>>,
    pending: RefCell<HashMap<u64, mpsc::Sender<Reply>>>,
    next_number: Cell<u64>,
    paused_until: Cell<BootTime>,
    /// Rings when a connection is made.
    connected: Notify,
    /// Since when asks are not answered; `None` while they are.
    unavailable_since: Cell<Option<BootTime>>,
}

impl SchedulerClient {
    /// Asks where a prompt runs; `None` if there is no answer in time. While nothing schedules, it waits
    /// for a scheduler for a part of the prompt's objective.
    pub async fn place(&self, request: PlacementRequest) -> Option<PlacementOutcome> {
        let until = Instant::now() + scheduler_wait(&request);
        loop {
            match self.try_place(request.clone()).await {
                None | Some(Err(SchedulerError::NotScheduling)) => {}
                answered => {
                    self.unavailable_since.set(None);
                    return answered;
                }
            }
            let unavailable_since = self.unavailable_since.get().unwrap_or_else(boot_now);
            self.unavailable_since.set(Some(unavailable_since));
            let is_expired = boot_now() >= unavailable_since + MAX_ABSENCE;
            let left = until.saturating_duration_since(Instant::now());
            if is_expired || left.is_zero() {
                return None;
            }
            // Whichever comes first: a connection is made, or a replica may have begun to schedule.
            let _ = tokio::time::timeout(left.min(RETRY_INTERVAL), self.connected.notified()).await;
        }
    }

    /// Since when asks are not answered; `None` while they are.
    pub fn unavailable_since(&self) -> Option<BootTime> {
        self.unavailable_since.get()
    }

    async fn try_place(&self, request: PlacementRequest) -> Option<PlacementOutcome> {
        if boot_now() < self.paused_until.get() {
            return None;
        }
        let queue_timeout = request.time_left;
        let mut pending = self.register();
        if !self.send(&FromEntry::Place(pending.number, request)) {
            return None;
        }
        match tokio::time::timeout(REPLY_TIMEOUT, pending.replies.recv()).await {
            Ok(Some(Reply::Placed(outcome))) => return Some(*outcome),
            Ok(Some(Reply::Queued)) => {}
            Ok(None) => return None,
            Err(_) => {
                log::warn!("event=scheduler_timeout waited_ms={}", REPLY_TIMEOUT.as_millis());
                self.paused_until.set(boot_now() + PAUSE_AFTER_TIMEOUT);
                return None;
            }
        }
        match tokio::time::timeout(queue_timeout, pending.replies.recv()).await {
            Ok(Some(Reply::Placed(outcome))) => Some(*outcome),
            _ => None,
        }
    }

    fn register(&self) -> PendingRequest<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (sender, replies) = mpsc::channel(2);
        self.pending.borrow_mut().insert(number, sender);
        PendingRequest { client: self, number, replies }
    }

    /// Tells what became of a placement. It is lost if there is no connection: the scheduler forgets
    /// the placement by itself.
    pub fn send_event(&self, event: PlacementEvent) {
        self.send(&FromEntry::Event(event));
    }

    /// Gives back a placement that is not used.
    pub fn return_placement(&self, placed: &Placed) {
        self.send_event(PlacementEvent::Ended { ticket: placed.ticket, end: End::NotRun });
    }

    /// A connection is made: requests go through this channel.
    pub(super) fn attach(&self, outgoing: mpsc::Sender<Arc<[u8]>>) {
        *self.outgoing.borrow_mut() = Some(outgoing);
        self.paused_until.set(BootTime::ZERO);
        self.connected.notify_waiters();
    }

    /// The connection has ended, and with it all that waits for an answer.
    pub(super) fn detach(&self) {
        *self.outgoing.borrow_mut() = None;
        self.pending.borrow_mut().clear();
    }

    /// Hands an answer to whoever waits for it. A placement that nobody waits for is given back: the caller
    /// has left, or the entry has decided alone.
    pub(super) fn deliver(&self, number: u64, reply: Reply) {
        let pending = match reply {
            Reply::Placed(_) => self.pending.borrow_mut().remove(&number),
            Reply::Queued => self.pending.borrow().get(&number).cloned(),
        };
        let unwanted = match pending {
            Some(pending) => pending.try_send(reply).err().map(|error| error.into_inner()),
            None => Some(reply),
        };
        if let Some(Reply::Placed(outcome)) = unwanted
            && let Ok(placed) = *outcome
        {
            self.return_placement(&placed);
        }
    }

    fn send(&self, frame: &FromEntry) -> bool {
        let outgoing = self.outgoing.borrow();
        outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(encode(frame)).is_ok())
    }
}

/// How long a prompt waits for a scheduler.
fn scheduler_wait(request: &PlacementRequest) -> Duration {
    let held = request.objective.mul_f64(WAIT_OBJECTIVE_FRACTION).max(MIN_SCHEDULER_WAIT);
    held.min(request.time_left / TIME_LEFT_DIVISOR)
}
