//! Who leaves, as several replicas and an entry know it.
//!
//! What was seen: 3.1 s after the platform's list showed that a target leaves, two entries still sent it
//! plain requests, a few milliseconds after they had come; the leader was sound. The same day had
//! replicas cut off, restarted in the cut, and all others killed.
//!
//! How it can come about: a list of targets has a number, and each replica that reads or finds out
//! something gives its list the next one. Two that do so at the same time have two lists under one
//! number. What an entry is then told, how the list differs from "the one with this number", is applied
//! to the other one. What these two differ in is never told again, and nobody compares lists of the same
//! number. Likewise a list with a higher number takes the place of one that knows more of who leaves.
//!
//! A target that the scheduler names is sent to, although the entry knows better.
//!
//! What shows it: these tests. That it was one of these on that day is suspected only: its logs were not
//! at hand, and those of a like day tell neither numbers at entries nor who read the list.

use std::rc::Rc;

use kumquatpost::clock::boot_now;
use kumquatpost::control::frames::{
    Handshake, SchedulerReply, SchedulerRequest, Update, VersionedRoster, encode, read,
};
use kumquatpost::control::shared::{Shared, StalePeers};
use kumquatpost::fleet::{FleetView, Listed, Presence};
use kumquatpost::gateway::scheduler_connection;
use kumquatpost::gateway::state::Gateway;
use kumquatpost::scheduler::Placement;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpListener;

use crate::asking::shared;
use crate::fixtures::{address, loopback, roster, start, target};
use crate::gateway::{PROMPT, entry, ok, run, unhurried};
use crate::stand_in::{AfterAnswer, StandIn};

const LEAVES: &str = "i-1";

fn listed(presence: Presence) -> Vec<Listed> {
    let leaves = Listed { presence, ..target(LEAVES, "app", address(1)) };
    vec![leaves, target("i-2", "app", address(2)), target("i-3", "llm", address(3))]
}

/// A replica that knows a list, and does not lead.
fn follower(known: &VersionedRoster) -> Shared {
    let shared = shared(4, known.clone());
    shared.view.send_modify(|view| view.leads = false);
    shared
}

fn read_list(shared: &Shared, presence: Presence) {
    shared.change_roster(|known| known.update(listed(presence)));
}

/// Finds an engine with newer weights than the list shows.
fn find_weights(shared: &Shared) {
    let weights = [("m".to_string(), 2)].into();
    shared.change_roster(|known| known.set_weights(&start("i-3"), &weights));
}

fn current(shared: &Shared) -> VersionedRoster {
    shared.roster.borrow().clone()
}

fn knows_who_leaves(shared: &Shared) -> bool {
    let roster = current(shared).roster;
    roster.get(&start(LEAVES)).is_some_and(|listed| listed.presence == Presence::Leaving)
}

fn takes_work(gateway: &Gateway) -> bool {
    gateway.fleet.borrow().live("app").any(|state| state.listed.start.id == LEAVES)
}

/// An entry's connection to a replica, without the network.
struct Heard<'a> {
    gateway: &'a Rc<Gateway>,
    replica: &'a Shared,
    told: VersionedRoster,
}

impl Heard<'_> {
    fn new<'a>(gateway: &'a Rc<Gateway>, replica: &'a Shared) -> Heard<'a> {
        let told = current(replica);
        gateway.observe_roster(told.clone());
        Heard { gateway, replica, told }
    }

    /// Tells how the list has changed; the whole list if the entry does not know the one before.
    async fn tell(&mut self) {
        let now = current(self.replica);
        let frame = self.replica.roster_change_frame(&self.told, &now);
        let news: Update = read(&mut &frame[..]).await.expect("a frame");
        if self.gateway.observe(news).is_err() {
            self.gateway.observe_roster(now.clone());
        }
        self.told = now;
    }
}

#[test]
fn a_change_of_another_list_with_the_same_number_hides_nobody_who_leaves() {
    run(async {
        let entry = entry(unhurried(), Vec::new()).await;
        let leader = shared(4, VersionedRoster::default());
        read_list(&leader, Presence::Live);
        // The leader finds weights while another replica reads that a target leaves.
        let (reader, third) = (follower(&current(&leader)), follower(&current(&leader)));
        find_weights(&leader);
        read_list(&reader, Presence::Leaving);
        third.observe_roster(current(&reader));
        Heard::new(&entry.gateway, &leader);
        let mut by_third =
            Heard { gateway: &entry.gateway, replica: &third, told: current(&third) };
        // Now the leader reads it, too, and tells the third one.
        read_list(&leader, Presence::Leaving);
        third.observe_roster(current(&leader));
        by_third.tell().await;
        assert!(knows_who_leaves(&third));
        assert!(!takes_work(&entry.gateway), "the entry sends work to a target that leaves");
    });
}

#[test]
fn no_list_brings_back_or_hides_who_leaves() {
    let earlier = shared(4, VersionedRoster::default());
    read_list(&earlier, Presence::Leaving);
    // The next leader has started anew and reads a list that lags.
    let leader = shared(5, VersionedRoster::default());
    read_list(&leader, Presence::Live);
    earlier.observe_roster(current(&leader));
    assert!(knows_who_leaves(&earlier), "a list with a higher number brought a target back");
    leader.observe_roster(current(&earlier));
    assert!(knows_who_leaves(&leader), "what another replica knows is not heard");
    assert_eq!(
        current(&leader).roster.get(&start(LEAVES)),
        current(&earlier).roster.get(&start(LEAVES))
    );
    // Nor at an entry, which may have found out by itself that a target has ended.
    let live = |view: &FleetView| view.live("app").any(|state| state.listed.start.id == LEAVES);
    let mut view = FleetView::default();
    view.update(&roster(listed(Presence::Leaving)));
    view.update(&roster(listed(Presence::Live)));
    assert!(!live(&view), "a later list brought a leaving target back to an entry");
    let mut view = FleetView::default();
    view.update(&roster(listed(Presence::Live)));
    view.replaced(&start(LEAVES));
    view.update(&roster(listed(Presence::Live)));
    assert!(!live(&view), "a list that lags brought an ended target back to an entry");
    let mut elsewhere = listed(Presence::Live);
    elsewhere[0].address = address(9);
    view.update(&roster(elsewhere));
    assert!(live(&view), "at another address it is there");
    run(an_entry_hears_who_leaves_from_a_list_that_it_does_not_take());
}

async fn an_entry_hears_who_leaves_from_a_list_that_it_does_not_take() {
    let entry = entry(unhurried(), Vec::new()).await;
    let leader = shared(4, VersionedRoster::default());
    read_list(&leader, Presence::Live);
    let reader = follower(&current(&leader));
    let mut by_reader = Heard::new(&entry.gateway, &reader);
    // The leader's list has changed more often: it has the higher number.
    find_weights(&leader);
    leader.change_roster(|known| known.update(Vec::new()));
    read_list(&leader, Presence::Live);
    Heard::new(&entry.gateway, &leader);
    read_list(&reader, Presence::Leaving);
    by_reader.tell().await;
    assert!(!takes_work(&entry.gateway), "the entry sends work to a target that leaves");
}

#[test]
fn replicas_with_two_lists_of_one_number_come_to_agree() {
    let leader = shared(4, VersionedRoster::default());
    read_list(&leader, Presence::Live);
    let reader = follower(&current(&leader));
    find_weights(&leader);
    read_list(&reader, Presence::Leaving);
    let (one, other) = (current(&leader), current(&reader));
    assert_eq!(one.number, other.number);
    assert_ne!(one.version(), other.version(), "which one is meant can be told");
    // Each hears the other's, as after a cut; who lacks something is told until nobody does.
    let mut lacking =
        [(&leader, leader.observe_roster(other)), (&reader, reader.observe_roster(one))];
    for _ in 0..3 {
        lacking = lacking.map(|(from, lacking)| {
            let to = if std::ptr::eq(from, &leader) { &reader } else { &leader };
            match lacking {
                StalePeers::Nobody => (to, lacking),
                _ => (to, to.observe_roster(current(from))),
            }
        });
    }
    assert!(lacking.iter().all(|(_, lacking)| *lacking == StalePeers::Nobody), "it never ends");
    assert_eq!(current(&leader).version(), current(&reader).version());
    assert!(knows_who_leaves(&leader));
}

#[test]
fn who_tells_of_an_earlier_list_is_told_the_later_one() {
    let leader = shared(4, VersionedRoster::default());
    read_list(&leader, Presence::Live);
    let early = current(&leader);
    let reader = follower(&early);
    read_list(&reader, Presence::Leaving);
    let now = boot_now();
    assert!(reader.observe_read(early.version(), now).is_lt(), "the leader lacks a list");
    assert!(leader.observe_read(current(&reader).version(), now).is_gt(), "it asks for it");
    assert_eq!(reader.observe_roster(early), StalePeers::Sender);
    assert_eq!(leader.observe_roster(current(&reader)), StalePeers::Nobody);
    assert!(leader.observe_read(current(&reader).version(), now).is_eq());
}

/// A scheduler that places each prompt on the first engine that the entry does not avoid, and hears
/// nothing of who leaves.
async fn place_on_first_of(engines: [&str; 2], listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("the entry connects");
    let (read_half, mut write) = stream.split();
    let mut from_entry = BufReader::new(read_half);
    let _: Handshake = read(&mut from_entry).await.expect("who it is");
    // It ends with the test.
    while let Ok(frame) = read(&mut from_entry).await {
        if let SchedulerRequest::Place(number, ask) = frame {
            let engine = engines
                .iter()
                .find(|engine| !ask.avoid.iter().any(|avoided| avoided.id == **engine));
            let target = engine.expect("one is left").to_string();
            let placed = Placement { target: start(&target), ..Placement::default() };
            let answer = encode(&SchedulerReply::Placed(number, Ok(placed)));
            write.write_all(&answer).await.expect("the entry reads");
        }
    }
}

#[test]
fn a_prompt_that_was_placed_on_a_target_that_leaves_goes_to_another_one() {
    run(async {
        let leaves = StandIn::start(vec![(ok("late"), AfterAnswer::KeepOpen)]).await;
        let stays = StandIn::start(vec![(ok("done"), AfterAnswer::KeepOpen)]).await;
        let engines = [("i-1", &leaves), ("i-2", &stays)];
        let listed = engines.map(|(id, engine)| target(id, "llm", engine.address));
        let entry = entry(unhurried(), listed.to_vec()).await;
        let ip = loopback(3);
        let listener = TcpListener::bind((ip, entry.gateway.host.peer_port)).await.expect("a port");
        entry.gateway.leader.set(Some(ip));
        tokio::task::spawn_local(scheduler_connection::keep_connected(entry.gateway.clone()));
        tokio::task::spawn_local(place_on_first_of(["i-1", "i-2"], listener));
        // The entry hears that the engine leaves before the scheduler does.
        let replica = shared(4, VersionedRoster::default());
        let [mut first, second] = listed;
        first.presence = Presence::Leaving;
        replica.change_roster(|known| known.update(vec![first, second]));
        Heard::new(&entry.gateway, &replica);
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!((leaves.request_count(), stays.request_count()), (0, 1), "{}", got.text);
    });
}
