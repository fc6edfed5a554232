//! What processes conclude from the software versions that they have seen listed, on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatpost::control::stream_directory::StreamDirectory;
use kumquatpost::fleet::Listed;
use kumquatpost::fleet::software::{SETTLING_TIME, SoftwareVersions};
use kumquatpost::fleet::streams::{STREAM_TTL, StreamOrigin, StreamTable, StreamsOfOrigin};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::fixtures::{address, ms, target};
use crate::stream_origins::find;

const SERVICE: &str = "llm";
/// A time at which all processes have run for long.
const START: Duration = Duration::from_secs(1_000);
/// Longest time after which a process learns of a list, and one that is cut off.
const MAX_LAG_MS: u64 = 5_000;
const MAX_CUT_OFF_MS: u64 = 90_000;

/// Targets with these ids, which begin with their versions.
fn targets(ids: &[&str]) -> Vec<Listed> {
    let listed = |id: &&str| Listed {
        software: software_of(id).to_string(),
        ..target(id, SERVICE, address(1))
    };
    ids.iter().map(listed).collect()
}

fn software_of(id: &str) -> &str {
    id.split('-').next().unwrap_or(id)
}

fn replace(software: &mut SoftwareVersions, ids: &[&str], now: Duration) -> bool {
    software.replace(targets(ids).iter(), now)
}

/// The versions of a process that has known the list for long, with one of them.
fn settled_at(version: &str) -> SoftwareVersions {
    let mut software = SoftwareVersions::at_first_start();
    replace(&mut software, &[version], ms(1));
    software
}

fn directory_with(versions: &[&str], now: Duration) -> StreamDirectory {
    let directory = StreamDirectory::new(true, ms(0));
    directory.observe_roster(targets(versions).iter(), now);
    directory
}

#[test]
fn a_service_is_settled_once_it_has_had_one_version_for_the_settling_time() {
    let mut software = SoftwareVersions::default();
    replace(&mut software, &["v1"], START);
    assert_eq!(software.settled(SERVICE, START + SETTLING_TIME - ms(1)), None);
    assert!(software.any_unsettled(START));
    let settled = START + SETTLING_TIME;
    assert_eq!(software.settled(SERVICE, settled).map(String::as_str), Some("v1"));
    assert!(replace(&mut software, &["v1", "v2"], settled), "it no longer is");
    assert_eq!(software.settled(SERVICE, settled), None);
    assert!(!replace(&mut software, &["v2"], settled + ms(10)));
    let next = settled + ms(10) + SETTLING_TIME;
    assert_eq!(software.settled(SERVICE, next - ms(1)), None);
    assert_eq!(software.settled(SERVICE, next).map(String::as_str), Some("v2"));
}

// Guards against a guess after two releases within the life of a stream: streams of the version between them are
// told, so that those which nobody told of are of the first one.
#[test]
fn untold_streams_are_not_of_a_version_that_was_never_settled() {
    let mut software = settled_at("v1");
    replace(&mut software, &["v2"], START);
    replace(&mut software, &["v3"], START + STREAM_TTL / 2);
    let presumed = |after| software.presumed(SERVICE, START + after).map(String::as_str);
    assert_eq!(presumed(STREAM_TTL - ms(1)), Some("v1"));
    assert_eq!(presumed(STREAM_TTL), None);
    assert_eq!(presumed(STREAM_TTL / 2 + SETTLING_TIME), Some("v3"));
}

#[test]
fn a_version_that_returns_is_not_taken_for_one_that_stayed() {
    let mut software = settled_at("v1");
    replace(&mut software, &["v2"], START);
    let returns_at = START + SETTLING_TIME + ms(1);
    assert!(replace(&mut software, &["v1", "v2"], returns_at));
    assert_eq!(software.presumed(SERVICE, returns_at + ms(1)).map(String::as_str), Some("v2"));
}

// Guards against refusals after all hosts have lost power: what a replica has kept tells that the service had one
// version, and so all streams.
#[test]
fn a_replica_that_starts_again_presumes_the_settled_version_that_it_has_kept() {
    let before = directory_with(&["v1"], START);
    let kept = before.settled(START + ms(10));
    let after = StreamDirectory::restored(kept, START);
    after.observe_roster(targets(&["v1", "v2"]).iter(), START + ms(5));
    let untold = find(&after, 1, true, START + ms(10)).map(|origin| origin.software);
    assert_eq!(untold.as_deref(), Some("v1"));
    before.observe_roster(targets(&["v1", "v2"]).iter(), START);
    let kept = before.settled(START + ms(10));
    let after = StreamDirectory::restored(kept, START);
    after.observe_roster(targets(&["v2"]).iter(), START + ms(5));
    assert_eq!(find(&after, 1, true, START + ms(10)), None, "told streams were lost");
}

// Guards against a replica that was down during a release and goes on with what it has kept from before.
#[test]
fn a_replica_that_starts_again_takes_over_what_others_know() {
    let other = directory_with(&["v1"], START);
    let kept = other.settled(START + ms(10));
    let released_at = START + ms(20);
    other.observe_roster(targets(&["v2"]).iter(), released_at);
    let now = released_at + SETTLING_TIME;
    let restarted = StreamDirectory::restored(kept, now);
    restarted.observe_roster(targets(&["v2"]).iter(), now);
    let told = other.told_software(now);
    restarted.observe_software(&told, true, now);
    restarted.told_all();
    let untold = find(&restarted, 1, true, now + ms(10)).map(|origin| origin.software);
    assert_eq!(untold.as_deref(), Some("v2"));
    // What it has kept itself does not confuse others.
    let stale = StreamDirectory::restored(BTreeMap::from([("llm".into(), Some("v1".into()))]), now);
    other.observe_software(&stale.told_software(now), false, now);
    assert_eq!(find(&other, 1, true, now + ms(10)).map(|o| o.software).as_deref(), Some("v2"));
}

// Guards against a guess about streams that were told and forgotten for want of room.
#[test]
fn a_replica_that_has_forgotten_streams_presumes_no_version_while_they_may_be_alive() {
    let directory = directory_with(&["v1"], START);
    let now = START + ms(10);
    directory.observe_roster(targets(&["v1", "v2"]).iter(), now);
    let told = |streams: std::ops::Range<u64>| {
        let origin = StreamOrigin { service: SERVICE.to_string(), software: "v2".to_string() };
        vec![StreamsOfOrigin { origin, streams: streams.collect() }]
    };
    directory.told_by_entry(&told(0..100_010), now);
    assert_eq!(find(&directory, 0, true, now + ms(1)), None);
    let mut table = StreamTable::default();
    table.record_all(&told(0..100_010), now);
    assert!(table.has_dropped(now + STREAM_TTL - ms(1)));
    assert!(!table.has_dropped(now + STREAM_TTL));
}

/// A release of one version after the other, with lists that processes learn of at different times, and processes
/// that start again.
struct Schedule {
    random: SmallRng,
    /// The ids that are listed from each time on.
    lists: Vec<(Duration, Vec<&'static str>)>,
    end: Duration,
}

/// A process, and when it learns of each list.
struct Observer {
    lists: Vec<(Duration, Vec<&'static str>)>,
    software: SoftwareVersions,
    shown: Vec<&'static str>,
}

impl Schedule {
    fn new(seed: u64) -> Schedule {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut at, mut lists) = (START, vec![(ms(1), vec!["v1"])]);
        // The last release goes back to the first version, with other targets.
        for [from, to] in [["v1", "v2"], ["v2", "v3"], ["v3", "v1-again"]] {
            at += ms(random.random_range(0..90_000));
            let between = match random.random_range(0..3) {
                0 => vec![from, to],
                1 => vec![],
                _ => vec![from],
            };
            lists.push((at, between));
            let lasts = *[0, 200, 3_000, 45_000].choose(&mut random).expect("not empty");
            at += ms(lasts);
            lists.push((at, vec![to]));
        }
        Schedule { random, lists, end: at + STREAM_TTL * 3 }
    }

    /// A process that learns of each list with a lag of its own, in their order.
    fn observer(&mut self, max_lag_ms: u64) -> Observer {
        let mut last = Duration::ZERO;
        let lists = self.lists.iter().map(|(at, listed)| {
            last = last.max(*at + ms(self.random.random_range(0..max_lag_ms)));
            (last, listed.clone())
        });
        let lists = lists.collect();
        Observer { lists, software: SoftwareVersions::at_first_start(), shown: Vec::new() }
    }

    /// The targets that run at a time. The list shows them until they have ended, or later.
    fn running(&self, at: Duration) -> &[&'static str] {
        let current = self.lists.iter().rfind(|(since, _)| *since <= at);
        current.map_or(&[], |(_, listed)| listed)
    }
}

impl Observer {
    fn advance(&mut self, now: Duration) {
        while self.lists.first().is_some_and(|(at, _)| *at <= now) {
            let (at, listed) = self.lists.remove(0);
            replace(&mut self.software, &listed, at);
            self.shown = listed;
        }
    }

    fn restart(&mut self, now: Duration) {
        self.software = SoftwareVersions::default();
        replace(&mut self.software, &self.shown, now);
    }
}

// Guards against orders of events that no case above has: whatever a replica presumes of a stream of which nobody
// told is true, or it presumes nothing.
#[test]
fn no_order_of_lists_and_restarts_leads_to_a_wrong_presumption() {
    let (mut right, mut unknown) = (0, 0);
    for seed in 0..150 {
        let mut schedule = Schedule::new(seed);
        let mut replica = schedule.observer(MAX_LAG_MS);
        let lags = [MAX_LAG_MS, MAX_LAG_MS, MAX_CUT_OFF_MS];
        let mut entries = lags.map(|max_lag_ms| schedule.observer(max_lag_ms));
        let mut untold: Vec<(Duration, &str)> = Vec::new();
        let mut now = START;
        while now < schedule.end {
            now += ms(schedule.random.random_range(1..400));
            replica.advance(now);
            for entry in &mut entries {
                entry.advance(now);
                if schedule.random.random_bool(0.01) {
                    entry.restart(now);
                }
                let running = schedule.running(now);
                let usable: Vec<_> = entry.shown.iter().filter(|id| running.contains(id)).collect();
                if let Some(id) = usable.choose(&mut schedule.random)
                    && entry.software.settled(SERVICE, now).is_some()
                {
                    untold.push((now, software_of(id)));
                }
            }
            untold.retain(|(begun, _)| now - *begun < STREAM_TTL);
            for (begun, version) in &untold {
                match replica.software.presumed(SERVICE, now) {
                    Some(presumed) if presumed == version => right += 1,
                    None => unknown += 1,
                    Some(presumed) => panic!(
                        "seed {seed}: a stream of {version}, begun at {begun:?}, is taken for one of {presumed} at {now:?}; lists {:?}",
                        schedule.lists
                    ),
                }
            }
        }
    }
    assert!(unknown * 20 < right, "{unknown} unknown, {right} right");
}
