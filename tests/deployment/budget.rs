//! Retries that one entry may make.

use kumquatpost::fleet::budget::{RetryBudget, RetryLimit};

use crate::fixtures::ms;

const RULE: RetryLimit =
    RetryLimit { ratio: 0.2, slack: 56.0, window: std::time::Duration::from_secs(10) };

fn spent(share: &mut RetryBudget, at: u64) -> usize {
    (0..1_000).filter(|_| share.try_retry(&"app".to_string(), ms(at))).count()
}

#[test]
fn all_entries_together_stay_within_the_rule() {
    for entries in [1, 7, 67] {
        let mut shares: Vec<RetryBudget> =
            (0..entries).map(|_| RetryBudget::new(RULE, entries)).collect();
        let mut all = 0;
        for share in &mut shares {
            (0..50).for_each(|_| share.record_request(&"app".to_string(), ms(0)));
            all += spent(share, 1);
        }
        let allowed = RULE.ratio * 50.0 * f64::from(entries) + RULE.slack;
        assert!(all as f64 <= allowed, "{entries} entries: {all} of {allowed}");
        assert!(all as f64 >= allowed * 0.5, "{entries} entries: {all} of {allowed}");
    }
}

#[test]
fn the_window_slides() {
    let mut share = RetryBudget::new(RULE, 8);
    (0..100).for_each(|_| share.record_request(&"app".to_string(), ms(0)));
    assert!(spent(&mut share, 1) > 10);
    assert_eq!(spent(&mut share, 5_000), 0, "used up");
    assert!(spent(&mut share, 10_500) > 0, "earlier retries have left the window");
}

#[test]
fn services_have_budgets_of_their_own_and_there_is_always_one_retry() {
    let mut share = RetryBudget::new(RULE, 10_000);
    assert!(share.try_retry(&"a".to_string(), ms(0)));
    assert!(!share.try_retry(&"a".to_string(), ms(1)));
    assert!(share.try_retry(&"b".to_string(), ms(2)));
}
