//! Which TCP connections belong to a process.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Instant;

/// The last table that was read. All connections of a run ask at the same time, and reading it is slow
/// on a machine with many connections.
static LAST_READ: Mutex<Option<PortTable>> = Mutex::new(None);

struct PortTable {
    pid: u32,
    read_at: Instant,
    /// Local ports of the process's connections.
    ports: HashSet<u16>,
}

/// Whether the TCP connection from a local port, open since some time, belongs to a process.
pub fn owns_port(pid: u32, port: u16, open_since: Instant) -> bool {
    let mut last_read = LAST_READ.lock().expect("the lock is not poisoned");
    let table = match last_read.take() {
        Some(table) if table.pid == pid && table.read_at >= open_since => table,
        _ => PortTable { pid, read_at: Instant::now(), ports: ports_of(pid) },
    };
    last_read.insert(table).ports.contains(&port)
}

fn ports_of(pid: u32) -> HashSet<u16> {
    // The process may have ended.
    let Ok(links) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return HashSet::new() };
    let links = links.filter_map(|link| std::fs::read_link(link.ok()?.path()).ok());
    let sockets: HashSet<String> = links.map(|link| link.to_string_lossy().into_owned()).collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connections = table.lines().filter_map(connection);
    let owned = connections.filter(|(_, inode)| sockets.contains(&format!("socket:[{inode}]")));
    owned.map(|(port, _)| port).collect()
}

/// The local port and the inode in a line of the table; `None` if nobody owns the connection any more.
fn connection(line: &str) -> Option<(u16, &str)> {
    let (_, fields) = line.split_once(": ")?;
    let is_time_wait = fields.get(28..30) == Some("06");
    if is_time_wait {
        return None;
    }
    let port = u16::from_str_radix(fields.get(9..13)?, 16).ok()?;
    Some((port, fields.split_whitespace().nth(8)?))
}
