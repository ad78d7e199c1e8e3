//! Policy verdicts and refusals by limits and regions, shared by `callers` and `gateway`.

use std::time::Duration;

use crate::coordination::limit::Over;
use crate::coordination::policy::{self, Verdict};
use crate::protocol::refusal::{Code, Reason};
use crate::state::fleet::Service;
use crate::transport::active::Active;
use crate::transport::node::Node;

/// Retry-after of a caller over its limit of requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The policy's verdict on a request; if the program fails, the tier's order applies.
pub(crate) fn verdict(
    node: &Node,
    active: &Active,
    service: &Service,
    facts: &policy::Request,
) -> Verdict {
    let Some(policy) = &service.policy else {
        return Verdict::DEFAULT;
    };
    let queue = node.scheduler.queue(&service.name);
    active
        .policies
        .decide(policy, facts, queue)
        .unwrap_or_else(|error| {
            node.metrics
                .policy_failures
                .with_label_values(&[policy])
                .inc();
            slog::warn!(node.log, "a policy program failed"; "cause" => %error);
            Verdict::DEFAULT
        })
}

/// The refusal reason for a caller over its account's limits.
pub(crate) fn over_limit_reason(over: &Over) -> Reason {
    let (limit, wait) = match over {
        Over::Requests(wait) => ("requests a second", *wait),
        Over::Tokens(wait) => ("tokens a second", *wait),
        Over::InFlight => ("requests in flight", IN_FLIGHT_RETRY_AFTER),
    };
    let message = format!("the account is over its limit of {limit}");
    Reason::with_retry_after(Code::AccountLimit, message, wait)
}

/// The refusal reason for a request that may not be served in this host's region.
///
/// The host passes the request to no other region, so it has no time after which a retry here would succeed.
pub(crate) fn region_not_allowed(region: &str) -> Reason {
    let message = format!("the request may not be served in the region {region}");
    Reason::new(Code::NoServer, message)
}
