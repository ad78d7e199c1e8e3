//! Claims of idempotency keys, so that a request with a key runs at most once in the whole fleet.

use serde::{Deserialize, Serialize};

use crate::protocol::refusal::{Code, Reason};
use crate::state::digest;
use crate::state::name::Name;
use crate::state::platform::{Error, Expect, Write};
use crate::state::units::since_epoch;
use crate::transport::node::Node;

/// The table row that claims a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    host: Name,
    incarnation: u64,
    request_id: String,
    /// Seconds since the Unix epoch.
    claimed_at: u64,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The key belongs to this request.
    Claimed,
    /// Another request claimed the key first, and may have run.
    Taken(Reason),
    /// The claim could not be confirmed in the table service, so the request must not run.
    Unavailable(Reason),
}

/// Claims an account's key for a request.
pub(crate) async fn claim(node: &Node, account: &str, key: &str, request_id: &str) -> Outcome {
    // Account name and key are hashed together, because a key may contain any bytes.
    let row = format!(
        "claims/{}",
        digest::sha256_hex(format!("{account}\0{key}").as_bytes())
    );
    let claim = Claim {
        host: node.config.host.name.clone(),
        incarnation: node.incarnation,
        request_id: request_id.to_owned(),
        claimed_at: since_epoch().as_secs(),
    };
    let text = serde_json::to_string(&claim).expect("plain values have a JSON form");
    match node.table.put(&row, &text, Expect::Absent).await {
        Ok(Write::Done) => Outcome::Claimed,
        Ok(Write::Conflict) | Err(Error::Lost(_)) => read_back(node, &row, &claim).await,
        Err(error) => claim_unavailable(node, &error),
    }
}

/// Finds which request owns the row.
///
/// An absent row may still be written by an earlier write that is in transit, so its absence does not permit the
/// request to run.
async fn read_back(node: &Node, row: &str, claim: &Claim) -> Outcome {
    let found = match node.table.get(row).await {
        Ok(found) => found,
        Err(error) => return claim_unavailable(node, &error),
    };
    let Some(found) = found else {
        return claim_unavailable(node, &Error::Lost("the claim is not there".to_owned()));
    };
    match serde_json::from_str::<Claim>(&found.value) {
        Ok(winner) if winner == *claim => Outcome::Claimed,
        Ok(winner) => {
            let message = format!(
                "the idempotency key was taken by request {} at host {}, which may have run",
                winner.request_id, winner.host
            );
            Outcome::Taken(Reason::new(Code::Duplicate, message))
        }
        Err(error) => claim_unavailable(node, &Error::Unexpected(error.to_string())),
    }
}

fn claim_unavailable(node: &Node, error: &Error) -> Outcome {
    node.metrics
        .platform_failures
        .with_label_values(&["table"])
        .inc();
    let message = format!("the idempotency key could not be claimed: {error}");
    Outcome::Unavailable(Reason::new(Code::PlatformUnavailable, message))
}
