//! The HTTP API for operators: publishes and reads deployments, and names weight versions.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, LOCATION};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::replica::{Input, Undecided};
use super::state::{Command, Published, Reply};
use crate::deployment::{Deployment, validate};
use crate::ids::ModelId;
use crate::net;
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
    /// Publishes a deployment.
    Publish {
        /// The parsed document.
        deployment: Deployment,
        /// The document as sent.
        text: Vec<u8>,
    },
    /// Reads the newest deployment.
    ReadDeployment,
    /// Names a new weight version.
    NameWeights { model: ModelId, version: u64 },
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
    /// Accepts commands and reads.
    pub inputs: mpsc::Sender<Input>,
    /// The operator port, which is the same at all replicas.
    pub port: u16,
    /// Counts requests.
    pub metrics: Rc<ReplicaMetrics>,
}

impl OperatorServer {
    /// Accepts connections for as long as the process lives.
    pub async fn accept(self: Rc<OperatorServer>, listener: TcpListener) {
        let spawn_connection = |stream| drop(tokio::task::spawn_local(self.clone().serve(stream)));
        net::for_each_connection(listener, spawn_connection).await;
    }

    async fn serve(self: Rc<OperatorServer>, stream: TcpStream) {
        if let Err(error) = net::set_ack_timeout(&stream, UNACKED_TIMEOUT) {
            log::warn!("event=connection_not_set reason={:?}", error.to_string());
        }
        let service = service_fn(move |request| {
            let operators = self.clone();
            async move { Ok::<Answer, Infallible>(operators.answer(request).await) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        if let Err(error) = served {
            log::debug!("event=operator_gone reason={:?}", error.to_string());
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return text(StatusCode::BAD_REQUEST, "the body is too large or broke off".into());
        };
        let decoded = operator::decode(&head.method, &path, &body.to_bytes());
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
        let (sender, decided) = oneshot::channel();
        if self.inputs.send(Input::Propose(command, sender)).await.is_err() {
            return self.undecided_answer(Undecided::Unknown, path);
        }
        match tokio::time::timeout(DECISION_TIMEOUT, decided).await {
            Ok(Ok(Ok(Reply::Published(version) | Reply::Named(version)))) => {
                json(format!("{{\"newest\":{version}}}").into())
            }
            Ok(Ok(Err(undecided))) => self.undecided_answer(undecided, path),
            _ => self.undecided_answer(Undecided::Unknown, path),
        }
    }

    async fn read(&self, path: &str) -> Answer {
        let (sender, read) = oneshot::channel();
        if self.inputs.send(Input::Read(sender)).await.is_err() {
            return self.undecided_answer(Undecided::Unknown, path);
        }
        match tokio::time::timeout(DECISION_TIMEOUT, read).await {
            Ok(Ok(Ok(Some(published)))) => json(Bytes::copy_from_slice(&published.text)),
            Ok(Ok(Ok(None))) => {
                text(StatusCode::SERVICE_UNAVAILABLE, "no deployment is published yet".into())
            }
            Ok(Ok(Err(undecided))) => self.undecided_answer(undecided, path),
            _ => self.undecided_answer(Undecided::Unknown, path),
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

fn redirect(leader: IpAddr, port: u16, path: &str) -> Answer {
    let to = format!("http://{}{path}", SocketAddr::new(leader, port));
    let mut answer = text(StatusCode::TEMPORARY_REDIRECT, format!("{to} leads"));
    match to.parse() {
        Ok(value) => drop(answer.headers_mut().insert(LOCATION, value)),
        Err(_) => *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
    }
    answer
}

fn json(body: Bytes) -> Answer {
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
