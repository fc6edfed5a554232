//! Who answers an attempt: a target, or another entry on its behalf.

use std::net::IpAddr;
use std::rc::Rc;

use http::Response;
use http::header::TRANSFER_ENCODING;
use hyper::body::{Body, Incoming};

use super::handover::Recipient;
use super::in_flight::InFlightRequest;
use super::metadata::ResponseMetadata;
use super::pool::Connection;
use super::request_record::RequestRecord;
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use super::termination;
use crate::clock::{BootTime, boot_now};
use crate::fleet::FailureCause;
use crate::ids::TargetStart;
use crate::scheduler::EndReason;

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, or by the last chunk.
    Marked,
    /// By the end of its connection, which a terminating target causes as well.
    Connection,
}

impl Framing {
    /// The framing of a response, of which only the head has been read.
    pub fn of(response: &Response<Incoming>) -> Framing {
        let is_chunked = response.headers().contains_key(TRANSFER_ENCODING);
        match response.body().size_hint().exact() {
            None if !is_chunked => Framing::Connection,
            _ => Framing::Marked,
        }
    }
}

/// The sender of a response, until the response has been relayed.
pub enum Responder {
    Target {
        target: TargetStart,
        in_flight: InFlightRequest,
    },
    /// Another entry, which accounts for the request at the target.
    Entry(ForwardedRequest),
}

/// A request that another entry forwards. It counts as running there until this is dropped.
pub struct ForwardedRequest {
    gateway: Rc<Gateway>,
    pub ip: IpAddr,
    /// The target that the other entry names; `None` before it has answered.
    pub target: Option<TargetStart>,
}

impl ForwardedRequest {
    pub fn new(gateway: &Rc<Gateway>, ip: IpAddr) -> ForwardedRequest {
        gateway.peers.borrow_mut().begin(ip);
        ForwardedRequest { gateway: gateway.clone(), ip, target: None }
    }
}

impl Drop for ForwardedRequest {
    fn drop(&mut self) {
        self.gateway.peers.borrow_mut().end(self.ip);
    }
}

impl Responder {
    /// The target that runs the request; `None` if the other entry has not named it.
    pub fn target(&self) -> Option<&TargetStart> {
        match self {
            Responder::Target { target, .. } => Some(target),
            Responder::Entry(forwarded) => forwarded.target.as_ref(),
        }
    }

    /// Who the request was sent to.
    pub fn recipient(&self) -> Recipient {
        match self {
            Responder::Target { target, .. } => Recipient::Target(target.clone()),
            Responder::Entry(_) => Recipient::Entry,
        }
    }

    /// Records that data of the response has arrived.
    pub fn prompt_read(&mut self, response_metadata: &ResponseMetadata) {
        if let Responder::Target { in_flight, .. } = self {
            in_flight.prompt_read(response_metadata);
        }
    }

    /// Records a complete and successful response to a request that was sent at `sent_at`.
    pub fn succeeded(&mut self, gateway: &Gateway, sent_at: BootTime) {
        match self {
            Responder::Target { target, in_flight } => {
                in_flight.set_end(EndReason::Completed);
                gateway.fleet.borrow_mut().succeeded(target, sent_at, boot_now());
            }
            Responder::Entry(forwarded) => gateway.peers.borrow_mut().succeeded(forwarded.ip),
        }
    }

    /// Reports to the quarantine that the response to a request sent at `sent_at` is complete, as far as
    /// its framing tells.
    pub fn answered(
        &self,
        gateway: &Rc<Gateway>,
        routed: &RoutedRequest,
        sent_at: BootTime,
        framing: Framing,
    ) {
        // The other entry reports the answers that it has seen, and how they were framed.
        let Responder::Target { target, .. } = self else { return };
        match framing {
            Framing::Marked => gateway.record_success(routed.fingerprints(), boot_now()),
            Framing::Connection => termination::check_answer(gateway, routed, target, sent_at),
        }
    }

    /// Records that the response is wrong or late.
    pub fn failed(&mut self, gateway: &Gateway) {
        match self {
            Responder::Target { target, in_flight } => {
                in_flight.set_end(EndReason::Failed);
                gateway.fleet.borrow_mut().failed(target, FailureCause::Target, boot_now());
            }
            // The target may be at fault, which is for the other entry to judge.
            Responder::Entry(_) => {}
        }
    }

    /// Records that the connection broke.
    pub fn connection_lost(&mut self, gateway: &Rc<Gateway>, routed: &RoutedRequest) {
        match self {
            Responder::Target { target, in_flight } => {
                in_flight.set_end(gateway.connection_broke(&routed.service, target));
            }
            // Its process may be ending. Others can be asked meanwhile.
            Responder::Entry(forwarded) => {
                gateway.peers.borrow_mut().unreachable(forwarded.ip, boot_now());
            }
        }
    }

    /// Keeps the connection for later requests.
    pub fn return_connection(&self, gateway: &Gateway, connection: Connection) {
        match self {
            Responder::Target { target, .. } => gateway.return_connection(target, connection),
            Responder::Entry(forwarded) => gateway.peer_pool.put_idle(&forwarded.ip, connection),
        }
    }

    /// Ends the request at the target, whose run failed, and reports the run to the quarantine.
    pub async fn close_broken(
        self,
        gateway: &Rc<Gateway>,
        routed: &RoutedRequest,
        sent_at: BootTime,
        record: &RequestRecord,
    ) {
        // The other entry reports the runs that it has seen.
        let Responder::Target { target, in_flight } = self else { return };
        drop(in_flight);
        termination::report_broken_run(gateway, routed, &target, sent_at, record).await;
    }
}
