//! Metrics of the links to the other hosts.

use prometheus::core::Collector;
use prometheus::{IntCounter, IntGauge};

/// Metrics of the links to the other hosts, and of what is known of these.
#[derive(Clone, Debug)]
pub(crate) struct Counters {
    /// Bytes of the frames sent.
    pub(super) bytes: IntCounter,
    /// Messages sent.
    pub(super) messages: IntCounter,
    /// Standing links.
    pub(super) neighbours: IntGauge,
    /// Connected links, standing or not.
    pub(super) open_links: IntGauge,
    /// Hosts that may be homes, this one included.
    pub(super) live_hosts: IntGauge,
    /// Hosts that this host came to suspect.
    pub(super) suspicions: IntCounter,
    /// Refutations of other hosts' suspicions, each by a higher incarnation of this host.
    pub(super) refutations: IntCounter,
}

impl Counters {
    pub(super) fn new() -> Self {
        let counter = |name, help| IntCounter::new(name, help).expect("valid metric");
        let gauge = |name, help| IntGauge::new(name, help).expect("valid metric");
        Self {
            bytes: counter(
                "cypressvane_peer_bytes_total",
                "Bytes of frames sent to other hosts.",
            ),
            messages: counter(
                "cypressvane_peer_messages_total",
                "Messages sent to other hosts.",
            ),
            neighbours: gauge(
                "cypressvane_neighbours",
                "Hosts to which this host keeps a link.",
            ),
            open_links: gauge(
                "cypressvane_open_links",
                "Hosts to which this host has a connected link.",
            ),
            live_hosts: gauge(
                "cypressvane_live_hosts",
                "Hosts that may be homes, as this host knows.",
            ),
            suspicions: counter(
                "cypressvane_suspicions_total",
                "Hosts that this host came to suspect.",
            ),
            refutations: counter(
                "cypressvane_refutations_total",
                "Times that this host announced itself anew because others suspected it.",
            ),
        }
    }

    /// All metrics, to be registered.
    pub(crate) fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.bytes.clone()),
            Box::new(self.messages.clone()),
            Box::new(self.neighbours.clone()),
            Box::new(self.open_links.clone()),
            Box::new(self.live_hosts.clone()),
            Box::new(self.suspicions.clone()),
            Box::new(self.refutations.clone()),
        ]
    }
}
