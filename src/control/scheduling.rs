//! Runs the scheduler while this replica leads, and serves entries that ask it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::frames::{self, FromEntry, SchedulerError, ToEntry, encode};
use super::report;
use super::shared::Shared;
use crate::clock::{BootTime, boot_now};
use crate::ids::TargetStart;
use crate::log::Term;
use crate::net::http::{HttpCall, fetch};
use crate::platform::stores;
use crate::scheduler::store::{FREE_LASTS, FreePlan};
use crate::scheduler::weights::OldWeights;
use crate::scheduler::{
    End, Placed, PlacementEvent, PlacementRequest, Scheduler, TicketId, WaiterId,
};

/// How often it is looked whether prompts that wait can be placed.
const DISPATCH_EVERY: Duration = Duration::from_millis(10);
/// Notes that come closer together than this share a dispatch.
const DISPATCH_PAUSE: Duration = Duration::from_millis(2);
/// A leader that has not been confirmed for this long schedules nothing: well within the time in
/// which no other can have been elected.
const SURE_WITHIN: Duration = Duration::from_millis(250);
/// How often it is looked whether a leader is sure to lead by now: a commit takes two milliseconds or more.
const SURE_AGAIN: Duration = Duration::from_millis(2);
/// Longest time for a call that frees parts.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// The scheduler of this replica.
pub struct Scheduling {
    /// The replica's state.
    pub shared: Rc<Shared>,
    /// How long prompts may begin on older weights once newer ones are named.
    pub old_weights: OldWeights,
    /// The scheduler with its term; `None` while another replica leads.
    pub(super) active: RefCell<Option<(Term, Scheduler)>>,
    /// Prompts that wait.
    waiters: RefCell<HashMap<WaiterId, Waiter>>,
    next_waiter: Cell<WaiterId>,
    /// Engines that are being asked for their weights.
    asked: RefCell<HashSet<TargetStart>>,
    dispatched_at: Cell<BootTime>,
}

/// A prompt that waits, as its entry knows it.
struct Waiter {
    entry: Rc<EntryLink>,
    /// The entry's number for it.
    number: u64,
}

/// The way back to one entry.
struct EntryLink {
    answers: mpsc::UnboundedSender<ToEntry>,
    /// Prompts of the entry that wait, by its numbers.
    waiting: RefCell<HashMap<u64, WaiterId>>,
    /// Placements of the entry that have not ended.
    placed: RefCell<HashSet<TicketId>>,
}

impl EntryLink {
    /// Answers an ask. What is placed counts from here on, whether the entry hears of it or not.
    fn answer(&self, number: u64, answer: Result<Placed, SchedulerError>) {
        self.waiting.borrow_mut().remove(&number);
        if let Ok(placed) = &answer {
            self.placed.borrow_mut().insert(placed.ticket);
        }
        // The connection's end is noticed where it is read.
        let _ = self.answers.send(ToEntry::Placed(number, answer));
    }
}

impl Scheduling {
    /// A replica that does not schedule yet.
    pub fn new(shared: Rc<Shared>, old_weights: OldWeights) -> Scheduling {
        Scheduling {
            shared,
            old_weights,
            active: RefCell::default(),
            waiters: RefCell::default(),
            next_waiter: Cell::new(0),
            asked: RefCell::default(),
            dispatched_at: Cell::new(BootTime::ZERO),
        }
    }

    /// Calls the scheduler, if this replica surely leads.
    pub fn with<T>(&self, call: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
        if !self.shared.is_current(SURE_WITHIN) || !self.shared.belief.borrow().leads {
            return None;
        }
        let mut active = self.active.borrow_mut();
        active.as_mut().map(|(_, scheduler)| call(scheduler))
    }

    /// Waits until the scheduler can be told something. Returns false if this replica schedules no more in
    /// the term.
    ///
    /// A leader is not sure to lead until its term's first entry is committed, and while a quorum is late.
    /// An inventory that is lost then is read again 10 s later, and what stores hold is computed anew
    /// until then.
    pub async fn until_sure(&self, term: Term) -> bool {
        while self.is_active(term) {
            if self.with(|_| {}).is_some() {
                return true;
            }
            tokio::time::sleep(SURE_AGAIN).await;
        }
        false
    }

    /// How many prompts wait for an engine.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Whether this replica still schedules in a term.
    pub fn is_active(&self, term: Term) -> bool {
        self.active.borrow().as_ref().is_some_and(|(active, _)| *active == term)
    }

    /// Sends those that wait to another replica.
    pub(super) fn refuse_waiters(&self) {
        for Waiter { entry, number } in
            std::mem::take(&mut *self.waiters.borrow_mut()).into_values()
        {
            entry.answer(number, Err(SchedulerError::NotScheduling));
        }
    }

    /// Asks engines whose weights are not known for them.
    pub(super) fn ask_doubted(self: &Rc<Scheduling>) {
        let doubted = self.with(|scheduler| scheduler.doubted()).unwrap_or_default();
        for (engine, address) in doubted {
            if !self.asked.borrow_mut().insert(engine.clone()) {
                continue;
            }
            let scheduling = self.clone();
            tokio::task::spawn_local(async move {
                let report = report::read(&engine, address).await;
                let weights = report.map(|report| report.weights);
                log::info!("event=weights_queried engine={engine} weights={weights:?}");
                if let Some(weights) = &weights {
                    // Else an engine that runs older ones than are listed is not told to load.
                    scheduling.shared.change_roster(|known| known.set_weights(&engine, weights));
                }
                let version = weights.and_then(|weights| weights.values().next().copied());
                scheduling.asked.borrow_mut().remove(&engine);
                // Without a scheduler there is nothing to tell.
                let _ = scheduling.with(|scheduler| scheduler.resolve(&engine, version));
            });
        }
    }

    pub(super) fn free_parts(self: &Rc<Scheduling>) {
        let now = boot_now();
        let planned = self.with(|scheduler| {
            let clock_ms = scheduler.engines_clock_ms(now)?;
            Some((scheduler.plan_frees(now), clock_ms + FREE_LASTS.as_millis() as u64))
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
            "event=parts_freed store={} count={} answer={status:?}",
            plan.store,
            plan.parts.len()
        );
        // Without a clear answer they may be gone or not: they stay unfit for fetches, and are freed
        // again.
        if matches!(status, Ok(StatusCode::OK)) {
            let _ = self.with(|scheduler| scheduler.freed(&plan));
        }
    }

    /// Answers one entry until it goes.
    ///
    /// # Errors
    /// If the connection breaks.
    pub async fn serve(
        &self,
        read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let (sender, mut answers) = mpsc::unbounded_channel::<ToEntry>();
        let asker = ClientConnection::new(self, sender);
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
            ended = asker.handle_all(read) => ended,
            ended = writing => ended,
        };
        asker.close();
        ended
    }

    /// Tells what has come of prompts that waited.
    fn dispatch(&self) {
        self.dispatched_at.set(boot_now());
        let outcomes = self.with(|scheduler| scheduler.dispatch(boot_now()));
        for (waiter, outcome) in outcomes.into_iter().flatten() {
            if let Some(Waiter { entry, number }) = self.waiters.borrow_mut().remove(&waiter) {
                entry.answer(number, outcome.map_err(SchedulerError::from));
            }
        }
    }

    /// Dispatches while prompts wait, for as long as the process lives.
    pub async fn keep_dispatching(self: Rc<Scheduling>) {
        loop {
            tokio::time::sleep(DISPATCH_EVERY).await;
            if !self.waiters.borrow().is_empty() {
                self.dispatch();
            }
        }
    }

    /// A store has started anew or can't be reached.
    pub fn lost_store(&self, store: SocketAddr) {
        let _ = self.with(|scheduler| scheduler.lost_store(store));
    }
}

/// One entry that asks.
struct ClientConnection<'s> {
    scheduling: &'s Scheduling,
    entry: Rc<EntryLink>,
}

impl<'s> ClientConnection<'s> {
    fn new(
        scheduling: &'s Scheduling,
        answers: mpsc::UnboundedSender<ToEntry>,
    ) -> ClientConnection<'s> {
        let (waiting, placed) = (RefCell::default(), RefCell::default());
        ClientConnection { scheduling, entry: Rc::new(EntryLink { answers, waiting, placed }) }
    }

    async fn handle_all(&self, mut read: BufReader<OwnedReadHalf>) -> std::io::Result<()> {
        loop {
            match frames::read(&mut read).await? {
                FromEntry::Place(number, ask) => self.ask(number, ask),
                FromEntry::Withdraw(number) => {
                    let waiter = self.entry.waiting.borrow_mut().remove(&number);
                    waiter.into_iter().for_each(|waiter| self.withdraw(waiter));
                }
                FromEntry::Event(note) => self.note(&note),
            }
        }
    }

    fn ask(&self, number: u64, ask: PlacementRequest) {
        let waiter = self.scheduling.next_waiter.get();
        self.scheduling.next_waiter.set(waiter + 1);
        let outcome = self.scheduling.with(|scheduler| scheduler.submit(waiter, ask, boot_now()));
        match outcome {
            None => self.entry.answer(number, Err(SchedulerError::NotScheduling)),
            Some(Some(outcome)) => self.entry.answer(number, outcome.map_err(SchedulerError::from)),
            Some(None) => {
                let waits = Waiter { entry: self.entry.clone(), number };
                self.scheduling.waiters.borrow_mut().insert(waiter, waits);
                self.entry.waiting.borrow_mut().insert(number, waiter);
                // The connection's end is noticed where it is read.
                let _ = self.entry.answers.send(ToEntry::Queued(number));
            }
        }
    }

    fn withdraw(&self, waiter: WaiterId) {
        self.scheduling.waiters.borrow_mut().remove(&waiter);
        let _ = self.scheduling.with(|scheduler| scheduler.withdraw(waiter));
    }

    fn note(&self, note: &PlacementEvent) {
        if let PlacementEvent::Ended { ticket, .. } = note {
            self.entry.placed.borrow_mut().remove(ticket);
        }
        let now = boot_now();
        let _ = self.scheduling.with(|scheduler| scheduler.observe(note, now));
        let is_due = now >= self.scheduling.dispatched_at.get() + DISPATCH_PAUSE;
        if is_due && !self.scheduling.waiters.borrow().is_empty() {
            self.scheduling.dispatch();
        }
    }

    /// Takes back all that the entry asked for and had.
    fn close(self) {
        let waiting = self.entry.waiting.take();
        waiting.into_values().for_each(|waiter| self.withdraw(waiter));
        for ticket in self.entry.placed.take() {
            let note = PlacementEvent::Ended { ticket, end: End::Left };
            let _ = self.scheduling.with(|scheduler| scheduler.observe(&note, boot_now()));
        }
    }
}
