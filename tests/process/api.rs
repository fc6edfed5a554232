//! Asks nodes and reads their answers, for the tests of failures.

use serde_json::{Value, json};

use crate::testenv::{TestEnv, wait_for};

pub fn execution_of(body: &Value) -> &str {
    body["error"]["execution"].as_str().unwrap_or("none")
}

pub fn priority_patch(number: u64) -> Value {
    json!({"kinds": {"counter": {"priority": number % 8}}})
}

/// Sends a patch with the same id to one node after the other until one answers it for good.
pub fn patch_until_answered(
    env: &TestEnv,
    nodes: &[usize],
    base: u64,
    id: &str,
    patch: &Value,
) -> Value {
    let mut turn = 0;
    wait_for("the patch is answered", || {
        let node = nodes[turn % nodes.len()];
        turn += 1;
        let response = env.send_patch(node, base, id, patch).ok()?;
        (!response.status().is_server_error()).then(|| response.json().expect("JSON"))
    })
}

pub fn config_number(env: &TestEnv, node: usize) -> Option<u64> {
    let url = format!("{}/v1/config", env.operators_url(node));
    let response = env.client.get(url).send().ok()?;
    let body: Value = response.error_for_status().ok()?.json().ok()?;
    body["number"].as_u64()
}
