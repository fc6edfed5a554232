//! `load`: sends a workload to nodes and checks the responses.

use std::path::PathBuf;

use serde_json::json;

use crate::emulator::ledger::Counts;
use crate::error::{Error, Result};
use crate::load::lower_bound::LowerBound;
use crate::load::{
    EmulatedDeployment, Endpoints, RunSummary, Workload, WorkloadParameters, send_all,
};
use crate::queries::operator_client;

#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Base URLs of the nodes' callers' interfaces.
    pub nodes: Vec<String>,
    /// Base URL of the emulated platform, to compare the results with the requests that really ran.
    pub platform: Option<String>,
    pub plan: WorkloadParameters,
    /// File to write the figures to, as JSON.
    pub json: Option<PathBuf>,
    /// Routing policy in the printed configuration.
    pub policy: String,
    /// Whether to only print settings of the emulator for the workload.
    pub print_emulator: bool,
    /// Whether to only print a configuration for the workload.
    pub print_config: bool,
}

/// Sends a workload and prints its figures.
///
/// # Errors
/// If the workload can't be sent, or if a response was wrong, lost or doubled.
pub fn run(options: &Options) -> Result<()> {
    let deployment = EmulatedDeployment::new(options.plan.profile, &options.policy);
    if options.print_emulator || options.print_config {
        let value = if options.print_emulator { &deployment.emulator } else { &deployment.config };
        println!("{value:#}");
        return Ok(());
    }
    super::block_on(async {
        let workload = Workload::generate(&options.plan);
        let bound = LowerBound::of(&workload);
        let before = fetch_counts(options).await?;
        let endpoints = Endpoints { node_urls: options.nodes.clone() };
        let results = send_all(endpoints, workload.arrivals).await?;
        let after = fetch_counts(options).await?;
        let summary = RunSummary::of(&results, &before, &after);
        println!("{}", summary.table());
        println!(
            "bound: share recomputed {:.1} %, time to first token p95 {:.1} ms",
            bound.recomputed_share * 100.0,
            bound.first_token_p95_ms
        );
        if let Some(file) = &options.json {
            let value = json!({
                "workload": options.plan.profile.name(), "rate": options.plan.requests_per_s,
                "seconds": options.plan.seconds, "seed": options.plan.seed, "figures": summary,
                "bound_recomputed_share": bound.recomputed_share,
                "bound_first_token_p95_ms": bound.first_token_p95_ms,
            });
            std::fs::write(file, format!("{value:#}\n"))
                .map_err(|source| Error::start("--json", source, "name a file to write"))?;
        }
        if summary.is_correct() {
            return Ok(());
        }
        Err(Error::Failed { message: "responses were wrong, lost or doubled; see above".into() })
    })
}

async fn fetch_counts(options: &Options) -> Result<Counts> {
    let Some(platform) = &options.platform else { return Ok(Counts::default()) };
    let request = operator_client::http_client()?.get(format!("{platform}/ledger"));
    let text = operator_client::send(platform, request).await?;
    serde_json::from_str(&text)
        .map_err(|source| Error::request(platform, source, "check that it is an emulator"))
}
