use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use super::Links;
use crate::state::clock::Instant;
use crate::state::config::{Host, Peers, Timeouts};
use crate::state::platform::{Entry, Kind, Presence};
use crate::transport::runtime::lock;

/// Silence after which a host is suspected.
const SUSPECT_MS: u64 = 2_000;

/// The links of a host that has just received a message from another one.
fn links_to_one_host(now: Instant) -> Arc<Links> {
    let host = |name: &str| Host {
        name: name.into(),
        data_centre: "hut".into(),
        region: "high".into(),
        peer_key: "a key of sixteen bytes or more".to_owned(),
        bootstrap_key_sha256: None,
        source_address: None,
        threads: 1,
    };
    let timeouts = Timeouts {
        suspect_ms: SUSPECT_MS,
        ..Timeouts::default()
    };
    let links = Arc::new(Links::new(host("host-0"), &timeouts, &Peers::default(), 1));
    let entry = Entry {
        name: "host-1".into(),
        kind: Kind::Entry,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        operators: None,
        service: None,
        data_centre: "hut".into(),
        region: "high".into(),
        presence: Presence::Live,
        version: None,
        slots: None,
        started_ms: None,
        cold_ms: None,
    };
    links.follow(&[entry]);
    links.note_received(&"host-1".into(), 1, now);
    links.refresh(now);
    links
}

#[test]
fn a_host_that_was_suspended_does_not_take_the_others_for_silent() {
    struct Case {
        name: &'static str,
        /// How long this host is suspended.
        suspended_ms: u64,
        /// Time after it resumes, in which nothing arrives.
        silent_ms: u64,
        /// Number of hosts for which this host gives out limits, itself included.
        represented: u32,
        removed: usize,
    }
    let cases = [
        Case {
            name: "nothing happened",
            suspended_ms: 0,
            silent_ms: 100,
            represented: 2,
            removed: 0,
        },
        Case {
            name: "the other falls silent",
            suspended_ms: 0,
            silent_ms: SUSPECT_MS,
            represented: 1,
            removed: 1,
        },
        Case {
            name: "it was suspended",
            suspended_ms: 60_000,
            silent_ms: 0,
            represented: 2,
            removed: 0,
        },
        Case {
            name: "it was suspended, and the other is silent afterwards too",
            suspended_ms: 60_000,
            silent_ms: SUSPECT_MS,
            represented: 1,
            removed: 1,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let links = links_to_one_host(start);
        let resumed = start + Duration::from_millis(case.suspended_ms);
        // Tasks may ask before the suspension is detected.
        let silent = Duration::from_millis(SUSPECT_MS);
        assert!(
            links.silent_for(silent, resumed).is_empty(),
            "{}",
            case.name
        );
        links.discount_suspension(Duration::from_millis(case.suspended_ms), resumed);
        let now = resumed + Duration::from_millis(case.silent_ms);
        links.refresh(now);
        assert_eq!(
            links.share(now).represented,
            case.represented,
            "{}",
            case.name
        );
        let removed = links.silent_for(silent, now).len();
        assert_eq!(removed, case.removed, "{}", case.name);
    }
}

#[test]
fn a_link_that_was_reconnected_is_reconnected_again_only_after_a_longer_time() {
    /// A new connection of the link, or a message that went unanswered.
    enum Event {
        Connected,
        /// Whether the link is reconnected for it.
        Doubted(bool),
    }
    use Event::{Connected, Doubted};
    // Milliseconds from the start.
    let events = [
        (0, Doubted(false)),
        (0, Connected),
        (300, Doubted(false)),
        (500, Doubted(true)),
        (510, Connected),
        // The other host may be overloaded rather than cut off.
        (1_200, Doubted(false)),
        (4_500, Doubted(false)),
        (4_510, Doubted(true)),
        (4_520, Connected),
        (8_000, Doubted(false)),
        // A connection made for another reason, long after.
        (20_000, Connected),
        (20_500, Doubted(true)),
    ];
    let start = Instant::now();
    let links = links_to_one_host(start);
    let peers = links.peers.load();
    let link = peers.values().next().expect("one other host");
    // No server listens there; the test sets when the link is connected.
    *lock(&link.task) = None;
    *lock(&link.connected) = None;
    for (at, event) in events {
        let now = start + Duration::from_millis(at);
        match event {
            Connected => *lock(&link.connected) = Some(now),
            Doubted(is_reconnected) => {
                links.reconnect_unanswered(&link.name, now);
                assert_eq!(link.take_doubt(), is_reconnected, "at {at} ms");
            }
        }
    }
}
