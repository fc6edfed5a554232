//! Case 3: requests of a route with one attempt run on two engines.

use super::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const ENGINES: usize = 4;
const ENTRIES: usize = 2;
const CLIENTS: usize = 10;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// An engine works on a request for this long.
const WORK: Duration = Duration::from_millis(5);
/// `answer_lost` with share = 0.5, x = 0.05, for_s = 4.0: half of the engines lose one answer in twenty.
const LOSING_ENGINES: usize = 2;
const LOST_ONE_IN: u64 = 20;
const TROUBLE_TIME: Duration = Duration::from_secs(4);
/// Entries have no share of the slack of the budget for one window after their start.
const LEAD: Duration = Duration::from_secs(12);
/// The rule is broken by more requests than this.
const ALLOWED: usize = 3;
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// The engines at which each request has run, in order.
type Runs = Arc<Mutex<BTreeMap<String, Vec<(usize, bool)>>>>;

fn serve_engine(n: usize, runs: Runs, loses: Arc<AtomicBool>) -> io::Result<SocketAddr> {
    let id = format!("i-{n}");
    let count = Arc::new(AtomicU64::new(0));
    serve(own_ip(201 + n as u8), move |head, _| {
        if head.target() == "/healthz" {
            let headers = vec![("X-Instance-Id", id.clone())];
            return Reply::Answer { status: 200, headers, body: Vec::new() };
        }
        let request = head.get("x-request-id").unwrap_or_default().to_string();
        if head.get("x-expect-instance").is_some_and(|wanted| wanted != id) {
            return answer(421, "");
        }
        thread::sleep(WORK);
        let number = count.fetch_add(1, Ordering::Relaxed);
        let is_lost =
            n < LOSING_ENGINES && loses.load(Ordering::Relaxed) && number % LOST_ONE_IN == 0;
        lock(&runs).entry(request.clone()).or_default().push((n, is_lost));
        if is_lost {
            return Reply::Lost;
        }
        let headers = vec![
            ("X-Request-Id", request.clone()),
            ("X-Response-Stamp", format!("stamp-{n}-{request}")),
            ("X-Server-Load", "1,0,6".to_string()),
        ];
        Reply::Answer { status: 200, headers, body: format!("status of {request}").into_bytes() }
    })
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let failed = |error: io::Error| error.to_string();
    let (runs, instances) = (Runs::default(), Instances::default());
    let loses = Arc::new(AtomicBool::new(false));
    for n in 0..ENGINES {
        let born_ms = unix_ms();
        let instance = Instance {
            id: format!("i-{n}"),
            service: "app",
            address: serve_engine(n, runs.clone(), loses.clone()).map_err(failed)?,
            zone: ["patan-hall", "bhaktapur-hall", "kirtipur-hall"][n % 3],
            slots: 6,
            weights: None,
            born_ms,
        };
        lock(&instances).insert(instance.id.clone(), instance);
    }
    let list = serve_list(own_ip(250), instances).map_err(failed)?;
    let system = System::start(ENTRIES, list)?;
    let document = format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"job-status\",\"Host\":\"pule25.example\",\
         \"PathPrefix\":\"/job-status/\",\"Kind\":\"safe\",\"TimeoutMs\":1500,\"SloMs\":100,\
         \"Priority\":2,\"Service\":\"app\",\"Attempts\":1,\"Public\":false,\"Sticky\":false,\
         \"Resumable\":false}}],\"Services\":[{PLAIN_SERVICE}],\"Limits\":{LIMITS},\
         \"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
    );
    system.operate("PUT", "/config", &document, Duration::from_secs(15))?;
    record.line("acknowledged: one route, safe, with Attempts = 1");
    (0..ENTRIES).try_for_each(|n| system.wait_until_ready(n, Duration::from_secs(15)))?;
    let ended = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (ended, answers) = (ended.clone(), answers.clone());
            let front = system.front(client % ENTRIES);
            thread::spawn(move || {
                let mut number = 0;
                while !ended.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{:08x}{number:08x}", client + 1);
                    let headers = [
                        ("Host", "pule25.example".to_string()),
                        ("X-Request-Id", id.clone()),
                        ("X-Deadline-Ms", "1500".to_string()),
                        ("Authorization", format!("Bearer {KEY}")),
                    ];
                    let path = format!("/job-status/{id}");
                    let answered = match call(front, "GET", &path, &headers, &[]) {
                        Ok((head, _)) => {
                            let stamp = head.get("x-response-stamp").unwrap_or("none").to_string();
                            format!("{} stamp={stamp}", head.status())
                        }
                        Err(error) => format!("no answer: {error}"),
                    };
                    lock(&answers).insert(id, answered);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(LEAD);
    if trouble {
        record.line("from now on two of four engines lose the answer of one request in twenty that they ran");
        loses.store(true, Ordering::Relaxed);
    }
    thread::sleep(TROUBLE_TIME);
    loses.store(false, Ordering::Relaxed);
    record.line("all answers are sent again");
    thread::sleep(Duration::from_secs(2));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_string())?;
    }
    let (runs, answers) = (lock(&runs).clone(), lock(&answers).clone());
    let lost = runs.values().flatten().filter(|(_, is_lost)| *is_lost).count();
    let served = answers.values().filter(|answer| answer.starts_with("200")).count();
    record
        .line(&format!("sent {}, answered with 200 {served}, answers lost {lost}", answers.len()));
    if served * 2 < answers.len() {
        return Err("most requests were not served".to_string());
    }
    let mut beyond = 0;
    for (request, ran) in &runs {
        let mut engines: Vec<usize> = ran.iter().map(|(engine, _)| *engine).collect();
        engines.sort_unstable();
        engines.dedup();
        if ran.iter().any(|(_, is_lost)| *is_lost) || engines.len() > 1 {
            let ran: Vec<String> = ran
                .iter()
                .map(|(engine, is_lost)| {
                    format!("i-{engine}{}", if *is_lost { " (answer lost)" } else { "" })
                })
                .collect();
            let answer = answers.get(request).map_or("none", String::as_str);
            record.line(&format!(
                "{request}: ran on {}; the client got {answer}",
                ran.join(", then ")
            ));
        }
        beyond += usize::from(engines.len() > 1);
    }
    match beyond > ALLOWED {
        true => Ok(Verdict::Broken(format!(
            "{beyond} requests ran on two engines in one client attempt, the route's Attempts is 1, \
             and {ALLOWED} such requests are allowed"
        ))),
        false => Ok(Verdict::Held),
    }
}
