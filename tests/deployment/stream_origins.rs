//! What processes remember of the software versions at which streams began, on a virtual clock.

use std::time::Duration;

use kumquatpost::control::frames::{OriginAnswer, StreamLookup, SubscriberRequest, encode};
use kumquatpost::control::stream_directory::StreamDirectory;
use kumquatpost::fleet::Listed;
use kumquatpost::fleet::software::{SETTLING_TIME, SoftwareVersions};
use kumquatpost::fleet::streams::{
    STREAM_TTL, StreamKey, StreamOrigin, StreamTable, StreamsOfOrigin, stream_key,
};

use crate::fixtures::{address, ms, target};

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "llm".to_string(), software: software.to_string() }
}

fn told(software: &str, streams: &[StreamKey]) -> Vec<StreamsOfOrigin> {
    vec![StreamsOfOrigin { origin: origin(software), streams: streams.to_vec() }]
}

fn listed(id: &str, software: &str) -> Listed {
    Listed { software: software.to_string(), ..target(id, "llm", address(1)) }
}

fn lookup(stream: StreamKey) -> StreamLookup {
    StreamLookup { id: 1, stream, service: "llm".to_string() }
}

#[test]
fn streams_of_different_accounts_have_different_keys() {
    let (alpha, beta) = ("alpha".to_string(), "beta".to_string());
    let key = stream_key(Some(&alpha), "r1");
    assert_ne!(key, stream_key(Some(&beta), "r1"));
    assert_ne!(key, stream_key(Some(&alpha), "r2"));
    assert_eq!(key, stream_key(Some(&alpha), "r1"));
}

#[test]
fn streams_are_forgotten_after_their_longest_life_unless_they_go_on() {
    let mut table = StreamTable::default();
    table.record(1, origin("v1"), ms(0));
    table.record(2, origin("v2"), ms(0));
    table.record(1, origin("v1"), ms(1_000));
    assert_eq!(table.get(1, STREAM_TTL), Some(&origin("v1")));
    assert_eq!(table.get(2, STREAM_TTL), None);
    table.record(3, origin("v1"), STREAM_TTL);
    assert_eq!(table.len(), 2, "expired streams take no memory");
    table.record(4, origin("v1"), STREAM_TTL * 3);
    assert_eq!((table.len(), table.since(0)), (1, told("v1", &[4])));
}

#[test]
fn the_number_of_remembered_streams_is_bounded() {
    let mut table = StreamTable::default();
    (0..150_000).for_each(|stream| table.record(stream, origin("v1"), ms(0)));
    assert!(table.len() <= 100_000, "{}", table.len());
    assert_eq!(table.get(149_999, ms(0)), Some(&origin("v1")), "the oldest are forgotten first");
}

#[test]
fn only_recorded_streams_are_passed_on_and_each_once() {
    let mut table = StreamTable::default();
    table.record(1, origin("v1"), ms(0));
    let sent = table.revision();
    table.remember_all(&told("v2", &[2]), ms(0));
    assert!(table.since(sent).is_empty(), "the sender has told all others");
    table.record_all(&told("v2", &[3, 4]), ms(0));
    let [StreamsOfOrigin { origin: passed_on, streams }] = &table.since(sent)[..] else {
        panic!("one origin")
    };
    assert_eq!(*passed_on, origin("v2"));
    assert_eq!(streams.len(), 2);
    assert_eq!(table.get(2, ms(0)), Some(&origin("v2")));
    assert_eq!(table.all().iter().map(|told| told.streams.len()).sum::<usize>(), 4);
}

/// Where a replica takes a stream to have begun; `None` if it is not certain.
pub fn find(
    directory: &StreamDirectory,
    stream: StreamKey,
    is_current: bool,
    now: Duration,
) -> Option<StreamOrigin> {
    match directory.find(&lookup(stream), is_current, now) {
        OriginAnswer::Told(origin) | OriginAnswer::Presumed(origin) => Some(origin),
        OriginAnswer::Sole(_) | OriginAnswer::Uncertain | OriginAnswer::Unknown => None,
    }
}

/// The presumed version of a stream of which nobody was told.
fn presumed(versions: &SoftwareVersions, now: Duration) -> Option<&str> {
    versions.presumed("llm", now).map(String::as_str)
}

// Guards against a guess: such a stream began before versions were mixed, or at an unknown one.
#[test]
fn untold_streams_are_presumed_to_have_begun_before_versions_were_mixed() {
    let mut versions = SoftwareVersions::default();
    assert_eq!(presumed(&versions, ms(0)), None);
    versions.add(&listed("i-1", "v1"));
    assert!(!versions.changed(ms(0)));
    assert_eq!(presumed(&versions, STREAM_TTL * 9), Some("v1"));
    versions.add(&listed("i-2", "v2"));
    let mixed_at = STREAM_TTL * 10;
    assert!(versions.changed(mixed_at), "versions began to differ");
    assert!(!versions.changed(mixed_at + ms(5)));
    assert_eq!(presumed(&versions, mixed_at + STREAM_TTL - ms(1)), Some("v1"));
    assert_eq!(presumed(&versions, mixed_at + STREAM_TTL), None);
    versions.remove(&listed("i-1", "v1"));
    versions.changed(mixed_at + ms(10));
    assert_eq!(presumed(&versions, mixed_at + ms(10)), Some("v1"), "streams of v1 may be alive");
    assert_eq!(presumed(&versions, mixed_at + ms(10) + SETTLING_TIME), Some("v2"));
}

#[test]
fn a_process_that_finds_versions_mixed_presumes_none() {
    let mut versions = SoftwareVersions::default();
    let both = [listed("i-1", "v1"), listed("i-2", "v2")];
    versions.replace(both.iter(), ms(0));
    assert_eq!((versions.is_mixed("llm", ms(1)), presumed(&versions, ms(1))), (true, None));
}

// Guards against replicas that answer for streams of which they may not have been told.
#[test]
fn a_replica_presumes_only_what_it_would_have_been_told() {
    let directory = StreamDirectory::new(false, ms(0));
    directory.observe_roster([listed("i-1", "v1")].iter(), ms(0));
    assert_eq!(find(&directory, 1, true, ms(10)), None, "it has just started");
    directory.told_by_replica(&told("v2", &[1]), ms(10));
    assert_eq!(find(&directory, 1, false, ms(10)), Some(origin("v2")), "it was told");
    directory.told_all();
    assert_eq!(find(&directory, 2, true, ms(10)), Some(origin("v1")));
    assert_eq!(find(&directory, 2, false, ms(10)), None, "its roster may be old");
    let later = StreamDirectory::new(false, ms(0));
    later.observe_roster([listed("i-1", "v1")].iter(), ms(0));
    assert_eq!(find(&later, 2, true, STREAM_TTL), Some(origin("v1")));
    let first = StreamDirectory::new(true, ms(0));
    first.observe_roster([listed("i-1", "v1")].iter(), ms(0));
    assert_eq!(find(&first, 2, true, ms(10)), Some(origin("v1")), "there was none before");
}

#[test]
fn a_told_stream_takes_about_ten_bytes() {
    let streams: Vec<StreamKey> = (0..100).map(|n| stream_key(None, &format!("r{n}"))).collect();
    let frame = encode(&SubscriberRequest::Streams(told("v1.2", &streams)));
    // A key takes up to ten bytes, and the names are sent once.
    assert!(frame.len() <= 100 * 10 + 50, "{}", frame.len());
}

/// A replica that has known the list for long, and what it answers for a stream of which nobody told.
struct ReleasedService {
    directory: StreamDirectory,
    now: Duration,
}

impl ReleasedService {
    /// A service whose targets have been of v1 for long.
    fn start() -> ReleasedService {
        let service =
            ReleasedService { directory: StreamDirectory::new(true, ms(0)), now: STREAM_TTL * 10 };
        service.directory.observe_roster([listed("i-1", "v1")].iter(), ms(0));
        service
    }

    fn lists(&mut self, after: Duration, targets: &[Listed]) {
        self.now += after;
        self.directory.observe_roster(targets.iter(), self.now);
    }

    fn untold_after(&self, after: Duration) -> Option<String> {
        let origin = find(&self.directory, 1, true, self.now + after);
        origin.map(|origin| origin.software)
    }

    /// Streams of v1 may be alive for as long as they are remembered. Later ones are of v2.
    fn assert_untold_streams_are_of_v1_at_first(&self) {
        for after in [ms(0), ms(100), ms(2_500), STREAM_TTL / 2, STREAM_TTL - ms(1)] {
            assert_eq!(self.untold_after(after).as_deref(), Some("v1"), "after {after:?}");
        }
        assert_ne!(
            self.untold_after(STREAM_TTL).as_deref(),
            Some("v2"),
            "cut-off entries may have begun them"
        );
        assert_eq!(self.untold_after(STREAM_TTL * 2).as_deref(), Some("v2"));
    }
}

// Guards against streams of the old version, of entries that were killed before they told of them, that go on
// at the new one since all targets changed in one step.
#[test]
fn untold_streams_are_of_the_version_before_a_list_that_changes_in_one_step() {
    let mut service = ReleasedService::start();
    service.lists(ms(10), &[listed("i-2", "v2")]);
    service.assert_untold_streams_are_of_v1_at_first();
}

// Guards against the same after both versions were listed for a moment.
#[test]
fn untold_streams_are_of_the_version_before_a_short_mix() {
    let mut service = ReleasedService::start();
    service.lists(ms(10), &[listed("i-1", "v1"), listed("i-2", "v2")]);
    service.lists(ms(200), &[listed("i-2", "v2")]);
    service.now -= ms(200);
    service.assert_untold_streams_are_of_v1_at_first();
}

// Guards against the same after the last target of the old version had left before the first new one came.
#[test]
fn untold_streams_are_of_the_version_before_an_empty_list() {
    let mut service = ReleasedService::start();
    service.lists(ms(10), &[]);
    assert_eq!(service.untold_after(ms(10)).as_deref(), Some("v1"));
    service.lists(ms(20), &[listed("i-2", "v2")]);
    service.assert_untold_streams_are_of_v1_at_first();
}
