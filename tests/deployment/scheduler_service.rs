//! The scheduler service as seen by entries, over loopback, and its leadership.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use kumquatpost::clock::boot_now;
use kumquatpost::control::entry_directory::{EntryProcess, EntryStart};
use kumquatpost::control::frames::{
    Handshake, RosterVersion, SchedulerError, SchedulerReply, SchedulerRequest, VersionedRoster,
    encode, read,
};
use kumquatpost::control::links::Links;
use kumquatpost::control::reader_election::ReaderElection;
use kumquatpost::control::scheduler_service::SchedulerService;
use kumquatpost::control::shared::{ReplicaView, Shared};
use kumquatpost::control::state::{ControlState, Published};
use kumquatpost::control::stream_directory::StreamDirectory;
use kumquatpost::fleet::budget::RetryLimit;
use kumquatpost::gateway::metadata::Part;
use kumquatpost::gateway::scheduler_connection;
use kumquatpost::log::Term;
use kumquatpost::scheduler::weights::OldWeightsPolicy;
use kumquatpost::scheduler::{EndReason, Placement, PlacementEvent, PlacementRequest};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::fixtures::{address, deployment, ms, roster, start, target};
use crate::gateway::ok_response;
use crate::stand_in::{AfterAnswer, StandIn};

/// The scheduler service of a leader with one engine.
fn leading_scheduler() -> Rc<SchedulerService> {
    let roster = Arc::new(roster([target("i-1", "llm", address(1))]));
    let shared = leader_state(1, VersionedRoster::new(1, roster));
    Rc::new(SchedulerService::new(Rc::new(shared), OldWeightsPolicy::default()))
}

/// The shared state of a replica that is the confirmed leader in `term` and has a roster.
pub fn leader_state(term: Term, roster: VersionedRoster) -> Shared {
    let deployment = Arc::new(deployment(1));
    let published = Some(Published { text: Arc::default(), deployment });
    let state = ControlState { published, ..ControlState::bootstrap(BTreeMap::new()) };
    let view = ReplicaView { state, term, leads: true, leader: None };
    let ip = "127.0.0.1".parse().expect("valid IP address");
    Shared {
        node: 1,
        view: watch::Sender::new(view),
        roster: watch::Sender::new(roster),
        earlier_rosters: RefCell::default(),
        roster_pieces: RefCell::new((RosterVersion::default(), Rc::from([]))),
        domains: watch::Sender::new([(ip, "hall".into())].into()),
        roster_update: RefCell::new((
            RosterVersion::default(),
            RosterVersion::default(),
            Arc::from([]),
        )),
        deployment_update: RefCell::new((0, Arc::from([]))),
        reader_election: Cell::new(ReaderElection::new(boot_now())),
        // Leadership stays confirmed for longer than a test runs.
        caught_up_at: Cell::new(Some(boot_now() + ms(600_000))),
        unserved_term: Cell::new(0),
        connected_entries: RefCell::default(),
        entry_directory: RefCell::default(),
        entry_count: Cell::new(None),
        changing: RefCell::default(),
        named_since: RefCell::default(),
        has_weight_ages: Cell::new(true),
        evacuated: RefCell::default(),
        quarantine: watch::Sender::default(),
        hold_news: watch::Sender::default(),
        news: watch::Sender::default(),
        stream_directory: StreamDirectory::new(false, ms(0)),
        links: Rc::new(Links::new(1, ip, "hall".into(), 1)),
        seeds: RefCell::default(),
    }
}

/// Guards against dropping store inventories that arrive before leadership is confirmed. They are
/// read again only after 10 s, and the parts in the stores are recomputed meanwhile.
#[test]
fn inventories_read_before_leadership_is_confirmed_are_kept() {
    run(async |scheduling| {
        scheduling.shared.caught_up_at.set(None);
        while !scheduling.is_active(1) {
            tokio::time::sleep(ms(5)).await;
        }
        let inventory_read = async {
            let is_leader = scheduling.wait_for_leadership(1).await;
            is_leader && scheduling.with_scheduler(|_| {}).is_some()
        };
        let confirmation = async {
            tokio::time::sleep(ms(20)).await;
            assert!(scheduling.with_scheduler(|_| {}).is_none(), "leadership is not confirmed yet");
            scheduling.shared.caught_up_at.set(Some(boot_now() + ms(600_000)));
        };
        let (is_kept, ()) = tokio::join!(inventory_read, confirmation);
        assert!(is_kept, "the inventory would be dropped");
    });
}

/// Guards against a read that waits for a term in which the replica does not schedule.
#[test]
fn a_replica_does_not_wait_for_leadership_in_another_term() {
    run(async |scheduling| {
        scheduling.shared.caught_up_at.set(None);
        assert!(
            !scheduling.wait_for_leadership(2).await,
            "the replica does not schedule in that term"
        );
    });
}

/// The end of a connection to the scheduler service that an entry holds.
struct EntryClient {
    stream: BufReader<TcpStream>,
}

impl EntryClient {
    /// Connects as another entry each time.
    async fn connect(scheduling: &Rc<SchedulerService>) -> EntryClient {
        let number = rand::random();
        EntryClient::connect_as(&format!("entry-{number}"), number, scheduling).await
    }

    async fn connect_as(
        name: &str,
        start: EntryStart,
        scheduling: &Rc<SchedulerService>,
    ) -> EntryClient {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind the listener");
        let to = listener.local_addr().expect("local address");
        let (connected, accepted) = tokio::join!(TcpStream::connect(to), listener.accept());
        let (read, write) = accepted.expect("accept the client").0.into_split();
        let (scheduling, name) = (scheduling.clone(), name.to_string());
        let process = EntryProcess { ip: to.ip(), start };
        tokio::task::spawn_local(async move {
            let result = scheduling.serve(&name, process, BufReader::new(read), write).await;
            assert!(result.is_err(), "serving ends only with the connection");
        });
        EntryClient { stream: BufReader::new(connected.expect("connect to the listener")) }
    }

    async fn send(&mut self, frame: SchedulerRequest) {
        self.stream.write_all(&encode(&frame)).await.expect("write to the scheduler");
    }

    async fn receive(&mut self) -> SchedulerReply {
        read(&mut self.stream).await.expect("read a frame")
    }

    /// Sends one placement request and waits for the placement, also in the queue.
    async fn place_from_queue(&mut self) -> Placement {
        self.send(SchedulerRequest::Place(1, Box::new(long_prompt()))).await;
        loop {
            match self.receive().await {
                SchedulerReply::Queued(1) => {}
                SchedulerReply::Placed(1, Ok(placed)) => return placed,
                other => panic!("{other:?}"),
            }
        }
    }

    /// Repeats a placement request until the scheduler is active. The scheduler first waits for the
    /// cache contents of engines.
    async fn place_when_active(&mut self) -> Placement {
        loop {
            self.send(SchedulerRequest::Place(1, Box::new(long_prompt()))).await;
            let mut answer = self.receive().await;
            if answer == SchedulerReply::Queued(1) {
                answer = self.receive().await;
            }
            match answer {
                SchedulerReply::Placed(1, Ok(placed)) => return placed,
                SchedulerReply::Placed(
                    1,
                    Err(SchedulerError::NotScheduling | SchedulerError::Placement(_)),
                ) => {
                    tokio::time::sleep(ms(5)).await;
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

/// Guards against entries that get no retry from the leader in the first seconds of a system, and against
/// new leaders that grant what earlier ones may have granted.
#[test]
fn a_new_leader_grants_retries_only_if_its_term_began_before_any_deployment() {
    for (unserved_term, is_granted) in [(1, true), (0, false)] {
        let shared = leader_state(1, VersionedRoster::default());
        shared.unserved_term.set(unserved_term);
        let scheduling = SchedulerService::new(Rc::new(shared), OldWeightsPolicy::default());
        let limit = RetryLimit { ratio: 0.2, slack: 56.0, window: ms(10_000) };
        run_service(Rc::new(scheduling.with_retry_limit(limit)), async |scheduling| {
            while !scheduling.is_active(1) {
                tokio::time::sleep(ms(5)).await;
            }
            let mut entry = EntryClient::connect(&scheduling).await;
            entry.send(SchedulerRequest::Retry(7, "llm".to_string())).await;
            assert_eq!(entry.receive().await, SchedulerReply::Retry(7, is_granted));
            scheduling.shared.caught_up_at.set(None);
            entry.send(SchedulerRequest::Retry(8, "llm".to_string())).await;
            assert_eq!(entry.receive().await, SchedulerReply::Retry(8, false), "unconfirmed");
        });
    }
}

/// A prompt that keeps an engine busy, so that the next one is queued.
fn long_prompt() -> PlacementRequest {
    let part = |id: &str, tokens| Part { id: id.to_string(), tokens };
    PlacementRequest {
        service: "llm".to_string(),
        model: "m".to_string(),
        cache_namespace: "all".to_string(),
        parts: vec![part("context", 40_000), part("own", 10_000)],
        prompt_tokens: 50_000,
        output_tokens: 10,
        objective: ms(60_000),
        time_left: ms(60_000),
        ..PlacementRequest::default()
    }
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<SchedulerService>) -> F) {
    run_service(leading_scheduler(), test);
}

fn run_service<F: Future<Output = ()>>(
    scheduling: Rc<SchedulerService>,
    test: impl FnOnce(Rc<SchedulerService>) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("build the runtime"), async {
        tokio::task::spawn_local(scheduling.clone().run());
        tokio::task::spawn_local(scheduling.clone().keep_dispatching());
        test(scheduling).await;
    });
}

#[test]
fn placements_end_with_the_connection_of_their_entry() {
    run(|scheduling| async move {
        let mut killed = EntryClient::connect(&scheduling).await;
        killed.place_when_active().await;
        let mut other = EntryClient::connect(&scheduling).await;
        other.send(SchedulerRequest::Place(7, Box::new(long_prompt()))).await;
        assert_eq!(other.receive().await, SchedulerReply::Queued(7), "the engine is busy");
        drop(killed);
        // Well before 20 s, after which the scheduler drops the placements anyway.
        let reply = tokio::time::timeout(ms(15_000), other.receive()).await;
        let SchedulerReply::Placed(7, Ok(placed)) = reply.expect("a reply within the timeout")
        else {
            panic!("the prompt was not placed")
        };
        assert_eq!(placed.trace.running, 0);
    });
}

/// Guards against engines that get no work for 20 s after entries have lost power and are back: nothing closes the
/// connection of the process before, whose placements seem to run on.
#[test]
fn placements_of_an_entry_end_once_another_process_of_it_is_connected() {
    run(|scheduling| async move {
        let mut lost = EntryClient::connect_as("entry-0", 1, &scheduling).await;
        lost.place_when_active().await;
        let mut restarted = EntryClient::connect_as("entry-0", 2, &scheduling).await;
        let placed = tokio::time::timeout(ms(15_000), restarted.place_from_queue());
        assert_eq!(placed.await.expect("a placement within the timeout").trace.running, 0);
        drop(lost);
    });
}

/// Guards against placements that are forgotten although their entry, which has connected again, runs them.
#[test]
fn placements_of_an_entry_that_connects_again_stay() {
    run(|scheduling| async move {
        let mut first = EntryClient::connect_as("entry-0", 1, &scheduling).await;
        let placed = first.place_when_active().await;
        let mut again = EntryClient::connect_as("entry-0", 1, &scheduling).await;
        again.send(SchedulerRequest::Place(1, Box::new(long_prompt()))).await;
        assert_eq!(again.receive().await, SchedulerReply::Queued(1));
        tokio::time::sleep(ms(100)).await;
        let running = scheduling.with_scheduler(|scheduler| scheduler.placed_on(&placed.target));
        assert_eq!((running, scheduling.waiting_count()), (Some(1), 1));
        let ended = PlacementEvent::Ended { ticket: placed.ticket, end: EndReason::Completed };
        again.send(SchedulerRequest::Event(ended)).await;
        assert!(matches!(again.receive().await, SchedulerReply::Placed(1, Ok(_))));
    });
}

/// Guards against placements that stay active when an entry is killed before it reports a first
/// token.
#[test]
fn placements_from_the_queue_end_with_the_connection_of_their_entry() {
    run(|scheduling| async move {
        let mut first = EntryClient::connect(&scheduling).await;
        first.place_when_active().await;
        let mut killed = EntryClient::connect(&scheduling).await;
        killed.send(SchedulerRequest::Place(1, Box::new(long_prompt()))).await;
        assert_eq!(killed.receive().await, SchedulerReply::Queued(1));
        drop(first);
        assert!(matches!(killed.receive().await, SchedulerReply::Placed(1, Ok(_))));
        drop(killed);
        let mut last = EntryClient::connect(&scheduling).await;
        let placed = tokio::time::timeout(ms(15_000), last.place_from_queue());
        assert_eq!(placed.await.expect("a placement within the timeout").trace.running, 0);
    });
}

#[test]
fn a_withdrawn_prompt_is_not_placed() {
    run(|scheduling| async move {
        let mut first = EntryClient::connect(&scheduling).await;
        first.place_when_active().await;
        let mut client = EntryClient::connect(&scheduling).await;
        client.send(SchedulerRequest::Place(1, Box::new(long_prompt()))).await;
        assert_eq!(client.receive().await, SchedulerReply::Queued(1));
        client.send(SchedulerRequest::Withdraw(1)).await;
        client.send(SchedulerRequest::Place(2, Box::new(long_prompt()))).await;
        assert_eq!(client.receive().await, SchedulerReply::Queued(2));
        assert_eq!(scheduling.waiting_count(), 1);
        drop(first);
        assert!(matches!(client.receive().await, SchedulerReply::Placed(2, Ok(_))));
    });
}

#[test]
fn a_replica_that_loses_leadership_rejects_queued_prompts() {
    run(|scheduling| async move {
        let mut first = EntryClient::connect(&scheduling).await;
        first.place_when_active().await;
        first.send(SchedulerRequest::Place(2, Box::new(long_prompt()))).await;
        assert_eq!(first.receive().await, SchedulerReply::Queued(2));
        scheduling.shared.view.send_modify(|view| view.leads = false);
        assert_eq!(
            first.receive().await,
            SchedulerReply::Placed(2, Err(SchedulerError::NotScheduling))
        );
    });
}

/// Guards against an entry that places prompts itself, without knowledge of engine caches and
/// stores, while a new leader is not active yet.
#[test]
fn a_prompt_is_retried_until_the_scheduler_is_active() {
    crate::gateway::run_local(async {
        let entry = crate::gateway::start_entry(
            crate::gateway::deployment_with_long_timeouts(),
            Vec::new(),
        )
        .await;
        let ip = "127.98.0.3".parse().expect("valid IP address");
        let listener =
            TcpListener::bind((ip, entry.gateway.host.peer_port)).await.expect("bind the listener");
        entry.gateway.leader.set(Some(ip));
        tokio::task::spawn_local(scheduler_connection::keep_connected(entry.gateway.clone()));
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("accept the entry");
            let mut stream = BufReader::new(stream);
            let _: Handshake = read(&mut stream).await.expect("read the handshake");
            for attempt in 1..=4 {
                let frame = read(&mut stream).await.expect("read the next attempt");
                let SchedulerRequest::Place(number, _) = frame else { panic!("{frame:?}") };
                let answer = match attempt {
                    4 => Ok(Placement { target: start("i-1"), ..Placement::default() }),
                    _ => Err(SchedulerError::NotScheduling),
                };
                let answer = encode(&SchedulerReply::Placed(number, answer));
                stream.write_all(&answer).await.expect("write to the entry");
            }
            std::future::pending::<()>().await;
        });
        let request =
            PlacementRequest { objective: ms(600), time_left: ms(6_000), ..long_prompt() };
        let answer = entry.gateway.scheduler.place(request).await;
        let placed = answer.expect("an answer of the scheduler").expect("a placement");
        assert_eq!(placed.target, start("i-1"));
    });
}

/// Guards against an entry that places a prompt itself once its scheduler changes, since the prompt has waited in the
/// queue for longer than prompts wait for a scheduler, and against a next scheduler that does not know for how long.
#[test]
fn a_prompt_that_waited_in_the_queue_is_sent_to_the_next_scheduler() {
    crate::gateway::run_local(async {
        let entry = crate::gateway::start_entry(
            crate::gateway::deployment_with_long_timeouts(),
            Vec::new(),
        )
        .await;
        let ip = "127.98.0.4".parse().expect("valid IP address");
        let listener =
            TcpListener::bind((ip, entry.gateway.host.peer_port)).await.expect("bind the listener");
        entry.gateway.leader.set(Some(ip));
        tokio::task::spawn_local(scheduler_connection::keep_connected(entry.gateway.clone()));
        let scheduling = tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("accept the entry");
            let mut stream = BufReader::new(stream);
            let _: Handshake = read(&mut stream).await.expect("read the handshake");
            for attempt in 1.. {
                let frame = read(&mut stream).await.expect("read the next attempt");
                let SchedulerRequest::Place(number, request) = frame else { panic!("{frame:?}") };
                if attempt == 1 {
                    let queued = encode(&SchedulerReply::Queued(number));
                    stream.write_all(&queued).await.expect("write to the entry");
                    tokio::time::sleep(ms(700)).await;
                }
                let answer = match attempt {
                    1..=3 => Err(SchedulerError::NotScheduling),
                    _ => Ok(Placement { target: start("i-1"), ..Placement::default() }),
                };
                let answer = encode(&SchedulerReply::Placed(number, answer));
                stream.write_all(&answer).await.expect("write to the entry");
                if attempt == 4 {
                    return (request.elapsed, request.time_left);
                }
            }
            unreachable!("the last attempt returns")
        });
        let request =
            PlacementRequest { objective: ms(600), time_left: ms(6_000), ..long_prompt() };
        let answer = entry.gateway.scheduler.place(request).await;
        let placed = answer.expect("an answer of the scheduler").expect("a placement");
        assert_eq!(placed.target, start("i-1"));
        let (elapsed, time_left) = scheduling.await.expect("the last request");
        assert!(elapsed >= ms(700) && time_left <= ms(5_300), "{elapsed:?} {time_left:?}");
    });
}

/// Guards against prompts that wait during a long outage of the scheduler.
#[test]
fn prompts_do_not_wait_for_a_scheduler_during_a_long_outage() {
    crate::gateway::run_local(async {
        let entry = crate::gateway::start_entry(
            crate::gateway::deployment_with_long_timeouts(),
            Vec::new(),
        )
        .await;
        let request =
            PlacementRequest { objective: ms(600), time_left: ms(6_000), ..long_prompt() };
        let measure_wait = async || {
            let begun = boot_now();
            assert_eq!(entry.gateway.scheduler.place(request.clone()).await, None);
            boot_now() - begun
        };
        assert!(measure_wait().await >= ms(240), "a leader may be elected in this time");
        while boot_now()
            < entry.gateway.scheduler.unavailable_since().expect("the scheduler is unavailable")
                + ms(1_000)
        {
            measure_wait().await;
        }
        assert!(measure_wait().await < ms(200), "unavailable for more than 1 s");
    });
}

/// An engine that is listed with weights 2 rejects a prompt, since it runs weights 1. Guards
/// against an engine that is never ordered to load weights 2.
#[test]
fn a_weight_mismatch_updates_the_weights_in_the_roster() {
    crate::gateway::run_local(async {
        let report = r#"{"Models":[{"Name":"m","Version":1}],"Busy":false,"Seq":0}"#;
        let engine = StandIn::start(vec![(ok_response(report), AfterAnswer::KeepOpen); 20]).await;
        let mut listed = target("i-1", "llm", engine.address);
        listed.weights.insert("m".to_string(), 2);
        let known = VersionedRoster::new(1, Arc::new(roster([listed])));
        let shared = Rc::new(leader_state(1, known));
        let scheduling =
            Rc::new(SchedulerService::new(shared.clone(), OldWeightsPolicy::default()));
        tokio::task::spawn_local(scheduling.clone().run());
        tokio::task::spawn_local(scheduling.clone().keep_dispatching());
        let mut client = EntryClient::connect(&scheduling).await;
        let placed = client.place_when_active().await;
        assert_eq!(placed.weight_version, Some(2));
        let end = EndReason::WeightMismatch(Some(1));
        client
            .send(SchedulerRequest::Event(PlacementEvent::Ended { ticket: placed.ticket, end }))
            .await;
        let mut changes = shared.roster.subscribe();
        let is_listed = |known: &VersionedRoster| {
            known.roster.get(&start("i-1")).is_some_and(|engine| engine.weights["m"] == 1)
        };
        let listed = tokio::time::timeout(ms(15_000), changes.wait_for(is_listed)).await;
        assert!(listed.is_ok(), "the roster still lists weights 2");
    });
}
