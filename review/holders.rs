//! Case 2: two replicas order the same engine within `LeaseMs`.

use super::*;

const ENGINES: usize = 3;
/// New weights take an engine this long.
const LOAD_TIME: Duration = Duration::from_millis(270);
/// Rounds that are tried until the rule breaks.
const ROUNDS: u64 = 3;

/// An order that an engine has received.
#[derive(Clone)]
struct Order {
    at_ms: u64,
    engine: usize,
    holder: String,
    fence: String,
    version: u64,
    status: u16,
}

#[derive(Clone, Copy)]
struct Engine {
    weights: u64,
    seq: u64,
    loading: Option<(u64, Instant)>,
}

impl Engine {
    fn finish_load(&mut self) {
        if let Some((version, _)) = self.loading.filter(|(_, until)| Instant::now() >= *until) {
            (self.weights, self.loading) = (version, None);
        }
    }
}

type Orders = Arc<Mutex<Vec<Order>>>;

fn serve_engine(
    n: usize,
    born_ms: u64,
    record: Record,
    orders: Orders,
    instances: Instances,
) -> io::Result<SocketAddr> {
    let engine = Arc::new(Mutex::new(Engine { weights: 1, seq: 0, loading: None }));
    let id = format!("i-{n}");
    serve(own_ip(201 + n as u8), move |head, body| {
        let mut engine = lock(&engine);
        engine.finish_load();
        if let Some(instance) = lock(&instances).get_mut(&id) {
            instance.weights = Some(engine.weights);
        }
        let path = head.target().split('?').next().unwrap_or_default();
        match (head.method(), path) {
            ("GET", "/report") => {
                let (weights, busy) = (engine.weights, engine.loading.is_some());
                answer(
                    200,
                    format!(
                        "{{\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"{MODEL}\",\
                         \"Version\":{weights},\"Adapters\":[]}}],\"Busy\":{busy},\"Seq\":{},\
                         \"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":109900,\
                         \"Handles\":0,\"born\":{born_ms}}}",
                        engine.seq
                    ),
                )
            }
            ("POST", "/order") => {
                let text = String::from_utf8_lossy(body).into_owned();
                let field = |name| json_field(&text, name).unwrap_or_default();
                let version = field("Version").parse().unwrap_or(0);
                let expected = field("Precondition").parse::<u64>().ok();
                let status = match () {
                    () if head.get("x-expect-instance").is_some_and(|wanted| wanted != id) => 421,
                    () if engine.loading.is_some() => 409,
                    () if expected.is_some_and(|seq| seq != engine.seq) => 409,
                    () if version == engine.weights => 200,
                    () => 202,
                };
                if status == 202 {
                    engine.seq += 1;
                    engine.loading = Some((version, Instant::now() + LOAD_TIME));
                }
                let order = Order {
                    at_ms: record.now_ms(),
                    engine: n,
                    holder: field("Holder"),
                    fence: field("Fence"),
                    version,
                    status,
                };
                record.line(&format!(
                    "engine i-{n} gets an order: version={version} holder={} fence={} mode={} -> {status}",
                    order.holder, order.fence, field("Mode")
                ));
                lock(&orders).push(order);
                answer(status, "")
            }
            ("GET", "/kv-events") => answer(
                200,
                format!(
                    "{{\"BootEpoch\":{},\"NextToken\":1,\"Lost\":false,\"Events\":[],\
                     \"clock_ms\":{},\"born\":{born_ms}}}",
                    n + 1,
                    unix_ms()
                ),
            ),
            ("GET", "/healthz") => Reply::Answer {
                status: 200,
                headers: vec![("X-Instance-Id", id.clone())],
                body: Vec::new(),
            },
            _ => answer(404, ""),
        }
    })
}

/// Two orders of different holders to one engine within the lease.
fn turns(orders: &[Order]) -> Option<String> {
    (0..ENGINES).find_map(|engine| {
        let to_engine: Vec<&Order> = orders.iter().filter(|order| order.engine == engine).collect();
        to_engine.windows(2).find_map(|pair| {
            let (before, after) = (pair[0], pair[1]);
            let gap_ms = after.at_ms - before.at_ms;
            (before.holder != after.holder && gap_ms < LEASE_MS).then(|| {
                format!(
                    "engine i-{engine} got version {} of {} (fence {}, answer {}) and {gap_ms} ms later \
                     version {} of {} (fence {}, answer {}); LeaseMs is {LEASE_MS}",
                    before.version, before.holder, before.fence, before.status,
                    after.version, after.holder, after.fence, after.status
                )
            })
        })
    })
}

fn wait_for(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > limit {
            return Err(format!("not in time: {what}"));
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let failed = |error: io::Error| error.to_string();
    let (orders, instances) = (Orders::default(), Instances::default());
    for n in 0..ENGINES {
        let born_ms = unix_ms();
        let address = serve_engine(n, born_ms, record.clone(), orders.clone(), instances.clone());
        let instance = Instance {
            id: format!("i-{n}"),
            service: "llm",
            address: address.map_err(failed)?,
            zone: ["patan-hall", "bhaktapur-hall", "kirtipur-hall"][n % 3],
            slots: 48,
            weights: Some(1),
            born_ms,
        };
        lock(&instances).insert(instance.id.clone(), instance);
    }
    let list = serve_list(own_ip(250), instances).map_err(failed)?;
    let mut system = System::start(0, list)?;
    let document = format!(
        "{{\"Version\":1,\"Routes\":[],\"Services\":[{ENGINE_SERVICE}],\"Limits\":{LIMITS},\
         \"Tenants\":[]}}"
    );
    system.operate("PUT", "/config", &document, Duration::from_secs(15))?;
    record.line("the configuration is acknowledged");
    // All five vote by then, and the list has been read.
    thread::sleep(Duration::from_secs(5));
    let mut version = 1;
    for round in 1..=ROUNDS {
        version += 1;
        let first = play_round(record, &mut system, &orders, &mut version, trouble)?;
        record.line(&format!("round {round} ends"));
        if let Some(how) = turns(&lock(&orders)) {
            for n in system.replicas() {
                for text in ["event=start", "event=orders_", "event=leader_changed"] {
                    let name = system.machines[n].name.clone();
                    system
                        .log_lines(n, text)
                        .iter()
                        .for_each(|line| record.line(&format!("log of {name}: {line}")));
                }
            }
            return Ok(Verdict::Broken(how));
        }
        if !trouble || first.is_none() {
            break;
        }
    }
    Ok(Verdict::Held)
}

/// Names weights twice. Between the two, the leader is killed, and a moment later all replicas are.
fn play_round(
    record: &Record,
    system: &mut System,
    orders: &Orders,
    version: &mut u64,
    trouble: bool,
) -> Result<Option<usize>, String> {
    let first = system.wait_for_leader(Duration::from_secs(10))?;
    let name = |system: &System, n: usize| system.machines[n].name.clone();
    let named = |version: u64| format!("{{\"Model\":\"{MODEL}\",\"Version\":{version}}}");
    let all_ordered = |version: u64| {
        let orders = lock(orders);
        (0..ENGINES).all(|engine| {
            orders.iter().any(|order| order.engine == engine && order.version == version)
        })
    };
    system.operate("POST", "/version-put", &named(*version), Duration::from_secs(10))?;
    record.line(&format!("version {version} is acknowledged; {} leads", name(system, first)));
    let wanted = *version;
    wait_for(Duration::from_secs(15), "all engines are ordered", || all_ordered(wanted))?;
    if trouble {
        record.line(&format!("SIGKILL to {}, which leads", name(system, first)));
        system.kill(first);
        let killed_at = Instant::now();
        let second = system.wait_for_leader(Duration::from_secs(5))?;
        record.line(&format!("{} leads now", name(system, second)));
        *version += 1;
        system.operate("POST", "/version-put", &named(*version), Duration::from_secs(5))?;
        record.line(&format!("version {version} is acknowledged"));
        // The platform has started the first process again by then.
        thread::sleep(RESTART_DELAY.saturating_sub(killed_at.elapsed()));
        system.start_process(first, false)?;
        record.line(&format!("{} is started again", name(system, first)));
        thread::sleep(Duration::from_millis(100));
        record.line("SIGKILL to all replicas at the same moment");
        system.replicas().into_iter().for_each(|n| system.kill(n));
        thread::sleep(RESTART_DELAY);
        for n in system.replicas() {
            system.start_process(n, false)?;
        }
        record.line("all replicas are started again");
    } else {
        *version += 1;
        system.operate("POST", "/version-put", &named(*version), Duration::from_secs(5))?;
        record.line(&format!("version {version} is acknowledged"));
    }
    let wanted = *version;
    wait_for(Duration::from_secs(20), "all engines are ordered again", || all_ordered(wanted))?;
    thread::sleep(Duration::from_secs(1));
    let last = system.wait_for_leader(Duration::from_secs(10))?;
    record.line(&format!("{} leads", name(system, last)));
    Ok(Some(first))
}
