//! Asks the scheduler where prompts run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::clock::{BootTime, boot_now};
use crate::control::frames::{FromEntry, SchedulerError, encode};
use crate::scheduler::{EndReason, Placement, PlacementEvent, PlacementRequest};

/// An answer takes one or two milliseconds. After this time the entry decides alone.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// After an answer that did not come in time, nothing is asked for this long.
const PAUSE_AFTER_TIMEOUT: Duration = Duration::from_millis(200);

/// While nothing schedules, a prompt waits for this part of its objective, and at least for so long: an
/// election takes some 50 to 600 ms. An entry that decides alone does not know what is resident where, and
/// fetches nothing: the contexts of most of its prompts are read again (3,000 tokens each, measured), and
/// engines are busy with that when the scheduler is back.
const HELD_PART: f64 = 0.4;
const HELD_AT_LEAST: Duration = Duration::from_millis(200);
/// It waits for at most this part of the time that its caller has left.
const HELD_PART_OF_TIME_LEFT: u32 = 3;
/// After this time without answers nobody waits any more: the replicas are gone, not between two leaders.
const RETURNS_WITHIN: Duration = Duration::from_secs(1);
/// How often it is asked again meanwhile.
const ASK_AGAIN_EVERY: Duration = Duration::from_millis(30);

type Answer = Result<Placement, SchedulerError>;

/// What the scheduler says to a placement request.
pub(super) enum Reply {
    Queued,
    Placed(Box<Answer>),
}

/// An ask that is not answered yet. The scheduler is told when nobody waits any more.
struct Pending<'a> {
    asking: &'a SchedulerClient,
    number: u64,
    answers: mpsc::Receiver<Reply>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let is_open = self.asking.waiting.borrow_mut().remove(&self.number).is_some();
        self.answers.close();
        // An answer that came too late is in the channel, or finds nobody later.
        while let Ok(reply) = self.answers.try_recv() {
            if let Reply::Placed(answer) = reply
                && let Ok(placed) = *answer
            {
                self.asking.give_back(&placed);
            }
        }
        if is_open {
            self.asking.send(&FromEntry::Withdraw(self.number));
        }
    }
}

/// The connection to the scheduler.
#[derive(Default)]
pub struct SchedulerClient {
    outgoing: RefCell<Option<mpsc::Sender<Arc<[u8]>>>>,
    waiting: RefCell<HashMap<u64, mpsc::Sender<Reply>>>,
    next: Cell<u64>,
    paused_until: Cell<BootTime>,
    /// Rings when a connection is made.
    connected: Notify,
    /// Since when asks are not answered; `None` while they are.
    absent_since: Cell<Option<BootTime>>,
}

impl SchedulerClient {
    /// Asks where a prompt runs; `None` if there is no answer in time. While nothing schedules, it waits
    /// for a scheduler for a part of the prompt's objective.
    pub async fn ask(&self, ask: PlacementRequest) -> Option<Answer> {
        let until = Instant::now() + hold_timeout(&ask);
        loop {
            match self.ask_once(ask.clone()).await {
                None | Some(Err(SchedulerError::NotScheduling)) => {}
                answered => {
                    self.absent_since.set(None);
                    return answered;
                }
            }
            let absent_since = self.absent_since.get().unwrap_or_else(boot_now);
            self.absent_since.set(Some(absent_since));
            let is_expired = boot_now() >= absent_since + RETURNS_WITHIN;
            let left = until.saturating_duration_since(Instant::now());
            if is_expired || left.is_zero() {
                return None;
            }
            // Whichever comes first: a connection is made, or a replica may have begun to schedule.
            let _ =
                tokio::time::timeout(left.min(ASK_AGAIN_EVERY), self.connected.notified()).await;
        }
    }

    /// Since when asks are not answered; `None` while they are.
    pub fn absent_since(&self) -> Option<BootTime> {
        self.absent_since.get()
    }

    async fn ask_once(&self, ask: PlacementRequest) -> Option<Answer> {
        if boot_now() < self.paused_until.get() {
            return None;
        }
        let most = ask.time_left;
        let mut pending = self.pending();
        if !self.send(&FromEntry::Place(pending.number, ask)) {
            return None;
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, pending.answers.recv()).await {
            Ok(Some(Reply::Placed(answer))) => return Some(*answer),
            Ok(Some(Reply::Queued)) => {}
            Ok(None) => return None,
            Err(_) => {
                log::warn!("event=scheduler_timeout waited_ms={}", ANSWER_TIMEOUT.as_millis());
                self.paused_until.set(boot_now() + PAUSE_AFTER_TIMEOUT);
                return None;
            }
        }
        match tokio::time::timeout(most, pending.answers.recv()).await {
            Ok(Some(Reply::Placed(answer))) => Some(*answer),
            _ => None,
        }
    }

    fn pending(&self) -> Pending<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, answers) = mpsc::channel(2);
        self.waiting.borrow_mut().insert(number, sender);
        Pending { asking: self, number, answers }
    }

    /// Tells what became of a placement. It is lost if there is no connection: the scheduler forgets
    /// the placement by itself.
    pub fn tell(&self, note: PlacementEvent) {
        self.send(&FromEntry::Event(note));
    }

    /// Gives back a placement that is not used.
    pub fn give_back(&self, placed: &Placement) {
        self.tell(PlacementEvent::Ended { ticket: placed.ticket, end: EndReason::NotRun });
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
        self.waiting.borrow_mut().clear();
    }

    /// Hands an answer to whoever waits for it. A placement that nobody waits for is given back: the caller
    /// has left, or the entry has decided alone.
    pub(super) fn deliver(&self, number: u64, reply: Reply) {
        let waiting = match reply {
            Reply::Placed(_) => self.waiting.borrow_mut().remove(&number),
            Reply::Queued => self.waiting.borrow().get(&number).cloned(),
        };
        let unwanted = match waiting {
            Some(waiting) => waiting.try_send(reply).err().map(|error| error.into_inner()),
            None => Some(reply),
        };
        if let Some(Reply::Placed(answer)) = unwanted
            && let Ok(placed) = *answer
        {
            self.give_back(&placed);
        }
    }

    fn send(&self, frame: &FromEntry) -> bool {
        let outgoing = self.outgoing.borrow();
        outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(encode(frame)).is_ok())
    }
}

/// How long a prompt waits for a scheduler.
fn hold_timeout(ask: &PlacementRequest) -> Duration {
    let held = ask.objective.mul_f64(HELD_PART).max(HELD_AT_LEAST);
    held.min(ask.time_left / HELD_PART_OF_TIME_LEFT)
}
