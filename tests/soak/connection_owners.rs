//! Which TCP connections belong to a process.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::time::Instant;

/// The last table that was read. All connections of a run ask at the same time, and reading it is slow
/// on a machine with many connections.
static LAST_READ: Mutex<Option<ConnectionTable>> = Mutex::new(None);

struct ConnectionTable {
    pid: u32,
    read_at: Instant,
    connections: HashSet<Ends>,
}

/// The local and the remote address of a connection. Connections to different addresses may have the
/// same local one.
pub type Ends = (SocketAddr, SocketAddr);

/// Whether a TCP connection, open since some time, belongs to a process.
pub fn owns_connection(pid: u32, ends: Ends, open_since: Instant) -> bool {
    let mut last_read = LAST_READ.lock().expect("the lock is not poisoned");
    let table = match last_read.take() {
        Some(table) if table.pid == pid && table.read_at >= open_since => table,
        _ => ConnectionTable { pid, read_at: Instant::now(), connections: connections_of(pid) },
    };
    last_read.insert(table).connections.contains(&ends)
}

fn connections_of(pid: u32) -> HashSet<Ends> {
    // The process may have ended.
    let Ok(links) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return HashSet::new() };
    let links = links.filter_map(|link| std::fs::read_link(link.ok()?.path()).ok());
    let sockets: HashSet<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connections = table.lines().filter_map(connection);
    let owned = connections.filter(|(_, inode)| sockets.contains(&format!("socket:[{inode}]")));
    owned.map(|(ends, _)| ends).collect()
}

/// The addresses and the inode in a line of the table; `None` if nobody owns the connection any more.
fn connection(line: &str) -> Option<(Ends, &str)> {
    let (_, fields) = line.split_once(": ")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let [local, remote, state, .., inode] = fields.get(..9)? else { return None };
    let is_time_wait = *state == "06";
    if is_time_wait {
        return None;
    }
    Some(((address(local)?, address(remote)?), inode))
}

/// Parses an address of the table, whose bytes are in the order of this machine.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    Some((ip, u16::from_str_radix(port, 16).ok()?).into())
}
