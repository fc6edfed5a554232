//! `demo`: runs a node and the emulator in one process, sends a workload and checks the results.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use serde_json::json;

use crate::emulator::{Emulator, EmulatorSettings};
use crate::error::{Error, Result};
use crate::load::lower_bound::LowerBound;
use crate::load::{
    EmulatedDeployment, Endpoints, RunSummary, Workload, WorkloadParameters, WorkloadProfile,
    send_all,
};
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry::logs::{self, LogSettings};

const REQUESTS_PER_S: f64 = 40.0;
/// Typical time between two prompts of a context.
const CONTEXT_GAP: Duration = Duration::from_millis(1_500);
/// Maximum time until the node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Duration of the workload in seconds.
    pub seconds: f64,
    pub seed: u64,
    pub profile: WorkloadProfile,
}

/// Runs the demonstration. The last line printed says whether all checks passed.
///
/// # Errors
/// The failed check, or why the demonstration could not run.
pub fn run(options: &Options) -> Result<()> {
    logs::start(&LogSettings { level: LevelFilter::Error, file: None })?;
    match super::block_on(run_demo(options)) {
        Ok(()) => {
            println!("demo: ok");
            Ok(())
        }
        Err(error) => {
            println!("demo: failed: {error}");
            Err(error)
        }
    }
}

async fn run_demo(options: &Options) -> Result<()> {
    let folder = TempFolder::new()?;
    let deployment = EmulatedDeployment::new(options.profile, "cost");
    let settings = EmulatorSettings::from_value(&deployment.emulator, "demo")?;
    let (emulator, platform) = Emulator::start(settings).await?;
    let settings = node_settings(&folder, platform, &deployment)?;
    let (node, addresses) = Node::start(settings).await?;
    wait_until_ready(&node).await?;
    println!("a node serves at http://{}, stand-ins at http://{platform}", addresses.callers);

    let Options { seconds, seed, profile } = *options;
    let workload = Workload::generate(&WorkloadParameters {
        profile,
        requests_per_s: REQUESTS_PER_S,
        seconds,
        return_gap: CONTEXT_GAP,
        seed,
    });
    let bound = LowerBound::of(&workload);
    println!("{} requests over {} s", workload.arrivals.len(), options.seconds);
    let before = emulator.counts();
    let progress = tokio::spawn(print_progress(emulator.clone()));
    let endpoints = Endpoints { node_urls: vec![format!("http://{}", addresses.callers)] };
    let results = send_all(endpoints, workload.arrivals).await?;
    progress.abort();
    let summary = RunSummary::of(&results, &before, &emulator.counts());
    println!("{}", summary.table());
    println!("least share that could be recomputed: {:.1} %", bound.recomputed_share * 100.0);
    let aborted = node.shut_down().await;
    check_results(&summary, aborted)
}

fn check_results(summary: &RunSummary, aborted: usize) -> Result<()> {
    let failed = |message: String| Err(Error::Failed { message });
    if summary.answered != summary.sent {
        return failed(format!(
            "only {} of {} requests were answered",
            summary.answered, summary.sent
        ));
    }
    if !summary.is_correct() {
        return failed("a response was wrong, lost or doubled".into());
    }
    if aborted > 0 {
        return failed(format!("{aborted} requests were aborted by the shutdown"));
    }
    Ok(())
}

async fn print_progress(emulator: Arc<Emulator>) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let counts = emulator.counts();
        println!(
            "{} runs so far, {:.1} % of context recomputed",
            counts.runs.len(),
            counts.recomputed_share() * 100.0
        );
    }
}

async fn wait_until_ready(node: &Node) -> Result<()> {
    let ready = async {
        while !node.is_ready() {
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        // At least one more poll, so that the load of every engine is known.
        tokio::time::sleep(node.settings.timing.load_poll * 2).await;
    };
    tokio::time::timeout(READY_TIMEOUT, ready).await.map_err(|_| {
        Error::start(
            "demo",
            "the node did not become ready in time",
            "reduce the load on this machine",
        )
    })
}

fn node_settings(
    folder: &TempFolder,
    platform: SocketAddr,
    deployment: &EmulatedDeployment,
) -> Result<Settings> {
    let key_file = folder.path.join("key");
    super::key_new::run(&key_file)?;
    // Any port: no other node connects to this one.
    let peer = "127.0.0.1:0";
    let value = json!({
        "environment": "test", "node_id": 1, "region": "demo", "failure_domain": "here",
        "callers_address": "127.0.0.1:0", "operators_address": "127.0.0.1:0",
        "peer_address": peer, "key_file": key_file,
        "data_folder": folder.path.join("data"), "platform_url": format!("http://{platform}"),
        "nodes": [{"node_id": 1, "peer_address": peer, "failure_domain": "here",
                   "replica": true}],
        "first_config": deployment.config,
        "timing": {"election_ms": 300},
    });
    Settings::from_value(&value, "demo")
}

/// A temporary folder that is removed on drop.
struct TempFolder {
    path: PathBuf,
}

impl TempFolder {
    fn new() -> Result<TempFolder> {
        let path = std::env::temp_dir().join(format!("kumquatpost-demo-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|source| {
            Error::start("demo", source, "make the folder for temporary files writable")
        })?;
        Ok(TempFolder { path })
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.path));
    }
}
