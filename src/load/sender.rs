//! Sends a workload to nodes on time, and checks each answer by content.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use reqwest::Client;

use super::deployment::account_key;
use super::report::{Outcome, Sample};
use super::workload::{Arrival, Call, owner};
use crate::emulator::answer::Answer;
use crate::error::{Error, Result};
use crate::upstream::chat::{Chunk, Usage};
use crate::upstream::sse::{DONE, EventParser};

/// An answer that takes longer is counted as lost.
const LOST_AFTER: Duration = Duration::from_secs(60);

/// Where a workload is sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Base URLs of nodes; requests go to them in turn, as behind a balancer.
    pub nodes: Vec<String>,
}

/// Sends all arrivals on time and waits for all answers.
///
/// # Errors
/// `Error::Start` if there is no node or the client can't be built.
pub async fn send_all(target: Target, arrivals: Vec<Arrival>) -> Result<Vec<Sample>> {
    if target.nodes.is_empty() {
        return Err(Error::start("load", "there is no node", "name one with --node"));
    }
    let client = Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .map_err(|source| Error::start("load", source, "raise the file limit"))?;
    let start = Instant::now();
    let target = Arc::new(target);
    let mut running = Vec::with_capacity(arrivals.len());
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until((start + arrival.at).into()).await;
        let (client, target) = (client.clone(), target.clone());
        running.push(tokio::spawn(async move {
            let node = &target.nodes[number % target.nodes.len()];
            let at = arrival.at;
            let kind = arrival.kind;
            let request_id = arrival.request_id.clone();
            let once = matches!(arrival.call, Call::Service { .. });
            let outcome = tokio::time::timeout(LOST_AFTER, send(&client, node, arrival)).await;
            Sample { at, kind, request_id, once, outcome: outcome.unwrap_or(Outcome::Lost) }
        }));
    }
    let mut samples = Vec::with_capacity(running.len());
    for sample in running {
        samples.extend(sample.await.ok());
    }
    Ok(samples)
}

/// Sends one request and checks its answer.
pub async fn send(client: &Client, node: &str, arrival: Arrival) -> Outcome {
    let sent_at = Instant::now();
    let request = match &arrival.call {
        Call::Prompt { model, text, tokens } => client
            .post(format!("{node}/v1/chat/completions"))
            .json(&Call::body(model, text, *tokens, true)),
        Call::Service { service } => client
            .post(format!("{node}/v1/services/{service}/orders"))
            .body(arrival.request_id.clone()),
    };
    let request = request
        .bearer_auth(account_key(&arrival.account))
        .header("idempotency-key", &arrival.request_id)
        .header("x-kumquatpost-kind", arrival.kind);
    let Ok(response) = request.send().await else { return Outcome::Lost };
    if !response.status().is_success() {
        return refused(response).await;
    }
    match &arrival.call {
        Call::Prompt { model, text, tokens } => {
            let owner = owner(&arrival.account, model);
            let prompt = Call::prompt_text(model, text);
            let expected = Answer::new(&owner, &prompt, *tokens).text();
            read_stream(response, sent_at, &expected).await
        }
        Call::Service { .. } => {
            let body = response.text().await.unwrap_or_default();
            let is_ours = body.contains(&arrival.request_id) && body.contains(&arrival.account);
            if is_ours {
                Outcome::Answered { first_token: sent_at.elapsed(), usage: Usage::default() }
            } else {
                Outcome::Wrong(body)
            }
        }
    }
}

async fn read_stream(response: reqwest::Response, sent_at: Instant, expected: &str) -> Outcome {
    let mut body = response.bytes_stream();
    let mut events = EventParser::default();
    let mut text = String::new();
    let mut usage = Usage::default();
    let mut first_token = None;
    while let Some(bytes) = body.next().await {
        let Ok(bytes) = bytes else { break };
        let Ok(received) = events.push(&bytes) else { break };
        for data in received {
            if data == DONE {
                let whole = text == expected;
                return match first_token {
                    Some(first_token) if whole => Outcome::Answered { first_token, usage },
                    _ => Outcome::Wrong(text),
                };
            }
            let Ok(chunk) = Chunk::parse(&data) else { return Outcome::Broken(data) };
            if !chunk.text.is_empty() {
                first_token.get_or_insert_with(|| sent_at.elapsed());
            }
            text.push_str(&chunk.text);
            usage = chunk.usage.unwrap_or(usage);
        }
    }
    Outcome::Broken("the stream ended without its end mark".into())
}

async fn refused(response: reqwest::Response) -> Outcome {
    let retry_after = response.headers().contains_key("retry-after");
    let body: serde_json::Value = response.json().await.unwrap_or_default();
    let field = |name| body.pointer(name).and_then(|v| v.as_str()).unwrap_or("none").to_string();
    Outcome::Refused {
        code: field("/error/code"),
        not_run: field("/error/execution") == "not_run",
        retry_after,
    }
}
