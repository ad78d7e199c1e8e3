//! Outages of the platform, from answers to several hosts.
//!
//! Guards against requests to servers that had been removed: one host's failed call counted as an outage of the platform
//! for all hosts, and in an outage servers that vanish from the list are kept.

use std::time::Duration;

use super::Outage;
use crate::state::clock::Instant;

struct Case {
    name: &'static str,
    /// Times of the answers in the order in which they become known, in milliseconds.
    answers_ms: &'static [u64],
    /// When the last outage ended.
    ended_ms: Option<u64>,
}

#[test]
fn only_a_time_in_which_no_host_gets_an_answer_is_an_outage() {
    let cases = [
        Case {
            name: "no answer is known",
            answers_ms: &[],
            ended_ms: None,
        },
        Case {
            name: "the first answer",
            answers_ms: &[9_000],
            ended_ms: None,
        },
        Case {
            name: "answers at the rate at which a few hosts get them",
            answers_ms: &[0, 2_200, 4_400, 6_600],
            ended_ms: None,
        },
        Case {
            name: "an outage",
            answers_ms: &[0, 2_000, 6_500, 8_000],
            ended_ms: Some(6_500),
        },
        Case {
            name: "the later one of two outages",
            answers_ms: &[0, 4_000, 5_000, 11_000],
            ended_ms: Some(11_000),
        },
        Case {
            name: "answers to other hosts, which become known late",
            answers_ms: &[0, 6_000, 2_000, 4_000],
            ended_ms: None,
        },
        Case {
            name: "an answer that becomes known late and leaves an outage after it",
            answers_ms: &[0, 6_000, 1_000],
            ended_ms: Some(6_000),
        },
        Case {
            name: "an answer that becomes known late and leaves an outage before it",
            answers_ms: &[0, 6_000, 5_000],
            ended_ms: Some(5_000),
        },
        Case {
            name: "an answer from before an outage that becomes known late",
            answers_ms: &[2_000, 6_000, 1_000],
            ended_ms: Some(6_000),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut outage = Outage::default();
        for answer in case.answers_ms {
            outage.note_answer(at(*answer));
        }
        assert_eq!(outage.ended(), case.ended_ms.map(at), "{}", case.name);
    }
}
