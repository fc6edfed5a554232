//! Measures the cost of single operations on this machine, each at a given size.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use super::cost_models::Point;
use super::measure::{median_us, resident_growth_bytes, wire_bytes};
use crate::claims::{ClaimKey, ClaimToken, Outcome};
use crate::config::document::key_hash;
use crate::config::{ConfigHistory, Policy, Prices, Update};

use crate::error::{Error, Result};
use crate::ids::NodeId;
use crate::lease::LeaseGrantor;
use crate::limits::shares::{GrantedShare, ShareAllocator, ShareRequest};
use crate::log::disk::Disk;
use crate::log::state::{Command, State};
use crate::log::{Entry, Message, Payload, Persist, RoundAck};
use crate::membership::{Member, Packet, Status, Swim, SwimTiming};
use crate::orders::{EngineState, Planner};
use crate::peer::auth::TAG_BYTES;
use crate::peer::message::{Frame, PeerRequest, PeerResponse, QuarantineCursor, RenewLease};
use crate::prefix_catalog::{AnsweredPrompt, Catalog, ExportOutcome, Position, PrefixLocation};
use crate::prompt::{BLOCK_TOKENS, Chain, Owner};
use crate::route::residency::MAX_TRACKED_BLOCKS;
use crate::route::{EngineView, RouteRequest, Router, View, decide};
use crate::upstream::api::{LoadReport, Presence, Role, StoredObject, Target, TargetList};

/// Sender, receiver, start, sequence number and authentication code of a datagram.
const DATAGRAM_OVERHEAD_BYTES: usize = 32 + TAG_BYTES;
/// Blocks of a typical context, about 2,000 tokens.
const CONTEXT_BLOCKS: u32 = 16;
const NOW: Duration = Duration::from_secs(10_000);

/// Approximate size of the request and response headers of one poll of a load report.
pub(super) const HTTP_HEADER_BYTES: f64 = 250.0;

fn owner() -> Owner {
    Owner {
        account: "account-1234".into(),
        model: "model-12".into(),
        weight_version: "v1".into(),
        adapter: String::new(),
    }
}

pub(super) fn load_report() -> LoadReport {
    LoadReport {
        incarnation: 1,
        age_ms: 100,
        running: 10,
        waiting: 2,
        queued_prefill_tokens: 5_000,
        max_batch: 16,
        prefill_tokens_per_s: 20_000.0,
        kv_bytes_per_token: 65_536,
        weight_version: Some("v1".into()),
        reproducible: true,
    }
}

fn engine_view() -> EngineView {
    let mut engine = EngineView::new("model-12", "http://10.0.0.1:8000", "domain-1", 1);
    engine.apply_report(load_report(), NOW);
    engine
}

pub(super) fn decide_us(candidates: usize) -> f64 {
    let prompt = "word ".repeat(CONTEXT_BLOCKS as usize * BLOCK_TOKENS);
    let chain = Chain::new(&owner(), &prompt);
    let mut view = View { live_nodes: 8, ..View::default() };
    for number in 0..candidates {
        let mut engine = engine_view();
        // Every engine holds another context; one in 50 also holds the requested one.
        engine.residency.expect_resident(&[number as u128]);
        if number % 50 == 0 {
            engine.residency.expect_resident(&chain.keys);
        }
        view.engines.insert(format!("engine-{number}"), engine);
    }
    let version = "v1".to_string();
    let prices = Prices::default();
    median_us(9, 200.min(200_000 / candidates.max(1)).max(5), |number| {
        let request = RouteRequest {
            model: "model-12",
            weight_version: &version,
            chain: &chain,
            stored_prefixes: &[],
            excluded_engines: &[],
            request_number: number as u64,
        };
        std::hint::black_box(decide(Policy::Cost, &prices, &view, &request, NOW));
    })
}

pub(super) fn chain_us(tokens: usize) -> f64 {
    let prompt = "teardown ".repeat(tokens);
    let owner = owner();
    median_us(9, 50, |_| {
        std::hint::black_box(Chain::new(&owner, &prompt));
    })
}

fn answered_prompt(number: u128, blocks: u32) -> AnsweredPrompt {
    let key = |blocks: u32| (number << 32) | u128::from(blocks);
    let positions = (1..=blocks).map(|n| Position { blocks: n, key: key(n) }).collect();
    AnsweredPrompt { root: key(1), positions }
}

fn store_fill_ratios() -> BTreeMap<String, f64> {
    BTreeMap::from([("store-0".to_string(), 0.3), ("store-1".to_string(), 0.4)])
}

/// A catalog in which every context has one committed copy.
fn filled_catalog(contexts: usize) -> Catalog {
    let mut catalog = Catalog::new(contexts * 2, 1);
    for number in 0..contexts as u128 {
        let prompt = answered_prompt(number, CONTEXT_BLOCKS);
        if let Some(plan) = catalog.record_answer(&prompt, &store_fill_ratios(), NOW) {
            let kept = PrefixLocation {
                store: plan.store.clone(),
                object: kept_object(&prompt, plan.generation),
            };
            let (root, key, generation) = (plan.root, plan.position.key, plan.generation);
            catalog.record_export(&ExportOutcome { root, key, generation, kept: Some(kept) }, NOW);
        }
    }
    catalog
}

fn kept_object(prompt: &AnsweredPrompt, generation: u64) -> StoredObject {
    let last = prompt.positions.last().copied().unwrap_or(Position { blocks: 0, key: 0 });
    StoredObject {
        root: prompt.root,
        key: last.key,
        generation,
        blocks: last.blocks,
        size_bytes: 131_000_000,
        checksum: 7,
    }
}

pub(super) fn catalog_us(contexts: usize) -> f64 {
    let mut catalog = filled_catalog(contexts);
    let store_fill_ratios = store_fill_ratios();
    median_us(9, 1_000, |number| {
        let prompt = answered_prompt((number * 7_919 % contexts) as u128, CONTEXT_BLOCKS);
        std::hint::black_box(catalog.lookup(prompt.root, NOW));
        std::hint::black_box(catalog.record_answer(&prompt, &store_fill_ratios, NOW));
    })
}

pub(super) fn catalog_bytes(contexts: usize) -> f64 {
    resident_growth_bytes(|| filled_catalog(contexts))
}

pub(super) fn context_wire_bytes(blocks: usize) -> f64 {
    let prompt = answered_prompt(7, blocks as u32);
    let kept = PrefixLocation { store: "store-0".into(), object: kept_object(&prompt, 1) };
    let frames = [
        Frame::Request(1_000_000, PeerRequest::Lookup { root: prompt.root }),
        Frame::Response(1_000_000, PeerResponse::Kept(vec![kept])),
        Frame::Request(1_000_001, PeerRequest::Seen(prompt)),
        Frame::Response(1_000_001, PeerResponse::Export(None)),
    ];
    frames.iter().map(wire_bytes).sum::<usize>() as f64
}

fn claim_commands(number: u64) -> [Command; 2] {
    let key = ClaimKey {
        account: format!("account-{}", number % 3_000),
        request_id: format!("r-{number:032x}"),
    };
    let token = ClaimToken { node: number % 1_500, boot: 1_790_000_000_000, count: number };
    let outcome = Outcome {
        status: 200,
        content_type: "application/json".into(),
        body: Some(vec![b'x'; 200]),
    };
    [
        Command::Claim { key: key.clone(), digest: [7; 16], token, at_ms: 1 },
        Command::Record { key, token, outcome },
    ]
}

fn state_with_claims(claims: usize) -> State {
    let mut state = State::new(u64::MAX / 2);
    for number in 0..claims as u64 {
        claim_commands(number).iter().for_each(|command| {
            state.apply(command);
        });
    }
    state
}

pub(super) fn claim_us(claims: usize) -> f64 {
    let mut state = state_with_claims(claims);
    median_us(9, 500, |number| {
        for command in claim_commands((claims + number) as u64) {
            std::hint::black_box(state.apply(&command));
        }
    })
}

pub(super) fn claim_bytes(claims: usize) -> f64 {
    resident_growth_bytes(|| state_with_claims(claims))
}

pub(super) fn claim_log_bytes(claims: usize) -> f64 {
    let bytes = |command: &Command| postcard::to_stdvec(command).map_or(0, |bytes| bytes.len());
    (0..claims as u64)
        .flat_map(claim_commands)
        .map(|command| {
            let payload = Payload::Command(vec![0; bytes(&command)].into());
            let entry = Entry { index: 1_000_000, term: 10, payload };
            postcard::to_stdvec(&entry).map_or(0.0, |bytes| bytes.len() as f64 + 8.0)
        })
        .sum()
}

pub(super) fn sync_points(folder: &Path) -> Result<Vec<Point>> {
    let failed =
        |source: std::io::Error| Error::start("capacity", source, "make space on the disk");
    let (mut disk, _) = Disk::open(&folder.join("sync"))?;
    let mut index = 0;
    let mut points = Vec::new();
    for batch in [1, 16, 64, 256] {
        let mut times = Vec::new();
        for _ in 0..30 {
            let append = (0..batch)
                .map(|_| {
                    index += 1;
                    Entry { index, term: 1, payload: Payload::Command(vec![7; 150].into()) }
                })
                .collect();
            let persist = Persist { append, ..Persist::default() };
            let start = Instant::now();
            disk.save(&persist, &[]).map_err(failed)?;
            times.push(start.elapsed().as_secs_f64() * 1e6);
        }
        times.sort_by(f64::total_cmp);
        points.push(Point { size: f64::from(batch), cost: times[times.len() / 2] });
    }
    disk.close();
    Ok(points)
}

pub(super) fn config_document(accounts: usize) -> serde_json::Value {
    let accounts: serde_json::Map<String, serde_json::Value> = (0..accounts)
        .map(|number| {
            let key_blake3 = key_hash(&number.to_string());
            (format!("account-{number}"), json!({"key_blake3": key_blake3, "max_running": 64}))
        })
        .collect();
    let models: serde_json::Map<String, serde_json::Value> =
        (0..21).map(|n| (format!("model-{n}"), json!({"weight_version": "v1"}))).collect();
    json!({"accounts": accounts, "models": models})
}

pub(super) fn patch_us(accounts: usize) -> f64 {
    let mut history = ConfigHistory::default();
    let document = config_document(accounts);
    if let Ok(patched) = history.preview_patch(&document) {
        history.append(patched, document.to_string());
    }
    median_us(5, 4, |number| {
        let change = json!({"accounts": {"account-1": {"max_running": 1 + number}}});
        if let Ok(patched) = history.preview_patch(&change) {
            history.append(patched, change.to_string());
        }
    })
}

pub(super) fn grant_us(leases: usize) -> f64 {
    let mut grantor = LeaseGrantor::new(Duration::from_secs(3), NOW);
    for child in 0..leases as u64 {
        grantor.grant(child, 1, Duration::from_secs(3), NOW);
    }
    median_us(9, 500, |number| {
        let child = (number % leases) as NodeId;
        std::hint::black_box(grantor.grant(child, 2, Duration::from_secs(3), NOW));
        std::hint::black_box(grantor.min_acked(2, NOW));
    })
}

pub(super) fn renew_wire_bytes(patches: usize) -> f64 {
    let text = json!({"accounts": {"account-1234": {"max_running": 640}}}).to_string();
    let patches: Vec<(u64, String)> =
        (0..patches as u64).map(|n| (1_000_000 + n, text.clone())).collect();
    let update = if patches.is_empty() { Update::None } else { Update::Patches(patches) };
    let quarantine_sent = QuarantineCursor { boot: 1_790_000_000_000, revision: 1_000_000 };
    let renew = RenewLease {
        known_number: 1_000_000,
        subtree_number: 1_000_000,
        as_relay: true,
        quarantine: Vec::new(),
        quarantine_received: quarantine_sent,
    };
    let granted = PeerResponse::Granted {
        lasts_ms: 3_000,
        number: 1_000_001,
        update,
        quarantine: Vec::new(),
        quarantine_sent,
    };
    let frames = [
        Frame::Request(1_000_000, PeerRequest::RenewLease(renew)),
        Frame::Response(1_000_000, granted),
    ];
    frames.iter().map(wire_bytes).sum::<usize>() as f64
}

fn member(node: NodeId) -> Member {
    Member {
        node,
        address: SocketAddr::from((Ipv4Addr::new(10, 0, (node >> 8) as u8, node as u8), 7_000)),
        failure_domain: format!("domain-{}", node % 14),
        incarnation: 1_790_000_000_000,
        status: Status::Alive,
    }
}

/// Processor time in microseconds and bytes sent by the membership protocol, per node and second, in a group of
/// `nodes` of which one fails.
pub(super) fn swim_costs(nodes: usize) -> (f64, f64) {
    const SECONDS: u64 = 30;
    const STEP: Duration = Duration::from_millis(100);
    let timing = SwimTiming { probe_interval: Duration::from_millis(500) };
    let seeds: Vec<Member> = (1..=nodes as NodeId).map(member).collect();
    let mut members_by_id: HashMap<NodeId, Swim> = (1..=nodes as NodeId)
        .map(|node| (node, Swim::new(member(node), seeds.clone(), timing, node, NOW)))
        .collect();
    let mut packets: Vec<(NodeId, NodeId, Packet)> = Vec::new();
    let (mut sent_bytes, mut now) = (0, NOW);
    let start = Instant::now();
    let mut encoding_time = Duration::ZERO;
    while now < NOW + Duration::from_secs(SECONDS) {
        now += STEP;
        let mut outgoing = Vec::new();
        for (from, to, packet) in packets.drain(..) {
            if let Some(swim) = members_by_id.get_mut(&to) {
                outgoing
                    .extend(swim.receive(from, packet, now).into_iter().map(|(n, p)| (to, n, p)));
            }
        }
        for (id, swim) in &mut members_by_id {
            outgoing.extend(swim.tick(now).into_iter().map(|(to, packet)| (*id, to, packet)));
        }
        let encoding_start = Instant::now();
        for (_, _, packet) in &outgoing {
            sent_bytes += postcard::to_stdvec(packet).map_or(0, |bytes| bytes.len());
            sent_bytes += DATAGRAM_OVERHEAD_BYTES;
        }
        encoding_time += encoding_start.elapsed();
        packets = outgoing;
        if now == NOW + Duration::from_secs(5) {
            members_by_id.remove(&1);
        }
    }
    let per_node_second = nodes as f64 * SECONDS as f64;
    let elapsed = start.elapsed().max(encoding_time);
    (elapsed.as_secs_f64() * 1e6 / per_node_second, sent_bytes as f64 / per_node_second)
}

pub(super) fn target_list(targets: usize) -> TargetList {
    let target = |number: usize| Target {
        id: format!("engine-{number}"),
        incarnation: 1,
        role: Role::Engine { model: format!("model-{}", number % 21) },
        url: format!("http://10.0.{}.{}:8000", number / 256, number % 256),
        failure_domain: format!("domain-{}", number % 14),
        presence: Presence::Live,
        checks_fencing: true,
    };
    TargetList { targets: (0..targets).map(target).collect() }
}

pub(super) fn list_us(targets: usize) -> f64 {
    let mut router = Router::new(1, 64);
    let list = target_list(targets);
    let text = serde_json::to_string(&list).unwrap_or_default();
    median_us(5, 3, |_| {
        if let Ok(list) = serde_json::from_str(&text) {
            std::hint::black_box(router.apply_list(list));
        }
    })
}

pub(super) fn engine_view_bytes(engines: usize) -> f64 {
    resident_growth_bytes(|| {
        (0..engines as u128)
            .map(|number| {
                let mut engine = engine_view();
                // The maximum number of blocks is tracked for each engine.
                let keys: Vec<u128> =
                    (0..MAX_TRACKED_BLOCKS as u128).map(|block| (number << 32) | block).collect();
                engine.residency.expect_resident(&keys);
                engine
            })
            .collect::<Vec<EngineView>>()
    })
}

pub(super) fn plan_us(engines: usize) -> f64 {
    let mut history = ConfigHistory::default();
    let document = config_document(1);
    if let Ok(patched) = history.preview_patch(&document) {
        history.append(patched, document.to_string());
    }
    let models = history.newest().config.models.clone();
    let states: Vec<EngineState> = (0..engines)
        .map(|number| EngineState {
            id: format!("engine-{number}"),
            model: format!("model-{}", number % 21),
            failure_domain: format!("domain-{}", number % 14),
            version: Some("v0".into()),
            takes_work: true,
            checks_fencing: true,
        })
        .collect();
    median_us(5, 3, |_| {
        let mut planner = Planner::new(Duration::from_secs(1), Duration::ZERO);
        std::hint::black_box(planner.plan(&models, &states, NOW));
    })
}

pub(super) fn share_us(holders: usize) -> f64 {
    let mut shares = ShareAllocator::new(Duration::from_secs(3));
    let share_request = |demand: usize| ShareRequest {
        account: "account-1234".into(),
        demand: demand as u32,
        limit: 10_000,
        nodes: 1_500,
    };
    for node in 0..holders {
        shares.grant(node as NodeId, &share_request(20), NOW);
    }
    median_us(9, 500, |number| {
        std::hint::black_box(shares.grant(
            (number % holders) as NodeId,
            &share_request(number % 40),
            NOW,
        ));
    })
}

pub(super) fn share_wire_bytes(requests: usize) -> f64 {
    let demand =
        ShareRequest { account: "account-1234".into(), demand: 20, limit: 10_000, nodes: 1_500 };
    let share = GrantedShare { share: 20, lasts: Duration::from_secs(3) };
    let frames = [
        Frame::Request(1_000_000, PeerRequest::Share(demand)),
        Frame::Response(1_000_000, PeerResponse::Share(share)),
    ];
    (frames.iter().map(wire_bytes).sum::<usize>() * requests) as f64
}

/// Size of the message that replicates one log entry of this size.
pub fn append_wire_bytes(entry_bytes: usize) -> f64 {
    let payload = Payload::Command(vec![0; entry_bytes].into());
    let entry = Entry { index: 1_000_000, term: 10, payload };
    let message = Message::Append {
        term: 10,
        prev_index: 1_000_000,
        prev_term: 10,
        entries: vec![entry],
        commit: 1_000_000,
        last_index: 1_000_001,
        round: 1_000_000,
        round_ack: Some(RoundAck { start_nonce: u64::MAX, round: 1_000_000 }),
    };
    wire_bytes(&Frame::Log(message)) as f64
}
