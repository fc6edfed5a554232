//! Starts the scheduler at a leader, and keeps it in step with what the replica knows.

use std::rc::Rc;
use std::time::Duration;

use super::frames::RosterName;
use super::memory_reader;
use super::scheduling::Scheduling;
use super::store_reader;
use crate::clock::boot_now;
use crate::log::Term;
use crate::scheduler::{Scheduler, TicketId};

/// How often changes are taken over and frees are planned.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Tickets of one term begin after those of all earlier terms.
const TICKETS_PER_TERM: u32 = 36;

impl Scheduling {
    /// Takes over what changes, for as long as the process lives.
    pub async fn run(self: Rc<Scheduling>) {
        let mut version = 0;
        let mut roster_name = RosterName::default();
        let mut belief = self.shared.belief.subscribe();
        loop {
            // Prompts wait while a new leader does not schedule yet.
            let _ = tokio::time::timeout(LOOK_EVERY, belief.changed()).await;
            let (leads, term) = {
                let belief = self.shared.belief.borrow();
                (belief.leads, belief.term)
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
                let first_ticket = term << TICKETS_PER_TERM;
                *self.active.borrow_mut() = Some((term, self.new_scheduler(first_ticket)));
                (version, roster_name) = (0, RosterName::default());
            }
            self.sync(term, &mut version, &mut roster_name);
            self.ask_doubted();
            self.free_parts();
        }
    }

    fn new_scheduler(&self, first_ticket: TicketId) -> Scheduler {
        let mut scheduler = Scheduler::new(first_ticket, boot_now());
        scheduler.set_old_weights(self.old_weights);
        scheduler.await_cache_state(boot_now());
        scheduler
    }

    fn sync(self: &Rc<Scheduling>, term: Term, version: &mut u64, roster_name: &mut RosterName) {
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
            scheduler.observe_deployment(&published.deployment);
            new_stores = scheduler.stores();
            new_stores.retain(|store| !before.contains(store));
            // Services may be others now.
            scheduler.observe_roster(&roster.roster);
        }
        if roster.name() != *roster_name && *version > 0 {
            let is_first = roster_name.number == 0;
            *roster_name = roster.name();
            scheduler.observe_roster(&roster.roster);
            if is_first {
                let engines = scheduler.engines();
                tokio::task::spawn_local(memory_reader::run(self.clone(), engines, term));
            }
        }
        scheduler.observe_changing(&self.shared.changing.borrow());
        scheduler.observe_named(&self.shared.named_since.borrow());
        scheduler.expire_tickets(boot_now());
        for store in new_stores {
            tokio::task::spawn_local(store_reader::run(self.clone(), store, term));
        }
    }
}
