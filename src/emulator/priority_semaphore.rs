//! A semaphore whose waiters are served by priority, then in order.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Lets a bounded number of holders in.
#[derive(Clone)]
pub struct PrioritySemaphore {
    state: Arc<Mutex<State>>,
}

struct State {
    available: usize,
    next_ticket: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
}

/// Held while inside; dropping it lets the next one in.
pub struct Permit {
    semaphore: PrioritySemaphore,
}

impl PrioritySemaphore {
    /// A gate that lets `permits` holders in.
    pub fn new(permits: usize) -> PrioritySemaphore {
        let state = State { available: permits, next_ticket: 0, waiting: BTreeMap::new() };
        PrioritySemaphore { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a place; priority 0 goes first.
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
            // Unreachable while the gate lives; a pass of its own keeps the count right.
            Err(_) => Permit { semaphore: PrioritySemaphore::new(0) },
        }
    }

    /// Number of waiters.
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
        // A waiter that gave up hands the pass back, and its drop lets the next one in.
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
