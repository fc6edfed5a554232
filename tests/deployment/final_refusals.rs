//! What an entry says of routes and keys that it doesn't know, beside replicas that fall silent.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use kumquatpost::clock::boot_now;
use kumquatpost::control::frames::VersionedRoster;
use kumquatpost::control::publisher;
use kumquatpost::control::scheduler_service::SchedulerService;
use kumquatpost::control::state::Published;
use kumquatpost::deployment::Deployment;
use kumquatpost::deployment::document::RunPolicy;
use kumquatpost::essential_tasks::{EssentialTasks, essential_tasks};
use kumquatpost::gateway::subscription;
use kumquatpost::scheduler::weights::OldWeightsPolicy;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::fixtures::{account, address, loopback, ms, route, target};
use crate::gateway::{
    Entry, Response, deployment_with_long_timeouts, ok_response, run_local, start_entry,
};
use crate::scheduler_service::leader_state;
use crate::stand_in::{StandIn, Then, header};

/// A deployment must be in force after this time.
const IN_FORCE: Duration = Duration::from_millis(2_000);

/// A replica on a thread of its own.
#[derive(Default)]
struct StandInReplica {
    /// Whether it has not had all that was committed lately.
    is_behind: AtomicBool,
    /// The version of the deployment that it has applied.
    version: AtomicU64,
}

impl StandInReplica {
    fn start(entry: &Entry, ip: IpAddr, version: u64) -> Arc<StandInReplica> {
        let replica = Arc::new(StandInReplica { version: version.into(), ..Default::default() });
        let at = SocketAddr::new(ip, entry.gateway.host.peer_port);
        let serving = replica.clone();
        std::thread::spawn(move || serving.serve(at));
        entry.gateway.replicas.borrow_mut().insert(ip);
        replica
    }

    /// Ends with the test.
    fn serve(&self, at: SocketAddr) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let shared = Rc::new(leader_state(1, VersionedRoster::default()));
            let scheduling =
                Rc::new(SchedulerService::new(shared.clone(), OldWeightsPolicy::default()));
            let listener = TcpListener::bind(at).await.expect("a port");
            let (inputs, _kept) = mpsc::channel(1);
            tokio::task::spawn_local(publisher::accept(listener, scheduling, inputs));
            loop {
                let is_behind = self.is_behind.load(Ordering::SeqCst);
                shared.caught_up_at.set((!is_behind).then(|| boot_now() + ms(600_000)));
                let deployment = Arc::new(deployment(self.version.load(Ordering::SeqCst)));
                shared.view.send_if_modified(|view| {
                    let known = view.state.published.as_ref().map(Published::version);
                    let is_new = known != Some(deployment.version);
                    view.state.published = Some(Published { text: Arc::default(), deployment });
                    is_new
                });
                tokio::time::sleep(ms(5)).await;
            }
        });
    }

    fn set_behind(&self, is_behind: bool) {
        self.is_behind.store(is_behind, Ordering::SeqCst);
    }

    fn publish(&self, version: u64) {
        self.version.store(version, Ordering::SeqCst);
    }
}

/// From version 2 on with a route and a key more.
fn deployment(version: u64) -> Deployment {
    let mut deployment = Deployment { version, ..deployment_with_long_timeouts() };
    if version > 1 {
        deployment.routes.push(route("added", RunPolicy::Idempotent, "app"));
        deployment.accounts.iter_mut().for_each(|accounts| {
            accounts.push(account("gamma", "key-added", false));
        });
    }
    deployment
}

async fn listening(entry: &Entry) -> EssentialTasks {
    let (tasks, _first_exit) = essential_tasks();
    subscription::start(&entry.gateway, &tasks);
    tasks
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let holding = async {
        while !holds() {
            tokio::time::sleep(ms(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), holding).await.expect(what);
}

/// An entry before one target, which hears one replica that has published version 1.
async fn hearing(ip: IpAddr) -> (Entry, Arc<StandInReplica>, StandIn, EssentialTasks) {
    let answers = (0..4).map(|_| (ok_response("done"), Then::KeepOpen)).collect();
    let app = StandIn::start(answers).await;
    let entry =
        start_entry(deployment_with_long_timeouts(), vec![target("i-1", "app", app.address)]).await;
    let replica = StandInReplica::start(&entry, ip, 1);
    let tasks = listening(&entry).await;
    until("it hears the replica", || entry.gateway.state_age().is_some()).await;
    (entry, replica, app, tasks)
}

/// The caller may send it again, at once and elsewhere, and knows that it has not run.
fn may_come_back(got: &Response, what: &str) {
    assert_eq!(got.status, 503, "{what}: {}", got.text);
    let after = header(&got.text, "retry-after").expect("it tells when to come back");
    let after_s: f64 = after.parse().expect("a number");
    assert!(after_s <= 0.1, "{what}: at once, not after {after_s} s");
}

async fn call_with_key(entry: &Entry, path: &str, key: &str) -> Response {
    entry.call_as(path, "r-key", key).await
}

/// Guards against a final refusal by an entry that no replica has confirmed for longer than a deployment
/// may take to be in force.
#[test]
fn an_entry_that_no_replica_confirms_refuses_nobody_for_good_and_serves_what_it_knows() {
    run_local(async {
        let (entry, replica, app, _tasks) = hearing(loopback(101)).await;
        replica.set_behind(true);
        tokio::time::sleep(IN_FORCE + ms(200)).await;
        may_come_back(&entry.call("/added/", "r1").await, "a route");
        may_come_back(&call_with_key(&entry, "/safe/", "key-added").await, "a key");
        assert_eq!(
            entry.call("/safe/", "r2").await.status,
            200,
            "nothing is known to have changed"
        );
        assert_eq!(app.seen(), 1);
    });
}

/// Guards against the same where a bound forbids what a later deployment allows.
#[test]
fn an_entry_that_no_replica_confirms_refuses_no_long_body_for_good() {
    run_local(async {
        let mut strict = deployment_with_long_timeouts();
        strict.request_limits.body_bytes = 3;
        let entry = start_entry(strict, vec![target("i-1", "app", address(1))]).await;
        may_come_back(&entry.call("/safe/", "r1").await, "a body of four bytes");
        entry.start_confirming();
        // After a request without an answer nobody waits for the next one, which this caller makes.
        may_come_back(&entry.call("/safe/", "r2").await, "a body of four bytes");
        assert_eq!(entry.call("/safe/", "r3").await.status, 413);
    });
}

/// Guards against a mend that never says no: such callers would come back for nothing.
#[test]
fn an_entry_that_a_replica_confirms_refuses_unknown_routes_and_keys_for_good() {
    run_local(async {
        let (entry, replica, app, _tasks) = hearing(loopback(102)).await;
        assert_eq!(entry.call("/added/", "r1").await.status, 404);
        assert_eq!(call_with_key(&entry, "/safe/", "key-added").await.status, 401);
        replica.publish(2);
        until("it hears of the change", || {
            entry.gateway.table().unwrap().deployment().version == 2
        })
        .await;
        assert_eq!(entry.call("/added/", "r2").await.status, 200);
        assert_eq!(call_with_key(&entry, "/safe/", "key-added").await.status, 200);
        assert_eq!(entry.call("/elsewhere/", "r3").await.status, 404);
        assert_eq!(app.seen(), 2);
    });
}

/// Guards against freshness that counts from when a confirmation is read: it may have lain in a socket for as long as
/// the entry stood still.
#[test]
fn an_entry_that_stood_still_is_not_confirmed_by_what_came_meanwhile() {
    run_local(async {
        let (entry, replica, _app, _tasks) = hearing(loopback(103)).await;
        let silenced = std::thread::spawn(move || {
            std::thread::sleep(ms(1_000));
            replica.set_behind(true);
        });
        std::thread::sleep(IN_FORCE + ms(1_200));
        silenced.join().expect("it ends");
        // It reads now what the replica has said more than two seconds ago.
        until("it reads", || entry.gateway.state_age().is_some_and(|age| age < ms(1_000))).await;
        may_come_back(&entry.call("/added/", "r1").await, "a route");
    });
}

/// Guards against replicas that know of a change and keep it to themselves, since they may lack a later one.
#[test]
fn an_entry_is_told_of_a_change_by_a_replica_that_is_behind() {
    run_local(async {
        let (entry, replica, _app, _tasks) = hearing(loopback(104)).await;
        replica.set_behind(true);
        replica.publish(2);
        until("it hears of the change", || {
            entry.gateway.table().unwrap().deployment().version == 2
        })
        .await;
        assert_eq!(entry.call("/added/", "r1").await.status, 200);
    });
}
