//! Asks the scheduler at the leading replica.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::control::frames::{self, FromEntry, Introduction, SchedulerError, ToEntry, encode};
use crate::log::Term;
use crate::net;
use crate::scheduler::{End, Placed, PlacementEvent, PlacementRequest};

/// An answer takes one or two milliseconds. After this time the entry decides alone.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// After an answer that did not come in time, nothing is asked for this long.
const PAUSE_AFTER_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection whose bytes are not acknowledged for this long is given up.
const UNACKNOWLEDGED: Duration = Duration::from_millis(500);
/// Frames that wait for the connection.
const QUEUE_LEN: usize = 512;
/// Pause before a leader that could not be reached is tried again.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// While nothing schedules, a prompt waits for this part of its objective, and at least for so long: an
/// election takes some 50 to 600 ms. An entry that decides alone does not know what is resident where, and
/// fetches nothing: the contexts of most of its prompts are read again (3,000 tokens each, measured), and
/// engines are busy with that when the scheduler is back.
const HELD_PART: f64 = 0.4;
const HELD_AT_LEAST: Duration = Duration::from_millis(200);
/// It waits for at most this part of the time that its caller has left.
const HELD_PART_OF_TIME_LEFT: u32 = 3;
/// After this time without answers nobody waits any more: the replicas are gone, not between two leaders.
const RETURNS_WITHIN: Duration = Duration::from_secs(1);
/// How often it is asked again meanwhile.
const ASK_AGAIN_EVERY: Duration = Duration::from_millis(30);

type Answer = Result<Placed, SchedulerError>;

/// What the scheduler says to an ask.
enum Reply {
    Queued,
    Placed(Box<Answer>),
}

/// An ask that is not answered yet. The scheduler is told when nobody waits any more.
struct Pending<'a> {
    asking: &'a SchedulerClient,
    number: u64,
    answers: mpsc::Receiver<Reply>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        let is_open = self.asking.waiting.borrow_mut().remove(&self.number).is_some();
        self.answers.close();
        // An answer that came too late is in the channel, or finds nobody later.
        while let Ok(reply) = self.answers.try_recv() {
            if let Reply::Placed(answer) = reply
                && let Ok(placed) = *answer
            {
                self.asking.give_back(&placed);
            }
        }
        if is_open {
            self.asking.send(&FromEntry::Withdraw(self.number));
        }
    }
}

/// The connection to the scheduler.
#[derive(Default)]
pub struct SchedulerClient {
    outgoing: RefCell<Option<mpsc::Sender<Arc<[u8]>>>>,
    waiting: RefCell<HashMap<u64, mpsc::Sender<Reply>>>,
    next: Cell<u64>,
    paused_until: Cell<BootTime>,
    /// Rings when a connection is made.
    connected: Notify,
    /// Since when asks are not answered; `None` while they are.
    absent_since: Cell<Option<BootTime>>,
}

impl SchedulerClient {
    /// Asks where a prompt runs; `None` if there is no answer in time. While nothing schedules, it waits
    /// for a scheduler for a part of the prompt's objective.
    pub async fn ask(&self, ask: PlacementRequest) -> Option<Answer> {
        let until = Instant::now() + hold_timeout(&ask);
        loop {
            match self.ask_once(ask.clone()).await {
                None | Some(Err(SchedulerError::NotScheduling)) => {}
                answered => {
                    self.absent_since.set(None);
                    return answered;
                }
            }
            let absent_since = self.absent_since.get().unwrap_or_else(boot_now);
            self.absent_since.set(Some(absent_since));
            let is_expired = boot_now() >= absent_since + RETURNS_WITHIN;
            let left = until.saturating_duration_since(Instant::now());
            if is_expired || left.is_zero() {
                return None;
            }
            // Whichever comes first: a connection is made, or a replica may have begun to schedule.
            let _ =
                tokio::time::timeout(left.min(ASK_AGAIN_EVERY), self.connected.notified()).await;
        }
    }

    /// Since when asks are not answered; `None` while they are.
    pub fn absent_since(&self) -> Option<BootTime> {
        self.absent_since.get()
    }

    async fn ask_once(&self, ask: PlacementRequest) -> Option<Answer> {
        if boot_now() < self.paused_until.get() {
            return None;
        }
        let most = ask.time_left;
        let mut pending = self.pending();
        if !self.send(&FromEntry::Place(pending.number, ask)) {
            return None;
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, pending.answers.recv()).await {
            Ok(Some(Reply::Placed(answer))) => return Some(*answer),
            Ok(Some(Reply::Queued)) => {}
            Ok(None) => return None,
            Err(_) => {
                log::warn!("event=scheduler_timeout waited_ms={}", ANSWER_TIMEOUT.as_millis());
                self.paused_until.set(boot_now() + PAUSE_AFTER_TIMEOUT);
                return None;
            }
        }
        match tokio::time::timeout(most, pending.answers.recv()).await {
            Ok(Some(Reply::Placed(answer))) => Some(*answer),
            _ => None,
        }
    }

    fn pending(&self) -> Pending<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, answers) = mpsc::channel(2);
        self.waiting.borrow_mut().insert(number, sender);
        Pending { asking: self, number, answers }
    }

    /// Tells what became of a placement. It is lost if there is no connection: the scheduler forgets
    /// the placement by itself.
    pub fn tell(&self, note: PlacementEvent) {
        self.send(&FromEntry::Event(note));
    }

    /// Gives back a placement that is not used.
    pub fn give_back(&self, placed: &Placed) {
        self.tell(PlacementEvent::Ended { ticket: placed.ticket, end: End::NotRun });
    }

    fn send(&self, frame: &FromEntry) -> bool {
        let outgoing = self.outgoing.borrow();
        outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(encode(frame)).is_ok())
    }
}

/// How long a prompt waits for a scheduler.
fn hold_timeout(ask: &PlacementRequest) -> Duration {
    let held = ask.objective.mul_f64(HELD_PART).max(HELD_AT_LEAST);
    held.min(ask.time_left / HELD_PART_OF_TIME_LEFT)
}

/// Keeps connected to the replica that leads, for as long as the process lives.
pub async fn keep_connected(gateway: Rc<Gateway>) {
    loop {
        let Some(named) = gateway.named_leader() else {
            let _ = tokio::time::timeout(TRY_AGAIN_AFTER, gateway.leader_changed.notified()).await;
            continue;
        };
        let ended = connected(&gateway, named).await;
        *gateway.scheduler.outgoing.borrow_mut() = None;
        gateway.scheduler.waiting.borrow_mut().clear();
        let reason = ended.err().map(|error| error.to_string());
        log::info!("event=scheduler_disconnected replica={} reason={reason:?}", named.0);
        // A leader that is not reached is tried again after a pause; another one at once.
        let _ = tokio::time::timeout(TRY_AGAIN_AFTER, is_replaced(&gateway, named)).await;
    }
}

async fn connected(gateway: &Rc<Gateway>, named: (IpAddr, Term)) -> std::io::Result<()> {
    let to = SocketAddr::new(named.0, gateway.host.peer_port);
    let stream = net::connect(to, CONNECT_TIMEOUT, UNACKNOWLEDGED).await?;
    let (read, mut write) = stream.into_split();
    let introduction = Introduction::SchedulerClient { name: gateway.host.name.clone() };
    write.write_all(&encode(&introduction)).await?;
    let (sender, mut outgoing) = mpsc::channel::<Arc<[u8]>>(QUEUE_LEN);
    *gateway.scheduler.outgoing.borrow_mut() = Some(sender);
    gateway.scheduler.paused_until.set(BootTime::ZERO);
    gateway.scheduler.connected.notify_waiters();
    log::info!("event=scheduler_connected replica={} term={}", named.0, named.1);
    let writing = async {
        while let Some(frame) = outgoing.recv().await {
            write.write_all(&frame).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    tokio::select! {
        ended = writing => ended,
        ended = dispatch_answers(gateway, read) => ended,
        () = is_replaced(gateway, named) => Ok(()),
    }
}

async fn dispatch_answers(gateway: &Gateway, read: OwnedReadHalf) -> std::io::Result<()> {
    let mut read = BufReader::new(read);
    loop {
        let (number, reply) = match frames::read(&mut read).await? {
            ToEntry::Queued(number) => (number, Reply::Queued),
            ToEntry::Placed(number, answer) => (number, Reply::Placed(Box::new(answer))),
        };
        let is_last = matches!(reply, Reply::Placed(_));
        let waiting = match is_last {
            true => gateway.scheduler.waiting.borrow_mut().remove(&number),
            false => gateway.scheduler.waiting.borrow().get(&number).cloned(),
        };
        let unwanted = match waiting {
            Some(waiting) => waiting.try_send(reply).err().map(|error| error.into_inner()),
            None => Some(reply),
        };
        // Nobody waits any more: the caller has left, or the entry has decided alone.
        if let Some(Reply::Placed(answer)) = unwanted
            && let Ok(placed) = *answer
        {
            gateway.scheduler.give_back(&placed);
        }
    }
}

/// Ends once another replica leads, or the same one in another term.
async fn is_replaced(gateway: &Gateway, named: (IpAddr, Term)) {
    while gateway.named_leader() == Some(named) {
        // A change that comes just before is seen after the pause.
        let _ = tokio::time::timeout(TRY_AGAIN_AFTER, gateway.leader_changed.notified()).await;
    }
}
