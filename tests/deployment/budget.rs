//! Retry budgets of single entries, and what all entries together spend.

use std::time::Duration;

use kumquatpost::fleet::budget::{RetryBudget, RetryLimit};

use crate::fixtures::ms;

const RETRY_LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };
/// A time at which entries have run for longer than a window.
const SETTLED: Duration = Duration::from_secs(60);

/// The budget of an entry that started at `at` and has been told the number of entries.
fn budget_started(entries: u32, at: Duration) -> RetryBudget {
    let mut budget = RetryBudget::new(RETRY_LIMIT, at);
    budget.observe_entries(entries, at);
    budget
}

/// Records requests, makes as many retries as the budget allows, and returns their number.
fn spend_all(budget: &mut RetryBudget, requests: usize, at: Duration) -> usize {
    let service = "app".to_string();
    (0..requests).for_each(|_| budget.record_request(&service, at));
    (0..1_000).filter(|_| budget.try_retry(&service, at).is_granted).count()
}

/// The same at a time in milliseconds after `SETTLED`, without further requests.
fn count_allowed_retries(budget: &mut RetryBudget, at_ms: u64) -> usize {
    spend_all(budget, 0, SETTLED + ms(at_ms))
}

#[test]
fn all_entries_together_stay_within_the_retry_limit() {
    for entries in [1, 7, 67] {
        let mut budgets: Vec<RetryBudget> =
            (0..entries).map(|_| budget_started(entries, Duration::ZERO)).collect();
        let mut all = 0;
        for budget in &mut budgets {
            (0..50).for_each(|_| budget.record_request(&"app".to_string(), SETTLED));
            all += count_allowed_retries(budget, 1);
        }
        let allowed = RETRY_LIMIT.ratio * 50.0 * f64::from(entries) + RETRY_LIMIT.slack;
        assert!(all as f64 <= allowed, "{entries} entries: {all} of {allowed}");
        assert!(all as f64 >= allowed * 0.5, "{entries} entries: {all} of {allowed}");
    }
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = budget_started(8, Duration::ZERO);
    (0..100).for_each(|_| budget.record_request(&"app".to_string(), SETTLED));
    assert!(count_allowed_retries(&mut budget, 1) > 10);
    assert_eq!(count_allowed_retries(&mut budget, 5_000), 0, "the budget is used up");
    assert!(count_allowed_retries(&mut budget, 10_500) > 0, "earlier retries have left the window");
}

/// Guards against a budget that is used up by retries that were prepared and not made.
#[test]
fn a_returned_retry_can_be_taken_again() {
    let (mut budget, service) = (budget_started(8, Duration::ZERO), "app".to_string());
    let allowed = count_allowed_retries(&mut budget, 1);
    budget.return_retry(&service, SETTLED + ms(1));
    assert_eq!(count_allowed_retries(&mut budget, 2), 1, "one of {allowed} was returned");
}

/// Guards against a budget that forgets a retry that was made when it gets back one that was taken earlier.
#[test]
fn a_returned_retry_does_not_give_back_a_later_one() {
    let (mut budget, service) = (budget_started(8, Duration::ZERO), "app".to_string());
    let prepared_at = SETTLED;
    assert!(budget.try_retry(&service, prepared_at).is_granted);
    let made_at = SETTLED + RETRY_LIMIT.window - ms(1_000);
    let made = spend_all(&mut budget, 0, made_at);
    assert!(made > 0);
    budget.return_retry(&service, prepared_at);
    let after_the_first = SETTLED + RETRY_LIMIT.window + ms(1);
    assert_eq!(spend_all(&mut budget, 0, after_the_first), 1, "{made} were made within a window");
}

#[test]
fn each_service_has_its_own_budget_of_at_least_one_retry() {
    let mut budget = budget_started(10_000, Duration::ZERO);
    let mut is_granted = |service: &str, at_ms| {
        budget.try_retry(&service.to_string(), SETTLED + ms(at_ms)).is_granted
    };
    assert!(is_granted("a", 0));
    assert!(!is_granted("a", 1));
    assert!(is_granted("b", 2));
}

#[test]
fn an_entry_that_has_just_started_retries_for_its_own_requests() {
    let mut budget = budget_started(8, SETTLED);
    let retries = spend_all(&mut budget, 100, SETTLED + ms(100));
    assert!(retries as f64 >= RETRY_LIMIT.ratio * 100.0 * 0.5, "{retries}");
    let rest = spend_all(&mut budget, 0, SETTLED + RETRY_LIMIT.window);
    assert!(rest >= 4, "its share of the slack after a window, but got {rest}");
}

// Guards against more retries than the limit of all entries while entries restart again and again.
#[test]
fn entries_that_restart_within_a_window_stay_within_the_retry_limit() {
    const ENTRIES: u32 = 8;
    const REQUESTS: usize = 10;
    for restarts in [1, 4, 16] {
        let mut retries = 0;
        for _ in 0..ENTRIES {
            let mut budget = budget_started(ENTRIES, Duration::ZERO);
            retries += spend_all(&mut budget, REQUESTS, SETTLED);
            for restart in 1..=restarts {
                let at = SETTLED + ms(500) * restart;
                let mut budget = budget_started(ENTRIES, at);
                retries += spend_all(&mut budget, REQUESTS, at + ms(400));
            }
        }
        let requests = REQUESTS as f64 * f64::from(ENTRIES * (restarts + 1));
        let allowed = RETRY_LIMIT.ratio * requests + RETRY_LIMIT.slack;
        assert!(retries as f64 <= allowed, "{restarts} restarts: {retries} of {allowed}");
    }
}

// Guards against shares that grow while retries of entries that have ended still count.
#[test]
fn entries_that_end_leave_their_shares_unused_for_a_window() {
    const ENTRIES: u32 = 8;
    let mut budgets: Vec<RetryBudget> =
        (0..ENTRIES).map(|_| budget_started(ENTRIES, Duration::ZERO)).collect();
    let mut retries: usize = budgets.iter_mut().map(|budget| spend_all(budget, 0, SETTLED)).sum();
    let mut survivor = budgets.remove(0);
    survivor.observe_entries(ENTRIES, SETTLED);
    for after_ms in [300, 5_000, 9_000] {
        let at = SETTLED + ms(after_ms);
        survivor.observe_entries(1, at);
        retries += spend_all(&mut survivor, 0, at);
    }
    assert!(retries as f64 <= RETRY_LIMIT.slack, "{retries} of {}", RETRY_LIMIT.slack);
    let later = SETTLED + ms(300) + RETRY_LIMIT.window * 2;
    survivor.observe_entries(1, later);
    let last = spend_all(&mut survivor, 0, later);
    assert!(last as f64 >= RETRY_LIMIT.slack * 0.5, "the only entry got {last}");
}
