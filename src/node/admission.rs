//! Admission control of this node: asynchronous waiting on top of `limits::admission`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::Node;
use crate::clock::{BootTime, boot_now};
use crate::ids::AccountId;
use crate::limits::admission::RefusalReason;
use crate::limits::{Admission, AdmissionRefusal, AdmissionRequest, AdmissionResult, Ticket};

/// Interval at which waiting requests are checked for their deadlines.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity until the first reports of engines have arrived.
const INITIAL_CAPACITY: usize = 8;

/// Limits the number of running requests, and queues the others.
pub struct AdmissionController {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), AdmissionRefusal>>>,
}

/// Permits a request to run. Dropping it admits the next request.
pub struct Permit {
    inner: Arc<Mutex<Inner>>,
    account: AccountId,
}

/// A waiting request. Dropping it removes the request from the queue.
struct WaitGuard {
    inner: Arc<Mutex<Inner>>,
    ticket: Ticket,
    account: AccountId,
    receiver: oneshot::Receiver<Result<(), AdmissionRefusal>>,
}

impl AdmissionController {
    /// Creates a controller without requests, with a queue of at most `queue_len`.
    pub fn new(queue_len: usize) -> AdmissionController {
        let admission = Admission::new(INITIAL_CAPACITY, queue_len);
        AdmissionController {
            inner: Arc::new(Mutex::new(Inner { admission, waiters: HashMap::new() })),
        }
    }

    pub fn running(&self) -> usize {
        self.inner.lock().admission.running()
    }

    pub fn waiting(&self) -> usize {
        self.inner.lock().admission.waiting()
    }

    /// Suggested retry delay for a request that is refused now.
    pub fn retry_after(&self) -> Duration {
        self.inner.lock().admission.retry_after()
    }

    /// Sets the limit on running requests.
    pub fn set_capacity(&self, capacity: usize) {
        let mut inner = self.inner.lock();
        inner.admission.set_capacity(capacity);
        inner.start_next();
    }

    /// Number of running and waiting requests of an account.
    pub fn demand(&self, account: &str) -> u32 {
        self.inner.lock().admission.demand(account)
    }

    /// Sets the limit on running requests of an account.
    pub fn set_account_limit(&self, account: &str, limit: u32) {
        let mut inner = self.inner.lock();
        inner.admission.set_account_limit(account, limit);
        inner.start_next();
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    /// If the queue is full, or if the request can't start in time.
    pub async fn acquire(&self, request: AdmissionRequest) -> Result<Permit, AdmissionRefusal> {
        let account = request.account.clone();
        let permit = || Permit { inner: self.inner.clone(), account: account.clone() };
        let mut guard = {
            let mut inner = self.inner.lock();
            match inner.admission.admit(request, boot_now()) {
                AdmissionResult::Run => return Ok(permit()),
                AdmissionResult::Refused(refused) => return Err(refused),
                AdmissionResult::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiters.insert(ticket, sender);
                    let (inner, account) = (self.inner.clone(), account.clone());
                    WaitGuard { inner, ticket, account, receiver }
                }
            }
        };
        // Capacity may have become available before the request was queued.
        self.inner.lock().start_next();
        match (&mut guard.receiver).await {
            Ok(Ok(())) => Ok(permit()),
            Ok(Err(refused)) => Err(refused),
            Err(_) => {
                let retry_after = self.retry_after();
                Err(AdmissionRefusal { reason: RefusalReason::Deadline, retry_after })
            }
        }
    }

    fn expire(&self, now: BootTime) {
        let mut inner = self.inner.lock();
        let retry_after = inner.admission.retry_after();
        for ticket in inner.admission.expire(now) {
            if let Some(sender) = inner.waiters.remove(&ticket) {
                let refused = AdmissionRefusal { reason: RefusalReason::Deadline, retry_after };
                // Fails only if the request has been dropped.
                let _ = sender.send(Err(refused));
            }
        }
    }
}

impl Inner {
    fn start_next(&mut self) {
        while let Some(ticket) = self.admission.start_next() {
            let Some(sender) = self.waiters.remove(&ticket) else { continue };
            // If the request is dropped before it receives this, `WaitGuard` returns the permit.
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
        inner.admission.cancel(self.ticket);
        if let Ok(Ok(())) = self.receiver.try_recv() {
            // The request was admitted but not yet resumed; returns its permit.
            inner.admission.finish(&self.account, boot_now());
            inner.start_next();
        }
    }
}

impl Node {
    /// Periodically refuses waiting requests whose deadline has passed.
    pub(super) async fn run_queue_expiry(self: Arc<Node>) {
        super::run_periodically(EXPIRE_INTERVAL, || async {
            self.admission.expire(boot_now());
            true
        })
        .await;
    }
}
