//! Rate limits that targets name in their answers: all hosts together keep them.

use std::time::{Duration, Instant};

use crate::fixtures::{ms, target};
use crate::gateway::{
    PROMPT, deployment_with_long_timeouts, event_stream, ok_response, run_local, start_entry,
};
use crate::platform_stand_in::limits::KNOWN_WITHIN;
use crate::restarts::{TestDeployment, send_prompt};
use crate::stand_in::{AfterAnswer, Script, StandIn, header};

/// Adds the header by which a target names its limit.
fn limited(answer: String, requests_per_s: f64) -> String {
    answer.replace("\r\n\r\n", &format!("\r\nServer-Limit: {requests_per_s}\r\n\r\n"))
}

fn answers(answer: &str, count: usize) -> Script {
    vec![(answer.to_string(), AfterAnswer::KeepOpen); count]
}

fn one_event_stream() -> String {
    event_stream(&["id: 1\ndata: x\n\n"], true)
}

fn limited_stream(requests_per_s: f64) -> String {
    let named = format!("Transfer-Encoding: chunked\r\nServer-Limit: {requests_per_s}\r\n");
    one_event_stream().replace("Transfer-Encoding: chunked\r\n", &named)
}

/// Requests that may reach a target with this limit within `within` of its first answer.
fn max_requests(requests_per_s: f64, within: Duration) -> usize {
    (requests_per_s * within.as_secs_f64() * 1.5) as usize + 5
}

/// Sends requests at 50 per second to an entry that places them itself, and returns how many of
/// them reached the first of two targets, which names a limit.
async fn requests_to_limited(
    service: &str,
    path: &str,
    extra: &str,
    answers: [Script; 2],
) -> usize {
    let [limited, other] = answers;
    let (limited, other) = (StandIn::start(limited).await, StandIn::start(other).await);
    let targets =
        vec![target("i-1", service, limited.address), target("i-2", service, other.address)];
    let entry = start_entry(deployment_with_long_timeouts(), targets).await;
    for n in 0..100 {
        // Each context prefers another engine.
        let extra = extra.replace("aa:", &format!("a{n}:"));
        let got = entry.call_with(path, &format!("r{n}"), &extra).await;
        assert_eq!(got.status, 200, "the other target takes what this one does not: {}", got.text);
        tokio::time::sleep(ms(20)).await;
    }
    limited.request_count()
}

// Guards against entries that place requests to plain services beyond a named limit.
#[test]
fn a_plain_target_gets_no_more_requests_than_the_limit_that_it_names() {
    run_local(async {
        let scripts =
            [answers(&limited(ok_response("a"), 2.0), 100), answers(&ok_response("b"), 100)];
        let began = Instant::now();
        let count = requests_to_limited("app", "/safe/", "", scripts).await;
        let max = max_requests(2.0, began.elapsed());
        assert!((1..=max).contains(&count), "{count} requests, at most {max} allowed");
    });
}

// Guards against prompts that entries place without the scheduler beyond a named limit.
#[test]
fn an_engine_gets_no_more_prompts_from_an_entry_alone_than_the_limit_that_it_names() {
    run_local(async {
        let scripts = [answers(&limited_stream(2.0), 100), answers(&one_event_stream(), 100)];
        let began = Instant::now();
        let count = requests_to_limited("llm", "/stream/", PROMPT, scripts).await;
        let max = max_requests(2.0, began.elapsed());
        assert!((1..=max).contains(&count), "{count} prompts, at most {max} allowed");
    });
}

// Guards against callers that wait, or are not told when to return, while all targets are limited.
#[test]
fn requests_beyond_the_limits_of_all_targets_are_refused_at_once() {
    run_local(async {
        let only = StandIn::start(answers(&limited(ok_response("a"), 1.0), 100)).await;
        let targets = vec![target("i-1", "app", only.address)];
        let entry = start_entry(deployment_with_long_timeouts(), targets).await;
        let (mut refused, began) = (0, Instant::now());
        for n in 0..20 {
            let sent_at = Instant::now();
            let got = entry.call("/safe/", &format!("r{n}")).await;
            if got.status == 503 {
                refused += 1;
                assert!(sent_at.elapsed() < ms(500), "refused after {:?}", sent_at.elapsed());
                let after: f64 = header(&got.text, "retry-after").expect("it").parse().expect("s");
                assert!((0.05..=30.0).contains(&after), "retry after {after} s");
            }
        }
        assert!(refused >= 10, "{refused} of 20 were refused");
        assert!(only.request_count() <= max_requests(1.0, began.elapsed()));
    });
}

#[test]
fn a_target_that_names_no_limit_any_more_gets_all_requests() {
    run_local(async {
        let script = [answers(&limited(ok_response("a"), 5.0), 3), answers(&ok_response("b"), 200)];
        let only = StandIn::start(script.concat()).await;
        let targets = vec![target("i-1", "app", only.address)];
        let entry = start_entry(deployment_with_long_timeouts(), targets).await;
        let mut last = 0;
        let began = Instant::now();
        while last < 50 {
            assert!(began.elapsed() < Duration::from_secs(60), "{last} in a row were served");
            let got = entry.call("/safe/", &format!("r{}", only.request_count())).await;
            last = if got.status == 200 { last + 1 } else { 0 };
            tokio::time::sleep(ms(10)).await;
        }
    });
}

/// Sends prompts through all entries at about 60 per second for a while.
async fn send_prompts(site: &TestDeployment, name: &str, for_: Duration) -> usize {
    let (began, mut served, mut n) = (Instant::now(), 0, 0);
    let mut answers = tokio::task::JoinSet::new();
    while began.elapsed() < for_ {
        let entry = site.system.caller_address(n % site.system.entries());
        let client = site.client.clone();
        let id = format!("stream-{name}-{n}");
        answers.spawn(async move { send_prompt(client, entry, "stream", &id, 5).await });
        n += 1;
        tokio::time::sleep(ms(16)).await;
    }
    while let Some(answer) = answers.join_next().await {
        served += usize::from(answer.expect("the task does not panic").status == 200);
    }
    served
}

// Guards against prompts that the scheduler places beyond a named limit, also after its leader was
// lost.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_gets_no_more_prompts_through_the_scheduler_than_the_limit_that_it_names() {
    let mut site =
        TestDeployment::start_with_entries(3, &["i-0", "i-1", "i-2"], Vec::new(), 243).await;
    while send_prompts(&site, "before", ms(200)).await == 0 {}
    site.platform.set_limit("i-0", Some(3.0));
    let served = send_prompts(&site, "limited", KNOWN_WITHIN + Duration::from_secs(4)).await;
    assert!(served > 0, "the other engines take them");
    let excesses = || site.platform.lock().observations.limit_excesses.clone();
    assert_eq!(excesses().first(), None, "while one scheduler places prompts");
    for replica in site.system.replicas() {
        site.system.kill(replica);
        site.system.restart(replica, false);
        send_prompts(&site, &format!("replica-{replica}"), Duration::from_secs(1)).await;
    }
    send_prompts(&site, "last", Duration::from_secs(2)).await;
    let excesses = site.platform.lock().observations.limit_excesses.clone();
    assert_eq!(excesses.first(), None, "while replicas restart");
}
