//! The platform's list of targets: delayed, paginated, and with entries of other writers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::Request;
use serde_json::json;

use super::http::{self, HttpResponse};
use super::target::Target;
use super::{Inner, Platform};

/// Delay until the list shows a change.
pub const LIST_LAG: Duration = Duration::from_millis(200);
/// Prefix of pagination tokens.
const PAGE_TOKEN_PREFIX: &str = "p-";

/// The list, with its faults.
#[derive(Default)]
pub struct List {
    /// Entries of other writers, each with its position and its bytes.
    pub foreign: Vec<(usize, Vec<u8>)>,
    /// Entries per page; 0 disables pagination.
    pub page_entries: usize,
    /// Added to the position at which each further page starts, as if entries moved between reads:
    /// positive values skip entries, negative ones repeat them.
    pub shift: isize,
    /// Versions of the list with the time of each, newest last; shown after [`LIST_LAG`].
    shown: Vec<(Instant, Vec<Vec<u8>>)>,
}

/// How an entry of another writer differs from that of a target.
#[derive(Clone, Copy, Debug)]
pub enum ForeignEntry {
    /// A field is missing.
    Lacks(&'static str),
    /// A field has these bytes as its value.
    Has(&'static str, &'static [u8]),
}

/// Entries of other writers, to which no request may be sent.
pub const FOREIGN_ENTRIES: [ForeignEntry; 28] = [
    ForeignEntry::Lacks("Id"),
    ForeignEntry::Lacks("Service"),
    ForeignEntry::Lacks("Addr"),
    ForeignEntry::Lacks("Zone"),
    ForeignEntry::Lacks("State"),
    ForeignEntry::Has("Id", b"7"),
    ForeignEntry::Has("Id", b"null"),
    ForeignEntry::Has("Service", b"[\"llm\"]"),
    ForeignEntry::Has("Service", b"\"nobody\""),
    ForeignEntry::Has("Addr", b"8080"),
    ForeignEntry::Has("Addr", b"\"127.0.0.1\""),
    ForeignEntry::Has("Addr", b"\"127.0.0.1:99999\""),
    ForeignEntry::Has("Addr", b"\"http://127.0.0.1:80/\""),
    ForeignEntry::Has("Addr", b"\"[::1:80\""),
    ForeignEntry::Has("Zone", b"{\"Name\":\"hall-0\"}"),
    ForeignEntry::Has("Slots", b"\"16\""),
    ForeignEntry::Has("Slots", b"-1"),
    ForeignEntry::Has("State", b"\"evacuating\""),
    ForeignEntry::Has("State", b"\"Ready \""),
    ForeignEntry::Has("State", b"1"),
    ForeignEntry::Has("Models", b"\"m\""),
    ForeignEntry::Has("Zone", b"\"\xff\xfe\""),
    ForeignEntry::Has("Zone", b"\"\\ud800\""),
    ForeignEntry::Has("ColdLeftMs", b"@"),
    ForeignEntry::Lacks("Version"),
    ForeignEntry::Lacks("Slots"),
    ForeignEntry::Lacks("ColdLeftMs"),
    ForeignEntry::Has("Version", b"1"),
];

impl ForeignEntry {
    /// The bytes of the entry; all other fields are valid.
    pub fn entry(self, id: &str, address: SocketAddr) -> Vec<u8> {
        let whole = json!({"Id": id, "Service": "llm", "Addr": address, "Zone": "hall-0",
                           "Version": "v1", "Slots": 16, "ColdLeftMs": 0, "State": "ready",
                           "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "born": 1});
        let fields = whole.as_object().into_iter().flatten();
        let written = fields.filter_map(|(name, value)| {
            let value = match self {
                ForeignEntry::Lacks(lacked) if lacked == name => return None,
                ForeignEntry::Has(field, bytes) if field == name => bytes.to_vec(),
                _ => value.to_string().into_bytes(),
            };
            Some([format!("\"{name}\":").into_bytes(), value].concat())
        });
        [b"{".to_vec(), written.collect::<Vec<_>>().join(&b","[..]), b"}".to_vec()].concat()
    }
}

impl Platform {
    /// Serves the list until the runtime shuts down. Returns its address.
    pub async fn serve_list(&self, at: SocketAddr) -> SocketAddr {
        let platform = self.clone();
        http::serve(at, move |request| {
            let platform = platform.clone();
            async move {
                match request.uri().path() {
                    "/instances" => platform.lock().page(&request),
                    _ => http::status(404),
                }
            }
        })
        .await
    }

    /// Serves the address that entries of other writers name, and records each request as a violation.
    pub async fn serve_unused_address(&self, at: SocketAddr) -> SocketAddr {
        let platform = self.clone();
        http::serve(at, move |request| {
            let platform = platform.clone();
            async move {
                let what = format!("the address of a foreign entry receives {}", request.uri());
                platform.lock().observations.violation(what);
                http::status(404)
            }
        })
        .await
    }
}

impl Inner {
    /// Records the current list, which is shown after [`LIST_LAG`].
    pub fn list_changed(&mut self) {
        let listed = self.targets.values().filter_map(Target::listed);
        let mut entries: Vec<Vec<u8>> = listed.map(|entry| entry.to_string().into()).collect();
        for (place, entry) in &self.list.foreign {
            entries.insert(place % (entries.len() + 1), entry.clone());
        }
        self.list.shown.push((Instant::now(), entries));
    }

    fn page<B>(&mut self, request: &Request<B>) -> HttpResponse {
        let list = &mut self.list;
        let shown = list.shown.iter().rposition(|(at, _)| at.elapsed() >= LIST_LAG);
        if let Some(shown) = shown {
            list.shown.drain(..shown);
        }
        let entries = shown.and(list.shown.first()).map_or(&[][..], |(_, entries)| entries);
        let token = request.uri().query().and_then(|query| query.split("PageToken=").nth(1));
        let begun =
            token.and_then(|token| token.strip_prefix(PAGE_TOKEN_PREFIX)?.parse::<usize>().ok());
        let first = begun.map_or(0, |begun| begun.saturating_add_signed(list.shift));
        let first = first.min(entries.len());
        let last = match list.page_entries {
            0 => entries.len(),
            // Each page advances, even if `shift` moves entries by a whole page.
            size => (first + size).max(begun.map_or(0, |begun| begun + 1)).min(entries.len()),
        };
        let next = (last < entries.len()).then(|| format!("{PAGE_TOKEN_PREFIX}{last}"));
        let entries = entries[first..last].join(&b","[..]);
        let end = format!("],\"NextToken\":{}}}", json!(next));
        http::with_body(200, [b"{\"Instances\":[".to_vec(), entries, end.into_bytes()].concat())
    }
}
