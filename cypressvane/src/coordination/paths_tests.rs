//! Tests of the choice between direct paths and detours.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::{Paths, TRIAL_INTERVAL, UNUSED_TIME, Way};
use crate::state::clock::Instant;

/// What happens to a host.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server answers over a direct connection that was just made.
    Reached(u16),
    /// A server answers over a direct connection that was made this long ago.
    ReachedBefore(u16, Duration),
    /// Another host reaches a server that it does not reach.
    Failed(u16),
    /// Time passes, and what is unused is forgotten.
    Wait(Duration),
    /// It is to connect to a server.
    Chosen(u16, Way),
}

/// Time between two events.
const TICK: Duration = Duration::from_millis(1);

struct Case {
    name: &'static str,
    events: &'static [Event],
    is_severed: bool,
}

fn server(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Plays the events of each case and checks what the host chooses.
fn check(cases: &[Case]) {
    for case in cases {
        let mut paths = Paths::default();
        let mut now = Instant::now();
        for event in case.events {
            match *event {
                Event::Reached(port) => {
                    now += TICK;
                    paths.note_reached(server(port), now, now);
                }
                Event::ReachedBefore(port, ago) => {
                    paths.note_reached(server(port), now - ago, now);
                }
                Event::Failed(port) => paths.note_failed(server(port), now),
                Event::Wait(time) => {
                    now += time;
                    paths.forget_unused(now);
                }
                Event::Chosen(port, way) => {
                    assert_eq!(paths.choose(server(port), now), way, "{}", case.name);
                }
            }
        }
        assert_eq!(
            paths.severed_since().is_some(),
            case.is_severed,
            "{}",
            case.name
        );
    }
}

#[test]
fn failed_paths_are_avoided_and_tried_again() {
    use Event::{Chosen, Failed, Reached, Wait};
    use Way::{Detour, DetourAndTrial, Direct};
    check(&[
        Case {
            name: "nothing is known",
            events: &[Chosen(1, Direct)],
            is_severed: false,
        },
        Case {
            name: "one path failed, others did not",
            events: &[Failed(1), Chosen(1, Detour), Chosen(2, Direct)],
            is_severed: false,
        },
        Case {
            name: "one path failed twice",
            events: &[Failed(1), Failed(1), Chosen(2, Direct)],
            is_severed: false,
        },
        Case {
            name: "a failed path gets one trial per interval",
            events: &[
                Failed(1),
                Wait(TRIAL_INTERVAL),
                Chosen(1, DetourAndTrial),
                Chosen(1, Detour),
                Wait(TRIAL_INTERVAL),
                Chosen(1, DetourAndTrial),
            ],
            is_severed: false,
        },
        Case {
            name: "a failed path is used again once its trial has succeeded",
            events: &[
                Failed(1),
                Wait(TRIAL_INTERVAL),
                Chosen(1, DetourAndTrial),
                Reached(1),
                Chosen(1, Direct),
            ],
            is_severed: false,
        },
        Case {
            name: "a failed path that is not needed is forgotten",
            events: &[
                Failed(1),
                Wait(TRIAL_INTERVAL),
                Wait(UNUSED_TIME),
                Chosen(1, Direct),
                Chosen(1, Direct),
            ],
            is_severed: false,
        },
        Case {
            name: "two paths failed in a row",
            events: &[Failed(1), Failed(2), Chosen(3, Direct)],
            is_severed: false,
        },
    ]);
}

#[test]
fn a_host_is_severed_after_several_paths_failed_in_a_row() {
    use Event::{Chosen, Failed, Reached, ReachedBefore, Wait};
    use Way::{Detour, DetourAndTrial, Direct};
    check(&[
        Case {
            name: "three paths failed in a row, so all are avoided",
            events: &[Failed(1), Failed(2), Failed(3), Chosen(4, Detour)],
            is_severed: true,
        },
        Case {
            name: "a severed host tries one path per interval",
            events: &[
                Failed(1),
                Failed(2),
                Failed(3),
                Wait(TRIAL_INTERVAL),
                Chosen(4, DetourAndTrial),
                Chosen(1, Detour),
                Chosen(2, Detour),
            ],
            is_severed: true,
        },
        Case {
            name: "three paths failed, and a server answered in between",
            events: &[
                Failed(1),
                Failed(2),
                Reached(4),
                Failed(3),
                Chosen(4, Direct),
            ],
            is_severed: false,
        },
        Case {
            name: "one answer ends it, and the failed paths are tried at once",
            events: &[
                Failed(1),
                Failed(2),
                Failed(3),
                Reached(4),
                Chosen(4, Direct),
                Chosen(1, DetourAndTrial),
                Chosen(1, Detour),
            ],
            is_severed: false,
        },
        Case {
            name: "answers over connections that were made before show nothing",
            events: &[
                Failed(1),
                Failed(2),
                ReachedBefore(4, TICK),
                Failed(3),
                ReachedBefore(5, TICK),
                Chosen(5, Detour),
            ],
            is_severed: true,
        },
    ]);
}
