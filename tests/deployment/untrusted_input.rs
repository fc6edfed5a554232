//! Malformed input from outside: decoding never panics, and targets get only requests that a caller sent.

use std::rc::Rc;
use std::time::Duration;

use kumquatpost::control::frames::{
    self, Handshake, ReplicaFrame, SchedulerReply, SchedulerRequest, Update,
};
use kumquatpost::control::roster_reader::TargetListSource;
use kumquatpost::control::state::ControlState;
use kumquatpost::deployment::validate;
use kumquatpost::fleet::{Listing, Roster};
use kumquatpost::platform::{
    deployment_document, engines, headers, instances, operator, settings, stores,
};
use kumquatpost::scheduler::PlacementRequest;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixtures::{cases, ms, target};
use crate::gateway::{Entry, deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::load::{placement_request, scheduler};
use crate::stand_in::{AfterAnswer, StandIn, header};

/// Valid documents of each decoded kind, which the tests corrupt.
const DOCUMENTS: [&str; 7] = [
    r#"{"NodeName":"c","Ip":"10.1.0.3","Zone":"h","Listen":{"Control":"10.1.0.3:8000"},"PortRange":[7700,7715],"Seeds":["10.1.0.3:8000"],"FirstStart":true,"Limits":{"MemoryMb":256,"MaxFds":4096},"DataDir":"/x","Cloud":{"Addr":"10.2.0.1:80","RatePerS":44.0},"Tolerate":{"Machines":2},"Bounds":{"GraceS":8,"LeaseMs":3000,"ThawMs":300,"VersionMs":60,"BudgetRatio":0.2,"BudgetWindowS":10,"BudgetSlack":56}}"#,
    r#"{"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"stream","TimeoutMs":15000,"SloMs":800,"Split":[{"Service":"s","Weight":9}]}],"Services":[{"Name":"s","Engine":{"Slots":64,"KvCapacity":9,"KvTokenBytes":3}}],"Tenants":[{"Name":"t","ApiKeys":["k"]}]}"#,
    r#"{"Instances":[{"Service":"s","Addr":"10.1.0.9:80","Zone":"z","Slots":64,"State":"ready","Version":"v1","ColdLeftMs":0,"Models":[{"Name":"m","Version":1}],"born":17,"Id":"i"}],"NextToken":"p"}"#,
    r#"{"Models":[{"Name":"m","Version":2}],"Busy":true,"Seq":2}"#,
    r#"{"BootEpoch":7,"NextToken":120,"Lost":false,"Events":[[119,"+","s1","5c",800,"m"]],"clock_ms":1.5}"#,
    r#"{"BootEpoch":7,"NextToken":120,"Held":[["s1","5c",800,"m"]],"Partial":[["s","p",1,2]]}"#,
    r#"{"Model":"m","Version":2}"#,
];

/// Decodes the bytes as every document of the platform and every frame between processes.
fn decode_all(bytes: &[u8]) {
    let _ = deployment_document::decode(bytes).map(|deployment| validate::problems(&deployment));
    let _ = instances::decode(bytes).map(|page| {
        let mut listing = Listing::default();
        page.entries.into_iter().for_each(|entry| listing.add(entry));
        let _ = listing.finish().map(|listing| Roster::default().update(listing.into_targets()));
    });
    let _ = settings::decode(bytes).map(|host| {
        let list = TargetListSource {
            address: host.target_list.unwrap_or(crate::fixtures::address(1)),
            rate_per_s: host.target_list_reads_per_s,
        };
        list.read_interval(1_000)
    });
    let _ = engines::decode_report(bytes);
    apply_store_data(bytes);
    let _ = operator::decode(&http::Method::POST, "/version-put", bytes);
    let _ = ControlState::from_snapshot(bytes);
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let mut framed = (bytes.len() as u32).to_le_bytes().to_vec();
    framed.extend_from_slice(bytes);
    for bytes in [bytes, &framed] {
        runtime.block_on(async {
            let _ = frames::read::<Handshake>(&mut &*bytes).await;
            let _ = frames::read::<SchedulerRequest>(&mut &*bytes).await;
            let _ = frames::read::<SchedulerReply>(&mut &*bytes).await;
            let _ = frames::read::<ReplicaFrame>(&mut &*bytes).await;
            let _ = frames::read::<Update>(&mut &*bytes).await;
        });
    }
}

/// A valid entry of the target list.
fn list_entry(id: &str) -> String {
    format!(
        r#"{{"Service":"s","Addr":"10.1.0.9:80","Zone":"z","Version":"v1","Slots":64,"State":"ready",
        "ColdLeftMs":0,"Stage":"s","Models":[{{"Name":"m","Version":1}}],"born":17,"Id":"{id}"}}"#
    )
}

/// Applies the bytes to a scheduler as the inventory and the events of a store.
fn apply_store_data(bytes: &[u8]) {
    let mut scheduler = scheduler(2);
    let store = crate::fixtures::address(9_000);
    if let Ok((inventory, clock_ms)) = stores::decode_list(bytes) {
        clock_ms.into_iter().for_each(|at_ms| scheduler.read_clock(at_ms, ms(5_000)));
        scheduler.observe_inventory(store, inventory, ms(5_000));
    }
    if let Ok(page) = stores::decode_events(bytes) {
        page.clock_ms.into_iter().for_each(|at_ms| scheduler.read_clock(at_ms, ms(5_000)));
        scheduler.observe_cache_events(&crate::fixtures::start("i-00"), page.events.clone());
        scheduler.observe_events(store, page.events, ms(5_000));
    }
    scheduler.submit(1, placement_request(1, 1, 1), ms(5_001));
    scheduler.plan_frees(ms(60_000));
}

proptest! {
    #![proptest_config(cases(400))]

    /// The valid entries before and after a corrupt one are still decoded.
    #[test]
    fn a_corrupt_list_entry_does_not_affect_the_others(
        byte_changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
        is_last in any::<bool>(),
    ) {
        let mut corrupt = list_entry("i-2").into_bytes();
        for (at, byte) in byte_changes {
            let at = at.index(corrupt.len());
            corrupt[at] = byte;
        }
        for length in [corrupt.len(), cut.index(corrupt.len())] {
            let third = list_entry("i-3").into_bytes();
            let (first, second) = match is_last {
                true => (&third[..], &corrupt[..length]),
                false => (&corrupt[..length], &third[..]),
            };
            let page = [b"{\"Instances\":[", list_entry("i-1").as_bytes(), b",", first, b",", second,
                b"],\"NextToken\":\"p\"}"].concat();
            let page = instances::decode(&page).expect("the page is well-formed around its entries");
            prop_assert_eq!(page.next.as_deref(), Some("p"));
            let targets: Vec<_> = page.entries.into_iter().filter_map(Result::ok).collect();
            for id in ["i-1", "i-3"] {
                prop_assert!(targets.iter().any(|target| target.start.id == id), "{}", id);
            }
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    #[test]
    fn corrupt_documents_are_decoded_or_refused(
        document in 0..DOCUMENTS.len(),
        byte_changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = DOCUMENTS[document].as_bytes().to_vec();
        for (at, byte) in byte_changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        decode_all(&bytes);
        bytes.truncate(cut.index(bytes.len()));
        decode_all(&bytes);
    }

    /// Arbitrary token counts and prefixes in request headers must not make the scheduler panic.
    #[test]
    fn any_prompt_is_placed_or_refused(
        counts in "[0-9]{0,22},[0-9]{0,22}",
        prefix in "([0-9a-f]{0,3}:[0-9]{0,22},?){0,6}",
    ) {
        let mut values = http::HeaderMap::new();
        values.insert("x-model", "m".parse().expect("a header"));
        values.insert("x-token-count", counts.parse().expect("a header"));
        values.insert("x-prompt-prefix", prefix.parse().expect("a header"));
        let call = headers::decode_request(&"/a/".parse().expect("a path"), &values);
        let prompt = call.prompt.expect("the headers name a model");
        let mut scheduler = scheduler(2);
        for waiter in 0..3 {
            let request = PlacementRequest {
                parts: prompt.parts.clone(),
                prompt_tokens: prompt.prompt_tokens,
                output_tokens: prompt.output_tokens,
                ..placement_request(1, 1, 1)
            };
            scheduler.submit(waiter, request, ms(waiter));
        }
        scheduler.dispatch(ms(5_000));
    }
}

/// Header fields that parsers may interpret differently. The entry must refuse the request, or forward
/// one request with the body that its length delimits.
const AMBIGUOUS_HEADS: [&str; 9] = [
    "Content-Length: 4\r\nContent-Length: 5\r\n",
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Content-Length: +4\r\n",
    "Content-Length: 0x4\r\n",
    "Content-Length : 4\r\n",
    "X-Folded: a\r\n b: c\r\nContent-Length: 4\r\n",
    "Connection: x-request-id, host, content-length\r\nContent-Length: 4\r\n",
];

/// A body that holds another request.
const SMUGGLED: &str = "POST /once/smuggled HTTP/1.1\r\nHost: shop.example\r\n\
                        X-Request-Id: smuggled\r\nAuthorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n";

#[test]
fn no_request_is_smuggled_inside_another() {
    run_local(async {
        for ambiguous in AMBIGUOUS_HEADS {
            let answers = (0..6).map(|_| (ok_response("done"), AfterAnswer::KeepOpen)).collect();
            let stand_in = StandIn::start(answers).await;
            let entry = start_entry(
                deployment_with_long_timeouts(),
                vec![target("i-1", "app", stand_in.address)],
            )
            .await;
            let head = "POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n\
                        X-Deadline-Ms: 60000\r\nAuthorization: Bearer key-a\r\n";
            send(&entry, &format!("{head}{ambiguous}\r\nbody{SMUGGLED}")).await;
            for request in stand_in.requests.borrow().iter() {
                assert_eq!(header(request, "x-request-id").as_deref(), Some("r1"), "{ambiguous}");
                let (_, body) = request.split_once("\r\n\r\n").expect("a head");
                assert!(body == "body" || body.is_empty(), "{ambiguous}: {body}");
            }
            assert_eq!(
                entry.call("/once/b", "r2").await.status,
                200,
                "the entry still serves after {ambiguous}"
            );
        }
    });
}

/// Sends the bytes, closes the sending side, and reads until the entry closes the connection or a timeout.
async fn send(entry: &Entry, bytes: &str) {
    let mut stream =
        TcpStream::connect(entry.address).await.expect("the entry accepts connections");
    stream.write_all(bytes.as_bytes()).await.expect("the entry reads");
    stream.shutdown().await.expect("the connection is open");
    let mut answer = Vec::new();
    // The entry may reset the connection of a request that it refuses.
    let _ = tokio::time::timeout(Duration::from_secs(60), stream.read_to_end(&mut answer)).await;
}

proptest! {
    #![proptest_config(cases(60))]

    #[test]
    fn corrupt_request_heads_do_not_stop_an_entry(
        byte_changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5),
    ) {
        run_local(async {
            let answers = (0..4).map(|_| (ok_response("done"), AfterAnswer::KeepOpen)).collect();
            let stand_in = Rc::new(StandIn::start(answers).await);
            let entry = start_entry(deployment_with_long_timeouts(), vec![target("i-1", "app", stand_in.address)]).await;
            let mut bytes = b"POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n\
                              Authorization: Bearer key-a\r\nContent-Length: 4\r\n\r\nbody"
                .to_vec();
            for (at, byte) in byte_changes {
                let at = at.index(bytes.len());
                // ASCII only, because `send` takes a string.
                bytes[at] = byte & 0x7f;
            }
            send(&entry, &String::from_utf8(bytes).expect("text")).await;
            assert_eq!(entry.call("/once/b", "r2").await.status, 200);
        });
    }
}
