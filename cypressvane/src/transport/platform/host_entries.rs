//! Adds this host to the platform's host list, and removes hosts that are gone.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;

use super::host_list::LIST_SUBJECT;
use crate::state::clock::Instant;
use crate::state::platform;
use crate::transport::node::Node;
use crate::transport::runtime::timeout;

/// Longest time between two checks of the entries.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a host that has added itself, but is missing from the list, adds itself again: longer than the list
/// takes to show the entry on a site that starts.
const REREGISTER_AFTER: Duration = Duration::from_secs(4);
/// Silence after which a host is removed from the list: longer than hosts are frozen or take to restart.
const REMOVE_AFTER: Duration = Duration::from_secs(15);

/// Maintains the entries for as long as the host runs, if hosts do so on this platform; `has_read` notifies this task
/// that the list has been read.
pub(crate) async fn run(node: Arc<Node>, has_read: Receiver<()>) {
    let mut registered_at = None;
    let mut last_restore_count = None;
    loop {
        // It makes no difference whether a read of the list or the timeout ends the wait.
        let _ = timeout(CHECK_INTERVAL, has_read.recv()).await;
        if !node.host_list.has_self_registration() || !node.links.has_host_list() {
            continue;
        }
        let restore_count = Some(node.host_list.restore_count());
        if restore_count != last_restore_count {
            // The platform may have lost the entry of this host.
            registered_at = None;
            last_restore_count = restore_count;
        }
        register(&node, &mut registered_at).await;
        remove_silent_hosts(&node).await;
    }
}

/// Adds this host if its entry is missing.
///
/// `registered_at` is when this host last added itself: the list shows the entry with a delay, and may change
/// meanwhile.
async fn register(node: &Node, registered_at: &mut Option<Instant>) {
    let may_register = registered_at.is_none_or(|at| at.elapsed() >= REREGISTER_AFTER);
    let Some(own_entry) = node.entry() else {
        return;
    };
    if may_register && !node.is_draining() && !node.listed.load().contains(&own_entry) {
        let result = node.host_list.register(&own_entry).await;
        *registered_at = result.is_ok().then(Instant::now);
        log_failure(node, "adding this host", result);
    }
}

/// Removes the hosts that have been silent for long, if this host does so for all.
async fn remove_silent_hosts(node: &Node) {
    let is_maintainer = node.links.home_of(LIST_SUBJECT) == node.config.host.name;
    if !is_maintainer || node.started.elapsed() < REMOVE_AFTER {
        return;
    }
    for host in node.links.silent_for(REMOVE_AFTER, Instant::now()) {
        slog::info!(node.log, "a silent host is struck out of the list"; "host" => &*host);
        log_failure(
            node,
            "removing a host",
            node.host_list.deregister(&host).await,
        );
    }
}

fn log_failure(node: &Node, what: &str, result: Result<(), platform::Error>) {
    if let Err(error) = result {
        node.note_platform_failure("hosts");
        slog::warn!(node.log, "the host list could not be changed"; "what" => what, "cause" => %error);
    }
}
