//! A loopback TCP proxy with fault injection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::connection_owners::{Ends, owns_connection};
use super::silence::{Silences, SilentConnection};
use super::unframed;

/// What happens to the connections of targets.
#[derive(Clone)]
pub struct TargetFaults {
    /// Process whose connections are reset.
    pub cut_off: watch::Receiver<Option<u32>>,
    /// Targets that are silent.
    pub silences: watch::Receiver<Silences>,
}

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkFault {
    None,
    /// Data is delayed.
    Delay(Duration),
    /// No data is relayed in either direction; connections stay open.
    Stall,
    /// No data is relayed to the caller.
    StallTowardsCaller,
    /// Existing and new connections are reset.
    Reset,
}

/// Most bytes that are read at once.
const BUFFER_BYTES: usize = 16 << 10;

/// A proxy for one target address.
#[derive(Clone)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<NetworkFault>>,
    target_address: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Starts a proxy at `address`, on a free port if its port is 0. A proxy of a target has
    /// `target_faults`.
    pub async fn start(
        address: SocketAddr,
        target_address: SocketAddr,
        target_faults: Option<TargetFaults>,
    ) -> Proxy {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let proxy = Proxy {
            address: listener.local_addr().expect("the listener has an address"),
            fault: Arc::new(watch::Sender::new(NetworkFault::None)),
            target_address: Arc::new(Mutex::new(target_address)),
        };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            let connections = AtomicU64::new(0);
            while let Ok((stream, caller)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::Relaxed);
                let target_address = accepting.target_address();
                let fault = accepting.fault.subscribe();
                let Some(faults) = target_faults.clone() else {
                    let never = std::future::pending();
                    tokio::spawn(relay(stream, target_address, fault, never, None));
                    continue;
                };
                let silent = SilentConnection::new(faults.silences, accepting.address, number);
                let is_unframed = unframed::is_unframed(number);
                let target = Some(TargetConnection { silent, is_unframed });
                let is_cut_off = until_cut_off(faults.cut_off, (caller, accepting.address));
                tokio::spawn(relay(stream, target_address, fault, is_cut_off, target));
            }
        });
        proxy
    }

    /// Changes the target of new connections.
    pub fn redirect(&self, target_address: SocketAddr) {
        *self.target_address.lock().expect("the lock is not poisoned") = target_address;
    }

    fn target_address(&self) -> SocketAddr {
        *self.target_address.lock().expect("the lock is not poisoned")
    }

    /// Sets the fault of existing and new connections.
    pub fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }
}

/// How a connection of a target differs from others.
struct TargetConnection {
    silent: SilentConnection,
    /// Whether its answers have no length and end with it.
    is_unframed: bool,
}

async fn relay(
    stream: TcpStream,
    target_address: SocketAddr,
    mut fault: watch::Receiver<NetworkFault>,
    is_cut_off: impl Future<Output = ()>,
    target_connection: Option<TargetConnection>,
) {
    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    reset.expect("the socket accepts options");
    tokio::pin!(is_cut_off);
    let target = tokio::select! {
        biased;
        () = &mut is_cut_off => return,
        target = connect(target_address, target_connection.as_ref()) => target,
    };
    let Ok(target) = target else { return };
    stream.set_nodelay(true).expect("the socket accepts options");
    target.set_nodelay(true).expect("the socket accepts options");
    let (from_caller, to_caller) = tokio::io::split(stream);
    let (from_target, to_target) = tokio::io::split(target);
    let target = target_connection.as_ref();
    let towards_target = copy_requests(from_caller, to_target, fault.clone(), target);
    let towards_caller = copy_answers(from_target, to_caller, fault.clone(), target);
    // A connection that was not shut down before is reset.
    tokio::select! {
        _ = async { tokio::try_join!(towards_target, towards_caller) } => {}
        _ = fault.wait_for(|fault| *fault == NetworkFault::Reset) => {}
        () = is_cut_off => {}
    }
}

/// Connects to a target once it is not paused.
async fn connect(
    address: SocketAddr,
    target: Option<&TargetConnection>,
) -> std::io::Result<TcpStream> {
    if let Some(target) = target {
        target.silent.resumed().await;
    }
    TcpStream::connect(address).await
}

/// Waits until the process that owns a connection is cut off.
async fn until_cut_off(mut cut_off: watch::Receiver<Option<u32>>, ends: Ends) {
    let open_since = Instant::now();
    loop {
        let pid = *cut_off.borrow_and_update();
        if let Some(pid) = pid {
            // Reading the table would hold up the other connections of this thread, and takes so long on
            // a busy machine that the cut may have ended.
            let owns = move || owns_connection(pid, ends, open_since);
            let owns = tokio::task::spawn_blocking(owns).await.expect("the table is read");
            if owns && *cut_off.borrow() == Some(pid) {
                return;
            }
        }
        if cut_off.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn copy_requests(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut fault: watch::Receiver<NetworkFault>,
    target: Option<&TargetConnection>,
) -> std::io::Result<()> {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let read = match target {
            Some(target) => read_unless_paused(&mut from, &mut bytes, &target.silent).await?,
            None => from.read(&mut bytes).await?,
        };
        if read == 0 {
            return to.shutdown().await;
        }
        hold_up(&mut fault, |fault| *fault == NetworkFault::Stall).await;
        if target.is_some_and(|target| target.is_unframed) {
            unframed::downgrade_request(&mut bytes[..read]);
        }
        // A target that does not read on may have answered.
        if to.write_all(&bytes[..read]).await.is_err() {
            return Ok(());
        }
    }
}

/// Reads what a caller sends, not while the target is paused.
async fn read_unless_paused(
    from: &mut ReadHalf<TcpStream>,
    bytes: &mut [u8],
    silent: &SilentConnection,
) -> std::io::Result<usize> {
    loop {
        silent.resumed().await;
        tokio::select! {
            biased;
            () = silent.paused() => {}
            read = from.read(bytes) => return read,
        }
    }
}

async fn copy_answers(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut fault: watch::Receiver<NetworkFault>,
    target: Option<&TargetConnection>,
) -> std::io::Result<()> {
    let mut bytes = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut bytes).await?;
        if read == 0 {
            if let Some(target) = target {
                target.silent.resumed().await;
            }
            return to.shutdown().await;
        }
        let blocks = |fault: &NetworkFault| {
            matches!(fault, NetworkFault::Stall | NetworkFault::StallTowardsCaller)
        };
        hold_up(&mut fault, blocks).await;
        let Some(target) = target else {
            to.write_all(&bytes[..read]).await?;
            continue;
        };
        let answer = match target.is_unframed {
            true => unframed::upgrade_response(&bytes[..read]),
            false => bytes[..read].to_vec(),
        };
        let mut written = 0;
        if let Some(before) = target.silent.written_before(&answer) {
            to.write_all(&answer[..before]).await?;
            target.silent.goes_on().await;
            written = before;
        }
        to.write_all(&answer[written..]).await?;
    }
}

/// Waits as long as a fault blocks, or delays data.
async fn hold_up(
    fault: &mut watch::Receiver<NetworkFault>,
    blocks: impl Fn(&NetworkFault) -> bool,
) {
    // The proxy may have ended.
    let _ = fault.wait_for(|fault| !blocks(fault)).await;
    let delay = match *fault.borrow() {
        NetworkFault::Delay(delay) => delay,
        _ => Duration::ZERO,
    };
    tokio::time::sleep(delay).await;
}
