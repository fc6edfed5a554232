//! Asks the log's leader for decisions, wherever it is.

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

/// A leader that does not answer within this time is given up for another.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// All attempts together must end within this time.
const DECIDE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before asking round once more.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Pause between proposals of the first configuration.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(200);
/// The patch id of the first configuration, the same on every node: it is accepted once.
const FIRST_CONFIG_ID: &str = "first_config";

/// No leader could be asked in time. A command may or may not be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no leader of the replicated log answered; see `kumquatpost status`"))]
pub struct NoLeader;

impl Node {
    /// Has a command decided. The command must be one that may be proposed twice.
    ///
    /// # Errors
    /// If no leader answered in time; the command may be decided all the same.
    pub async fn decide(self: &Arc<Node>, command: Command) -> Result<Reply, NoLeader> {
        match self.ask_leader(PeerRequest::Propose(command)).await? {
            PeerResponse::Decided(reply) => Ok(reply),
            _ => Err(NoLeader),
        }
    }

    /// Reads the configuration, confirmed by a quorum, as an update to number `known_number`.
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

    /// Changes the replicas.
    ///
    /// # Errors
    /// If no leader answered in time. The inner error tells why the change was not accepted.
    pub async fn change_replicas(
        self: &Arc<Node>,
        change: Change,
    ) -> Result<Result<(), String>, NoLeader> {
        match self.ask_leader(PeerRequest::ChangeReplicas(change)).await? {
            PeerResponse::ReplicasChanged(result) => Ok(result),
            _ => Err(NoLeader),
        }
    }

    /// Replicas in the order in which to ask them: the one that led last first.
    pub(super) fn leader_candidates(&self) -> Vec<NodeId> {
        let hint = self.leader_hint.load(Ordering::Relaxed);
        let known = self.replica_status().map(|status| status.raft);
        let own_view = known.as_ref().and_then(|raft| raft.leader).unwrap_or(0);
        let members = known.map(|raft| raft.members.voters.into_iter().collect());
        let replicas: Vec<NodeId> = members.unwrap_or_else(|| self.settings.replicas());
        let first = if own_view != 0 { own_view } else { hint };
        let others = replicas.into_iter().filter(|node| *node != first);
        std::iter::once(first).filter(|node| *node != 0).chain(others).collect()
    }

    async fn ask_leader(self: &Arc<Node>, ask: PeerRequest) -> Result<PeerResponse, NoLeader> {
        let end = boot_now() + DECIDE_TIMEOUT;
        loop {
            for node in self.leader_candidates() {
                match self.links.request(node, ask.clone(), ASK_TIMEOUT).await {
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
                if boot_now() >= end {
                    return Err(NoLeader);
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Proposes the configuration of the settings until some configuration is accepted.
    pub(super) async fn propose_first_config(self: Arc<Node>) {
        let Some(document) = self.settings.first_config.clone() else { return };
        let patch = Patch { patch_id: FIRST_CONFIG_ID.into(), base: 0, text: document.to_string() };
        loop {
            match self.decide(Command::Patch(patch.clone())).await {
                Ok(Reply::Patch(PatchAnswer::Invalid(problems))) => {
                    log::error!("event=first_config_invalid problems={problems:?}");
                    return;
                }
                Ok(_) => return,
                Err(NoLeader) => tokio::time::sleep(FIRST_CONFIG_PAUSE).await,
            }
        }
    }
}
