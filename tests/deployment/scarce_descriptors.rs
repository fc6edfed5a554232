//! Entries that can't open connections to targets since all their descriptors are in use.

use std::io;

use kumquatpost::net::lacks_local_resources;
use rustix::io::Errno;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cut_entries::{Entry, start_before_targets, start_with_few_descriptors};
use crate::fixtures::{ms, target};
use crate::gateway::{eventually, ok_response, run_local};
use crate::stand_in::{AfterAnswer, StandIn, header};

const DESCRIPTORS: u32 = 100;
const TARGETS: usize = 3;
/// Requests that need a connection to a target while no descriptor is left.
const REQUESTS: usize = 5;
const BODY: &[u8] = b"body";

/// Takes all descriptors of an entry with requests whose bodies are still to come.
async fn take_all_descriptors(entry: &Entry) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    // Connections of the start that are about to close are counted as well at first.
    while entry.open_descriptors(DESCRIPTORS) < DESCRIPTORS || !is_still_full(entry).await {
        let connecting = TcpStream::connect(entry.callers_address());
        let mut stream = connecting.await.expect("the entry listens");
        let head = format!(
            "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: h{}\r\n\
             Authorization: Bearer key-a\r\nContent-Length: {}\r\n\r\n",
            callers.len(),
            BODY.len()
        );
        stream.write_all(head.as_bytes()).await.expect("the connection is open");
        callers.push(stream);
        tokio::time::sleep(ms(5)).await;
    }
    callers
}

/// Opens idle connections until an entry uses `count` descriptors.
async fn fill_with_idle_connections(entry: &Entry, count: u32, idle: &mut Vec<TcpStream>) {
    loop {
        tokio::time::sleep(ms(20)).await;
        let used = entry.open_descriptors(DESCRIPTORS);
        if used >= count {
            return;
        }
        for _ in used..count {
            let connecting = TcpStream::connect(entry.callers_address());
            idle.push(connecting.await.expect("the entry listens"));
        }
    }
}

async fn is_still_full(entry: &Entry) -> bool {
    tokio::time::sleep(ms(200)).await;
    entry.open_descriptors(DESCRIPTORS) == DESCRIPTORS
}

// Guards against targets that are taken for failed, or their path for lost, since the entry itself has no
// descriptor left to connect with.
#[test]
fn a_lack_of_descriptors_is_not_blamed_on_targets_or_their_path() {
    run_local(async {
        let (mut targets, mut listed) = (Vec::new(), Vec::new());
        for n in 0..TARGETS {
            let script = vec![(ok_response("done"), AfterAnswer::KeepOpen); 100];
            let stand_in = StandIn::start(script).await;
            listed.push(target(&format!("i-{n}"), "app", stand_in.address));
            targets.push(stand_in);
        }
        let entry = start_before_targets(listed, 4_096, DESCRIPTORS, 210).await;
        let mut callers = take_all_descriptors(&entry).await;
        for caller in &mut callers[..REQUESTS] {
            caller.write_all(BODY).await.expect("the connection is open");
        }
        let mut refused = 0;
        for caller in &mut callers[..REQUESTS] {
            let mut bytes = vec![0; 4_096];
            let count = caller.read(&mut bytes).await.expect("an answer");
            let text = String::from_utf8_lossy(&bytes[..count]);
            // Connections that are idle after their answers make room for others.
            if text.starts_with("HTTP/1.1 200") {
                continue;
            }
            assert!(text.starts_with("HTTP/1.1 503"), "{text}\n{}", entry.log());
            assert!(header(&text, "retry-after").is_some(), "{text}");
            refused += 1;
        }
        assert!(refused > 0, "descriptors are lacking: {}", entry.log());
        let served = REQUESTS - refused;
        assert!(entry.log().contains("os error 24"), "descriptors are lacking: {}", entry.log());
        drop(callers);
        eventually(|| entry.open_descriptors(DESCRIPTORS) < DESCRIPTORS / 2).await;
        for n in 0..20 {
            let id = format!("r{n}");
            let mut got = entry.call("/once/", &id).await;
            // The entry rejects connections unread while those that waited for descriptors are many.
            while got.text.is_empty() {
                tokio::time::sleep(ms(5)).await;
                got = entry.call("/once/", &id).await;
            }
            assert_eq!(got.status, 200, "{id}: {}\n{}", got.text, entry.log());
        }
        tokio::time::sleep(ms(50)).await;
        let log = entry.log();
        assert!(!log.contains("event=path_lost"), "{log}");
        let requests: Vec<usize> = targets.iter().map(StandIn::request_count).collect();
        assert_eq!(requests.iter().sum::<usize>(), served + 20, "{requests:?}");
        assert!(requests.iter().all(|count| *count > 0), "all are used: {requests:?}");
    });
}

// Guards against a request that gets the last descriptor with its connection and is then refused since none is
// left for the connection to its target, although most are held by idle connections.
#[test]
fn idle_connections_make_room_for_the_connection_to_a_target() {
    run_local(async {
        for left in [1, 2] {
            let script = vec![(ok_response("done"), AfterAnswer::Close); 20];
            let network = 154 + 2 * left as u8;
            let (entry, stand_in) =
                start_with_few_descriptors(4_096, DESCRIPTORS, script, network).await;
            let mut idle = Vec::new();
            for n in 0..10 {
                fill_with_idle_connections(&entry, DESCRIPTORS - left, &mut idle).await;
                let got = entry.call("/once/", &format!("r{n}")).await;
                let text = &got.text;
                assert_eq!(got.status, 200, "{left} left, r{n}: {text}\n{}", entry.log());
            }
            assert_eq!(stand_in.request_count(), 10, "{left} left");
        }
    });
}

// Guards against a path that is taken for lost since the host has no local port left to connect from.
#[test]
fn a_lack_of_ports_or_memory_is_a_local_one_as_well() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL] {
        assert!(lacks_local_resources(&io::Error::from(errno)), "{errno}");
    }
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert!(!lacks_local_resources(&io::Error::from(errno)), "{errno}");
    }
    assert!(!lacks_local_resources(&io::ErrorKind::TimedOut.into()));
}
