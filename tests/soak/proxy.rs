//! A loopback proxy that harms connections.

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
pub enum Harm {
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
    harm: Arc<watch::Sender<Harm>>,
    to: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Starts a proxy on an address of its own.
    pub async fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Proxy {
            address: listener.local_addr().expect("an address"),
            harm: Arc::new(watch::Sender::new(Harm::None)),
            to: Arc::new(Mutex::new(to)),
        };
        let (harm, to) = (proxy.harm.clone(), proxy.to.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let to = *to.lock().expect("nobody panics with it");
                tokio::spawn(carry(stream, to, harm.subscribe()));
            }
        });
        proxy
    }

    /// Carries new connections elsewhere.
    pub fn redirect(&self, to: SocketAddr) {
        *self.to.lock().expect("nobody panics with it") = to;
    }

    /// Sets what happens to connections from now on, those that are open among them.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn carry(stream: TcpStream, to: SocketAddr, mut harm: watch::Receiver<Harm>) {
    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    reset.expect("a TCP socket");
    let Ok(target) = TcpStream::connect(to).await else { return };
    stream.set_nodelay(true).expect("a TCP socket");
    target.set_nodelay(true).expect("a TCP socket");
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = target.into_split();
    let there = pass(from_caller, to_target, harm.clone(), false);
    let back = pass(from_target, to_caller, harm.clone(), true);
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        _ = harm.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    is_back: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = match from.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        let holds = |harm: &Harm| *harm == Harm::Silence || (*harm == Harm::OneWay && is_back);
        if holds(&harm.borrow()) && harm.wait_for(|harm| !holds(harm)).await.is_err() {
            return;
        }
        let delay = match *harm.borrow() {
            Harm::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
