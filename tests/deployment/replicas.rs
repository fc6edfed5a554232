//! Replicas as processes on loopback, one host address each: durability and availability of
//! published documents.

use std::fs::{File, read_to_string};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use reqwest::blocking::Client;
use serde_json::{Value, json};

use crate::fixtures::loopback;
use crate::stand_in::header;

/// Timeout for expected events, generous for busy machines.
const EVENT_TIMEOUT: Duration = Duration::from_secs(120);

/// Number of loopback addresses per cluster.
const MAX_HOSTS_PER_CLUSTER: u8 = 8;

/// Replica processes of one deployment.
pub struct ReplicaCluster {
    folder: tempfile::TempDir,
    /// Unique per cluster, so that tests running in parallel use distinct addresses.
    subnet: u8,
    port: u16,
    target_list: Option<SocketAddr>,
    running: Vec<Option<Child>>,
    client: Client,
}

impl Drop for ReplicaCluster {
    fn drop(&mut self) {
        for child in self.running.iter_mut().flatten() {
            child.kill().expect("the child can be killed");
            child.wait().expect("the child exits");
        }
    }
}

impl ReplicaCluster {
    pub fn start(count: usize) -> ReplicaCluster {
        ReplicaCluster::start_with_target_list(count, None)
    }

    /// Starts replicas that read the platform's target list at an address.
    pub fn start_with_target_list(count: usize, target_list: Option<SocketAddr>) -> ReplicaCluster {
        static SUBNETS: AtomicU16 = AtomicU16::new(1);
        let mut cluster = ReplicaCluster {
            folder: tempfile::tempdir().expect("a folder"),
            subnet: SUBNETS.fetch_add(1, Ordering::Relaxed) as u8,
            // Below the ephemeral port range.
            port: 20_000 + (std::process::id() % 600) as u16 * 20,
            target_list,
            running: (0..count).map(|_| None).collect(),
            client: Client::builder().timeout(Duration::from_secs(3)).build().expect("a client"),
        };
        (0..count).for_each(|host| cluster.start_replica(host, true));
        cluster
    }

    fn ip(&self, host: usize) -> String {
        loopback(self.subnet * MAX_HOSTS_PER_CLUSTER + host as u8).to_string()
    }

    /// Address at which a replica accepts entries and other replicas.
    pub fn peer_address(&self, host: usize) -> SocketAddr {
        format!("{}:{}", self.ip(host), self.port).parse().expect("an address")
    }

    fn file(&self, host: usize, name: &str) -> PathBuf {
        self.folder.path().join(format!("{host}-{name}"))
    }

    pub fn start_replica(&mut self, host: usize, is_first_start: bool) {
        let seed = |host| format!("{}:{}", self.ip(host), self.port + 9);
        let settings = json!({
            "NodeName": format!("core-{host}"), "Ip": self.ip(host), "Zone": "hall",
            "Listen": {"Control": seed(host)}, "PortRange": [self.port, self.port + 8],
            "Seeds": [seed(0), seed(1), seed(2)], "FirstStart": is_first_start,
            "Limits": {"MemoryMb": 256, "MaxFds": 4096}, "DataDir": self.file(host, "data"),
            "Cloud": self.target_list.map(|list| json!({"Addr": list, "RatePerS": 44.0})), "Tolerate": {"Machines": 2},
            "Bounds": {"GraceS": 8, "LeaseMs": 3000, "VersionMs": 2000, "VersionAllMs": 2800,
                       "BudgetRatio": 0.2, "BudgetWindowS": 60, "BudgetSlack": 56}
        });
        let path = self.file(host, "settings.json");
        std::fs::write(&path, settings.to_string()).expect("a file");
        let log = File::options().create(true).append(true).open(self.file(host, "log"));
        let child = Command::new(env!("CARGO_BIN_EXE_kumquatpost"))
            .arg("replica")
            .env("KUMQUATPOST_SETTINGS", path)
            .stdout(log.expect("a file"))
            .spawn()
            .expect("the replica starts");
        self.running[host] = Some(child);
    }

    fn terminate(&self, host: usize) {
        self.signal(host, "TERM");
    }

    fn signal(&self, host: usize, name: &str) {
        let id = self.running[host].as_ref().expect("the replica is running").id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    fn wait_for_exit(&mut self, host: usize) {
        let mut child = self.running[host].take().expect("the replica is running");
        child.wait().expect("the child exits");
    }

    pub fn kill(&mut self, host: usize) {
        let mut child = self.running[host].take().expect("the replica is running");
        child.kill().expect("the child can be killed");
        child.wait().expect("the child exits");
    }

    fn delete_data(&self, host: usize) {
        std::fs::remove_dir_all(self.file(host, "data")).expect("the data folder");
    }

    /// Number of lines in all logs that contain a text.
    fn count_log_lines(&self, text: &str) -> usize {
        let logs = (0..self.running.len()).map(|host| read_to_string(self.file(host, "log")));
        let lines = |log: String| log.lines().filter(|line| line.contains(text)).count();
        logs.map(|log| log.map_or(0, lines)).sum()
    }

    fn logs(&self) -> String {
        let logs = (0..self.running.len()).map(|host| read_to_string(self.file(host, "log")));
        let shown =
            logs.enumerate().map(|(host, log)| format!("{host}: {}", log.unwrap_or_default()));
        shown.collect()
    }

    pub fn eventually(&self, what: &str, mut holds: impl FnMut(&ReplicaCluster) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(
                begun.elapsed() < EVENT_TIMEOUT,
                "condition not met in time: {what}\n{}",
                self.logs()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn config_request(&self, host: usize, body: Option<&Value>) -> Option<(u16, String)> {
        let method = if body.is_some() { "PUT" } else { "GET" };
        self.send(host, method, "config", body)
    }

    pub fn send(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(u16, String)> {
        let url = format!("http://{}:{}/{path}", self.ip(host), self.port + 9);
        let request = self.client.request(method.parse().expect("a method"), url);
        let body = body.map(Value::to_string).unwrap_or_default();
        let answer = request.body(body).send().ok()?;
        Some((answer.status().as_u16(), answer.text().ok()?))
    }

    /// The status of a response, even if that is a redirect.
    pub fn send_without_redirects(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Option<u16> {
        let no_redirects = reqwest::redirect::Policy::none();
        let client = Client::builder().redirect(no_redirects).build().expect("a client");
        let url = format!("http://{}:{}/{path}", self.ip(host), self.port + 9);
        let request = client.request(method.parse().expect("a method"), url);
        let body = body.map(Value::to_string).unwrap_or_default();
        Some(request.body(body).send().ok()?.status().as_u16())
    }

    /// Publishes a document at the first replica that acknowledges it.
    pub fn publish(&self, version: u64) {
        let document = document(version);
        self.eventually(&format!("version {version} is acknowledged"), |cluster| {
            cluster.first_success(|host| cluster.config_request(host, Some(&document))).is_some()
        });
    }

    /// The document that the first answering replica returns.
    fn read(&self) -> Value {
        let mut found = None;
        self.eventually("a read is answered", |cluster| {
            found = cluster.first_success(|host| cluster.config_request(host, None));
            found.is_some()
        });
        serde_json::from_str(&found.expect("a response")).expect("JSON")
    }

    pub fn first_success(&self, call: impl Fn(usize) -> Option<(u16, String)>) -> Option<String> {
        (0..self.running.len())
            .filter(|host| self.running[*host].is_some())
            .filter_map(call)
            .find_map(|(status, text)| (status == 200).then_some(text))
    }
}

fn document(version: u64) -> Value {
    let engines = json!({"Slots": 16, "KvCapacity": 100_000, "KvTokenBytes": 1_000,
        "LinkMbps": 10_000.0, "Models": [{"Name": "m"}]});
    json!({"Version": version, "Routes": [], "Services": [{"Name": "llm", "Engine": engines}],
           "Note": format!("number {version}")})
}

#[test]
fn acknowledged_documents_survive_successive_disk_losses() {
    let mut cluster = ReplicaCluster::start(5);
    cluster
        .eventually("five replicas vote", |cluster| cluster.count_log_lines("change=promote") >= 2);
    cluster.publish(3);
    // Hosts lose their disks one after another, each once the previous replica has been replaced.
    for (lost, version) in [(0, 5), (3, 6), (1, 8), (2, 13)] {
        let (promoted, removed) =
            (cluster.count_log_lines("change=promote"), cluster.count_log_lines("change=remove"));
        cluster.kill(lost);
        cluster.delete_data(lost);
        cluster.start_replica(lost, false);
        cluster.eventually("the replica is replaced", |cluster| {
            cluster.count_log_lines("change=promote") > promoted
                && cluster.count_log_lines("change=remove") > removed
        });
        cluster.publish(version);
    }
    // Then all hosts lose power, and two of them their disks.
    (0..5).for_each(|host| cluster.kill(host));
    cluster.delete_data(3);
    cluster.delete_data(4);
    (0..5).for_each(|host| cluster.start_replica(host, false));
    assert_eq!(cluster.read(), document(13), "the document as published");
    cluster.publish(21);
}

#[test]
fn stale_documents_are_acknowledged_without_effect_and_invalid_ones_are_rejected() {
    let cluster = ReplicaCluster::start(3);
    cluster.publish(7);
    cluster.publish(4);
    let mut other = document(7);
    other["Note"] = json!("other content");
    cluster.eventually("the document is acknowledged", |cluster| {
        cluster.first_success(|host| cluster.config_request(host, Some(&other))).is_some()
    });
    assert_eq!(cluster.read(), document(7));
    for host in 0..3 {
        let bad = json!({"Version": 9, "Routes": [{"Name": "r"}], "Services": []});
        assert_eq!(cluster.config_request(host, Some(&bad)).map(|(status, _)| status), Some(400));
    }
    assert_eq!(cluster.read(), document(7));
}

#[test]
fn without_a_quorum_reads_and_writes_fail_and_invalid_documents_are_rejected() {
    let mut cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    cluster.kill(0);
    cluster.kill(1);
    cluster.eventually("the last replica detects the loss of its quorum", |cluster| {
        cluster.config_request(2, None).is_some_and(|(status, _)| status == 503)
    });
    let status = cluster.config_request(2, Some(&document(3))).map(|(status, _)| status);
    assert_eq!(status, Some(503));
    let bad = json!({"Version": 9});
    assert_eq!(cluster.config_request(2, Some(&bad)).map(|(status, _)| status), Some(400));
    cluster.start_replica(0, false);
    assert_eq!(cluster.read(), document(2));
}

/// Guards against operators' calls that are cut off by a planned stop.
#[test]
fn a_planned_stop_answers_an_operators_call_in_progress() {
    let mut cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    let leads =
        |host: &usize| cluster.send_without_redirects(*host, "GET", "config", None) == Some(200);
    let leader = (0..3).find(leads).expect("a leader");
    (0..3).filter(|host| *host != leader).for_each(|host| cluster.kill(host));
    let answer = std::thread::scope(|scope| {
        // A call waits for a decision until the leader has noticed that it lost its quorum.
        let publish =
            || cluster.send_without_redirects(leader, "PUT", "config", Some(&document(3)));
        let call = scope.spawn(publish);
        std::thread::sleep(Duration::from_millis(100));
        assert!(!call.is_finished(), "the call waits");
        cluster.terminate(leader);
        call.join().expect("the call does not panic")
    });
    assert_eq!(answer, Some(503));
}

/// Guards against a planned stop that waits for the rest of an operator's call.
#[test]
fn a_half_sent_operators_call_is_refused_at_once_and_does_not_delay_a_planned_stop() {
    let mut cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    let address = (cluster.ip(0), cluster.port + 9);
    let mut caller = TcpStream::connect(address).expect("the replica listens");
    let half = "PUT /config HTTP/1.1\r\nHost: replica\r\nContent-Length: 1000\r\n\r\n{";
    caller.write_all(half.as_bytes()).expect("the replica reads the call");
    std::thread::sleep(Duration::from_millis(500));
    let stopped_at = Instant::now();
    cluster.terminate(0);
    let mut text = String::new();
    caller.read_to_string(&mut text).expect("a complete response");
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    cluster.wait_for_exit(0);
    assert!(stopped_at.elapsed() < Duration::from_secs(4), "{:?}", stopped_at.elapsed());
}

/// Reads the answer to an operator's call up to the end of its body, or what there is of it.
fn read_answer(caller: &mut TcpStream) -> String {
    let (mut text, mut bytes) = (String::new(), [0; 4_096]);
    let is_whole = |text: &str| {
        let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
        header(head, "content-length").is_some_and(|length| length.parse() == Ok(body.len()))
    };
    while !is_whole(&text) {
        match caller.read(&mut bytes) {
            Ok(count) if count > 0 => text += &String::from_utf8_lossy(&bytes[..count]),
            _ => break,
        }
    }
    text
}

/// Guards against operators' calls on kept connections that get no answer, since a busy replica finds
/// them and the signal to stop at once.
#[test]
fn calls_that_arrive_before_a_planned_stop_are_answered() {
    const CALLERS: usize = 20;
    const CALL: &[u8] = b"GET /config HTTP/1.1\r\nHost: replica\r\n\r\n";
    let cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    let address = (cluster.ip(0), cluster.port + 9);
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(&address).expect("the replica listens");
        caller.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a socket");
        caller.write_all(CALL).expect("the connection is open");
        let text = read_answer(&mut caller);
        assert!(text.starts_with("HTTP/1.1 "), "{text:?}");
        callers.push(caller);
    }
    cluster.signal(0, "STOP");
    for caller in &mut callers {
        caller.write_all(CALL).expect("the connection is open");
    }
    cluster.terminate(0);
    cluster.signal(0, "CONT");
    let texts = callers.iter_mut().map(read_answer);
    let answered = texts.filter(|text| text.starts_with("HTTP/1.1 ")).count();
    assert_eq!(answered, CALLERS, "calls that were answered");
}

/// How long an operator waits for an answer before it asks another replica.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);

/// Guards against operators' calls that wait in vain at a replica whose disk is full, and against queued
/// messages of that time, which would tell it later what is no longer so.
#[test]
fn a_replica_with_a_full_disk_refuses_calls_at_once_and_serves_again_when_there_is_room() {
    let mut cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    let leads =
        |host: &usize| cluster.send_without_redirects(*host, "GET", "config", None) == Some(200);
    let leader = (0..3).find(leads).expect("a leader");
    let full = (leader + 1) % 3;
    let folder = cluster.file(full, "data").join("replica");
    let (mark, vote_draft) = (folder.join("mark"), folder.join("vote.draft"));
    let kept_mark = folder.join("mark.kept");
    std::fs::rename(&mark, &kept_mark).expect("a mark");
    for file in [&mark, &vote_draft] {
        std::os::unix::fs::symlink("/dev/full", file).expect("a link");
    }
    // The election that follows makes it write its vote.
    cluster.kill(leader);
    cluster.eventually("the disk stays full", |cluster| {
        cluster.count_log_lines("event=disk_still_fails") > 0
    });
    for body in [None, Some(document(3))] {
        let asked_at = Instant::now();
        let (status, text) = cluster.config_request(full, body.as_ref()).expect("an answer");
        assert_eq!(status, 503, "{text}");
        assert!(text.contains("no replica leads"), "known as not decided: {text}");
        assert!(asked_at.elapsed() < OPERATOR_PATIENCE, "{:?}", asked_at.elapsed());
    }
    std::fs::remove_file(&vote_draft).expect("a link");
    std::fs::rename(&kept_mark, &mark).expect("a mark");
    assert_eq!(cluster.read(), document(2));
}

/// Guards against log lines with the debug forms of our types, which neither a reader nor a filter expects.
#[test]
fn replicas_log_optional_values_and_names_in_plain_form() {
    let cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    cluster.eventually("all know the leader", |cluster| {
        cluster.count_log_lines("event=leader_changed") >= 3
            && cluster.count_log_lines("leader=127.") >= 3
    });
    let logs = cluster.logs();
    for form in ["Some(", "None", "Ok(", "Err(", "NoLeader", "Current"] {
        assert!(!logs.contains(form), "{form}: {logs}");
    }
}

/// Guards against lines about lost state at a first start, which an operator would take for trouble.
#[test]
fn files_that_were_not_restored_are_logged_unless_a_first_start_finds_none() {
    const NOT_RESTORED: [&str; 2] = ["event=quarantine_not_restored", "event=targets_not_restored"];
    let mut cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    for event in NOT_RESTORED {
        assert_eq!(cluster.count_log_lines(event), 0, "{event} at a first start");
    }
    cluster.kill(0);
    cluster.start_replica(0, false);
    for event in NOT_RESTORED {
        let missing = format!("{event} reason=\"the file is missing\"");
        cluster.eventually(event, |cluster| cluster.count_log_lines(&missing) == 1);
    }
}

/// Guards against replicas that never serve entries once they have replaced one whose disk was lost: they did not
/// know the addresses of the others, and could ask none of them for the ages of weights.
#[test]
fn a_replica_that_replaces_one_with_a_lost_disk_becomes_current() {
    const IS_CURRENT: &str = "event=replica_currency now=current";
    let mut cluster = ReplicaCluster::start(3);
    cluster.publish(2);
    cluster.eventually("all are current", |cluster| cluster.count_log_lines(IS_CURRENT) >= 3);
    let is_follower =
        |host: &usize| cluster.send_without_redirects(*host, "GET", "config", None) == Some(307);
    let replaced = (0..3).find(is_follower).expect("a follower");
    cluster.kill(replaced);
    std::fs::remove_dir_all(cluster.file(replaced, "data")).expect("the data folder");
    cluster.start_replica(replaced, false);
    cluster.eventually("the new replica is current", |cluster| {
        let log = read_to_string(cluster.file(replaced, "log")).unwrap_or_default();
        let starts: Vec<&str> = log.split("event=start ").skip(1).collect();
        starts.len() == 2 && starts[1].contains(IS_CURRENT)
    });
}
