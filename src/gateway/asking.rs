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

use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::control::frames::{self, FromEntry, Introduction, PlaceError, ToEntry, encode};
use crate::net;
use crate::scheduler::{Ask, End, Note, Placed};

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
/// How often it is looked whether another replica leads.
const LOOK_EVERY: Duration = Duration::from_millis(50);

type Answer = Result<Placed, PlaceError>;

/// What the scheduler says to an ask.
enum Reply {
    Queued,
    Placed(Box<Answer>),
}

/// An ask that is not answered yet. The scheduler is told when nobody waits any more.
struct Pending<'a> {
    asking: &'a Asking,
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
pub struct Asking {
    outgoing: RefCell<Option<mpsc::Sender<Arc<[u8]>>>>,
    waiting: RefCell<HashMap<u64, mpsc::Sender<Reply>>>,
    next: Cell<u64>,
    paused_until: Cell<BootTime>,
    /// Rings when a connection is made.
    connected: Notify,
    /// Whether there ever was a connection.
    was_connected: Cell<bool>,
}

impl Asking {
    /// Asks where a prompt runs; `None` if there is no answer in time.
    pub async fn ask(&self, ask: Ask) -> Option<Answer> {
        if boot_now() < self.paused_until.get() {
            return None;
        }
        let most = ask.time_left;
        let mut pending = self.pending();
        if !self.send(&FromEntry::Ask(pending.number, ask)) {
            return None;
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, pending.answers.recv()).await {
            Ok(Some(Reply::Placed(answer))) => return Some(*answer),
            Ok(Some(Reply::Queued)) => {}
            Ok(None) => return None,
            Err(_) => {
                log::warn!("event=scheduler_late waited_ms={}", ANSWER_TIMEOUT.as_millis());
                self.paused_until.set(boot_now() + PAUSE_AFTER_TIMEOUT);
                return None;
            }
        }
        match tokio::time::timeout(most, pending.answers.recv()).await {
            Ok(Some(Reply::Placed(answer))) => Some(*answer),
            _ => None,
        }
    }

    /// Waits for the first connection, for so long at the most. An entry that has just started would
    /// otherwise place all that has waited for it alone, not knowing what is where.
    pub async fn until_connected_once(&self, at_most: Duration) {
        if !self.was_connected.get() {
            // Whoever waited in vain is placed by the entry.
            let _ = tokio::time::timeout(at_most, self.connected.notified()).await;
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
    pub fn tell(&self, note: Note) {
        self.send(&FromEntry::Note(note));
    }

    /// Gives back a placement that is not used.
    pub fn give_back(&self, placed: &Placed) {
        self.tell(Note::Ended { ticket: placed.ticket, end: End::NotRun });
    }

    fn send(&self, frame: &FromEntry) -> bool {
        let outgoing = self.outgoing.borrow();
        outgoing.as_ref().is_some_and(|outgoing| outgoing.try_send(encode(frame)).is_ok())
    }
}

/// Keeps connected to the replica that leads, for as long as the process lives.
pub async fn keep_connected(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let Some(leader) = gateway.leader.get() else { continue };
        let ended = connected(&gateway, leader).await;
        *gateway.asking.outgoing.borrow_mut() = None;
        gateway.asking.waiting.borrow_mut().clear();
        let reason = ended.err().map(|error| error.to_string());
        log::info!("event=scheduler_lost replica={leader} reason={reason:?}");
    }
}

async fn connected(gateway: &Rc<Gateway>, leader: IpAddr) -> std::io::Result<()> {
    let to = SocketAddr::new(leader, gateway.host.peer_port);
    let stream = net::connect(to, CONNECT_TIMEOUT, UNACKNOWLEDGED).await?;
    let (read, mut write) = stream.into_split();
    let introduction = Introduction::Asker { name: gateway.host.name.clone() };
    write.write_all(&encode(&introduction)).await?;
    let (sender, mut outgoing) = mpsc::channel::<Arc<[u8]>>(QUEUE_LEN);
    *gateway.asking.outgoing.borrow_mut() = Some(sender);
    gateway.asking.was_connected.set(true);
    gateway.asking.connected.notify_waiters();
    log::info!("event=scheduler_found replica={leader}");
    let writing = async {
        while let Some(frame) = outgoing.recv().await {
            write.write_all(&frame).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    tokio::select! {
        ended = writing => ended,
        ended = take_answers(gateway, read) => ended,
        () = is_replaced(gateway, leader) => Ok(()),
    }
}

async fn take_answers(gateway: &Gateway, read: OwnedReadHalf) -> std::io::Result<()> {
    let mut read = BufReader::new(read);
    loop {
        let (number, reply) = match frames::read(&mut read).await? {
            ToEntry::Queued(number) => (number, Reply::Queued),
            ToEntry::Placed(number, answer) => (number, Reply::Placed(Box::new(answer))),
        };
        let is_last = matches!(reply, Reply::Placed(_));
        let waiting = match is_last {
            true => gateway.asking.waiting.borrow_mut().remove(&number),
            false => gateway.asking.waiting.borrow().get(&number).cloned(),
        };
        let unwanted = match waiting {
            Some(waiting) => waiting.try_send(reply).err().map(|error| error.into_inner()),
            None => Some(reply),
        };
        // Nobody waits any more: the caller has left, or the entry has decided alone.
        if let Some(Reply::Placed(answer)) = unwanted
            && let Ok(placed) = *answer
        {
            gateway.asking.give_back(&placed);
        }
    }
}

/// Ends once another replica leads.
async fn is_replaced(gateway: &Gateway, leader: IpAddr) {
    while gateway.leader.get().is_none_or(|now| now == leader) {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
