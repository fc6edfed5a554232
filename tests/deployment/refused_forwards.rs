//! Connections between entries after an attempt that the asked entry refuses.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use kumquatpost::control::entry_directory::PeerEntry;
use kumquatpost::control::frames::Update;
use kumquatpost::gateway::routed_request::Origin;
use kumquatpost::gateway::server;
use kumquatpost::net::body_memory::{BodyMemory, Reservation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::cut_entries::{Cut, CutAddress};
use crate::fixtures::{loopback, ms, target};
use crate::gateway::{Entry, deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::stand_in::{AfterAnswer, StandIn, header};

/// The port of other entries, by the settings of `start_entry`.
const PEER_PORT: u16 = 7_700;
const MAX_BODY_BYTES: usize = 100;
/// What the other entry answers to an attempt that it may be asked for again at once.
const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\
                    kumquatpost-result: {\"Busy\":{\"secs\":0,\"nanos\":0}}\r\n\r\n";

/// Another entry, which refuses each attempt and announces that it closes the connection, but does not.
struct BusyPeer {
    requests: Rc<RefCell<Vec<String>>>,
    connections: Rc<Cell<usize>>,
}

impl BusyPeer {
    async fn start(address: SocketAddr) -> BusyPeer {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let peer = BusyPeer { requests: Rc::default(), connections: Rc::default() };
        let (requests, connections) = (peer.requests.clone(), peer.connections.clone());
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                let requests = requests.clone();
                tokio::task::spawn_local(async move {
                    while let Some(request) = read_request(&mut stream).await {
                        requests.borrow_mut().push(request);
                        stream.write_all(BUSY.as_bytes()).await.expect("the entry reads");
                    }
                });
            }
        });
        peer
    }
}

/// Reads a request with a body of four bytes.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\nbody") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// Starts an entry that reaches no target, and the only other entry that it knows.
async fn cut_entry_and_peer(network: u8) -> (Entry, BusyPeer, [CutAddress; 2]) {
    let ip = loopback(network);
    let peer = BusyPeer::start(SocketAddr::new(ip, PEER_PORT)).await;
    let (entry, cut) = cut_entry(ip).await;
    (entry, peer, cut)
}

/// Starts an entry that reaches no target, and knows one other entry.
async fn cut_entry(other: IpAddr) -> (Entry, [CutAddress; 2]) {
    let cut = [CutAddress::new(Cut::Refused).await, CutAddress::new(Cut::Refused).await];
    let targets = vec![target("i-1", "app", cut[0].address), target("i-2", "app", cut[1].address)];
    let entry = start_entry(deployment_with_long_timeouts(), targets).await;
    let named = PeerEntry { ip: other, failure_domain: "a".to_string(), start: 1 };
    entry.gateway.peers.borrow_mut().observe(vec![named]);
    (entry, cut)
}

/// Starts an entry that makes attempts for others.
async fn asked_entry(address: SocketAddr) -> (Entry, StandIn, SocketAddr) {
    let (entry, only, address, closing) = closable_entry(address).await;
    // The entry is never told to close.
    std::mem::forget(closing);
    (entry, only, address)
}

/// The same, with the switch that makes it close its connections.
async fn closable_entry(address: SocketAddr) -> (Entry, StandIn, SocketAddr, watch::Sender<bool>) {
    closable_entry_for(Origin::Entry, address).await
}

/// The same for connections of callers or of other entries.
async fn closable_entry_for(
    origin: Origin,
    address: SocketAddr,
) -> (Entry, StandIn, SocketAddr, watch::Sender<bool>) {
    let mut deployment = deployment_with_long_timeouts();
    deployment.request_limits.body_bytes = MAX_BODY_BYTES;
    let only = StandIn::start(vec![(ok_response("done"), AfterAnswer::KeepOpen); 10]).await;
    let entry = start_entry(deployment, vec![target("i-1", "app", only.address)]).await;
    let listener = TcpListener::bind(address).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (closing, closed) = watch::channel(false);
    let gateway = entry.gateway.clone();
    tokio::task::spawn_local(async move {
        server::accept(gateway, origin, listener, closed).await;
    });
    (entry, only, address, closing)
}

async fn read_head(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        match tokio::time::timeout(ms(5_000), stream.read_u8()).await {
            Ok(Ok(byte)) => bytes.push(byte),
            _ => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// Guards against forwarded requests that get no answer since the connection on which the entry before
// them was refused is closed, without a notice, for the rest of its body.
#[test]
fn a_connection_is_usable_or_announced_as_closing_after_a_refused_attempt() {
    run_local(async {
        let (asking, peer, _cut) = cut_entry_and_peer(200).await;
        asking.call("/once/", "r1").await;
        let attempt = peer.requests.borrow()[0].clone();
        let long = "x".repeat(2 * MAX_BODY_BYTES);
        let too_long =
            attempt.replace("body", &long).replace("content-length: 4", "content-length: 200");
        assert!(too_long.contains("content-length: 200"), "{too_long}");
        let undecodable = attempt.replace("kumquatpost-attempt: {", "kumquatpost-attempt: ");
        // The name of the case, the request, and how much of it is sent before the answer.
        let cases = [
            ("not accepted, whole", undecodable.clone(), undecodable.len()),
            ("not accepted, half sent", undecodable.clone(), undecodable.len() - 2),
            ("not read, too long", too_long.clone(), too_long.len() - 2),
        ];
        for (name, refused, sent) in cases {
            let (_asked, only, address) = asked_entry(SocketAddr::from(([127, 0, 0, 1], 0))).await;
            let mut stream = TcpStream::connect(address).await.expect("the entry listens");
            let (begin, rest) = refused.split_at(sent);
            stream.write_all(begin.as_bytes()).await.expect("the connection is open");
            let got = read_head(&mut stream).await;
            assert!(got.starts_with("HTTP/1.1 503"), "{name}: {got:?}");
            assert!(header(&got, "kumquatpost-result").is_some(), "{name}: {got:?}");
            assert_eq!(only.request_count(), 0, "{name}");
            if header(&got, "connection").as_deref() == Some("close") {
                assert_ne!(sent, refused.len(), "{name}: it could be used again");
                continue;
            }
            stream.write_all(rest.as_bytes()).await.expect("the connection is open");
            stream.write_all(attempt.as_bytes()).await.expect("the connection is open");
            let got = read_head(&mut stream).await;
            assert!(got.starts_with("HTTP/1.1 200"), "{name}: {got:?}");
        }
    });
}

// Guards against a forwarded request on a connection that the other entry has announced to close.
#[test]
fn a_connection_that_another_entry_announces_to_close_is_not_used_again() {
    run_local(async {
        let (asking, peer, _cut) = cut_entry_and_peer(201).await;
        for n in 0..5 {
            let got = asking.call("/once/", &format!("r{n}")).await;
            assert_eq!(got.status, 503, "{}", got.text);
        }
        let requests = peer.requests.borrow().len();
        assert!(requests >= 4, "{requests} were forwarded");
        assert_eq!(peer.connections.get(), requests, "one connection for each");
    });
}

/// Takes all memory for bodies.
fn take_memory(memory: &BodyMemory) -> Vec<Reservation> {
    let (mut taken, mut size_bytes) = (Vec::new(), 1 << 30);
    while size_bytes > 0 {
        let mut reservation = memory.reservation();
        match reservation.grow(size_bytes) {
            Ok(()) => taken.push(reservation),
            Err(_) => size_bytes /= 2,
        }
    }
    taken
}

// Guards against an entry that is taken for unreachable since it had no memory for the body of one request.
#[test]
fn an_entry_that_had_no_memory_for_a_body_is_asked_again_at_once() {
    run_local(async {
        let ip = loopback(202);
        let (asked, only, _) = asked_entry(SocketAddr::new(ip, PEER_PORT)).await;
        let (asking, _cut) = cut_entry(ip).await;
        let taken = take_memory(&asked.gateway.body_memory);
        let got = asking.call("/once/", "r1").await;
        assert_eq!(got.status, 503, "{}", got.text);
        drop(taken);
        let got = asking.call("/once/", "r2").await;
        assert_eq!(got.status, 200, "{}", got.text);
        assert_eq!(only.request_count(), 1);
    });
}

// Guards against the same since its deployment, another one than that of the entry that asks, allows shorter
// bodies only.
#[test]
fn an_entry_that_allows_shorter_bodies_is_asked_again_at_once() {
    run_local(async {
        let ip = loopback(203);
        let (asked, only, _) = asked_entry(SocketAddr::new(ip, PEER_PORT)).await;
        let (asking, _cut) = cut_entry(ip).await;
        for (version, body_bytes, expected) in [(2, 3, 503), (3, MAX_BODY_BYTES, 200)] {
            let mut deployment = deployment_with_long_timeouts();
            deployment.version = version;
            deployment.request_limits.body_bytes = body_bytes;
            let update = Update::Deployment(Arc::new(deployment));
            asked.gateway.observe(update).expect("a valid update");
            let got = asking.call("/once/", &format!("r{version}")).await;
            assert_eq!(got.status, expected, "{}", got.text);
        }
        assert_eq!(only.request_count(), 1);
    });
}

// Guards against a forwarded request that counts as possibly run, and is answered 502, since the entry that it
// was forwarded to closed its new connection unread while it stopped.
#[test]
fn an_entry_that_closes_its_connections_still_refuses_a_request_on_a_new_one() {
    run_local(async {
        let (asking, peer, _cut) = cut_entry_and_peer(204).await;
        asking.call("/once/", "r1").await;
        let attempt = peer.requests.borrow()[0].clone();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (asked, only, address, closing) = closable_entry(any_port).await;
        asked.gateway.stopping.set(true);
        let mut before = TcpStream::connect(address).await.expect("the entry listens");
        tokio::time::sleep(ms(20)).await;
        closing.send_replace(true);
        let mut after = TcpStream::connect(address).await.expect("the entry listens");
        tokio::time::sleep(ms(20)).await;
        for stream in [&mut before, &mut after] {
            stream.write_all(attempt.as_bytes()).await.expect("the connection is open");
            let got = read_head(stream).await;
            assert!(got.starts_with("HTTP/1.1 503"), "{got:?}");
            assert!(header(&got, "kumquatpost-result").is_some(), "{got:?}");
        }
        assert_eq!(only.request_count(), 0);
    });
}

// Guards against a request that is read just before the process ends, and then cut off.
#[test]
fn a_caller_that_connects_while_connections_are_closed_is_not_read() {
    run_local(async {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (entry, only, address, closing) = closable_entry_for(Origin::Caller, any_port).await;
        entry.gateway.stopping.set(true);
        closing.send_replace(true);
        let mut stream = TcpStream::connect(address).await.expect("the entry listens");
        let request = "POST /once/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\
                       Content-Length: 4\r\n\r\nbody";
        stream.write_all(request.as_bytes()).await.expect("the connection is open");
        assert_eq!(read_head(&mut stream).await, "");
        assert_eq!(only.request_count(), 0);
    });
}
