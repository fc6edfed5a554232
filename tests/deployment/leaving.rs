//! Propagation of leaving targets between replicas and to entries.
//!
//! Two replicas that change the target list at the same time produce different lists with the same
//! number, and a list with a higher number may lack a leaving target that an older one holds. In
//! neither case may a replica or an entry treat a leaving target as live, or an entry send it a
//! request.

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

use crate::fixtures::{address, loopback, roster, start, target};
use crate::gateway::{PROMPT, deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::scheduler_service::leader_state;
use crate::stand_in::{AfterAnswer, StandIn};

const LEAVING_ID: &str = "i-1";

fn listed(presence: Presence) -> Vec<Listed> {
    let leaving = Listed { presence, ..target(LEAVING_ID, "app", address(1)) };
    vec![leaving, target("i-2", "app", address(2)), target("i-3", "llm", address(3))]
}

/// A replica that holds a list and is not the leader.
fn follower(known: &VersionedRoster) -> Shared {
    let shared = leader_state(4, known.clone());
    shared.view.send_modify(|view| view.leads = false);
    shared
}

fn observe_list(shared: &Shared, presence: Presence) {
    shared.change_roster(|known| known.update(listed(presence)));
}

/// Records newer weights of an engine than the platform's list shows.
fn observe_newer_weights(shared: &Shared) {
    let weights = [("m".to_string(), 2)].into();
    shared.change_roster(|known| known.set_weights(&start("i-3"), &weights));
}

fn current(shared: &Shared) -> VersionedRoster {
    shared.roster.borrow().clone()
}

fn lists_target_as_leaving(shared: &Shared) -> bool {
    let roster = current(shared).roster;
    roster.get(&start(LEAVING_ID)).is_some_and(|listed| listed.presence == Presence::Leaving)
}

fn accepts_work(gateway: &Gateway) -> bool {
    gateway.fleet.borrow().live("app").any(|state| state.listed.start.id == LEAVING_ID)
}

/// Delivery of target lists from a replica to an entry, without a network connection.
struct EntrySession<'a> {
    gateway: &'a Rc<Gateway>,
    replica: &'a Shared,
    sent_roster: VersionedRoster,
}

impl EntrySession<'_> {
    fn new<'a>(gateway: &'a Rc<Gateway>, replica: &'a Shared) -> EntrySession<'a> {
        let sent_roster = current(replica);
        gateway.observe_roster(sent_roster.clone());
        EntrySession { gateway, replica, sent_roster }
    }

    /// Sends the change since the last list, or the full list if the entry rejects the change.
    async fn send_change(&mut self) {
        let now = current(self.replica);
        let frame = self.replica.roster_change_frame(&self.sent_roster, &now);
        let update: Update = read(&mut &frame[..]).await.expect("a frame");
        if self.gateway.observe(update).is_err() {
            self.gateway.observe_roster(now.clone());
        }
        self.sent_roster = now;
    }
}

#[test]
fn a_change_between_lists_of_the_same_number_keeps_leaving_targets() {
    run_local(async {
        let entry = start_entry(deployment_with_long_timeouts(), Vec::new()).await;
        let leader = leader_state(4, VersionedRoster::default());
        observe_list(&leader, Presence::Live);
        // The leader and another replica change the same list: newer weights, and a leaving target.
        let (reader, third) = (follower(&current(&leader)), follower(&current(&leader)));
        observe_newer_weights(&leader);
        observe_list(&reader, Presence::Leaving);
        third.observe_roster(current(&reader));
        EntrySession::new(&entry.gateway, &leader);
        let mut third_session =
            EntrySession { gateway: &entry.gateway, replica: &third, sent_roster: current(&third) };
        // The leader then reads that the target is leaving and sends its list to the third replica.
        observe_list(&leader, Presence::Leaving);
        third.observe_roster(current(&leader));
        third_session.send_change().await;
        assert!(lists_target_as_leaving(&third));
        assert!(!accepts_work(&entry.gateway), "the entry sends requests to a leaving target");
    });
}

#[test]
fn no_list_reverts_or_drops_a_leaving_target() {
    let earlier = leader_state(4, VersionedRoster::default());
    observe_list(&earlier, Presence::Leaving);
    // The next leader has restarted and reads an outdated list.
    let leader = leader_state(5, VersionedRoster::default());
    observe_list(&leader, Presence::Live);
    earlier.observe_roster(current(&leader));
    assert!(
        lists_target_as_leaving(&earlier),
        "a list with a higher number reverted a leaving target"
    );
    leader.observe_roster(current(&earlier));
    assert!(
        lists_target_as_leaving(&leader),
        "the leader ignored a leaving target that another replica knows"
    );
    assert_eq!(
        current(&leader).roster.get(&start(LEAVING_ID)),
        current(&earlier).roster.get(&start(LEAVING_ID))
    );
    // The same holds at an entry, which may also have detected by itself that a target was
    // replaced.
    let live = |view: &FleetView| view.live("app").any(|state| state.listed.start.id == LEAVING_ID);
    let mut view = FleetView::default();
    view.update(&roster(listed(Presence::Leaving)));
    view.update(&roster(listed(Presence::Live)));
    assert!(!live(&view), "a later list reverted a leaving target at an entry");
    let mut view = FleetView::default();
    view.update(&roster(listed(Presence::Live)));
    view.replaced(&start(LEAVING_ID));
    view.update(&roster(listed(Presence::Live)));
    assert!(!live(&view), "an outdated list restored a replaced target at an entry");
    let mut elsewhere = listed(Presence::Live);
    elsewhere[0].address = address(9);
    view.update(&roster(elsewhere));
    assert!(live(&view), "a target at another address is live");
    run_local(an_entry_merges_leaving_targets_from_a_lower_numbered_list());
}

async fn an_entry_merges_leaving_targets_from_a_lower_numbered_list() {
    let entry = start_entry(deployment_with_long_timeouts(), Vec::new()).await;
    let leader = leader_state(4, VersionedRoster::default());
    observe_list(&leader, Presence::Live);
    let reader = follower(&current(&leader));
    let mut reader_session = EntrySession::new(&entry.gateway, &reader);
    // More changes give the leader's list the higher number.
    observe_newer_weights(&leader);
    leader.change_roster(|known| known.update(Vec::new()));
    observe_list(&leader, Presence::Live);
    EntrySession::new(&entry.gateway, &leader);
    observe_list(&reader, Presence::Leaving);
    reader_session.send_change().await;
    assert!(!accepts_work(&entry.gateway), "the entry sends requests to a leaving target");
}

#[test]
fn replicas_with_different_lists_of_the_same_number_converge() {
    let leader = leader_state(4, VersionedRoster::default());
    observe_list(&leader, Presence::Live);
    let reader = follower(&current(&leader));
    observe_newer_weights(&leader);
    observe_list(&reader, Presence::Leaving);
    let (leader_list, reader_list) = (current(&leader), current(&reader));
    assert_eq!(leader_list.number, reader_list.number);
    assert_ne!(
        leader_list.version(),
        reader_list.version(),
        "versions distinguish lists of the same number"
    );
    // Both exchange lists, as after a network partition, until neither is stale.
    let mut stale_peers = [
        (&leader, leader.observe_roster(reader_list)),
        (&reader, reader.observe_roster(leader_list)),
    ];
    for _ in 0..3 {
        stale_peers = stale_peers.map(|(from, stale_peers)| {
            let to = if std::ptr::eq(from, &leader) { &reader } else { &leader };
            match stale_peers {
                StalePeers::Nobody => (to, stale_peers),
                _ => (to, to.observe_roster(current(from))),
            }
        });
    }
    assert!(
        stale_peers.iter().all(|(_, stale_peers)| *stale_peers == StalePeers::Nobody),
        "the exchange does not converge"
    );
    assert_eq!(current(&leader).version(), current(&reader).version());
    assert!(lists_target_as_leaving(&leader));
}

#[test]
fn a_sender_of_an_earlier_list_is_sent_the_later_one() {
    let leader = leader_state(4, VersionedRoster::default());
    observe_list(&leader, Presence::Live);
    let early = current(&leader);
    let reader = follower(&early);
    observe_list(&reader, Presence::Leaving);
    let now = boot_now();
    assert!(reader.observe_read(early.version(), now).is_lt(), "the leader holds the earlier list");
    assert!(
        leader.observe_read(current(&reader).version(), now).is_gt(),
        "the leader requests the later list"
    );
    assert_eq!(reader.observe_roster(early), StalePeers::Sender);
    assert_eq!(leader.observe_roster(current(&reader)), StalePeers::Nobody);
    assert!(leader.observe_read(current(&reader).version(), now).is_eq());
}

/// Serves as a scheduler that places each prompt on the first engine that the entry does not avoid,
/// leaving or not.
async fn serve_placements_on_first_available(engines: [&str; 2], listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("the entry connects");
    let (read_half, mut write) = stream.split();
    let mut from_entry = BufReader::new(read_half);
    let _: Handshake = read(&mut from_entry).await.expect("a handshake");
    // The connection closes with the test.
    while let Ok(frame) = read(&mut from_entry).await {
        if let SchedulerRequest::Place(number, ask) = frame {
            let engine = engines
                .iter()
                .find(|engine| !ask.avoid.iter().any(|avoided| avoided.id == **engine));
            let target = engine.expect("an engine is left").to_string();
            let placed = Placement { target: start(&target), ..Placement::default() };
            let answer = encode(&SchedulerReply::Placed(number, Ok(placed)));
            write.write_all(&answer).await.expect("the entry reads the reply");
        }
    }
}

#[test]
fn a_prompt_placed_on_a_leaving_target_is_redirected() {
    run_local(async {
        let leaving = StandIn::start(vec![(ok_response("late"), AfterAnswer::KeepOpen)]).await;
        let remaining = StandIn::start(vec![(ok_response("done"), AfterAnswer::KeepOpen)]).await;
        let engines = [("i-1", &leaving), ("i-2", &remaining)];
        let listed = engines.map(|(id, engine)| target(id, "llm", engine.address));
        let entry = start_entry(deployment_with_long_timeouts(), listed.to_vec()).await;
        let ip = loopback(3);
        let listener = TcpListener::bind((ip, entry.gateway.host.peer_port)).await.expect("a port");
        entry.gateway.leader.set(Some(ip));
        tokio::task::spawn_local(scheduler_connection::keep_connected(entry.gateway.clone()));
        tokio::task::spawn_local(serve_placements_on_first_available(["i-1", "i-2"], listener));
        // The entry learns that the engine is leaving before the scheduler does.
        let replica = leader_state(4, VersionedRoster::default());
        let [mut first, second] = listed;
        first.presence = Presence::Leaving;
        replica.change_roster(|known| known.update(vec![first, second]));
        EntrySession::new(&entry.gateway, &replica);
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!((leaving.request_count(), remaining.request_count()), (0, 1), "{}", got.text);
    });
}
