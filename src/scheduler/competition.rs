//! Competition of the prompts of one service for its engines: which waiting prompt is placed next.
//!
//! The most urgent prompts go first. Among equally urgent ones, those that continue a stream come
//! first, then those that can still be in time, then late ones. Among these, the account that
//! recently got the least prefill time goes first, then the oldest prompt. Late prompts only use
//! capacity that prompts in time have left for a while: engines that are always busy would leave new
//! prompts no choice, so that these could not use the parts that engines hold. Bounded shares of the
//! placements go to late prompts, to an urgency that is about to starve, and to the oldest prompt of
//! any account, so that nothing starves.

mod accounts;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;

use self::accounts::{AccountQueues, AccountUse, DecayedCount};
use super::messages::PlacementRequest;
use super::placement_rate::{PlacementRate, Supply};
use super::queue::{QueuedPrompt, WaiterId};
use super::return_times::{ReturnTimes, ReturnWindow};
use crate::clock::BootTime;
use crate::ids::AccountId;

/// Every n-th placement of a waiting prompt takes one of an urgency that is about to starve. At 2.5
/// times the demand that engines bear, two kinds that share a twelfth of the placements still get
/// about a quarter of the mean share served.
const STARVING_INTERVAL: u64 = 12;
/// An urgency is about to starve if it gets less than this part of the mean share served. Twice
/// what it must get, since shares are followed with a delay. Without this condition, long prompts
/// that are hardly delayed would make many short ones late.
const STARVING_FRACTION: f64 = 0.5;
/// Every n-th placement takes the oldest late prompt. Those that can be in time would otherwise
/// hold late ones up until their callers leave; a smaller interval makes more prompts late.
const LATE_INTERVAL: u64 = 25;
/// Besides, late prompts are placed once none that can be in time has waited for this long: about
/// the prefill of a long prompt, so that engines have spare capacity.
const LATE_AFTER_QUIET: Duration = Duration::from_millis(100);
/// Late prompts that are placed then, for each placement since: they must not take all spare
/// capacity at once. At least one is placed in a dispatch.
const LATE_PER_PLACEMENT: f64 = 0.25;
/// Upper bound of the late prompts that are placed in one dispatch.
const MAX_LATE_PER_DISPATCH: f64 = 4.0;
/// Every n-th placement takes the oldest prompt that can be in time, of whatever account. Sharing
/// equally alone would leave an account with half of the traffic a tenth of the mean share served.
const ANY_ACCOUNT_INTERVAL: u64 = 4;
/// Prefill time and numbers of prompts count with a weight that falls by a factor of e in this
/// time: about as long as a burst lasts.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Weight of a placement in the share of tokens that are prefilled: about the last 20 count.
const PREFILLED_WEIGHT: f64 = 0.05;

/// When a prompt was submitted, and its id: the order of arrival.
type Arrival = (BootTime, WaiterId);
type AccountNumber = u32;

/// Prompts of one service that wait for an engine, in the order in which they are placed.
#[derive(Clone, Debug, Default)]
pub struct Competition {
    urgencies: BTreeMap<u8, Urgency>,
    places: FxHashMap<WaiterId, Place>,
    /// When prompts turn late that can still be in time.
    turns_late: BTreeSet<(BootTime, WaiterId)>,
    accounts: FxHashMap<Option<AccountId>, AccountNumber>,
    use_by_account: AccountUse,
    /// Number of waiting prompts that were placed.
    placed: u64,
    /// When one that can be in time last waited.
    in_time_waited_at: BootTime,
    /// Number of late prompts that may be placed now if none that can be in time waits.
    late_allowance: f64,
    /// Whether a turn out of order was taken since the dispatch began. A prompt that does not fit
    /// anywhere would otherwise be followed by others of its kind only.
    exception_tried: bool,
    /// The rate at which waiting prompts are placed.
    pub rate: PlacementRate,
    /// When the prospects of waiting prompts were last examined.
    pub reviewed_at: BootTime,
}

/// When the turn of a prompt is expected.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Wait among the prompts that can be in time.
    in_time: Duration,
    /// Wait if it turns late first.
    late: Duration,
}

/// Where a prompt waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    priority: u8,
    group: Group,
    account: AccountNumber,
    arrival: Arrival,
    late_from: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Group {
    /// It continues a stream.
    Continuing,
    InTime,
    Late,
}

/// Equally urgent prompts.
#[derive(Clone, Debug, Default)]
struct Urgency {
    continuing: BTreeSet<Arrival>,
    in_time: AccountQueues,
    late: AccountQueues,
    submitted: DecayedCount,
    /// Those that were not refused at once.
    admitted: DecayedCount,
    served: DecayedCount,
    return_times: ReturnTimes,
    prefilled: PrefilledShare,
}

/// Share of their tokens that recent prompts had to prefill; the others were cached.
#[derive(Clone, Copy, Debug)]
struct PrefilledShare(f64);

impl Default for PrefilledShare {
    fn default() -> PrefilledShare {
        PrefilledShare(1.0)
    }
}

impl Prospect {
    /// Whether the prompt is served while its caller waits, if waits are `margin` times as long.
    pub fn is_served(&self, queued: &QueuedPrompt, margin: f64, now: BootTime) -> bool {
        now + self.in_time.mul_f64(margin) <= queued.late_from().min(queued.expires_at())
            || now + self.late.mul_f64(margin) <= queued.expires_at()
    }
}

impl Urgency {
    fn len(&self) -> usize {
        self.continuing.len() + self.in_time.by_arrival.len() + self.late.by_arrival.len()
    }

    fn insert(&mut self, place: &Place) {
        match place.group {
            Group::Continuing => drop(self.continuing.insert(place.arrival)),
            Group::InTime => self.in_time.insert(place.account, place.arrival),
            Group::Late => self.late.insert(place.account, place.arrival),
        }
    }

    fn remove(&mut self, place: &Place) {
        match place.group {
            Group::Continuing => drop(self.continuing.remove(&place.arrival)),
            Group::InTime => self.in_time.remove(place.account, place.arrival),
            Group::Late => self.late.remove(place.account, place.arrival),
        }
    }

    /// Share of its recent prompts that was placed.
    fn served_share(&self, now: BootTime) -> f64 {
        self.served.get(now) / self.submitted.get(now).max(f64::MIN_POSITIVE)
    }

    /// The next of the prompts that can be in time.
    fn next_in_time(&self, used: &AccountUse, any_account: bool) -> Option<Arrival> {
        match any_account {
            true => self.in_time.oldest(),
            false => self.in_time.next(used),
        }
    }

    /// The next of the prompts that don't continue a stream.
    fn next(&self, used: &AccountUse) -> Option<Arrival> {
        self.in_time.next(used).or_else(|| self.late.next(used))
    }
}

impl Competition {
    /// Records a new prompt, which may be placed at once or wait.
    pub fn record_submitted(&mut self, priority: u8, now: BootTime) {
        self.urgencies.entry(priority).or_default().submitted.add(now);
    }

    /// Records that a new prompt was placed or waits.
    pub fn record_admitted(&mut self, priority: u8, now: BootTime) {
        self.urgencies.entry(priority).or_default().admitted.add(now);
    }

    /// Records a placement, and what its prefill is expected to take.
    pub fn record_placed(
        &mut self,
        request: &PlacementRequest,
        prefill_tokens: u64,
        prefill: Duration,
        now: BootTime,
    ) {
        self.late_allowance += LATE_PER_PLACEMENT;
        let urgency = self.urgencies.entry(request.priority).or_default();
        urgency.served.add(now);
        let share = prefill_tokens as f64 / request.prompt_tokens.max(1) as f64;
        urgency.prefilled.0 += (share.min(1.0) - urgency.prefilled.0) * PREFILLED_WEIGHT;
        let account = self.account_number(&request.account);
        self.use_by_account.add(account, prefill.as_secs_f64() * 1e3, now);
    }

    /// Tokens of a prompt that will probably be prefilled.
    pub fn expected_prefill_tokens(&self, request: &PlacementRequest) -> u64 {
        let urgency = self.urgencies.get(&request.priority);
        let share = urgency.map_or(1.0, |urgency| urgency.prefilled.0);
        (request.prompt_tokens as f64 * share) as u64
    }

    /// Adds a prompt that waits.
    pub fn insert(&mut self, queued: &QueuedPrompt, now: BootTime) {
        let late_from = queued.late_from();
        let place = Place {
            priority: queued.request.priority,
            group: match queued.request.software.is_some() {
                true => Group::Continuing,
                false if late_from > now => Group::InTime,
                false => Group::Late,
            },
            account: self.account_number(&queued.request.account),
            arrival: (queued.since, queued.waiter),
            late_from,
        };
        if place.group == Group::InTime {
            self.turns_late.insert((late_from, queued.waiter));
        }
        self.urgencies.entry(place.priority).or_default().insert(&place);
        self.places.insert(queued.waiter, place);
    }

    pub fn remove(&mut self, waiter: WaiterId) {
        let Some(place) = self.places.remove(&waiter) else { return };
        self.turns_late.remove(&(place.late_from, waiter));
        if let Some(urgency) = self.urgencies.get_mut(&place.priority) {
            urgency.remove(&place);
        }
    }

    /// Begins a dispatch: prompts that can no longer be in time go behind those that can.
    pub fn begin_dispatch(&mut self, now: BootTime) {
        self.exception_tried = false;
        self.late_allowance = self.late_allowance.clamp(1.0, MAX_LATE_PER_DISPATCH);
        while let Some((from, waiter)) = self.turns_late.first().copied()
            && from <= now
        {
            self.turns_late.remove(&(from, waiter));
            let Some(place) = self.places.get_mut(&waiter) else { continue };
            let Some(urgency) = self.urgencies.get_mut(&place.priority) else { continue };
            urgency.remove(place);
            place.group = Group::Late;
            urgency.insert(place);
        }
    }

    /// The prompt to place next. Of those that continue a stream, it is one that `may_take` accepts.
    pub fn next(&mut self, may_take: impl Fn(WaiterId) -> bool, now: BootTime) -> Option<WaiterId> {
        let next = self
            .next_out_of_order(now)
            .or_else(|| self.next_in_order(may_take, now))
            .or_else(|| self.next_late(now));
        next.map(|(_, waiter)| waiter)
    }

    /// The first prompt that continues a stream or can be in time, by urgency.
    fn next_in_order(
        &mut self,
        may_take: impl Fn(WaiterId) -> bool,
        now: BootTime,
    ) -> Option<Arrival> {
        let any_account = self.placed % ANY_ACCOUNT_INTERVAL == ANY_ACCOUNT_INTERVAL - 1;
        let next = self.urgencies.values().find_map(|urgency| {
            let continuing =
                urgency.continuing.iter().copied().find(|(_, waiter)| may_take(*waiter));
            continuing.or_else(|| urgency.next_in_time(&self.use_by_account, any_account))
        })?;
        self.in_time_waited_at = now;
        Some(next)
    }

    /// The first late prompt by urgency, while there is spare capacity.
    fn next_late(&mut self, now: BootTime) -> Option<Arrival> {
        let is_quiet = now >= self.in_time_waited_at + LATE_AFTER_QUIET;
        if !is_quiet || self.late_allowance < 1.0 {
            return None;
        }
        let next =
            self.urgencies.values().find_map(|urgency| urgency.late.next(&self.use_by_account))?;
        self.late_allowance -= 1.0;
        Some(next)
    }

    /// A prompt of an urgency that is about to starve, or the oldest late one, if it is its turn.
    fn next_out_of_order(&mut self, now: BootTime) -> Option<Arrival> {
        let is_turn = |interval: u64| self.placed % interval == interval - 1;
        let (for_starving, for_late) = (is_turn(STARVING_INTERVAL), is_turn(LATE_INTERVAL));
        if !(for_starving || for_late) || std::mem::replace(&mut self.exception_tried, true) {
            return None;
        }
        if for_late {
            return self.urgencies.values().filter_map(|urgency| urgency.late.oldest()).min();
        }
        let (served, submitted) =
            self.urgencies.values().fold((0.0, 0.0), |(served, all), urgency| {
                (served + urgency.served.get(now), all + urgency.submitted.get(now))
            });
        let limit = served / f64::max(submitted, f64::MIN_POSITIVE) * STARVING_FRACTION;
        let starving = self.urgencies.values().filter(|urgency| urgency.served_share(now) < limit);
        let next = starving.filter_map(|urgency| {
            Some((urgency.served_share(now), urgency.next(&self.use_by_account)?))
        });
        next.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, arrival)| arrival)
    }

    /// Records that a prompt which had waited was placed.
    pub fn count_placed(&mut self) {
        self.placed += 1;
    }

    /// Whether a prompt waits that goes before a new one of this urgency.
    pub fn has_ahead_of(&self, priority: u8) -> bool {
        let mut urgencies = self.urgencies.range(..=priority).map(|(_, urgency)| urgency);
        urgencies
            .any(|urgency| !urgency.continuing.is_empty() || !urgency.in_time.by_arrival.is_empty())
    }

    /// Number of waiting prompts that are at least as urgent.
    pub fn ahead_of(&self, priority: u8) -> usize {
        self.urgencies.range(..=priority).map(|(_, urgency)| urgency.len()).sum()
    }

    /// When the turn of a new prompt is expected.
    pub fn prospect_of_new(
        &self,
        queued: &QueuedPrompt,
        supply: &Supply,
        now: BootTime,
    ) -> Prospect {
        let Some(urgency) = self.urgencies.get(&queued.request.priority) else {
            let wait = self.wait(queued.request.priority, 0, false, supply, now);
            return Prospect { in_time: wait, late: wait };
        };
        let queues = &urgency.in_time;
        let account = self.accounts.get(&queued.request.account);
        let own =
            account.and_then(|account| queues.by_account.get(account)).map_or(0, BTreeSet::len);
        // Accounts take turns, so those with longer queues don't delay this one by all of theirs.
        let in_time = queues.by_arrival.len().min((own + 1) * queues.by_account.len());
        let ahead = urgency.continuing.len();
        let late = ahead + queues.by_arrival.len() + urgency.late.by_arrival.len();
        let priority = queued.request.priority;
        Prospect {
            in_time: self.wait(priority, ahead + in_time, false, supply, now),
            late: self.wait(priority, late, true, supply, now),
        }
    }

    /// Expected wait behind `ahead` equally urgent prompts and all more urgent ones.
    fn wait(
        &self,
        priority: u8,
        ahead: usize,
        is_late: bool,
        supply: &Supply,
        now: BootTime,
    ) -> Duration {
        let more_urgent = self.urgencies.range(..priority);
        let (waiting, arriving) =
            more_urgent.fold((0, 0.0), |(waiting, arriving), (_, urgency)| {
                (waiting + urgency.len(), arriving + urgency.admitted.per_s(now))
            });
        // Prompts that arrive later and can be in time go before late ones.
        let own = self.urgencies.get(&priority).filter(|_| is_late);
        let arriving = arriving + own.map_or(0.0, |urgency| urgency.admitted.per_s(now));
        let min_share = 1.0 / if is_late { LATE_INTERVAL } else { STARVING_INTERVAL } as f64;
        supply.time_for((ahead + waiting + 1) as f64, arriving, min_share)
    }

    /// Waiting prompts whose turn is not expected while their callers wait.
    pub fn hopeless(
        &self,
        waiting: &FxHashMap<WaiterId, QueuedPrompt>,
        supply: &Supply,
        margin: f64,
        now: BootTime,
    ) -> Vec<WaiterId> {
        let mut hopeless = Vec::new();
        for (priority, urgency) in &self.urgencies {
            let continuing = urgency.continuing.len();
            let (in_time, late) = (&urgency.in_time.by_arrival, &urgency.late.by_arrival);
            let mut kept_in_time = 0;
            let mut kept = 0;
            for (is_late, (_, waiter)) in
                in_time.iter().map(|a| (false, a)).chain(late.iter().map(|a| (true, a)))
            {
                let Some(queued) = waiting.get(waiter) else { continue };
                let late = self.wait(*priority, continuing + kept, true, supply, now);
                let in_time = match is_late {
                    true => late,
                    false => self.wait(*priority, continuing + kept_in_time, false, supply, now),
                };
                let prospect = Prospect { in_time, late };
                if !prospect.is_served(queued, margin, now) {
                    hopeless.push(*waiter);
                    continue;
                }
                kept += 1;
                kept_in_time += usize::from(!is_late);
            }
        }
        hopeless
    }

    /// When the caller of a refused prompt is to return: after the prompts that wait, and after those
    /// whose callers were refused before.
    pub fn return_time(
        &mut self,
        priority: u8,
        supply: &Supply,
        window: ReturnWindow,
        random: f64,
    ) -> BootTime {
        let now = window.now;
        let waiting = self.urgencies.get(&priority).map_or(0, Urgency::len);
        let turn = self.wait(priority, waiting, false, supply, now);
        // The time for one more prompt.
        let interval = self.wait(priority, waiting + 1, false, supply, now).saturating_sub(turn);
        let return_times = &mut self.urgencies.entry(priority).or_default().return_times;
        let earliest = window.earliest.max(now + turn);
        return_times.next(ReturnWindow { earliest, ..window }, interval, random)
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of waiting prompts by urgency.
    pub fn lengths(&self) -> impl Iterator<Item = (u8, usize)> + '_ {
        self.urgencies.iter().map(|(priority, urgency)| (*priority, urgency.len()))
    }

    fn account_number(&mut self, account: &Option<AccountId>) -> AccountNumber {
        if let Some(number) = self.accounts.get(account) {
            return *number;
        }
        let number = self.accounts.len() as AccountNumber;
        self.accounts.insert(account.clone(), number);
        number
    }
}
