//! Entries that ask the scheduler, over loopback.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use kumquatpost::clock::boot_now;
use kumquatpost::control::frames::{
    Handshake, RosterVersion, SchedulerError, SchedulerReply, SchedulerRequest, VersionedRoster,
    encode, read,
};
use kumquatpost::control::links::Links;
use kumquatpost::control::reader_election::ReaderElection;
use kumquatpost::control::scheduler_service::SchedulerService;
use kumquatpost::control::shared::{ReplicaView, Shared};
use kumquatpost::control::state::{ControlState, Published};
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
use crate::gateway::ok;
use crate::stand_in::{AfterAnswer, StandIn};

/// A replica that leads, with one engine.
fn leading() -> Rc<SchedulerService> {
    let roster = Arc::new(roster([target("i-1", "llm", address(1))]));
    let shared = shared(1, VersionedRoster::new(1, roster));
    Rc::new(SchedulerService::new(Rc::new(shared), OldWeightsPolicy::default()))
}

/// What the tasks of a replica share that leads in a term and knows a list of targets.
pub fn shared(term: Term, roster: VersionedRoster) -> Shared {
    let deployment = Arc::new(deployment(1));
    let published = Some(Published { text: Arc::default(), deployment });
    let state = ControlState { published, ..ControlState::bootstrap(BTreeMap::new()) };
    let view = ReplicaView { state, term, leads: true, leader: None };
    let ip = "127.0.0.1".parse().expect("an address");
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
        reader_election: Cell::new(ReaderElection::new(boot_now())),
        // Sure to lead for as long as a test runs.
        caught_up_at: Cell::new(Some(boot_now() + ms(600_000))),
        connected_entries: RefCell::default(),
        entry_count: Cell::new(None),
        changing: RefCell::default(),
        named_since: RefCell::default(),
        has_weight_ages: Cell::new(true),
        quarantine: watch::Sender::default(),
        suspects: watch::Sender::default(),
        links: Rc::new(Links::new(1, ip, "hall".into(), 1)),
        seeds: RefCell::default(),
    }
}

/// What was seen: after an outage of all hosts 18 million tokens were read again that lay in stores.
/// What caused it: stores' inventories came 4 ms after the election, before the new leader was sure to lead, and
/// were dropped; they are read again after 10 s.
#[test]
fn what_a_new_leader_reads_is_kept_until_it_is_sure_to_lead() {
    run(async |scheduling| {
        scheduling.shared.caught_up_at.set(None);
        while !scheduling.is_active(1) {
            tokio::time::sleep(ms(5)).await;
        }
        let reading = async {
            let is_sure = scheduling.wait_for_leadership(1).await;
            is_sure && scheduling.with_scheduler(|_| {}).is_some()
        };
        let elected = async {
            tokio::time::sleep(ms(20)).await;
            assert!(scheduling.with_scheduler(|_| {}).is_none(), "it is not sure yet");
            scheduling.shared.caught_up_at.set(Some(boot_now() + ms(600_000)));
        };
        let (is_told, ()) = tokio::join!(reading, elected);
        assert!(is_told, "what it has read would be lost");
    });
}

/// A replica that leads no more waits for nothing.
#[test]
fn what_a_replica_reads_that_leads_no_more_is_dropped() {
    run(async |scheduling| {
        scheduling.shared.caught_up_at.set(None);
        assert!(!scheduling.wait_for_leadership(2).await, "it does not schedule in that term");
    });
}

struct Asker {
    stream: BufReader<TcpStream>,
}

impl Asker {
    async fn connect(scheduling: &Rc<SchedulerService>) -> Asker {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let to = listener.local_addr().expect("an address");
        let (opened, accepted) = tokio::join!(TcpStream::connect(to), listener.accept());
        let (read, write) = accepted.expect("it connects").0.into_split();
        let scheduling = scheduling.clone();
        tokio::task::spawn_local(async move {
            let ended = scheduling.serve(BufReader::new(read), write).await;
            assert!(ended.is_err(), "it ends with the connection");
        });
        Asker { stream: BufReader::new(opened.expect("it connects")) }
    }

    async fn tell(&mut self, frame: SchedulerRequest) {
        self.stream.write_all(&encode(&frame)).await.expect("it reads");
    }

    async fn hear(&mut self) -> SchedulerReply {
        read(&mut self.stream).await.expect("a frame")
    }

    /// Asks, and waits if it must.
    async fn placed_in_the_end(&mut self) -> Placement {
        self.tell(SchedulerRequest::Place(1, ask())).await;
        loop {
            match self.hear().await {
                SchedulerReply::Queued(1) => {}
                SchedulerReply::Placed(1, Ok(placed)) => return placed,
                other => panic!("{other:?}"),
            }
        }
    }

    /// Asks until the scheduler has begun, which has the first prompt wait for engines' memories.
    async fn placed(&mut self) -> Placement {
        loop {
            self.tell(SchedulerRequest::Place(1, ask())).await;
            let mut answer = self.hear().await;
            if answer == SchedulerReply::Queued(1) {
                answer = self.hear().await;
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

/// A prompt that takes an engine more than a dispatch's horizon to read.
fn ask() -> PlacementRequest {
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let scheduling = leading();
        tokio::task::spawn_local(scheduling.clone().run());
        tokio::task::spawn_local(scheduling.clone().keep_dispatching());
        test(scheduling).await;
    });
}

#[test]
fn what_an_entry_had_placed_ends_with_its_connection() {
    run(|scheduling| async move {
        let mut killed = Asker::connect(&scheduling).await;
        killed.placed().await;
        let mut other = Asker::connect(&scheduling).await;
        other.tell(SchedulerRequest::Place(7, ask())).await;
        assert_eq!(other.hear().await, SchedulerReply::Queued(7), "the engine is busy");
        drop(killed);
        // Without it, the scheduler would forget them only after 20 s.
        let heard = tokio::time::timeout(ms(15_000), other.hear()).await;
        let SchedulerReply::Placed(7, Ok(placed)) = heard.expect("soon") else {
            panic!("not placed")
        };
        assert_eq!(placed.trace.running, 0);
    });
}

/// The entry is killed before it has told of a first part, or even taken what it was granted.
#[test]
fn what_was_granted_from_the_queue_ends_with_the_connection_too() {
    run(|scheduling| async move {
        let mut first = Asker::connect(&scheduling).await;
        first.placed().await;
        let mut killed = Asker::connect(&scheduling).await;
        killed.tell(SchedulerRequest::Place(1, ask())).await;
        assert_eq!(killed.hear().await, SchedulerReply::Queued(1));
        drop(first);
        assert!(matches!(killed.hear().await, SchedulerReply::Placed(1, Ok(_))));
        drop(killed);
        let mut last = Asker::connect(&scheduling).await;
        let placed = tokio::time::timeout(ms(15_000), last.placed_in_the_end());
        assert_eq!(placed.await.expect("soon").trace.running, 0);
    });
}

#[test]
fn a_caller_who_has_left_is_not_placed() {
    run(|scheduling| async move {
        let mut first = Asker::connect(&scheduling).await;
        first.placed().await;
        let mut left = Asker::connect(&scheduling).await;
        left.tell(SchedulerRequest::Place(1, ask())).await;
        assert_eq!(left.hear().await, SchedulerReply::Queued(1));
        left.tell(SchedulerRequest::Withdraw(1)).await;
        left.tell(SchedulerRequest::Place(2, ask())).await;
        assert_eq!(left.hear().await, SchedulerReply::Queued(2));
        assert_eq!(scheduling.waiting_count(), 1);
        drop(first);
        assert!(matches!(left.hear().await, SchedulerReply::Placed(2, Ok(_))));
    });
}

#[test]
fn a_replica_that_no_longer_leads_says_so_to_those_who_wait() {
    run(|scheduling| async move {
        let mut first = Asker::connect(&scheduling).await;
        first.placed().await;
        first.tell(SchedulerRequest::Place(2, ask())).await;
        assert_eq!(first.hear().await, SchedulerReply::Queued(2));
        scheduling.shared.view.send_modify(|view| view.leads = false);
        assert_eq!(
            first.hear().await,
            SchedulerReply::Placed(2, Err(SchedulerError::NotScheduling))
        );
    });
}

/// While a replica that has just started does not lead yet, prompts wait for its word and are placed by
/// it: an entry alone knows neither memories nor stores.
#[test]
fn a_prompt_waits_for_a_scheduler_that_begins_soon() {
    crate::gateway::run(async {
        let entry = crate::gateway::entry(crate::gateway::unhurried(), Vec::new()).await;
        let ip = "127.98.0.3".parse().expect("an address");
        let listener = TcpListener::bind((ip, entry.gateway.host.peer_port)).await.expect("a port");
        entry.gateway.leader.set(Some(ip));
        tokio::task::spawn_local(scheduler_connection::keep_connected(entry.gateway.clone()));
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("the entry connects");
            let mut stream = BufReader::new(stream);
            let _: Handshake = read(&mut stream).await.expect("who it is");
            for asked in 1..=4 {
                let frame = read(&mut stream).await.expect("it asks again");
                let SchedulerRequest::Place(number, _) = frame else { panic!("{frame:?}") };
                let answer = match asked {
                    4 => Ok(Placement { target: start("i-1"), ..Placement::default() }),
                    _ => Err(SchedulerError::NotScheduling),
                };
                let answer = encode(&SchedulerReply::Placed(number, answer));
                stream.write_all(&answer).await.expect("the entry reads");
            }
            std::future::pending::<()>().await;
        });
        let hurried = PlacementRequest { objective: ms(600), time_left: ms(6_000), ..ask() };
        let answer = entry.gateway.scheduler.place(hurried).await;
        let placed = answer.expect("it waited").expect("it is placed");
        assert_eq!(placed.target, start("i-1"));
    });
}

/// Nobody is kept waiting for replicas that are gone.
#[test]
fn prompts_wait_for_a_part_of_their_objective_and_not_at_all_once_replicas_are_gone() {
    crate::gateway::run(async {
        let entry = crate::gateway::entry(crate::gateway::unhurried(), Vec::new()).await;
        let hurried = PlacementRequest { objective: ms(600), time_left: ms(6_000), ..ask() };
        let waited = async || {
            let begun = boot_now();
            assert_eq!(entry.gateway.scheduler.place(hurried.clone()).await, None);
            boot_now() - begun
        };
        assert!(waited().await >= ms(240), "a leader may be elected meanwhile");
        while boot_now()
            < entry.gateway.scheduler.unavailable_since().expect("it had no answer") + ms(1_000)
        {
            waited().await;
        }
        assert!(waited().await < ms(200), "no answer for a second");
    });
}

/// An engine that was believed to run weights 2 refuses a prompt, since it runs 1.
#[test]
fn weights_that_an_engine_is_found_with_are_listed_so_that_it_is_told_to_load() {
    crate::gateway::run(async {
        let report = r#"{"Models":[{"Name":"m","Version":1}],"Busy":false,"Seq":0}"#;
        let engine = StandIn::start(vec![(ok(report), AfterAnswer::KeepOpen); 20]).await;
        let mut listed = target("i-1", "llm", engine.address);
        listed.weights.insert("m".to_string(), 2);
        let known = VersionedRoster::new(1, Arc::new(roster([listed])));
        let shared = Rc::new(shared(1, known));
        let scheduling =
            Rc::new(SchedulerService::new(shared.clone(), OldWeightsPolicy::default()));
        tokio::task::spawn_local(scheduling.clone().run());
        tokio::task::spawn_local(scheduling.clone().keep_dispatching());
        let mut asker = Asker::connect(&scheduling).await;
        let placed = asker.placed().await;
        assert_eq!(placed.weight_version, Some(2));
        let end = EndReason::WeightMismatch(Some(1));
        asker
            .tell(SchedulerRequest::Event(PlacementEvent::Ended { ticket: placed.ticket, end }))
            .await;
        let mut changes = shared.roster.subscribe();
        let is_listed = |known: &VersionedRoster| {
            known.roster.get(&start("i-1")).is_some_and(|engine| engine.weights["m"] == 1)
        };
        let listed = tokio::time::timeout(ms(15_000), changes.wait_for(is_listed)).await;
        assert!(listed.is_ok(), "it would never be told");
    });
}
