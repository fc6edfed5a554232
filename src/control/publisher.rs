//! Serves the peer port: receives frames from other replicas, publishes updates to entries, and
//! hands scheduler clients to the scheduler service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::deployment_schedule::DeploymentSchedule;
use super::entry_directory::{DirectoryRevision, PeerEntry};
use super::frames::{
    self, ConfirmId, Handshake, ReplicaFrame, StreamLookup, SubscriberRequest, Update, encode,
};
use super::replica::Input;
use super::roster_publisher::RosterPublisher;
use super::scheduler_service::SchedulerService;
use super::shared::Shared;
use crate::clock::{BootTime, boot_now};
use crate::deployment::document::DeploymentVersion;
use crate::fleet::evacuation::OrderRevision;
use crate::fleet::news::NewsRevision;
use crate::ids::DomainId;
use crate::log::Term;
use crate::net;
use crate::quarantine::Revision;
use crate::scheduler::weights::{self, RolloutHistories};

/// How often an entry gets a heartbeat, which tells it that its state is current.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// How often a replica that is not current checks again. Entries wait for its next heartbeat.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A replica that has not caught up with its leader for this long stops sending heartbeats, so that
/// entries fail over to another one. Covers several Raft heartbeats.
pub const MAX_STALENESS: Duration = Duration::from_millis(500);
/// Longest wait for the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection whose data is not acknowledged for this long is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(1);
/// Ages are resent for at least this long after a version was named, and longer if the replica's
/// own grace period for old weights is longer. Entries may be configured with another grace period.
const MIN_AGE_REPEAT_PERIOD: Duration = Duration::from_secs(30);

/// Accepts connections for as long as the process lives.
pub async fn accept(
    listener: TcpListener,
    scheduling: Rc<SchedulerService>,
    inputs: mpsc::Sender<Input>,
) {
    let spawn_connection = |stream| {
        let (scheduling, inputs) = (scheduling.clone(), inputs.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = serve(stream, scheduling, inputs).await {
                log::debug!("event=peer_gone reason={:?}", error.to_string());
            }
        });
    };
    net::for_each_connection(listener, spawn_connection).await;
}

async fn serve(
    stream: TcpStream,
    scheduling: Rc<SchedulerService>,
    inputs: mpsc::Sender<Input>,
) -> std::io::Result<()> {
    net::set_ack_timeout(&stream, UNACKED_TIMEOUT)?;
    // Nothing is sent to an entry that asks for no placements, and its open ones end with its connection.
    net::set_keep_alive(&stream)?;
    let (read, write) = stream.into_split();
    let mut read = BufReader::new(read);
    let handshake = frames::read(&mut read);
    let shared = &scheduling.shared;
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await?? {
        Handshake::Replica { node, ip, failure_domain } => {
            shared.links.host_reachable(ip);
            // What the sender told while its connection was lost has been dropped.
            shared.links.send(ip, encode(&ReplicaFrame::StreamsRequested));
            shared.domains.send_if_modified(|known| {
                known.insert(ip, failure_domain.clone()).as_ref() != Some(&failure_domain)
            });
            loop {
                let frame: ReplicaFrame = frames::read(&mut read).await?;
                if inputs.send(Input::Frame { node, ip, frame }).await.is_err() {
                    return Ok(());
                }
            }
        }
        Handshake::Entry { name, process, failure_domain, deployment, named } => {
            log::info!("event=entry_connected entry={name} failure_domain={failure_domain}");
            shared.observe_ages(named);
            shared.entry_connected(&name, process, &failure_domain);
            let sent = Sent::new(&name, &failure_domain, deployment);
            let ended = publish_to_entry(read, write, &scheduling, sent).await;
            shared.entry_disconnected(&name);
            log::info!(
                "event=entry_disconnected entry={name} reason={:?}",
                ended.err().map(|e| e.to_string())
            );
            Ok(())
        }
        Handshake::SchedulerClient { name, process } => {
            let ended = scheduling.serve(&name, process, read, write).await;
            log::info!(
                "event=scheduler_client_disconnected entry={name} reason={:?}",
                ended.err().map(|e| e.to_string())
            );
            Ok(())
        }
    }
}

/// Sends an entry the current state and then every change, until the connection ends.
async fn publish_to_entry(
    read: BufReader<OwnedReadHalf>,
    mut write: OwnedWriteHalf,
    scheduling: &SchedulerService,
    mut sent: Sent,
) -> std::io::Result<()> {
    let shared = &scheduling.shared;
    let repeat_period =
        scheduling.old_weights.longest().unwrap_or_default().max(MIN_AGE_REPEAT_PERIOD);
    let mut view = shared.view.subscribe();
    let mut roster = shared.roster.subscribe();
    let mut domains = shared.domains.subscribe();
    let mut hold_news = shared.hold_news.subscribe();
    let mut news = shared.news.subscribe();
    view.mark_changed();
    let mut roster_publisher = RosterPublisher::default();
    let mut incoming = pin!(next_request(read));
    let mut next_poll = Instant::now();
    loop {
        let mut bytes = Vec::new();
        let is_current = shared.is_current(MAX_STALENESS);
        tokio::select! {
            request = &mut incoming => {
                let (read, frame) = request?;
                match frame {
                    SubscriberRequest::SubscribeRoster(request) => {
                        roster_publisher.subscribe(request, shared)
                    }
                    SubscriberRequest::Quarantine(reports) => shared.observe_quarantine_of_entry(reports),
                    SubscriberRequest::News(news) => shared.observe_news(&news),
                    SubscriberRequest::DeploymentHeld(version) => sent.deployment.observe_held(version),
                    SubscriberRequest::Confirm(id) => sent.confirm = Some(id),
                    SubscriberRequest::Streams(told) => {
                        shared.stream_directory.told_by_entry(&told, boot_now());
                    }
                    SubscriberRequest::FindStream(lookup) => {
                        bytes.extend_from_slice(&stream_found(shared, &lookup));
                    }
                }
                incoming.set(next_request(read));
            }
            () = tokio::task::yield_now(), if is_current && roster_publisher.is_sending() => {}
            changed = domains.changed() => changed.map_err(std::io::Error::other)?,
            changed = view.changed() => changed.map_err(std::io::Error::other)?,
            changed = hold_news.changed() => changed.map_err(std::io::Error::other)?,
            changed = news.changed() => changed.map_err(std::io::Error::other)?,
            changed = roster.changed() => changed.map_err(std::io::Error::other)?,
            () = tokio::time::sleep_until(next_poll) => {
                if is_current {
                    sent.add_domains(shared, &mut bytes);
                    sent.repeat_ages(repeat_period, &mut bytes);
                    sent.add_peer_entries(shared, &mut bytes);
                    bytes.extend_from_slice(&heartbeat(shared));
                }
                next_poll =
                    Instant::now() + if is_current { HEARTBEAT_INTERVAL } else { POLL_INTERVAL };
            }
        }
        sent.add_changes(shared, roster_publisher.is_secondary(), &mut bytes);
        if shared.is_current(MAX_STALENESS)
            && let Some(frame) = roster_publisher.next_frame(shared)
        {
            bytes.extend_from_slice(&frame);
        }
        if !bytes.is_empty() {
            write.write_all(&bytes).await?;
        }
    }
}

/// Reads the next request of an entry.
async fn next_request(
    mut read: BufReader<OwnedReadHalf>,
) -> std::io::Result<(BufReader<OwnedReadHalf>, SubscriberRequest)> {
    let frame = frames::read(&mut read).await?;
    Ok((read, frame))
}

/// What was last sent to an entry, except for the roster.
#[derive(Default)]
struct Sent {
    /// The recipient.
    entry: String,
    failure_domain: DomainId,
    deployment: DeploymentSchedule,
    /// A confirmation request that has not been answered yet.
    confirm: Option<ConfirmId>,
    domains: BTreeMap<IpAddr, DomainId>,
    weights: RolloutHistories,
    /// Whether the ages sent last include one that is still within the repeat period.
    repeats_ages: bool,
    /// The leader and its term.
    leader: Option<(Term, IpAddr)>,
    /// The quarantine revision up to which holds were sent.
    holds: Revision,
    /// The revision of the news of targets that was sent.
    news: NewsRevision,
    /// Number of evacuation orders that were accepted when the evacuated domains were sent.
    evacuation_orders: OrderRevision,
    /// The revision of the entry directory from which the peer entries were chosen.
    directory: DirectoryRevision,
    peer_entries: Vec<PeerEntry>,
}

impl Sent {
    fn new(entry: &str, failure_domain: &DomainId, deployment: DeploymentVersion) -> Sent {
        Sent {
            entry: entry.to_string(),
            failure_domain: failure_domain.clone(),
            deployment: DeploymentSchedule::new(deployment),
            ..Sent::default()
        }
    }

    /// Appends everything that has changed since it was last sent and may be published now.
    fn add_changes(&mut self, shared: &Shared, is_secondary: bool, bytes: &mut Vec<u8>) {
        // Before anything else, since an entry starts to serve once it has received the rest.
        self.add_holds(shared, bytes);
        self.add_news(shared, bytes);
        // A replica that may be behind publishes nothing else to a new entry, which would begin to
        // serve with an outdated deployment.
        if shared.is_current(MAX_STALENESS) {
            self.add_domains(shared, bytes);
            self.add_leader(shared, bytes);
            self.add_weights(shared, bytes);
            self.add_evacuations(shared, bytes);
            self.add_deployment(shared, is_secondary, bytes);
            self.add_confirmation(shared, bytes);
        } else if self.deployment.held() > 0 {
            // Newer committed state is always safe for an entry that already has older state.
            self.add_evacuations(shared, bytes);
            self.add_deployment(shared, is_secondary, bytes);
        }
    }

    /// Appends the answer to a pending confirmation request. Comes after the deployment.
    fn add_confirmation(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        if let Some(id) = self.confirm.take() {
            let age = shared.caught_up_age();
            bytes.extend_from_slice(&encode(&Update::Confirmed { id, age }));
        }
    }

    /// Resends the ages while any version is younger than `repeat_period`. An entry counts an age
    /// from the moment of reading it, so a frame delayed in a socket makes a version look too
    /// young; the next frame corrects that.
    fn repeat_ages(&mut self, repeat_period: Duration, bytes: &mut Vec<u8>) {
        if !self.repeats_ages {
            return;
        }
        let now = boot_now();
        let is_young = |(_, since): (u64, BootTime)| now.saturating_sub(since) < repeat_period;
        self.repeats_ages = self.weights.values().any(|versions| versions.iter().any(is_young));
        bytes.extend_from_slice(&weights_update(&self.weights));
    }

    /// Appends the failure domains of replicas, by which entries choose where to subscribe to the
    /// roster.
    fn add_domains(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let domains = shared.domains.borrow();
        if self.domains != *domains {
            self.domains.clone_from(&domains);
            bytes.extend_from_slice(&encode(&Update::Domains(self.domains.clone())));
        }
    }

    /// Appends the entries that may forward requests for the recipient. Only with regular
    /// heartbeats: after an outage the directory changes with each entry that connects.
    fn add_peer_entries(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let directory = shared.entry_directory.borrow();
        if directory.revision() == self.directory {
            return;
        }
        self.directory = directory.revision();
        let sample = directory.sample(&self.entry, &self.failure_domain);
        if sample != self.peer_entries {
            self.peer_entries.clone_from(&sample);
            bytes.extend_from_slice(&encode(&Update::PeerEntries(sample)));
        }
    }

    /// Appends a heartbeat if the leader has changed. Prompts wait for the scheduler of the new
    /// leader, and waiting for the next regular heartbeat would use a tenth of their time budget.
    fn add_leader(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let leader = {
            let view = shared.view.borrow();
            view.leader.map(|leader| (view.term, leader))
        };
        if leader.is_some() && leader != self.leader {
            self.leader = leader;
            bytes.extend_from_slice(&heartbeat(shared));
        }
    }

    /// Appends requests whose holds have changed.
    fn add_holds(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let news = shared.hold_news.borrow();
        let known = shared.quarantine.borrow();
        if let Some(frame) = news.frame_after(&mut self.holds, &known, boot_now()) {
            bytes.extend_from_slice(&frame);
        }
    }

    /// Appends news of targets. Also sent without a leader: entries need them most while no scheduler
    /// paces targets.
    fn add_news(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let known = shared.news.borrow();
        let news = known.since(self.news, boot_now());
        self.news = known.revision();
        if !news.is_empty() {
            bytes.extend_from_slice(&encode(&Update::News(news)));
        }
    }

    /// Appends weight versions that the entry does not know. Comes before the deployment, since the
    /// entry must not place a prompt without them.
    fn add_weights(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let named = shared.named_since.borrow();
        if self.weights != *named {
            self.weights.clone_from(&named);
            self.repeats_ages = true;
            bytes.extend_from_slice(&weights_update(&named));
        }
    }

    /// Appends the evacuated failure domains if an order was accepted. Comes before the
    /// deployment, since an entry serves as soon as it has one.
    fn add_evacuations(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let view = shared.view.borrow();
        let evacuations = &view.state.evacuations;
        if evacuations.accepted() > self.evacuation_orders {
            self.evacuation_orders = evacuations.accepted();
            bytes.extend_from_slice(&encode(&Update::Evacuations(evacuations.clone())));
        }
    }

    /// Appends the newest deployment known here if the entry should be sent it now.
    fn add_deployment(&mut self, shared: &Shared, is_secondary: bool, bytes: &mut Vec<u8>) {
        let view = shared.view.borrow();
        let Some(published) = &view.state.published else { return };
        let newest = published.version();
        let awaits_confirmation = self.confirm.is_some();
        if self.deployment.should_send(newest, is_secondary, awaits_confirmation, boot_now()) {
            self.deployment.observe_held(newest);
            bytes.extend_from_slice(&shared.deployment_frame(&published.deployment));
        }
    }
}

fn weights_update(named: &RolloutHistories) -> std::sync::Arc<[u8]> {
    encode(&Update::Weights(weights::ages(named, boot_now())))
}

/// Answers a lookup also without a leader: the stream may be remembered.
fn stream_found(shared: &Shared, lookup: &StreamLookup) -> std::sync::Arc<[u8]> {
    let is_current = shared.is_current(MAX_STALENESS);
    let answer = shared.stream_directory.find(lookup, is_current, boot_now());
    encode(&Update::StreamFound { id: lookup.id, answer })
}

fn heartbeat(shared: &Shared) -> std::sync::Arc<[u8]> {
    let view = shared.view.borrow();
    let replicas: BTreeSet<_> = view.state.replica_addresses.values().copied().collect();
    let entries = shared.entry_count.get().map(|entries| entries.max(1));
    encode(&Update::Heartbeat { replicas, entries, leader: view.leader, term: view.term })
}
