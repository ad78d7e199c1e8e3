//! Follows the platform's host list.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;

use crate::coordination::pool::Spec;
use crate::state::name::Name;
use crate::state::platform::{Entry, Kind, Listing, Presence};
use crate::transport::node::Node;
use crate::transport::runtime::within;

/// Time between two reads of the host list.
const POLL: Duration = Duration::from_secs(1);
/// Slots of a server whose service is not configured yet.
const SLOTS_UNKNOWN: u32 = 1;

/// Reads the host list for as long as the host runs; `installs` wake it early.
pub(crate) async fn run(node: Arc<Node>, installs: Receiver<()>) {
    let mut last: Vec<Entry> = Vec::new();
    let mut last_tag = None;
    let mut last_version = 0;
    loop {
        let region = node.config.host.region.clone();
        let listing = node.roster.list(Some(&region), last_tag.as_deref()).await;
        let changed = match listing {
            Ok(Listing::Entries { tag, entries }) => {
                last_tag = tag;
                let changed = entries != last || !node.links.has_roster();
                last = entries;
                changed
            }
            Ok(Listing::Same) => false,
            // What was read last stays: a list that cannot be read takes nobody out.
            Err(error) => {
                node.metrics
                    .platform_failures
                    .with_label_values(&["hosts"])
                    .inc();
                slog::warn!(node.log, "the host list gave no answer"; "cause" => %error);
                false
            }
        };
        // A new configuration may give a service other slots.
        let version = node.version();
        if changed || (version != last_version && node.links.has_roster()) {
            follow(&node, &last);
            last_version = version;
        }
        // Whether an installed configuration or the time ends the wait makes no difference.
        let _ = within(POLL, installs.recv()).await;
    }
}

fn follow(node: &Node, entries: &[Entry]) {
    let now = Instant::now();
    for gone in node.links.follow(entries) {
        node.desk.forget(&gone, u64::MAX, now);
    }
    node.desk.set_specs(specs(node, entries), now);
}

/// The backend servers of this region by service.
fn specs(node: &Node, entries: &[Entry]) -> HashMap<Name, Vec<Spec>> {
    let active = node.active();
    let slots = |service: &Name| {
        let service = active
            .as_ref()
            .and_then(|active| active.index.service(service));
        service.map_or(SLOTS_UNKNOWN, |service| service.slots)
    };
    let mut specs: HashMap<Name, Vec<Spec>> = HashMap::new();
    for entry in entries {
        let in_region = entry.kind == Kind::Backend && entry.region == node.config.host.region;
        let Some(service) = entry.service.as_ref().filter(|_| in_region) else {
            continue;
        };
        specs.entry(service.clone()).or_default().push(Spec {
            name: entry.name.clone(),
            address: entry.address,
            slots: slots(service),
            leaving: entry.presence == Presence::Leaving,
        });
    }
    specs
}
