//! The answer of a target with a server error, kept while another target is asked for a better one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::Instant;

use super::attempt::TargetResponse;
use super::buffered_body;
use super::request_record::{Outcome, RequestRecord};
use super::response::{GatewayResponse, full_body};
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::platform::headers;

/// How long the next attempt may be delayed by the rest of such an answer.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// A whole answer that is relayed if no better one follows.
pub struct AnswerInHand {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl AnswerInHand {
    /// Reads an answer to its end. Returns `None` if it is long, not complete within `READ_TIMEOUT`, or there
    /// is no memory for it.
    pub async fn read(
        gateway: &Rc<Gateway>,
        routed: &RoutedRequest,
        received: TargetResponse,
        record: &RequestRecord,
    ) -> Option<AnswerInHand> {
        let TargetResponse {
            responder,
            response,
            body_read,
            response_metadata,
            mut connection,
            ..
        } = received;
        let status = response.status();
        let headers = headers::response_for_caller(response.headers());
        let deadline = routed.deadline.min(Instant::now() + READ_TIMEOUT);
        let read = match body_read {
            Some(body) => Ok(Some(body)),
            None => {
                let body = response.into_body();
                buffered_body::read_if_short(body, &gateway.body_memory, deadline).await
            }
        };
        match read {
            Ok(Some(body)) => {
                connection.set_idle_timeout(response_metadata.idle_timeout);
                if !response_metadata.closes {
                    responder.return_connection(gateway, connection);
                }
                Some(AnswerInHand { status, headers, body })
            }
            Ok(None) => None,
            Err(error) => {
                record.responder_failed(&responder, &error.to_string());
                None
            }
        }
    }

    pub fn into_response(self, record: &RequestRecord) -> GatewayResponse {
        record.part_relayed(0, self.body.len());
        record.set_outcome(Outcome::Relayed(self.status.as_u16()));
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
