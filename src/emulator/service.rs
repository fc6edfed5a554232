//! A stand-in plain service: echoes a call and counts how often each call ran.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use warp::http::StatusCode;

use super::knobs::Faults;
use super::ledger::Ledger;
use super::settings::ServiceSettings;
use crate::http::{self, Request, Response};
use crate::upstream::api::{NOT_RUN_HEADER, OWNER_HEADER, REQUEST_HEADER};

/// A stand-in instance of a plain service.
pub struct Service {
    settings: ServiceSettings,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
}

impl Service {
    /// Starts an instance.
    pub fn start(
        settings: ServiceSettings,
        faults: Arc<Faults>,
        ledger: Arc<Ledger>,
    ) -> Arc<Service> {
        Arc::new(Service { settings, faults, ledger })
    }

    /// Answers one HTTP request.
    pub async fn handle(self: Arc<Service>, request: Request) -> Response {
        let knobs = self.faults.get();
        if knobs.refuse {
            let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, "refused".into());
            http::set_header(&mut response, NOT_RUN_HEADER, "true");
            return response;
        }
        let request_id = request.header(REQUEST_HEADER).unwrap_or("none").to_string();
        self.ledger.started(&self.settings.id, &request_id);
        let call = Duration::from_millis(self.settings.call_ms + knobs.delay_ms);
        tokio::time::sleep(call).await;
        if self.faults.take_break().is_some() {
            let broken = futures::stream::once(async {
                Err::<Bytes, _>(std::io::Error::other("broken on demand"))
            });
            return http::stream("application/json", broken);
        }
        let answer = json!({
            "service": self.settings.service,
            "request_id": request_id,
            "account": request.header(OWNER_HEADER),
            "path": request.path,
            "body": String::from_utf8_lossy(&request.bytes()),
        });
        http::json(StatusCode::OK, &answer)
    }
}
