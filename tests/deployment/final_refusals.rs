//! Final and retryable refusals by an entry, with replicas that do or don't confirm its deployment.

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
use kumquatpost::deployment::document::RunPolicy;
use kumquatpost::deployment::{Deployment, Route};
use kumquatpost::essential_tasks::{EssentialTasks, essential_tasks};
use kumquatpost::gateway::subscription;
use kumquatpost::scheduler::weights::OldWeightsPolicy;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::fixtures::{account, address, loopback, ms, route, target};
use crate::gateway::{
    Entry, Response, TEST_TIMEOUT, deployment_with_long_timeouts, ok_response, run_local,
    start_entry,
};
use crate::scheduler_service::leader_state;
use crate::stand_in::{AfterAnswer, StandIn, header};

/// The time within which a deployment must be in force.
const IN_FORCE_BOUND: Duration = Duration::from_millis(2_000);

/// A replica that runs on its own thread.
#[derive(Default)]
struct StandInReplica {
    /// Whether it may lack recently committed changes.
    is_behind: AtomicBool,
    /// The version of its deployment.
    version: AtomicU64,
}

impl StandInReplica {
    fn start(entry: &Entry, ip: IpAddr, version: u64) -> Arc<StandInReplica> {
        let replica = Arc::new(StandInReplica { version: version.into(), ..Default::default() });
        let address = SocketAddr::new(ip, entry.gateway.host.peer_port);
        let serving = replica.clone();
        std::thread::spawn(move || serving.serve(address));
        entry.gateway.replicas.borrow_mut().insert(ip);
        replica
    }

    /// Serves until the process ends.
    fn serve(&self, address: SocketAddr) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let shared = Rc::new(leader_state(1, VersionedRoster::default()));
            let scheduling =
                Rc::new(SchedulerService::new(shared.clone(), OldWeightsPolicy::default()));
            let listener = TcpListener::bind(address).await.expect("a port");
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

/// Versions from 2 on have an additional route and key.
fn deployment(version: u64) -> Deployment {
    let mut deployment = Deployment { version, ..deployment_with_long_timeouts() };
    if version > 1 {
        let added = route("added", RunPolicy::Idempotent, "app");
        // No timeout may be reached on a busy machine.
        let added = Route { timeout: TEST_TIMEOUT, objective: TEST_TIMEOUT, ..added };
        deployment.routes.push(added);
        deployment.accounts.iter_mut().for_each(|accounts| {
            accounts.push(account("gamma", "key-added", false));
        });
    }
    deployment
}

async fn start_subscription(entry: &Entry) -> EssentialTasks {
    let (tasks, _first_exit) = essential_tasks();
    subscription::start(&entry.gateway, &tasks);
    tasks
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(ms(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), wait).await.expect(what);
}

/// An entry with one target and a subscription to one replica, which has published version 1.
async fn subscribed_entry(ip: IpAddr) -> (Entry, Arc<StandInReplica>, StandIn, EssentialTasks) {
    let answers = (0..4).map(|_| (ok_response("done"), AfterAnswer::KeepOpen)).collect();
    let app = StandIn::start(answers).await;
    let entry =
        start_entry(deployment_with_long_timeouts(), vec![target("i-1", "app", app.address)]).await;
    let replica = StandInReplica::start(&entry, ip, 1);
    let tasks = start_subscription(&entry).await;
    wait_until("the entry receives the state", || entry.gateway.state_age().is_some()).await;
    (entry, replica, app, tasks)
}

/// Asserts that the caller may retry at once.
fn assert_retryable(got: &Response, what: &str) {
    assert_eq!(got.status, 503, "{what}: {}", got.text);
    let after = header(&got.text, "retry-after").expect("a Retry-After header");
    let after_s: f64 = after.parse().expect("a number");
    assert!(after_s <= 0.1, "{what}: Retry-After of {after_s} s");
}

async fn call_with_key(entry: &Entry, path: &str, key: &str) -> Response {
    entry.call_as(path, "r-key", key).await
}

/// Guards against a final refusal by an entry whose deployment has not been confirmed for longer than a new one may
/// take to be in force.
#[test]
fn an_unconfirmed_entry_refuses_retryably_and_serves_known_routes() {
    run_local(async {
        let (entry, replica, app, _tasks) = subscribed_entry(loopback(101)).await;
        replica.set_behind(true);
        tokio::time::sleep(IN_FORCE_BOUND + ms(200)).await;
        assert_retryable(&entry.call("/added/", "r1").await, "an unknown route");
        assert_retryable(&call_with_key(&entry, "/safe/", "key-added").await, "an unknown key");
        assert_eq!(entry.call("/safe/", "r2").await.status, 200, "a known route must be served");
        assert_eq!(app.request_count(), 1);
    });
}

/// Guards against a final refusal by a body limit that a newer deployment may have raised.
#[test]
fn an_unconfirmed_entry_refuses_long_bodies_retryably() {
    run_local(async {
        let mut strict = deployment_with_long_timeouts();
        strict.request_limits.body_bytes = 3;
        let entry = start_entry(strict, vec![target("i-1", "app", address(1))]).await;
        assert_retryable(&entry.call("/safe/", "r1").await, "a body of four bytes");
        entry.start_confirming();
        // Callers don't wait for a confirmation after one that was not answered. This one only requests it.
        assert_retryable(&entry.call("/safe/", "r2").await, "a body of four bytes");
        assert_eq!(entry.call("/safe/", "r3").await.status, 413);
    });
}

/// Guards against retryable refusals by a confirmed entry, whose callers would retry in vain.
#[test]
fn a_confirmed_entry_refuses_unknown_routes_and_keys_for_good() {
    run_local(async {
        let (entry, replica, app, _tasks) = subscribed_entry(loopback(102)).await;
        assert_eq!(entry.call("/added/", "r1").await.status, 404);
        assert_eq!(call_with_key(&entry, "/safe/", "key-added").await.status, 401);
        replica.publish(2);
        wait_until("the entry receives the new deployment", || {
            entry.gateway.table().unwrap().deployment().version == 2
        })
        .await;
        for (path, key) in [("/added/", "key-a"), ("/safe/", "key-added")] {
            let got = call_with_key(&entry, path, key).await;
            assert_eq!(got.status, 200, "{path}, {} sent on: {}", app.request_count(), got.text);
        }
        assert_eq!(entry.call("/elsewhere/", "r3").await.status, 404);
        assert_eq!(app.request_count(), 2);
    });
}

/// Guards against dating a confirmation from when it is read: it may have waited in the socket while the entry was
/// suspended.
#[test]
fn a_suspended_entry_is_not_confirmed_by_messages_received_meanwhile() {
    run_local(async {
        let (entry, replica, _app, _tasks) = subscribed_entry(loopback(103)).await;
        let falling_behind = std::thread::spawn(move || {
            std::thread::sleep(ms(1_000));
            replica.set_behind(true);
        });
        std::thread::sleep(IN_FORCE_BOUND + ms(1_200));
        falling_behind.join().expect("the thread ends");
        // The entry only now reads messages that are more than two seconds old.
        wait_until("the entry reads the confirmation", || {
            entry.gateway.state_age().is_some_and(|age| age < ms(1_000))
        })
        .await;
        assert_retryable(&entry.call("/added/", "r1").await, "an unknown route");
    });
}

/// Guards against replicas that withhold a known change because they may lack a later one.
#[test]
fn a_replica_that_is_behind_still_publishes_the_changes_it_knows() {
    run_local(async {
        let (entry, replica, _app, _tasks) = subscribed_entry(loopback(104)).await;
        replica.set_behind(true);
        replica.publish(2);
        wait_until("the entry receives the new deployment", || {
            entry.gateway.table().unwrap().deployment().version == 2
        })
        .await;
        assert_eq!(entry.call("/added/", "r1").await.status, 200);
    });
}
