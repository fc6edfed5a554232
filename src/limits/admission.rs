//! Admission control at one node: a bounded queue, served by priority and then fairly between
//! accounts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::AccountId;

/// Shortest and longest suggested retry delay.
const RETRY_AFTER_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));
/// Weight of the newest sample in the moving average of the time between finished requests.
const FINISH_INTERVAL_SMOOTHING: f64 = 0.05;
/// Every this many dequeues, the request that has waited longest goes first, so that low priorities
/// don't starve.
const OLDEST_FIRST_PERIOD: u64 = 16;
/// Initial value of the moving average of the time between finished requests.
const INITIAL_FINISH_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies a waiting request.
pub type Ticket = u64;

/// A request to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    pub account: AccountId,
    /// Relative share of the capacity among accounts that have waiting requests; at least 1.
    pub weight: u32,
    /// Requests of the account that may run on this node at once, replacing the previous limit.
    pub account_limit: u32,
    /// Lower values go first.
    pub priority: u8,
    /// The request is given up if it can't start before this time.
    pub deadline: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// The request runs now. Call `finish` when it ends.
    Run,
    /// The request is queued until `start_next` or `expire` returns its ticket.
    Wait(Ticket),
    /// The request was not queued.
    Refused(AdmissionRefusal),
}

/// Why a request was refused, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    pub reason: RefusalReason,
    /// Suggested delay before a retry.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    QueueFull,
    /// It would not start before its deadline.
    Deadline,
}

/// Running and waiting requests of one node.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Largest number of running requests.
    capacity: usize,
    max_waiting: usize,
    running: usize,
    waiting: usize,
    /// Waiting requests by priority and account. Invariant: holds `waiting` requests, and no empty
    /// queue.
    queues: BTreeMap<u8, BTreeMap<AccountId, VecDeque<QueuedRequest>>>,
    accounts: BTreeMap<AccountId, AccountUsage>,
    next_ticket: Ticket,
    dequeues: u64,
    finish_interval: Duration,
    last_finish: Option<BootTime>,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    ticket: Ticket,
    weight: u32,
    deadline: BootTime,
}

#[derive(Clone, Debug, Default)]
struct AccountUsage {
    running: u32,
    waiting: u32,
    /// Largest number of running requests.
    limit: u32,
    /// Started requests, each divided by its weight.
    weighted_starts: f64,
}

impl Admission {
    /// Creates the state of an idle node that runs up to `capacity` requests and queues up to
    /// `max_waiting`.
    pub fn new(capacity: usize, max_waiting: usize) -> Admission {
        Admission {
            capacity,
            max_waiting,
            running: 0,
            waiting: 0,
            queues: BTreeMap::new(),
            accounts: BTreeMap::new(),
            next_ticket: 1,
            dequeues: 0,
            finish_interval: INITIAL_FINISH_INTERVAL,
            last_finish: None,
        }
    }

    /// Sets how many requests may run. Running requests are never stopped.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Sets how many requests of an account may run.
    pub fn set_account_limit(&mut self, account: &str, limit: u32) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.limit = limit;
        }
    }

    /// Number of running and waiting requests of an account.
    pub fn demand(&self, account: &str) -> u32 {
        self.accounts.get(account).map_or(0, |account| account.running + account.waiting)
    }

    /// Suggested retry delay for a request that is refused now.
    pub fn retry_after(&self) -> Duration {
        let (shortest, longest) = RETRY_AFTER_BOUNDS;
        self.expected_wait(self.waiting).clamp(shortest, longest)
    }

    /// Starts, queues or refuses a request.
    pub fn admit(&mut self, request: AdmissionRequest, now: BootTime) -> AdmissionResult {
        let account = self.accounts.entry(request.account.clone()).or_default();
        account.limit = request.account_limit;
        let account_free = account.running < account.limit;
        if self.running < self.capacity && account_free && self.waiting == 0 {
            self.record_start(&request.account, request.weight);
            return AdmissionResult::Run;
        }
        if self.waiting >= self.max_waiting {
            return self.refuse(RefusalReason::QueueFull);
        }
        let ahead = self.waiting_ahead_of(request.priority);
        let blocked_by_capacity = self.running >= self.capacity;
        if blocked_by_capacity && now + self.expected_wait(ahead) >= request.deadline {
            return self.refuse(RefusalReason::Deadline);
        }
        if now >= request.deadline {
            return self.refuse(RefusalReason::Deadline);
        }
        AdmissionResult::Wait(self.enqueue(request))
    }

    /// Starts the next waiting request that may run. Call `finish` when it ends.
    pub fn start_next(&mut self) -> Option<Ticket> {
        if self.running >= self.capacity || self.waiting == 0 {
            return None;
        }
        self.dequeues += 1;
        let (priority, account) = if self.dequeues.is_multiple_of(OLDEST_FIRST_PERIOD) {
            self.longest_waiting().or_else(|| self.next_by_priority())?
        } else {
            self.next_by_priority()?
        };
        let waiting = self.remove_waiting(priority, &account, None)?;
        self.record_start(&account, waiting.weight);
        Some(waiting.ticket)
    }

    /// Records that a running request of an account ended.
    pub fn finish(&mut self, account: &str, now: BootTime) {
        self.running = self.running.saturating_sub(1);
        if let Some(account) = self.accounts.get_mut(account) {
            account.running = account.running.saturating_sub(1);
        }
        if let Some(last) = self.last_finish {
            let newest = now.saturating_sub(last).as_secs_f64();
            let smoothed = self.finish_interval.as_secs_f64();
            self.finish_interval =
                Duration::from_secs_f64(smoothed + FINISH_INTERVAL_SMOOTHING * (newest - smoothed));
        }
        self.last_finish = Some(now);
        self.remove_idle_accounts();
    }

    /// Removes a request from the queue. Returns false if it is not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let place = self.queues.iter().find_map(|(priority, accounts)| {
            let holds = |queue: &VecDeque<QueuedRequest>| queue.iter().any(|w| w.ticket == ticket);
            accounts.iter().find(|(_, q)| holds(q)).map(|(account, _)| (*priority, account.clone()))
        });
        place.is_some_and(|(priority, account)| {
            self.remove_waiting(priority, &account, Some(ticket)).is_some()
        })
    }

    /// Removes all requests whose deadline has passed; the caller must answer them.
    pub fn expire(&mut self, now: BootTime) -> Vec<Ticket> {
        let late: Vec<Ticket> = self
            .queues
            .values()
            .flat_map(BTreeMap::values)
            .flatten()
            .filter(|waiting| waiting.deadline <= now)
            .map(|waiting| waiting.ticket)
            .collect();
        late.into_iter().filter(|ticket| self.cancel(*ticket)).collect()
    }

    fn refuse(&self, reason: RefusalReason) -> AdmissionResult {
        AdmissionResult::Refused(AdmissionRefusal { reason, retry_after: self.retry_after() })
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        self.finish_interval.saturating_mul(u32::try_from(ahead + 1).unwrap_or(u32::MAX))
    }

    fn waiting_ahead_of(&self, priority: u8) -> usize {
        let before = self.queues.range(..=priority);
        before.flat_map(|(_, accounts)| accounts.values()).map(VecDeque::len).sum()
    }

    fn enqueue(&mut self, request: AdmissionRequest) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting += 1;
        // An idle account must not accumulate credit, or it would block the others when it returns.
        let floor = self.min_weighted_starts();
        let account = self.accounts.entry(request.account.clone()).or_default();
        account.weighted_starts = account.weighted_starts.max(floor);
        account.waiting += 1;
        let queue =
            self.queues.entry(request.priority).or_default().entry(request.account).or_default();
        queue.push_back(QueuedRequest {
            ticket,
            weight: request.weight.max(1),
            deadline: request.deadline,
        });
        ticket
    }

    fn min_weighted_starts(&self) -> f64 {
        let waiting = self.queues.values().flat_map(BTreeMap::keys);
        let served =
            waiting.filter_map(|id| self.accounts.get(id)).map(|account| account.weighted_starts);
        served.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    fn may_run(&self, account: &AccountId) -> bool {
        self.accounts.get(account).is_some_and(|account| account.running < account.limit)
    }

    /// Of the highest priority with a request that may run, the account with the fewest weighted
    /// starts.
    fn next_by_priority(&self) -> Option<(u8, AccountId)> {
        self.queues.iter().find_map(|(priority, accounts)| {
            let served = |id: &AccountId| self.accounts.get(id).map_or(0.0, |a| a.weighted_starts);
            accounts
                .iter()
                .filter(|(id, _)| self.may_run(id))
                .min_by(|(a, _), (b, _)| served(a).total_cmp(&served(b)))
                .map(|(id, _)| (*priority, id.clone()))
        })
    }

    fn longest_waiting(&self) -> Option<(u8, AccountId)> {
        let places = self.queues.iter().flat_map(|(priority, accounts)| {
            accounts.iter().map(move |(id, queue)| (*priority, id, queue))
        });
        places
            .filter(|(_, id, _)| self.may_run(id))
            .min_by_key(|(_, _, queue)| queue.front().map(|waiting| waiting.ticket))
            .map(|(priority, id, _)| (priority, id.clone()))
    }

    fn remove_waiting(
        &mut self,
        priority: u8,
        account: &AccountId,
        ticket: Option<Ticket>,
    ) -> Option<QueuedRequest> {
        let accounts = self.queues.get_mut(&priority)?;
        let queue = accounts.get_mut(account)?;
        let position = match ticket {
            Some(ticket) => queue.iter().position(|waiting| waiting.ticket == ticket)?,
            None => 0,
        };
        let waiting = queue.remove(position)?;
        if queue.is_empty() {
            accounts.remove(account);
        }
        if accounts.is_empty() {
            self.queues.remove(&priority);
        }
        self.waiting -= 1;
        if let Some(account) = self.accounts.get_mut(account) {
            account.waiting -= 1;
        }
        Some(waiting)
    }

    fn record_start(&mut self, account: &AccountId, weight: u32) {
        self.running += 1;
        let account = self.accounts.entry(account.clone()).or_default();
        account.running += 1;
        account.weighted_starts += 1.0 / f64::from(weight.max(1));
    }

    fn remove_idle_accounts(&mut self) {
        if self.waiting == 0 {
            self.accounts.retain(|_, account| account.running > 0);
        }
    }
}
