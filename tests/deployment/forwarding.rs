//! Entries as processes that lose their path to targets and reach them through other entries. Each
//! entry is told of the targets at addresses of its own, some of which lead nowhere.

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
use crate::gateway::{
    PROMPT, Response, deployment_with_long_timeouts, event_stream, ok_response, run_local,
};
use crate::restarts::EVENT_TIMEOUT;
use crate::stand_in::{AfterAnswer, Script, StandIn};

const PEER_PORT: u16 = 21_700;
const CALLER_PORT: u16 = 21_705;
const READINESS_PORT: u16 = 21_706;
const SHUTDOWN_GRACE_S: u64 = 8;
const FAILURE_DOMAIN: &str = "a";

/// A way in which the targets can't be reached from an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    /// Connections are not answered.
    Silent,
    /// Connections are refused.
    Refused,
}

/// An address that is cut off. Keep it for as long as it is used.
struct CutAddress {
    address: SocketAddr,
    _listener: Option<Socket>,
    _pending: Vec<TcpStream>,
}

impl CutAddress {
    async fn new(cut: Cut) -> CutAddress {
        if cut == Cut::Refused {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            return CutAddress { address, _listener: None, _pending: Vec::new() };
        }
        // The kernel doesn't answer connections to a listener whose backlog is full.
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        listener.bind(&any.into()).expect("a port");
        listener.listen(0).expect("it listens");
        let address = listener.local_addr().expect("an address").as_socket().expect("an IP");
        let mut pending = Vec::new();
        while let Ok(connected) = tokio::time::timeout(ms(100), TcpStream::connect(address)).await {
            pending.push(connected.expect("a connection"));
        }
        CutAddress { address, _listener: Some(listener), _pending: pending }
    }
}

/// A replica that sends one entry the same state for as long as it is connected.
struct FakeReplica {
    ip: IpAddr,
}

impl FakeReplica {
    async fn start(
        ip: IpAddr,
        deployment: Deployment,
        targets: Vec<Listed>,
        peers: &[IpAddr],
    ) -> FakeReplica {
        let listener = TcpListener::bind((ip, PEER_PORT)).await.expect("the port is free");
        let versioned = VersionedRoster::new(1, Arc::new(roster(targets)));
        let named = peers
            .iter()
            .map(|ip| PeerEntry { ip: *ip, failure_domain: FAILURE_DOMAIN.to_string() })
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
struct Entry {
    ip: IpAddr,
    child: Child,
    folder: TempDir,
}

impl Entry {
    fn start(ip: IpAddr, replica: IpAddr) -> Entry {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let settings = json!({
            "NodeName": format!("entry-{ip}"), "Ip": ip, "Zone": FAILURE_DOMAIN,
            "Listen": {"Front": SocketAddr::new(ip, CALLER_PORT),
                       "Ready": SocketAddr::new(ip, READINESS_PORT)},
            "PortRange": [PEER_PORT, PEER_PORT + 4], "Seeds": [SocketAddr::new(replica, 1)],
            "FirstStart": true, "Limits": {"MemoryMb": 100, "MaxFds": 1000},
            "DataDir": null, "Cloud": null,
            "Bounds": {"GraceS": SHUTDOWN_GRACE_S, "BudgetRatio": 100.0, "BudgetWindowS": 10,
                       "BudgetSlack": 5000, "VersionMs": 6000, "VersionAllMs": 8400}
        });
        let path = folder.path().join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("the file is writable");
        let log = std::fs::File::create(folder.path().join("log")).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_kumquatpost"))
            .arg("entry")
            .env("KUMQUATPOST_SETTINGS", path)
            .stdout(log)
            .spawn()
            .expect("the process starts");
        Entry { ip, child, folder }
    }

    async fn until_ready(&self) {
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
    async fn send(&self, path: &str, id: &str, extra: &str) -> TcpStream {
        let mut stream = TcpStream::connect((self.ip, CALLER_PORT)).await.expect("it listens");
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 60000\r\nAuthorization: Bearer key-a\r\nConnection: close\r\n{extra}\
             Content-Length: 4\r\n\r\nbody"
        );
        stream.write_all(request.as_bytes()).await.expect("the entry reads the request");
        stream
    }

    async fn call(&self, path: &str, id: &str) -> Response {
        self.call_with(path, id, "").await
    }

    async fn call_with(&self, path: &str, id: &str, extra: &str) -> Response {
        let mut stream = self.send(path, id, extra).await;
        let mut bytes = Vec::new();
        // A truncated response ends in an error; the bytes before it are kept.
        let _ = stream.read_to_end(&mut bytes).await;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
        Response { status, text }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }
}

/// A cut entry, an entry that reaches the targets, and these targets.
struct System {
    cut: Entry,
    sound: Entry,
    targets: Vec<StandIn>,
    _addresses: Vec<CutAddress>,
}

/// Starts a system with the scripts of its targets; `network` is unique per test.
async fn start(cut: Cut, service: &str, scripts: Vec<Script>, network: u8) -> System {
    let (mut targets, mut reachable, mut unreachable) = (Vec::new(), Vec::new(), Vec::new());
    let mut addresses = Vec::new();
    for (n, script) in scripts.into_iter().enumerate() {
        let id = format!("i-{n}");
        let stand_in = StandIn::start(script).await;
        let cut_address = CutAddress::new(cut).await;
        reachable.push(target(&id, service, stand_in.address));
        unreachable.push(target(&id, service, cut_address.address));
        targets.push(stand_in);
        addresses.push(cut_address);
    }
    let [cut_ip, sound_ip, replica_1, replica_2] = [0, 1, 2, 3].map(|n| loopback(network + n));
    let deployment = deployment_with_long_timeouts();
    let one = FakeReplica::start(replica_1, deployment.clone(), unreachable, &[sound_ip]).await;
    let other = FakeReplica::start(replica_2, deployment, reachable, &[cut_ip]).await;
    let (cut, sound) = (Entry::start(cut_ip, one.ip), Entry::start(sound_ip, other.ip));
    cut.until_ready().await;
    sound.until_ready().await;
    System { cut, sound, targets, _addresses: addresses }
}

fn answers(answer: String, count: usize) -> Script {
    vec![(answer, AfterAnswer::KeepOpen); count]
}

fn requests(system: &System) -> usize {
    system.targets.iter().map(StandIn::request_count).sum()
}

// Guards against callers that are refused, or wait longer, since their entry has lost its path to
// targets.
#[test]
fn callers_of_a_cut_entry_are_served_through_another_one() {
    for (cut, network) in [(Cut::Silent, 100), (Cut::Refused, 104)] {
        run_local(async move {
            let scripts = vec![answers(ok_response("done"), 100); 3];
            let system = start(cut, "app", scripts, network).await;
            for n in 0..30 {
                let (id, sent_at) = (format!("r{n}"), Instant::now());
                let got = system.cut.call(["/once/", "/safe/"][n % 2], &id).await;
                assert_eq!(got.status, 200, "{cut:?}, {id}: {}", got.text);
                assert!(got.text.ends_with("done"), "{cut:?}, {id}: {}", got.text);
                // The first requests find out that the path is lost.
                let took = sent_at.elapsed();
                assert!(n < 5 || took < ms(200), "{cut:?}, {id} takes {took:?}");
            }
            assert_eq!(requests(&system), 30, "{cut:?}: each reaches one target once");
            let log = system.sound.log();
            assert!(log.contains("id=r7"), "the same id is logged at the other entry: {log}");
        });
    }
}

// Guards against streams that are refused since their entry has lost its path to targets.
#[test]
fn streams_of_a_cut_entry_are_relayed_whole_through_another_one() {
    run_local(async {
        let stream = event_stream(&["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"], true);
        let scripts = vec![answers(stream, 100); 3];
        let system = start(Cut::Silent, "llm", scripts, 108).await;
        for n in 0..6 {
            let got = system.cut.call_with("/stream/", &format!("r{n}"), PROMPT).await;
            assert_eq!(got.status, 200, "r{n}: {}", got.text);
            let is_whole = got.text.contains("data: x") && got.text.ends_with("0\r\n\r\n");
            assert!(is_whole, "r{n}: {}", got.text);
        }
        assert_eq!(requests(&system), 6);
    });
}
