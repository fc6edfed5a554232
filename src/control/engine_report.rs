//! Requests the state of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};

use super::rollout_plan::EngineReport;
use crate::ids::TargetStart;
use crate::net::http::{CallError, HttpCall, fetch};
use crate::platform::engines;
use crate::telemetry::logs::or_dash;

const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The report of an engine. `None` if the engine cannot be reached or has been restarted; the
/// roster will show which.
pub async fn read(engine: &TargetStart, address: SocketAddr) -> Option<EngineReport> {
    let answer =
        fetch(HttpCall::new(address, Method::GET, engines::REPORT_PATH), REPORT_TIMEOUT).await;
    let report = answer.and_then(|answer| match answer.status {
        StatusCode::OK => verify_start(engine, engines::decode_report(&answer.body)?),
        status => Err(format!("the engine answered {status}").into()),
    });
    let warn = |error: &CallError| {
        log::warn!("event=report_missed engine={engine} reason={:?}", error.to_string());
    };
    report.inspect_err(warn).ok()
}

/// Rejects a report from another start of the engine.
fn verify_start(engine: &TargetStart, report: EngineReport) -> Result<EngineReport, CallError> {
    if engine.may_match_birth(report.born_ms) {
        return Ok(report);
    }
    Err(format!("another start of the engine answered, born {}", or_dash(report.born_ms)).into())
}
