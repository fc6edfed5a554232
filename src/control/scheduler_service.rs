//! Runs the scheduler while this replica is the leader, and serves the entries that use it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc};

use super::engine_report;
use super::entry_directory::EntryProcess;
use super::frames::{self, SchedulerError, SchedulerReply, SchedulerRequest, encode};
use super::shared::Shared;
use crate::clock::{BootTime, boot_now};
use crate::fleet::budget::RetryLimit;
use crate::fleet::locality::BytePrice;
use crate::fleet::retry_reserve::{ReserveContext, RetryReserve};
use crate::ids::{ServiceId, TargetStart};
use crate::log::Term;
use crate::net::http::{HttpCall, fetch, shown_status};
use crate::platform::stores;
use crate::scheduler::store::{FREE_TTL, FreePlan};
use crate::scheduler::weights::OldWeightsPolicy;
use crate::scheduler::{
    EndReason, Placement, PlacementEvent, PlacementRequest, Scheduler, TicketId, WaiterId,
};
use crate::telemetry::logs::joined;

/// How often queued prompts are dispatched without a triggering event.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between dispatches triggered by placement events.
const MIN_DISPATCH_GAP: Duration = Duration::from_millis(2);
/// A leader whose leadership was not confirmed for this long schedules nothing. Shorter than the
/// election timeout, so no other leader can have been elected.
const LEADERSHIP_MAX_AGE: Duration = Duration::from_millis(250);
/// How often to check for confirmed leadership.
const LEADERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout of a request to a store to free parts.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// The scheduler of this replica with its clients.
pub struct SchedulerService {
    /// The shared state of the replica.
    pub shared: Rc<Shared>,
    /// How long prompts may still start on old weights after a newer version was named.
    pub old_weights: OldWeightsPolicy,
    /// Price of traffic between failure domains.
    pub(super) cross_domain_price: BytePrice,
    /// The scheduler and its term; `None` while another replica is the leader.
    pub(super) active: RefCell<Option<(Term, Scheduler)>>,
    /// Retries for entries whose own budget is exhausted; `None` if there is no limit to share.
    pub(super) retry_reserve: RefCell<Option<RetryReserve>>,
    /// The last connection of each entry that is open, by name.
    sessions: RefCell<HashMap<String, Rc<EntrySession>>>,
    /// Queued prompts.
    waiters: RefCell<HashMap<WaiterId, Waiter>>,
    next_waiter: Cell<WaiterId>,
    /// Engines with a pending query for their weights.
    weight_queries: RefCell<HashSet<TargetStart>>,
    dispatched_at: Cell<BootTime>,
}

/// A queued prompt.
struct Waiter {
    entry: Rc<EntrySession>,
    /// The id that the entry gave the request.
    request_id: u64,
}

/// The replies to one entry, and its open requests.
struct EntrySession {
    process: EntryProcess,
    /// Notified once the entry has another connection.
    replaced: Notify,
    answers: mpsc::UnboundedSender<SchedulerReply>,
    /// Queued prompts by request id.
    waiting: RefCell<HashMap<u64, WaiterId>>,
    /// Placements that have not ended.
    active_tickets: RefCell<HashSet<TicketId>>,
}

impl EntrySession {
    fn new(process: EntryProcess, answers: mpsc::UnboundedSender<SchedulerReply>) -> EntrySession {
        EntrySession {
            process,
            replaced: Notify::new(),
            answers,
            waiting: RefCell::default(),
            active_tickets: RefCell::default(),
        }
    }

    /// Takes the place of an earlier connection of the entry, which may not have been noticed to be broken. The same
    /// process still reports on its placements. Those of an earlier one have ended with it.
    fn replace(&self, earlier: &EntrySession) {
        if earlier.process == self.process {
            self.active_tickets.borrow_mut().extend(earlier.active_tickets.take());
        }
        earlier.replaced.notify_one();
    }

    /// Replies to a placement request. A placement is active from here on, even if the reply is
    /// lost.
    fn answer(&self, request_id: u64, answer: Result<Placement, SchedulerError>) {
        self.waiting.borrow_mut().remove(&request_id);
        if let Ok(placed) = &answer {
            self.active_tickets.borrow_mut().insert(placed.ticket);
        }
        // If the connection has ended, `serve` sees that on the read half.
        let _ = self.answers.send(SchedulerReply::Placed(request_id, answer));
    }
}

impl SchedulerService {
    /// Creates a service without a scheduler.
    pub fn new(shared: Rc<Shared>, old_weights: OldWeightsPolicy) -> SchedulerService {
        SchedulerService {
            shared,
            old_weights,
            cross_domain_price: BytePrice::default(),
            active: RefCell::default(),
            retry_reserve: RefCell::default(),
            sessions: RefCell::default(),
            waiters: RefCell::default(),
            next_waiter: Cell::new(0),
            weight_queries: RefCell::default(),
            dispatched_at: Cell::new(BootTime::ZERO),
        }
    }

    /// Sets the price of traffic between failure domains.
    pub fn with_cross_domain_price(self, price: BytePrice) -> SchedulerService {
        SchedulerService { cross_domain_price: price, ..self }
    }

    /// Grants retries within this limit of all entries.
    pub fn with_retry_limit(self, limit: RetryLimit) -> SchedulerService {
        self.retry_reserve.replace(Some(RetryReserve::new(limit)));
        self
    }

    /// Grants a retry from the reserve, if this replica is confirmed to be the leader.
    fn grant_retry(&self, service: &ServiceId) -> bool {
        let term = self.shared.view.borrow().term;
        if !self.is_active(term) || self.with_scheduler(|_| {}).is_none() {
            return false;
        }
        let context = ReserveContext {
            term,
            is_first_service: self.shared.unserved_term.get() == term,
            entries: self.shared.entry_count.get(),
        };
        let mut reserve = self.retry_reserve.borrow_mut();
        reserve.as_mut().is_some_and(|reserve| reserve.try_grant(service, context, boot_now()))
    }

    /// Calls the scheduler if this replica is confirmed to be the leader.
    pub fn with_scheduler<T>(&self, call: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
        if !self.shared.is_current(LEADERSHIP_MAX_AGE) || !self.shared.view.borrow().leads {
            return None;
        }
        let mut active = self.active.borrow_mut();
        active.as_mut().map(|(_, scheduler)| call(scheduler))
    }

    /// Waits until `with_scheduler` can succeed. Returns false if this replica no longer schedules
    /// in the term.
    ///
    /// Leadership is unconfirmed until the first log entry of the term is committed, and while a
    /// quorum is slow to answer. Without the wait, a store inventory read in the meantime would be
    /// lost until the next read 10 s later, and the parts in the store recomputed.
    pub async fn wait_for_leadership(&self, term: Term) -> bool {
        while self.is_active(term) {
            if self.with_scheduler(|_| {}).is_some() {
                return true;
            }
            tokio::time::sleep(LEADERSHIP_POLL_INTERVAL).await;
        }
        false
    }

    pub fn waiting_count(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Whether this replica still schedules in a term.
    pub fn is_active(&self, term: Term) -> bool {
        self.active.borrow().as_ref().is_some_and(|(active, _)| *active == term)
    }

    /// Rejects queued prompts, so that entries retry them at the new leader.
    pub(super) fn refuse_waiters(&self) {
        for Waiter { entry, request_id } in
            std::mem::take(&mut *self.waiters.borrow_mut()).into_values()
        {
            entry.answer(request_id, Err(SchedulerError::NotScheduling));
        }
    }

    /// Queries the weights of engines for which the scheduler no longer trusts its record.
    pub(super) fn query_doubted_engines(self: &Rc<SchedulerService>) {
        let doubted =
            self.with_scheduler(|scheduler| scheduler.unverified_engines()).unwrap_or_default();
        for (engine, address) in doubted {
            if !self.weight_queries.borrow_mut().insert(engine.clone()) {
                continue;
            }
            let scheduling = self.clone();
            tokio::task::spawn_local(async move {
                let report = engine_report::read(&engine, address).await;
                let weights = report.map(|report| report.weights);
                let shown =
                    weights.iter().flatten().map(|(model, version)| format!("{model}:{version}"));
                log::info!("event=weights_queried engine={engine} weights={}", joined(shown));
                if let Some(weights) = &weights {
                    // The rollout relies on the roster: an engine with older weights than listed
                    // would not be told to load.
                    scheduling.shared.change_roster(|known| known.set_weights(&engine, weights));
                }
                let version = weights.and_then(|weights| weights.values().next().copied());
                scheduling.weight_queries.borrow_mut().remove(&engine);
                // No scheduler is running if this replica has lost leadership.
                let _ = scheduling
                    .with_scheduler(|scheduler| scheduler.resolve_weights(&engine, version));
            });
        }
    }

    pub(super) fn free_parts(self: &Rc<SchedulerService>) {
        let now = boot_now();
        let planned = self.with_scheduler(|scheduler| {
            let clock_ms = scheduler.engines_clock_ms(now)?;
            Some((scheduler.plan_frees(now), clock_ms + FREE_TTL.as_millis() as u64))
        });
        let Some(Some((plans, until_ms))) = planned else { return };
        for plan in plans {
            let scheduling = self.clone();
            tokio::task::spawn_local(async move { scheduling.free(plan, until_ms).await });
        }
    }

    async fn free(&self, plan: FreePlan, until_ms: u64) {
        let call = HttpCall::new(plan.store, Method::POST, stores::FREE_PATH)
            .with_json(stores::encode_free(&plan, until_ms));
        let answer = fetch(call, FREE_TIMEOUT).await;
        let status = answer.as_ref().map(|answer| answer.status);
        log::info!(
            "event=parts_freed store={} count={} answer={}",
            plan.store,
            plan.parts.len(),
            shown_status(&status)
        );
        // Without a success status the parts may or may not be gone: they stay excluded from
        // fetches, and the request is repeated.
        if matches!(status, Ok(StatusCode::OK)) {
            let _ = self.with_scheduler(|scheduler| scheduler.confirm_freed(&plan));
        }
    }

    /// Serves one entry until its connection ends.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    pub async fn serve(
        &self,
        name: &str,
        process: EntryProcess,
        read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let (sender, mut answers) = mpsc::unbounded_channel::<SchedulerReply>();
        let client = ClientConnection::new(self, name, EntrySession::new(process, sender));
        let writing = async {
            while let Some(first) = answers.recv().await {
                let mut bytes = encode(&first).to_vec();
                while let Ok(next) = answers.try_recv() {
                    bytes.extend_from_slice(&encode(&next));
                }
                write.write_all(&bytes).await?;
            }
            Ok::<_, std::io::Error>(())
        };
        let ended = tokio::select! {
            ended = client.handle_all(read) => ended,
            ended = writing => ended,
            () = client.entry.replaced.notified() => Err(ErrorKind::ConnectionAborted.into()),
        };
        client.close();
        ended
    }

    /// Dispatches queued prompts and sends the results.
    fn dispatch(&self) {
        self.dispatched_at.set(boot_now());
        let outcomes = self.with_scheduler(|scheduler| scheduler.dispatch(boot_now()));
        for (waiter, outcome) in outcomes.into_iter().flatten() {
            if let Some(Waiter { entry, request_id }) = self.waiters.borrow_mut().remove(&waiter) {
                entry.answer(request_id, outcome.map_err(SchedulerError::from));
            }
        }
    }

    /// Dispatches at regular intervals, for as long as the process lives.
    pub async fn keep_dispatching(self: Rc<SchedulerService>) {
        loop {
            tokio::time::sleep(DISPATCH_INTERVAL).await;
            if !self.waiters.borrow().is_empty() {
                self.dispatch();
            }
        }
    }

    /// Records that a store was restarted or cannot be reached.
    pub fn lost_store(&self, store: SocketAddr) {
        let _ = self.with_scheduler(|scheduler| scheduler.reset_store(store));
    }
}

/// The connection of one entry.
struct ClientConnection<'s> {
    scheduling: &'s SchedulerService,
    name: &'s str,
    entry: Rc<EntrySession>,
}

impl<'s> ClientConnection<'s> {
    fn new(
        scheduling: &'s SchedulerService,
        name: &'s str,
        entry: EntrySession,
    ) -> ClientConnection<'s> {
        let entry = Rc::new(entry);
        let earlier = scheduling.sessions.borrow_mut().insert(name.to_string(), entry.clone());
        earlier.iter().for_each(|earlier| entry.replace(earlier));
        ClientConnection { scheduling, name, entry }
    }

    async fn handle_all(&self, mut read: BufReader<OwnedReadHalf>) -> std::io::Result<()> {
        loop {
            match frames::read(&mut read).await? {
                SchedulerRequest::Place(request_id, request) => self.place(request_id, *request),
                SchedulerRequest::Withdraw(request_id) => {
                    let waiter = self.entry.waiting.borrow_mut().remove(&request_id);
                    waiter.into_iter().for_each(|waiter| self.withdraw(waiter));
                }
                SchedulerRequest::Event(event) => self.handle_event(&event),
                SchedulerRequest::Retry(id, service) => {
                    let is_granted = self.scheduling.grant_retry(&service);
                    // If the connection has ended, `serve` sees that on the read half.
                    let _ = self.entry.answers.send(SchedulerReply::Retry(id, is_granted));
                }
            }
        }
    }

    fn place(&self, request_id: u64, request: PlacementRequest) {
        let waiter = self.scheduling.next_waiter.get();
        self.scheduling.next_waiter.set(waiter + 1);
        let outcome = self
            .scheduling
            .with_scheduler(|scheduler| scheduler.submit(waiter, request, boot_now()));
        match outcome {
            None => self.entry.answer(request_id, Err(SchedulerError::NotScheduling)),
            Some(Some(outcome)) => {
                self.entry.answer(request_id, outcome.map_err(SchedulerError::from))
            }
            Some(None) => {
                let queued = Waiter { entry: self.entry.clone(), request_id };
                self.scheduling.waiters.borrow_mut().insert(waiter, queued);
                self.entry.waiting.borrow_mut().insert(request_id, waiter);
                // If the connection has ended, `serve` sees that on the read half.
                let _ = self.entry.answers.send(SchedulerReply::Queued(request_id));
            }
        }
    }

    fn withdraw(&self, waiter: WaiterId) {
        self.scheduling.waiters.borrow_mut().remove(&waiter);
        let _ = self.scheduling.with_scheduler(|scheduler| scheduler.withdraw(waiter));
    }

    fn handle_event(&self, event: &PlacementEvent) {
        if let PlacementEvent::Ended { ticket, .. } = event {
            self.entry.active_tickets.borrow_mut().remove(ticket);
        }
        if let PlacementEvent::News(news) = event {
            // Kept for the next scheduler, as none may be active here yet.
            self.scheduling.shared.observe_news(std::slice::from_ref(news));
        }
        let now = boot_now();
        let _ = self.scheduling.with_scheduler(|scheduler| scheduler.observe(event, now));
        let is_due = now >= self.scheduling.dispatched_at.get() + MIN_DISPATCH_GAP;
        if is_due && !self.scheduling.waiters.borrow().is_empty() {
            self.scheduling.dispatch();
        }
    }

    /// Cancels the queued prompts of the entry and ends its placements.
    fn close(self) {
        let mut sessions = self.scheduling.sessions.borrow_mut();
        if sessions.get(self.name).is_some_and(|last| Rc::ptr_eq(last, &self.entry)) {
            sessions.remove(self.name);
        }
        drop(sessions);
        let waiting = self.entry.waiting.take();
        waiting.into_values().for_each(|waiter| self.withdraw(waiter));
        for ticket in self.entry.active_tickets.take() {
            let event = PlacementEvent::Ended { ticket, end: EndReason::Cancelled };
            let _ =
                self.scheduling.with_scheduler(|scheduler| scheduler.observe(&event, boot_now()));
        }
    }
}
