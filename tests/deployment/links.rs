//! Estimates of transfer times over the links to stores.

use kumquatpost::scheduler::link::Link;

use crate::fixtures::ms;

/// 9,000 tokens of 128 KiB each.
const SIZE_BYTES: f64 = 9_000.0 * 131_072.0;

fn transfer_ms(link: &Link) -> f64 {
    link.transfer_time(SIZE_BYTES, 1.0, ms(0)).as_secs_f64() * 1e3
}

#[test]
fn reserved_transfers_queue_and_scale_with_the_domain_factor() {
    let mut link = Link::new(590_000.0);
    assert!((15.0..17.0).contains(&transfer_ms(&link)));
    link.reserve(SIZE_BYTES, 2.0, ms(0));
    link.reserve(SIZE_BYTES, 1.0, ms(0));
    assert!((ms(46)..ms(50)).contains(&link.queue_delay(ms(0))), "{:?}", link.queue_delay(ms(0)));
    assert_eq!(link.queue_delay(ms(60)), ms(0));
}

/// Guards against an estimate that doesn't follow a link that slows down fourfold, or doesn't return to its initial
/// value once the link has recovered.
#[test]
fn estimate_follows_a_slow_link_and_its_recovery() {
    let mut link = Link::new(590_000.0);
    let healthy_ms = transfer_ms(&link);
    for _ in 0..6 {
        let expected_ms = transfer_ms(&link);
        link.observe_transfer(expected_ms, healthy_ms * 4.0 + 60.0, ms(0));
    }
    assert!(transfer_ms(&link) > healthy_ms * 2.5, "the estimate still assumes a fast link");
    for _ in 0..40 {
        let expected_ms = transfer_ms(&link);
        link.observe_transfer(expected_ms, healthy_ms, ms(0));
    }
    assert_eq!(transfer_ms(&link), healthy_ms);
}

#[test]
fn one_very_late_transfer_delays_the_queue_by_at_most_500_ms() {
    let mut link = Link::new(590_000.0);
    link.observe_transfer(transfer_ms(&link), 9_000.0, ms(0));
    assert!(link.queue_delay(ms(0)) <= ms(500), "{:?}", link.queue_delay(ms(0)));
}

#[test]
fn small_delays_do_not_change_the_estimate() {
    let mut link = Link::new(590_000.0);
    let healthy_ms = transfer_ms(&link);
    link.observe_transfer(healthy_ms, healthy_ms + 35.0, ms(0));
    assert_eq!(transfer_ms(&link), healthy_ms);
}

/// Guards against a link that is never used again: without transfers, nothing would correct its slow estimate.
#[test]
fn a_slow_estimate_expires() {
    let mut link = Link::new(590_000.0);
    let healthy_ms = transfer_ms(&link);
    (0..20).for_each(|_| link.observe_transfer(healthy_ms, 3_000.0, ms(0)));
    assert!(transfer_ms(&link) > healthy_ms * 15.0);
    let later_ms = link.transfer_time(SIZE_BYTES, 1.0, ms(20_000)).as_secs_f64() * 1e3;
    assert!(later_ms < healthy_ms * 2.0, "{later_ms}");
}
