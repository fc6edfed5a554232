//! Starts and stops the scheduler with leadership, and feeds it changes of the replica's state.

use std::rc::Rc;
use std::time::Duration;

use super::engine_cache_reader;
use super::frames::RosterVersion;
use super::scheduler_service::SchedulerService;
use super::store_reader;
use crate::clock::boot_now;
use crate::deployment::document::DeploymentVersion;
use crate::fleet::news::NewsRevision;
use crate::log::Term;
use crate::scheduler::{Scheduler, TicketId};

/// How often state is synchronized and frees are planned.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Tickets are numbered from the term shifted left by this many bits, so that they never repeat
/// those of an earlier term.
const TICKET_NUMBER_BITS: u32 = 36;

/// What a scheduler has been told of the replica's state.
#[derive(Default)]
struct Synced {
    deployment: DeploymentVersion,
    roster: RosterVersion,
    news: NewsRevision,
}

impl SchedulerService {
    /// Synchronizes the scheduler for as long as the process lives.
    pub async fn run(self: Rc<SchedulerService>) {
        let mut synced = Synced::default();
        let mut view = self.shared.view.subscribe();
        loop {
            // A change of leadership wakes this up early, since prompts wait for the new scheduler.
            let _ = tokio::time::timeout(POLL_INTERVAL, view.changed()).await;
            let (leads, term) = {
                let view = self.shared.view.borrow();
                (view.leads, view.term)
            };
            if !leads {
                if self.active.borrow_mut().take().is_some() {
                    log::info!("event=scheduler_stopped");
                    self.refuse_waiters();
                }
                continue;
            }
            if !self.is_active(term) {
                log::info!("event=scheduler_started term={term}");
                let first_ticket = term << TICKET_NUMBER_BITS;
                *self.active.borrow_mut() = Some((term, self.new_scheduler(first_ticket)));
                if let Some(reserve) = self.retry_reserve.borrow_mut().as_mut() {
                    reserve.begin_term(term, boot_now());
                }
                synced = Synced::default();
            }
            self.sync(term, &mut synced);
            self.query_doubted_engines();
            self.free_parts();
        }
    }

    fn new_scheduler(&self, first_ticket: TicketId) -> Scheduler {
        let mut scheduler = Scheduler::new(first_ticket, boot_now());
        scheduler.set_old_weights(self.old_weights);
        scheduler.set_cross_domain_price(self.cross_domain_price);
        scheduler.await_cache_state(boot_now());
        scheduler
    }

    fn sync(self: &Rc<SchedulerService>, term: Term, synced: &mut Synced) {
        let view = self.shared.view.borrow();
        let roster = self.shared.roster.borrow();
        let mut active = self.active.borrow_mut();
        let Some((_, scheduler)) = active.as_mut() else { return };
        let mut new_stores = Vec::new();
        if let Some(published) = &view.state.published
            && published.version() > synced.deployment
        {
            synced.deployment = published.version();
            let before = scheduler.stores();
            scheduler.observe_deployment(&published.deployment);
            new_stores = scheduler.stores();
            new_stores.retain(|store| !before.contains(store));
            // The deployment decides which services' targets the scheduler uses.
            scheduler.observe_roster(&roster.roster);
        }
        if roster.version() != synced.roster && synced.deployment > 0 {
            let is_first = synced.roster.number == 0;
            synced.roster = roster.version();
            scheduler.observe_roster(&roster.roster);
            if is_first {
                let engines = scheduler.engines();
                tokio::task::spawn_local(engine_cache_reader::run(self.clone(), engines, term));
            }
        }
        let now = boot_now();
        for news in self.shared.news.borrow().since(synced.news, now) {
            scheduler.observe_news(&news, now);
        }
        synced.news = self.shared.news.borrow().revision();
        scheduler.observe_changing(&self.shared.changing.borrow());
        scheduler.observe_evacuated(&self.shared.evacuated.borrow());
        scheduler.observe_named(&self.shared.named_since.borrow());
        scheduler.expire_tickets(boot_now());
        for store in new_stores {
            tokio::task::spawn_local(store_reader::run(self.clone(), store, term));
        }
    }
}
