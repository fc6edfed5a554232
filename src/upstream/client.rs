//! HTTP client for targets and the platform.

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
use crate::net::response_head;

/// Timeout of requests for reports and lists, and of orders.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of an export, which may wait for the link of the store.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client for targets and the platform.
#[derive(Clone)]
pub struct TargetClient {
    /// Reuses connections.
    pooled: Client,
    /// Opens a new connection for each call, so that a call that fails to connect did certainly not run.
    unpooled: Client,
}

/// A prompt for an engine.
#[derive(Clone, Debug)]
pub struct PromptCall<'a> {
    pub url: &'a str,
    /// The interface of the engine to call.
    pub format: ApiFormat,
    /// The body, without the fields `stream` and `kv_import`.
    pub body: serde_json::Value,
    /// The prefix that the engine imports first, if any.
    pub import: Option<ImportOrder>,
    /// The request id and the attempt.
    pub stream: AttemptRef<'a>,
    pub account: &'a str,
    /// The required version of the weights.
    pub weight_version: &'a str,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether the prompt must not reach a target twice. It is sent on a new connection then.
    pub once: bool,
}

/// Identifies one dispatch of a request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRef<'a> {
    /// The request id that is sent to targets.
    pub request_id: &'a str,
    /// Number of the dispatch.
    pub attempt: Attempt,
}

impl AttemptRef<'_> {
    /// Returns the id of the stream, which each chunk contains.
    pub fn id(&self) -> String {
        format!("{}.{}", self.request_id, self.attempt)
    }
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The target did certainly not run the request.
    NotRun(String),
    /// The target may have run the request.
    MayHaveRun(String),
    /// The target rejected the request as invalid.
    Rejected(String),
}

impl CallError {
    /// Returns the reason of the failure.
    pub fn reason(&self) -> &str {
        match self {
            CallError::NotRun(reason)
            | CallError::MayHaveRun(reason)
            | CallError::Rejected(reason) => reason,
        }
    }
}

impl TargetClient {
    /// Creates a client.
    ///
    /// # Errors
    /// `Error::Start` if the client can't be built.
    pub fn new(connect_timeout: Duration) -> Result<TargetClient> {
        let build = |idle| {
            Client::builder()
                .connect_timeout(connect_timeout)
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

    /// Sends a prompt. The response is a stream of events.
    ///
    /// # Errors
    /// If the call fails. The error says whether the prompt may have run.
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

    /// Resumes an interrupted stream from chunk number `from`.
    ///
    /// # Errors
    /// If the engine can't resume it.
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
    /// If the call fails. The error says whether the request may have run.
    pub async fn service(
        &self,
        request: reqwest::Request,
        once: bool,
    ) -> Result<Response, CallError> {
        let client = if once { &self.unpooled } else { &self.pooled };
        let response = client.execute(request).await.map_err(call_error)?;
        response_head::check(response.status(), response.headers())
            .map_err(|error| CallError::MayHaveRun(error.to_string()))?;
        if response.headers().contains_key(NOT_RUN_HEADER) {
            return Err(CallError::NotRun(format!("refused with {}", response.status())));
        }
        Ok(response)
    }

    /// Cancels a prompt on an engine. Errors are ignored.
    pub async fn cancel(&self, url: &str, stream: AttemptRef<'_>) {
        let request_id = stream.request_id.to_string();
        let order = CancelOrder { request_id, attempt: stream.attempt };
        let sent = self.pooled.post(format!("{url}/cancel")).json(&order);
        // A prompt that is not cancelled only wastes time of the engine.
        drop(sent.timeout(REPORT_TIMEOUT).send().await);
    }

    /// Reads the platform's list and its ETag. Returns `None` if the list still has the ETag `known`. The ETag
    /// is empty if the platform sends none.
    ///
    /// # Errors
    /// `Error::Request` if the list can't be read.
    pub async fn targets(
        &self,
        platform_url: &str,
        known: &str,
    ) -> Result<Option<(TargetList, String)>> {
        let url = format!("{platform_url}/targets");
        let ask_error = |source| Error::request(&url, source, "check that it runs at this URL");
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

    /// Reads the load report of an engine.
    ///
    /// # Errors
    /// `Error::Request` if the report can't be read.
    pub async fn load(&self, url: &str) -> Result<LoadReport> {
        self.get_json(&format!("{url}/load")).await
    }

    /// Reads the cache events of an engine after number `after`.
    ///
    /// # Errors
    /// `Error::Request` if the events can't be read.
    pub async fn events(&self, url: &str, after: u64) -> Result<CacheEvents> {
        self.get_json(&format!("{url}/kv/events?after={after}")).await
    }

    /// Reads the load report of a store.
    ///
    /// # Errors
    /// `Error::Request` if the report can't be read.
    pub async fn store(&self, url: &str) -> Result<StoreReport> {
        self.get_json(&format!("{url}/load")).await
    }

    /// Reads the inventory of a store.
    ///
    /// # Errors
    /// `Error::Request` if the inventory can't be read.
    pub async fn inventory(&self, url: &str) -> Result<Inventory> {
        self.get_json(&format!("{url}/inventory")).await
    }

    /// Orders an engine to export a resident prefix, and returns the committed object.
    ///
    /// # Errors
    /// `Error::Request` if the prefix is no longer resident or the store rejects the export.
    pub async fn export(&self, url: &str, order: &ExportOrder) -> Result<StoredObject> {
        let url = format!("{url}/kv/export");
        let response = self.post_json(&url, order, EXPORT_TIMEOUT).await?;
        response.json().await.map_err(|source| Error::request(&url, source, "try again later"))
    }

    /// Deletes an object from a store, fenced by the epoch of its owner.
    ///
    /// # Errors
    /// `Error::Request` if the call fails or the store knows a later epoch.
    pub async fn free(
        &self,
        url: &str,
        key: BlockKey,
        generation: u64,
        owner_epoch: u64,
    ) -> Result<()> {
        let url = format!("{url}/objects/{key:032x}/{generation}?epoch={owner_epoch}");
        let sent = self.pooled.delete(&url).timeout(REPORT_TIMEOUT).send().await;
        let response = sent.map_err(|source| Error::request(&url, source, "try again later"))?;
        expect_success(&url, response.status())
    }

    /// Sends an order to an engine. Returns whether the engine has executed it already.
    ///
    /// # Errors
    /// `Error::Request` if the call fails or the engine knows a higher fencing number.
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
        let response = sent.map_err(|source| Error::request(url, source, "try again later"))?;
        expect_success(url, response.status())?;
        Ok(response)
    }

    async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let ask_error = |source| Error::request(url, source, "check that it runs at this URL");
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
    Err(Error::request(url, format!("responded with {status}"), "see the log of the server"))
}

/// Returns a successful response, and maps all others to errors.
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
