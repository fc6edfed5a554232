//! What must only ever advance, where it is told once, kept in one process, or taken over whole.
//!
//! Found by reading, not seen on a day: each test shows one way by which an entry or a replica falls
//! back behind what was known before.

use std::net::{IpAddr, SocketAddr};
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

use crate::asking::shared;
use crate::fixtures::{address, ms, roster, start, target};
use crate::gateway::{PROMPT, entry, events, run, unhurried};
use crate::replicas::Core;
use crate::stand_in::{AfterAnswer, StandIn};

/// Tells entries as a replica does, on a thread of its own. Weights are named once `is_named` is set.
fn tell_as_a_replica(at: SocketAddr, is_named: Arc<AtomicBool>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let shared = Rc::new(shared(1, VersionedRoster::default()));
        let scheduling =
            Rc::new(SchedulerService::new(shared.clone(), OldWeightsPolicy::default()));
        let listener = TcpListener::bind(at).await.expect("a port");
        let (inputs, _kept) = mpsc::channel(1);
        tokio::task::spawn_local(publisher::accept(listener, scheduling, inputs));
        let mut is_told = false;
        // It ends with the test.
        loop {
            tokio::time::sleep(ms(5)).await;
            if is_named.load(Ordering::SeqCst) && !is_told {
                is_told = true;
                let now = boot_now();
                let model = "m".to_string();
                observe_named(&mut shared.named_since.borrow_mut(), &model, 2, now, now);
                shared.view.send_modify(|_| {});
            }
        }
    });
}

/// Ages are told relative to the moment of sending, once. What lies in a socket meanwhile, while the
/// entry's host is frozen or starved, is younger for good.
#[test]
fn an_entry_that_was_frozen_when_weights_were_named_knows_how_long_ago_that_was() {
    let frozen = ms(3_000);
    run(async {
        let entry = entry(unhurried(), Vec::new()).await;
        let ip: IpAddr = "127.98.0.1".parse().expect("an address");
        let at = SocketAddr::new(ip, entry.gateway.host.peer_port);
        let is_named = Arc::new(AtomicBool::new(false));
        let flag = is_named.clone();
        std::thread::spawn(move || tell_as_a_replica(at, flag));
        entry.gateway.replicas.borrow_mut().insert(ip);
        let (tasks, _first_exit) = essential_tasks();
        subscription::start(&entry.gateway, &tasks);
        while entry.gateway.state_age().is_none() {
            tokio::time::sleep(ms(10)).await;
        }
        is_named.store(true, Ordering::SeqCst);
        let named_at = boot_now();
        // All of the entry's process stands still.
        std::thread::sleep(frozen);
        // In touch again, and told four times a second that what it knows is current.
        tokio::time::sleep(ms(2_000)).await;
        let named = entry.gateway.rollouts.borrow().clone();
        let since = named["m"].missed_since(Some(1)).expect("it was told");
        let late = since.saturating_sub(named_at);
        assert!(late < ms(1_000), "it believes that they were named {late:?} later than they were");
    });
}

/// A scheduler that places each prompt on an engine with weights 1.
async fn place_on_weights_1(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("the entry connects");
    let (read_half, mut write) = stream.split();
    let mut from_entry = BufReader::new(read_half);
    let _: Handshake = read(&mut from_entry).await.expect("who it is");
    // It ends with the test.
    while let Ok(frame) = read(&mut from_entry).await {
        if let SchedulerRequest::Place(number, _) = frame {
            let placed =
                Placement { target: start("i-1"), weight_version: Some(1), ..Placement::default() };
            let answer = encode(&SchedulerReply::Placed(number, Ok(placed)));
            write.write_all(&answer).await.expect("the entry reads");
        }
    }
}

/// The scheduler judges weights when it places. Its word may lie at an entry that is starved, or wait
/// for a connection to the engine for seconds; the entry looks again at who leaves, not at weights.
#[test]
fn a_prompt_that_was_placed_on_old_weights_is_not_sent_once_these_must_be_replaced() {
    run(async {
        let events = events(&["id: 1\ndata: a\n\n"], true);
        let old = StandIn::start(vec![(events, AfterAnswer::KeepOpen)]).await;
        let entry = entry(unhurried(), vec![target("i-1", "llm", old.address)]).await;
        let ip = "127.98.0.2".parse().expect("an address");
        let listener = TcpListener::bind((ip, entry.gateway.host.peer_port)).await.expect("a port");
        entry.gateway.leader.set(Some(ip));
        tokio::task::spawn_local(scheduler_connection::keep_connected(entry.gateway.clone()));
        tokio::task::spawn_local(place_on_weights_1(listener));
        tokio::time::sleep(ms(500)).await;
        // Beyond the bound that holds whoever led since.
        let weights = NamedWeights { version: 2, age: ms(11_930) };
        let named = [("m".to_string(), vec![weights])].into();
        entry.gateway.observe(Update::Weights(named)).expect("it is whole");
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert_eq!(old.request_count(), 0, "it began on replaced weights: {}", got.text);
    });
}

fn listed(weights: u64) -> Vec<Listed> {
    let mut engine = target("i-3", "llm", address(3));
    engine.weights.insert("m".to_string(), weights);
    vec![target("i-1", "app", address(1)), engine]
}

fn weights_known(shared: &Shared) -> u64 {
    shared.roster.borrow().roster.get(&start("i-3")).expect("it is listed").weights["m"]
}

/// Who leaves is joined; what was found out about weights is not, though one start of a target never
/// gets older ones.
#[test]
fn no_list_takes_back_the_weights_that_a_replica_has_found() {
    let leader = shared(4, VersionedRoster::default());
    leader.change_roster(|known| known.update(listed(1)));
    let reader = shared(4, leader.roster.borrow().clone());
    reader.view.send_modify(|view| view.leads = false);
    // An order was carried out, which the platform's list does not show yet.
    let weights = [("m".to_string(), 2)].into();
    leader.change_roster(|known| known.set_weights(&start("i-3"), &weights));
    // Meanwhile another replica has read two changes.
    reader.change_roster(|known| known.update(listed(1)[1..].to_vec()));
    reader.change_roster(|known| known.update(listed(1)));
    let read = reader.roster.borrow().clone();
    leader.observe_roster(read);
    assert_eq!(weights_known(&leader), 2, "a later list brought older weights back");
}

/// The engine's own word goes before what was believed of it, also where the belief was too high.
#[test]
fn an_older_list_does_not_bring_back_a_belief_that_an_engine_has_refuted() {
    let leader = shared(4, VersionedRoster::default());
    leader.change_roster(|known| known.update(listed(2)));
    let other = shared(4, leader.roster.borrow().clone());
    let found = [("m".to_string(), 1)].into();
    leader.change_roster(|known| known.set_weights(&start("i-3"), &found));
    let (later, earlier) = (leader.roster.borrow().clone(), other.roster.borrow().clone());
    other.observe_roster(later);
    leader.observe_roster(earlier);
    assert_eq!((weights_known(&leader), weights_known(&other)), (1, 1));
}

/// Each replica in turn starts, adds what may have passed unrecorded, leads, and records that as
/// passed: the log holds an age that the naming does not have.
#[test]
fn recorded_ages_never_exceed_the_time_since_the_naming() {
    let (model, bound, named_at) = ("m".to_string(), ms(8_400), ms(10_000));
    let mut state = ControlState::default();
    state.apply(Command::NameWeights { model: model.clone(), version: 2 });
    let mut now = named_at + ms(1_000);
    // The leader is lost each 1.2 s.
    for _ in 0..3 {
        // A replica that has just started hears it, and leads.
        let age = estimated_age(&state, &model, 2, None, now);
        let mut named = RolloutHistories::new();
        observe_named(&mut named, &model, 2, now.saturating_sub(age), now);
        now += ms(1_200);
        for command in due_commands(&named, &state.weight_ages, bound, now) {
            state.apply(command);
        }
    }
    let recorded = state.weight_ages["m"][&2];
    let passed = now.saturating_sub(named_at);
    assert!(recorded <= passed + ms(1_000), "{recorded:?} recorded, {passed:?} passed");
}

/// What was seen: a replica that had started again took weights for 2.75 s old that had been named 3.5 s
/// before, and allowed older ones for that much longer.
/// What caused it: the log holds an age only once a quorum has synced it, and the disks stood still.
#[test]
fn a_replica_that_starts_again_hears_ages_that_are_not_in_the_log() {
    let model = "m".to_string();
    let mut log = ControlState::default();
    log.apply(Command::NameWeights { model: model.clone(), version: 2 });
    let runs_on = shared(1, VersionedRoster::default());
    let named_at = boot_now().saturating_sub(ms(3_500));
    observe_named(&mut runs_on.named_since.borrow_mut(), &model, 2, named_at, boot_now());
    let started = shared(1, VersionedRoster::default());
    started.has_weight_ages.set(false);
    assert!(!started.is_current(ms(500)), "it may take old namings for new");
    let age = estimated_age(&log, &model, 2, None, boot_now());
    let since = boot_now().saturating_sub(age);
    observe_named(&mut started.named_since.borrow_mut(), &model, 2, since, boot_now());
    started.observe_ages(runs_on.ages());
    started.has_weight_ages.set(true);
    assert!(started.is_current(ms(500)));
    assert!(started.ages()[&model][0].age >= ms(3_500), "{:?}", started.ages());
}

/// All replicas were restarted while their disks stood still; entries went on.
#[test]
fn an_entry_tells_replicas_how_long_ago_weights_were_named() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let core = Core::start(3);
    core.publish(1);
    let named = vec![NamedWeights { version: 2, age: ms(60_000) }];
    let entry = Handshake::Entry {
        name: "entry".into(),
        failure_domain: "hall".into(),
        deployment: 0,
        named: [("m".to_string(), named)].into(),
    };
    core.eventually("it tells what it was told", |core| {
        let telling = async {
            let mut stream = TcpStream::connect(core.peer_address(0)).await?;
            stream.write_all(&encode(&entry)).await?;
            loop {
                if let Update::Weights(named) = read(&mut stream).await? {
                    return Ok::<_, std::io::Error>(named);
                }
            }
        };
        let told = runtime.block_on(async { tokio::time::timeout(ms(2_000), telling).await });
        let told = told.ok().and_then(Result::ok);
        told.is_some_and(|named| named["m"].last().is_some_and(|weights| weights.age >= ms(60_000)))
    });
}

/// An entry hears from one replica that a target leaves which its own list does not hold yet, or no
/// longer; the list that it takes next lags.
#[test]
fn an_entry_keeps_in_mind_who_leaves_before_it_lists_that_target() {
    run(async {
        let entry = entry(unhurried(), Vec::new()).await;
        let app = |presence| Listed { presence, ..target("i-1", "app", address(1)) };
        let other = target("i-2", "app", address(2));
        entry.hears_list(10, vec![other.clone()]);
        entry.hears_list(9, vec![app(Presence::Leaving), other.clone()]);
        entry.hears_list(11, vec![app(Presence::Live), other]);
        let fleet = entry.gateway.fleet.borrow();
        assert!(!fleet.takes_work(&start("i-1")), "it was told that the target leaves");
    });
}

/// As a list of targets itself does, for as long as late lists may show a target again.
#[test]
fn an_entry_forgets_who_has_left_once_many_lists_have_not_shown_it() {
    let mut fleet = FleetView::default();
    fleet.mark_leaving([start("i-1")].iter());
    let without = roster([target("i-2", "app", address(2))]);
    let with = roster([target("i-1", "app", address(1)), target("i-2", "app", address(2))]);
    for _ in 0..30 {
        fleet.update(&without);
    }
    fleet.update(&with);
    assert!(!fleet.takes_work(&start("i-1")), "it is kept in mind");
    for _ in 0..50 {
        fleet.update(&without);
    }
    fleet.update(&with);
    assert!(fleet.takes_work(&start("i-1")), "what is kept in mind is bounded");
}

/// How many entries share the retries, as a replica tells an entry first. Until it can know, it tells none.
async fn sharing(replica: SocketAddr, name: &str) -> std::io::Result<(u32, TcpStream)> {
    let mut stream = TcpStream::connect(replica).await?;
    let entry = Handshake::Entry {
        name: name.into(),
        failure_domain: "hall".into(),
        deployment: 0,
        named: NamedAges::new(),
    };
    stream.write_all(&encode(&entry)).await?;
    loop {
        if let Update::Heartbeat { entries: Some(entries), .. } = read(&mut stream).await? {
            return Ok((entries, stream));
        }
    }
}

/// Entries divide what they may retry by a count that each replica keeps in memory and that begins at
/// none.
#[test]
fn a_replica_that_has_just_started_does_not_tell_an_entry_that_it_is_the_only_one() {
    const ENTRIES: usize = 8;
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut core = Core::start(3);
    core.publish(1);
    let mut kept = Vec::new();
    for n in 0..ENTRIES {
        let name = format!("entry-{n}");
        core.eventually("an entry is told", |core| {
            let telling = sharing(core.peer_address(n % 2), &name);
            let heard = runtime.block_on(async { tokio::time::timeout(ms(5_000), telling).await });
            heard.ok().and_then(Result::ok).map(|(_, stream)| kept.push(stream)).is_some()
        });
    }
    // All replicas have told each other.
    std::thread::sleep(Duration::from_millis(1_500));
    core.kill(2);
    core.run(2, false);
    let mut told = None;
    core.eventually("the replica tells an entry", |core| {
        let telling = sharing(core.peer_address(2), "entry-8");
        let heard = runtime.block_on(async { tokio::time::timeout(ms(5_000), telling).await });
        told = heard.ok().and_then(Result::ok).map(|(entries, _)| entries);
        told.is_some()
    });
    let told = told.expect("it was told") as usize;
    assert!(told >= ENTRIES, "{} entries share the retries, and it tells of {told}", ENTRIES + 1);
}
