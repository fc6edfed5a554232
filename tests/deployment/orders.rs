//! Orders to engines that start again while one is under way, over loopback.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquatpost::control::frames::NumberedRoster;
use kumquatpost::control::ordering::Ordering;
use kumquatpost::control::replica::{Input, Shared};
use kumquatpost::control::scheduling::Scheduling;
use kumquatpost::control::state::Reply;
use kumquatpost::fleet::Listed;
use kumquatpost::scheduler::weights::OldWeights;
use tokio::sync::mpsc;

use crate::asking::shared;
use crate::fixtures::{born, ms, roster, target};
use crate::gateway::run;
use crate::stand_in::{StandIn, Then};

const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

fn report(born_ms: i64) -> (String, Then) {
    let body = format!(
        r#"{{"Models":[{{"Name":"m","Version":1}}],"Busy":false,"Seq":3,"born":{born_ms}}}"#
    );
    (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()), Then::Close)
}

fn listed(engine: &StandIn, born_ms: i64) -> Listed {
    Listed { start: born("i-1", born_ms), ..target("i-1", "llm", engine.address) }
}

/// A leader that has named weights 2, and knows of an engine in its start 1 that runs weights 1.
fn lead(engine: &StandIn) -> Rc<Shared> {
    let roster = NumberedRoster { number: 1, roster: Arc::new(roster([listed(engine, 1)])) };
    let shared = shared(1, roster);
    let named = Arc::new(BTreeMap::from([("m".to_string(), 2)]));
    shared.belief.send_modify(|belief| belief.state.weights = named);
    let shared = Rc::new(shared);
    let (inputs, mut commands) = mpsc::channel(8);
    tokio::task::spawn_local(async move {
        while let Some(Input::Propose(_, sender)) = commands.recv().await {
            // The right to order is free.
            let _ = sender.send(Ok(Reply::Orders { previous: None }));
        }
    });
    let ordering = Ordering {
        shared: shared.clone(),
        scheduling: Rc::new(Scheduling::new(shared.clone(), OldWeights::default())),
        inputs,
        apart: Duration::ZERO,
        loading: Cell::new(0),
    };
    tokio::task::spawn_local(Rc::new(ordering).run());
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
    run(async {
        let engine = StandIn::start(vec![report(1), (TAKEN.to_string(), Then::Close)]).await;
        lead(&engine);
        until(|| !orders(&engine).is_empty()).await;
        let order = orders(&engine).remove(0);
        assert!(order.to_lowercase().contains("x-expect-instance: i-1\r\n"), "{order}");
        assert!(order.contains(r#""Precondition":3"#), "{order}");
    });
}

#[test]
fn no_order_is_sent_on_the_report_of_another_start() {
    run(async {
        let reports = (0..30).map(|_| report(2)).collect();
        let engine = StandIn::start(reports).await;
        lead(&engine);
        until(|| engine.seen() >= 4).await;
        assert_eq!(orders(&engine), [] as [String; 0]);
    });
}

#[test]
fn no_order_is_sent_to_an_engine_that_has_started_again_since() {
    run(async {
        let slow: Vec<_> = (0..1).map(|_| (String::new(), Then::Hang)).collect();
        let engine = StandIn::start(slow).await;
        let shared = lead(&engine);
        // The report is on its way when the list shows the next start, with the newest weights.
        until(|| engine.seen() == 1).await;
        let mut second = listed(&engine, 2);
        second.weights.insert("m".to_string(), 2);
        shared.change_roster(|known| known.take(vec![second]));
        until(|| shared.changing.borrow().is_empty()).await;
        tokio::time::sleep(ms(300)).await;
        assert_eq!(engine.seen(), 1, "neither asked nor told again");
    });
}
