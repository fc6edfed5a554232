//! Helpers for the HTTP APIs of nodes.

use serde_json::{Value, json};

use crate::testenv::{TestEnv, wait_for};

/// Whether the request of an error response ran: `not_run` or `may_have_run`; `none` for other responses.
pub fn execution_of(body: &Value) -> &str {
    body["error"]["execution"].as_str().unwrap_or("none")
}

/// A patch of the configuration. Different numbers below 8 give different patches.
pub fn priority_patch(number: u64) -> Value {
    json!({"kinds": {"counter": {"priority": number % 8}}})
}

/// Sends a patch under one idempotency key to the nodes in turn until one responds without a
/// server error. Returns the body of that response.
pub fn patch_until_answered(
    env: &TestEnv,
    nodes: &[usize],
    base: u64,
    id: &str,
    patch: &Value,
) -> Value {
    let mut turn = 0;
    wait_for("a node responds to the patch without a server error", || {
        let node = nodes[turn % nodes.len()];
        turn += 1;
        let response = env.send_patch(node, base, id, patch).ok()?;
        (!response.status().is_server_error()).then(|| response.json().expect("JSON"))
    })
}

/// The number of the configuration at a node, or `None` if the node does not return it.
pub fn config_number(env: &TestEnv, node: usize) -> Option<u64> {
    let url = format!("{}/v1/config", env.operators_url(node));
    let response = env.client.get(url).send().ok()?;
    let body: Value = response.error_for_status().ok()?.json().ok()?;
    body["number"].as_u64()
}
