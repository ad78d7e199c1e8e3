//! The listener for operators and their tools.

pub(crate) mod orders;
mod submit;

use std::sync::Arc;

use http_types::headers::{ALLOW, CONTENT_TYPE};
use http_types::{Method, Request as HttpRequest, Response};
use serde::{Deserialize, Serialize};

use crate::protocol::dump;
use crate::protocol::refusal::{Code, Reason, Refusal};
use crate::protocol::request::{Received, Request};
use crate::state::clock::Instant;
use crate::state::digest::Key;
use crate::state::fingerprint::Fingerprint;
use crate::state::manifest::Record;
use crate::state::name::Name;
use crate::state::order::Order;
use crate::state::platform::Listing;
use crate::transport::http::answer;
use crate::transport::http::head::bearer;
use crate::transport::http::server::{Endpoint, IncomingRequest};
use crate::transport::node::Node;
use crate::transport::platform::follow;
use submit::submit;

/// Number of versions in a history by default.
const HISTORY_DEFAULT: u64 = 20;
/// Largest number of versions in a history.
const HISTORY_MAX: u64 = 200;
/// Path of the quarantined requests; each of them has a path below it.
const QUARANTINE_PATH: &str = "/v1/quarantine";
/// Path of the orders to roll out another version of a service.
const ROLLOUTS_PATH: &str = "/v1/rollouts";
/// Name of the operator who authenticates with the bootstrap key, and so the author of a first configuration.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// The endpoint for operators.
pub(crate) struct Operators {
    node: Arc<Node>,
}

/// A summary of a host's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Name of the host.
    pub host: Name,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Configuration version in force; 0 if there is none.
    pub version: u64,
    /// Digest of that version's manifest.
    pub digest: String,
    /// Whether the host accepts callers.
    pub ready: bool,
    /// Whether the host is draining.
    pub draining: bool,
    /// Data centres whose backend servers get no new requests from the host.
    #[serde(default)]
    pub evacuated: Vec<Name>,
    /// Software versions of the services whose home the host is, or of their parts.
    #[serde(default)]
    pub versions: Vec<dump::Version>,
}

#[derive(Debug, Default, Deserialize)]
struct Query {
    base: Option<u64>,
    last: Option<u64>,
    server: Option<String>,
}

impl Operators {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn serve(&self, request: Request<Received>, mut call: IncomingRequest) -> Response {
        let path = call.request.url().path().to_owned();
        let method = call.request.method();
        match (method, path.as_str()) {
            (Method::Get, "/healthz") => return answer::text(200, "ok\n"),
            (Method::Get, "/readyz") => return self.ready(),
            (Method::Get, "/metrics") => return answer::text(200, self.node.metrics.text()),
            _ => {}
        }
        let Some(allowed) = allowed_methods(&path) else {
            let reason = Reason::new(Code::NotFound, format!("no such path: {path}"));
            return answer::refusal(&request.refuse(reason));
        };
        if !allowed
            .split(", ")
            .any(|allowed| allowed == method.as_ref())
        {
            let reason = Reason::new(Code::MethodNotAllowed, format!("{path} takes {allowed}"));
            let mut response = answer::refusal(&request.refuse(reason));
            response.insert_header(ALLOW, allowed);
            return response;
        }
        let Some(operator) = self.operator(&call.request) else {
            let message = "the operator key is missing or unknown";
            let reason = Reason::new(Code::Unauthorized, message);
            return answer::refusal(&request.refuse(reason));
        };
        let result = match (method, path.as_str()) {
            (Method::Post, "/v1/config") => self.submit(&operator, &mut call).await,
            (Method::Get, "/v1/config") => self.show(),
            (Method::Get, "/v1/config/history") => self.history(&call.request).await,
            (Method::Get, "/v1/hosts") => self.hosts().await,
            (Method::Post, "/v1/drain") => Ok(self.drain(&operator)),
            (Method::Post, "/v1/orders") => self.order(&operator, &mut call).await,
            (Method::Get, QUARANTINE_PATH) => Ok(answer::json(
                200,
                &self.node.quarantine.list(Instant::now()),
            )),
            (Method::Get, ROLLOUTS_PATH) => Ok(answer::json(200, &self.node.rollouts.list())),
            (Method::Delete, path) => self.release(&operator, path),
            (Method::Get, "/v1/state") => Ok(answer::json(200, &self.state())),
            _ => Ok(answer::json(200, &self.node.dump())),
        };
        result.unwrap_or_else(|reason| answer::refusal(&refusal(request, reason)))
    }

    /// The name of the operator whose key the request carries.
    ///
    /// The bootstrap key of the settings is valid only while no configuration is in force, or while the one in force
    /// comes from a source other than the table service and so names no operators.
    fn operator(&self, request: &HttpRequest) -> Option<Name> {
        let key = bearer(request)?;
        let own = self
            .node
            .active()
            .filter(|_| self.node.config_store.is_none());
        if let Some(active) = own {
            return active
                .index
                .operator(key)
                .map(|operator| operator.name.clone());
        }
        let bootstrap = self.node.config.host.bootstrap_key_sha256.as_deref()?;
        Key::parse(bootstrap)?
            .matches(&Key::of(key))
            .then(|| Name::from(BOOTSTRAP_OPERATOR))
    }

    fn ready(&self) -> Response {
        if self.node.is_ready() {
            return answer::text(200, "ready\n");
        }
        answer::text(503, "not ready\n")
    }

    fn state(&self) -> State {
        let digest = self
            .node
            .active()
            .map(|active| active.record.manifest.clone());
        let pools = self.node.scheduler.dump(Instant::now()).into_iter();
        let own_pools = pools.filter(|pool| pool.home);
        State {
            host: self.node.config.host.name.clone(),
            incarnation: self.node.incarnation,
            version: self.node.version(),
            digest: digest.unwrap_or_default(),
            ready: self.node.is_ready(),
            draining: self.node.is_draining(),
            evacuated: self.node.evacuated().into_iter().collect(),
            versions: own_pools.flat_map(|pool| pool.versions()).collect(),
        }
    }

    async fn submit(&self, operator: &str, call: &mut IncomingRequest) -> Result<Response, Reason> {
        if self.node.config_store.is_some() {
            let message = "the platform's own operators keep the configuration";
            return Err(Reason::new(Code::Conflict, message));
        }
        let query: Query = query(&call.request)?;
        let body = call.body().await?;
        let text = str::from_utf8(&body)
            .map_err(|_| Reason::new(Code::Rejected, "the configuration is not UTF-8 text"))?;
        let record = submit(&self.node, operator, text, query.base).await?;
        slog::info!(
            self.node.log, "configuration accepted";
            "version" => record.version, "operator" => operator
        );
        Ok(answer::json(200, &record))
    }

    fn show(&self) -> Result<Response, Reason> {
        let not_ready = || Reason::new(Code::NotReady, "no configuration is in force");
        let active = self.node.active().ok_or_else(not_ready)?;
        let text = toml::to_string(&active.index.fleet)
            .map_err(|error| Reason::new(Code::Rejected, error.to_string()))?;
        let mut response = answer::text(200, text);
        response.insert_header(CONTENT_TYPE, "application/toml");
        response.insert_header("cypressvane-version", active.record.version.to_string());
        Ok(response)
    }

    async fn history(&self, request: &HttpRequest) -> Result<Response, Reason> {
        let query: Query = query(request)?;
        let last = query.last.unwrap_or(HISTORY_DEFAULT).min(HISTORY_MAX);
        let newest = self.node.version();
        let oldest = newest.saturating_sub(last) + 1;
        let mut records: Vec<Record> = Vec::new();
        for version in (oldest..=newest).rev() {
            let record = follow::record(&self.node, version)
                .await
                .map_err(|error| Reason::new(Code::PlatformUnavailable, error.to_string()))?;
            records.extend(record);
        }
        Ok(answer::json(200, &records))
    }

    async fn hosts(&self) -> Result<Response, Reason> {
        if self.node.host_list.has_self_registration() {
            return Ok(answer::json(200, &*self.node.listed.load_full()));
        }
        match self.node.host_list.list(None, None).await {
            Ok(Listing::Entries { entries, .. }) => Ok(answer::json(200, &entries)),
            // The call named no known state, so the list cannot be the same as that.
            Ok(Listing::Same) => Err(Reason::new(
                Code::PlatformUnavailable,
                "the host list gave no entries",
            )),
            Err(error) => Err(Reason::new(Code::PlatformUnavailable, error.to_string())),
        }
    }

    /// Issues an order to the backend server named in the query.
    async fn order(&self, operator: &str, call: &mut IncomingRequest) -> Result<Response, Reason> {
        let query: Query = query(&call.request)?;
        let body = call.body().await?;
        let order: Order = serde_json::from_slice(&body)
            .map_err(|error| Reason::new(Code::BadRequest, error.to_string()))?;
        let missing = || Reason::new(Code::BadRequest, "the query names no server");
        let server = query.server.ok_or_else(missing)?;
        let entry = orders::issue(&self.node, operator, &server, order).await?;
        slog::info!(
            self.node.log, "order carried out";
            "server" => server, "number" => entry.newest.number, "operator" => operator
        );
        Ok(answer::json(200, &entry))
    }

    /// Releases a request from the quarantine.
    fn release(&self, operator: &str, path: &str) -> Result<Response, Reason> {
        let fingerprint = fingerprint_in(path).and_then(Fingerprint::parse);
        let released = fingerprint.and_then(|it| self.node.quarantine.release(&it, operator));
        if released.is_none() {
            let message = "no such request is kept from the backend servers";
            return Err(Reason::new(Code::NotFound, message));
        }
        Ok(answer::json(
            200,
            &self.node.quarantine.list(Instant::now()),
        ))
    }

    fn drain(&self, operator: &str) -> Response {
        slog::info!(self.node.log, "an operator asks this host to leave"; "operator" => operator);
        self.node.begin_drain();
        // A full channel means that an operator has asked before.
        let _ = self.node.signals.leave.try_send(());
        answer::json(202, &self.state())
    }
}

impl Endpoint for Operators {
    async fn answer(&self, call: IncomingRequest) -> Response {
        self.serve(Request::receive(call.arrived), call).await
    }

    fn reject(&self, reason: Reason) -> Response {
        answer::refusal(&Request::receive(Instant::now()).refuse(reason))
    }
}

/// The refusal for an operator; a change with an unknown outcome must not be reported as having had no effect.
fn refusal(request: Request<Received>, reason: Reason) -> Refusal {
    match reason.code {
        Code::BackendFailed | Code::OutcomeUnknown => {
            request.wait().dispatch(Instant::now()).fail(reason)
        }
        _ => request.refuse(reason),
    }
}

/// The methods that a path accepts.
fn allowed_methods(path: &str) -> Option<&'static str> {
    match path {
        "/v1/config" => Some("GET, POST"),
        "/v1/drain" | "/v1/orders" => Some("POST"),
        path if fingerprint_in(path).is_some() => Some("DELETE"),
        "/healthz" | "/readyz" | "/metrics" | "/dump" | "/v1/config/history" | "/v1/hosts"
        | QUARANTINE_PATH | ROLLOUTS_PATH | "/v1/state" => Some("GET"),
        _ => None,
    }
}

/// The fingerprint in the path of a quarantined request.
fn fingerprint_in(path: &str) -> Option<&str> {
    path.strip_prefix(QUARANTINE_PATH)?.strip_prefix('/')
}

fn query(request: &HttpRequest) -> Result<Query, Reason> {
    let query = request.query();
    query.map_err(|error| Reason::new(Code::BadRequest, error.to_string()))
}
