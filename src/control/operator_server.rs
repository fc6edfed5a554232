//! The HTTP API for operators: publishes and reads deployments, names weight versions, and orders
//! evacuations.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, LOCATION};
use http::uri::PathAndQuery;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use super::replica::{Input, Undecided};
use super::shared::Shared;
use super::state::{Command, ControlState, Published, Reply};
use crate::clock::boot_now;
use crate::deployment::{Deployment, validate};
use crate::fleet::evacuation::{AcceptedOrder, EvacuationOrder, Evacuations, OrderRevision};
use crate::http::UsedConnections;
use crate::ids::{DomainId, ModelId};
use crate::net;
use crate::net::body_memory::BodyMemory;
use crate::net::lingering_stream::LingeringStream;
use crate::net::request_body::{RequestBody, RequestBodyError};
use crate::platform::operator::{self, RejectedCall};
use crate::telemetry::deployment_metrics::ReplicaMetrics;
use crate::telemetry::metrics::label;

/// Largest accepted request body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// A command that takes longer is answered as undecided. Operator tools try another replica after
/// one second.
const DECISION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection whose data is not acknowledged for this long is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// A request from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorCall {
    Publish {
        deployment: Deployment,
        /// The document as sent.
        text: Vec<u8>,
    },
    ReadDeployment,
    /// Names a new weight version.
    NameWeights {
        model: ModelId,
        version: u64,
    },
    /// Evacuates or restores a failure domain.
    OrderEvacuation {
        domain: DomainId,
        order: EvacuationOrder,
        /// The revision of the domain that the caller was shown; `None` if it was shown none yet.
        shown: Option<OrderRevision>,
    },
    /// Reads the evacuated failure domains.
    ReadEvacuations,
}

/// Validates the deployment of a publish request. Needs no leader.
///
/// # Errors
///
/// All problems of the deployment, one per line.
pub fn validate_call(call: OperatorCall) -> Result<OperatorCall, RejectedCall> {
    let OperatorCall::Publish { deployment, .. } = &call else { return Ok(call) };
    let problems = validate::problems(deployment);
    if problems.is_empty() {
        return Ok(call);
    }
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    Err(RejectedCall { status: StatusCode::BAD_REQUEST, message: lines.join("\n") })
}

type Answer = Response<Full<Bytes>>;

/// Serves the operator API at one replica.
pub struct OperatorServer {
    /// The state of this replica.
    pub shared: Rc<Shared>,
    /// Failure domains that can be evacuated even while no target is listed there.
    pub known_domains: BTreeSet<DomainId>,
    /// Whether the replicas read a list of targets, which names failure domains as well.
    pub reads_target_list: bool,
    /// Accepts commands and reads.
    pub inputs: mpsc::Sender<Input>,
    /// The operator port, which is the same at all replicas.
    pub port: u16,
    pub metrics: Rc<ReplicaMetrics>,
    pub used_connections: UsedConnections,
    /// Once true, each connection is closed after its current response.
    pub closing: watch::Sender<bool>,
}

impl OperatorServer {
    /// Waits until all calls in progress are answered, at most for `limit`.
    pub async fn finish_calls(&self, limit: Duration) {
        self.closing.send_replace(true);
        self.used_connections.wait_until_closed(boot_now() + limit).await;
    }

    /// Accepts connections for as long as the process lives.
    pub async fn accept(self: Rc<OperatorServer>, listener: TcpListener) {
        let spawn_connection = |stream| drop(tokio::task::spawn_local(self.clone().serve(stream)));
        net::for_each_connection(listener, spawn_connection).await;
    }

    async fn serve(self: Rc<OperatorServer>, stream: TcpStream) {
        if let Err(error) = net::set_ack_timeout(&stream, UNACKED_TIMEOUT) {
            log::warn!("event=connection_not_set reason={:?}", error.to_string());
        }
        let mut closing = self.closing.subscribe();
        let connection_use = self.used_connections.track();
        let service = service_fn(|request| {
            connection_use.mark_used();
            let operators = self.clone();
            async move { Ok::<Answer, Infallible>(operators.answer(request).await) }
        });
        let connection = http1::Builder::new()
            .serve_connection(TokioIo::new(LingeringStream::new(stream)), service);
        let mut connection = std::pin::pin!(connection);
        let served = tokio::select! {
            // A call that has arrived is read before its connection is closed as idle.
            biased;
            served = connection.as_mut() => served,
            // An error means that the process ends.
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = served {
            log::debug!("event=operator_gone reason={:?}", error.to_string());
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str).to_string();
        let body = RequestBody::new(body, self.closing.subscribe());
        let body = match body.read(MAX_BODY_BYTES, &BodyMemory::unlimited()).await {
            Ok(body) => body,
            Err(error) => return body_error_answer(error),
        };
        let decoded = operator::decode(&head.method, &path, &body);
        let answer = match decoded.and_then(validate_call) {
            Ok(OperatorCall::ReadDeployment) => self.read(&path).await,
            Ok(OperatorCall::Publish { deployment, text }) => {
                let published =
                    Published { text: Arc::new(text), deployment: Arc::new(deployment) };
                self.decide(Command::Publish(published), &path).await
            }
            Ok(OperatorCall::NameWeights { model, version }) => {
                self.decide(Command::NameWeights { model, version }, &path).await
            }
            Ok(OperatorCall::OrderEvacuation { domain, order, shown }) => {
                self.order_evacuation(domain, order, shown, &path).await
            }
            Ok(OperatorCall::ReadEvacuations) => self.read_evacuations(&path).await,
            Err(refused) => text(refused.status, refused.message),
        };
        let status = label("status", answer.status().as_str());
        self.metrics.operator_requests.add(1, &[status]);
        log::info!(
            "event=operator_call method={} path={path} status={}",
            head.method,
            answer.status().as_u16()
        );
        answer
    }

    async fn decide(&self, command: Command, path: &str) -> Answer {
        match self.propose(command).await {
            Ok(Reply::Published(version) | Reply::Named(version)) => {
                json_answer(format!("{{\"newest\":{version}}}").into())
            }
            Ok(_) => self.undecided_answer(Undecided::Unknown, path),
            Err(undecided) => self.undecided_answer(undecided, path),
        }
    }

    async fn propose(&self, command: Command) -> Result<Reply, Undecided> {
        self.request(|sender| Input::Propose(command, sender)).await
    }

    async fn read_state(&self) -> Result<ControlState, Undecided> {
        self.request(Input::Read).await
    }

    async fn request<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Result<T, Undecided>>) -> Input,
    ) -> Result<T, Undecided> {
        let (sender, decided) = oneshot::channel();
        self.inputs.send(input(sender)).await.map_err(|_| Undecided::Unknown)?;
        match tokio::time::timeout(DECISION_TIMEOUT, decided).await {
            Ok(Ok(decided)) => decided,
            _ => Err(Undecided::Unknown),
        }
    }

    async fn read(&self, path: &str) -> Answer {
        match self.read_state().await.map(|state| state.published) {
            Ok(Some(published)) => json_answer(Bytes::copy_from_slice(&published.text)),
            Ok(None) => {
                text(StatusCode::SERVICE_UNAVAILABLE, "no deployment is published yet".into())
            }
            Err(undecided) => self.undecided_answer(undecided, path),
        }
    }

    /// Evacuates or restores a failure domain.
    ///
    /// An order without the current revision is redirected to the leader with that revision. Only
    /// a caller that still waits follows, so a copy that was delayed on its way has no effect,
    /// whatever was ordered in the meantime.
    async fn order_evacuation(
        &self,
        domain: DomainId,
        order: EvacuationOrder,
        shown: Option<OrderRevision>,
        path: &str,
    ) -> Answer {
        let known = self.known_domains();
        if !known.contains(&domain) && !self.knows_all_domains() {
            let message = "this replica does not know the failure domains yet; ask another one";
            return text(StatusCode::SERVICE_UNAVAILABLE, message.into());
        }
        if !known.contains(&domain) {
            let message = format!("no failure domain is named {domain:?}; name one of {known:?}");
            return text(StatusCode::NOT_FOUND, message);
        }
        let Some(expected) = shown else { return self.redirect_with_revision(&domain) };
        let command = Command::OrderEvacuation { domain: domain.clone(), order, expected };
        match self.propose(command).await {
            Ok(Reply::EvacuationOrdered(Some(revision))) => {
                log::info!(
                    "event=evacuation_ordered domain={domain} order={} \
                     expected={expected} revision={revision}",
                    order.name()
                );
                json_answer(format!("{{\"revision\":{revision}}}").into())
            }
            Ok(Reply::EvacuationOrdered(None)) => self.redirect_with_revision(&domain),
            Ok(_) => self.undecided_answer(Undecided::Unknown, path),
            Err(undecided) => self.undecided_answer(undecided, path),
        }
    }

    /// Failure domains that the platform names, that have targets, or that were ordered before.
    fn known_domains(&self) -> BTreeSet<DomainId> {
        let roster = self.shared.roster.borrow();
        let listed = roster.roster.iter().map(|target| &target.failure_domain);
        let view = self.shared.view.borrow();
        let ordered = view.state.evacuations.orders().map(|(domain, _)| domain);
        self.known_domains.iter().chain(listed).chain(ordered).cloned().collect()
    }

    /// Whether an unknown failure domain can be rejected for good: this replica has the orders that
    /// were accepted before, and a list of targets if there is one.
    fn knows_all_domains(&self) -> bool {
        let has_list = !self.reads_target_list || !self.shared.roster.borrow().roster.is_empty();
        self.shared.caught_up_at.get().is_some() && has_list
    }

    fn redirect_with_revision(&self, domain: &DomainId) -> Answer {
        let view = self.shared.view.borrow();
        let revision = view.state.evacuations.revision(domain);
        let path = operator::evacuation_path(domain, revision);
        self.undecided_answer(Undecided::NotLeader(view.leader), &path)
    }

    async fn read_evacuations(&self, path: &str) -> Answer {
        match self.read_state().await {
            Ok(state) => json_answer(evacuations_document(&state.evacuations).to_string().into()),
            Err(undecided) => self.undecided_answer(undecided, path),
        }
    }

    fn undecided_answer(&self, undecided: Undecided, path: &str) -> Answer {
        match undecided {
            Undecided::NotLeader(Some(leader)) => redirect(leader, self.port, path),
            Undecided::NotLeader(None) => {
                text(StatusCode::SERVICE_UNAVAILABLE, "no replica leads yet; ask again".into())
            }
            Undecided::Unknown => {
                let message = "it may or may not be decided; send the same again";
                text(StatusCode::SERVICE_UNAVAILABLE, message.into())
            }
        }
    }
}

/// Lists the evacuated failure domains, and the last order of each domain.
fn evacuations_document(evacuations: &Evacuations) -> serde_json::Value {
    let order = |(domain, accepted): (&DomainId, &AcceptedOrder)| {
        let order = match accepted.order {
            EvacuationOrder::Evacuate => "evacuate",
            EvacuationOrder::Restore => "restore",
        };
        json!({"failure_domain": domain, "order": order, "revision": accepted.revision})
    };
    json!({
        "evacuated": evacuations.evacuated(),
        "orders": evacuations.orders().map(order).collect::<Vec<_>>(),
    })
}

fn redirect(leader: IpAddr, port: u16, path: &str) -> Answer {
    let to = format!("http://{}{path}", SocketAddr::new(leader, port));
    let mut answer = text(StatusCode::TEMPORARY_REDIRECT, format!("{to} leads"));
    match to.parse() {
        Ok(value) => drop(answer.headers_mut().insert(LOCATION, value)),
        Err(_) => *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
    }
    answer
}

fn body_error_answer(error: RequestBodyError) -> Answer {
    let (status, message) = match error {
        RequestBodyError::TooLarge | RequestBodyError::Disconnected => {
            (StatusCode::BAD_REQUEST, "the body is too large or broke off")
        }
        RequestBodyError::OutOfMemory => (
            StatusCode::SERVICE_UNAVAILABLE,
            "nothing was changed, this replica holds too many bodies; ask another one",
        ),
        RequestBodyError::Interrupted => (
            StatusCode::SERVICE_UNAVAILABLE,
            "nothing was changed, this replica shuts down; ask another one",
        ),
    };
    text(status, message.into())
}

fn json_answer(body: Bytes) -> Answer {
    with_type(StatusCode::OK, body, "application/json")
}

fn text(status: StatusCode, message: String) -> Answer {
    with_type(status, message.into(), "text/plain; charset=utf-8")
}

fn with_type(status: StatusCode, body: Bytes, content_type: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}
