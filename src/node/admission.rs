//! AdmissionController for running requests: the shell around admission.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::Node;
use crate::clock::{BootTime, boot_now};
use crate::ids::AccountId;
use crate::limits::admission::Reason;
use crate::limits::{Admission, Offer, Refused, Ticket, Wants};

/// How often waiting requests are looked at for their deadlines.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity until the engines' reports have come.
const INITIAL_CAPACITY: usize = 8;

/// AdmissionController for running requests.
pub struct AdmissionController {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Refused>>>,
}

/// A place; dropping it lets the next request run.
pub struct Permit {
    inner: Arc<Mutex<Inner>>,
    account: AccountId,
}

/// Takes a request that gave up waiting out of the queue.
struct WaitGuard {
    inner: Arc<Mutex<Inner>>,
    ticket: Ticket,
    account: AccountId,
    receiver: oneshot::Receiver<Result<(), Refused>>,
}

impl AdmissionController {
    /// AdmissionController of an idle node in which `queue_len` requests may wait.
    pub fn new(queue_len: usize) -> AdmissionController {
        let admission = Admission::new(INITIAL_CAPACITY, queue_len);
        AdmissionController {
            inner: Arc::new(Mutex::new(Inner { admission, waiters: HashMap::new() })),
        }
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.inner.lock().admission.running()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.inner.lock().admission.waiting()
    }

    /// When a request that is refused now should come back.
    pub fn retry_after(&self) -> Duration {
        self.inner.lock().admission.retry_after()
    }

    /// Changes how many requests may run.
    pub fn set_capacity(&self, capacity: usize) {
        let mut inner = self.inner.lock();
        inner.admission.set_capacity(capacity);
        inner.start_next();
    }

    /// Requests of an account that run or wait.
    pub fn demand(&self, account: &str) -> u32 {
        self.inner.lock().admission.demand(account)
    }

    /// Changes how many requests of an account may run.
    pub fn set_account_limit(&self, account: &str, limit: u32) {
        let mut inner = self.inner.lock();
        inner.admission.set_account_limit(account, limit);
        inner.start_next();
    }

    /// Waits for a place.
    ///
    /// # Errors
    /// Why the request was given up on, at once.
    pub async fn acquire(&self, wants: Wants) -> Result<Permit, Refused> {
        let account = wants.account.clone();
        let permit = || Permit { inner: self.inner.clone(), account: account.clone() };
        let mut guard = {
            let mut inner = self.inner.lock();
            match inner.admission.offer(wants, boot_now()) {
                Offer::Run => return Ok(permit()),
                Offer::Refused(refused) => return Err(refused),
                Offer::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiters.insert(ticket, sender);
                    let (inner, account) = (self.inner.clone(), account.clone());
                    WaitGuard { inner, ticket, account, receiver }
                }
            }
        };
        // AdmissionController may have become free between an end and this request's arrival.
        self.inner.lock().start_next();
        match (&mut guard.receiver).await {
            Ok(Ok(())) => Ok(permit()),
            Ok(Err(refused)) => Err(refused),
            Err(_) => {
                let retry_after = self.retry_after();
                Err(Refused { reason: Reason::Deadline, retry_after })
            }
        }
    }

    fn expire(&self, now: BootTime) {
        let mut inner = self.inner.lock();
        let retry_after = inner.admission.retry_after();
        for ticket in inner.admission.expire(now) {
            if let Some(sender) = inner.waiters.remove(&ticket) {
                let refused = Refused { reason: Reason::Deadline, retry_after };
                // The caller may have hung up.
                let _ = sender.send(Err(refused));
            }
        }
    }
}

impl Inner {
    fn start_next(&mut self) {
        while let Some(ticket) = self.admission.start_next() {
            let Some(sender) = self.waiters.remove(&ticket) else { continue };
            // If the caller has hung up, its guard gives the place back.
            let _ = sender.send(Ok(()));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut inner = self.inner.lock();
        inner.admission.finish(&self.account, boot_now());
        inner.start_next();
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut inner = self.inner.lock();
        inner.waiters.remove(&self.ticket);
        inner.admission.withdraw(self.ticket);
        if let Ok(Ok(())) = self.receiver.try_recv() {
            // It had been given a place already, which nobody will take now.
            inner.admission.finish(&self.account, boot_now());
            inner.start_next();
        }
    }
}

impl Node {
    /// Answers waiting requests whose deadline has come, again and again.
    pub(super) async fn run_queue_expiry(self: Arc<Node>) {
        super::run_periodically(EXPIRE_INTERVAL, || async {
            self.admission.expire(boot_now());
            true
        })
        .await;
    }
}
