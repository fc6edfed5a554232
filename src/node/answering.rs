//! Answers other nodes.

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
use crate::replica::{self, Undecided};
use crate::whereabouts::Seen;

/// Nodes among which each dispatch is told to all others, at the most.
const NODES_TOLD: usize = 16;

impl PeerHandler for Node {
    fn handle_log_message(&self, from: NodeId, message: Message) {
        if let Some(replica) = &self.replica {
            let sending = replica.address.send(replica::FromPeer(from, message)).detach();
            // An unbounded mailbox takes it at once; it is gone only when the process ends.
            drop(sending.now_or_never());
        }
    }

    fn handle_dispatched(&self, dispatched: &Dispatched) {
        self.router.lock().take_dispatched(dispatched, boot_now());
    }

    fn handle_request(
        self: Arc<Node>,
        from: NodeId,
        ask: PeerRequest,
    ) -> BoxFuture<'static, PeerResponse> {
        async move {
            match ask {
                PeerRequest::RenewLease(mut renew) => {
                    self.observe_quarantine(std::mem::take(&mut renew.quarantine));
                    match renew.as_relay {
                        true => self.grant_as_relay(from, &renew),
                        false => self.grant_as_leader(from, &renew).await,
                    }
                }
                PeerRequest::Propose(command) => {
                    let (sender, decided) = oneshot::channel();
                    self.tell_replica(replica::Propose(command, sender)).await;
                    decision(decided.await.ok(), PeerResponse::Decided)
                }
                PeerRequest::ReadConfig { known_number } => {
                    let (sender, read) = oneshot::channel();
                    self.tell_replica(replica::ReadConfig(known_number, sender)).await;
                    decision(read.await.ok(), PeerResponse::Config)
                }
                PeerRequest::ChangeReplicas(change) => {
                    let (sender, changed) = oneshot::channel();
                    self.tell_replica(replica::ChangeReplicas(change, sender)).await;
                    match changed.await {
                        Ok(Err(ChangeError::NotLeader(other))) => {
                            PeerResponse::NotLeader(other.leader)
                        }
                        Ok(result) => PeerResponse::ReplicasChanged(
                            result.map_err(|error| remedy(error).into()),
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
                PeerRequest::Seen(seen) => self.take_seen(&seen),
                PeerRequest::Written(written) => {
                    self.catalog.lock().written(&written, boot_now());
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
    /// Tells the other nodes of a dispatch, so that they don't choose the same engine for want of
    /// news. Beyond a few nodes that costs more than it saves.
    pub fn tell_dispatched(&self, dispatched: &Dispatched) {
        let others: Vec<NodeId> = {
            let known = self.known.lock();
            known.live.iter().skip(1).map(|member| member.node).collect()
        };
        if others.len() < NODES_TOLD {
            others.iter().for_each(|node| self.links.send_dispatched(*node, dispatched.clone()));
        }
    }

    async fn tell_replica<M>(&self, message: M)
    where
        M: Send + 'static,
        replica::Replica: xtra::Handler<M, Return = ()>,
    {
        if let Some(replica) = &self.replica {
            // If the actor is gone, the sender in the message is dropped, which tells the asker.
            drop(replica.address.send(message).detach().await);
        }
    }

    async fn grant_as_leader(&self, child: NodeId, renew: &RenewLease) -> PeerResponse {
        let Some(replica) = &self.replica else { return PeerResponse::NotLeader(None) };
        let grant = replica::Grant { child, has: renew.known_number, acked: renew.subtree_number };
        match replica.address.send(grant).await {
            Ok(Ok(grant)) => self.granted(grant, renew),
            Ok(Err(leader)) => PeerResponse::NotLeader(leader),
            Err(_) => PeerResponse::Unavailable,
        }
    }

    fn take_seen(&self, seen: &Seen) -> PeerResponse {
        if self.in_force().is_none() {
            return PeerResponse::Unavailable;
        }
        let fills = self.store_fills();
        PeerResponse::Export(self.catalog.lock().seen(seen, &fills, boot_now()))
    }
}

fn decision<T>(
    result: Option<Result<T, Undecided>>,
    answer: impl Fn(T) -> PeerResponse,
) -> PeerResponse {
    match result {
        Some(Ok(value)) => answer(value),
        Some(Err(Undecided::NotLeader(leader))) => PeerResponse::NotLeader(leader),
        Some(Err(Undecided::Unknown)) | None => PeerResponse::Unavailable,
    }
}

fn remedy(error: ChangeError) -> &'static str {
    match error {
        ChangeError::NotLeader(_) => "another node leads; ask again",
        ChangeError::InProgress => "another change is not committed yet; ask again in a moment",
        ChangeError::NotCaughtUp => "the learner has not caught up yet; ask again in a moment",
        ChangeError::NotApplicable => "the node is one already, or is none; see the status",
        ChangeError::LastVoter => "the last voter can't be removed; add another one first",
    }
}
