//! Requests of callers for models, completions and plain services.

mod claim;
mod dispatch;
mod relay;
mod route;
mod sent;

use std::sync::Arc;
use std::time::Duration;

use http_types::headers::{AUTHORIZATION, CONTENT_TYPE};
use http_types::url::Position;
use http_types::{Method, Request as HttpRequest, Response, Url};
use serde::Serialize;

use crate::coordination::policy::{self, Verdict};
use crate::coordination::quarantine::{self, Features};
use crate::protocol::prompt::{Call as Completion, Prompt};
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::{Received, Request};
use crate::state::clock::Instant;
use crate::state::fingerprint::{Fingerprint, Identity};
use crate::state::fleet::{Account, Kind, Service, Tier};
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::active::Active;
use crate::transport::admission::{over_limit_reason, region_not_allowed, verdict};
use crate::transport::http::answer::{self, REQUEST_ID};
use crate::transport::http::head::{bearer, header};
use crate::transport::http::server::{Endpoint, IncomingRequest};
use crate::transport::node::Node;
use crate::transport::scheduler::RequestSpec;
use crate::transport::trace::Trace;
use dispatch::{Job, is_forwarded};
use route::{Route, route};

/// Header with the time until the whole answer is due, in milliseconds.
const DEADLINE: &str = "cypressvane-deadline-ms";
/// Longest deadline that a caller may request, in milliseconds.
const DEADLINE_MS_MAX: u64 = 24 * 3_600_000;
/// Header with the key of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// Handles the requests of callers.
pub(crate) struct Callers {
    node: Arc<Node>,
}

/// A request prepared for a backend server, with the facts that scheduling needs.
struct PreparedRequest {
    service: Service,
    /// What the request may have in common with others.
    features: Features,
    path: String,
    prompt_tokens: u32,
    answer_tokens: u32,
    stream: bool,
    outgoing: HttpRequest,
}

/// Options that the caller set by headers.
struct CallerOptions {
    deadline: Option<Duration>,
    key: Option<String>,
}

#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: Name,
    object: &'static str,
    owned_by: &'static str,
}

impl Callers {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn serve(&self, request: Request<Received>, mut call: IncomingRequest) -> Response {
        let route = match route(&call.request) {
            Ok(route) => route,
            Err(error) => return error.into_response(request),
        };
        let Some(active) = self.node.active() else {
            let reason = Reason::new(Code::NotReady, "this host has no configuration yet");
            return answer::refusal(&request.refuse(reason));
        };
        let account = bearer(&call.request).and_then(|key| active.index.account(key));
        let Some(account) = account else {
            let reason = Reason::new(Code::Unauthorized, "the bearer key is missing or unknown");
            return answer::refusal(&request.refuse(self.node.unknown_reason(reason)));
        };
        let outcome = match &route {
            Route::Models => return list_models(&active, &request.id),
            Route::Completion(kind) => prepare_completion(&active, account, *kind, &mut call).await,
            Route::Plain { service, path } => {
                prepare_plain(&active, account, service, path, &mut call).await
            }
        };
        let options = outcome.and_then(|prepared| Ok((prepared, caller_options(&call.request)?)));
        match options {
            Ok((prepared, options)) => {
                self.admit(request, &active, account, prepared, options)
                    .await
            }
            Err(reason) if reason.code == Code::UnknownModel => {
                answer::refusal(&request.refuse(self.node.unknown_reason(reason)))
            }
            Err(reason) => answer::refusal(&request.refuse(reason)),
        }
    }

    /// Checks quarantine, account limits and policy, then runs the request.
    async fn admit(
        &self,
        request: Request<Received>,
        active: &Active,
        account: &Account,
        prepared: PreparedRequest,
        options: CallerOptions,
    ) -> Response {
        let region = &self.node.config.host.region;
        if !account.allows_region(region) {
            return answer::refusal(&request.refuse(region_not_allowed(region)));
        }
        if let Some(reason) = self
            .node
            .quarantine
            .refusal(|| Features::clone(&prepared.features))
        {
            self.node.metrics.quarantine.refusals.inc();
            return answer::refusal(&request.duplicate(reason));
        }
        let (rank, tier) = active
            .index
            .tier(account, &prepared.service.name, &prepared.path);
        let arrived = request.arrived;
        let tokens = prepared
            .prompt_tokens
            .saturating_add(prepared.answer_tokens);
        let admitted = self.node.accounts.admit(&request.id, account, tokens).await;
        let charge = match admitted {
            Ok(charge) => charge,
            Err(over) => return answer::refusal(&request.refuse(over_limit_reason(&over))),
        };
        let mut trace = Trace::new(
            &self.node,
            request.id.clone(),
            account.name.clone(),
            tier.name.clone(),
            prepared.service.name.clone(),
            arrived,
        );
        trace.record_charge(charge);
        let allowed = options
            .deadline
            .unwrap_or(Duration::from_millis(tier.deadline_ms));
        let facts = policy::Request {
            account: account.name.clone(),
            tier: tier.name.clone(),
            tier_rank: rank,
            service: prepared.service.name.clone(),
            path: prepared.path.clone(),
            prompt_tokens: prepared.prompt_tokens,
            answer_tokens: prepared.answer_tokens,
            deadline_ms: millis(allowed),
            stream: prepared.stream,
        };
        let priority = match verdict(&self.node, active, &prepared.service, &facts) {
            Verdict::Wait { priority } => priority,
            Verdict::Refuse { why } => {
                let reason = Reason::new(Code::RefusedByPolicy, why);
                trace.record_outcome(reason.code.text());
                return answer::refusal(&request.refuse(reason));
            }
        };
        let spec = RequestSpec {
            versions: self.node.rollouts.constraint(&prepared.service.name),
            resumes: false,
            service: prepared.service.name,
            rank,
            priority,
            account: account.name.clone(),
            weight: active.index.weight(&account.name),
            prompt_tokens: prepared.prompt_tokens,
            arrived,
            answer_deadline: arrived + allowed,
            first_token_deadline: arrived + first_token_due(tier, allowed),
            first_token_target: Duration::from_millis(tier.first_token_ms),
            pause: Duration::ZERO,
            answer_tokens: 0,
            early: false,
            returning: false,
            avoid: None,
            mark: None,
            opening: None,
        };
        let job = Job {
            request: request.wait(),
            trace,
            spec,
            outgoing: prepared.outgoing,
            stream: prepared.stream,
            key: options.key,
            features: prepared.features,
            path: prepared.path,
        };
        dispatch::run(&self.node, job).await
    }
}

impl Endpoint for Callers {
    async fn answer(&self, call: IncomingRequest) -> Response {
        self.serve(Request::receive(call.arrived), call).await
    }

    fn reject(&self, reason: Reason) -> Response {
        answer::refusal(&Request::receive(Instant::now()).refuse(reason))
    }
}

fn list_models(active: &Active, request_id: &str) -> Response {
    let services = active.index.fleet.services.iter();
    let data = services
        .filter(|service| service.kind == Kind::Model)
        .map(|service| Model {
            id: service.name.clone(),
            object: "model",
            owned_by: "cypressvane",
        })
        .collect();
    let models = Models {
        object: "list",
        data,
    };
    let mut response = answer::json(200, &models);
    response.insert_header(REQUEST_ID, request_id);
    response
}

/// Prepares a completion request.
async fn prepare_completion(
    active: &Active,
    account: &Account,
    kind: Completion,
    call: &mut IncomingRequest,
) -> Result<PreparedRequest, Reason> {
    let body = call.body().await?;
    let features = quarantine::of_request(fingerprint(account, &call.request, &body), None);
    let prompt = Prompt::parse(kind, &body)
        .map_err(|error| Reason::new(Code::BadRequest, error.to_string()))?;
    let service = find_service(active, &prompt.model, Kind::Model)?;
    let mut outgoing = HttpRequest::new(Method::Post, call.request.url().clone());
    outgoing.set_body(answer::shared_body(body));
    outgoing.insert_header(CONTENT_TYPE, "application/json");
    if let Some(key) = call.request.header(IDEMPOTENCY_KEY) {
        outgoing.insert_header(IDEMPOTENCY_KEY, key);
    }
    Ok(PreparedRequest {
        service,
        features,
        path: String::new(),
        prompt_tokens: prompt.prompt_tokens,
        answer_tokens: prompt.answer_tokens,
        stream: prompt.stream,
        outgoing,
    })
}

/// Prepares a request to a plain service.
async fn prepare_plain(
    active: &Active,
    account: &Account,
    service: &str,
    path: &str,
    call: &mut IncomingRequest,
) -> Result<PreparedRequest, Reason> {
    let service = find_service(active, service, Kind::Plain)?;
    let body = call.body().await?;
    let features = quarantine::of_request(fingerprint(account, &call.request, &body), None);
    let mut url: Url = call.request.url().clone();
    url.set_path(path);
    let mut outgoing = HttpRequest::new(call.request.method(), url);
    if !body.is_empty() {
        outgoing.set_body(answer::shared_body(body));
    }
    outgoing.remove_header(CONTENT_TYPE);
    for (name, values) in &call.request {
        let is_consumed = *name == AUTHORIZATION || *name == "host" || *name == DEADLINE;
        if !is_consumed && is_forwarded(name) {
            outgoing.insert_header(name, values);
        }
    }
    let path = path.to_owned();
    Ok(PreparedRequest {
        service,
        features,
        path,
        prompt_tokens: 1,
        answer_tokens: 0,
        stream: false,
        outgoing,
    })
}

/// Computes what identifies a request across the attempts of its caller. Callers of this listener reach the same
/// service under any host name, so the name is left out.
fn fingerprint(account: &Account, request: &HttpRequest, body: &[u8]) -> Fingerprint {
    let url = request.url();
    Fingerprint::of(&Identity {
        account: Some(&account.name),
        method: request.method().as_ref(),
        host: "",
        target: &url[Position::BeforePath..Position::AfterQuery],
        body,
    })
}

fn find_service(active: &Active, name: &str, kind: Kind) -> Result<Service, Reason> {
    let service = active
        .index
        .service(name)
        .filter(|service| service.kind == kind);
    let what = if kind == Kind::Model {
        "model"
    } else {
        "service"
    };
    let unknown = || Reason::new(Code::UnknownModel, format!("no such {what}: {name:?}"));
    service.cloned().ok_or_else(unknown)
}

fn caller_options(request: &HttpRequest) -> Result<CallerOptions, Reason> {
    let deadline = match header(request, DEADLINE) {
        None => None,
        Some(text) => {
            let millis = text
                .parse()
                .ok()
                .filter(|millis| (1..=DEADLINE_MS_MAX).contains(millis));
            let wrong = || {
                let message = format!("{DEADLINE}: {text:?} found, 1 to {DEADLINE_MS_MAX} allowed");
                Reason::new(Code::BadRequest, message)
            };
            Some(Duration::from_millis(millis.ok_or_else(wrong)?))
        }
    };
    let key = header(request, IDEMPOTENCY_KEY).map(str::to_owned);
    if let Some(key) = &key
        && !(1..=KEY_BYTES_MAX).contains(&key.len())
    {
        let message = format!("{IDEMPOTENCY_KEY}: 1 to {KEY_BYTES_MAX} bytes allowed");
        return Err(Reason::new(Code::BadRequest, message));
    }
    Ok(CallerOptions { deadline, key })
}

/// Returns how long after the request's arrival its first token is still useful.
fn first_token_due(tier: &Tier, allowed: Duration) -> Duration {
    if tier.refuse_late {
        return allowed.min(Duration::from_millis(tier.first_token_ms));
    }
    allowed
}
