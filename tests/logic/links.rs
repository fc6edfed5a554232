//! Guards against questions to terminated nodes that wait for their whole timeout: a node would miss the
//! renewal of its lease after its relay has terminated.

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

/// Far longer than a failure takes, also on a busy machine.
const ASK_TIMEOUT: Duration = Duration::from_secs(60);

/// Never answers a question.
struct SilentHandler;

impl PeerHandler for SilentHandler {
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
    links.set_handler(Arc::new(SilentHandler));
    links
}

#[tokio::test]
async fn a_question_to_a_node_that_refuses_connections_fails_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a port");
    let address = listener.local_addr().expect("no local address");
    drop(listener);
    let started_at = Instant::now();
    let answer = links(address).request(2, PeerRequest::Status, ASK_TIMEOUT).await;
    assert_eq!(answer, Err(PeerRequestError::Unreachable));
    assert!(started_at.elapsed() < ASK_TIMEOUT / 4, "{:?}", started_at.elapsed());
}

#[tokio::test]
async fn a_pending_question_fails_when_its_node_terminates() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a port");
    let address = listener.local_addr().expect("no local address");
    let server_links = Links::new(2, key(), [].into());
    server_links.set_handler(Arc::new(SilentHandler));
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("cannot create a runtime");
    let std_listener = listener.into_std().expect("cannot convert the socket");
    let guard = runtime.enter();
    let listener = TcpListener::from_std(std_listener).expect("cannot convert the socket");
    drop(guard);
    runtime.spawn(server_links.accept(listener));
    let client_links = links(address);
    let started_at = Instant::now();
    let pending_ask =
        tokio::spawn(
            async move { client_links.request(2, PeerRequest::Status, ASK_TIMEOUT).await },
        );
    // Gives the question time to be sent.
    tokio::time::sleep(Duration::from_millis(300)).await;
    runtime.shutdown_background();
    assert_eq!(pending_ask.await.expect("the task panicked"), Err(PeerRequestError::Unreachable));
    assert!(started_at.elapsed() < ASK_TIMEOUT / 4, "{:?}", started_at.elapsed());
}
