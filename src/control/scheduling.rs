//! Runs the scheduler while this replica leads, and serves entries that ask it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::frames::{self, FromEntry, PlaceError, ToEntry, encode};
use super::replica::Shared;
use super::store_reader;
use crate::clock::boot_now;
use crate::log::Term;
use crate::net::http::{Exchange, fetch};
use crate::platform::stores;
use crate::scheduler::store::FreePlan;
use crate::scheduler::{Scheduler, Unplaced};

/// How often changes are taken over and frees are planned.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// A leader that has not been confirmed for this long schedules nothing: well within the time in
/// which no other can have been elected.
const SURE_WITHIN: Duration = Duration::from_millis(250);
/// A free is void this long after it was decided: before another leader can have granted a fetch.
const FREE_LASTS: Duration = Duration::from_millis(200);
/// Longest time for a call that frees parts.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Tickets of one term begin after those of all earlier terms.
const TICKETS_PER_TERM: u32 = 36;

/// The scheduler of this replica.
pub struct Scheduling {
    /// The replica's state.
    pub shared: Rc<Shared>,
    /// The scheduler with its term; `None` while another replica leads.
    active: RefCell<Option<(Term, Scheduler)>>,
}

impl Scheduling {
    /// A replica that does not schedule yet.
    pub fn new(shared: Rc<Shared>) -> Scheduling {
        Scheduling { shared, active: RefCell::default() }
    }

    /// Calls the scheduler, if this replica surely leads.
    pub fn with<T>(&self, call: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
        if !self.shared.is_current(SURE_WITHIN) || !self.shared.belief.borrow().leads {
            return None;
        }
        let mut active = self.active.borrow_mut();
        active.as_mut().map(|(_, scheduler)| call(scheduler))
    }

    /// Whether this replica still schedules in a term.
    pub fn is_active(&self, term: Term) -> bool {
        self.active.borrow().as_ref().is_some_and(|(active, _)| *active == term)
    }

    /// Takes over what changes, for as long as the process lives.
    pub async fn run(self: Rc<Scheduling>) {
        let mut version = 0;
        let mut roster_number = 0;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let (leads, term) = {
                let belief = self.shared.belief.borrow();
                (belief.leads, belief.term)
            };
            if !leads {
                if self.active.borrow_mut().take().is_some() {
                    log::info!("event=scheduling_ended");
                }
                continue;
            }
            if !self.is_active(term) {
                log::info!("event=scheduling_begun term={term}");
                let first_ticket = term << TICKETS_PER_TERM;
                *self.active.borrow_mut() = Some((term, Scheduler::new(first_ticket, boot_now())));
                (version, roster_number) = (0, 0);
            }
            self.take_over(term, &mut version, &mut roster_number);
            self.free_parts();
        }
    }

    fn take_over(self: &Rc<Scheduling>, term: Term, version: &mut u64, roster_number: &mut u64) {
        let belief = self.shared.belief.borrow();
        let roster = self.shared.roster.borrow();
        let mut active = self.active.borrow_mut();
        let Some((_, scheduler)) = active.as_mut() else { return };
        let mut new_stores = Vec::new();
        if let Some(published) = &belief.state.published
            && published.version() > *version
        {
            *version = published.version();
            let before = scheduler.stores();
            scheduler.take_deployment(&published.deployment);
            new_stores = scheduler.stores();
            new_stores.retain(|store| !before.contains(store));
            *roster_number = 0;
        }
        if roster.number != *roster_number && *version > 0 {
            *roster_number = roster.number;
            scheduler.take_roster(&roster.roster);
        }
        scheduler.forget_lost(boot_now());
        for store in new_stores {
            tokio::task::spawn_local(store_reader::run(self.clone(), store, term));
        }
    }

    fn free_parts(self: &Rc<Scheduling>) {
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
        let call = Exchange::new(plan.store, Method::POST, stores::FREE_PATH)
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
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) -> std::io::Result<()> {
        loop {
            match frames::read(&mut read).await? {
                FromEntry::Ask(number, ask) => {
                    let now = boot_now();
                    let placed = self.with(|scheduler| scheduler.place(&ask, now));
                    let answer = match placed {
                        None => Err(PlaceError::NotScheduling),
                        Some(placed) => placed.map_err(|unplaced: Unplaced| unplaced.into()),
                    };
                    write.write_all(&encode(&ToEntry::Placed(number, answer))).await?;
                }
                FromEntry::Note(note) => {
                    let _ = self.with(|scheduler| scheduler.note(&note, boot_now()));
                }
            }
        }
    }

    /// A store has started anew or can't be reached.
    pub fn lost_store(&self, store: SocketAddr) {
        let _ = self.with(|scheduler| scheduler.lost_store(store));
    }
}
