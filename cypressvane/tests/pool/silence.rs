//! What a pool's home concludes from silent servers that holders report.

use std::time::Duration;

use cypressvane::clock::Instant;
use cypressvane::name::Name;
use cypressvane::pool::{End, Offer, Pool, Ticket};

use crate::common::{granted_server, impatient_offer, patient_offer, spec, ticket};

/// Slots of each server.
const SLOTS: u32 = 2;
/// Time between two events.
const TICK: Duration = Duration::from_millis(1);
/// Silence that a holder reports.
const SILENCE_MS: u64 = 400;

/// Length of a prompt that a server reads for longer than `SILENCE_MS`, in tokens.
const LONG_TOKENS: u32 = 2_400;

/// What happens to a pool; the numbers are those of requests.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request is offered and must be granted this server; `None` if it must wait.
    Offer(u64, Option<u16>),
    /// The same for one with a long prompt.
    Long(u64, Option<u16>),
    /// The same for one whose answer is on time for 10 s.
    Unhurried(u64, Option<u16>),
    /// The same for one that is refused early.
    Early(u64, Option<u16>),
    /// The same for one that avoids a server.
    Avoid(u64, u16, Option<u16>),
    /// A request that waited must be granted this server by now.
    Granted(u64, u16),
    Silence(u64),
    Voice(u64),
    FirstToken(u64),
    End(u64, End),
    Wait(u64),
    /// These requests' holders must have been told since the last check that others hear the server.
    Unheard(&'static [u64]),
    /// A server must be in this state.
    Is(u16, &'static str),
    /// The pool must have this many servers that stand still, and report this many free slots.
    State(usize, u32),
}

struct Case {
    name: &'static str,
    servers: u16,
    events: &'static [Event],
}

/// A pool with what it has decided.
struct Play {
    pool: Pool,
    now: Instant,
    granted: Vec<(Ticket, Name)>,
}

impl Play {
    fn new(servers: u16) -> Self {
        let now = Instant::now();
        let mut pool = Pool::new("register-model".into(), 1_000);
        let specs: Vec<_> = (0..servers).map(|index| spec(index, SLOTS)).collect();
        pool.set_servers(&specs, now);
        Self {
            pool,
            now,
            granted: Vec::new(),
        }
    }

    fn record(&mut self, actions: Vec<cypressvane::pool::Action>) {
        for action in actions {
            if let cypressvane::pool::Action::Grant { ticket, server, .. } = action {
                self.granted.push((ticket, server));
            }
        }
    }

    fn server_of(&self, sequence: u64) -> Option<String> {
        let mut granted = self.granted.iter().rev();
        let found = granted.find(|(of, _)| *of == ticket(sequence));
        found.map(|(_, server)| server.to_string())
    }

    fn offer(&mut self, offer: Offer) -> Option<String> {
        let actions = self.pool.offer(offer, self.now);
        let server = granted_server(&actions);
        self.record(actions);
        server
    }

    fn play(&mut self, event: Event, case: &str) {
        self.now += TICK;
        let now = self.now;
        let name = |server: u16| format!("server-{server}");
        let actions = match event {
            Event::Offer(sequence, server) => {
                let granted = self.offer(patient_offer(sequence, 0, 100, now));
                assert_eq!(granted, server.map(name), "{case}: {event:?}");
                return;
            }
            Event::Long(sequence, server) => {
                let granted = self.offer(patient_offer(sequence, 0, LONG_TOKENS, now));
                assert_eq!(granted, server.map(name), "{case}: {event:?}");
                return;
            }
            Event::Unhurried(sequence, server) => {
                let granted = self.offer(Offer {
                    first_token_target: Duration::from_secs(10),
                    ..patient_offer(sequence, 0, 100, now)
                });
                assert_eq!(granted, server.map(name), "{case}: {event:?}");
                return;
            }
            Event::Early(sequence, server) => {
                let granted = self.offer(impatient_offer(sequence, 0, now));
                assert_eq!(granted, server.map(name), "{case}: {event:?}");
                return;
            }
            Event::Avoid(sequence, avoided, server) => {
                let granted = self.offer(Offer {
                    avoid: Some(name(avoided).into()),
                    ..patient_offer(sequence, 0, 100, now)
                });
                assert_eq!(granted, server.map(name), "{case}: {event:?}");
                return;
            }
            Event::Granted(sequence, server) => {
                let granted = self.server_of(sequence);
                assert_eq!(granted, Some(name(server)), "{case}: {event:?}");
                return;
            }
            Event::Silence(sequence) => {
                let silence = Duration::from_millis(SILENCE_MS);
                self.pool.note_silence(&ticket(sequence), silence, now)
            }
            Event::Voice(sequence) => self.pool.note_voice(&ticket(sequence), now),
            Event::FirstToken(sequence) => self.pool.note_first_token(&ticket(sequence), now),
            Event::End(sequence, end) => self.pool.finish(&ticket(sequence), end, now),
            Event::Wait(ms) => {
                self.now += Duration::from_millis(ms);
                self.pool.tick(self.now)
            }
            Event::Unheard(sequences) => {
                let unheard = self.pool.take_unheard();
                let mut told: Vec<_> = unheard
                    .iter()
                    .map(|unheard| unheard.ticket.sequence)
                    .collect();
                told.sort_unstable();
                assert_eq!(told, sequences, "{case}: {event:?}");
                return;
            }
            Event::Is(server, state) => {
                let dump = self.pool.dump(now);
                let seen = &dump.servers[usize::from(server)].state;
                assert_eq!(seen, state, "{case}: {event:?}");
                return;
            }
            Event::State(stalled, free) => {
                let seen = (self.pool.stalled_count(), self.pool.free_slots(now));
                assert_eq!(seen, (stalled, free), "{case}: {event:?}");
                return;
            }
        };
        self.record(actions);
    }
}

fn check(cases: &[Case]) {
    for case in cases {
        let mut play = Play::new(case.servers);
        for event in case.events {
            play.play(*event, case.name);
        }
    }
}

/// Guards against requests that are sent to a server that stands still while another one has room, and against slots that
/// are given twice.
#[test]
fn a_server_that_stands_still_is_avoided() {
    use Event::{
        Avoid, Early, End as Ended, FirstToken, Granted, Is, Long, Offer, Silence, State, Voice,
        Wait,
    };
    check(&[
        Case {
            name: "another server has room",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                State(1, 2),
                Offer(2, Some(1)),
                Offer(3, Some(1)),
                State(1, 0),
            ],
        },
        Case {
            name: "another server has room, and has more to read first than the silence is long so far",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Long(2, Some(1)),
                Wait(SILENCE_MS),
                Silence(1),
                Early(3, Some(1)),
            ],
        },
        Case {
            name: "no other server has room, so it is used last",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Offer(2, Some(1)),
                Offer(3, Some(1)),
                Offer(4, Some(0)),
                Offer(5, None),
            ],
        },
        Case {
            name: "the slots of requests that were overtaken stay taken until it speaks",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(1)),
                Offer(3, Some(0)),
                Offer(4, Some(1)),
                Wait(SILENCE_MS),
                Silence(1),
                Silence(3),
                State(1, 0),
                Ended(1, End::Overtaken),
                Offer(5, None),
                Voice(3),
                Granted(5, 0),
                State(0, 0),
            ],
        },
        Case {
            name: "so do those of requests whose callers have left",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Ended(2, End::Unused),
                Offer(3, None),
                Voice(1),
                Granted(3, 0),
            ],
        },
        Case {
            name: "a place is sought because it is silent, and it is not the place",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Avoid(2, 0, None),
                FirstToken(1),
                Granted(2, 0),
            ],
        },
        Case {
            name: "a request takes as long at another server, so that its silence says nothing",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Offer(2, Some(1)),
                Wait(SILENCE_MS),
                Silence(2),
                State(2, 0),
                Ended(1, End::Whole),
                Ended(2, End::Outrun),
                State(0, 4),
                Is(0, "live"),
                Is(1, "live"),
            ],
        },
        Case {
            name: "a request takes so long at another server that both are down",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Offer(2, Some(1)),
                Wait(SILENCE_MS),
                Silence(2),
                Wait(5_000),
                Ended(1, End::Whole),
                Ended(2, End::Outrun),
                State(0, 4),
                Is(0, "live"),
                Is(1, "live"),
            ],
        },
        Case {
            name: "another request is silent at a server that was outrun",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(1)),
                Offer(3, Some(0)),
                Offer(4, Some(1)),
                Wait(SILENCE_MS),
                Silence(2),
                Silence(4),
                State(1, 0),
                Ended(1, End::Whole),
                Ended(2, End::Outrun),
                State(1, 1),
            ],
        },
        Case {
            name: "it serves again from its first byte",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                State(1, 2),
                Voice(1),
                State(0, 3),
            ],
        },
        Case {
            name: "a silence on one of two, and the other is full of work",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(1)),
                Wait(SILENCE_MS),
                FirstToken(2),
                Silence(1),
                State(1, 1),
                Ended(1, End::Whole),
                State(0, 3),
            ],
        },
    ]);
}

/// Guards against silences that end being taken for failures, and against a server that is gone being waited for.
#[test]
fn a_silence_that_ends_is_no_failure() {
    use Event::{
        End as Ended, FirstToken, Granted, Is, Offer, Silence, State, Unhurried, Voice, Wait,
    };
    check(&[
        Case {
            name: "many silences that end",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Voice(1),
                Wait(SILENCE_MS),
                Silence(1),
                Voice(1),
                Wait(SILENCE_MS),
                Silence(1),
                Voice(1),
                Wait(SILENCE_MS),
                Silence(1),
                Ended(1, End::Whole),
                State(0, 2),
            ],
        },
        Case {
            name: "all that ran there was overtaken, which was one request, so it is tried at once with another",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Ended(1, End::Overtaken),
                Is(0, "trial"),
                State(0, 2),
                Offer(2, Some(0)),
                Offer(3, Some(1)),
                Offer(4, Some(1)),
                Offer(5, None),
                FirstToken(2),
                Granted(5, 0),
                State(0, 0),
            ],
        },
        Case {
            name: "a server that is silent for long is down, and live from its first byte",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Wait(3_000),
                Offer(2, Some(1)),
                Offer(3, Some(1)),
                Offer(4, None),
                Voice(1),
                Granted(4, 0),
                State(0, 0),
            ],
        },
        Case {
            name: "its answers may take longer and be on time",
            servers: 1,
            events: &[
                Unhurried(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Wait(9_000),
                Unhurried(2, Some(0)),
                Wait(SILENCE_MS),
                Silence(2),
                Wait(1_000),
                Offer(3, None),
                FirstToken(2),
                State(0, 0),
            ],
        },
        Case {
            name: "one stream that is not silent shows that it may have gone on",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(1)),
                Offer(3, Some(0)),
                FirstToken(3),
                Wait(SILENCE_MS),
                Silence(1),
                Wait(4_000),
                Offer(4, Some(1)),
                Is(0, "live"),
                Silence(3),
                Is(0, "down"),
                Voice(3),
                Is(0, "live"),
                State(0, 0),
            ],
        },
        Case {
            name: "a server that stays silent on its trial is down again",
            servers: 2,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(1)),
                Offer(3, Some(0)),
                Offer(4, Some(1)),
                Wait(SILENCE_MS),
                Silence(1),
                Silence(3),
                FirstToken(2),
                FirstToken(4),
                Ended(1, End::Overtaken),
                Ended(3, End::Overtaken),
                Offer(5, None),
                Offer(6, None),
                Wait(750),
                Granted(5, 0),
                Wait(SILENCE_MS),
                Silence(5),
                Ended(5, End::Overtaken),
                Wait(750),
                Offer(7, None),
                Wait(750),
                Granted(6, 0),
            ],
        },
        Case {
            name: "requests that hang from before do not hold up the trial",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Wait(3_000),
                Offer(2, None),
                Offer(3, None),
                Wait(750),
                Granted(2, 0),
                FirstToken(2),
                State(0, 0),
            ],
        },
    ]);
}

/// Guards against one holder's silent path, or one request that hangs, being taken for a silent server.
#[test]
fn the_holder_of_a_silent_path_is_told() {
    use Event::{FirstToken, Offer, Silence, State, Unheard, Voice, Wait};
    check(&[
        Case {
            name: "others hear the server all the time",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Wait(SILENCE_MS),
                Offer(2, Some(0)),
                FirstToken(2),
                Silence(1),
                State(0, 0),
                Unheard(&[]),
                Voice(2),
                Unheard(&[1]),
                Voice(2),
                Unheard(&[]),
            ],
        },
        Case {
            name: "nobody hears it",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Silence(2),
                Wait(1_000),
                Unheard(&[]),
            ],
        },
        Case {
            name: "it goes on, and has answered one request but not yet the other",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Silence(2),
                Wait(1_000),
                Voice(2),
                Unheard(&[]),
                Voice(1),
                Wait(1_000),
                Voice(2),
                Unheard(&[]),
            ],
        },
        Case {
            name: "it goes on for one request only",
            servers: 1,
            events: &[
                Offer(1, Some(0)),
                Offer(2, Some(0)),
                Wait(SILENCE_MS),
                Silence(1),
                Silence(2),
                Voice(2),
                Wait(SILENCE_MS),
                Voice(2),
                Unheard(&[1]),
            ],
        },
    ]);
}

/// Guards against requests of a holder whose path is silent filling all slots, so that no other holder can show that the server
/// answers.
#[test]
fn the_last_slot_is_not_for_a_holder_whose_requests_are_overtaken() {
    struct Case {
        name: &'static str,
        /// Milliseconds between the first requests and the one of the other holder that is answered.
        later_ms: u64,
        /// Whether the first holder gets the last slot.
        is_granted: bool,
    }
    let cases = [
        Case {
            name: "overtaken by a request that was sent well after its own",
            later_ms: 200,
            is_granted: false,
        },
        Case {
            name: "overtaken by one that was sent at nearly the same time",
            later_ms: 20,
            is_granted: true,
        },
    ];
    let of = |holder: &str, sequence: u64, now: Instant| {
        let mut offer = impatient_offer(sequence, 0, now);
        offer.ticket.holder = holder.into();
        offer
    };
    for case in cases {
        let mut now = Instant::now();
        let mut pool = Pool::new("register-model".into(), 1_000);
        pool.set_servers(&[spec(0, 3)], now);
        for sequence in [1, 2] {
            let actions = pool.offer(of("cut", sequence, now), now);
            assert!(granted_server(&actions).is_some(), "{}", case.name);
        }
        now += Duration::from_millis(case.later_ms);
        let other = of("other", 3, now);
        let actions = pool.offer(other.clone(), now);
        assert!(granted_server(&actions).is_some(), "{}", case.name);
        pool.note_first_token(&other.ticket, now);
        pool.finish(&other.ticket, End::Whole, now);
        let actions = pool.offer(of("cut", 4, now), now);
        let is_granted = granted_server(&actions).is_some();
        assert_eq!(is_granted, case.is_granted, "{}", case.name);
        if !is_granted {
            let actions = pool.offer(of("other", 5, now), now);
            assert!(granted_server(&actions).is_some(), "{}", case.name);
        }
    }
}
