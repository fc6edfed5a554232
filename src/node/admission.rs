//! Places for running requests: the shell around admission.

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

/// How often waiting requests are looked at for their deadlines.
const EXPIRE_PERIOD: Duration = Duration::from_millis(20);
/// Capacity until the engines' reports have come.
const FIRST_CAPACITY: usize = 8;

/// Places for running requests.
pub struct Places {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), AdmissionRefusal>>>,
}

/// A place; dropping it lets the next request run.
pub struct Place {
    inner: Arc<Mutex<Inner>>,
    account: AccountId,
}

/// Takes a request that gave up waiting out of the queue.
struct Waiting {
    inner: Arc<Mutex<Inner>>,
    ticket: Ticket,
    account: AccountId,
    receiver: oneshot::Receiver<Result<(), AdmissionRefusal>>,
}

impl Places {
    /// Places of an idle node in which `queue_len` requests may wait.
    pub fn new(queue_len: usize) -> Places {
        let admission = Admission::new(FIRST_CAPACITY, queue_len);
        Places { inner: Arc::new(Mutex::new(Inner { admission, waiting: HashMap::new() })) }
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
    pub async fn take(&self, request: AdmissionRequest) -> Result<Place, AdmissionRefusal> {
        let account = request.account.clone();
        let place = || Place { inner: self.inner.clone(), account: account.clone() };
        let mut waiting = {
            let mut inner = self.inner.lock();
            match inner.admission.admit(request, boot_now()) {
                AdmissionResult::Run => return Ok(place()),
                AdmissionResult::Refused(refused) => return Err(refused),
                AdmissionResult::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiting.insert(ticket, sender);
                    let (inner, account) = (self.inner.clone(), account.clone());
                    Waiting { inner, ticket, account, receiver }
                }
            }
        };
        // Places may have become free between an end and this request's arrival.
        self.inner.lock().start_next();
        match (&mut waiting.receiver).await {
            Ok(Ok(())) => Ok(place()),
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
            if let Some(waiting) = inner.waiting.remove(&ticket) {
                let refused = AdmissionRefusal { reason: RefusalReason::Deadline, retry_after };
                // The caller may have hung up.
                let _ = waiting.send(Err(refused));
            }
        }
    }
}

impl Inner {
    fn start_next(&mut self) {
        while let Some(ticket) = self.admission.start_next() {
            let Some(waiting) = self.waiting.remove(&ticket) else { continue };
            // If the caller has hung up, its guard gives the place back.
            let _ = waiting.send(Ok(()));
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = self.inner.lock();
        inner.admission.finish(&self.account, boot_now());
        inner.start_next();
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut inner = self.inner.lock();
        inner.waiting.remove(&self.ticket);
        inner.admission.cancel(self.ticket);
        if let Ok(Ok(())) = self.receiver.try_recv() {
            // It had been given a place already, which nobody will take now.
            inner.admission.finish(&self.account, boot_now());
            inner.start_next();
        }
    }
}

impl Node {
    /// Answers waiting requests whose deadline has come, again and again.
    pub(super) async fn expire_waiting(self: Arc<Node>) {
        super::every(EXPIRE_PERIOD, || async {
            self.places.expire(boot_now());
            true
        })
        .await;
    }
}
