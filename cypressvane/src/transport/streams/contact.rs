//! Notices when this host may have missed versions: it was cut off from the platform and the other hosts, or stood still.
//!
//! What it saw before proves nothing then. It reads what is stored anew, as a host does that has just started.

use std::time::Duration;

use smol::Timer;

use super::{Streams, ledger};
use crate::coordination::rollout::version::SETTLE_TIME;
use crate::state::clock::Instant;
use crate::transport::node::Node;
use crate::transport::runtime::lock;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Age of the last confirmation from which a host that hears few others is out of touch; longer than the time between two
/// answers of a platform that is well.
const CONFIRMED_AGE_MAX: Duration = Duration::from_secs(3);

/// Whether the configuration was confirmed so recently that a version which came since has got no requests yet.
pub(crate) fn is_current(node: &Node) -> bool {
    node.confirmed_ago().is_some_and(|ago| ago <= SETTLE_TIME)
}

/// Whether this host may miss the versions that come.
fn is_out_of_touch(node: &Node) -> bool {
    let is_old = node
        .confirmed_ago()
        .is_none_or(|ago| ago >= CONFIRMED_AGE_MAX);
    is_old && !node.links.hears_most()
}

/// Checks whether this host may have missed versions, for as long as it runs.
pub(super) async fn run(node: &Node) {
    let mut checked = Instant::now();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = Instant::now();
        let has_stood_still = now.saturating_duration_since(checked) >= SETTLE_TIME;
        checked = now;
        if has_stood_still || is_out_of_touch(node) {
            node.streams.note_gap(now);
        } else if node.streams.ledger.is_outdated() {
            ledger::read_again(node).await;
        }
    }
}

impl Streams {
    /// Notes that this host may have missed versions until now.
    fn note_gap(&self, now: Instant) {
        lock(&self.watch).note_gap(now);
        for history in lock(&self.histories).values_mut() {
            history.note_gap(now);
        }
        self.ledger.outdate();
    }
}
