//! A loopback proxy that network_faults connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a proxy does to connections through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    /// Nothing.
    None,
    /// Bytes come later.
    Delay(Duration),
    /// Nothing passes in either direction, and nobody is told.
    Silence,
    /// Nothing passes towards the side that connected.
    OneWay,
    /// Connections are reset, and new ones as well.
    Reset,
}

/// A proxy before one address.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    network_fault: Arc<watch::Sender<NetworkFault>>,
    to: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Starts a proxy on an address of its own.
    pub async fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Proxy {
            address: listener.local_addr().expect("an address"),
            network_fault: Arc::new(watch::Sender::new(NetworkFault::None)),
            to: Arc::new(Mutex::new(to)),
        };
        let (network_fault, to) = (proxy.network_fault.clone(), proxy.to.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let to = *to.lock().expect("nobody panics with it");
                tokio::spawn(carry(stream, to, network_fault.subscribe()));
            }
        });
        proxy
    }

    /// Carries new connections elsewhere.
    pub fn redirect(&self, to: SocketAddr) {
        *self.to.lock().expect("nobody panics with it") = to;
    }

    /// Sets what happens to connections from now on, those that are open among them.
    pub fn set(&self, network_fault: NetworkFault) {
        self.network_fault.send_replace(network_fault);
    }
}

async fn carry(
    stream: TcpStream,
    to: SocketAddr,
    mut network_fault: watch::Receiver<NetworkFault>,
) {
    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    reset.expect("a TCP socket");
    let Ok(target) = TcpStream::connect(to).await else { return };
    stream.set_nodelay(true).expect("a TCP socket");
    target.set_nodelay(true).expect("a TCP socket");
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = target.into_split();
    let there = pass(from_caller, to_target, network_fault.clone(), false);
    let back = pass(from_target, to_caller, network_fault.clone(), true);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        _ = network_fault.wait_for(|network_fault| *network_fault == NetworkFault::Reset) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut network_fault: watch::Receiver<NetworkFault>,
    is_back: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = match from.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        let holds = |network_fault: &NetworkFault| {
            *network_fault == NetworkFault::Silence
                || (*network_fault == NetworkFault::OneWay && is_back)
        };
        if holds(&network_fault.borrow())
            && network_fault.wait_for(|network_fault| !holds(network_fault)).await.is_err()
        {
            return;
        }
        let delay = match *network_fault.borrow() {
            NetworkFault::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
