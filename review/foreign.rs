//! Callers get bytes that belong to no request as their answers.

use super::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const ENGINES: usize = 4;
const ENTRIES: usize = 2;
const CLIENTS: usize = 10;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// An engine works on a request for this long.
const WORK: Duration = Duration::from_millis(5);
/// `garble` with how = "extra late", share = 0.6, x = 0.03, for_s = 5.0: of four engines, two send additional
/// bytes after one complete answer in forty.
const FAULTY_ENGINES: usize = 2;
const EXTRA_ONE_IN: u64 = 40;
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const LEAD: Duration = Duration::from_secs(3);
/// The additional bytes, which belong to no request.
const EXTRA: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 24\r\n\r\n\
    {\"released\":\"unit 4711\"}";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// The engine at which each request has run, and whether additional bytes follow its answer.
type Runs = Arc<Mutex<BTreeMap<String, Vec<(usize, bool)>>>>;

fn whole_body(request: &str) -> String {
    format!("released: {request}")
}

fn stamp(engine: usize, request: &str) -> String {
    format!("stamp-{engine}-{request}")
}

fn serve_engine(n: usize, runs: Runs, garbles: Arc<AtomicBool>) -> io::Result<SocketAddr> {
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
        let has_extra =
            n < FAULTY_ENGINES && garbles.load(Ordering::Relaxed) && number % EXTRA_ONE_IN == 0;
        lock(&runs).entry(request.clone()).or_default().push((n, has_extra));
        let headers = vec![
            ("X-Request-Id", request.clone()),
            ("X-Response-Stamp", stamp(n, &request)),
            ("X-Server-Load", "1,0,6".to_string()),
        ];
        let body = whole_body(&request).into_bytes();
        match has_extra {
            true => Reply::AnswerAndLater { headers, body, later: EXTRA.as_bytes().to_vec() },
            false => Reply::Answer { status: 200, headers, body },
        }
    })
}

/// What a client has got.
#[derive(Clone, Debug, Default)]
struct Answer {
    status: u16,
    stamp: Option<String>,
    body: String,
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let failed = |error: io::Error| error.to_string();
    let (runs, instances) = (Runs::default(), Instances::default());
    let garbles = Arc::new(AtomicBool::new(false));
    for n in 0..ENGINES {
        let born_ms = unix_ms();
        let instance = Instance {
            id: format!("i-{n}"),
            service: "app",
            address: serve_engine(n, runs.clone(), garbles.clone()).map_err(failed)?,
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
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"unit-release\",\"Host\":\"pule25.example\",\
         \"PathPrefix\":\"/unit-release/\",\"Kind\":\"unsafe\",\"TimeoutMs\":1500,\"SloMs\":100,\
         \"Priority\":2,\"Service\":\"app\",\"Attempts\":1,\"Public\":false,\"Sticky\":false,\
         \"Resumable\":false}}],\"Services\":[{PLAIN_SERVICE}],\"Limits\":{LIMITS},\
         \"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
    );
    system.operate("PUT", "/config", &document, Duration::from_secs(15))?;
    record.line("acknowledged: one route, unsafe, with Attempts = 1");
    (0..ENTRIES).try_for_each(|n| system.wait_until_ready(n, Duration::from_secs(15)))?;
    let ended = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
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
                    let path = format!("/unit-release/{id}");
                    let answered = match call(front, "POST", &path, &headers, b"unit") {
                        Ok((head, body)) => Answer {
                            status: head.status(),
                            stamp: head.get("x-response-stamp").map(str::to_string),
                            body: String::from_utf8_lossy(&body).into_owned(),
                        },
                        Err(error) => Answer { body: format!("no answer: {error}"), ..Answer::default() },
                    };
                    lock(&answers).insert(id, answered);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(LEAD);
    if trouble {
        record.line("from now on two of four engines send additional bytes after one answer in forty");
        garbles.store(true, Ordering::Relaxed);
    }
    thread::sleep(TROUBLE_TIME);
    garbles.store(false, Ordering::Relaxed);
    record.line("no further bytes are added");
    thread::sleep(Duration::from_secs(2));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_string())?;
    }
    let (runs, answers) = (lock(&runs).clone(), lock(&answers).clone());
    let extra = runs.values().flatten().filter(|(_, has_extra)| *has_extra).count();
    let served = answers.values().filter(|answer| answer.status == 200).count();
    record.line(&format!("sent {}, answered with 200 {served}, answers with more bytes {extra}", answers.len()));
    if served * 2 < answers.len() {
        return Err("most requests were not served".to_string());
    }
    let mut foreign = 0;
    for (request, answer) in &answers {
        let ran = runs.get(request).cloned().unwrap_or_default();
        let is_whole = answer.body == whole_body(request)
            && ran.iter().any(|(engine, _)| answer.stamp == Some(stamp(*engine, request)));
        if answer.status != 200 || !is_whole {
            let engines: Vec<String> = ran.iter().map(|(engine, _)| format!("i-{engine}")).collect();
            record.line(&format!("{request}: ran on {engines:?}; the client got {answer:?}"));
        }
        foreign += usize::from(answer.status == 200 && !is_whole);
    }
    match foreign {
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!(
            "{foreign} clients got a success without an engine's stamp, whose body belongs to no request"
        ))),
    }
}
