//! Tests of the quarantine with requests that share parts of their prompts.

use std::time::Duration;

use Step::{Answered, Began, Ended, EndedElsewhere, Released};

use super::{Access, Bounds, End, Feature, Features, Quarantine, Subject, of_request};
use crate::state::clock::Instant;
use crate::state::fingerprint::{Fingerprint, Identity};

const BOUNDS: Bounds = Bounds {
    ends: Some(3),
    retention: Duration::from_secs(600),
};
const SERVERS: usize = 18;
/// Time from when a request is sent to the end of its server.
const RUN_MS: u64 = 10;

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&Identity {
        account: Some("rangers"),
        method: "POST",
        host: "leases.example",
        target: "/stream/",
        body: body.as_bytes(),
    })
}

/// The features of a request with a body of its own; its prompt has the given parts and one of its own.
fn request(body: &str, parts: &str) -> Features {
    of_request(fingerprint(body), Some(&format!("{parts},{body}:250")))
}

fn subject() -> Subject {
    Subject {
        account: Some("rangers".into()),
        path: "/stream/".into(),
        part: None,
    }
}

/// An event in the history of a pool; times are in milliseconds.
enum Step {
    /// A server ended while it ran requests, each with its body and the shared parts of its prompt.
    Ended(u64, &'static str, &'static [(&'static str, &'static str)]),
    /// Servers of another pool ended, this many of them.
    EndedElsewhere(u64, u32),
    /// A request was answered whole.
    Answered(u64, &'static str, &'static str),
    /// What ends from now on was sent at this time, rather than `RUN_MS` before.
    Began(u64),
    /// An operator released a part.
    Released(u64, &'static str),
}

/// A history, and what is quarantined after it.
struct Case {
    name: &'static str,
    steps: &'static [Step],
    at: u64,
    kept: &'static [&'static str],
    free: &'static [&'static str],
    /// Whether a new request with the first part that is free runs alone.
    is_alone: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "four requests with one part, one after the other",
        steps: &[
            Ended(100, "a", &[("1", "a1:8,dead:6")]),
            Answered(200, "2", "a1:8"),
            Ended(400, "b", &[("3", "a1:8,dead:6")]),
            Answered(500, "4", "a1:8"),
            Ended(700, "c", &[("5", "a1:8,dead:6")]),
            Ended(900, "d", &[("6", "a1:8,dead:6")]),
        ],
        at: 900,
        kept: &["dead"],
        free: &["a1"],
        is_alone: false,
    },
    Case {
        name: "the first part is the harmful one, and all its requests share another",
        steps: &[
            Ended(100, "a", &[("1", "dead:6,a1:8")]),
            Answered(200, "2", "a1:8"),
            Ended(400, "b", &[("3", "dead:6,a1:8")]),
            Answered(500, "4", "a1:8"),
            Ended(700, "c", &[("5", "dead:6,a1:8")]),
            Answered(800, "6", "a1:8"),
            Ended(900, "d", &[("7", "dead:6,a1:8")]),
        ],
        at: 900,
        kept: &["dead"],
        free: &["a1"],
        is_alone: false,
    },
    Case {
        name: "no answer tells the parts apart, so only both together are kept",
        steps: &[
            Ended(100, "a", &[("1", "a1:8,dead:6")]),
            Ended(400, "b", &[("2", "a1:8,dead:6")]),
            Ended(700, "c", &[("3", "a1:8,dead:6")]),
            Ended(900, "d", &[("4", "a1:8,dead:6")]),
        ],
        at: 900,
        kept: &["a1:8,dead"],
        free: &["a1", "dead"],
        is_alone: false,
    },
    Case {
        name: "one request that is sent again and again",
        steps: &[
            Ended(100, "a", &[("1", "a1:8,b2:6")]),
            Ended(400, "b", &[("1", "a1:8,b2:6")]),
            Ended(700, "c", &[("1", "a1:8,b2:6")]),
            Ended(900, "d", &[("1", "a1:8,b2:6")]),
        ],
        at: 700,
        kept: &[],
        free: &["a1", "b2"],
        is_alone: false,
    },
    Case {
        name: "one end that eight requests report",
        steps: &[Ended(
            100,
            "a",
            &[
                ("1", "a1:8"),
                ("2", "a1:8"),
                ("3", "a1:8"),
                ("4", "a1:8"),
                ("5", "a1:8"),
                ("6", "a1:8"),
                ("7", "a1:8"),
                ("8", "a1:8"),
            ],
        )],
        at: 200,
        kept: &[],
        free: &["a1"],
        is_alone: false,
    },
    Case {
        name: "answers of requests without the part",
        steps: &[
            Ended(100, "a", &[("1", "a1:8,dead:6")]),
            Answered(200, "2", "b2:8"),
            Ended(400, "b", &[("3", "a1:8,dead:6")]),
            Answered(500, "4", "a1:8,b2:8"),
            Ended(700, "c", &[("5", "a1:8,dead:6")]),
            Ended(900, "d", &[("6", "a1:8,dead:6")]),
            Answered(910, "7", "a1:8"),
        ],
        at: 920,
        kept: &["dead"],
        free: &["a1", "b2"],
        is_alone: false,
    },
    Case {
        name: "answered whole in between",
        steps: &[
            Ended(100, "a", &[("1", "a1:8")]),
            Ended(400, "b", &[("2", "a1:8")]),
            Answered(500, "3", "a1:8"),
            Ended(700, "c", &[("4", "a1:8")]),
        ],
        at: 700,
        kept: &[],
        free: &["a1"],
        is_alone: false,
    },
    Case {
        name: "the part is the request's own",
        steps: &[
            Ended(100, "a", &[("dead", "a1:8")]),
            Answered(200, "1", "a1:8"),
            Ended(400, "b", &[("dead", "b2:8")]),
            Ended(700, "c", &[("dead", "c3:8")]),
        ],
        at: 700,
        kept: &[],
        free: &["dead", "a1"],
        is_alone: false,
    },
    Case {
        name: "six at once",
        steps: &[
            Ended(100, "a", &[("1", "dead:6")]),
            Ended(101, "b", &[("2", "dead:6")]),
            Ended(101, "c", &[("3", "dead:6")]),
            Ended(102, "d", &[("4", "dead:6")]),
            Ended(103, "e", &[("5", "dead:6")]),
            Ended(103, "f", &[("6", "dead:6")]),
        ],
        at: 110,
        kept: &[],
        free: &["dead"],
        is_alone: true,
    },
    Case {
        name: "a rack whose servers had run such requests for a while",
        steps: &[
            Began(0),
            Ended(2_000, "a", &[("1", "a1:8")]),
            Ended(2_001, "b", &[("2", "a1:8")]),
            Ended(2_001, "c", &[("3", "a1:8")]),
            Ended(2_002, "d", &[("4", "a1:8")]),
            Ended(2_003, "e", &[("5", "a1:8")]),
        ],
        at: 2_010,
        kept: &[],
        free: &["a1"],
        is_alone: false,
    },
    Case {
        name: "six at once, and three more one after the other",
        steps: &[
            Ended(100, "a", &[("1", "dead:6")]),
            Ended(101, "b", &[("2", "dead:6")]),
            Ended(101, "c", &[("3", "dead:6")]),
            Ended(102, "d", &[("4", "dead:6")]),
            Ended(103, "e", &[("5", "dead:6")]),
            Ended(103, "f", &[("6", "dead:6")]),
            Ended(1_100, "g", &[("7", "dead:6")]),
            Ended(2_100, "h", &[("8", "dead:6")]),
            Ended(3_100, "i", &[("9", "dead:6")]),
        ],
        at: 3_100,
        kept: &["dead"],
        free: &[],
        is_alone: false,
    },
    Case {
        name: "the harmful part beside others than before",
        steps: &[
            Ended(100, "a", &[("1", "a1:8,dead:6")]),
            Ended(400, "b", &[("2", "a1:8,dead:6")]),
            Ended(700, "c", &[("3", "a1:8,dead:6")]),
            Ended(900, "d", &[("4", "a1:8,dead:6")]),
            Ended(1_100, "e", &[("5", "b2:8,dead:6")]),
            Answered(1_200, "6", "b2:8"),
            Ended(1_400, "f", &[("7", "b2:8,dead:6")]),
            Answered(1_500, "8", "b2:8"),
            Ended(1_700, "g", &[("9", "b2:8,dead:6")]),
            Answered(1_800, "10", "b2:8"),
            Ended(1_900, "h", &[("11", "b2:8,dead:6")]),
        ],
        at: 1_900,
        kept: &["dead"],
        free: &["a1", "b2"],
        is_alone: false,
    },
    Case {
        name: "six at once in three rounds, with runs of 150 ms",
        steps: &[
            Began(0),
            Ended(150, "a", &[("1", "dead:6")]),
            Ended(151, "b", &[("2", "dead:6")]),
            Ended(151, "c", &[("3", "dead:6")]),
            Ended(152, "d", &[("4", "dead:6")]),
            Ended(153, "e", &[("5", "dead:6")]),
            Ended(153, "f", &[("6", "dead:6")]),
            Began(1_000),
            Ended(1_150, "g", &[("7", "dead:6")]),
            Ended(1_151, "h", &[("8", "dead:6")]),
            Ended(1_152, "i", &[("9", "dead:6")]),
            Began(2_000),
            Ended(2_150, "j", &[("10", "dead:6")]),
            Ended(2_151, "k", &[("11", "dead:6")]),
        ],
        at: 2_200,
        kept: &["dead"],
        free: &[],
        is_alone: false,
    },
    Case {
        name: "released, and still harmful",
        steps: &[
            Ended(100, "a", &[("1", "dead:6")]),
            Ended(400, "b", &[("2", "dead:6")]),
            Ended(700, "c", &[("3", "dead:6")]),
            Ended(900, "d", &[("4", "dead:6")]),
            Released(60_000, "dead"),
            Ended(70_000, "d", &[("5", "dead:6")]),
        ],
        at: 70_000,
        kept: &["dead"],
        free: &[],
        is_alone: false,
    },
    Case {
        name: "released, and not tried yet",
        steps: &[
            Ended(100, "a", &[("1", "dead:6")]),
            Ended(400, "b", &[("2", "dead:6")]),
            Ended(700, "c", &[("3", "dead:6")]),
            Ended(900, "d", &[("4", "dead:6")]),
            Released(60_000, "dead"),
        ],
        at: 70_000,
        kept: &[],
        free: &["dead"],
        is_alone: true,
    },
    Case {
        name: "released, and harmless by now",
        steps: &[
            Ended(100, "a", &[("1", "dead:6")]),
            Ended(400, "b", &[("2", "dead:6")]),
            Ended(700, "c", &[("3", "dead:6")]),
            Ended(900, "d", &[("4", "dead:6")]),
            Released(60_000, "dead"),
            Answered(61_000, "5", "dead:6"),
            Ended(70_000, "d", &[("6", "dead:6")]),
        ],
        at: 70_000,
        kept: &[],
        free: &["dead"],
        is_alone: false,
    },
    Case {
        name: "the quarantine has expired",
        steps: &[
            Ended(100, "a", &[("1", "dead:6")]),
            Ended(400, "b", &[("2", "dead:6")]),
            Ended(700, "c", &[("3", "dead:6")]),
            Ended(900, "d", &[("4", "dead:6")]),
        ],
        at: 601_000,
        kept: &[],
        free: &["dead"],
        is_alone: true,
    },
    Case {
        name: "expired, and still harmful",
        steps: &[
            Ended(100, "a", &[("1", "dead:6")]),
            Ended(400, "b", &[("2", "dead:6")]),
            Ended(700, "c", &[("3", "dead:6")]),
            Ended(900, "d", &[("4", "dead:6")]),
            Ended(700_000, "a", &[("5", "dead:6")]),
        ],
        at: 700_000,
        kept: &["dead"],
        free: &[],
        is_alone: false,
    },
    Case {
        name: "a neighbour at the ends of a part that is quarantined",
        steps: &[
            Ended(100, "a", &[("1", "dead:6"), ("2", "b2:8")]),
            Ended(400, "b", &[("3", "dead:6"), ("4", "b2:8")]),
            Ended(700, "c", &[("5", "dead:6"), ("6", "b2:8")]),
            Ended(800, "d", &[("7", "dead:6"), ("8", "b2:8")]),
            Ended(900, "e", &[("9", "b2:8"), ("10", "dead:6")]),
            Ended(990, "f", &[("11", "dead:6"), ("12", "b2:8")]),
        ],
        at: 990,
        kept: &["dead"],
        free: &["b2"],
        is_alone: false,
    },
    Case {
        name: "sound requests at the same servers are reported first, before any was answered",
        steps: &[
            Ended(100, "a", &[("1", "a1:8,b2:6"), ("2", "a1:8,dead:6,b2:6")]),
            Ended(150, "b", &[("3", "a1:8,b2:6"), ("4", "a1:8,dead:6,b2:6")]),
            Ended(200, "c", &[("5", "a1:8,b2:6"), ("6", "a1:8,dead:6,b2:6")]),
            Ended(250, "d", &[("7", "a1:8,b2:6"), ("8", "a1:8,dead:6,b2:6")]),
        ],
        at: 250,
        kept: &["a1:8,dead:6,b2"],
        free: &["a1:8,b2"],
        is_alone: false,
    },
    Case {
        name: "sound requests are reported first, and one harmful request is sent again and again",
        steps: &[
            Ended(100, "a", &[("1", "a1:8,b2:6"), ("2", "a1:8,b2:6")]),
            Ended(150, "b", &[("3", "a1:8,b2:6"), ("2", "a1:8,b2:6")]),
            Ended(200, "c", &[("5", "a1:8,b2:6"), ("2", "a1:8,b2:6")]),
        ],
        at: 200,
        kept: &[],
        free: &["a1:8,b2", "a1"],
        is_alone: false,
    },
    Case {
        name: "many servers of another pool end, and runs are not very short",
        steps: &[
            Began(60),
            Ended(100, "a", &[("1", "dead:6")]),
            EndedElsewhere(300, 100),
            Began(360),
            Ended(400, "b", &[("2", "dead:6")]),
            Began(660),
            Ended(700, "c", &[("3", "dead:6")]),
            Began(860),
            Ended(900, "d", &[("4", "dead:6")]),
        ],
        at: 900,
        kept: &["dead"],
        free: &["a1"],
        is_alone: false,
    },
    Case {
        name: "its requests wait in each server's queue for half a second",
        steps: &[
            Began(500),
            Ended(1_000, "a", &[("1", "dead:6")]),
            Began(1_500),
            Ended(2_000, "b", &[("2", "dead:6")]),
            Began(2_500),
            Ended(3_000, "c", &[("3", "dead:6")]),
            Began(3_500),
            Ended(4_000, "d", &[("4", "dead:6")]),
            Began(4_500),
            Ended(5_000, "e", &[("5", "dead:6")]),
        ],
        at: 5_000,
        kept: &["dead"],
        free: &["a1"],
        is_alone: false,
    },
];

fn play(case: &Case, start: Instant) -> Quarantine {
    let at = |ms| start + Duration::from_millis(ms);
    let mut quarantine = Quarantine::new(BOUNDS);
    let (mut id, mut sent_at) = (0, None);
    let end = |id, ms, server: &str, body: &str, sent| End {
        id,
        pool: "leases".into(),
        server: server.into(),
        request: fingerprint(body),
        sent: at(sent),
        ended: at(ms),
    };
    for step in case.steps {
        match *step {
            Ended(ms, server, requests) => {
                quarantine.sweep(at(ms));
                for (body, parts) in requests {
                    id += 1;
                    let end = end(id, ms, server, body, sent_at.unwrap_or(ms - RUN_MS));
                    let features = request(body, parts);
                    quarantine.ended(&features, &subject(), &end, SERVERS, at(ms));
                }
            }
            EndedElsewhere(ms, count) => {
                for number in 0..count {
                    id += 1;
                    let (server, body) = (format!("other-{number}"), format!("other {number}"));
                    let end = End {
                        pool: "other".into(),
                        ..end(id, ms, &server, &body, ms - RUN_MS)
                    };
                    let features = of_request(end.request, None);
                    quarantine.ended(&features, &subject(), &end, SERVERS, at(ms));
                }
            }
            Answered(ms, body, parts) => {
                quarantine.answered(&request(body, parts), |_| true, at(ms));
            }
            Began(ms) => sent_at = Some(ms),
            Released(ms, part) => {
                quarantine.release(&Fingerprint::of_part(part), at(ms));
            }
        }
    }
    quarantine
}

#[test]
fn the_narrowest_part_that_explains_the_ends_is_quarantined() {
    for case in CASES {
        let start = Instant::now();
        let quarantine = play(case, start);
        let now = start + Duration::from_millis(case.at);
        let access = |part: &str| quarantine.access(&request("new", &format!("{part}:6")), now);
        for part in case.kept {
            let narrowest = part.rsplit(',').next().unwrap_or(part);
            let kept = Access::Kept(Fingerprint::of_part(narrowest));
            assert_eq!(access(part), kept, "{}: {part}", case.name);
        }
        for part in case.free {
            let is_kept = matches!(access(part), Access::Kept(_));
            assert!(!is_kept, "{}: {part}", case.name);
        }
        let is_alone = case
            .free
            .first()
            .is_some_and(|part| access(part) == Access::OneAtATime);
        assert_eq!(is_alone, case.is_alone, "{}", case.name);
    }
}

#[test]
fn features_are_what_requests_may_share() {
    struct Prompt {
        text: Option<&'static str>,
        parts: &'static [&'static str],
    }
    let long = format!("{},own:1", "x".repeat(200));
    let cases = [
        Prompt {
            text: None,
            parts: &[],
        },
        Prompt {
            text: Some("own:250"),
            parts: &[],
        },
        Prompt {
            text: Some("a1:80,b2:40,own:250"),
            parts: &["b2", "a1"],
        },
        Prompt {
            text: Some(" a1:80 , b2:40,own:250"),
            parts: &["b2", "a1"],
        },
        Prompt {
            text: Some("a1:80,a1:40,a1:250"),
            parts: &["a1"],
        },
        Prompt {
            text: Some(",:,a1,,b2:::,"),
            parts: &["b2", "a1"],
        },
    ];
    for case in &cases {
        let features = of_request(fingerprint("asked"), case.text);
        let parts: Vec<&str> = features[1..]
            .iter()
            .filter_map(|feature| feature.part.as_deref())
            .collect();
        assert_eq!(parts, case.parts, "{:?}", case.text);
        assert_eq!(features[0].part, None, "{:?}", case.text);
    }
    let shown = |feature: &Feature| feature.part.as_deref().map_or(0, str::len);
    assert_eq!(shown(&of_request(fingerprint("asked"), Some(&long))[1]), 64);
    let many: Vec<String> = (0..500).map(|part| format!("{part:x}:1")).collect();
    let features = of_request(fingerprint("asked"), Some(&many.join(",")));
    assert_eq!(features.len(), 1 + 64);
}
