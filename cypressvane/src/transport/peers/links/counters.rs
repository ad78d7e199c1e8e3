//! Metrics of the traffic to the other hosts.

use prometheus::IntCounter;

/// Counters of the traffic to the other hosts.
#[derive(Clone, Debug)]
pub(crate) struct Counters {
    /// Bytes of the frames sent.
    pub(crate) bytes: IntCounter,
    /// Messages sent.
    pub(crate) messages: IntCounter,
}

impl Counters {
    pub(super) fn new() -> Self {
        let counter = |name, help| IntCounter::new(name, help).expect("valid metric");
        Self {
            bytes: counter(
                "cypressvane_peer_bytes_total",
                "Bytes of frames sent to other hosts.",
            ),
            messages: counter(
                "cypressvane_peer_messages_total",
                "Messages sent to other hosts.",
            ),
        }
    }
}
