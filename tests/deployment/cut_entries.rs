//! Entries as processes that are told of the targets at addresses of their own, some of which lead
//! nowhere.

use std::net::{IpAddr, SocketAddr};
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::Instant;

use kumquatpost::control::entry_directory::PeerEntry;
use kumquatpost::control::frames::{Handshake, Update, VersionedRoster, encode, read};
use kumquatpost::control::pieces;
use kumquatpost::deployment::Deployment;
use kumquatpost::fleet::Listed;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixtures::{loopback, ms, roster, target};
use crate::gateway::{Response, deployment_with_long_timeouts};
use crate::platform_stand_in::target::FIRST_SOFTWARE;
use crate::restarts::EVENT_TIMEOUT;
use crate::stand_in::{Script, StandIn};

const PEER_PORT: u16 = 21_700;
const CALLER_PORT: u16 = 21_705;
const READINESS_PORT: u16 = 21_706;
/// Descriptors of an entry, if a test sets no other number.
const DESCRIPTORS: u32 = 1_000;
const SHUTDOWN_GRACE_S: u64 = 8;
const FAILURE_DOMAIN: &str = "a";

/// A way in which the targets can't be reached from an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Connections are not answered.
    Silent,
    /// Connections are refused.
    Refused,
}

/// An address that is cut off. Keep it for as long as it is used.
pub struct CutAddress {
    pub address: SocketAddr,
    _socket: Socket,
    _pending: Vec<TcpStream>,
}

impl CutAddress {
    pub async fn new(cut: Cut) -> CutAddress {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        let address = socket.local_addr().expect("an address").as_socket().expect("an IP");
        let mut pending = Vec::new();
        if cut == Cut::Refused {
            // Connections are refused, as it doesn't listen, and no other test gets the port.
            return CutAddress { address, _socket: socket, _pending: pending };
        }
        // The kernel doesn't answer connections to a listener whose backlog is full.
        socket.listen(0).expect("it listens");
        while let Ok(connected) = tokio::time::timeout(ms(100), TcpStream::connect(address)).await {
            pending.push(connected.expect("a connection"));
        }
        CutAddress { address, _socket: socket, _pending: pending }
    }
}

/// A replica that sends one entry the same state for as long as it is connected.
pub struct FakeReplica {
    ip: IpAddr,
}

impl FakeReplica {
    pub async fn start(
        ip: IpAddr,
        deployment: Deployment,
        targets: Vec<Listed>,
        peers: &[IpAddr],
    ) -> FakeReplica {
        let listener = TcpListener::bind((ip, PEER_PORT)).await.expect("the port is free");
        let versioned = VersionedRoster::new(1, Arc::new(roster(targets)));
        let named = peers
            .iter()
            .map(|ip| PeerEntry { ip: *ip, failure_domain: FAILURE_DOMAIN.to_string(), start: 1 })
            .collect();
        let mut state: Vec<Update> =
            pieces::split(&versioned).into_iter().map(Update::RosterPiece).collect();
        state.push(Update::PeerEntries(named));
        state.push(Update::Deployment(Arc::new(deployment)));
        let entries = Some(peers.len() as u32 + 1);
        let heartbeat = Update::Heartbeat { replicas: [ip].into(), entries, leader: None, term: 1 };
        let state: Vec<u8> = state.iter().flat_map(|update| encode(update).to_vec()).collect();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve_entry(stream, state.clone(), heartbeat.clone()));
            }
        });
        FakeReplica { ip }
    }
}

/// Sends the state and then heartbeats, until the entry is gone.
async fn serve_entry(mut stream: TcpStream, state: Vec<u8>, heartbeat: Update) {
    let handshake: std::io::Result<Handshake> = read(&mut stream).await;
    if !matches!(handshake, Ok(Handshake::Entry { .. })) || stream.write_all(&state).await.is_err()
    {
        return;
    }
    while stream.write_all(&encode(&heartbeat)).await.is_ok() {
        tokio::time::sleep(ms(200)).await;
    }
}

/// An entry process.
pub struct Entry {
    ip: IpAddr,
    pub child: Child,
    folder: TempDir,
}

impl Entry {
    pub fn start(ip: IpAddr, replica: IpAddr) -> Entry {
        Entry::start_with_descriptors(ip, replica, DESCRIPTORS, DESCRIPTORS)
    }

    /// Starts an entry with a number of descriptors as its settings tell it, and as it really has.
    fn start_with_descriptors(ip: IpAddr, replica: IpAddr, told: u32, real: u32) -> Entry {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let settings = json!({
            "NodeName": format!("entry-{ip}"), "Ip": ip, "Zone": FAILURE_DOMAIN,
            "Listen": {"Front": SocketAddr::new(ip, CALLER_PORT),
                       "Ready": SocketAddr::new(ip, READINESS_PORT)},
            "PortRange": [PEER_PORT, PEER_PORT + 4], "Seeds": [SocketAddr::new(replica, 1)],
            "FirstStart": true, "Limits": {"MemoryMb": 100, "MaxFds": told},
            "DataDir": null, "Cloud": null,
            "Bounds": {"GraceS": SHUTDOWN_GRACE_S, "BudgetRatio": 100.0, "BudgetWindowS": 10,
                       "BudgetSlack": 5000, "VersionMs": 6000, "VersionAllMs": 8400}
        });
        let path = folder.path().join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("the file is writable");
        let log = std::fs::File::create(folder.path().join("log")).expect("a log file");
        let child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {real}; exec \"$0\" entry")])
            .arg(env!("CARGO_BIN_EXE_kumquatpost"))
            .env("KUMQUATPOST_SETTINGS", path)
            .stdout(log)
            .spawn()
            .expect("the process starts");
        Entry { ip, child, folder }
    }

    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    pub async fn until_ready(&self) {
        let began = Instant::now();
        loop {
            assert!(began.elapsed() < EVENT_TIMEOUT, "the entry starts: {}", self.log());
            if let Ok(mut stream) = TcpStream::connect((self.ip, READINESS_PORT)).await {
                let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                let mut text = String::new();
                let is_read = stream.write_all(request).await.is_ok()
                    && stream.read_to_string(&mut text).await.is_ok();
                if is_read && text.starts_with("HTTP/1.1 200") {
                    return;
                }
            }
            tokio::time::sleep(ms(20)).await;
        }
    }

    /// Sends a request and returns the open connection.
    pub async fn send(&self, path: &str, id: &str, extra: &str) -> TcpStream {
        let mut stream = TcpStream::connect((self.ip, CALLER_PORT)).await.expect("it listens");
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 60000\r\nAuthorization: Bearer key-a\r\nConnection: close\r\n{extra}\
             Content-Length: 4\r\n\r\nbody"
        );
        stream.write_all(request.as_bytes()).await.expect("the entry reads the request");
        stream
    }

    pub async fn call(&self, path: &str, id: &str) -> Response {
        self.call_with(path, id, "").await
    }

    pub async fn call_with(&self, path: &str, id: &str, extra: &str) -> Response {
        let mut stream = self.send(path, id, extra).await;
        let mut bytes = Vec::new();
        // A truncated response ends in an error; the bytes before it are kept.
        let _ = stream.read_to_end(&mut bytes).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        Response { status, text }
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(sent.expect("the kill command runs").success(), "the signal is delivered");
    }

    /// The number of descriptors that the process has open, of those up to its limit. Inherited ones may
    /// have higher numbers.
    pub fn open_descriptors(&self, limit: u32) -> u32 {
        let folder = format!("/proc/{}/fd", self.child.id());
        let links = std::fs::read_dir(folder).expect("a process of this test");
        let numbers = links.filter_map(|link| link.ok()?.file_name().to_str()?.parse().ok());
        numbers.filter(|number: &u32| *number < limit).count() as u32
    }

    /// Whether the process has a connection to a target.
    pub fn has_connection_to(&self, target: &StandIn) -> bool {
        let folder = format!("/proc/{}/fd", self.child.id());
        let links = std::fs::read_dir(folder).expect("a process of this test");
        let sockets: Vec<String> = links
            .filter_map(|link| std::fs::read_link(link.ok()?.path()).ok())
            .filter_map(|link| {
                let text = link.to_string_lossy();
                Some(text.strip_prefix("socket:[")?.strip_suffix(']')?.to_string())
            })
            .collect();
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
        let port = format!(":{:04X}", target.address.port());
        table.lines().any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields.len() > 9 && fields[2].ends_with(&port) && sockets.contains(&fields[9].into())
        })
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }
}

/// A cut entry, entries that reach the targets, and these targets.
pub struct System {
    pub cut: Entry,
    pub sound: Vec<Entry>,
    pub targets: Vec<StandIn>,
    _addresses: Vec<CutAddress>,
}

/// Starts a system with the scripts of its targets; `network` is unique per test.
pub async fn start(cut: Cut, service: &str, scripts: Vec<Script>, network: u8) -> System {
    start_with(cut, service, scripts, 1, network).await
}

/// The same with some entries that reach the targets.
pub async fn start_with(
    cut: Cut,
    service: &str,
    scripts: Vec<Script>,
    sound_count: u8,
    network: u8,
) -> System {
    start_with_software(cut, service, scripts, &[FIRST_SOFTWARE], sound_count, network).await
}

/// The same with a deployment, and one entry that reaches the targets.
pub async fn start_with_deployment(
    deployment: Deployment,
    service: &str,
    scripts: Vec<Script>,
    network: u8,
) -> System {
    let targets = (service, scripts, [FIRST_SOFTWARE].as_slice());
    start_system(Cut::Refused, deployment, targets, 1, network).await
}

/// The same with the software versions of the targets, in turn.
pub async fn start_with_software(
    cut: Cut,
    service: &str,
    scripts: Vec<Script>,
    software: &[&str],
    sound_count: u8,
    network: u8,
) -> System {
    let targets = (service, scripts, software);
    start_system(cut, deployment_with_long_timeouts(), targets, sound_count, network).await
}

/// Starts a system; the targets are a service, their scripts and their software versions, in turn.
async fn start_system(
    cut: Cut,
    deployment: Deployment,
    (service, scripts, software): (&str, Vec<Script>, &[&str]),
    sound_count: u8,
    network: u8,
) -> System {
    let (mut targets, mut reachable, mut unreachable) = (Vec::new(), Vec::new(), Vec::new());
    let mut addresses = Vec::new();
    for (n, script) in scripts.into_iter().enumerate() {
        let id = format!("i-{n}");
        let stand_in = StandIn::start(script).await;
        let cut_address = CutAddress::new(cut).await;
        let listed = |address| Listed {
            software: software[n % software.len()].to_string(),
            ..target(&id, service, address)
        };
        reachable.push(listed(stand_in.address));
        unreachable.push(listed(cut_address.address));
        targets.push(stand_in);
        addresses.push(cut_address);
    }
    let sound_ips: Vec<IpAddr> = (0..sound_count).map(|n| loopback(network + 2 + 2 * n)).collect();
    let (cut_ip, replica_ip) = (loopback(network), loopback(network + 1));
    let replica = FakeReplica::start(replica_ip, deployment.clone(), unreachable, &sound_ips).await;
    let cut = Entry::start(cut_ip, replica.ip);
    let mut sound = Vec::new();
    for (n, ip) in (0..sound_count).zip(sound_ips) {
        let replica_ip = loopback(network + 3 + 2 * n);
        let targets = reachable.clone();
        let replica = FakeReplica::start(replica_ip, deployment.clone(), targets, &[cut_ip]).await;
        sound.push(Entry::start(ip, replica.ip));
    }
    cut.until_ready().await;
    for entry in &sound {
        entry.until_ready().await;
    }
    System { cut, sound, targets, _addresses: addresses }
}

/// Starts an entry with few descriptors and one target of the service `app`.
pub async fn start_with_few_descriptors(
    told: u32,
    real: u32,
    script: Script,
    network: u8,
) -> (Entry, StandIn) {
    let stand_in = StandIn::start(script).await;
    let listed = vec![target("i-0", "app", stand_in.address)];
    (start_before_targets(listed, told, real, network).await, stand_in)
}

/// Starts an entry with a number of descriptors before targets.
pub async fn start_before_targets(
    targets: Vec<Listed>,
    told: u32,
    real: u32,
    network: u8,
) -> Entry {
    let (ip, replica_ip) = (loopback(network), loopback(network + 1));
    let deployment = deployment_with_long_timeouts();
    let replica = FakeReplica::start(replica_ip, deployment, targets, &[]).await;
    let entry = Entry::start_with_descriptors(ip, replica.ip, told, real);
    entry.until_ready().await;
    entry
}
