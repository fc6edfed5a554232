//! `replicas`: changes the replicas of the log, one per call.

use serde_json::json;

use crate::error::Result;
use crate::log::raft::Change;
use crate::queries::operator_client;

#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Operators' address of any node.
    pub node: String,
    pub change: Change,
}

/// Submits the change and prints the response.
///
/// # Errors
/// If the change is refused or the node can't be reached.
pub fn run(options: &Options) -> Result<()> {
    let body = match options.change {
        Change::AddLearner(id) => json!({"add_learner": id}),
        Change::Promote(id) => json!({"promote": id}),
        Change::Remove(id) => json!({"remove": id}),
    };
    super::block_on(async {
        let client = operator_client::http_client()?;
        let request = client.post(format!("{}/v1/replicas", options.node)).json(&body);
        println!("{}", operator_client::send(&options.node, request).await?);
        Ok(())
    })
}
