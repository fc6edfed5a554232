//! Serves connections from other replicas and from entries at the port for peers.

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

use super::frames::{self, ConfirmId, FromSubscriber, Introduction, ToReplica, Update, encode};
use super::list_publisher::ListPublisher;
use super::replica::Input;
use super::scheduling::Scheduling;
use super::shared::Shared;
use crate::clock::{BootTime, boot_now};
use crate::deployment::document::DeploymentVersion;
use crate::ids::DomainId;
use crate::log::Term;
use crate::net;
use crate::quarantine::Revision;
use crate::scheduler::weights::{self, RolloutHistories};

/// How often an entry gets a heartbeat: what it knows is current.
pub const HEARTBEAT_EVERY: Duration = Duration::from_millis(250);
/// How often a replica that may be behind looks whether it still is: entries wait for its heartbeat.
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// A replica that has not been confirmed by its leader for this long sends no heartbeats, so that entries turn to
/// another one. Several heartbeats of the log.
pub const CURRENT_WITHIN: Duration = Duration::from_millis(500);
/// Longest time for the first frame.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection whose bytes are not acknowledged for this long is given up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(1);
/// Ages of namings are repeated until they are beyond this and each bound that is known here: an
/// entry's bound is its own.
const AGES_REPEATED_FOR: Duration = Duration::from_secs(30);

/// Accepts connections for as long as the process lives.
pub async fn accept(
    listener: TcpListener,
    scheduling: Rc<Scheduling>,
    inputs: mpsc::Sender<Input>,
) {
    let take = |stream| {
        let (scheduling, inputs) = (scheduling.clone(), inputs.clone());
        tokio::task::spawn_local(async move {
            if let Err(error) = serve(stream, scheduling, inputs).await {
                log::debug!("event=peer_gone reason={:?}", error.to_string());
            }
        });
    };
    net::for_each_connection(listener, take).await;
}

async fn serve(
    stream: TcpStream,
    scheduling: Rc<Scheduling>,
    inputs: mpsc::Sender<Input>,
) -> std::io::Result<()> {
    net::set_ack_timeout(&stream, UNACKNOWLEDGED)?;
    let (read, write) = stream.into_split();
    let mut read = BufReader::new(read);
    let introduction = frames::read(&mut read);
    let shared = &scheduling.shared;
    match tokio::time::timeout(INTRODUCTION_TIMEOUT, introduction).await?? {
        Introduction::Replica { node, ip, failure_domain } => {
            shared.links.heard(ip);
            shared.domains.send_if_modified(|known| {
                known.insert(ip, failure_domain.clone()).as_ref() != Some(&failure_domain)
            });
            loop {
                let frame: ToReplica = frames::read(&mut read).await?;
                if inputs.send(Input::Frame { node, ip, frame }).await.is_err() {
                    return Ok(());
                }
            }
        }
        Introduction::Entry { name, failure_domain, deployment, named } => {
            log::info!("event=entry_connected entry={name} failure_domain={failure_domain}");
            shared.observe_ages(named);
            *shared.own_entries.borrow_mut().entry(name.clone()).or_default() += 1;
            let ended = publish_to_entry(read, write, &scheduling, deployment).await;
            let mut entries = shared.own_entries.borrow_mut();
            if let Some(count) = entries.get_mut(&name) {
                *count -= 1;
            }
            entries.retain(|_, count| *count > 0);
            log::info!(
                "event=entry_disconnected entry={name} reason={:?}",
                ended.err().map(|e| e.to_string())
            );
            Ok(())
        }
        Introduction::SchedulerClient { name } => {
            let ended = scheduling.serve(read, write).await;
            log::info!(
                "event=scheduler_client_disconnected entry={name} reason={:?}",
                ended.err().map(|e| e.to_string())
            );
            Ok(())
        }
    }
}

/// Publishes all that there is to know to an entry, and then what changes, until it goes.
async fn publish_to_entry(
    read: BufReader<OwnedReadHalf>,
    mut write: OwnedWriteHalf,
    scheduling: &Scheduling,
    deployment: DeploymentVersion,
) -> std::io::Result<()> {
    let shared = &scheduling.shared;
    let repeated_for = scheduling.old_weights.last().unwrap_or_default().max(AGES_REPEATED_FOR);
    let mut belief = shared.belief.subscribe();
    let mut roster = shared.roster.subscribe();
    let mut domains = shared.domains.subscribe();
    let mut suspects = shared.suspects.subscribe();
    belief.mark_changed();
    let mut sent = Sent { version: deployment, ..Sent::default() };
    let mut list = ListPublisher::default();
    let mut request = pin!(next_request(read));
    let mut next_look = Instant::now();
    loop {
        let mut bytes = Vec::new();
        let is_current = shared.is_current(CURRENT_WITHIN);
        tokio::select! {
            asked = &mut request => {
                let (read, frame) = asked?;
                match frame {
                    FromSubscriber::FollowTargets(asked) => list.subscribe(asked, shared),
                    FromSubscriber::Quarantine(reports) => shared.observe_quarantine(reports),
                    FromSubscriber::Confirm(id) => sent.confirm = Some(id),
                }
                request.set(next_request(read));
            }
            () = tokio::task::yield_now(), if is_current && list.is_sending() => {}
            changed = domains.changed() => changed.map_err(std::io::Error::other)?,
            changed = belief.changed() => changed.map_err(std::io::Error::other)?,
            changed = suspects.changed() => changed.map_err(std::io::Error::other)?,
            changed = roster.changed() => changed.map_err(std::io::Error::other)?,
            () = tokio::time::sleep_until(next_look) => {
                if is_current {
                    sent.add_domains(shared, &mut bytes);
                    sent.repeat_ages(repeated_for, &mut bytes);
                    bytes.extend_from_slice(&heartbeat(shared));
                }
                next_look = Instant::now() + if is_current { HEARTBEAT_EVERY } else { LOOK_EVERY };
            }
        }
        sent.add_changes(shared, &mut bytes);
        if shared.is_current(CURRENT_WITHIN)
            && let Some(frame) = list.next_frame(shared)
        {
            bytes.extend_from_slice(&frame);
        }
        if !bytes.is_empty() {
            write.write_all(&bytes).await?;
        }
    }
}

/// What an entry sends next.
async fn next_request(
    mut read: BufReader<OwnedReadHalf>,
) -> std::io::Result<(BufReader<OwnedReadHalf>, FromSubscriber)> {
    let frame = frames::read(&mut read).await?;
    Ok((read, frame))
}

/// What an entry was sent last, but for the list of targets.
#[derive(Default)]
struct Sent {
    version: DeploymentVersion,
    /// A request for a confirmation that has no answer yet.
    confirm: Option<ConfirmId>,
    domains: BTreeMap<IpAddr, DomainId>,
    weights: RolloutHistories,
    /// Whether an age that was sent last is one that a bound may depend on.
    repeats_ages: bool,
    /// Who leads, and in which term.
    leader: Option<(Term, IpAddr)>,
    /// What was known of requests under which targets have ended.
    quarantine: Revision,
}

impl Sent {
    /// Adds what has changed since it was last sent, as far as this replica may publish it.
    fn add_changes(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        // Before an entry that has just started knows what it needs to serve.
        self.add_quarantine(shared, bytes);
        // What this replica has is published only once it is sure not to be behind: an entry that has
        // just started would otherwise act on an old deployment.
        if shared.is_current(CURRENT_WITHIN) {
            self.add_domains(shared, bytes);
            self.add_leader(shared, bytes);
            self.add_weights(shared, bytes);
            self.add_deployment(shared, bytes);
            self.add_confirmation(shared, bytes);
        } else if self.version > 0 {
            // What is committed stays so: for an entry that serves by an older one it is never wrong.
            self.add_deployment(shared, bytes);
        }
    }

    /// Confirms that the entry was sent the newest deployment, if it waits for that.
    fn add_confirmation(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        if let Some(id) = self.confirm.take() {
            let age = shared.caught_up_age();
            bytes.extend_from_slice(&encode(&Update::Confirmed { id, age }));
        }
    }

    /// Repeats ages that a bound may depend on, until they have been sent beyond it. They count from
    /// when the entry reads them: what has lain in a socket meanwhile makes namings too young for good.
    fn repeat_ages(&mut self, repeated_for: Duration, bytes: &mut Vec<u8>) {
        if !self.repeats_ages {
            return;
        }
        let now = boot_now();
        let is_young = |(_, since): (u64, BootTime)| now.saturating_sub(since) < repeated_for;
        self.repeats_ages = self.weights.values().any(|namings| namings.iter().any(is_young));
        bytes.extend_from_slice(&weights_update(&self.weights));
    }

    /// Adds in which failure domains replicas are, which decides where the list of targets is asked for.
    fn add_domains(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let domains = shared.domains.borrow();
        if self.domains != *domains {
            self.domains.clone_from(&domains);
            bytes.extend_from_slice(&encode(&Update::Domains(self.domains.clone())));
        }
    }

    /// Adds who leads, if another one does than before: prompts wait for its scheduler, a tenth of their
    /// time until the next heartbeat.
    fn add_leader(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let leader = {
            let belief = shared.belief.borrow();
            belief.leader.map(|leader| (belief.term, leader))
        };
        if leader.is_some() && leader != self.leader {
            self.leader = leader;
            bytes.extend_from_slice(&heartbeat(shared));
        }
    }

    /// Adds requests under which several targets have ended.
    fn add_quarantine(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let known = shared.quarantine.borrow();
        let reports = known.suspects_since(self.quarantine, boot_now());
        self.quarantine = known.revision();
        if !reports.is_empty() {
            bytes.extend_from_slice(&encode(&Update::Quarantine(reports)));
        }
    }

    /// Adds named weights that the entry does not know yet. Before what it needs to serve: it must not place a
    /// prompt without knowing them.
    fn add_weights(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let named = shared.named_since.borrow();
        if self.weights != *named {
            self.weights.clone_from(&named);
            self.repeats_ages = true;
            bytes.extend_from_slice(&weights_update(&named));
        }
    }

    /// Adds the newest deployment that is committed, as far as this replica knows, if the entry has an older one.
    fn add_deployment(&mut self, shared: &Shared, bytes: &mut Vec<u8>) {
        let belief = shared.belief.borrow();
        if let Some(published) = &belief.state.published
            && published.version() > self.version
        {
            self.version = published.version();
            bytes.extend_from_slice(&encode(&Update::Deployment(published.deployment.clone())));
        }
    }
}

fn weights_update(named: &RolloutHistories) -> std::sync::Arc<[u8]> {
    encode(&Update::Weights(weights::ages(named, boot_now())))
}

fn heartbeat(shared: &Shared) -> std::sync::Arc<[u8]> {
    let belief = shared.belief.borrow();
    let replicas: BTreeSet<_> = belief.state.places.values().copied().collect();
    let entries = shared.entries.get().map(|entries| entries.max(1));
    encode(&Update::Heartbeat { replicas, entries, leader: belief.leader, term: belief.term })
}
