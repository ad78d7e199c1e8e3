//! Follows the place of its own where a platform keeps the configuration: a few hosts for all.

use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt as _;
use smol::Timer;

use super::fetch;
use super::install::{Error, activate_outside};
use crate::coordination::backoff::Backoff;
use crate::coordination::rest::{Answered, Rest};
use crate::state::clock::Instant;
use crate::state::platform::Source;
use crate::transport::node::Node;
use crate::transport::runtime::within;

/// What stands for the configuration where a few hosts are chosen to look at it.
const CONFIGURATION: &str = "configuration";
/// Hosts that look at it closely for all: enough that two may fail at once.
const LOOKERS: usize = 3;
/// How long such a look waits for a change: less than half of the lease of keys on the users' sites.
const LOOK_CLOSELY: Duration = Duration::from_millis(2_200);
/// How much shorter each further host's looks are, so that their answers do not come together.
const LOOK_APART: Duration = Duration::from_millis(300);
/// How long the others' looks wait: each is a call, and 30 s is the longest that the users' store waits.
const LOOK_LONG: Duration = Duration::from_secs(28);
/// Age of the last confirmation from which a host looks closely by itself: a close look, a heartbeat
/// and some room later.
const CONFIRMED_MAX: Duration = Duration::from_secs(3);
/// How often a host that waits asks itself whether its look is better given up.
const CLOSELY_POLL: Duration = Duration::from_millis(250);
/// Rest after a first look at the configuration's place that failed.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Follows the place of its own where a platform keeps the configuration, and takes from other hosts what looks at it do
/// not bring; `nudges` tell that another host has a newer version.
pub(super) async fn follow(node: &Node, source: &dyn Source, nudges: &Receiver<()>) {
    let (overtaken, overtakings) = async_channel::bounded(1);
    let keeping_up = fetch::keep_up(node, nudges, &overtaken);
    keep_looking(node, source, &overtakings)
        .or(keeping_up)
        .await;
}

/// Looks at that place again and again; `overtakings` tell that another host gave what a look did not bring.
async fn keep_looking(node: &Node, source: &dyn Source, overtakings: &Receiver<()>) {
    let mut backoff = Backoff::new(LOOK_AGAIN);
    loop {
        let closely = looks_closely(node);
        let wait = if node.source_is_lost() {
            // Asks only whether it is back.
            Duration::ZERO
        } else if closely {
            close_wait(node)
        } else {
            LOOK_LONG
        };
        // What came before this look says nothing of it; nothing is there to be read, mostly.
        let _ = overtakings.try_recv();
        let looked = async { Wait::Looked(look(node, source, wait).await) };
        let looked = match looked.or(given_up(node, closely, overtakings)).await {
            Wait::Looked(looked) => looked,
            Wait::Stale => continue,
            Wait::Behind => {
                slog::info!(
                    node.log, "another host has a newer configuration than this look shows";
                    "version" => node.version(),
                );
                // Its end is waited for, so that a slow platform is not asked again and again in vain.
                look(node, source, Duration::ZERO).await
            }
        };
        let is_news = node.note_source(looked.is_ok(), Instant::now());
        match looked {
            Ok(()) if is_news => {
                backoff.answered();
                node.note_platform_back(Instant::now());
                slog::info!(node.log, "the configuration is followed again"; "version" => node.version());
            }
            Ok(()) => backoff.answered(),
            Err(error) => {
                node.note_platform_failure("configuration");
                if is_news {
                    slog::warn!(
                        node.log, "the configuration could not be followed"; "cause" => %error
                    );
                }
                let for_all = node.links.place_among_known(CONFIGURATION) < LOOKERS;
                rest(node, source, backoff.failed(for_all)).await;
            }
        }
    }
}

/// Rests after a look that failed, not longer than what is learnt of the platform meanwhile allows.
async fn rest(node: &Node, source: &dyn Source, length: Duration) {
    let answered = || Answered {
        here: source.answered(),
        elsewhere: node.answered_elsewhere(),
    };
    let rest = Rest::begin(length, answered(), Instant::now());
    loop {
        let left = rest.left(answered(), Instant::now());
        if left.is_zero() {
            return;
        }
        Timer::after(left.min(CLOSELY_POLL)).await;
    }
}

/// How a wait for a new configuration ends.
enum Wait {
    Looked(Result<(), Error>),
    /// Others no longer tell that the configuration is the newest.
    Stale,
    /// Others have had a newer one for some time, so the call that waits for it may be silent.
    Behind,
}

/// Waits until a look is better given up.
async fn given_up(node: &Node, closely: bool, overtakings: &Receiver<()>) -> Wait {
    let mut was_behind = false;
    loop {
        if within(CLOSELY_POLL, overtakings.recv()).await.is_some() {
            return Wait::Behind;
        }
        if !closely && looks_closely(node) {
            return Wait::Stale;
        }
        // Seen twice in a row: the look under way has had time to bring it.
        let is_behind = node.is_behind();
        if was_behind && is_behind {
            return Wait::Behind;
        }
        was_behind = is_behind;
    }
}

/// Whether this host looks often enough to keep the lease of keys by itself.
///
/// A few hosts do so for all, and tell the others with their heartbeats; the others wait longer for
/// changes, which come at once all the same, until they hear nothing.
fn looks_closely(node: &Node) -> bool {
    let is_stale = node.confirmed_ago().is_none_or(|ago| ago >= CONFIRMED_MAX);
    is_stale || node.links.place_for(CONFIGURATION) < LOOKERS
}

/// How long a close look of this host waits.
fn close_wait(node: &Node) -> Duration {
    let place = node.links.place_for(CONFIGURATION).min(LOOKERS);
    let place = u32::try_from(place).unwrap_or(0);
    LOOK_CLOSELY.saturating_sub(LOOK_APART * place)
}

async fn look(node: &Node, source: &dyn Source, wait: Duration) -> Result<(), Error> {
    let look = source.look(node.version(), wait).await?;
    for fault in look.faults {
        slog::warn!(node.log, "an order of a roll-out cannot be read"; "cause" => fault);
    }
    node.rollouts.note_orders(&look.orders);
    if let Some((version, fleet)) = look.newer {
        node.install(activate_outside(version, fleet).await?);
    }
    node.note_returns(look.returns);
    if node.is_behind() {
        // Another host has a newer version, which the platform has lost or this look missed.
        return Ok(());
    }
    node.confirm(look.confirmed);
    if let Some(stamp) = look.stamp {
        node.links.tell_confirmed(node.version(), stamp);
    }
    Ok(())
}
