//! Admission of requests on routes: finds the route, account and service, and applies quarantine, limits and policy.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request as HttpRequest, Response};
use hyper::body::{Body as _, Incoming};

use super::connection::Progress;
use super::exchange::{Exchange, Routing};
use super::inbound::{Contract, InboundRequest};
use super::respond::{self, Body, host};
use crate::coordination::origin;
use crate::coordination::policy::{self, Verdict};
use crate::coordination::version::Constraint;
use crate::protocol::headers::RequestMeta;
use crate::protocol::refusal::{Code, Reason, Refusal};
use crate::protocol::request::{Received, Request, Waiting, random_id};
use crate::state::clock::Instant;
use crate::state::fleet::{Account, Route, Service, Tier};
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::accounts::Charge;
use crate::transport::active::Active;
use crate::transport::admission::{over_limit_reason, region_not_allowed, verdict};
use crate::transport::memory::Intake;
use crate::transport::node::{NOT_READY_RETRY_AFTER, Node};
use crate::transport::runtime::timeout;
use crate::transport::scheduler::RequestSpec;
use crate::transport::streams;
use crate::transport::trace::Trace;

/// Retry-after of a request whose stream was begun by a version that may become known.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The route, service, account and tier that a request was matched to.
struct RouteMatch<'a> {
    route: &'a Route,
    service: &'a Service,
    account: Option<&'a Account>,
    /// The tier's rank; 0 is the highest.
    rank: usize,
    tier: &'a Tier,
}

impl RouteMatch<'_> {
    /// Returns the account's name; empty on a public route.
    fn account_name(&self) -> Name {
        self.account
            .map_or_else(Name::default, |account| account.name.clone())
    }
}

/// Admits a request, or returns the response that refuses it.
pub(super) async fn admit(
    node: &Arc<Node>,
    request: HttpRequest<Incoming>,
    arrived: Instant,
    progress: &Progress,
) -> Result<(Exchange, Request<Waiting>), Response<Body>> {
    let (head, mut body) = request.into_parts();
    let meta = node.dialect.read_request(&head.headers);
    let received = Request::receive_as(meta.id.clone().unwrap_or_else(random_id), arrived);
    progress.begin(&received.id);
    match try_admit(node, received, meta.clone(), head, &mut body, progress).await {
        Ok(admitted) => Ok(admitted),
        Err(refusal) => {
            if !body.is_end_stream() {
                progress.note_unread_body();
            }
            log_refusal(node, &refusal);
            let id = meta.id.as_deref();
            Err(respond::refusal(&node.dialect, &refusal, id))
        }
    }
}

/// Logs the refusal of a request that was not admitted.
pub(super) fn log_refusal(node: &Node, refusal: &Refusal) {
    slog::info!(
        node.log, "refused on arrival";
        "request_id" => &refusal.request_id,
        "outcome" => refusal.reason.code.text(),
        "reason" => &refusal.reason.message,
        "version" => node.version(),
        "confirmed_ms_ago" => node.confirmed_ago().map(millis),
    );
}

async fn try_admit(
    node: &Arc<Node>,
    request: Request<Received>,
    meta: RequestMeta,
    head: Parts,
    body: &mut Incoming,
    progress: &Progress,
) -> Result<(Exchange, Request<Waiting>), Refusal> {
    node.wait_initialized(meta.timeout).await;
    let Some(active) = node.active() else {
        let message = "this host has no configuration yet";
        return Err(request.refuse(Reason::with_retry_after(
            Code::NotReady,
            message,
            NOT_READY_RETRY_AFTER,
        )));
    };
    // Takes the current time, not that of arrival: reading the head and waiting for this host to start may take long.
    let matched = match resolve(node, &active, &head, &meta, Instant::now()) {
        Ok(matched) => matched,
        Err(reason) => return Err(request.refuse(reason)),
    };
    let body = match read_body(node, body).await {
        Ok(body) => body,
        Err(reason) => return Err(request.refuse(reason)),
    };
    progress.note_whole_request();
    let inbound = InboundRequest {
        head,
        body,
        caller_id: meta.id.clone(),
        account: matched.account.map(|account| account.name.clone()),
        last_event: meta.last_event,
        stream: stream_id(&matched, &meta),
        prompt: meta.prompt.clone(),
        features: OnceLock::new(),
    };
    if let Some(reason) = node.quarantine.refusal(|| inbound.features()) {
        node.metrics.quarantine.refusals.inc();
        return Err(request.duplicate(reason));
    }
    let begun = match find_version(node, &matched, &request, &meta, inbound.stream).await {
        Ok(begun) => begun,
        Err(reason) => return Err(request.refuse(reason)),
    };
    let charge = match charge_account(node, matched.account, &meta, &request).await {
        Ok(charge) => charge,
        Err(reason) => return Err(request.refuse(reason)),
    };
    let mut trace = trace(node, &matched, &request);
    if let Some(charge) = charge {
        trace.record_charge(charge);
    }
    let service = &matched.service.name;
    let choice = match &begun {
        Some(begun) => {
            trace.record_stream(begun);
            let version = begun.version.clone();
            node.rollouts.choose_for_stream(service, version)
        }
        None => node.rollouts.choose(service),
    };
    let spec = request_spec(
        node,
        &active,
        &matched,
        &meta,
        &inbound.head,
        request.arrived,
    );
    let spec = match spec {
        Ok(spec) => RequestSpec {
            versions: choice.versions.clone(),
            resumes: begun.is_some(),
            // Its caller has part of the answer, as when a stream goes on within an answer. An earlier refusal does not
            // make it late.
            returning: begun.is_some(),
            mark: spec.mark.filter(|_| begun.is_none()),
            ..spec
        },
        Err(reason) => {
            trace.record_failure(&reason);
            return Err(request.refuse(reason));
        }
    };
    node.add_to_retry_budget(&spec.service, request.arrived);
    let contract = Contract {
        method: matched.route.method,
        max_attempts: matched.route.attempts,
        objective: matched.route.objective(),
        gap: Duration::from_millis(matched.route.gap_ms),
        silence: stream_silence(node, matched.route),
    };
    let routing = Routing {
        route: matched.route.name.clone(),
        choice,
        spec,
    };
    let exchange = Exchange::new(Arc::clone(node), trace, routing, contract, inbound);
    Ok((exchange, request.wait()))
}

/// Identifies the stream that a request begins or goes on with; `None` if it is no stream, or if the caller does not
/// name the one that it goes on with.
fn stream_id(matched: &RouteMatch<'_>, meta: &RequestMeta) -> Option<origin::Id> {
    if !matched.route.method.is_stream() {
        return None;
    }
    let begun_by = if meta.last_event.is_some() {
        meta.resumes.as_deref()?
    } else {
        meta.id.as_deref()?
    };
    let account = matched.account.map(|account| &*account.name);
    Some(origin::Id::of(&matched.service.name, account, begun_by))
}

/// Finds the version that began the stream with which a request goes on; `None` if the request begins its answer.
///
/// # Errors
/// When the version is not known. Any other version's events would not fit those that the caller has.
async fn find_version(
    node: &Node,
    matched: &RouteMatch<'_>,
    request: &Request<Received>,
    meta: &RequestMeta,
    stream: Option<origin::Id>,
) -> Result<Option<streams::Known>, Reason> {
    if !matched.route.method.is_stream() || meta.last_event.is_none() {
        return Ok(None);
    }
    let service = &matched.service.name;
    let found = node.streams.find(node, &request.id, service, stream);
    let found = found.await;
    let outcome = match &found {
        Ok(known) => known.source.text(),
        Err(error) => error.text(),
    };
    let resumptions = &node.metrics.streams.resumptions;
    resumptions.with_label_values(&[outcome]).inc();
    found.map(Some).map_err(|error| {
        let retry_after = match error {
            // It will not become known, so coming back soon is of no use.
            streams::Error::Unknown => node.streams.retention(),
            streams::Error::Unanswered | streams::Error::Unconfirmed => UNKNOWN_RETRY_AFTER,
        };
        Reason::with_retry_after(Code::NoServer, error.to_string(), retry_after)
    })
}

/// Starts the trace of a request whose account is within its limit.
fn trace(node: &Arc<Node>, matched: &RouteMatch<'_>, request: &Request<Received>) -> Trace {
    Trace::new(
        node,
        request.id.clone(),
        matched.account_name(),
        matched.tier.name.clone(),
        matched.service.name.clone(),
        request.arrived,
    )
}

/// Builds what a request asks of its pool's home.
///
/// # Errors
/// When the service's policy refuses the request.
fn request_spec(
    node: &Node,
    active: &Active,
    matched: &RouteMatch<'_>,
    meta: &RequestMeta,
    head: &Parts,
    arrived: Instant,
) -> Result<RequestSpec, Reason> {
    let timeout = matched.route.timeout();
    let allowed = meta.timeout.map_or(timeout, |limit| limit.min(timeout));
    let facts = policy::Request {
        account: matched.account_name(),
        tier: matched.tier.name.clone(),
        tier_rank: matched.rank,
        service: matched.service.name.clone(),
        path: head.uri.path().to_owned(),
        prompt_tokens: meta.usage.map_or(1, |usage| usage.prompt),
        answer_tokens: meta.usage.map_or(0, |usage| usage.answer),
        deadline_ms: millis(allowed),
        stream: matched.route.method.is_stream(),
    };
    let priority = match verdict(node, active, matched.service, &facts) {
        Verdict::Wait { priority } => priority,
        Verdict::Refuse { why } => return Err(Reason::new(Code::RefusedByPolicy, why)),
    };
    let mark = mark(meta, &facts.account);
    let weight = active.index.weight(&facts.account);
    Ok(RequestSpec {
        service: facts.service,
        versions: Constraint::Any,
        resumes: false,
        rank: matched.rank,
        priority: priority_with_route(priority, active, matched.route, matched.account),
        account: facts.account,
        weight,
        prompt_tokens: facts.prompt_tokens,
        arrived,
        answer_deadline: arrived + allowed,
        // The home refuses a request earlier if it is not likely to be on time.
        first_token_deadline: arrived
            + stream_silence(node, matched.route).map_or(allowed, |silence| silence.min(allowed)),
        answer_tokens: answer_tokens(meta),
        first_token_target: matched.route.objective(),
        pause: Duration::from_millis(matched.route.gap_ms),
        early: true,
        returning: false,
        avoid: None,
        mark,
        opening: opening(meta),
    })
}

/// Returns the silence of a stream, also before its first event, after which its caller abandons it; `None` if that is
/// unknown or the answer is not a stream.
fn stream_silence(node: &Node, route: &Route) -> Option<Duration> {
    let silence_timeout = node.dialect.silence_timeout?;
    let pause = Duration::from_millis(route.gap_ms);
    let is_stream = route.method.is_stream();
    is_stream.then(|| silence_timeout.on(route.objective(), pause))
}

/// Estimates the answer's tokens: the caller's hint, capped at the largest number that the caller allows.
fn answer_tokens(meta: &RequestMeta) -> u32 {
    let max = meta.usage.map_or(0, |usage| usage.answer);
    meta.answer_hint.map_or(max, |hint| hint.min(max))
}

/// Charges a request to its account's limit; requests on public routes are not charged.
///
/// # Errors
/// When the account is over its limit.
async fn charge_account(
    node: &Node,
    account: Option<&Account>,
    meta: &RequestMeta,
    request: &Request<Received>,
) -> Result<Option<Charge>, Reason> {
    let Some(account) = account else {
        return Ok(None);
    };
    let tokens = charged_tokens(meta, account);
    let admitted = node.accounts.admit(&request.id, account, tokens).await;
    admitted.map(Some).map_err(|over| over_limit_reason(&over))
}

/// Finds the route, account and service of a request, and checks that it has an id.
fn resolve<'a>(
    node: &Node,
    active: &'a Active,
    head: &Parts,
    meta: &RequestMeta,
    now: Instant,
) -> Result<RouteMatch<'a>, Reason> {
    let route = active.index.route(host(head), head.uri.path());
    let unknown = |code, message| node.unknown_reason(Reason::new(code, message));
    let route = route.ok_or_else(|| unknown(Code::NotFound, "no route matches"))?;
    let account = if route.public {
        None
    } else {
        if !node.has_valid_keys(now) {
            return Err(respond::unconfirmed_keys());
        }
        let account = meta
            .key
            .as_deref()
            .and_then(|key| active.index.account(key));
        let message = "the bearer key is missing or unknown";
        Some(account.ok_or_else(|| unknown(Code::Unauthorized, message))?)
    };
    if meta.id.is_none() {
        return Err(Reason::new(Code::BadRequest, "the request has no id"));
    }
    let region = &node.config.host.region;
    if !route.allows_region(region) || account.is_some_and(|account| !account.allows_region(region))
    {
        return Err(region_not_allowed(region));
    }
    let service = route
        .service_at(fastrand::f64())
        .and_then(|service| active.index.service(service));
    let service = service.ok_or_else(|| unknown(Code::NotFound, "the route has no service"))?;
    let (rank, tier) = active.index.route_tier(route, account);
    Ok(RouteMatch {
        route,
        service,
        account,
        rank,
        tier,
    })
}

/// Reads the whole body, because the request may be sent more than once.
async fn read_body(node: &Node, body: &mut Incoming) -> Result<Bytes, Reason> {
    let bytes_max = usize::try_from(node.config.limits.body_bytes).unwrap_or(usize::MAX);
    let limit = Duration::from_millis(node.config.timeouts.body_ms);
    let intake = Intake::of_request(&node.memory, body.size_hint().exact(), bytes_max)?;
    let read = timeout(limit, intake.collect(body)).await;
    let too_slow = || {
        let message = "the body of the request came too slowly";
        Reason::new(Code::SlowRequest, message)
    };
    Ok(read.ok_or_else(too_slow)??.finish())
}

/// Returns the tokens that a request is charged to its account's limit.
fn charged_tokens(meta: &RequestMeta, account: &Account) -> u32 {
    let plain = account.plain_tokens.unwrap_or(1);
    meta.usage
        .map_or(plain, |usage| usage.prompt.saturating_add(usage.answer))
}

/// Hashes account, prompt and usage, to recognise a request that returns after a refusal: each attempt has its own id.
fn mark(meta: &RequestMeta, account: &Name) -> Option<u64> {
    let mut hasher = DefaultHasher::new();
    account.hash(&mut hasher);
    meta.prompt.as_ref()?.hash(&mut hasher);
    let usage = meta.usage.map(|usage| (usage.prompt, usage.answer));
    usage.hash(&mut hasher);
    Some(hasher.finish())
}

/// Combines the policy's priority with the route's rank as a tie-breaker, if the account's tier outranks routes.
fn priority_with_route(
    priority: i64,
    active: &Active,
    route: &Route,
    account: Option<&Account>,
) -> i64 {
    /// Exceeds the number of tiers in any configuration.
    const RANKS: i64 = 1 << 32;
    if !account.is_some_and(|account| account.outranks_routes) {
        return priority;
    }
    let (rank, _) = active.index.route_tier(route, None);
    let rank = i64::try_from(rank).unwrap_or(RANKS);
    priority.saturating_mul(RANKS) - rank
}

/// Hashes the first part of the prompt, to recognise prompts with the same prefix.
fn opening(meta: &RequestMeta) -> Option<u64> {
    let (first, _) = meta.prompt.as_ref()?.split_once(',')?;
    let mut hasher = DefaultHasher::new();
    first.hash(&mut hasher);
    Some(hasher.finish())
}
