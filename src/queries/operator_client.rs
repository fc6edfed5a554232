//! A client of the operators' interface of a node.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use serde_json::Value;

use crate::commands::block_on;
use crate::error::{Error, Result};

/// Maximum time for a request to a node, including its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Creates an HTTP client for the operators' interface.
///
/// # Errors
/// `Error::Start` if it can't be built.
pub fn http_client() -> Result<Client> {
    Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()
        .map_err(|source| Error::start("http client", source, "raise the file limit"))
}

/// Prints the response of a node to a GET request.
///
/// # Errors
/// If the request fails; see [`send`].
pub fn print(node: &str, path: &str) -> Result<()> {
    block_on(async {
        let request = http_client()?.get(format!("{node}{path}"));
        let text = send(node, request).await?;
        let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        println!("{value:#}");
        Ok(())
    })
}

/// Sends a request to a node and returns the body of its response.
///
/// # Errors
/// `Error::Failed` with the node's message if the node refused the request, `Error::Request` if it was not reached
/// or returned a 5xx status, so that the request may be retried.
pub async fn send(node: &str, request: RequestBuilder) -> Result<String> {
    let remedy = "check that it runs and that this is its operators' address";
    let response = request.send().await.map_err(|source| Error::request(node, source, remedy))?;
    let status = response.status();
    let text = response.text().await.map_err(|source| Error::request(node, source, remedy))?;
    if status.is_success() {
        return Ok(text);
    }
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let message = value.pointer("/error/message").and_then(Value::as_str).unwrap_or(&text);
    if status.is_server_error() {
        return Err(Error::request(node, message, "try again in a moment"));
    }
    Err(Error::Failed { message: message.to_string() })
}
