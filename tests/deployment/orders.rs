//! Orders to engines that start again while one is under way, over loopback.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquatpost::control::frames::VersionedRoster;
use kumquatpost::control::replica::Input;
use kumquatpost::control::rollout::RolloutController;
use kumquatpost::control::scheduler_service::SchedulerService;
use kumquatpost::control::shared::Shared;
use kumquatpost::control::state::Reply;
use kumquatpost::fleet::Listed;
use kumquatpost::scheduler::weights::OldWeightsPolicy;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::fixtures::{born, ms, roster, target};
use crate::gateway::run_local;
use crate::scheduler_service::leader_state;
use crate::stand_in::{StandIn, Then};

const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

fn report(born_ms: i64) -> (String, Then) {
    let body = format!(
        r#"{{"Models":[{{"Name":"m","Version":1}}],"Busy":false,"Seq":3,"born":{born_ms}}}"#
    );
    (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()), Then::Close)
}

fn listed(engine: &StandIn) -> Listed {
    Listed { start: born("i-1", 1), ..target("i-1", "llm", engine.address) }
}

/// A leader that has named weights 2, and knows of an engine in its start 1 that runs weights 1.
fn lead(engine: Listed) -> Rc<Shared> {
    let roster = VersionedRoster::new(1, Arc::new(roster([engine])));
    let shared = leader_state(1, roster);
    let named = Arc::new(BTreeMap::from([("m".to_string(), 2)]));
    shared.view.send_modify(|view| view.state.weights = named);
    let shared = Rc::new(shared);
    let (inputs, mut commands) = mpsc::channel(8);
    tokio::task::spawn_local(async move {
        while let Some(Input::Propose(_, sender)) = commands.recv().await {
            // The right to order is free.
            let _ = sender.send(Ok(Reply::OrderLease { previous: None }));
        }
    });
    let rollout = RolloutController {
        shared: shared.clone(),
        scheduling: Rc::new(SchedulerService::new(shared.clone(), OldWeightsPolicy::default())),
        inputs,
        order_lease: Duration::ZERO,
        loads_in_progress: Cell::new(0),
        unanswered: RefCell::default(),
    };
    tokio::task::spawn_local(Rc::new(rollout).run());
    shared
}

fn orders(engine: &StandIn) -> Vec<String> {
    let requests = engine.requests.borrow();
    requests.iter().filter(|request| request.starts_with("POST /order")).cloned().collect()
}

async fn until(is_so: impl Fn() -> bool) {
    let waited = async {
        while !is_so() {
            tokio::time::sleep(ms(5)).await;
        }
    };
    tokio::time::timeout(ms(5_000), waited).await.expect("it comes to be so");
}

#[test]
fn an_order_goes_to_the_start_that_reported() {
    run_local(async {
        let engine = StandIn::start(vec![report(1), (TAKEN.to_string(), Then::Close)]).await;
        lead(listed(&engine));
        until(|| !orders(&engine).is_empty()).await;
        let order = orders(&engine).remove(0);
        assert!(order.to_lowercase().contains("x-expect-instance: i-1\r\n"), "{order}");
        assert!(order.contains(r#""Precondition":3"#), "{order}");
    });
}

#[test]
fn no_order_is_sent_on_the_report_of_another_start() {
    run_local(async {
        let reports = (0..30).map(|_| report(2)).collect();
        let engine = StandIn::start(reports).await;
        lead(listed(&engine));
        until(|| engine.seen() >= 4).await;
        assert_eq!(orders(&engine), [] as [String; 0]);
    });
}

#[test]
fn no_order_is_sent_to_an_engine_that_has_started_again_since() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let engine = Listed {
            start: born("i-1", 1),
            ..target("i-1", "llm", listener.local_addr().expect("an address"))
        };
        let shared = lead(engine.clone());
        let (mut stream, _) = listener.accept().await.expect("it asks for a report");
        // The report is on its way when the list shows the next start.
        let mut second = Listed { start: born("i-1", 2), ..engine };
        second.weights.insert("m".to_string(), 2);
        shared.change_roster(|known| known.update(vec![second]));
        stream.write_all(report(1).0.as_bytes()).await.expect("it waits");
        let next = tokio::time::timeout(ms(1_500), listener.accept()).await;
        assert!(next.is_err(), "it is neither asked nor told again");
        assert!(shared.changing.borrow().is_empty());
    });
}
