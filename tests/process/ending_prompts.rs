//! A prompt that crashes engines is held at all nodes, however often its caller resends it.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::api::execution_of;
use crate::testenv::{TestEnv, TestEnvOptions};

const CRASHING_PROMPT: &str = "the prompt on which engines die";
/// Time between a response and the next attempt.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Time for reports to reach all nodes: they pass up and down a tree, one lease renewal per step.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Engine crashes that are tolerated after [`PROPAGATION_TIMEOUT`].
const MAX_LATER_CRASHES: u64 = 3;

/// The number of engine crashes so far: each start of an engine increments its incarnation.
fn engine_crashes(env: &TestEnv) -> u64 {
    let url = format!("{}/targets", env.emulator.ready_value("platform"));
    let list: Value =
        env.client.get(url).send().expect("the emulator answers").json().expect("JSON");
    let starts = list["targets"].as_array().expect("targets").iter();
    starts.filter_map(|target| target["incarnation"].as_u64()).map(|start| start - 1).sum()
}

/// Sends the prompt to the nodes in turn for a duration. Returns the status and body of the last
/// response.
fn resend_for(env: &TestEnv, nodes: &[usize], duration: Duration) -> (u16, Value) {
    let started_at = Instant::now();
    let mut last = (0, Value::Null);
    for node in nodes.iter().cycle() {
        let answer = env.send_prompt(*node, "anna", CRASHING_PROMPT, 4);
        last = (answer.status().as_u16(), answer.json().unwrap_or_default());
        if started_at.elapsed() > duration {
            break;
        }
        std::thread::sleep(RESEND_INTERVAL);
    }
    last
}

#[test]
fn a_prompt_that_crashes_engines_is_held_at_all_nodes() {
    let mut env = TestEnv::start(TestEnvOptions::default());
    for engine in 0..3 {
        let fault = json!({"set": {"dies_on": CRASHING_PROMPT}});
        env.set_fault(&format!("engine-{engine}"), fault);
    }
    resend_for(&env, &[0, 1, 2], PROPAGATION_TIMEOUT);
    let crashes_before = engine_crashes(&env);
    let (status, body) = resend_for(&env, &[0, 1, 2], PROPAGATION_TIMEOUT);
    let crashes_after = engine_crashes(&env);
    assert!(
        crashes_after - crashes_before <= MAX_LATER_CRASHES,
        "{crashes_before} engine crashes before, {crashes_after} in all"
    );
    assert_eq!((status, execution_of(&body)), (503, "not_run"), "{body}");
    assert_eq!(body["error"]["code"], "held");

    // Nodes that restart or follow a new leader learn of the hold.
    let leader = env.leader();
    env.nodes[leader].kill();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    resend_for(&env, &others, PROPAGATION_TIMEOUT);
    env.restart(leader);
    env.wait_until_ready(leader);
    resend_for(&env, &[leader], PROPAGATION_TIMEOUT);
    let crashes_at_end = engine_crashes(&env);
    assert!(
        crashes_at_end - crashes_before <= MAX_LATER_CRASHES,
        "{crashes_before} engine crashes before, {crashes_at_end} in all"
    );
    for node in 0..3 {
        assert!(env.send_prompt(node, "anna", "another prompt", 4).status().is_success());
    }
}
