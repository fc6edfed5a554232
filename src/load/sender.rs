//! Sends a workload to nodes on schedule and verifies the content of each answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use reqwest::Client;

use super::emulated_deployment::account_key;
use super::report::{Outcome, RequestResult};
use super::workload::{Arrival, Call, prompt_owner};

use crate::emulator::answer::Answer;
use crate::error::{Error, Result};
use crate::upstream::chat::{Chunk, Usage};
use crate::upstream::sse::{DONE, EventParser};

/// Requests without a complete answer after this time count as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// The nodes that receive a workload.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Base URLs of the nodes. Requests are distributed round-robin.
    pub node_urls: Vec<String>,
}

/// Sends all requests on schedule and waits for their results.
///
/// # Errors
/// `Error::Start` if there is no node or the HTTP client can't be created.
pub async fn send_all(endpoints: Endpoints, arrivals: Vec<Arrival>) -> Result<Vec<RequestResult>> {
    if endpoints.node_urls.is_empty() {
        return Err(Error::start("load", "no node was given", "name one with --node"));
    }
    let client = Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .map_err(|source| Error::start("load", source, "raise the file limit"))?;
    let start = Instant::now();
    let endpoints = Arc::new(endpoints);
    let mut tasks = Vec::with_capacity(arrivals.len());
    for (index, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until((start + arrival.send_offset).into()).await;
        let (client, endpoints) = (client.clone(), endpoints.clone());
        tasks.push(tokio::spawn(async move {
            let node_url = &endpoints.node_urls[index % endpoints.node_urls.len()];
            let send_offset = arrival.send_offset;
            let kind = arrival.kind;
            let request_id = arrival.request_id.clone();
            let non_repeatable = matches!(arrival.call, Call::Service { .. });
            let outcome =
                tokio::time::timeout(RESPONSE_TIMEOUT, send_request(&client, node_url, arrival))
                    .await;
            RequestResult {
                send_offset,
                kind,
                request_id,
                non_repeatable,
                outcome: outcome.unwrap_or(Outcome::Lost),
            }
        }));
    }
    let mut results = Vec::with_capacity(tasks.len());
    for result in tasks {
        results.extend(result.await.ok());
    }
    Ok(results)
}

/// Sends one request and verifies its answer.
pub async fn send_request(client: &Client, node_url: &str, arrival: Arrival) -> Outcome {
    let sent_at = Instant::now();
    let request = match &arrival.call {
        Call::Prompt { model, text, answer_tokens } => client
            .post(format!("{node_url}/v1/chat/completions"))
            .json(&Call::prompt_body(model, text, *answer_tokens, true)),
        Call::Service { service } => client
            .post(format!("{node_url}/v1/services/{service}/orders"))
            .body(arrival.request_id.clone()),
    };
    let request = request
        .bearer_auth(account_key(&arrival.account))
        .header("idempotency-key", &arrival.request_id)
        .header("x-kumquatpost-kind", arrival.kind);
    let Ok(response) = request.send().await else { return Outcome::Lost };
    if !response.status().is_success() {
        return read_refusal(response).await;
    }
    match &arrival.call {
        Call::Prompt { model, text, answer_tokens } => {
            let owner = prompt_owner(&arrival.account, model);
            let prompt = Call::prompt_text(model, text);
            let expected = Answer::new(&owner, &prompt, *answer_tokens).text();
            read_stream(response, sent_at, &expected).await
        }
        Call::Service { .. } => {
            let body = response.text().await.unwrap_or_default();
            let is_own_answer =
                body.contains(&arrival.request_id) && body.contains(&arrival.account);
            if is_own_answer {
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
                let is_expected = text == expected;
                return match first_token {
                    Some(first_token) if is_expected => Outcome::Answered { first_token, usage },
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
    Outcome::Broken("the stream ended without [DONE]".into())
}

async fn read_refusal(response: reqwest::Response) -> Outcome {
    let retry_after = response.headers().contains_key("retry-after");
    let body: serde_json::Value = response.json().await.unwrap_or_default();
    let field = |name| body.pointer(name).and_then(|v| v.as_str()).unwrap_or("none").to_string();
    Outcome::Refused {
        code: field("/error/code"),
        not_run: field("/error/execution") == "not_run",
        retry_after,
    }
}
