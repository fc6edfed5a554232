//! Transfers of prefixes between an emulated engine and a store.

use reqwest::Client;
use warp::http::StatusCode;

use super::store;
use crate::upstream::api::{BeginWrite, CommitWrite, ExportOrder, StoredObject};

/// Reads an object from a store. Returns `None` if this generation is unavailable or damaged.
pub(super) async fn import_object(
    client: &Client,
    store_url: &str,
    object: &StoredObject,
) -> Option<()> {
    let url = store::object_url(store_url, object.key, object.generation);
    let response = client.get(url).send().await.ok()?;
    if response.status() != reqwest::StatusCode::OK {
        return None;
    }
    let content = response.bytes().await.ok()?;
    (crc32fast::hash(&content) == object.checksum).then_some(())
}

/// Writes an object to a store and commits it.
///
/// # Errors
/// Returns the status of the store, or 502 if the store could not be reached.
pub(super) async fn export_object(
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
