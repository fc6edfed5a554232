//! Connections between nodes: each node opens one connection to each peer to which it sends frames.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures::future::BoxFuture;
use parking_lot::{Mutex, RwLock};
use rand::RngExt;
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

use super::auth::{FrameAuthenticator, NONCE_BYTES, PeerKey, TAG_BYTES};
use super::message::{Dispatched, Frame, PeerRequest, PeerResponse};
use crate::ids::NodeId;
use crate::log::Message;

/// Maximum number of frames queued for one connection. Further frames are dropped.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 256 << 20;
/// Maximum size of the first frame of a connection, which is read before the peer is authenticated.
const MAX_FIRST_FRAME_BYTES: usize = 1 << 20;
/// Maximum time for connecting and the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a failed connection attempt or accept is retried.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of requests that are handled concurrently, over all connections.
const MAX_CONCURRENT_REQUESTS: usize = 4_096;

/// Handles the frames that a node receives.
pub trait PeerHandler: Send + Sync {
    /// Handles a message of the replicated log.
    fn handle_log_message(&self, from: NodeId, message: Message);
    /// Handles the notification of a dispatch by another node.
    fn handle_dispatched(&self, dispatched: &Dispatched);
    /// Handles a request and returns the response.
    fn handle_request(
        self: Arc<Self>,
        from: NodeId,
        request: PeerRequest,
    ) -> BoxFuture<'static, PeerResponse>;
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PeerRequestError {
    /// There was no response in time. The request may have taken effect.
    #[snafu(display("no response in time; check that the node runs and can be reached"))]
    Timeout,
    /// The node can't be reached, or the connection was lost. The request may have taken effect.
    #[snafu(display("the node can't be reached; check that it runs"))]
    Unreachable,
    /// The address of the node is unknown.
    #[snafu(display("unknown node; add it to the settings"))]
    Unknown,
}

/// The connections of a node to its peers.
pub struct Links {
    own_id: NodeId,
    key: PeerKey,
    addresses: RwLock<HashMap<NodeId, SocketAddr>>,
    outgoing: Mutex<HashMap<NodeId, mpsc::Sender<Frame>>>,
    /// Requests that wait for a response, by number, with the peer that they were sent to.
    pending: Mutex<HashMap<u64, (NodeId, oneshot::Sender<PeerResponse>)>>,
    next_request: AtomicU64,
    request_permits: Semaphore,
    handler: OnceLock<Arc<dyn PeerHandler>>,
    /// Peers to which no frames are sent and whose frames are ignored; set by tests.
    blocked: RwLock<BTreeSet<NodeId>>,
    sent_bytes: AtomicU64,
}

impl Links {
    /// Creates the connections of node `own_id`. None is open yet.
    pub fn new(own_id: NodeId, key: PeerKey, addresses: HashMap<NodeId, SocketAddr>) -> Arc<Links> {
        Arc::new(Links {
            own_id,
            key,
            addresses: RwLock::new(addresses),
            outgoing: Mutex::new(HashMap::new()),
            pending: Mutex::new(HashMap::new()),
            next_request: AtomicU64::new(1),
            request_permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
            handler: OnceLock::new(),
            blocked: RwLock::new(BTreeSet::new()),
            sent_bytes: AtomicU64::new(0),
        })
    }

    /// Sets the handler. Must be called once, before connections are accepted.
    pub fn set_handler(&self, handler: Arc<dyn PeerHandler>) {
        // A second call is a bug of the caller; the first handler stays.
        drop(self.handler.set(handler));
    }

    /// Sets the address of a node. If it has changed, the connection to the old address is dropped.
    pub fn set_address(&self, node: NodeId, address: SocketAddr) {
        let changed = self.addresses.write().insert(node, address) != Some(address);
        if changed {
            self.outgoing.lock().remove(&node);
        }
    }

    /// Replaces the set of blocked peers. Simulates a network partition in tests.
    pub fn set_blocked_peers(&self, nodes: BTreeSet<NodeId>) {
        *self.blocked.write() = nodes;
    }

    pub fn is_blocked(&self, node: NodeId) -> bool {
        self.blocked.read().contains(&node)
    }

    /// Number of bytes sent to other nodes so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Sends a message of the replicated log. It may be lost.
    pub fn send(self: &Arc<Links>, to: NodeId, message: Message) {
        self.enqueue(to, Frame::Log(message));
    }

    /// Notifies a node of a dispatch. The notification may be lost.
    pub fn send_dispatched(self: &Arc<Links>, to: NodeId, dispatched: Dispatched) {
        self.enqueue(to, Frame::Dispatched(dispatched));
    }

    /// Sends a request and waits for the response. A request to this node itself is handled locally.
    ///
    /// # Errors
    /// If there is no response within `timeout`, or the connection fails before.
    pub async fn request(
        self: &Arc<Links>,
        to: NodeId,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerRequestError> {
        if to == self.own_id {
            let handler = self.handler.get().cloned().ok_or(PeerRequestError::Unknown)?;
            let response =
                tokio::time::timeout(timeout, handler.handle_request(self.own_id, request)).await;
            return response.map_err(|_| PeerRequestError::Timeout);
        }
        if !self.addresses.read().contains_key(&to) {
            return Err(PeerRequestError::Unknown);
        }
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(number, (to, sender));
        self.enqueue(to, Frame::Request(number, request));
        let response = tokio::time::timeout(timeout, receiver).await;
        self.pending.lock().remove(&number);
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(PeerRequestError::Unreachable),
            Err(_) => Err(PeerRequestError::Timeout),
        }
    }

    /// Accepts connections for as long as the process lives.
    pub async fn accept(self: Arc<Links>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve_connection(stream));
                }
                Err(error) => {
                    log::warn!("event=peer_accept_failed error={:?}", error.to_string());
                    tokio::time::sleep(RECONNECT_DELAY).await;
                }
            }
        }
    }

    fn enqueue(self: &Arc<Links>, to: NodeId, frame: Frame) {
        if self.is_blocked(to) {
            return;
        }
        let mut outgoing = self.outgoing.lock();
        let sender = outgoing.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
            tokio::spawn(self.clone().send_frames(to, receiver));
            sender
        });
        // If the queue is full, the frame is dropped; requests time out and are retried by the caller.
        drop(sender.try_send(frame));
    }

    /// Sends the queued frames of a peer, and opens a connection when there is a frame but no connection.
    async fn send_frames(self: Arc<Links>, to: NodeId, mut frames: mpsc::Receiver<Frame>) {
        while let Some(first) = frames.recv().await {
            let connected = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.open_connection(to)).await;
            if let Ok(Ok((read, write, incoming, outgoing))) = connected {
                let mut writer = Writer { links: self.clone(), write, authenticator: outgoing };
                let reader = tokio::spawn(self.clone().read_responses(to, read, incoming));
                if writer.send(&first).await.is_ok() {
                    writer.send_all(to, &mut frames).await;
                }
                reader.abort();
                self.fail_pending_requests(to);
            } else {
                self.fail_pending_requests(to);
                tokio::time::sleep(RECONNECT_DELAY).await;
                // The queued frames are outdated by now.
                while frames.try_recv().is_ok() {}
                self.fail_pending_requests(to);
            }
        }
    }

    async fn open_connection(
        &self,
        to: NodeId,
    ) -> std::io::Result<(OwnedReadHalf, OwnedWriteHalf, FrameAuthenticator, FrameAuthenticator)>
    {
        let address = self.addresses.read().get(&to).copied();
        let address = address.ok_or_else(|| std::io::Error::other("unknown node"))?;
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut read, mut write) = stream.into_split();
        let nonce: [u8; NONCE_BYTES] = rand::rng().random();
        write.write_u64_le(self.own_id).await?;
        write.write_all(&nonce).await?;
        let mut peer_nonce = [0; NONCE_BYTES];
        read.read_exact(&mut peer_nonce).await?;
        let (outgoing, incoming) = self.key.session_keys(&nonce, &peer_nonce, (self.own_id, to));
        Ok((read, write, incoming, outgoing))
    }

    async fn serve_connection(self: Arc<Links>, stream: TcpStream) {
        let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.accept_handshake(stream)).await;
        let Ok(Ok((from, read, write, incoming, outgoing))) = accepted else { return };
        let (responses, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        let writer = Writer { links: self.clone(), write, authenticator: outgoing };
        let writer_task = tokio::spawn(writer.send_queue(from, queue));
        let mut reader =
            Reader { read: BufReader::new(read), authenticator: incoming, is_peer_verified: false };
        while let Ok(frame) = reader.next().await {
            if self.is_blocked(from) {
                continue;
            }
            let Some(handler) = self.handler.get().cloned() else { break };
            match frame {
                Frame::Log(message) => handler.handle_log_message(from, message),
                Frame::Dispatched(dispatched) => handler.handle_dispatched(&dispatched),
                Frame::Request(number, request) => {
                    let (links, responses) = (self.clone(), responses.clone());
                    tokio::spawn(async move {
                        let Ok(_permit) = links.request_permits.acquire().await else { return };
                        let response = handler.handle_request(from, request).await;
                        drop(responses.send(Frame::Response(number, response)).await);
                    });
                }
                Frame::Response(..) => break,
            }
        }
        writer_task.abort();
    }

    async fn accept_handshake(
        &self,
        stream: TcpStream,
    ) -> std::io::Result<(
        NodeId,
        OwnedReadHalf,
        OwnedWriteHalf,
        FrameAuthenticator,
        FrameAuthenticator,
    )> {
        stream.set_nodelay(true)?;
        let (mut read, mut write) = stream.into_split();
        let from = read.read_u64_le().await?;
        let mut peer_nonce = [0; NONCE_BYTES];
        read.read_exact(&mut peer_nonce).await?;
        let nonce: [u8; NONCE_BYTES] = rand::rng().random();
        write.write_all(&nonce).await?;
        let (incoming, outgoing) = self.key.session_keys(&peer_nonce, &nonce, (from, self.own_id));
        Ok((from, read, write, incoming, outgoing))
    }

    async fn read_responses(
        self: Arc<Links>,
        from: NodeId,
        read: OwnedReadHalf,
        authenticator: FrameAuthenticator,
    ) {
        let mut reader =
            Reader { read: BufReader::new(read), authenticator, is_peer_verified: false };
        while let Ok(frame) = reader.next().await {
            if self.is_blocked(from) {
                continue;
            }
            let Frame::Response(number, response) = frame else { break };
            if let Some((_, pending)) = self.pending.lock().remove(&number) {
                drop(pending.send(response));
            }
        }
        // The next frame to the peer opens a new connection.
        self.outgoing.lock().remove(&from);
        self.fail_pending_requests(from);
    }

    /// Fails all requests that wait for a response of a node, without waiting for their timeouts. Otherwise a
    /// lease could expire while its holder tries several stopped nodes one after the other.
    fn fail_pending_requests(&self, to: NodeId) {
        self.pending.lock().retain(|_, (peer, _)| *peer != to);
    }
}

/// Writes frames to a connection.
struct Writer {
    links: Arc<Links>,
    write: OwnedWriteHalf,
    authenticator: FrameAuthenticator,
}

impl Writer {
    async fn send(&mut self, frame: &Frame) -> std::io::Result<()> {
        let body = postcard::to_stdvec(frame).map_err(std::io::Error::other)?;
        let mut bytes = Vec::with_capacity(4 + TAG_BYTES + body.len());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&self.authenticator.sign(&body));
        bytes.extend_from_slice(&body);
        self.links.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.write.write_all(&bytes).await
    }

    async fn send_all(&mut self, to: NodeId, frames: &mut mpsc::Receiver<Frame>) {
        while let Some(frame) = frames.recv().await {
            if self.links.is_blocked(to) {
                continue;
            }
            if self.send(&frame).await.is_err() {
                return;
            }
        }
    }

    async fn send_queue(mut self, to: NodeId, mut frames: mpsc::Receiver<Frame>) {
        self.send_all(to, &mut frames).await;
    }
}

/// Reads and verifies frames of a connection.
struct Reader {
    read: BufReader<OwnedReadHalf>,
    authenticator: FrameAuthenticator,
    /// Whether a frame of the peer was verified already.
    is_peer_verified: bool,
}

impl Reader {
    async fn next(&mut self) -> std::io::Result<Frame> {
        let length = self.read.read_u32_le().await? as usize;
        let limit = if self.is_peer_verified { MAX_FRAME_BYTES } else { MAX_FIRST_FRAME_BYTES };
        if length > limit {
            return Err(std::io::Error::other("frame too large"));
        }
        let mut tag = [0; TAG_BYTES];
        self.read.read_exact(&mut tag).await?;
        let mut body = vec![0; length];
        self.read.read_exact(&mut body).await?;
        self.authenticator
            .verify(&body, &tag)
            .map_err(|_| std::io::Error::other("frame authentication failed"))?;
        self.is_peer_verified = true;
        postcard::from_bytes(&body).map_err(std::io::Error::other)
    }
}
