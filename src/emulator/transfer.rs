//! How a stand-in engine moves kept prefixes from and to a store.

use reqwest::Client;
use warp::http::StatusCode;

use super::store;
use crate::upstream::api::{BeginWrite, CommitWrite, ExportOrder, StoredObject};

/// Reads an object. `None` if it could not be had whole, in this very generation.
pub(super) async fn fetch(client: &Client, store_url: &str, object: &StoredObject) -> Option<()> {
    let url = store::object_url(store_url, object.key, object.generation);
    let response = client.get(url).send().await.ok()?;
    if response.status() != reqwest::StatusCode::OK {
        return None;
    }
    let content = response.bytes().await.ok()?;
    (crc32fast::hash(&content) == object.checksum).then_some(())
}

/// Writes and commits an object.
///
/// # Errors
/// The store's status, or 502 if it could not be reached.
pub(super) async fn send(
    client: &Client,
    order: &ExportOrder,
    object: &StoredObject,
    content: Vec<u8>,
) -> Result<(), StatusCode> {
    let begin = BeginWrite { object: object.clone(), owner_epoch: order.owner_epoch };
    let begin_url = format!("{}/objects", order.store_url);
    let url = store::object_url(&order.store_url, object.key, object.generation);
    let commit = CommitWrite { checksum: object.checksum };
    let steps = [
        client.post(begin_url).json(&begin),
        client.put(url.clone()).body(content),
        client.post(format!("{url}/commit")).json(&commit),
    ];
    for step in steps {
        let response = step.send().await.map_err(|_| StatusCode::BAD_GATEWAY)?;
        if !response.status().is_success() {
            return Err(response.status());
        }
    }
    Ok(())
}
