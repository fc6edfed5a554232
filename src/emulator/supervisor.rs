//! Runs the emulated targets, each with its own thread, runtime and port. Serves the target list,
//! the ledger and fault injection over HTTP.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::{oneshot, watch};
use warp::http::{Method, StatusCode};

use super::engine::{ActiveWeightLoads, Engine};
use super::faults::{FaultAction, FaultRequest, FaultSettings, TargetFaults};
use super::ledger::{Counts, Ledger};
use super::service::Service;
use super::settings::{EmulatorSettings, EngineSettings, ServiceSettings, StoreSettings};
use super::store::Store;
use super::target_list::DelayedTargetList;

use crate::error::{Error, Result};
use crate::http::{self, Request, Response, ShutdownPhase, UsedConnections};
use crate::ids::{Incarnation, TargetId};
use crate::upstream::api::{Presence, Role, Target};

/// Largest request body that targets and the emulator accept.
const BODY_LIMIT_BYTES: usize = 64 << 20;

/// Delay before a crashed target is restarted.
const CRASH_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks for crashed targets.
const CRASH_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// The emulated targets of one process.
pub struct Emulator {
    ip: IpAddr,
    weight_load_duration: Duration,
    weight_loads: Arc<ActiveWeightLoads>,
    ledger: Arc<Ledger>,
    target_list: DelayedTargetList,
    targets: Mutex<BTreeMap<TargetId, EmulatedTarget>>,
}

#[derive(Clone)]
enum TargetSettings {
    Engine(EngineSettings),
    Store(StoreSettings),
    Service(ServiceSettings),
}

struct EmulatedTarget {
    target_settings: TargetSettings,
    list_entry: Target,
    faults: Arc<TargetFaults>,
    /// Dropping it stops the target with all its connections. `None` once it was stopped.
    shutdown: Option<oneshot::Sender<()>>,
}

impl Emulator {
    /// Starts all targets. Returns the emulator and the address of its HTTP server.
    ///
    /// # Errors
    /// `Error::Start` if a port can't be bound or a runtime can't be created.
    pub async fn start(settings: EmulatorSettings) -> Result<(Arc<Emulator>, SocketAddr)> {
        let all_settings = settings
            .engines
            .into_iter()
            .map(TargetSettings::Engine)
            .chain(settings.stores.into_iter().map(TargetSettings::Store))
            .chain(settings.services.into_iter().map(TargetSettings::Service));
        let weight_loads = Arc::new(ActiveWeightLoads::default());
        let ledger = Arc::new(Ledger::default());
        let weight_load_duration = Duration::from_millis(settings.weight_load_ms);
        let mut targets = BTreeMap::new();
        for target_settings in all_settings {
            let faults = Arc::new(TargetFaults::default());
            let launcher = TargetLauncher {
                target_settings: target_settings.clone(),
                incarnation: 1,
                faults: faults.clone(),
                ledger: ledger.clone(),
                weight_loads: weight_loads.clone(),
                weight_load_duration,
            };
            let (address, shutdown) = launcher.launch_on_thread(SocketAddr::new(settings.ip, 0))?;
            let list_entry = list_entry(&target_settings, address, 1);
            let id = list_entry.id.clone();
            targets.insert(
                id,
                EmulatedTarget { target_settings, list_entry, faults, shutdown: Some(shutdown) },
            );
        }
        let list_entries = targets.values().map(|target| target.list_entry.clone()).collect();
        let emulator = Arc::new(Emulator {
            ip: settings.ip,
            weight_load_duration,
            weight_loads,
            ledger,
            target_list: DelayedTargetList::new(
                list_entries,
                Duration::from_millis(settings.platform_lag_ms),
            ),
            targets: Mutex::new(targets),
        });
        let address = emulator.clone().serve(settings.platform_port).await?;
        tokio::spawn(emulator.clone().restart_crashed_targets());
        Ok((emulator, address))
    }

    /// Returns a copy of the ledger's counters.
    pub fn counts(&self) -> Counts {
        self.ledger.counts()
    }

    async fn serve(self: Arc<Emulator>, port: u16) -> Result<SocketAddr> {
        let address = SocketAddr::new(self.ip, port);
        let remedy = "name a free platform_port, or 0";
        let listener = tokio::net::TcpListener::bind(address)
            .await
            .map_err(|source| Error::start("platform_port", source, remedy))?;
        let address = listener
            .local_addr()
            .map_err(|source| Error::start("platform_port", source, remedy))?;
        let handler = move |request| {
            let emulator = self.clone();
            async move { emulator.handle(&request) }
        };
        tokio::spawn(serve_until_dropped(listener, handler));
        Ok(address)
    }

    /// Restarts crashed targets with their faults. Never returns.
    async fn restart_crashed_targets(self: Arc<Emulator>) {
        loop {
            tokio::time::sleep(CRASH_CHECK_PERIOD).await;
            for target in self.targets.lock().values_mut() {
                if !target.faults.take_crash(CRASH_RESTART_DELAY) {
                    continue;
                }
                let fault_settings = target.faults.settings();
                if let Err(error) = self.restart(target) {
                    log::warn!("event=stand_in_not_restarted reason={:?}", error.to_string());
                }
                target.faults.set(fault_settings);
            }
        }
    }

    fn handle(&self, request: &Request) -> Response {
        match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["targets"]) => self.list_targets(request),
            (&Method::GET, ["ledger"]) => http::json(StatusCode::OK, &self.ledger.counts()),
            (&Method::POST, ["faults"]) => match request.json::<FaultRequest>() {
                Ok(fault_request) => self.set_fault(fault_request),
                Err(reason) => http::text(StatusCode::BAD_REQUEST, reason),
            },
            _ => http::text(
                StatusCode::NOT_FOUND,
                "no such endpoint; there are GET /targets, GET /ledger and POST /faults".into(),
            ),
        }
    }

    fn list_targets(&self, request: &Request) -> Response {
        let list = self.target_list.visible();
        let text = serde_json::to_string(&list).unwrap_or_default();
        let etag = format!("\"{:08x}\"", crc32fast::hash(text.as_bytes()));
        let mut response = if request.header("if-none-match") == Some(etag.as_str()) {
            http::text(StatusCode::NOT_MODIFIED, String::new())
        } else {
            http::json(StatusCode::OK, &list)
        };
        http::set_header(&mut response, "etag", &etag);
        response
    }

    fn set_fault(&self, fault_request: FaultRequest) -> Response {
        let mut targets = self.targets.lock();
        let Some(target) = targets.get_mut(&fault_request.target) else {
            return http::text(
                StatusCode::NOT_FOUND,
                format!("no target {:?}", fault_request.target),
            );
        };
        match fault_request.fault {
            FaultAction::Die => {
                target.shutdown = None;
                self.target_list.remove(&fault_request.target);
            }
            FaultAction::Leave => self.target_list.mark_leaving(&fault_request.target),
            FaultAction::Set(fault_settings) => target.faults.set(fault_settings),
            FaultAction::Restart => {
                if let Err(error) = self.restart(target) {
                    return http::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
                }
            }
        }
        http::json(StatusCode::OK, &json!({"target": fault_request.target}))
    }

    fn restart(&self, target: &mut EmulatedTarget) -> Result<()> {
        target.shutdown = None;
        target.faults.set(FaultSettings::default());
        let incarnation = target.list_entry.incarnation + 1;
        let launcher = TargetLauncher {
            target_settings: target.target_settings.clone(),
            incarnation,
            faults: target.faults.clone(),
            ledger: self.ledger.clone(),
            weight_loads: self.weight_loads.clone(),
            weight_load_duration: self.weight_load_duration,
        };
        let (address, shutdown) = launcher.launch_on_thread(SocketAddr::new(self.ip, 0))?;
        target.list_entry = list_entry(&target.target_settings, address, incarnation);
        target.shutdown = Some(shutdown);
        self.target_list.replace(target.list_entry.clone());
        Ok(())
    }
}

/// Returns the entry of a running target in the target list.
fn list_entry(settings: &TargetSettings, address: SocketAddr, incarnation: Incarnation) -> Target {
    let (id, role, failure_domain, checks_fencing) = match settings {
        TargetSettings::Engine(engine) => {
            let role = Role::Engine { model: engine.model.clone() };
            (&engine.id, role, &engine.failure_domain, engine.checks_fencing)
        }
        TargetSettings::Store(store) => (&store.id, Role::Store, &store.failure_domain, true),
        TargetSettings::Service(service) => {
            let role = Role::Service { service: service.service.clone() };
            (&service.id, role, &service.failure_domain, false)
        }
    };
    Target {
        id: id.clone(),
        incarnation,
        role,
        url: format!("http://{address}"),
        failure_domain: failure_domain.clone(),
        presence: Presence::Live,
        checks_fencing,
    }
}

struct TargetLauncher {
    target_settings: TargetSettings,
    incarnation: Incarnation,
    faults: Arc<TargetFaults>,
    ledger: Arc<Ledger>,
    weight_loads: Arc<ActiveWeightLoads>,
    weight_load_duration: Duration,
}

impl TargetLauncher {
    /// Runs the target on a new thread until it crashes or the returned sender is dropped. Also
    /// returns the address of the target.
    fn launch_on_thread(self, address: SocketAddr) -> Result<(SocketAddr, oneshot::Sender<()>)> {
        let failed =
            |source| Error::start("emulated target", source, "free a port or raise the limits");
        let listener = std::net::TcpListener::bind(address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let (shutdown, shutdown_requested) = oneshot::channel();
        let faults = self.faults.clone();
        std::thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = self.serve(listener) => {}
                    () = faults.wait_for_crash() => {}
                    _ = shutdown_requested => {}
                }
            });
            // Drops all tasks and sockets of the target at once, as if its process had been killed.
            runtime.shutdown_background();
        });
        Ok((address, shutdown))
    }

    async fn serve(self, listener: std::net::TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        match self.target_settings {
            TargetSettings::Engine(settings) => {
                let engine = Engine::start(
                    settings,
                    self.incarnation,
                    self.faults,
                    self.ledger,
                    self.weight_loads,
                    self.weight_load_duration,
                );
                serve_until_dropped(listener, move |request| engine.clone().handle(request)).await;
            }
            TargetSettings::Store(settings) => {
                let store = Store::start(settings, self.incarnation, self.faults, self.ledger);
                serve_until_dropped(listener, move |request| store.clone().handle(request)).await;
            }
            TargetSettings::Service(settings) => {
                let service = Service::start(settings, self.faults, self.ledger);
                serve_until_dropped(listener, move |request| service.clone().handle(request)).await;
            }
        }
    }
}

async fn serve_until_dropped<H, F>(listener: tokio::net::TcpListener, handler: H)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let (_sender, phase) = watch::channel(ShutdownPhase::Serving);
    http::serve(listener, BODY_LIMIT_BYTES, handler, UsedConnections::default(), phase).await;
}
