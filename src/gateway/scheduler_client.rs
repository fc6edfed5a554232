//! Client of the scheduler, which places prompts on engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

use crate::clock::{BootTime, boot_now};
use crate::control::frames::{SchedulerError, SchedulerRequest, encode};
use crate::ids::ServiceId;
use crate::scheduler::{EndReason, Placement, PlacementEvent, PlacementRequest};

/// How long to wait for the first reply before the entry selects a target itself. Usual replies
/// take one or two milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// After such a timeout no requests are sent for this long.
const PAUSE_AFTER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long to wait for a retry. Without it the request fails, so a late reply is better than none.
const RETRY_REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// After a denial no retries are requested for the service for this long.
const PAUSE_AFTER_DENIAL: Duration = Duration::from_millis(500);

/// If no scheduler is available, a prompt waits for this fraction of its objective, but at least
/// `MIN_SCHEDULER_WAIT`, for a leader to be elected. An entry that selects a target itself can't use
/// cached prompt parts, so the engine must read most of the prompt again.
const WAIT_OBJECTIVE_FRACTION: f64 = 0.4;
const MIN_SCHEDULER_WAIT: Duration = Duration::from_millis(200);
/// The wait is at most the time left for the prompt, divided by this.
const TIME_LEFT_DIVISOR: u32 = 3;
/// After this time without a scheduler, which is longer than an election, prompts no longer wait.
const MAX_ABSENCE: Duration = Duration::from_secs(1);
/// How often the request is repeated while it waits for a scheduler.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);

type PlacementOutcome = Result<Placement, SchedulerError>;

/// A reply to a placement request.
pub(super) enum Reply {
    Queued,
    Placed(Box<PlacementOutcome>),
}

/// A placement request without a final reply. Dropping it withdraws the request.
struct PendingRequest<'a> {
    client: &'a SchedulerClient,
    number: u64,
    replies: mpsc::Receiver<Reply>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let is_open = self.client.pending.borrow_mut().remove(&self.number).is_some();
        self.replies.close();
        // Returns a placement that has already arrived. `deliver` returns those that arrive later.
        while let Ok(reply) = self.replies.try_recv() {
            if let Reply::Placed(outcome) = reply
                && let Ok(placed) = *outcome
            {
                self.client.return_placement(&placed);
            }
        }
        if is_open {
            self.client.send(&SchedulerRequest::Withdraw(self.number));
        }
    }
}

/// Sends placement requests over the current connection, and matches replies to them.
#[derive(Default)]
pub struct SchedulerClient {
    outgoing: RefCell<Option<mpsc::Sender<Arc<[u8]>>>>,
    pending: RefCell<HashMap<u64, mpsc::Sender<Reply>>>,
    /// Requested retries without a reply.
    pending_retries: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    /// When retries were last denied, by service.
    retries_denied: RefCell<HashMap<ServiceId, BootTime>>,
    next_number: Cell<u64>,
    paused_until: Cell<BootTime>,
    /// Notified when a connection is established.
    connected: Notify,
    /// Since when no request has been answered; `None` while a scheduler is available.
    unavailable_since: Cell<Option<BootTime>>,
}

impl SchedulerClient {
    /// Asks the scheduler to place a prompt. Returns `None` if it does not answer in time. If no
    /// scheduler is available, waits for one for a part of the prompt's objective.
    pub async fn place(&self, request: PlacementRequest) -> Option<PlacementOutcome> {
        let begun = Instant::now();
        let mut until = None;
        loop {
            // A scheduler that is asked later must know how much of the caller's patience is used up.
            let passed = begun.elapsed();
            let current = PlacementRequest {
                elapsed: request.elapsed + passed,
                time_left: request.time_left.saturating_sub(passed),
                ..request.clone()
            };
            let (asked_at, max_wait) = (Instant::now(), scheduler_wait(&current));
            match self.try_place(current).await {
                None | Some(Err(SchedulerError::NotScheduling)) => {}
                answered => {
                    self.unavailable_since.set(None);
                    return answered;
                }
            }
            let unavailable_since = self.unavailable_since.get().unwrap_or_else(boot_now);
            self.unavailable_since.set(Some(unavailable_since));
            let is_expired = boot_now() >= unavailable_since + MAX_ABSENCE;
            // A prompt that waited in a scheduler's queue waits for the next scheduler from now on.
            let was_queued = asked_at.elapsed() > REPLY_TIMEOUT * 2;
            let until = match until {
                Some(until) if !was_queued => until,
                _ => *until.insert(Instant::now() + max_wait),
            };
            let left = until.saturating_duration_since(Instant::now());
            if is_expired || left.is_zero() {
                return None;
            }
            // Retries early when a connection is established. A replica that starts to schedule on
            // an existing connection is only noticed by a retry.
            let _ = tokio::time::timeout(left.min(RETRY_INTERVAL), self.connected.notified()).await;
        }
    }

    /// Since when no request has been answered; `None` while a scheduler is available.
    pub fn unavailable_since(&self) -> Option<BootTime> {
        self.unavailable_since.get()
    }

    async fn try_place(&self, request: PlacementRequest) -> Option<PlacementOutcome> {
        if boot_now() < self.paused_until.get() {
            return None;
        }
        let queue_timeout = request.time_left;
        let mut pending = self.register();
        if !self.send(&SchedulerRequest::Place(pending.number, Box::new(request))) {
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

    /// Asks the leader for a retry at the service. Returns false if there is no reply in time.
    pub async fn request_retry(&self, service: &ServiceId) -> bool {
        let denied_at = self.retries_denied.borrow().get(service).copied();
        if denied_at.is_some_and(|at| boot_now() < at + PAUSE_AFTER_DENIAL) {
            return false;
        }
        let (number, (sender, reply)) = (self.take_number(), oneshot::channel());
        if !self.send(&SchedulerRequest::Retry(number, service.clone())) {
            return false;
        }
        self.pending_retries.borrow_mut().insert(number, sender);
        let reply = tokio::time::timeout(RETRY_REPLY_TIMEOUT, reply).await;
        self.pending_retries.borrow_mut().remove(&number);
        let is_granted = matches!(reply, Ok(Ok(true)));
        if !is_granted {
            self.retries_denied.borrow_mut().insert(service.clone(), boot_now());
        }
        is_granted
    }

    /// Delivers the reply to a requested retry. The retry is lost if it came too late.
    pub(super) fn deliver_retry(&self, number: u64, is_granted: bool) {
        if let Some(pending) = self.pending_retries.borrow_mut().remove(&number) {
            let _ = pending.send(is_granted);
        }
    }

    fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    fn register(&self) -> PendingRequest<'_> {
        let number = self.take_number();
        let (sender, replies) = mpsc::channel(2);
        self.pending.borrow_mut().insert(number, sender);
        PendingRequest { client: self, number, replies }
    }

    /// Reports an event of a placement. It is lost if there is no connection, but the scheduler
    /// expires placements by itself.
    pub fn send_event(&self, event: PlacementEvent) {
        self.send(&SchedulerRequest::Event(event));
    }

    /// Returns a placement that will not be used.
    pub fn return_placement(&self, placed: &Placement) {
        self.send_event(PlacementEvent::Ended { ticket: placed.ticket, end: EndReason::NotRun });
    }

    /// Sets the channel of a new connection.
    pub(super) fn attach(&self, outgoing: mpsc::Sender<Arc<[u8]>>) {
        *self.outgoing.borrow_mut() = Some(outgoing);
        self.paused_until.set(BootTime::ZERO);
        self.connected.notify_waiters();
    }

    /// Removes the channel of a closed connection and cancels all pending requests.
    pub(super) fn detach(&self) {
        *self.outgoing.borrow_mut() = None;
        self.pending.borrow_mut().clear();
        self.pending_retries.borrow_mut().clear();
    }

    /// Delivers a reply to the pending request. A placement is returned if the request is no longer
    /// pending.
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

    fn send(&self, frame: &SchedulerRequest) -> bool {
        let outgoing = self.outgoing.borrow();
        outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(encode(frame)).is_ok())
    }
}

/// How long a prompt waits for a scheduler to become available.
fn scheduler_wait(request: &PlacementRequest) -> Duration {
    let held = request.objective.mul_f64(WAIT_OBJECTIVE_FRACTION).max(MIN_SCHEDULER_WAIT);
    held.min(request.time_left / TIME_LEFT_DIVISOR)
}
