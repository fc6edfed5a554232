//! State that must not go back: weight ages, rosters, leaving targets and the count of entries.
//!
//! Each test guards against one way in which an entry or a replica loses state that it had
//! received.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use kumquatpost::clock::boot_now;
use kumquatpost::control::frames::{
    Handshake, NamedAges, SchedulerReply, SchedulerRequest, Update, VersionedRoster, encode, read,
};
use kumquatpost::control::publisher;
use kumquatpost::control::scheduler_service::SchedulerService;
use kumquatpost::control::shared::Shared;
use kumquatpost::control::state::{Command, ControlState};
use kumquatpost::control::weight_ages::{due_commands, estimated_age};
use kumquatpost::essential_tasks::essential_tasks;
use kumquatpost::fleet::{FleetView, Listed, Presence};
use kumquatpost::gateway::{scheduler_connection, subscription};
use kumquatpost::scheduler::Placement;
use kumquatpost::scheduler::weights::{
    NamedWeights, OldWeightsPolicy, RolloutHistories, observe_named,
};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::fixtures::{address, entry_handshake, ms, roster, start, target};
use crate::gateway::{PROMPT, deployment_with_long_timeouts, event_stream, run_local, start_entry};
use crate::replicas::ReplicaCluster;
use crate::scheduler_service::leader_state;
use crate::stand_in::{AfterAnswer, StandIn};

/// Sends updates to entries as a replica does. Names weights 2 once `are_weights_named` is set.
fn serve_as_replica(replica_address: SocketAddr, are_weights_named: Arc<AtomicBool>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("build the runtime"), async {
        let shared = Rc::new(leader_state(1, VersionedRoster::default()));
        let scheduling =
            Rc::new(SchedulerService::new(shared.clone(), OldWeightsPolicy::default()));
        let listener = TcpListener::bind(replica_address).await.expect("bind the listener");
        let (inputs, _kept) = mpsc::channel(1);
        tokio::task::spawn_local(publisher::accept(listener, scheduling, inputs));
        let mut is_announced = false;
        // Runs until the test ends.
        loop {
            tokio::time::sleep(ms(5)).await;
            if are_weights_named.load(Ordering::SeqCst) && !is_announced {
                is_announced = true;
                let now = boot_now();
                let model = "m".to_string();
                observe_named(&mut shared.named_since.borrow_mut(), &model, 2, now, now);
                shared.view.send_modify(|_| {});
            }
        }
    });
}

/// Ages are relative to the time of sending, and an entry that is frozen reads them late. Guards
/// against ages that stay too low afterwards.
#[test]
fn an_entry_corrects_weight_ages_that_it_received_while_frozen() {
    let freeze = ms(3_000);
    run_local(async {
        let entry = start_entry(deployment_with_long_timeouts(), Vec::new()).await;
        let ip: IpAddr = "127.98.0.1".parse().expect("valid IP address");
        let replica_address = SocketAddr::new(ip, entry.gateway.host.peer_port);
        let are_weights_named = Arc::new(AtomicBool::new(false));
        let flag = are_weights_named.clone();
        std::thread::spawn(move || serve_as_replica(replica_address, flag));
        entry.gateway.replicas.borrow_mut().insert(ip);
        let (tasks, _first_exit) = essential_tasks();
        subscription::start(&entry.gateway, &tasks);
        while entry.gateway.state_age().is_none() {
            tokio::time::sleep(ms(10)).await;
        }
        are_weights_named.store(true, Ordering::SeqCst);
        let named_at = boot_now();
        // Blocks the only thread of the entry.
        std::thread::sleep(freeze);
        // Enough time for the replica to repeat the ages.
        tokio::time::sleep(ms(2_000)).await;
        let named = entry.gateway.rollouts.borrow().clone();
        let since = named["m"].missed_since(Some(1)).expect("weights 2 are named");
        let delay = since.saturating_sub(named_at);
        assert!(delay < ms(1_000), "the recorded naming is {delay:?} too late");
    });
}

/// Places each prompt of one entry on an engine with weights 1.
async fn place_on_weights_1(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("accept the entry");
    let (read_half, mut write) = stream.split();
    let mut requests = BufReader::new(read_half);
    let _: Handshake = read(&mut requests).await.expect("read the handshake");
    // Runs until the test ends.
    while let Ok(frame) = read(&mut requests).await {
        if let SchedulerRequest::Place(number, _) = frame {
            let placed =
                Placement { target: start("i-1"), weight_version: Some(1), ..Placement::default() };
            let answer = encode(&SchedulerReply::Placed(number, Ok(placed)));
            write.write_all(&answer).await.expect("write to the entry");
        }
    }
}

/// Seconds may pass between a placement and the request to the engine. Guards against an entry that
/// does not check the weights again.
#[test]
fn a_prompt_placed_on_old_weights_is_not_sent_after_their_deadline() {
    run_local(async {
        let events = event_stream(&["id: 1\ndata: a\n\n"], true);
        let engine = StandIn::start(vec![(events, AfterAnswer::KeepOpen)]).await;
        let entry = start_entry(
            deployment_with_long_timeouts(),
            vec![target("i-1", "llm", engine.address)],
        )
        .await;
        let ip = "127.98.0.2".parse().expect("valid IP address");
        let listener =
            TcpListener::bind((ip, entry.gateway.host.peer_port)).await.expect("bind the listener");
        entry.gateway.leader.set(Some(ip));
        tokio::task::spawn_local(scheduler_connection::keep_connected(entry.gateway.clone()));
        tokio::task::spawn_local(place_on_weights_1(listener));
        tokio::time::sleep(ms(500)).await;
        // Past the hard deadline for old weights.
        let weights = NamedWeights { version: 2, age: ms(11_930) };
        let named = [("m".to_string(), vec![weights])].into();
        entry.gateway.observe(Update::Weights(named)).expect("valid update");
        let response = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(
            engine.request_count(),
            0,
            "the prompt was sent to replaced weights: {}",
            response.text
        );
    });
}

fn targets_with_weights(weights: u64) -> Vec<Listed> {
    let mut engine = target("i-3", "llm", address(3));
    engine.weights.insert("m".to_string(), weights);
    vec![target("i-1", "app", address(1)), engine]
}

fn known_weights(shared: &Shared) -> u64 {
    shared.roster.borrow().roster.get(&start("i-3")).expect("listed").weights["m"]
}

/// Guards against a later roster of another replica that has not seen the newer weights.
#[test]
fn a_later_roster_does_not_revert_reported_weights() {
    let leader = leader_state(4, VersionedRoster::default());
    leader.change_roster(|known| known.update(targets_with_weights(1)));
    let reader = leader_state(4, leader.roster.borrow().clone());
    reader.view.send_modify(|view| view.leads = false);
    // The engine has loaded weights 2, which the platform's list does not show yet.
    let weights = [("m".to_string(), 2)].into();
    leader.change_roster(|known| known.set_weights(&start("i-3"), &weights));
    // Meanwhile another replica reads two changes, so its roster has a higher number.
    reader.change_roster(|known| known.update(targets_with_weights(1)[1..].to_vec()));
    reader.change_roster(|known| known.update(targets_with_weights(1)));
    let read = reader.roster.borrow().clone();
    leader.observe_roster(read);
    assert_eq!(known_weights(&leader), 2, "a later roster reverted the weights");
}

/// An engine that reports older weights than recorded lowers the record. Guards against a merge
/// that always keeps the newest weights.
#[test]
fn an_older_roster_does_not_revert_a_weight_downgrade() {
    let leader = leader_state(4, VersionedRoster::default());
    leader.change_roster(|known| known.update(targets_with_weights(2)));
    let other = leader_state(4, leader.roster.borrow().clone());
    let found = [("m".to_string(), 1)].into();
    leader.change_roster(|known| known.set_weights(&start("i-3"), &found));
    let (later, earlier) = (leader.roster.borrow().clone(), other.roster.borrow().clone());
    other.observe_roster(later);
    leader.observe_roster(earlier);
    assert_eq!((known_weights(&leader), known_weights(&other)), (1, 1));
}

/// Each new leader adds the largest unrecorded age to its estimate. Guards against these additions
/// accumulating in the log.
#[test]
fn recorded_weight_ages_never_exceed_the_time_since_naming() {
    let (model, bound, named_at) = ("m".to_string(), ms(8_400), ms(10_000));
    let mut state = ControlState::default();
    state.apply(Command::NameWeights { model: model.clone(), version: 2 });
    let mut now = named_at + ms(1_000);
    // A new leader every 1.2 s.
    for _ in 0..3 {
        // A restarted replica estimates the age and becomes the leader.
        let age = estimated_age(&state, &model, 2, None, now);
        let mut named = RolloutHistories::new();
        observe_named(&mut named, &model, 2, now.saturating_sub(age), now);
        now += ms(1_200);
        for command in due_commands(&named, &state.weight_ages, bound, now) {
            state.apply(command);
        }
    }
    let recorded = state.weight_ages["m"][&2];
    let since_naming = now.saturating_sub(named_at);
    assert!(recorded <= since_naming + ms(1_000), "{recorded:?} recorded, {since_naming:?} passed");
}

/// The log holds an age only once a quorum has synced it. Guards against a restarted replica that
/// underestimates ages while disks stall, and allows old weights for too long.
#[test]
fn a_restarted_replica_learns_weight_ages_missing_from_the_log() {
    let model = "m".to_string();
    let mut log = ControlState::default();
    log.apply(Command::NameWeights { model: model.clone(), version: 2 });
    let running = leader_state(1, VersionedRoster::default());
    let named_at = boot_now().saturating_sub(ms(3_500));
    observe_named(&mut running.named_since.borrow_mut(), &model, 2, named_at, boot_now());
    let restarted = leader_state(1, VersionedRoster::default());
    restarted.has_weight_ages.set(false);
    assert!(!restarted.is_current(ms(500)), "weight ages are not known yet");
    let age = estimated_age(&log, &model, 2, None, boot_now());
    let since = boot_now().saturating_sub(age);
    observe_named(&mut restarted.named_since.borrow_mut(), &model, 2, since, boot_now());
    restarted.observe_ages(running.ages());
    restarted.has_weight_ages.set(true);
    assert!(restarted.is_current(ms(500)));
    assert!(restarted.ages()[&model][0].age >= ms(3_500), "{:?}", restarted.ages());
}

/// Guards against losing weight ages when all replicas restart while their disks stall.
#[test]
fn an_entry_reports_weight_ages_to_replicas() {
    let runtime = tokio::runtime::Runtime::new().expect("build the runtime");
    let core = ReplicaCluster::start(3);
    core.publish(1);
    let named = vec![NamedWeights { version: 2, age: ms(60_000) }];
    let named = [("m".to_string(), named)].into();
    let entry = entry_handshake("entry", Ipv4Addr::LOCALHOST.into(), named);
    core.eventually("a replica sends the age that the entry reported", |core| {
        let exchange = async {
            let mut stream = TcpStream::connect(core.peer_address(0)).await?;
            stream.write_all(&encode(&entry)).await?;
            loop {
                if let Update::Weights(named) = read(&mut stream).await? {
                    return Ok::<_, std::io::Error>(named);
                }
            }
        };
        let received = runtime.block_on(async { tokio::time::timeout(ms(2_000), exchange).await });
        let received = received.ok().and_then(Result::ok);
        received
            .is_some_and(|named| named["m"].last().is_some_and(|weights| weights.age >= ms(60_000)))
    });
}

/// Guards against new work for a target that was reported as leaving while the entry's roster
/// lacked it, and that the next roster lists as live.
#[test]
fn an_entry_remembers_a_leaving_target_that_its_roster_lacks() {
    run_local(async {
        let entry = start_entry(deployment_with_long_timeouts(), Vec::new()).await;
        let app = |presence| Listed { presence, ..target("i-1", "app", address(1)) };
        let other = target("i-2", "app", address(2));
        entry.observe_targets(10, vec![other.clone()]);
        entry.observe_targets(9, vec![app(Presence::Leaving), other.clone()]);
        entry.observe_targets(11, vec![app(Presence::Live), other]);
        let fleet = entry.gateway.fleet.borrow();
        assert!(!fleet.takes_work(&start("i-1")), "the target was reported as leaving");
    });
}

/// Late rosters may list a target again for a while. Guards against a record of leaving targets
/// that grows without bound.
#[test]
fn an_entry_forgets_a_leaving_target_after_many_rosters_without_it() {
    let mut fleet = FleetView::default();
    fleet.mark_leaving([start("i-1")].iter());
    let without = roster([target("i-2", "app", address(2))]);
    let with = roster([target("i-1", "app", address(1)), target("i-2", "app", address(2))]);
    for _ in 0..30 {
        fleet.update(&without);
    }
    fleet.update(&with);
    assert!(!fleet.takes_work(&start("i-1")), "forgotten too early");
    for _ in 0..50 {
        fleet.update(&without);
    }
    fleet.update(&with);
    assert!(fleet.takes_work(&start("i-1")), "never forgotten");
}

/// Connects as an entry and returns the first count of entries that the replica sends. A replica
/// sends none until its count is complete.
async fn read_entry_count(replica: SocketAddr, name: &str) -> std::io::Result<(u32, TcpStream)> {
    let mut stream = TcpStream::connect(replica).await?;
    let entry = entry_handshake(name, Ipv4Addr::LOCALHOST.into(), NamedAges::new());
    stream.write_all(&encode(&entry)).await?;
    loop {
        if let Update::Heartbeat { entries: Some(entries), .. } = read(&mut stream).await? {
            return Ok((entries, stream));
        }
    }
}

/// Entries share a retry budget, divided by their count. Guards against a restarted replica that
/// sends a count before it has heard of all entries.
#[test]
fn a_restarted_replica_does_not_undercount_entries() {
    const ENTRIES: usize = 8;
    let runtime = tokio::runtime::Runtime::new().expect("build the runtime");
    let mut core = ReplicaCluster::start(3);
    core.publish(1);
    let mut connections = Vec::new();
    for n in 0..ENTRIES {
        let name = format!("entry-{n}");
        core.eventually("an entry receives a count", |core| {
            let exchange = read_entry_count(core.peer_address(n % 2), &name);
            let result =
                runtime.block_on(async { tokio::time::timeout(ms(5_000), exchange).await });
            result.ok().and_then(Result::ok).map(|(_, stream)| connections.push(stream)).is_some()
        });
    }
    // Replicas exchange their counts.
    std::thread::sleep(Duration::from_millis(1_500));
    core.kill(2);
    core.start_replica(2, false);
    let mut received = None;
    core.eventually("the restarted replica sends a count", |core| {
        let exchange = read_entry_count(core.peer_address(2), "entry-8");
        let result = runtime.block_on(async { tokio::time::timeout(ms(5_000), exchange).await });
        received = result.ok().and_then(Result::ok).map(|(entries, _)| entries);
        received.is_some()
    });
    let received = received.expect("a count was received") as usize;
    assert!(
        received >= ENTRIES,
        "{} entries share the retries, but the replica counts {received}",
        ENTRIES + 1
    );
}
