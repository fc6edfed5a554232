//! Our client of targets and the platform.

use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::api::{
    ATTEMPT_HEADER, CacheEvents, CancelOrder, EngineOrder, ExportOrder, ImportOrder, Inventory,
    LoadReport, NOT_RUN_HEADER, OWNER_HEADER, PRIORITY_HEADER, REQUEST_HEADER, StoreReport,
    StoredObject, TargetList, VERSION_HEADER,
};
use super::chat::ApiFormat;
use crate::error::{Error, Result};
use crate::ids::{Attempt, BlockKey};

/// Reports and lists must come within this time.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// An export waits for the store's link.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// A client of targets and the platform.
#[derive(Clone)]
pub struct TargetClient {
    /// Keeps connections.
    pooled: Client,
    /// Opens a connection for each call, so that a call that can't connect was provably not run.
    unpooled: Client,
}

/// A prompt on its way to an engine.
#[derive(Clone, Debug)]
pub struct PromptCall<'a> {
    /// The engine's base URL.
    pub url: &'a str,
    /// The interface.
    pub format: ApiFormat,
    /// The body, without an import.
    pub body: serde_json::Value,
    /// What the engine imports first.
    pub import: Option<ImportOrder>,
    /// Names the run: the request id and the attempt.
    pub stream: AttemptRef<'a>,
    /// The account.
    pub account: &'a str,
    /// The weight version that must answer.
    pub weight_version: &'a str,
    /// The priority, 0 first.
    pub priority: u8,
    /// Whether it must not reach a target twice.
    pub once: bool,
}

/// Names one dispatch of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRef<'a> {
    /// The id that targets know the request by.
    pub request_id: &'a str,
    /// Which dispatch it is.
    pub attempt: Attempt,
}

impl AttemptRef<'_> {
    /// The id that each chunk carries.
    pub fn id(&self) -> String {
        format!("{}.{}", self.request_id, self.attempt)
    }
}

/// Why a call got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing reached the target, or it proved that it ran nothing.
    NotRun(String),
    /// It may have run.
    MayHaveRun(String),
    /// The target finds the request wrong.
    Rejected(String),
}

impl CallError {
    /// What went wrong.
    pub fn reason(&self) -> &str {
        match self {
            CallError::NotRun(reason)
            | CallError::MayHaveRun(reason)
            | CallError::Rejected(reason) => reason,
        }
    }
}

impl TargetClient {
    /// A client that gives up connecting after `connect`.
    ///
    /// # Errors
    /// `Error::Start` if the client can't be built.
    pub fn new(connect: Duration) -> Result<TargetClient> {
        let build = |idle| {
            Client::builder()
                .connect_timeout(connect)
                .tcp_nodelay(true)
                .no_proxy()
                .retry(reqwest::retry::never())
                .redirect(reqwest::redirect::Policy::none())
                .pool_max_idle_per_host(idle)
                .build()
                .map_err(|source| Error::start("http client", source, "raise the file limit"))
        };
        Ok(TargetClient { pooled: build(64)?, unpooled: build(0)? })
    }

    /// Sends a prompt; the answer is a stream of events.
    ///
    /// # Errors
    /// Whether it may have run.
    pub async fn prompt(&self, call: PromptCall<'_>) -> Result<Response, CallError> {
        let mut body = call.body;
        body["stream"] = true.into();
        if let Some(import) = &call.import {
            body["kv_import"] = serde_json::json!(import);
        }
        let client = if call.once { &self.unpooled } else { &self.pooled };
        let request = client
            .post(format!("{}{}", call.url, call.format.path()))
            .header(REQUEST_HEADER, call.stream.request_id)
            .header(ATTEMPT_HEADER, call.stream.attempt)
            .header(OWNER_HEADER, call.account)
            .header(VERSION_HEADER, call.weight_version)
            .header(PRIORITY_HEADER, u32::from(call.priority))
            .json(&body);
        check_response(request.send().await).await
    }

    /// Goes on with a stream that broke, from a chunk.
    ///
    /// # Errors
    /// If the engine can't go on with it.
    pub async fn resume(
        &self,
        url: &str,
        stream: AttemptRef<'_>,
        from: u32,
    ) -> Result<Response, CallError> {
        let url = format!("{url}/streams/{}?from={from}", stream.id());
        check_response(self.pooled.get(url).send().await).await
    }

    /// Calls a plain service.
    ///
    /// # Errors
    /// Whether it may have run.
    pub async fn service(
        &self,
        request: reqwest::Request,
        once: bool,
    ) -> Result<Response, CallError> {
        let client = if once { &self.unpooled } else { &self.pooled };
        match client.execute(request).await {
            Ok(response) if response.headers().contains_key(NOT_RUN_HEADER) => {
                Err(CallError::NotRun(format!("refused with {}", response.status())))
            }
            Ok(response) => Ok(response),
            Err(source) => Err(call_error(source)),
        }
    }

    /// Stops a run.
    pub async fn cancel(&self, url: &str, stream: AttemptRef<'_>) {
        let request_id = stream.request_id.to_string();
        let order = CancelOrder { request_id, attempt: stream.attempt };
        let sent = self.pooled.post(format!("{url}/cancel")).json(&order);
        // A run that can't be stopped only wastes the engine's time.
        drop(sent.timeout(REPORT_TIMEOUT).send().await);
    }

    /// The platform's list with its ETag; `None` if it is still the one with the ETag `known`. A
    /// platform that gives no ETag sends the whole list each time.
    ///
    /// # Errors
    /// `Error::Ask` if it can't be read.
    pub async fn targets(
        &self,
        platform_url: &str,
        known: &str,
    ) -> Result<Option<(TargetList, String)>> {
        let url = format!("{platform_url}/targets");
        let ask_error = |source| Error::ask(&url, source, "check that it runs at this URL");
        let request = self.pooled.get(&url).timeout(REPORT_TIMEOUT).header("if-none-match", known);
        let response = request.send().await.map_err(ask_error)?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        expect_success(&url, response.status())?;
        let etag = response.headers().get("etag").and_then(|value| value.to_str().ok());
        let etag = etag.unwrap_or_default().to_string();
        Ok(Some((response.json().await.map_err(ask_error)?, etag)))
    }

    /// An engine's load.
    ///
    /// # Errors
    /// `Error::Ask` if it can't be read.
    pub async fn load(&self, url: &str) -> Result<LoadReport> {
        self.get_json(&format!("{url}/load")).await
    }

    /// An engine's cache events after a number.
    ///
    /// # Errors
    /// `Error::Ask` if they can't be read.
    pub async fn events(&self, url: &str, after: u64) -> Result<CacheEvents> {
        self.get_json(&format!("{url}/kv/events?after={after}")).await
    }

    /// A store's report.
    ///
    /// # Errors
    /// `Error::Ask` if it can't be read.
    pub async fn store(&self, url: &str) -> Result<StoreReport> {
        self.get_json(&format!("{url}/load")).await
    }

    /// Everything committed in a store.
    ///
    /// # Errors
    /// `Error::Ask` if it can't be read.
    pub async fn inventory(&self, url: &str) -> Result<Inventory> {
        self.get_json(&format!("{url}/inventory")).await
    }

    /// Lets an engine export a resident prefix.
    ///
    /// # Errors
    /// `Error::Ask` if it is not resident any more or the store does not take it.
    pub async fn export(&self, url: &str, order: &ExportOrder) -> Result<StoredObject> {
        let url = format!("{url}/kv/export");
        let response = self.post_json(&url, order, EXPORT_TIMEOUT).await?;
        response.json().await.map_err(|source| Error::ask(&url, source, "try again later"))
    }

    /// Frees an object in a store, fenced by the owner's epoch.
    ///
    /// # Errors
    /// `Error::Ask` if the store can't be asked or knows a later epoch.
    pub async fn free(
        &self,
        url: &str,
        key: BlockKey,
        generation: u64,
        owner_epoch: u64,
    ) -> Result<()> {
        let url = format!("{url}/objects/{key:032x}/{generation}?epoch={owner_epoch}");
        let sent = self.pooled.delete(&url).timeout(REPORT_TIMEOUT).send().await;
        let response = sent.map_err(|source| Error::ask(&url, source, "try again later"))?;
        expect_success(&url, response.status())
    }

    /// Sends an order to an engine. Returns whether what it orders is done already.
    ///
    /// # Errors
    /// `Error::Ask` if the engine can't be asked or knows a higher fencing number.
    pub async fn order(&self, url: &str, order: &EngineOrder) -> Result<bool> {
        let response = self.post_json(&format!("{url}/orders"), order, REPORT_TIMEOUT).await?;
        Ok(response.status() == StatusCode::OK)
    }

    async fn post_json<T: Serialize>(
        &self,
        url: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<Response> {
        let sent = self.pooled.post(url).json(body).timeout(timeout).send().await;
        let response = sent.map_err(|source| Error::ask(url, source, "try again later"))?;
        expect_success(url, response.status())?;
        Ok(response)
    }

    async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let ask_error = |source| Error::ask(url, source, "check that it runs at this URL");
        let response =
            self.pooled.get(url).timeout(REPORT_TIMEOUT).send().await.map_err(ask_error)?;
        expect_success(url, response.status())?;
        response.json().await.map_err(ask_error)
    }
}

fn expect_success(url: &str, status: StatusCode) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    Err(Error::ask(url, format!("answered {status}"), "see its log"))
}

async fn check_response(sent: reqwest::Result<Response>) -> Result<Response, CallError> {
    let response = sent.map_err(call_error)?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let not_run = response.headers().contains_key(NOT_RUN_HEADER);
    let text = response.text().await.unwrap_or_default();
    let message = format!("the target answered {status}: {text}");
    if not_run {
        Err(CallError::NotRun(message))
    } else if status.is_client_error() {
        Err(CallError::Rejected(message))
    } else {
        Err(CallError::MayHaveRun(message))
    }
}

fn call_error(source: reqwest::Error) -> CallError {
    if source.is_connect() {
        CallError::NotRun(source.to_string())
    } else {
        CallError::MayHaveRun(source.to_string())
    }
}
