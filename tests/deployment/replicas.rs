//! Replicas as real processes on loopback: one host address each, as on the platform.

use std::fs::{File, read_to_string};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use reqwest::blocking::Client;
use serde_json::{Value, json};

use crate::fixtures::loopback;

/// Longest wait for what must happen: many times what it takes, for busy machines.
const PATIENCE: Duration = Duration::from_secs(120);

/// Most hosts of one system.
const HOSTS: u8 = 8;

/// Replicas of one system.
pub struct Core {
    folder: tempfile::TempDir,
    /// Differs between tests, so that their hosts do.
    subnet: u8,
    port: u16,
    list: Option<SocketAddr>,
    running: Vec<Option<Child>>,
    client: Client,
}

impl Drop for Core {
    fn drop(&mut self) {
        for child in self.running.iter_mut().flatten() {
            child.kill().expect("it is ours");
            child.wait().expect("it ends");
        }
    }
}

impl Core {
    pub fn start(count: usize) -> Core {
        Core::start_with_list(count, None)
    }

    /// Replicas that read the list of targets at an address.
    pub fn start_with_list(count: usize, list: Option<SocketAddr>) -> Core {
        static SUBNETS: AtomicU16 = AtomicU16::new(1);
        let mut core = Core {
            folder: tempfile::tempdir().expect("a folder"),
            subnet: SUBNETS.fetch_add(1, Ordering::Relaxed) as u8,
            // Below the range from which systems take ports for outgoing connections.
            port: 20_000 + (std::process::id() % 600) as u16 * 20,
            list,
            running: (0..count).map(|_| None).collect(),
            client: Client::builder().timeout(Duration::from_secs(3)).build().expect("a client"),
        };
        (0..count).for_each(|host| core.run(host, true));
        core
    }

    fn ip(&self, host: usize) -> String {
        loopback(self.subnet * HOSTS + host as u8).to_string()
    }

    /// Where a replica hears entries and other replicas.
    pub fn peer_address(&self, host: usize) -> SocketAddr {
        format!("{}:{}", self.ip(host), self.port).parse().expect("an address")
    }

    fn file(&self, host: usize, name: &str) -> PathBuf {
        self.folder.path().join(format!("{host}-{name}"))
    }

    pub fn run(&mut self, host: usize, is_first_start: bool) {
        let seed = |host| format!("{}:{}", self.ip(host), self.port + 9);
        let settings = json!({
            "NodeName": format!("core-{host}"), "Ip": self.ip(host), "Zone": "hall",
            "Listen": {"Control": seed(host)}, "PortRange": [self.port, self.port + 8],
            "Seeds": [seed(0), seed(1), seed(2)], "FirstStart": is_first_start,
            "Limits": {"MemoryMb": 256, "MaxFds": 4096}, "DataDir": self.file(host, "data"),
            "Cloud": self.list.map(|list| json!({"Addr": list, "RatePerS": 44.0})), "Tolerate": {"Machines": 2}, "Bounds": {"LeaseMs": 3000, "VersionMs": 2000, "VersionAllMs": 2800}
        });
        let path = self.file(host, "settings.json");
        std::fs::write(&path, settings.to_string()).expect("a file");
        let log = File::options().create(true).append(true).open(self.file(host, "log"));
        let child = Command::new(env!("CARGO_BIN_EXE_kumquatpost"))
            .arg("replica")
            .env("KUMQUATPOST_SETTINGS", path)
            .stdout(log.expect("a file"))
            .spawn()
            .expect("it starts");
        self.running[host] = Some(child);
    }

    pub fn kill(&mut self, host: usize) {
        let mut child = self.running[host].take().expect("it runs");
        child.kill().expect("it is ours");
        child.wait().expect("it ends");
    }

    fn wipe(&self, host: usize) {
        std::fs::remove_dir_all(self.file(host, "data")).expect("its folder");
    }

    /// Lines of all logs that hold a text.
    fn logged(&self, text: &str) -> usize {
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

    pub fn eventually(&self, what: &str, mut holds: impl FnMut(&Core) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < PATIENCE, "it never held: {what}\n{}", self.logs());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn call(&self, host: usize, body: Option<&Value>) -> Option<(u16, String)> {
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

    /// Publishes at any replica that takes it, as an operator does.
    pub fn publish(&self, version: u64) {
        let document = document(version);
        self.eventually(&format!("version {version} is acknowledged"), |core| {
            core.any(|host| core.call(host, Some(&document))).is_some()
        });
    }

    /// What a read at any replica shows.
    fn read(&self) -> Value {
        let mut found = None;
        self.eventually("a read is answered", |core| {
            found = core.any(|host| core.call(host, None));
            found.is_some()
        });
        serde_json::from_str(&found.expect("it was found")).expect("JSON")
    }

    pub fn any(&self, call: impl Fn(usize) -> Option<(u16, String)>) -> Option<String> {
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
fn what_was_acknowledged_outlives_disks_lost_one_after_another() {
    let mut core = Core::start(5);
    core.eventually("five vote", |core| core.logged("change=Promote") >= 2);
    core.publish(3);
    // Founders and one that joined lose their disks; the next one only once the last was replaced.
    for (lost, version) in [(0, 5), (3, 6), (1, 8), (2, 13)] {
        let (promoted, removed) = (core.logged("change=Promote"), core.logged("change=Remove"));
        core.kill(lost);
        core.wipe(lost);
        core.run(lost, false);
        core.eventually("it is replaced", |core| {
            core.logged("change=Promote") > promoted && core.logged("change=Remove") > removed
        });
        core.publish(version);
    }
    // Then two at once, while all others lose power.
    (0..5).for_each(|host| core.kill(host));
    core.wipe(3);
    core.wipe(4);
    (0..5).for_each(|host| core.run(host, false));
    assert_eq!(core.read(), document(13), "as it was sent");
    core.publish(21);
}

#[test]
fn an_old_or_other_document_is_acknowledged_and_changes_nothing_and_a_bad_one_is_refused() {
    let core = Core::start(3);
    core.publish(7);
    core.publish(4);
    let mut other = document(7);
    other["Note"] = json!("other content");
    core.eventually("it is acknowledged", |core| {
        core.any(|host| core.call(host, Some(&other))).is_some()
    });
    assert_eq!(core.read(), document(7));
    for host in 0..3 {
        let bad = json!({"Version": 9, "Routes": [{"Name": "r"}], "Services": []});
        assert_eq!(core.call(host, Some(&bad)).map(|(status, _)| status), Some(400));
    }
    assert_eq!(core.read(), document(7));
}

#[test]
fn without_a_quorum_nothing_is_acknowledged_or_shown_but_a_bad_document_is_refused() {
    let mut core = Core::start(3);
    core.publish(2);
    core.kill(0);
    core.kill(1);
    core.eventually("the last one sees that it is alone", |core| {
        core.call(2, None).is_some_and(|(status, _)| status == 503)
    });
    let status = core.call(2, Some(&document(3))).map(|(status, _)| status);
    assert_eq!(status, Some(503));
    let bad = json!({"Version": 9});
    assert_eq!(core.call(2, Some(&bad)).map(|(status, _)| status), Some(400));
    core.run(0, false);
    assert_eq!(core.read(), document(2));
}
