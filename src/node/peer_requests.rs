//! Handles messages from other nodes.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::oneshot;

use super::Node;
use crate::clock::boot_now;
use crate::ids::NodeId;
use crate::log::Message;
use crate::log::raft::ChangeError;
use crate::peer::PeerHandler;
use crate::peer::message::{Dispatched, PeerRequest, PeerResponse, RenewLease};
use crate::prefix_catalog::AnsweredPrompt;
use crate::replica::{self, ReplicaError};

/// Dispatches are announced only among at most this many nodes, since each one costs a message to
/// every other node.
const MAX_NODES_FOR_ANNOUNCEMENTS: usize = 16;

impl PeerHandler for Node {
    fn handle_log_message(&self, from: NodeId, message: Message) {
        if let Some(replica) = &self.replica {
            let sending = replica.address.send(replica::PeerMessage(from, message)).detach();
            // Never waits, since the mailbox is unbounded. Fails only while the process exits.
            drop(sending.now_or_never());
        }
    }

    fn handle_dispatched(&self, dispatched: &Dispatched) {
        self.router.lock().record_peer_dispatch(dispatched, boot_now());
    }

    fn handle_request(
        self: Arc<Node>,
        from: NodeId,
        ask: PeerRequest,
    ) -> BoxFuture<'static, PeerResponse> {
        async move {
            match ask {
                PeerRequest::RenewLease(mut renew) => {
                    self.merge_quarantine_reports(std::mem::take(&mut renew.quarantine));
                    match renew.as_relay {
                        true => self.grant_as_relay(from, &renew),
                        false => self.grant_as_leader(from, &renew).await,
                    }
                }
                PeerRequest::Propose(command) => {
                    let (sender, receiver) = oneshot::channel();
                    self.send_to_replica(replica::Propose(command, sender)).await;
                    answer_from_result(receiver.await.ok(), PeerResponse::Decided)
                }
                PeerRequest::ReadConfig { known_number } => {
                    let (sender, receiver) = oneshot::channel();
                    self.send_to_replica(replica::ReadConfig(known_number, sender)).await;
                    answer_from_result(receiver.await.ok(), PeerResponse::Config)
                }
                PeerRequest::ChangeReplicas(change) => {
                    let (sender, receiver) = oneshot::channel();
                    self.send_to_replica(replica::ChangeReplicas(change, sender)).await;
                    match receiver.await {
                        Ok(Err(ChangeError::NotLeader(other))) => {
                            PeerResponse::NotLeader(other.leader)
                        }
                        Ok(result) => PeerResponse::ReplicasChanged(
                            result.map_err(|error| change_error_message(error).into()),
                        ),
                        Err(_) => PeerResponse::Unavailable,
                    }
                }
                PeerRequest::Lookup { root } => {
                    if self.in_force().is_none() {
                        return PeerResponse::Unavailable;
                    }
                    PeerResponse::Kept(self.catalog.lock().lookup(root, boot_now()))
                }
                PeerRequest::Seen(seen) => self.record_answered_prompt(&seen),
                PeerRequest::Written(written) => {
                    self.catalog.lock().record_export(&written, boot_now());
                    PeerResponse::Done
                }
                PeerRequest::Share(demand) => self.grant_share(from, &demand),
                PeerRequest::Status => PeerResponse::Status(self.status_json().to_string()),
            }
        }
        .boxed()
    }
}

impl Node {
    /// Announces a dispatch to the other nodes, so that their load estimates of the engine include
    /// it before the engine's next report. Does nothing if there are many nodes.
    pub fn announce_dispatch(&self, dispatched: &Dispatched) {
        let others: Vec<NodeId> = {
            let view = self.membership_view.lock();
            view.live.iter().skip(1).map(|member| member.node).collect()
        };
        if others.len() < MAX_NODES_FOR_ANNOUNCEMENTS {
            others.iter().for_each(|node| self.links.send_dispatched(*node, dispatched.clone()));
        }
    }

    async fn send_to_replica<M>(&self, message: M)
    where
        M: Send + 'static,
        replica::Replica: xtra::Handler<M, Return = ()>,
    {
        if let Some(replica) = &self.replica {
            // If the actor has stopped, the sender in the message is dropped: the receiver fails.
            drop(replica.address.send(message).detach().await);
        }
    }

    async fn grant_as_leader(&self, child: NodeId, renew: &RenewLease) -> PeerResponse {
        if self.replica.is_none() {
            return PeerResponse::NotLeader(None);
        }
        let (sender, receiver) = oneshot::channel();
        let grant = replica::GrantLease {
            child,
            known_number: renew.known_number,
            acked: renew.subtree_number,
            sender,
        };
        self.send_to_replica(grant).await;
        match receiver.await {
            Ok(Ok(grant)) => self.grant_answer(grant, renew),
            Ok(Err(leader)) => PeerResponse::NotLeader(leader),
            Err(_) => PeerResponse::Unavailable,
        }
    }

    fn record_answered_prompt(&self, seen: &AnsweredPrompt) -> PeerResponse {
        if self.in_force().is_none() {
            return PeerResponse::Unavailable;
        }
        let fills = self.store_used_fractions();
        PeerResponse::Export(self.catalog.lock().record_answer(seen, &fills, boot_now()))
    }
}

fn answer_from_result<T>(
    result: Option<Result<T, ReplicaError>>,
    answer: impl Fn(T) -> PeerResponse,
) -> PeerResponse {
    match result {
        Some(Ok(value)) => answer(value),
        Some(Err(ReplicaError::NotLeader(leader))) => PeerResponse::NotLeader(leader),
        Some(Err(ReplicaError::OutcomeUnknown)) | None => PeerResponse::Unavailable,
    }
}

fn change_error_message(error: ChangeError) -> &'static str {
    match error {
        ChangeError::NotLeader(_) => "another node is the leader; retry",
        ChangeError::InProgress => "another change is not committed yet; retry in a moment",
        ChangeError::NotCaughtUp => "the learner has not caught up yet; retry in a moment",
        ChangeError::NotApplicable => "it is no replica, or has this role already; see the status",
        ChangeError::LastVoter => "the last voter can't be removed; add another voter first",
    }
}
