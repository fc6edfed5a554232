//! `config patch`: submits a patch of the configuration.

use std::path::PathBuf;

use rand::RngExt;
use serde_json::Value;

use crate::error::{Error, Result};
use crate::queries::operator_client;
use crate::settings::read_json;

/// Maximum number of attempts to submit a patch. All have the same id, so the patch is applied at most once.
const MAX_ATTEMPTS: u32 = 3;

#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Operators' address of any node.
    pub node: String,
    /// File with a JSON merge patch.
    pub file: PathBuf,
    /// Number of the configuration that the patch was made against; the newest if `None`.
    pub base: Option<u64>,
    /// Id of the patch; random if `None`.
    pub patch_id: Option<String>,
}

/// Submits a patch and prints the response.
///
/// # Errors
/// `Error::Failed` if the patch is refused, `Error::Request` if no attempt got a response.
pub fn run(options: &Options) -> Result<()> {
    let patch = read_json(&options.file)?;
    let patch_id = options
        .patch_id
        .clone()
        .unwrap_or_else(|| format!("p-{:032x}", rand::rng().random::<u128>()));
    super::block_on(async {
        let base = match options.base {
            Some(base) => base,
            None => fetch_newest_number(&options.node).await?,
        };
        let mut last_error = None;
        for _ in 0..MAX_ATTEMPTS {
            match submit(&options.node, &patch, base, &patch_id).await {
                Ok(answer) => {
                    println!("{answer}");
                    return Ok(());
                }
                Err(error @ Error::Failed { .. }) => return Err(error),
                Err(error) => last_error = Some(error),
            }
        }
        eprintln!(
            "the patch may have been applied; to retry it, add --base {base} --id {patch_id}"
        );
        Err(last_error.unwrap_or(Error::Failed { message: "no attempt was made".into() }))
    })
}

async fn fetch_newest_number(node: &str) -> Result<u64> {
    let request = operator_client::http_client()?.get(format!("{node}/v1/config"));
    let answer = operator_client::send(node, request).await?;
    let value: Value = serde_json::from_str(&answer).unwrap_or_default();
    value["number"].as_u64().ok_or_else(|| {
        Error::request(
            node,
            "its response has no configuration number",
            "check that it is an operators' address",
        )
    })
}

async fn submit(node: &str, patch: &Value, base: u64, patch_id: &str) -> Result<String> {
    let request = operator_client::http_client()?
        .patch(format!("{node}/v1/config"))
        .header("if-match", format!("\"{base}\""))
        .header("idempotency-key", patch_id)
        .json(patch);
    operator_client::send(node, request).await
}
