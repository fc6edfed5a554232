//! Transfer of the target list to hundreds of hosts that start at once.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatpost::control::deployment_schedule::DeploymentSchedule;
use kumquatpost::control::frames::{
    RosterDetail, RosterSubscription, Update, VersionedRoster, encode,
};

use kumquatpost::control::pieces::{Assembly, Piece, PieceError, split};
use kumquatpost::control::reader_election::{READ_INTERVAL, ReaderElection};
use kumquatpost::control::roster_publisher::RosterPublisher;
use kumquatpost::control::shared::Shared;
use kumquatpost::fleet::{Listed, Presence, Roster};
use kumquatpost::gateway::subscription_policy::{HeldRoster, Subscription, Subscriptions};
use kumquatpost::ids::DomainId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::{address, deployment, ms, roster, target};
use crate::scheduler_service::leader_state;

const HOSTS: usize = 300;
const TARGETS: u16 = 3_000;
const DOMAINS: usize = 5;
/// The bandwidth of an entry's link, 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 10e6 / 8.0;

fn domain(n: usize) -> DomainId {
    format!("hall-{}", n % DOMAINS)
}

fn replica(n: usize) -> IpAddr {
    IpAddr::from([10, n as u8, 0, 1])
}

/// A target list with many engines and a plain service with few targets.
fn list(number: u64) -> VersionedRoster {
    let listed = (0..TARGETS).map(|n| Listed {
        failure_domain: domain(n as usize),
        weights: [("model-a".to_string(), 1)].into(),
        ..target(&format!("i-{n:010x}"), if n < 5 { "app" } else { "llm" }, address(n + 1))
    });
    VersionedRoster::new(number, Arc::new(roster(listed)))
}

/// A starting entry on a virtual clock.
struct Entry {
    domain: DomainId,
    subscriptions: Subscriptions,
    active: Vec<Subscription>,
    held: HeldRoster,
    /// Bytes of lists that the entry received.
    bytes: usize,
    /// The part of `bytes` that came from other failure domains.
    cross_domain_bytes: usize,
    complete_at: Option<Duration>,
}

impl Entry {
    fn new(n: usize) -> Entry {
        Entry {
            domain: domain(n),
            subscriptions: Subscriptions::new(domain(n)),
            active: Vec::new(),
            held: HeldRoster::default(),
            bytes: 0,
            cross_domain_bytes: 0,
            complete_at: None,
        }
    }

    /// Handles a heartbeat of each subscribed replica, and receives the list that it requests.
    fn observe_replicas(
        &mut self,
        replicas: &BTreeMap<IpAddr, DomainId>,
        list: &VersionedRoster,
        now: Duration,
    ) {
        let known: BTreeSet<IpAddr> = replicas.keys().copied().collect();
        self.subscriptions.observe_domains(replicas.clone());
        let mut random = SmallRng::seed_from_u64(self.bytes as u64);
        let mut still_active = Vec::new();
        for subscription in std::mem::take(&mut self.active) {
            if self.subscriptions.should_switch(&subscription, &known, now) {
                let last = Some(subscription.replica);
                self.subscriptions.end(subscription, false, now);
                still_active.extend(self.subscriptions.begin(&known, last, now, &mut random));
            } else {
                still_active.push(subscription);
            }
        }
        for subscription in &mut still_active {
            let request = self.subscriptions.request(subscription, self.held, &known, now);
            if request.is_none_or(|request| request.whole == list.version()) {
                continue;
            }
            let bytes: usize = split(list)
                .into_iter()
                .map(|piece| encode(&Update::RosterPiece(piece)).len())
                .sum();
            self.bytes += bytes;
            if replicas[&subscription.replica] != self.domain {
                self.cross_domain_bytes += bytes;
            }
            let transfer_time = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
            self.complete_at.get_or_insert(now + transfer_time);
        }
        self.active = still_active;
        if self.complete_at.is_some_and(|at| at <= now) {
            self.held.whole = list.version();
            self.subscriptions.roster_complete();
        }
    }
}

/// Starts all entries at once with three seeds, and runs their subscriptions for two seconds.
fn start_all(replicas: &BTreeMap<IpAddr, DomainId>, list: &VersionedRoster) -> Vec<Entry> {
    let seeds: BTreeSet<IpAddr> = replicas.keys().take(3).copied().collect();
    let mut entries: Vec<Entry> = (0..HOSTS).map(Entry::new).collect();
    for (n, entry) in entries.iter_mut().enumerate() {
        let mut random = SmallRng::seed_from_u64(n as u64);
        for _ in 0..2 {
            entry.active.extend(entry.subscriptions.begin(&seeds, None, ms(0), &mut random));
        }
        // Connecting takes a few milliseconds; heartbeats come four times a second.
        for now in [ms(5), ms(10), ms(255), ms(260), ms(505), ms(755), ms(1_005), ms(2_005)] {
            entry.observe_replicas(replicas, list, now);
        }
    }
    entries
}

fn replicas_in(domains: impl Iterator<Item = usize>) -> BTreeMap<IpAddr, DomainId> {
    domains.enumerate().map(|(n, at)| (replica(n), domain(at))).collect()
}

/// Entries that start together must not load the links between failure domains: each receives the list
/// once, from its own domain, in at most 40 bytes per target.
#[test]
fn entries_starting_together_get_the_list_once_and_from_their_own_domain() {
    let (replicas, list) = (replicas_in(0..DOMAINS), list(1));
    for entry in start_all(&replicas, &list) {
        assert!(entry.bytes > 0 && entry.bytes <= usize::from(TARGETS) * 40, "{}", entry.bytes);
        assert_eq!(entry.cross_domain_bytes, 0);
        assert!(entry.complete_at.is_some_and(|at| at < ms(150)), "{:?}", entry.complete_at);
        assert!(entry.has_subscription_in_own_domain(&replicas));
    }
}

impl Entry {
    fn has_subscription_in_own_domain(&self, replicas: &BTreeMap<IpAddr, DomainId>) -> bool {
        self.active.len() == 2
            && self.active.iter().any(|subscription| replicas[&subscription.replica] == self.domain)
    }
}

#[test]
fn entries_without_a_replica_in_their_domain_get_the_list_once() {
    let (replicas, list) = (replicas_in(0..3), list(1));
    for entry in start_all(&replicas, &list) {
        assert!(entry.bytes > 0 && entry.bytes <= usize::from(TARGETS) * 40, "{}", entry.bytes);
        assert!(entry.complete_at.is_some_and(|at| at < ms(150)), "{:?}", entry.complete_at);
    }
}

/// An entry whose only local replica is unreachable requests the list from another replica.
#[test]
fn an_unreachable_replica_of_the_own_domain_does_not_delay_an_entry() {
    let replicas: BTreeSet<IpAddr> = (0..3).map(replica).collect();
    let mut subscriptions = Subscriptions::new(domain(0));
    subscriptions.observe_domains(replicas_in(0..3));
    let mut random = SmallRng::seed_from_u64(1);
    let local = subscriptions.begin(&replicas, None, ms(0), &mut random).expect("a replica");
    assert_eq!(local.replica, replica(0));
    subscriptions.end(local, true, ms(250));
    let mut other =
        subscriptions.begin(&replicas, Some(replica(0)), ms(300), &mut random).expect("a replica");
    assert_ne!(other.replica, replica(0));
    let held = HeldRoster::default();
    assert!(!subscriptions.should_switch(&other, &replicas, ms(310)), "it has just failed");
    assert!(subscriptions.request(&mut other, held, &replicas, ms(310)).is_some());
    subscriptions.roster_complete();
    assert!(subscriptions.should_switch(&other, &replicas, ms(4_000)), "it may be back");
}

/// When a replica fails during a transfer, the next one sends only the remaining pieces.
#[test]
fn a_transfer_resumes_at_another_replica() {
    let list = list(7);
    let publisher = leader_state(1, list.clone());
    let mut assembly = Assembly::default();
    let whole = receive_pieces(&publisher, RosterSubscription::default(), 4, &mut assembly);
    assert_eq!(whole, None);
    let part = assembly.progress();
    assert_eq!(part, (list.version(), 4));
    let request = RosterSubscription { part, ..RosterSubscription::default() };
    let (other, rest) = (leader_state(2, list.clone()), split(&list).len() - 4);
    let whole = receive_pieces(&other, request, rest, &mut assembly);
    assert_eq!(whole.map(|whole| whole.version()), Some(list.version()));
}

/// Receives `count` pieces from a replica.
fn receive_pieces(
    replica: &Shared,
    request: RosterSubscription,
    count: usize,
    assembly: &mut Assembly,
) -> Option<VersionedRoster> {
    let mut publisher = RosterPublisher::default();
    publisher.subscribe(request, replica);
    let mut whole = None;
    for _ in 0..count {
        let frame = publisher.next_frame(replica).expect("a piece");
        whole = assembly.take(&piece_in(&frame)).expect("the piece is valid");
    }
    whole
}

fn piece_in(frame: &[u8]) -> Piece {
    match postcard::from_bytes(&frame[4..]).expect("an update") {
        Update::RosterPiece(piece) => piece,
        other => panic!("{other:?}"),
    }
}

/// An entry that switches replicas must not receive the complete list again.
#[test]
fn an_entry_with_an_earlier_list_gets_only_the_changes() {
    let earlier = list(7);
    let replica = leader_state(1, earlier.clone());
    let leaving_target = earlier.roster.iter().next().expect("a target").clone();
    let later = Listed { presence: Presence::Leaving, ..leaving_target };
    let mut targets: Vec<Listed> = earlier.roster.iter().cloned().collect();
    targets[0] = later;
    assert!(replica.change_roster(|known| known.update(targets)));
    let mut publisher = RosterPublisher::default();
    publisher.subscribe(
        RosterSubscription { whole: earlier.version(), ..RosterSubscription::default() },
        &replica,
    );
    let frame = publisher.next_frame(&replica).expect("a change");
    assert!(frame.len() < 300, "{} bytes", frame.len());
    assert_eq!(publisher.next_frame(&replica), None);
}

/// Of the two replicas that an entry subscribes to, the second sends only leaving targets, unless the
/// changes from the first are late.
#[test]
fn one_replica_sends_changes_and_both_send_leaving_targets() {
    let replicas: BTreeSet<IpAddr> = (0..3).map(replica).collect();
    let mut subscriptions = Subscriptions::new(domain(0));
    subscriptions.observe_domains(replicas_in(0..3));
    let mut random = SmallRng::seed_from_u64(1);
    let mut local = subscriptions.begin(&replicas, None, ms(0), &mut random).expect("a replica");
    let mut remote = subscriptions.begin(&replicas, None, ms(0), &mut random).expect("a replica");
    let (earlier, later) = (list(7), changed_list(&list(7)));
    let held = HeldRoster { whole: earlier.version(), ..HeldRoster::default() };
    let detail = |request: Option<RosterSubscription>| request.map(|request| request.detail);
    let request = subscriptions.request(&mut local, held, &replicas, ms(5));
    assert_eq!(detail(request), Some(RosterDetail::Changes));
    let request = subscriptions.request(&mut remote, held, &replicas, ms(5)).expect("a request");
    assert_eq!(request.detail, RosterDetail::Versions);
    let replica = leader_state(1, earlier);
    let mut publisher = RosterPublisher::default();
    publisher.subscribe(request, &replica);
    replica.observe_roster(later.clone());
    let frame = publisher.next_frame(&replica).expect("an update");
    let Update::RosterVersionOnly { version, leaving } =
        postcard::from_bytes(&frame[4..]).expect("an update")
    else {
        panic!("the complete change was sent");
    };
    assert_eq!((version, leaving.len()), (later.version(), 1));
    remote.observe_name(version, ms(300));
    assert_eq!(
        subscriptions.request(&mut remote, held, &replicas, ms(400)),
        None,
        "the first replica is expected to send it"
    );
    let request = subscriptions.request(&mut remote, held, &replicas, ms(560));
    assert_eq!(detail(request), Some(RosterDetail::Changes), "the first replica did not send it");
}

/// A list in which one target leaves and a thousand others run newer weights.
fn changed_list(earlier: &VersionedRoster) -> VersionedRoster {
    let mut targets: Vec<Listed> = earlier.roster.iter().cloned().collect();
    targets[0].presence = Presence::Leaving;
    targets[1..1_001]
        .iter_mut()
        .for_each(|target| *target.weights.entry("model-a".into()).or_default() = 2);
    VersionedRoster::new(earlier.number + 1, Arc::new(roster(targets)))
}

/// A replica with an older list than the entry sends nothing, and has nothing to send once it has caught up.
#[test]
fn a_lagging_replica_sends_no_older_list() {
    let (earlier, later) = (list(7), list(8));
    let replica = leader_state(1, earlier);
    let mut publisher = RosterPublisher::default();
    publisher.subscribe(
        RosterSubscription { whole: later.version(), ..RosterSubscription::default() },
        &replica,
    );
    assert_eq!(publisher.next_frame(&replica), None);
    replica.observe_roster(later);
    assert_eq!(publisher.next_frame(&replica), None, "the entry has that list already");
    assert!(publisher.is_up_to_date(&replica));
}

/// A replica that applies changes from another one may have to read the next list itself, so it must also
/// know which targets have left.
#[test]
fn a_replica_that_applies_a_change_keeps_leaving_targets() {
    let (before, after) = (list(7), changed_list(&list(7)));
    let leaving_target = before.roster.iter().next().expect("a target").start.clone();
    // The reader sees the target leave, then no longer lists it.
    let mut reader_roster = Roster::clone(&before.roster);
    assert!(reader_roster.update(after.roster.iter().cloned().collect()));
    let with_leaving = VersionedRoster::new(8, Arc::new(reader_roster.clone()));
    let rest = after.roster.iter().filter(|listed| listed.start != leaving_target).cloned();
    assert!(reader_roster.update(rest.collect()));
    let without_leaving = VersionedRoster::new(9, Arc::new(reader_roster));
    let change = |from: &VersionedRoster, to: &VersionedRoster| {
        (from.roster.change_to(&to.roster), from.roster.history_change_to(&to.roster))
    };
    let (first, first_history) = change(&before, &with_leaving);
    let (second, second_history) = change(&with_leaving, &without_leaving);
    let applied = before.with_change(
        before.version(),
        with_leaving.version(),
        first.clone(),
        first_history.clone(),
    );
    let applied = applied.expect("the change applies to that list");
    let applied = applied.with_change(
        with_leaving.version(),
        without_leaving.version(),
        second,
        second_history,
    );
    let applied = applied.expect("the change applies to that list");
    assert_eq!(applied.version(), without_leaving.version());
    // An outdated list shows the target as live again.
    let mut roster = Roster::clone(&applied.roster);
    roster.update(before.roster.iter().cloned().collect());
    assert_eq!(roster.get(&leaving_target).map(|listed| listed.presence), Some(Presence::Leaving));
    let other = VersionedRoster::new(6, before.roster.clone());
    assert_eq!(
        other.with_change(before.version(), with_leaving.version(), first, first_history),
        None
    );
}

/// Pieces that are missing, damaged, or of another list than they claim.
#[test]
fn damaged_or_mismatched_pieces_are_refused() {
    let pieces = split(&list(7));
    let mut assembly = Assembly::default();
    assert_eq!(
        assembly.take(&pieces[1]).err(),
        Some(PieceError::Damaged),
        "the first piece is missing"
    );
    assert!(assembly.take(&pieces[0]).is_ok());
    assert!(assembly.take(&pieces[0]).is_ok(), "a repeated piece is ignored");
    assert_eq!(assembly.progress().1, 1);
    // Pieces of another list under the same version.
    let other_pieces =
        split(&VersionedRoster::new(7, Arc::new(roster([target("x", "app", address(1))]))));
    let mut forged = other_pieces[0].clone();
    forged.of = pieces[0].of;
    assert_eq!(Assembly::default().take(&forged).err(), Some(PieceError::VersionMismatch));
    let last = u32::MAX;
    let mut oversized = pieces[0].clone();
    oversized.count = last;
    assert_eq!(Assembly::default().take(&oversized).err(), Some(PieceError::Damaged));
}

/// Routes of plain services can be served after the first piece, because those have few targets.
#[test]
fn the_first_piece_holds_all_targets_of_small_services() {
    let first = split(&list(1))[0].listed().expect("the piece is valid");
    assert_eq!(first.iter().filter(|listed| listed.service == "app").count(), 5);
}

/// Other replicas must not take the leader for silent while it reads a long list: they learn of a read
/// only at its end.
#[test]
fn replicas_wait_for_a_leader_that_reads_a_long_list() {
    let read_duration = ms(900);
    let mut election = ReaderElection::new(ms(0));
    let mut read_start = ms(0);
    for _ in 0..10 {
        let read_end = read_start + read_duration;
        let due = election.takeover_at(0.0, 0, READ_INTERVAL);
        assert!(
            read_start == ms(0) || due >= read_end,
            "takeover at {due:?}, the leader reads until {read_end:?}"
        );
        election.record_read(read_start);
        election.record_duration(read_duration);
        read_start = read_end + READ_INTERVAL;
    }
}

/// Guards against encoding a large deployment once for each entry: replicas missed their heartbeats
/// meanwhile, and the leader placed no prompts.
#[test]
fn a_deployment_is_encoded_once_for_all_entries() {
    let replica = leader_state(1, list(1));
    let newest = Arc::new(deployment(7));
    let frame = replica.deployment_frame(&newest);
    assert_eq!(frame, encode(&Update::Deployment(newest.clone())));
    assert!(Arc::ptr_eq(&frame, &replica.deployment_frame(&newest)));
    let later = Arc::new(deployment(8));
    assert_eq!(replica.deployment_frame(&later), encode(&Update::Deployment(later)));
}

/// An entry subscribes to two replicas, mostly in different failure domains. Guards against sending
/// each deployment twice.
#[test]
fn a_second_replica_sends_a_deployment_only_if_the_first_one_does_not() {
    let mut first = DeploymentSchedule::new(7);
    assert!(!first.should_send(7, false, false, ms(0)));
    assert!(first.should_send(8, false, false, ms(0)));
    let mut second = DeploymentSchedule::new(7);
    assert!(!second.should_send(8, true, false, ms(0)));
    second.observe_held(8);
    assert!(!second.should_send(8, true, false, ms(500)), "the entry has it");
    assert!(!second.should_send(9, true, false, ms(1_000)));
    assert!(second.should_send(9, true, false, ms(1_250)), "the first replica did not send it");
    assert!(second.should_send(9, true, true, ms(1_000)), "the entry waits for a confirmation");
    assert!(DeploymentSchedule::new(0).should_send(9, true, false, ms(0)), "the entry has none");
}
