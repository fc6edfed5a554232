//! Asks the scheduler at the leading replica.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};

use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::control::frames::{self, FromEntry, Introduction, PlaceError, ToEntry, encode};
use crate::net;
use crate::scheduler::{Ask, Note, Placed};

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

/// The connection to the scheduler.
#[derive(Default)]
pub struct Asking {
    outgoing: RefCell<Option<mpsc::Sender<Arc<[u8]>>>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    next: Cell<u64>,
    paused_until: Cell<BootTime>,
}

impl Asking {
    /// Asks where a prompt runs; `None` if there is no answer in time.
    pub async fn ask(&self, ask: Ask) -> Option<Answer> {
        if boot_now() < self.paused_until.get() {
            return None;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        if !self.send(&FromEntry::Ask(number, ask)) {
            self.waiting.borrow_mut().remove(&number);
            return None;
        }
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.waiting.borrow_mut().remove(&number);
        match answer {
            Ok(answer) => answer.ok(),
            Err(_) => {
                log::warn!("event=scheduler_late waited_ms={}", ANSWER_TIMEOUT.as_millis());
                self.paused_until.set(boot_now() + PAUSE_AFTER_TIMEOUT);
                None
            }
        }
    }

    /// Tells what became of a placement. It is lost if there is no connection: the scheduler forgets
    /// the placement by itself.
    pub fn tell(&self, note: Note) {
        self.send(&FromEntry::Note(note));
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
        let ToEntry::Placed(number, answer) = frames::read(&mut read).await?;
        let waiting = gateway.asking.waiting.borrow_mut().remove(&number);
        match (waiting, answer) {
            (Some(waiting), answer) => drop(waiting.send(answer)),
            // Nobody waits any more: the entry has decided alone.
            (None, Ok(placed)) => {
                let end = crate::scheduler::End::NotRun;
                gateway.asking.tell(Note::Ended { ticket: placed.ticket, end });
            }
            (None, Err(_)) => {}
        }
    }
}

/// Ends once another replica leads.
async fn is_replaced(gateway: &Gateway, leader: IpAddr) {
    while gateway.leader.get().is_none_or(|now| now == leader) {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
