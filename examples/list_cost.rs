//! Times what one read of the platform's list costs a replica: decoding its pages, and taking the list.
//!
//! `cargo run --release --example list_cost`

use std::time::{Duration, Instant};

use kumquatpost::fleet::{Listing, Roster};
use kumquatpost::platform::instances;

const PAGES: usize = 60;
const PAGE_ENTRIES: usize = 50;
const ROUNDS: usize = 400;

/// The middle one of many times.
fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

/// An entry as the platform writes it; every third one is of a plain service.
fn entry(n: usize, born: &str) -> String {
    let engine =
        r#""Stage":"colocated","Models":[{"Name":"gobo5855d7","Version":1,"Adapters":[]}],"#;
    let (service, engine) = if n.is_multiple_of(3) { ("xaye40c", "") } else { ("bose66a", engine) };
    let id = (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    format!(
        r#"{{"Id":"i-{id:010x}","Service":"{service}","Addr":"10.{}.{}.{}:8229",
        "Zone":"kirtipur-hall","Version":"v1","Slots":48,"State":"ready",{engine}{born}"ColdLeftMs":0}}"#,
        n / 60_000,
        n / 250 % 250,
        n % 250
    )
}

fn pages(born: &str, spoilt_every: Option<usize>) -> Vec<Vec<u8>> {
    let page = |page: usize| {
        let entries: Vec<String> = (page * PAGE_ENTRIES..(page + 1) * PAGE_ENTRIES)
            .map(|n| match spoilt_every.is_some_and(|every| n.is_multiple_of(every)) {
                true => entry(n, born).replace("\"ready\"", "\"unheard\""),
                false => entry(n, born),
            })
            .collect();
        format!(r#"{{"Instances":[{}],"NextToken":"p-{page}"}}"#, entries.join(",")).into_bytes()
    };
    (0..PAGES).map(page).collect()
}

fn read(pages: &[Vec<u8>]) -> Listing {
    let mut listing = Listing::default();
    for page in pages {
        let page = instances::decode(page).expect("a page");
        page.entries.into_iter().for_each(|entry| listing.add(entry));
    }
    listing.finish().expect("it can be read")
}

fn measure(what: &str, pages: &[Vec<u8>]) {
    let mut roster = Roster::default();
    let (mut decoding, mut taking) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let begun = Instant::now();
        let listing = read(pages);
        decoding.push(begun.elapsed());
        let begun = Instant::now();
        roster.update(listing.into_targets());
        taking.push(begun.elapsed());
    }
    let bytes: usize = pages.iter().map(Vec::len).sum();
    println!(
        "{what}: {} targets, {bytes} bytes: decoded in {:?}, taken in {:?}",
        roster.len(),
        median(decoding),
        median(taking)
    );
}

fn main() {
    measure("without births", &pages("", None));
    measure("with births", &pages("\"born\":1774907153760,", None));
    measure("one entry in 50 unreadable", &pages("\"born\":1774907153760,", Some(50)));
}
