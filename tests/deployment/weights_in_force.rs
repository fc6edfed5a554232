//! Roll-out of named weights to all engines, with replicas as processes and stand-in engines.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kumquatpost::control::frames::{self, NamedAges, Update, encode};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixtures::entry_handshake;

use crate::platform_stand_in::Platform;
use crate::replicas::ReplicaCluster;

const ENGINES: usize = 6;

/// Starts replicas and stand-in engines with weights 1. The engines stop with the runtime.
fn start_replicas_with_engines(runtime: &tokio::runtime::Runtime) -> (Platform, ReplicaCluster) {
    let platform = Platform::new();
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let list = runtime.block_on(async {
        for n in 0..ENGINES {
            platform.start_target(&format!("i-{n}"), "llm", "hall", any, None).await;
        }
        platform.serve_list(any).await
    });
    let core = ReplicaCluster::start_with_target_list(3, Some(list));
    core.publish(1);
    (platform, core)
}

fn name_weights_2(core: &ReplicaCluster) {
    core.eventually("the weights are named", |core| {
        let body = json!({"Model": "m", "Version": 2});
        core.first_success(|host| core.send(host, "POST", "version-put", Some(&body))).is_some()
    });
}

#[test]
fn named_weights_are_loaded_by_all_engines() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (platform, core) = start_replicas_with_engines(&runtime);
    platform.lock().named_weights = 2;
    name_weights_2(&core);
    core.eventually("all engines run the named weights", |_| {
        platform.lock().targets.values().all(|engine| engine.weights == Some(2))
    });
    let inner = platform.lock();
    assert_eq!(inner.observations.orders, ENGINES as u64, "each engine gets one order");
    assert_eq!(inner.observations.violations, Vec::<String>::new());
}

/// The first weights that a replica reports to a new entry, with the time since they were named.
async fn first_reported_weights(replica: SocketAddr) -> std::io::Result<(u64, Duration)> {
    let mut stream = TcpStream::connect(replica).await?;
    let entry = entry_handshake("entry", Ipv4Addr::LOCALHOST.into(), NamedAges::new());
    stream.write_all(&encode(&entry)).await?;
    loop {
        if let Update::Weights(named) = frames::read(&mut stream).await? {
            let newest = named["m"].last().expect("a version");
            return Ok((newest.version, newest.age));
        }
    }
}

/// A restarted replica must not measure the age of weights from its own start: it would allow older
/// weights for the whole bound again.
#[test]
fn a_replica_that_starts_again_knows_how_long_ago_weights_were_named() {
    let in_force = Duration::from_millis(2_800);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut core = ReplicaCluster::start(3);
    core.publish(1);
    name_weights_2(&core);
    std::thread::sleep(in_force + Duration::from_millis(700));
    for host in 0..3 {
        core.kill(host);
        core.start_replica(host, false);
        let mut reported = None;
        core.eventually("the replica has caught up and reports the weights", |core| {
            let report = first_reported_weights(core.peer_address(host));
            let result = runtime
                .block_on(async { tokio::time::timeout(Duration::from_secs(10), report).await });
            reported = result.ok().and_then(Result::ok);
            reported.is_some()
        });
        let (version, age) = reported.expect("the replica reported the weights");
        assert_eq!(version, 2);
        assert!(age >= in_force, "replica {host} reports an age of {age:?}");
    }
}

/// Engines with an unanswered order must not count as loading: the other engines would get no order
/// until those answer.
#[test]
fn engines_that_do_not_answer_their_order_do_not_delay_the_others() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (platform, core) = start_replicas_with_engines(&runtime);
    {
        let mut inner = platform.lock();
        (inner.named_weights, inner.holds_orders) = (2, true);
    }
    name_weights_2(&core);
    core.eventually("more than half of the engines get an order", |_| {
        platform.lock().ordered.len() > ENGINES / 2
    });
    platform.lock().holds_orders = false;
    core.eventually("all engines run the named weights", |_| {
        platform.lock().targets.values().all(|engine| engine.weights == Some(2))
    });
    let inner = platform.lock();
    assert_eq!(inner.observations.orders, ENGINES as u64, "each engine loads once");
    assert_eq!(inner.observations.violations, Vec::<String>::new());
}
