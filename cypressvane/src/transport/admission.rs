//! What decides whether a request may wait, for callers of every kind.

use std::time::Duration;

use crate::coordination::limit::Over;
use crate::coordination::policy::{self, Verdict};
use crate::protocol::refusal::{Code, Reason};
use crate::state::fleet::Service;
use crate::transport::active::Active;
use crate::transport::node::Node;

/// What a caller over its limit of requests in flight is told to wait.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);

/// The policy's word; a program that fails leaves the order of the tier.
pub(crate) fn verdict(
    node: &Node,
    active: &Active,
    service: &Service,
    facts: &policy::Request,
) -> Verdict {
    let Some(policy) = &service.policy else {
        return Verdict::PLAIN;
    };
    let queue = node.desk.queue(&node.rollouts.pool(&service.name));
    active
        .policies
        .decide(policy, facts, queue)
        .unwrap_or_else(|error| {
            node.metrics
                .policy_failures
                .with_label_values(&[policy])
                .inc();
            slog::warn!(node.log, "a policy program failed"; "cause" => %error);
            Verdict::PLAIN
        })
}

/// What a caller over its account's limits is told.
pub(crate) fn over_reason(over: &Over) -> Reason {
    let (limit, wait) = match over {
        Over::Requests(wait) => ("requests a second", *wait),
        Over::Tokens(wait) => ("tokens a second", *wait),
        Over::InFlight => ("requests in flight", IN_FLIGHT_RETRY),
    };
    let message = format!("the account is over its limit of {limit}");
    Reason::later(Code::AccountLimit, message, wait)
}
