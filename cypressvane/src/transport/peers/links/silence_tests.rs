use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use super::Links;
use crate::state::clock::Instant;
use crate::state::config::{Host, Timeouts};
use crate::state::platform::{Entry, Kind, Presence};
use crate::transport::runtime::lock;

/// Silence after which a host is suspected.
const SUSPECT_MS: u64 = 2_000;

/// A host that has just heard another one.
fn hears_another(now: Instant) -> Arc<Links> {
    let host = |name: &str| Host {
        name: name.into(),
        data_centre: "hut".into(),
        region: "high".into(),
        peer_key: "a key of sixteen bytes or more".to_owned(),
        bootstrap_key_sha256: None,
        threads: 1,
    };
    let timeouts = Timeouts {
        suspect_ms: SUSPECT_MS,
        ..Timeouts::default()
    };
    let links = Arc::new(Links::new(host("host-0"), &timeouts, 1));
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
    };
    links.follow(&[entry]);
    links.heard(&"host-1".into(), 1, now);
    links.refresh(now);
    links
}

#[test]
fn a_host_that_stood_still_has_not_seen_the_others_fall_silent() {
    struct Case {
        name: &'static str,
        /// How long it stood still.
        still_ms: u64,
        /// Time awake after that, in which nothing is heard.
        awake_ms: u64,
        heard: u32,
        struck_out: usize,
    }
    let cases = [
        Case {
            name: "nothing happened",
            still_ms: 0,
            awake_ms: 100,
            heard: 2,
            struck_out: 0,
        },
        Case {
            name: "the other falls silent",
            still_ms: 0,
            awake_ms: SUSPECT_MS,
            heard: 1,
            struck_out: 1,
        },
        Case {
            name: "it stood still",
            still_ms: 60_000,
            awake_ms: 0,
            heard: 2,
            struck_out: 0,
        },
        Case {
            name: "it stood still, and the other is silent afterwards too",
            still_ms: 60_000,
            awake_ms: SUSPECT_MS,
            heard: 1,
            struck_out: 1,
        },
    ];
    for case in cases {
        let began = Instant::now();
        let links = hears_another(began);
        let woke = began + Duration::from_millis(case.still_ms);
        // Tasks may ask before the standstill is noticed.
        let silent = Duration::from_millis(SUSPECT_MS);
        assert!(links.silent_for(silent, woke).is_empty(), "{}", case.name);
        links.stood_still(Duration::from_millis(case.still_ms), woke);
        let now = woke + Duration::from_millis(case.awake_ms);
        links.refresh(now);
        assert_eq!(links.share(now).heard, case.heard, "{}", case.name);
        let struck_out = links.silent_for(silent, now).len();
        assert_eq!(struck_out, case.struck_out, "{}", case.name);
    }
}

#[test]
fn a_link_is_doubted_once_and_then_more_seldom_until_it_was_good_for_a_while() {
    /// When the link's connections were made, and when an ask went without a word.
    enum Event {
        Connected,
        /// And whether the link is made anew for it.
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
        // The host may be behind with its work rather than unheard.
        (1_200, Doubted(false)),
        (4_500, Doubted(false)),
        (4_510, Doubted(true)),
        (4_520, Connected),
        (8_000, Doubted(false)),
        // A connection that another cause has made, long after.
        (20_000, Connected),
        (20_500, Doubted(true)),
    ];
    let began = Instant::now();
    let links = hears_another(began);
    let peers = links.peers.load();
    let link = peers.values().next().expect("one other host");
    // Nothing listens there; the test says what is connected.
    *lock(&link.task) = None;
    *lock(&link.connected) = None;
    for (at, event) in events {
        let now = began + Duration::from_millis(at);
        match event {
            Connected => *lock(&link.connected) = Some(now),
            Doubted(is_renewed) => {
                links.doubt(&link.name, now);
                assert_eq!(link.take_doubt(), is_renewed, "at {at} ms");
            }
        }
    }
}
