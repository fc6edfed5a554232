//! A semaphore whose waiters are served by priority, then in order of arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// A counting semaphore. Clones share the permits.
#[derive(Clone)]
pub struct PrioritySemaphore {
    state: Arc<Mutex<State>>,
}

struct State {
    available: usize,
    next_ticket: u64,
    /// Waiters by priority and ticket.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
}

/// A permit of a semaphore. Dropping it passes it on to the next waiter.
pub struct Permit {
    semaphore: PrioritySemaphore,
}

impl PrioritySemaphore {
    /// Creates a semaphore with `permits` permits.
    pub fn new(permits: usize) -> PrioritySemaphore {
        let state = State { available: permits, next_ticket: 0, waiting: BTreeMap::new() };
        PrioritySemaphore { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a permit. Lower values of `priority` go first.
    pub async fn acquire(&self, priority: u8) -> Permit {
        let waiter = {
            let mut state = self.state.lock();
            if state.available > 0 {
                state.available -= 1;
                return Permit { semaphore: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            state.waiting.insert((priority, ticket), sender);
            receiver
        };
        match waiter.await {
            Ok(permit) => permit,
            // Unreachable, as `self` keeps the sender alive. A permit of another semaphore does not
            // change the number of available permits.
            Err(_) => Permit { semaphore: PrioritySemaphore::new(0) },
        }
    }

    /// Returns the number of waiters.
    pub fn waiting(&self) -> usize {
        self.state.lock().waiting.len()
    }

    fn release(&self) {
        let next_waiter = {
            let mut state = self.state.lock();
            match state.waiting.pop_first() {
                Some((_, sender)) => Some(sender),
                None => {
                    state.available += 1;
                    None
                }
            }
        };
        // If the waiter was cancelled, `send` returns the permit and its drop serves the next one.
        if let Some(sender) = next_waiter {
            drop(sender.send(Permit { semaphore: self.clone() }));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.semaphore.release();
    }
}
