//! Named weights reach all engines: replicas as processes before stand-in engines.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatpost::control::frames::{self, Handshake, NamedAges, Update, encode};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::platform_stand_in::Platform;
use crate::replicas::Core;

const ENGINES: usize = 6;

/// Replicas before engines with weights 1. The engines end with the runtime.
fn before_engines(runtime: &tokio::runtime::Runtime) -> (Platform, Core) {
    let platform = Platform::new();
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let list = runtime.block_on(async {
        for n in 0..ENGINES {
            platform.start_target(&format!("i-{n}"), "llm", "hall", any, None).await;
        }
        platform.serve_list(any).await
    });
    let core = Core::start_with_list(3, Some(list));
    core.publish(1);
    (platform, core)
}

fn name_weights_2(core: &Core) {
    core.eventually("the weights are named", |core| {
        let body = json!({"Model": "m", "Version": 2});
        core.any(|host| core.send(host, "POST", "version-put", Some(&body))).is_some()
    });
}

#[test]
fn named_weights_are_loaded_by_all_engines() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (platform, core) = before_engines(&runtime);
    platform.lock().named_weights = 2;
    name_weights_2(&core);
    core.eventually("all engines run them", |_| {
        platform.lock().targets.values().all(|engine| engine.weights == Some(2))
    });
    let inner = platform.lock();
    assert_eq!(inner.observations.orders, ENGINES as u64, "each was told once");
    assert_eq!(inner.observations.violations, Vec::<String>::new());
}

/// The weights that a replica tells an entry of first, with the time since they were named.
async fn told_first(replica: SocketAddr) -> std::io::Result<(u64, Duration)> {
    let mut stream = TcpStream::connect(replica).await?;
    let entry = Handshake::Entry {
        name: "entry".into(),
        failure_domain: "hall".into(),
        deployment: 0,
        named: NamedAges::new(),
    };
    stream.write_all(&encode(&entry)).await?;
    loop {
        if let Update::Weights(named) = frames::read(&mut stream).await? {
            let newest = named["m"].last().expect("a version");
            return Ok((newest.version, newest.age));
        }
    }
}

/// What was seen: prompts began on older weights long after newer ones had been named, where
/// replicas had been replaced or started again in between.
/// What caused it in this test: a replica counted from when its own process heard of the naming, so one that
/// started again took weights that had been named long ago for new, and allowed older ones for the
/// whole bound once more.
#[test]
fn a_replica_that_starts_again_knows_how_long_ago_weights_were_named() {
    let in_force = Duration::from_millis(2_800);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut core = Core::start(3);
    core.publish(1);
    name_weights_2(&core);
    std::thread::sleep(in_force + Duration::from_millis(700));
    for host in 0..3 {
        core.kill(host);
        core.run(host, false);
        let mut told = None;
        core.eventually("it is sure to know all that was decided", |core| {
            let telling = told_first(core.peer_address(host));
            let heard = runtime
                .block_on(async { tokio::time::timeout(Duration::from_secs(10), telling).await });
            told = heard.ok().and_then(Result::ok);
            told.is_some()
        });
        let (version, age) = told.expect("it was told");
        assert_eq!(version, 2);
        assert!(age >= in_force, "replica {host} believes that they were named {age:?} ago");
    }
}

/// What was seen: 26 s after weights had been named, 7 of 18 engines still ran older ones.
/// How it came about: orders to load them were not answered, and carried out seconds later.
/// What caused it: engines that wait for such an order counted as changing, so that no other engine
/// was told for as long.
/// What proved it: the order lines of that day's log, and engines that hold their orders, below.
#[test]
fn engines_that_do_not_answer_their_order_do_not_hold_up_the_others() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (platform, core) = before_engines(&runtime);
    {
        let mut inner = platform.lock();
        (inner.named_weights, inner.holds_orders) = (2, true);
    }
    name_weights_2(&core);
    core.eventually("more than half of the engines are told", |_| {
        platform.lock().ordered.len() > ENGINES / 2
    });
    platform.lock().holds_orders = false;
    core.eventually("all engines run them", |_| {
        platform.lock().targets.values().all(|engine| engine.weights == Some(2))
    });
    let inner = platform.lock();
    assert_eq!(inner.observations.orders, ENGINES as u64, "each has loaded once");
    assert_eq!(inner.observations.violations, Vec::<String>::new());
}
