//! Links over which kept parts move.

use kumquatpost::scheduler::link::Link;

use crate::fixtures::ms;

/// 9,000 tokens of 131 KB.
const SIZE_BYTES: f64 = 9_000.0 * 131_072.0;

fn takes_ms(link: &Link) -> f64 {
    link.transfer_time(SIZE_BYTES, 1.0, ms(0)).as_secs_f64() * 1e3
}

#[test]
fn transfers_queue_and_take_twice_as_long_from_afar() {
    let mut link = Link::new(590_000.0);
    assert!((15.0..17.0).contains(&takes_ms(&link)));
    link.reserve(SIZE_BYTES, 2.0, ms(0));
    link.reserve(SIZE_BYTES, 1.0, ms(0));
    assert!((ms(46)..ms(50)).contains(&link.queue_delay(ms(0))), "{:?}", link.queue_delay(ms(0)));
    assert_eq!(link.queue_delay(ms(60)), ms(0));
}

/// A store's links turn four times as slow for some seconds: what is expected follows within a few
/// transfers, and returns once they are sound.
#[test]
fn a_link_that_turns_slow_is_noticed_and_forgiven() {
    let mut link = Link::new(590_000.0);
    let sound_ms = takes_ms(&link);
    for _ in 0..6 {
        let expected_ms = takes_ms(&link);
        link.observe_transfer(expected_ms, sound_ms * 4.0 + 60.0, ms(0));
    }
    assert!(takes_ms(&link) > sound_ms * 2.5, "it may come out twice too fast, and no more");
    for _ in 0..40 {
        let expected_ms = takes_ms(&link);
        link.observe_transfer(expected_ms, sound_ms, ms(0));
    }
    assert_eq!(takes_ms(&link), sound_ms);
}

#[test]
fn one_very_late_transfer_holds_others_up_for_a_moment_only() {
    let mut link = Link::new(590_000.0);
    link.observe_transfer(takes_ms(&link), 9_000.0, ms(0));
    assert!(link.queue_delay(ms(0)) <= ms(500), "{:?}", link.queue_delay(ms(0)));
}

#[test]
fn small_delays_are_no_sign() {
    let mut link = Link::new(590_000.0);
    let sound_ms = takes_ms(&link);
    link.observe_transfer(sound_ms, sound_ms + 35.0, ms(0));
    assert_eq!(takes_ms(&link), sound_ms);
}

/// Nothing is fetched over a link that seems slow, so nothing would ever show that it is sound again.
#[test]
fn a_slow_link_is_tried_again_after_a_while() {
    let mut link = Link::new(590_000.0);
    let sound_ms = takes_ms(&link);
    (0..20).for_each(|_| link.observe_transfer(sound_ms, 3_000.0, ms(0)));
    assert!(takes_ms(&link) > sound_ms * 15.0);
    let later_ms = link.transfer_time(SIZE_BYTES, 1.0, ms(20_000)).as_secs_f64() * 1e3;
    assert!(later_ms < sound_ms * 2.0, "{later_ms}");
}
