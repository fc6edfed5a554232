//! Retry budgets of single entries.

use kumquatpost::fleet::budget::{RetryBudget, RetryLimit};

use crate::fixtures::ms;

const RETRY_LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, slack: 56.0, window: std::time::Duration::from_secs(10) };

fn count_allowed_retries(budget: &mut RetryBudget, at: u64) -> usize {
    (0..1_000).filter(|_| budget.try_retry(&"app".to_string(), ms(at)).is_granted).count()
}

#[test]
fn all_entries_together_stay_within_the_retry_limit() {
    for entries in [1, 7, 67] {
        let mut budgets: Vec<RetryBudget> =
            (0..entries).map(|_| RetryBudget::new(RETRY_LIMIT, entries)).collect();
        let mut all = 0;
        for budget in &mut budgets {
            (0..50).for_each(|_| budget.record_request(&"app".to_string(), ms(0)));
            all += count_allowed_retries(budget, 1);
        }
        let allowed = RETRY_LIMIT.ratio * 50.0 * f64::from(entries) + RETRY_LIMIT.slack;
        assert!(all as f64 <= allowed, "{entries} entries: {all} of {allowed}");
        assert!(all as f64 >= allowed * 0.5, "{entries} entries: {all} of {allowed}");
    }
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::new(RETRY_LIMIT, 8);
    (0..100).for_each(|_| budget.record_request(&"app".to_string(), ms(0)));
    assert!(count_allowed_retries(&mut budget, 1) > 10);
    assert_eq!(count_allowed_retries(&mut budget, 5_000), 0, "the budget is used up");
    assert!(count_allowed_retries(&mut budget, 10_500) > 0, "earlier retries have left the window");
}

#[test]
fn each_service_has_its_own_budget_of_at_least_one_retry() {
    let mut budget = RetryBudget::new(RETRY_LIMIT, 10_000);
    assert!(budget.try_retry(&"a".to_string(), ms(0)).is_granted);
    assert!(!budget.try_retry(&"a".to_string(), ms(1)).is_granted);
    assert!(budget.try_retry(&"b".to_string(), ms(2)).is_granted);
}
