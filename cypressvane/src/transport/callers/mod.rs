//! The listener for callers.

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
use crate::protocol::prompt::{Call as Completion, Prompt};
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request::{Received, Request};
use crate::state::clock::Instant;
use crate::state::fingerprint::{Fingerprint, Identity};
use crate::state::fleet::{Account, Kind, Service, Tier};
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::active::Active;
use crate::transport::admission::{over_reason, verdict};
use crate::transport::desk::Wish;
use crate::transport::http::answer::{self, REQUEST_ID};
use crate::transport::http::head::{bearer, header};
use crate::transport::http::server::{Call, Endpoint};
use crate::transport::node::Node;
use crate::transport::trace::Trace;
use dispatch::{Job, is_passed_on};
use route::{Route, route};

/// The header with the time until the whole answer is due, in milliseconds.
const DEADLINE: &str = "cypressvane-deadline-ms";
/// Longest deadline that a caller may name, in milliseconds.
const DEADLINE_MS_MAX: u64 = 24 * 3_600_000;
/// The header that marks a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// Answers callers.
pub(crate) struct Callers {
    node: Arc<Node>,
}

/// What is sent to a backend server, and what the scheduler needs to know of it.
struct Work {
    service: Service,
    /// What makes it the same as another attempt of its caller.
    fingerprint: Fingerprint,
    path: String,
    prompt_tokens: u32,
    answer_tokens: u32,
    stream: bool,
    outgoing: HttpRequest,
}

/// What the caller's headers ask for.
struct Terms {
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

    async fn serve(&self, request: Request<Received>, mut call: Call) -> Response {
        let route = match route(&call.request) {
            Ok(route) => route,
            Err(refused) => return refused.answer(request),
        };
        let Some(active) = self.node.active() else {
            let reason = Reason::new(Code::NotReady, "this host has no configuration yet");
            return answer::refusal(&request.refuse(reason));
        };
        let account = bearer(&call.request).and_then(|key| active.index.account(key));
        let Some(account) = account else {
            let reason = Reason::new(Code::Unauthorized, "the bearer key is missing or unknown");
            return answer::refusal(&request.refuse(self.node.unknown(reason)));
        };
        let prepared = match &route {
            Route::Models => return models(&active, &request.id),
            Route::Completion(kind) => completion(&active, account, *kind, &mut call).await,
            Route::Plain { service, path } => {
                plain(&active, account, service, path, &mut call).await
            }
        };
        let terms = prepared.and_then(|work| Ok((work, terms(&call.request)?)));
        match terms {
            Ok((work, terms)) => self.admit(request, &active, account, work, terms).await,
            Err(reason) if reason.code == Code::UnknownModel => {
                answer::refusal(&request.refuse(self.node.unknown(reason)))
            }
            Err(reason) => answer::refusal(&request.refuse(reason)),
        }
    }

    /// Checks the account's limits, asks the policy, and lets the request wait.
    async fn admit(
        &self,
        request: Request<Received>,
        active: &Active,
        account: &Account,
        work: Work,
        terms: Terms,
    ) -> Response {
        if let Some(reason) = self.node.quarantine.refusal(|| work.fingerprint) {
            self.node.metrics.quarantine_refusals.inc();
            return answer::refusal(&request.duplicate(reason));
        }
        let (rank, tier) = active.index.tier(account, &work.service.name, &work.path);
        let arrived = request.arrived;
        let tokens = work.prompt_tokens.saturating_add(work.answer_tokens);
        let admitted = self.node.accounts.admit(&request.id, account, tokens).await;
        let charge = match admitted {
            Ok(charge) => charge,
            Err(over) => return answer::refusal(&request.refuse(over_reason(&over))),
        };
        let mut trace = Trace::new(
            &self.node,
            request.id.clone(),
            account.name.clone(),
            tier.name.clone(),
            work.service.name.clone(),
            arrived,
        );
        trace.charged(charge);
        let allowed = terms
            .deadline
            .unwrap_or(Duration::from_millis(tier.deadline_ms));
        let facts = policy::Request {
            account: account.name.clone(),
            tier: tier.name.clone(),
            tier_rank: rank,
            service: work.service.name.clone(),
            path: work.path.clone(),
            prompt_tokens: work.prompt_tokens,
            answer_tokens: work.answer_tokens,
            deadline_ms: millis(allowed),
            stream: work.stream,
        };
        let priority = match verdict(&self.node, active, &work.service, &facts) {
            Verdict::Wait { priority } => priority,
            Verdict::Refuse { why } => {
                let reason = Reason::new(Code::RefusedByPolicy, why);
                trace.end(reason.code.text());
                return answer::refusal(&request.refuse(reason));
            }
        };
        let wish = Wish {
            pool: self.node.rollouts.pool(&work.service.name),
            service: work.service.name,
            rank,
            priority,
            prompt_tokens: work.prompt_tokens,
            arrived,
            deadline: arrived + allowed,
            due: arrived + due_within(tier, allowed),
            first_token: Duration::from_millis(tier.first_token_ms),
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
            wish,
            outgoing: work.outgoing,
            stream: work.stream,
            key: terms.key,
            fingerprint: work.fingerprint,
            path: work.path,
        };
        dispatch::run(&self.node, job).await
    }
}

impl Endpoint for Callers {
    async fn answer(&self, call: Call) -> Response {
        self.serve(Request::receive(call.arrived), call).await
    }

    fn reject(&self, reason: Reason) -> Response {
        answer::refusal(&Request::receive(Instant::now()).refuse(reason))
    }
}

fn models(active: &Active, request_id: &str) -> Response {
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

/// Prepares a completion call.
async fn completion(
    active: &Active,
    account: &Account,
    kind: Completion,
    call: &mut Call,
) -> Result<Work, Reason> {
    let body = call.body().await?;
    let fingerprint = fingerprint(account, &call.request, &body);
    let prompt = Prompt::parse(kind, &body)
        .map_err(|error| Reason::new(Code::BadRequest, error.to_string()))?;
    let service = find(active, &prompt.model, Kind::Model)?;
    let mut outgoing = HttpRequest::new(Method::Post, call.request.url().clone());
    outgoing.set_body(body);
    outgoing.insert_header(CONTENT_TYPE, "application/json");
    if let Some(key) = call.request.header(IDEMPOTENCY_KEY) {
        outgoing.insert_header(IDEMPOTENCY_KEY, key);
    }
    Ok(Work {
        service,
        fingerprint,
        path: String::new(),
        prompt_tokens: prompt.prompt_tokens,
        answer_tokens: prompt.answer_tokens,
        stream: prompt.stream,
        outgoing,
    })
}

/// Prepares a call to a plain service.
async fn plain(
    active: &Active,
    account: &Account,
    service: &str,
    path: &str,
    call: &mut Call,
) -> Result<Work, Reason> {
    let service = find(active, service, Kind::Plain)?;
    let body = call.body().await?;
    let fingerprint = fingerprint(account, &call.request, &body);
    let mut url: Url = call.request.url().clone();
    url.set_path(path);
    let mut outgoing = HttpRequest::new(call.request.method(), url);
    if !body.is_empty() {
        outgoing.set_body(body);
    }
    outgoing.remove_header(CONTENT_TYPE);
    for (name, values) in &call.request {
        let own = *name == AUTHORIZATION || *name == "host" || *name == DEADLINE;
        if !own && is_passed_on(name) {
            outgoing.insert_header(name, values);
        }
    }
    let path = path.to_owned();
    Ok(Work {
        service,
        fingerprint,
        path,
        prompt_tokens: 1,
        answer_tokens: 0,
        stream: false,
        outgoing,
    })
}

/// What makes a request the same as another attempt of its caller; all hosts that callers name here are one.
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

fn find(active: &Active, name: &str, kind: Kind) -> Result<Service, Reason> {
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

fn terms(request: &HttpRequest) -> Result<Terms, Reason> {
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
    Ok(Terms { deadline, key })
}

/// How long after its arrival the first token of a request is still of use.
fn due_within(tier: &Tier, allowed: Duration) -> Duration {
    if tier.refuse_late {
        return allowed.min(Duration::from_millis(tier.first_token_ms));
    }
    allowed
}
