//! Claims of idempotency keys, so that a keyed request runs at most once in the whole fleet.

use serde::{Deserialize, Serialize};

use crate::protocol::refusal::{Code, Reason};
use crate::state::digest;
use crate::state::name::Name;
use crate::state::platform::{Error, Expect, Write};
use crate::state::units::since_epoch;
use crate::transport::node::Node;

/// The row that claims a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    host: Name,
    incarnation: u64,
    request_id: String,
    /// Seconds since the Unix epoch.
    claimed_at: u64,
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The key belongs to this request.
    Mine,
    /// Another request took the key before, and may have run.
    Taken(Reason),
    /// The table service gave no answer, so the request must not run.
    Unavailable(Reason),
}

/// Claims a key of an account for a request.
pub(crate) async fn claim(node: &Node, account: &str, key: &str, request_id: &str) -> Outcome {
    // The account's name and the key are hashed together, since a key may hold any bytes.
    let row = format!(
        "claims/{}",
        digest::hex(format!("{account}\0{key}").as_bytes())
    );
    let claim = Claim {
        host: node.config.host.name.clone(),
        incarnation: node.incarnation,
        request_id: request_id.to_owned(),
        claimed_at: since_epoch().as_secs(),
    };
    let text = serde_json::to_string(&claim).expect("plain values have a JSON form");
    match node.table.put(&row, &text, Expect::Absent).await {
        Ok(Write::Done) => Outcome::Mine,
        Ok(Write::Conflict) | Err(Error::Lost(_)) => read_back(node, &row, &claim).await,
        Err(error) => unavailable(node, &error),
    }
}

/// Finds out whose the row is. A row that is not there may still be written by a write that was
/// sent before, so its absence is no leave to run.
async fn read_back(node: &Node, row: &str, claim: &Claim) -> Outcome {
    let found = match node.table.get(row).await {
        Ok(found) => found,
        Err(error) => return unavailable(node, &error),
    };
    let Some(found) = found else {
        return unavailable(node, &Error::Lost("the claim is not there".to_owned()));
    };
    match serde_json::from_str::<Claim>(&found.value) {
        Ok(winner) if winner == *claim => Outcome::Mine,
        Ok(winner) => {
            let message = format!(
                "the idempotency key was taken by request {} at host {}, which may have run",
                winner.request_id, winner.host
            );
            Outcome::Taken(Reason::new(Code::Duplicate, message))
        }
        Err(error) => unavailable(node, &Error::Unexpected(error.to_string())),
    }
}

fn unavailable(node: &Node, error: &Error) -> Outcome {
    node.metrics
        .platform_failures
        .with_label_values(&["table"])
        .inc();
    let message = format!("the idempotency key could not be claimed: {error}");
    Outcome::Unavailable(Reason::new(Code::PlatformUnavailable, message))
}
