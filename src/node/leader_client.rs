//! Sends proposals and reads to the leader of the replicated log, on this or another node.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snafu::Snafu;

use super::Node;
use crate::clock::boot_now;
use crate::config::Update;
use crate::ids::{ConfigNumber, NodeId};
use crate::log::raft::Change;
use crate::log::state::{Command, Patch, PatchAnswer, Reply};
use crate::peer::message::{PeerRequest, PeerResponse};

/// Timeout of a request to one replica.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which no further replica is tried.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before all replicas are tried again.
const ROUND_DELAY: Duration = Duration::from_millis(50);
/// Delay between proposals of the first configuration.
const FIRST_CONFIG_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The patch id of the first configuration. It is the same on all nodes, so that the configuration
/// is accepted only once.
const FIRST_CONFIG_PATCH_ID: &str = "first_config";

/// No leader answered in time. A proposed command may or may not be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no leader of the replicated log answered; see `kumquatpost status`"))]
pub struct NoLeader;

impl Node {
    /// Proposes a command and waits until it is applied. The command may be proposed more than
    /// once, so it must be idempotent.
    ///
    /// # Errors
    /// If no leader answered in time. The command may still be committed.
    pub async fn propose(self: &Arc<Node>, command: Command) -> Result<Reply, NoLeader> {
        match self.ask_leader(PeerRequest::Propose(command)).await? {
            PeerResponse::Decided(reply) => Ok(reply),
            _ => Err(NoLeader),
        }
    }

    /// Performs a linearizable read of the configuration. Returns the update from number `has`.
    ///
    /// # Errors
    /// If no leader answered in time.
    pub async fn read_config(
        self: &Arc<Node>,
        known_number: ConfigNumber,
    ) -> Result<Update, NoLeader> {
        match self.ask_leader(PeerRequest::ReadConfig { known_number }).await? {
            PeerResponse::Config(update) => Ok(update),
            _ => Err(NoLeader),
        }
    }

    /// Changes the members of the replicated log.
    ///
    /// # Errors
    /// If no leader answered in time. The inner error is the reason why the change was rejected.
    pub async fn change_replicas(
        self: &Arc<Node>,
        change: Change,
    ) -> Result<Result<(), String>, NoLeader> {
        match self.ask_leader(PeerRequest::ChangeReplicas(change)).await? {
            PeerResponse::ReplicasChanged(result) => Ok(result),
            _ => Err(NoLeader),
        }
    }

    /// The replicas in the order in which to try them, starting with the last known leader.
    pub(super) fn leader_candidates(&self) -> Vec<NodeId> {
        let hint = self.leader_hint.load(Ordering::Relaxed);
        let raft_status = self.replica_status().map(|status| status.raft);
        let known_leader = raft_status.as_ref().and_then(|raft| raft.leader).unwrap_or(0);
        let voters = raft_status.map(|raft| raft.members.voters.into_iter().collect());
        let replicas: Vec<NodeId> = voters.unwrap_or_else(|| self.settings.replicas());
        let first = if known_leader != 0 { known_leader } else { hint };
        let others = replicas.into_iter().filter(|node| *node != first);
        std::iter::once(first).filter(|node| *node != 0).chain(others).collect()
    }

    async fn ask_leader(self: &Arc<Node>, ask: PeerRequest) -> Result<PeerResponse, NoLeader> {
        let deadline = boot_now() + TOTAL_TIMEOUT;
        loop {
            for node in self.leader_candidates() {
                match self.links.request(node, ask.clone(), REQUEST_TIMEOUT).await {
                    Ok(PeerResponse::NotLeader(leader)) => {
                        self.leader_hint.store(leader.unwrap_or(0), Ordering::Relaxed);
                    }
                    Ok(PeerResponse::Unavailable) | Err(_) => {
                        self.leader_hint.store(0, Ordering::Relaxed);
                    }
                    Ok(answer) => {
                        self.leader_hint.store(node, Ordering::Relaxed);
                        return Ok(answer);
                    }
                }
                if boot_now() >= deadline {
                    return Err(NoLeader);
                }
            }
            tokio::time::sleep(ROUND_DELAY).await;
        }
    }

    /// Proposes the configuration from the settings until a first configuration is committed.
    pub(super) async fn propose_first_config(self: Arc<Node>) {
        let Some(document) = self.settings.first_config.clone() else { return };
        let patch =
            Patch { patch_id: FIRST_CONFIG_PATCH_ID.into(), base: 0, text: document.to_string() };
        loop {
            match self.propose(Command::Patch(patch.clone())).await {
                Ok(Reply::Patch(PatchAnswer::Invalid(problems))) => {
                    log::error!("event=first_config_invalid problems={problems:?}");
                    return;
                }
                Ok(_) => return,
                Err(NoLeader) => tokio::time::sleep(FIRST_CONFIG_RETRY_DELAY).await,
            }
        }
    }
}
