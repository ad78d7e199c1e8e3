//! Follows a configuration that the platform keeps outside the table service: a few hosts poll it closely for all.

use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt as _;
use smol::Timer;

use super::install::{Error, activate_external};
use super::{fetch, host_list};
use crate::coordination::backoff::Backoff;
use crate::coordination::retry_delay::{LastAnswers, RetryDelay};
use crate::state::clock::Instant;
use crate::state::platform::ConfigStore;
use crate::transport::node::Node;
use crate::transport::runtime::timeout;

/// The subject by which hosts are ordered to choose those that poll the configuration closely.
const CONFIGURATION_SUBJECT: &str = "configuration";
/// Number of hosts that poll closely for all: enough that two may fail at once.
const POLLERS: usize = 3;
/// How long a close poll waits for a change: less than half of the key lease on the users' sites.
const CLOSE_WAIT: Duration = Duration::from_millis(2_200);
/// How much shorter the polls of each further host are, so that their answers do not arrive together.
const WAIT_STAGGER: Duration = Duration::from_millis(300);
/// How long the polls of the other hosts wait: each is a call, and the users' store waits at most 30 s.
const LONG_WAIT: Duration = Duration::from_secs(28);
/// Age of the last confirmation from which a host polls closely itself: the time of a close poll and a heartbeat, with
/// some margin.
const CONFIRMED_AGE_MAX: Duration = Duration::from_secs(3);
/// Interval at which a waiting host checks whether to abandon its poll.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that other hosts are given to provide a newer version that one of them has announced.
const PEERS_GRACE: Duration = Duration::from_millis(1_500);
/// Backoff after the first failed poll.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);

/// Polls the configuration source of the platform, and fetches from other hosts what the polls do not deliver;
/// `wakeups` signal that another host has a newer version.
pub(super) async fn follow(node: &Node, config_store: &dyn ConfigStore, wakeups: &Receiver<()>) {
    let (fetched, peer_fetches) = async_channel::bounded(1);
    let following_peers = fetch::follow_peers(node, wakeups, &fetched);
    poll_loop(node, config_store, &peer_fetches)
        .or(following_peers)
        .await;
}

/// Polls the source in a loop; `peer_fetches` signal that another host has provided a version that a poll did not
/// deliver.
async fn poll_loop(node: &Node, config_store: &dyn ConfigStore, peer_fetches: &Receiver<()>) {
    let mut backoff = Backoff::new(BACKOFF_FIRST);
    loop {
        if node.links.relays() && !polls_closely(node) {
            wait_for_peers(node, peer_fetches).await;
        }
        let closely = polls_closely(node);
        let wait = if node.source_is_lost() {
            // Checks only whether the source is available again.
            Duration::ZERO
        } else if closely {
            close_wait(node)
        } else {
            LONG_WAIT
        };
        // Drops a signal from before this poll, if there is one: it says nothing about this poll.
        let _ = peer_fetches.try_recv();
        let polled = async { Outcome::Polled(poll(node, config_store, wait).await) };
        let polled = match polled.or(abandoned(node, closely, peer_fetches)).await {
            Outcome::Polled(polled) => polled,
            Outcome::Stale => continue,
            Outcome::Behind => {
                slog::info!(
                    node.log, "another host has a newer configuration than this look shows";
                    "version" => node.version(),
                );
                // This poll runs to its end, so that a slow platform does not get one abandoned call after another.
                poll(node, config_store, Duration::ZERO).await
            }
        };
        let has_changed = node.note_source_state(polled.is_ok(), Instant::now());
        match polled {
            Ok(()) if has_changed => {
                backoff.reset();
                slog::info!(node.log, "the configuration is followed again"; "version" => node.version());
            }
            Ok(()) => backoff.reset(),
            Err(error) => {
                node.note_platform_failure("configuration");
                if has_changed {
                    slog::warn!(
                        node.log, "the configuration could not be followed"; "cause" => %error
                    );
                }
                let is_poller = node
                    .links
                    .position_among_known(CONFIGURATION_SUBJECT, POLLERS)
                    < POLLERS;
                back_off(node, config_store, backoff.next_delay(is_poller)).await;
            }
        }
    }
}

/// Waits for up to `length` after a failed poll. Answers of the platform to this host or to others shorten the wait.
async fn back_off(node: &Node, config_store: &dyn ConfigStore, length: Duration) {
    let answered = || LastAnswers {
        here: config_store.last_answered(),
        elsewhere: node.answered_elsewhere(),
    };
    let delay = RetryDelay::begin(length, answered(), Instant::now());
    loop {
        let left = delay.remaining(answered(), Instant::now());
        if left.is_zero() {
            return;
        }
        Timer::after(left.min(RECHECK_INTERVAL)).await;
    }
}

/// Waits while neighbours confirm the configuration and provide newer versions.
///
/// In a large region every call that each host makes for a change adds up to more than the platform takes.
async fn wait_for_peers(node: &Node, peer_fetches: &Receiver<()>) {
    let mut behind_since = None;
    while !polls_closely(node) {
        // It makes no difference whether a fetched version or the timeout ends the wait.
        let _ = timeout(RECHECK_INTERVAL, peer_fetches.recv()).await;
        if !node.is_behind() {
            behind_since = None;
            continue;
        }
        let now = Instant::now();
        let since = *behind_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= PEERS_GRACE {
            return;
        }
    }
}

/// How a wait for a new configuration ends.
enum Outcome {
    Polled(Result<(), Error>),
    /// Other hosts no longer confirm that the configuration is the newest.
    Stale,
    /// Another host has had a newer version for some time, or has provided one, so the waiting call may never be
    /// answered.
    Behind,
}

/// Waits until the poll under way should be abandoned.
async fn abandoned(node: &Node, closely: bool, peer_fetches: &Receiver<()>) -> Outcome {
    let mut was_behind = false;
    loop {
        if timeout(RECHECK_INTERVAL, peer_fetches.recv())
            .await
            .is_some()
        {
            return Outcome::Behind;
        }
        if !closely && polls_closely(node) {
            return Outcome::Stale;
        }
        // A newer version must be seen twice in a row, so that the poll under way has had time to deliver it.
        let is_behind = node.is_behind();
        if was_behind && is_behind {
            return Outcome::Behind;
        }
        was_behind = is_behind;
    }
}

/// Whether this host polls often enough to renew the key lease by itself.
///
/// A few hosts do so for all and confirm the configuration to the others in their heartbeats. The others use longer
/// polls, which still deliver changes at once, until the confirmations stop.
fn polls_closely(node: &Node) -> bool {
    let is_stale = node
        .confirmed_ago()
        .is_none_or(|ago| ago >= CONFIRMED_AGE_MAX);
    is_stale || node.links.position_for(CONFIGURATION_SUBJECT, POLLERS) < POLLERS
}

/// How long a close poll of this host waits.
fn close_wait(node: &Node) -> Duration {
    let position = node.links.position_for(CONFIGURATION_SUBJECT, POLLERS);
    let position = u32::try_from(position).unwrap_or(0);
    CLOSE_WAIT.saturating_sub(WAIT_STAGGER * position)
}

async fn poll(node: &Node, config_store: &dyn ConfigStore, wait: Duration) -> Result<(), Error> {
    let state = config_store.poll(node.version(), wait).await?;
    node.note_platform_answer(state.confirmed);
    for fault in state.faults {
        slog::warn!(node.log, "a part of what operators wrote cannot be read, and is left out"; "cause" => fault);
    }
    for order in node.rollouts.update_orders(&state.orders) {
        node.links.relay_order(order);
    }
    node.evacuations
        .update_orders(&state.evacuation, state.restore_count);
    host_list::follow_orders(node);
    if let Some((version, fleet)) = state.newer {
        node.install(activate_external(version, fleet).await?);
    }
    node.note_restores(state.restore_count);
    if node.is_behind() {
        // Another host has a newer version, which the platform has lost or this poll has missed.
        return Ok(());
    }
    node.confirm(state.confirmed);
    if let Some(confirmed_ms) = state.confirmed_ms {
        node.links.announce_confirmed(node.version(), confirmed_ms);
    }
    Ok(())
}
