//! Asks an engine for its state.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};

use super::weights::EngineReport;
use crate::ids::TargetStart;
use crate::net::http::{CallError, HttpCall, fetch};
use crate::platform::engines;

/// Longest time for a report.
const TIMEOUT: Duration = Duration::from_millis(400);

/// An engine's report; `None` if it is gone or cut off, or another start of it answers, which the list
/// tells before long.
pub async fn read(engine: &TargetStart, address: SocketAddr) -> Option<EngineReport> {
    let answer = fetch(HttpCall::new(address, Method::GET, engines::REPORT_PATH), TIMEOUT).await;
    let report = answer.and_then(|answer| match answer.status {
        StatusCode::OK => of_start(engine, engines::decode_report(&answer.body)?),
        status => Err(format!("the engine answers {status}").into()),
    });
    let warn = |error: &CallError| {
        log::warn!("event=report_missed engine={engine} reason={:?}", error.to_string());
    };
    report.inspect_err(warn).ok()
}

/// What another start says of itself is not believed of this one.
fn of_start(engine: &TargetStart, report: EngineReport) -> Result<EngineReport, CallError> {
    if engine.may_match_birth(report.born_ms) {
        return Ok(report);
    }
    Err(format!("another start answers, born {:?}", report.born_ms).into())
}
