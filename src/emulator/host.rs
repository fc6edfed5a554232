//! Runs the stand-ins: a thread, a runtime and a port for each.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::oneshot;
use warp::http::{Method, StatusCode};

use super::engine::{Engine, WeightStore};
use super::knobs::{Fault, Faults, Knobs, SetFault};
use super::ledger::{Counts, Ledger};
use super::platform::Platform;
use super::service::Service;
use super::settings::{EmulatorSettings, EngineSettings, ServiceSettings, StoreSettings};
use super::store::Store;
use crate::error::{Error, Result};
use crate::http::{self, Request, Response};
use crate::ids::{Incarnation, TargetId};
use crate::upstream::api::{Presence, Role, Target};

/// Bodies that stand-ins accept.
const BODY_LIMIT_BYTES: usize = 64 << 20;

/// A target that has died by itself starts again after this time.
const DOWN_FOR: Duration = Duration::from_millis(500);
/// How often it is looked whether one has.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// All stand-ins of one process.
pub struct Emulator {
    ip: IpAddr,
    weight_load: Duration,
    weights: Arc<WeightStore>,
    ledger: Arc<Ledger>,
    platform: Platform,
    targets: Mutex<BTreeMap<TargetId, Running>>,
}

#[derive(Clone)]
enum Kind {
    Engine(EngineSettings),
    Store(StoreSettings),
    Service(ServiceSettings),
}

struct Running {
    kind: Kind,
    target: Target,
    faults: Arc<Faults>,
    /// Dropping it ends the target with all its connections; `None` while it is dead.
    life: Option<oneshot::Sender<()>>,
}

impl Emulator {
    /// Starts all stand-ins and returns them with the platform's address.
    ///
    /// # Errors
    /// `Error::Start` if a port can't be had.
    pub async fn start(settings: EmulatorSettings) -> Result<(Arc<Emulator>, SocketAddr)> {
        let kinds = settings
            .engines
            .into_iter()
            .map(Kind::Engine)
            .chain(settings.stores.into_iter().map(Kind::Store))
            .chain(settings.services.into_iter().map(Kind::Service));
        let weights = Arc::new(WeightStore::default());
        let ledger = Arc::new(Ledger::default());
        let weight_load = Duration::from_millis(settings.weight_load_ms);
        let mut running = BTreeMap::new();
        for kind in kinds {
            let faults = Arc::new(Faults::default());
            let start = Start {
                kind: kind.clone(),
                incarnation: 1,
                faults: faults.clone(),
                ledger: ledger.clone(),
                weights: weights.clone(),
                weight_load,
            };
            let (address, life) = start.on_thread(SocketAddr::new(settings.ip, 0))?;
            let target = target(&kind, address, 1);
            let id = target.id.clone();
            running.insert(id, Running { kind, target, faults, life: Some(life) });
        }
        let targets = running.values().map(|running| running.target.clone()).collect();
        let emulator = Arc::new(Emulator {
            ip: settings.ip,
            weight_load,
            weights,
            ledger,
            platform: Platform::new(targets, Duration::from_millis(settings.platform_lag_ms)),
            targets: Mutex::new(running),
        });
        let address = emulator.clone().serve(settings.platform_port).await?;
        tokio::spawn(emulator.clone().keep_alive());
        Ok((emulator, address))
    }

    /// What really ran.
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
        tokio::spawn(http::serve(listener, BODY_LIMIT_BYTES, handler, std::future::pending()));
        Ok(address)
    }

    /// Starts targets again that have died by themselves, for as long as the process lives.
    async fn keep_alive(self: Arc<Emulator>) {
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            for running in self.targets.lock().values_mut() {
                if !running.faults.take_death(DOWN_FOR) {
                    continue;
                }
                let knobs = running.faults.get();
                if let Err(error) = self.restart(running) {
                    log::warn!("event=stand_in_not_restarted reason={:?}", error.to_string());
                }
                running.faults.set(knobs);
            }
        }
    }

    fn handle(&self, request: &Request) -> Response {
        match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["targets"]) => self.show_targets(request),
            (&Method::GET, ["ledger"]) => http::json(StatusCode::OK, &self.ledger.counts()),
            (&Method::POST, ["faults"]) => match request.json::<SetFault>() {
                Ok(order) => self.set_fault(order),
                Err(reason) => http::text(StatusCode::BAD_REQUEST, reason),
            },
            _ => http::text(StatusCode::NOT_FOUND, "try targets, ledger or faults".into()),
        }
    }

    fn show_targets(&self, request: &Request) -> Response {
        let list = self.platform.shown();
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

    fn set_fault(&self, order: SetFault) -> Response {
        let mut targets = self.targets.lock();
        let Some(running) = targets.get_mut(&order.target) else {
            return http::text(StatusCode::NOT_FOUND, format!("no target {:?}", order.target));
        };
        match order.fault {
            Fault::Die => {
                running.life = None;
                self.platform.remove(&order.target);
            }
            Fault::Leave => self.platform.leave(&order.target),
            Fault::Set(knobs) => running.faults.set(knobs),
            Fault::Restart => {
                if let Err(error) = self.restart(running) {
                    return http::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
                }
            }
        }
        http::json(StatusCode::OK, &json!({"target": order.target}))
    }

    fn restart(&self, running: &mut Running) -> Result<()> {
        running.life = None;
        running.faults.set(Knobs::default());
        let incarnation = running.target.incarnation + 1;
        let start = Start {
            kind: running.kind.clone(),
            incarnation,
            faults: running.faults.clone(),
            ledger: self.ledger.clone(),
            weights: self.weights.clone(),
            weight_load: self.weight_load,
        };
        let (address, life) = start.on_thread(SocketAddr::new(self.ip, 0))?;
        running.target = target(&running.kind, address, incarnation);
        running.life = Some(life);
        self.platform.restarted(running.target.clone());
        Ok(())
    }
}

fn target(kind: &Kind, address: SocketAddr, incarnation: Incarnation) -> Target {
    let (id, role, failure_domain, checks_fencing) = match kind {
        Kind::Engine(engine) => {
            let role = Role::Engine { model: engine.model.clone() };
            (&engine.id, role, &engine.failure_domain, engine.checks_fencing)
        }
        Kind::Store(store) => (&store.id, Role::Store, &store.failure_domain, true),
        Kind::Service(service) => {
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

/// All that one target needs to start.
struct Start {
    kind: Kind,
    incarnation: Incarnation,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
    weights: Arc<WeightStore>,
    weight_load: Duration,
}

impl Start {
    /// Runs the target on a thread of its own until the returned sender is dropped.
    fn on_thread(self, address: SocketAddr) -> Result<(SocketAddr, oneshot::Sender<()>)> {
        let failed = |source| Error::start("stand-in", source, "free a port or raise the limits");
        let listener = std::net::TcpListener::bind(address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let (life, ended) = oneshot::channel();
        let faults = self.faults.clone();
        std::thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = self.serve(listener) => {}
                    () = faults.until_died() => {}
                    _ = ended => {}
                }
            });
            // Drops every task and socket of the target at once, as a kill would.
            runtime.shutdown_background();
        });
        Ok((address, life))
    }

    async fn serve(self, listener: std::net::TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        match self.kind {
            Kind::Engine(settings) => {
                let engine = Engine::start(
                    settings,
                    self.incarnation,
                    self.faults,
                    self.ledger,
                    self.weights,
                    self.weight_load,
                );
                serve_target(listener, move |request| engine.clone().handle(request)).await;
            }
            Kind::Store(settings) => {
                let store = Store::start(settings, self.incarnation, self.faults, self.ledger);
                serve_target(listener, move |request| store.clone().handle(request)).await;
            }
            Kind::Service(settings) => {
                let service = Service::start(settings, self.faults, self.ledger);
                serve_target(listener, move |request| service.clone().handle(request)).await;
            }
        }
    }
}

async fn serve_target<H, F>(listener: tokio::net::TcpListener, handler: H)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    http::serve(listener, BODY_LIMIT_BYTES, handler, std::future::pending()).await;
}
