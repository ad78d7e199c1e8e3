//! Who asks on a route, for what, and whether it may wait.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request as HttpRequest, Response};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::exchange::{Exchange, Sought};
use super::message::{Contract, Message};
use super::respond::{self, Body, host};
use crate::coordination::policy::{self, Verdict};
use crate::protocol::exchange::Ask;
use crate::protocol::refusal::{Code, Reason, Refusal};
use crate::protocol::request::{Received, Request, Waiting, fresh_id};
use crate::state::clock::Instant;
use crate::state::fleet::{Account, Route, Service, Tier};
use crate::state::name::Name;
use crate::state::units::millis;
use crate::transport::accounts::Charge;
use crate::transport::active::Active;
use crate::transport::admission::{over_reason, verdict};
use crate::transport::desk::Wish;
use crate::transport::node::{NOT_READY_RETRY, Node};
use crate::transport::runtime::within;
use crate::transport::trace::Trace;

/// A request that was found a route and an account.
struct Known<'a> {
    route: &'a Route,
    service: &'a Service,
    account: Option<&'a Account>,
    /// Its place among the tiers, 0 the highest.
    rank: usize,
    tier: &'a Tier,
}

impl Known<'_> {
    /// The account's name; empty on a public route.
    fn account_name(&self) -> Name {
        self.account
            .map_or_else(Name::default, |account| account.name.clone())
    }
}

/// Admits a request, or gives the answer that refuses it.
pub(super) async fn admit(
    node: &Arc<Node>,
    request: HttpRequest<Incoming>,
    arrived: Instant,
) -> Result<(Exchange, Request<Waiting>), Response<Body>> {
    let (head, body) = request.into_parts();
    let ask = node.dialect.ask(&head.headers);
    let received = Request::receive_as(ask.id.clone().unwrap_or_else(fresh_id), arrived);
    match judge(node, received, ask.clone(), head, body).await {
        Ok(admitted) => Ok(admitted),
        Err(refusal) => {
            slog::info!(
                node.log, "refused on arrival";
                "request_id" => &refusal.request_id,
                "outcome" => refusal.reason.code.text(),
                "reason" => &refusal.reason.message,
                "version" => node.version(),
                "confirmed_ms_ago" => node.confirmed_ago().map(millis),
            );
            let id = ask.id.as_deref();
            Err(respond::refusal(&node.dialect, &refusal, id))
        }
    }
}

async fn judge(
    node: &Arc<Node>,
    request: Request<Received>,
    ask: Ask,
    head: Parts,
    body: Incoming,
) -> Result<(Exchange, Request<Waiting>), Refusal> {
    node.begun(ask.patience).await;
    let Some(active) = node.active() else {
        let message = "this host has no configuration yet";
        return Err(request.refuse(Reason::later(Code::NotReady, message, NOT_READY_RETRY)));
    };
    // Reading the head, and waiting for a host that starts, may have taken long.
    let known = match find(node, &active, &head, &ask, Instant::now()) {
        Ok(known) => known,
        Err(reason) => return Err(request.refuse(reason)),
    };
    let body = match read(node, body).await {
        Ok(body) => body,
        Err(reason) => return Err(request.refuse(reason)),
    };
    let message = Message {
        head,
        body,
        caller_id: ask.id.clone(),
        account: known.account.map(|account| account.name.clone()),
        last_event: ask.last_event,
    };
    if let Some(reason) = node.quarantine.refusal(|| message.fingerprint()) {
        node.metrics.quarantine_refusals.inc();
        return Err(request.duplicate(reason));
    }
    let charge = match keep_limit(node, known.account, &ask, &request).await {
        Ok(charge) => charge,
        Err(reason) => return Err(request.refuse(reason)),
    };
    let mut trace = trace(node, &known, &request);
    if let Some(charge) = charge {
        trace.charged(charge);
    }
    let way = node.rollouts.way(&known.service.name);
    let wish = wish(node, &active, &known, &ask, &message.head, request.arrived);
    let wish = match wish {
        Ok(wish) => Wish {
            pool: way.pool.clone(),
            ..wish
        },
        Err(reason) => {
            trace.fail(&reason);
            return Err(request.refuse(reason));
        }
    };
    node.count_request(&wish.service, request.arrived);
    let contract = Contract {
        method: known.route.method,
        attempts: known.route.attempts,
        objective: known.route.objective(),
        gap: Duration::from_millis(known.route.gap_ms),
        silence: silence(node, known.route),
    };
    let sought = Sought {
        route: known.route.name.clone(),
        way,
        wish,
    };
    let exchange = Exchange::new(Arc::clone(node), trace, sought, contract, message);
    Ok((exchange, request.wait()))
}

/// Begins to count a request whose account is within its limit.
fn trace(node: &Arc<Node>, known: &Known<'_>, request: &Request<Received>) -> Trace {
    Trace::new(
        node,
        request.id.clone(),
        known.account_name(),
        known.tier.name.clone(),
        known.service.name.clone(),
        request.arrived,
    )
}

/// What a request asks of its pool's home, or why its policy refuses it.
fn wish(
    node: &Node,
    active: &Active,
    known: &Known<'_>,
    ask: &Ask,
    head: &Parts,
    arrived: Instant,
) -> Result<Wish, Reason> {
    let timeout = known.route.timeout();
    let allowed = ask
        .patience
        .map_or(timeout, |patience| patience.min(timeout));
    let facts = policy::Request {
        account: known.account_name(),
        tier: known.tier.name.clone(),
        tier_rank: known.rank,
        service: known.service.name.clone(),
        path: head.uri.path().to_owned(),
        prompt_tokens: ask.usage.map_or(1, |usage| usage.prompt),
        answer_tokens: ask.usage.map_or(0, |usage| usage.answer),
        deadline_ms: millis(allowed),
        stream: known.route.method.is_stream(),
    };
    let priority = match verdict(node, active, known.service, &facts) {
        Verdict::Wait { priority } => priority,
        Verdict::Refuse { why } => return Err(Reason::new(Code::RefusedByPolicy, why)),
    };
    let mark = mark(ask, &facts.account);
    Ok(Wish {
        pool: facts.service.clone(),
        service: facts.service,
        rank: known.rank,
        priority: within_tier(priority, active, known.route, known.account),
        prompt_tokens: facts.prompt_tokens,
        arrived,
        deadline: arrived + allowed,
        // The home refuses earlier what will not be on time.
        due: arrived + silence(node, known.route).map_or(allowed, |silence| silence.min(allowed)),
        answer_tokens: answer_tokens(ask),
        first_token: known.route.objective(),
        pause: Duration::from_millis(known.route.gap_ms),
        early: true,
        returning: false,
        avoid: None,
        mark,
        opening: opening(ask),
    })
}

/// Silence of a stream after which its caller leaves, also before the first event, where that is known.
fn silence(node: &Node, route: &Route) -> Option<Duration> {
    let patience = node.dialect.stream_patience?;
    let pause = Duration::from_millis(route.gap_ms);
    let is_stream = route.method.is_stream();
    is_stream.then(|| patience.on(route.objective(), pause))
}

/// How many tokens the answer is likely to have: the caller's guess within its own bound.
fn answer_tokens(ask: &Ask) -> u32 {
    let most = ask.usage.map_or(0, |usage| usage.answer);
    ask.answer_hint.map_or(most, |hint| hint.min(most))
}

/// Counts a request against its account's limit, or says that it is over it.
async fn keep_limit(
    node: &Node,
    account: Option<&Account>,
    ask: &Ask,
    request: &Request<Received>,
) -> Result<Option<Charge>, Reason> {
    let Some(account) = account else {
        return Ok(None);
    };
    let tokens = tokens(ask, account);
    let admitted = node.accounts.admit(&request.id, account, tokens).await;
    admitted.map(Some).map_err(|over| over_reason(&over))
}

/// Finds the route, the account and the service of a request.
fn find<'a>(
    node: &Node,
    active: &'a Active,
    head: &Parts,
    ask: &Ask,
    now: Instant,
) -> Result<Known<'a>, Reason> {
    let route = active.index.route(host(head), head.uri.path());
    let unknown = |code, message| node.unknown(Reason::new(code, message));
    let route = route.ok_or_else(|| unknown(Code::NotFound, "no route matches"))?;
    let account = if route.public {
        None
    } else {
        if !node.knows_keys(now) {
            return Err(respond::unconfirmed_keys());
        }
        let account = ask.key.as_deref().and_then(|key| active.index.account(key));
        let message = "the bearer key is missing or unknown";
        Some(account.ok_or_else(|| unknown(Code::Unauthorized, message))?)
    };
    if ask.id.is_none() {
        return Err(Reason::new(Code::BadRequest, "the request has no id"));
    }
    let service = route
        .service_at(fastrand::f64())
        .and_then(|service| active.index.service(service));
    let service = service.ok_or_else(|| unknown(Code::NotFound, "the route has no service"))?;
    let (rank, tier) = active.index.tier_on(route, account);
    Ok(Known {
        route,
        service,
        account,
        rank,
        tier,
    })
}

/// Reads the whole body, since it may be sent more than once.
async fn read(node: &Node, body: Incoming) -> Result<Bytes, Reason> {
    let most = usize::try_from(node.config.limits.body_bytes).unwrap_or(usize::MAX);
    let limit = Duration::from_millis(node.config.timeouts.body_ms);
    let read = within(limit, Limited::new(body, most).collect()).await;
    match read {
        Some(Ok(whole)) => Ok(whole.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is larger than {most} bytes");
            Err(Reason::new(Code::BodyTooLarge, message))
        }
        Some(Err(error)) => Err(Reason::new(Code::BadRequest, error.to_string())),
        None => Err(Reason::new(
            Code::SlowRequest,
            "the body of the request came too slowly",
        )),
    }
}

/// What a request counts against its account's limit.
fn tokens(ask: &Ask, account: &Account) -> u32 {
    let plain = account.plain_tokens.unwrap_or(1);
    ask.usage
        .map_or(plain, |usage| usage.prompt.saturating_add(usage.answer))
}

/// Tells a request that comes back after a refusal from others; each attempt has an id of its own.
fn mark(ask: &Ask, account: &Name) -> Option<u64> {
    let mut hasher = DefaultHasher::new();
    account.hash(&mut hasher);
    ask.prompt.as_ref()?.hash(&mut hasher);
    let usage = ask.usage.map(|usage| (usage.prompt, usage.answer));
    usage.hash(&mut hasher);
    Some(hasher.finish())
}

/// The policy's word with the route's rank below it, where the account's tier goes first.
fn within_tier(priority: i64, active: &Active, route: &Route, account: Option<&Account>) -> i64 {
    /// More than the most tiers that a configuration has.
    const RANKS: i64 = 64;
    if !account.is_some_and(|account| account.outranks_routes) {
        return priority;
    }
    let (rank, _) = active.index.tier_on(route, None);
    let rank = i64::try_from(rank).unwrap_or(RANKS);
    priority.saturating_mul(RANKS) - rank
}

/// Tells prompts that begin alike: by the first of their parts.
fn opening(ask: &Ask) -> Option<u64> {
    let (first, _) = ask.prompt.as_ref()?.split_once(',')?;
    let mut hasher = DefaultHasher::new();
    first.hash(&mut hasher);
    Some(hasher.finish())
}
