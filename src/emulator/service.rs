//! An emulated service instance, which echoes each request and records it in the ledger.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use warp::http::StatusCode;

use super::faults::TargetFaults;
use super::ledger::Ledger;
use super::settings::ServiceSettings;
use crate::http::{self, Request, Response};
use crate::upstream::api::{NOT_RUN_HEADER, OWNER_HEADER, REQUEST_HEADER};

pub struct Service {
    settings: ServiceSettings,
    faults: Arc<TargetFaults>,
    ledger: Arc<Ledger>,
}

impl Service {
    pub fn start(
        settings: ServiceSettings,
        faults: Arc<TargetFaults>,
        ledger: Arc<Ledger>,
    ) -> Arc<Service> {
        Arc::new(Service { settings, faults, ledger })
    }

    pub async fn handle(self: Arc<Service>, request: Request) -> Response {
        let fault_settings = self.faults.settings();
        if fault_settings.refuse {
            let mut response =
                http::text(StatusCode::SERVICE_UNAVAILABLE, "refused by an injected fault".into());
            http::set_header(&mut response, NOT_RUN_HEADER, "true");
            return response;
        }
        let request_id = request.header(REQUEST_HEADER).unwrap_or("none").to_string();
        self.ledger.record_start(&self.settings.id, &request_id);
        let call = Duration::from_millis(self.settings.call_ms + fault_settings.delay_ms);
        tokio::time::sleep(call).await;
        if self.faults.take_break_after_tokens().is_some() {
            let broken = futures::stream::once(async {
                Err::<Bytes, _>(std::io::Error::other("aborted by an injected fault"))
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
