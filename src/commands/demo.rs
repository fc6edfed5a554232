//! `demo`: a node and stand-ins in one process; prompts of a few accounts that return.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use serde_json::json;

use crate::emulator::{Emulator, EmulatorSettings};
use crate::error::{Error, Result};
use crate::load::bound::Bound;
use crate::load::{Deployment, Figures, Plan, Shape, Target, Workload, send_all};
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry::logs::{self, LogSettings};

/// Requests a second.
const RATE: f64 = 40.0;
/// About how long a context stays away.
const GAP: Duration = Duration::from_millis(1_500);
/// The node must be ready within this time.
const START_TIMEOUT: Duration = Duration::from_secs(6);
const START_CHECK: Duration = Duration::from_millis(20);
const PROGRESS_PERIOD: Duration = Duration::from_secs(2);

/// What to show.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// How long prompts are sent, in seconds.
    pub seconds: f64,
    /// Seed of the workload.
    pub seed: u64,
    /// The workload.
    pub shape: Shape,
}

/// Runs the demonstration. Its last line tells whether all checks held.
///
/// # Errors
/// Which check did not hold.
pub fn run(options: &Options) -> Result<()> {
    logs::start(&LogSettings { level: LevelFilter::Error, file: None })?;
    match super::block_on(show(options)) {
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

async fn show(options: &Options) -> Result<()> {
    let folder = Folder::new()?;
    let deployment = Deployment::new(options.shape, "cost");
    let settings = EmulatorSettings::from_value(&deployment.emulator, "demo")?;
    let (emulator, platform) = Emulator::start(settings).await?;
    let settings = node_settings(&folder, platform, &deployment)?;
    let (node, listening) = Node::start(settings).await?;
    until_ready(&node).await?;
    println!("a node serves at http://{}, stand-ins at http://{platform}", listening.callers);

    let Options { seconds, seed, shape } = *options;
    let workload = Workload::generate(&Plan { shape, rate: RATE, seconds, gap: GAP, seed });
    let bound = Bound::of(&workload);
    println!("{} requests over {} s", workload.arrivals.len(), options.seconds);
    let before = emulator.counts();
    let progress = tokio::spawn(show_progress(emulator.clone()));
    let target = Target { nodes: vec![format!("http://{}", listening.callers)] };
    let samples = send_all(target, workload.arrivals).await?;
    progress.abort();
    let figures = Figures::of(&samples, &before, &emulator.counts());
    println!("{}", figures.table());
    println!("least share that could be recomputed: {:.1} %", bound.recomputed_share * 100.0);
    let cut_off = node.shut_down().await;
    check(&figures, cut_off)
}

fn check(figures: &Figures, cut_off: usize) -> Result<()> {
    let failed = |message: String| Err(Error::Failed { message });
    if figures.answered != figures.sent {
        return failed(format!("{} of {} were answered", figures.answered, figures.sent));
    }
    if !figures.is_safe() {
        return failed("an answer was wrong, lost or doubled".into());
    }
    if cut_off > 0 {
        return failed(format!("{cut_off} requests were cut off by the shutdown"));
    }
    Ok(())
}

async fn show_progress(emulator: Arc<Emulator>) {
    loop {
        tokio::time::sleep(PROGRESS_PERIOD).await;
        let counts = emulator.counts();
        println!(
            "{} runs so far, {:.1} % of context recomputed",
            counts.runs.len(),
            counts.recomputed_share() * 100.0
        );
    }
}

async fn until_ready(node: &Node) -> Result<()> {
    let ready = async {
        while !node.is_ready() {
            tokio::time::sleep(START_CHECK).await;
        }
        // One more poll, so that every engine's load is known.
        tokio::time::sleep(node.settings.timing.load_poll * 2).await;
    };
    tokio::time::timeout(START_TIMEOUT, ready)
        .await
        .map_err(|_| Error::start("demo", "the node did not get ready", "free some cores"))
}

fn node_settings(
    folder: &Folder,
    platform: SocketAddr,
    deployment: &Deployment,
) -> Result<Settings> {
    let key_file = folder.path.join("key");
    super::key_new::run(&key_file)?;
    // Nobody else has to find the only node.
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

/// A folder of its own that is removed at the end.
struct Folder {
    path: PathBuf,
}

impl Folder {
    fn new() -> Result<Folder> {
        let path = std::env::temp_dir().join(format!("kumquatpost-demo-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|source| {
            Error::start("demo", source, "free the folder for temporary files")
        })?;
        Ok(Folder { path })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.path));
    }
}
