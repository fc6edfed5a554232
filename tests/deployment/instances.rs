//! Decoding of the pages of the instance list.

use kumquatpost::control::roster_reader::TargetListSource;
use kumquatpost::fleet::listing::EntryError;
use kumquatpost::fleet::{Listed, Listing, Presence, UnreadableEntry};
use kumquatpost::platform::instances::{self, Page};

use crate::fixtures::ms;

const PAGE: &str = r#"{"Instances":[
  {"Service":"llm","Addr":"10.128.0.9:8080","Zone":"hall","Version":"v1","Slots":48,"State":"ready",
   "ColdLeftMs":0,"Stage":"colocated","Models":[{"Name":"m","Version":3,"Adapters":[]}],"Id":"i-1"},
  {"Service":"app","Addr":"10.128.0.10:8080","Zone":"hall","Version":"v1","Slots":6,
   "State":"draining","ColdLeftMs":0,"Id":"i-2"}],"NextToken":"p-50"}"#;

/// A valid entry whose address, birth and id contain `n`.
fn valid_entry(n: usize) -> String {
    format!(
        r#"{{"Service":"llm","Addr":"10.1.0.{n}:80","Zone":"z","Version":"v1","Slots":4,"State":"ready",
        "ColdLeftMs":12.5,"Stage":"colocated","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],
        "born":17000000000{n:02},"Id":"i-{n}"}}"#
    )
}

/// A page with the given bytes between two valid entries.
fn page_around(between: &[u8]) -> Vec<u8> {
    let mut page = b"{\"Instances\":[".to_vec();
    page.extend_from_slice(valid_entry(1).as_bytes());
    page.push(b',');
    page.extend_from_slice(between);
    page.push(b',');
    page.extend_from_slice(valid_entry(2).as_bytes());
    page.extend_from_slice(b"],\"NextToken\":\"p-3\"}");
    page
}

fn decode(page: &[u8]) -> Page {
    instances::decode(page).unwrap_or_else(|error| {
        panic!("{error} in {}", String::from_utf8_lossy(page));
    })
}

fn targets(page: Page) -> Vec<Listed> {
    page.entries.into_iter().filter_map(Result::ok).collect()
}

fn ids(targets: &[Listed]) -> Vec<&str> {
    targets.iter().map(|target| target.start.id.as_str()).collect()
}

#[test]
fn targets_and_the_next_page_are_read() {
    let page = decode(PAGE.as_bytes());
    assert_eq!(page.next.as_deref(), Some("p-50"));
    assert_eq!(instances::page_path(page.next.as_deref()), "/instances?PageToken=p-50");
    assert_eq!(instances::page_path(None), "/instances");
    let targets = targets(page);
    assert_eq!(targets[0].weights["m"], 3);
    assert_eq!(
        targets.iter().map(|target| target.presence).collect::<Vec<_>>(),
        [Presence::Live, Presence::Leaving]
    );
}

#[test]
fn an_entry_with_an_unknown_state_is_skipped() {
    let page = PAGE.replace("\"ready\"", "\"evacuating\"");
    assert_eq!(ids(&targets(decode(page.as_bytes()))), ["i-2"]);
}

#[test]
fn a_truncated_page_is_refused() {
    for length in 0..PAGE.len() {
        assert!(instances::decode(&PAGE.as_bytes()[..length]).is_err(), "cut at {length}");
    }
    let page = page_around(b"null");
    for length in 0..page.len() {
        assert!(instances::decode(&page[..length]).is_err(), "cut at {length}");
    }
}

/// Other writers may leave invalid fields or invalid entries in the list.
#[test]
fn an_unreadable_entry_is_skipped_and_the_others_are_kept() {
    let fields = [
        (
            "\"Service\":\"llm\",",
            &["", "\"Service\":7,", "\"Service\":\"\",", "\"Service\":null,"][..],
        ),
        (
            "\"Addr\":\"10.1.0.9:80\",",
            &[
                "",
                "\"Addr\":80,",
                "\"Addr\":\"10.1.0.9\",",
                "\"Addr\":\"host:80\",",
                "\"Addr\":\"10.1.0.9:99999\",",
                "\"Addr\":\"http://10.1.0.9:80/\",",
                "\"Addr\":\"10.1.0.9:0\",",
                "\"Addr\":\"0.0.0.0:80\",",
                "\"Addr\":\"[::]:80\",",
                "\"Addr\":\"224.0.0.1:80\",",
                "\"Addr\":\"255.255.255.255:80\",",
                "\"Addr\":[\"10.1.0.9:80\"],",
                "\"Addr\":{\"Ip\":\"10.1.0.9\"},",
            ],
        ),
        ("\"Zone\":\"z\",", &["", "\"Zone\":[],", "\"Zone\":\"\","]),
        ("\"Version\":\"v1\",", &["", "\"Version\":1,"]),
        ("\"Slots\":4,", &["", "\"Slots\":\"4\",", "\"Slots\":-4,", "\"Slots\":4.5,"]),
        (
            "\"State\":\"ready\",",
            &["", "\"State\":1,", "\"State\":\"Ready\",", "\"State\":\"gone\","],
        ),
        ("\"ColdLeftMs\":12.5,", &["", "\"ColdLeftMs\":\"0\",", "\"ColdLeftMs\":null,"]),
        (
            "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],",
            &["", "\"Models\":{},", "\"Models\":[7],", "\"Models\":[{\"Name\":\"m\"}],"],
        ),
        (
            "\"born\":1700000000009,",
            &["\"born\":\"1700000000009\",", "\"born\":1.5,", "\"born\":null,", "\"born\":1e300,"],
        ),
        (
            "\"Id\":\"i-9\"",
            &[
                "\"id\":\"i-9\"",
                "\"Id\":9",
                "\"Id\":\"\"",
                "\"Id\":\"i 9\"",
                "\"Id\":\"i\\n9\"",
                "\"Id\":\"\u{e9}\"",
                "\"Id\":\"i-9\",\"Id\":\"i-8\"",
            ],
        ),
    ];
    for (field, replacements) in fields {
        for replacement in replacements {
            let entry = valid_entry(9);
            assert!(entry.contains(field), "{field}");
            let page = decode(&page_around(entry.replace(field, replacement).as_bytes()));
            assert_eq!(page.entries.len(), 3, "{replacement} in place of {field}");
            assert_eq!(page.next.as_deref(), Some("p-3"));
            assert_eq!(ids(&targets(page)), ["i-1", "i-2"], "{replacement} in place of {field}");
        }
    }
    let invalid_entries = ["null", "7", "\"i-9\"", "[]", "{}", "[{}]", "{\"Id\":\"i-9\"}", "true"];
    for entry in invalid_entries {
        assert_eq!(
            ids(&targets(decode(&page_around(entry.as_bytes())))),
            ["i-1", "i-2"],
            "{entry}"
        );
    }
    let long = valid_entry(9).replace("i-9", &"i".repeat(5_000));
    assert_eq!(ids(&targets(decode(&page_around(long.as_bytes())))), ["i-1", "i-2"]);
}

#[test]
fn invalid_utf8_affects_only_its_own_entry() {
    let entry = valid_entry(9).into_bytes();
    for at in 0..entry.len() {
        let mut corrupt = entry.clone();
        corrupt[at] = 0xff;
        let found = targets(decode(&page_around(&corrupt)));
        assert!(ids(&found).contains(&"i-1") && ids(&found).contains(&"i-2"), "at {at}");
        assert!(!ids(&found).iter().any(|id| id.contains('9')), "at {at}");
    }
    // Also in a field that is not decoded.
    let with_note = valid_entry(9).replace("\"Slots\"", "\"Note\":\"X\",\"Slots\"").into_bytes();
    let with_note: Vec<u8> =
        with_note.into_iter().map(|b| if b == b'X' { 0xc3 } else { b }).collect();
    let page = decode(&page_around(&with_note));
    let flaw = UnreadableEntry { id: Some("i-9".to_string()), flaw: EntryError::NotText };
    assert_eq!(page.entries[1], Err(flaw));
}

#[test]
fn a_truncated_entry_does_not_affect_the_others() {
    let entry = valid_entry(9);
    for length in 0..entry.len() {
        for page in [
            page_around(&entry.as_bytes()[..length]),
            // As the last entry of the page.
            format!(
                "{{\"Instances\":[{},{}],\"NextToken\":null}}",
                valid_entry(1),
                &entry[..length]
            )
            .into_bytes(),
        ] {
            let has_second = page.ends_with(b"\"p-3\"}");
            let found = targets(decode(&page));
            let expected = if has_second { &["i-1", "i-2"][..] } else { &["i-1"] };
            assert_eq!(ids(&found), expected, "cut at {length}");
        }
    }
    for broken in ["{", "{\"Id\":", "\"", "]", "}", "{]", "[}", "{\"Id\":\"i-9\"", "{'Id'}", ""] {
        let found = targets(decode(&page_around(broken.as_bytes())));
        assert_eq!(ids(&found), ["i-1", "i-2"], "{broken}");
    }
}

#[test]
fn births_are_parsed_from_any_json_number_notation() {
    for (written, born_ms) in [
        ("1700000000001", 1_700_000_000_001),
        ("1700000000001.0", 1_700_000_000_001),
        ("1.7e12", 1_700_000_000_000),
        ("0", 0),
        ("-5", -5),
    ] {
        let entry = valid_entry(1).replace("1700000000001", written);
        let page = format!("{{\"Instances\":[{entry}],\"NextToken\":null}}");
        let found = targets(decode(page.as_bytes()));
        assert_eq!(found[0].start.born_ms, Some(born_ms), "{written}");
    }
}

fn listing(pages: &[&str]) -> Listing {
    let mut listing = Listing::default();
    for page in pages {
        decode(page.as_bytes()).entries.into_iter().for_each(|entry| listing.add(entry));
    }
    listing
}

fn page_of(entries: &[String]) -> String {
    format!("{{\"Instances\":[{}],\"NextToken\":null}}", entries.join(","))
}

#[test]
fn an_entry_without_birth_is_unreadable_if_others_have_one() {
    let entry_without_birth =
        |n| valid_entry(n).replace(&format!("\"born\":17000000000{n:02},"), "");
    // No entry has a birth: starts are identified by id alone.
    let none = listing(&[&page_of(&[entry_without_birth(1)]), &page_of(&[entry_without_birth(2)])])
        .finish();
    let none = none.expect("the list is readable").into_targets();
    assert!(none.iter().all(|target| target.start.born_ms.is_none()) && none.len() == 2);
    // Other entries have one, on any page: the entry without it is unreadable.
    for pages in
        [[entry_without_birth(1), valid_entry(2)], [valid_entry(2), entry_without_birth(1)]]
    {
        let pages = pages.map(|entry| page_of(&[entry]));
        let list = listing(&[&pages[0], &pages[1]]).finish().expect("the list is readable");
        let flaw = UnreadableEntry { id: Some("i-1".to_string()), flaw: EntryError::NoBirth };
        assert_eq!(list.unreadable().iter().collect::<Vec<_>>(), [&flaw]);
        assert_eq!(ids(&list.into_targets()), ["i-2"]);
    }
}

#[test]
fn a_list_without_any_readable_entry_is_refused() {
    let unknown_state = valid_entry(1).replace("\"ready\"", "\"strange\"");
    assert!(listing(&[&page_of(std::slice::from_ref(&unknown_state))]).finish().is_err());
    assert!(listing(&[&page_of(&[])]).finish().is_ok(), "an empty list is valid");
    let one = listing(&[&page_of(&[unknown_state, valid_entry(2)])])
        .finish()
        .expect("the list is readable");
    assert_eq!((one.unreadable_count(), one.into_targets().len()), (1, 1));
}

#[test]
fn details_of_unreadable_entries_are_bounded() {
    let long = "x".repeat(10_000);
    let entries: Vec<String> =
        (0..500).map(|n| valid_entry(1).replace("\"ready\"", &format!("\"{long}{n}\""))).collect();
    let mut listing = listing(&[&page_of(&entries)]);
    decode(page_of(&[valid_entry(2)]).as_bytes()).entries.into_iter().for_each(|e| listing.add(e));
    let listing = listing.finish().expect("one entry is readable");
    assert_eq!(listing.unreadable_count(), 500);
    assert!(format!("{:?}", listing.unreadable()).len() < 20_000);
}

#[test]
fn the_read_interval_follows_the_allowed_request_rate() {
    let list = |rate_per_s| TargetListSource { address: crate::fixtures::address(1), rate_per_s };
    assert_eq!(list(44.0).read_interval(3), ms(500));
    assert_eq!(list(50.0).read_interval(60), ms(2_000), "60 pages, 30 calls a second");
    assert_eq!(list(0.0).read_interval(60), ms(500), "no rate is set");
    assert_eq!(list(1e-300).read_interval(60), ms(60_000), "the interval is bounded");
    assert_eq!(list(-1.0).read_interval(60), ms(500));
}
