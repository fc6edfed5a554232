//! Questions to nodes that have ended.
//!
//! Seen: beside load, a node was not ready for a moment after the relay of its failure domain had been killed,
//! and callers were told that it can't know its configuration. How it came about: its renewals went to the dead
//! relay first, then to a dead node among those that may lead, and each waited for its whole timeout although the
//! address refused connections at once. What caused it: a question that can't be sent was dropped without a word
//! to whoever asked. Proof: the tests here, in which a question to a dead node took its whole timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::BoxFuture;
use kumquatpost::ids::NodeId;
use kumquatpost::log::Message;
use kumquatpost::peer::message::{Dispatched, PeerRequest, PeerResponse};
use kumquatpost::peer::{Links, PeerHandler, PeerKey, PeerRequestError};
use tokio::net::TcpListener;

/// Longer than any test takes: no outcome depends on how busy the machine is.
const LONG: Duration = Duration::from_secs(60);

/// Answers nothing, ever.
struct Mute;

impl PeerHandler for Mute {
    fn handle_log_message(&self, _from: NodeId, _message: Message) {}

    fn handle_dispatched(&self, _dispatched: &Dispatched) {}

    fn handle_request(
        self: Arc<Self>,
        _from: NodeId,
        _ask: PeerRequest,
    ) -> BoxFuture<'static, PeerResponse> {
        std::future::pending().boxed()
    }
}

fn key() -> PeerKey {
    PeerKey::from_material(b"k")
}

fn links(to: SocketAddr) -> Arc<Links> {
    let links = Links::new(1, key(), [(2, to)].into());
    links.set_handler(Arc::new(Mute));
    links
}

#[tokio::test]
async fn a_question_to_a_node_that_refuses_connections_fails_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let begun = Instant::now();
    let answer = links(address).request(2, PeerRequest::Status, LONG).await;
    assert_eq!(answer, Err(PeerRequestError::Unreachable));
    assert!(begun.elapsed() < LONG / 4, "{:?}", begun.elapsed());
}

#[tokio::test]
async fn a_question_that_waits_for_an_answer_fails_when_its_node_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let other = Links::new(2, key(), [].into());
    other.set_handler(Arc::new(Mute));
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let std_listener = listener.into_std().expect("a socket");
    let guard = runtime.enter();
    let listener = TcpListener::from_std(std_listener).expect("a socket");
    drop(guard);
    runtime.spawn(other.accept(listener));
    let asking = links(address);
    let begun = Instant::now();
    let asked = tokio::spawn(async move { asking.request(2, PeerRequest::Status, LONG).await });
    // It has been sent by then, or fails for the other reason.
    tokio::time::sleep(Duration::from_millis(300)).await;
    runtime.shutdown_background();
    assert_eq!(asked.await.expect("no panic"), Err(PeerRequestError::Unreachable));
    assert!(begun.elapsed() < LONG / 4, "{:?}", begun.elapsed());
}
