//! A semaphore whose waiters are served by priority, then in order.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Lets a bounded number of holders in.
#[derive(Clone)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

struct State {
    free: usize,
    next: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Pass>>,
}

/// Held while inside; dropping it lets the next one in.
pub struct Pass {
    gate: Gate,
}

impl Gate {
    /// A gate that lets `places` holders in.
    pub fn new(places: usize) -> Gate {
        let state = State { free: places, next: 0, waiting: BTreeMap::new() };
        Gate { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a place; priority 0 goes first.
    pub async fn enter(&self, priority: u8) -> Pass {
        let waiting = {
            let mut state = self.state.lock();
            if state.free > 0 {
                state.free -= 1;
                return Pass { gate: self.clone() };
            }
            let (sender, receiver) = oneshot::channel();
            let number = state.next;
            state.next += 1;
            state.waiting.insert((priority, number), sender);
            receiver
        };
        match waiting.await {
            Ok(pass) => pass,
            // Unreachable while the gate lives; a pass of its own keeps the count right.
            Err(_) => Pass { gate: Gate::new(0) },
        }
    }

    /// Number of waiters.
    pub fn waiting(&self) -> usize {
        self.state.lock().waiting.len()
    }

    fn leave(&self) {
        let next = {
            let mut state = self.state.lock();
            match state.waiting.pop_first() {
                Some((_, sender)) => Some(sender),
                None => {
                    state.free += 1;
                    None
                }
            }
        };
        // A waiter that gave up hands the pass back, and its drop lets the next one in.
        if let Some(sender) = next {
            drop(sender.send(Pass { gate: self.clone() }));
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.leave();
    }
}
