//! Guards against a host that waits out its backoff although the platform answers it again.
//!
//! When the platform answered a host again, the host read the host list at once, but the configuration only 3.05 s
//! later, although other hosts had answers all the time. Its wait of up to 3.2 s ended early only when another host
//! confirmed the version that this host had, and a host that is behind has another version. Waits that ignore answers
//! to other calls and to other hosts fail all but the last two cases.

use std::time::Duration;

use super::{LastAnswers, RetryDelay};
use crate::coordination::backoff::Backoff;
use crate::seeded;
use crate::state::clock::Instant;

/// Maximum backoff of a host that does not poll on behalf of others.
const DELAY_MAX_MS: u64 = 3_200;
/// A host whose calls fail while others get answers calls again within this time.
const ONLY_HOST_DELAY_MAX_MS: u64 = 1_000;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn a_wait_ends_early_when_the_platform_is_known_to_answer() {
    struct Case {
        name: &'static str,
        /// Last answer to another host before the wait, in milliseconds before its start.
        elsewhere_before: Option<u64>,
        /// Answer to this host, in milliseconds from the start of the wait.
        here: Option<u64>,
        /// Answer to another host, in milliseconds from the start of the wait.
        elsewhere: Option<u64>,
        /// Resulting length of a wait of 3.2 s, in milliseconds.
        expected_length: u64,
    }
    let cases = [
        Case {
            name: "another call of this host is answered",
            elsewhere_before: None,
            here: Some(200),
            elsewhere: None,
            expected_length: 200,
        },
        Case {
            name: "the platform was unavailable to all, and answers another host",
            elsewhere_before: Some(9_000),
            here: None,
            elsewhere: Some(400),
            expected_length: 400,
        },
        Case {
            name: "the platform answers others all the time",
            elsewhere_before: Some(1_500),
            here: None,
            elsewhere: Some(700),
            expected_length: ONLY_HOST_DELAY_MAX_MS,
        },
        Case {
            name: "the platform answered others until just now",
            elsewhere_before: Some(1_500),
            here: None,
            elsewhere: None,
            expected_length: ONLY_HOST_DELAY_MAX_MS,
        },
        Case {
            name: "the platform is unavailable to all",
            elsewhere_before: Some(9_000),
            here: None,
            elsewhere: None,
            expected_length: DELAY_MAX_MS,
        },
        Case {
            name: "the platform never answered",
            elsewhere_before: None,
            here: None,
            elsewhere: None,
            expected_length: DELAY_MAX_MS,
        },
    ];
    for case in cases {
        let began = Instant::now() + ms(60_000);
        let before = case.elsewhere_before.map(|ago| began - ms(ago));
        let known = LastAnswers {
            here: None,
            elsewhere: before,
        };
        let delay = RetryDelay::begin(ms(DELAY_MAX_MS), known, began);
        let expected_length = (0..=DELAY_MAX_MS).find(|passed| {
            let by_now = |at: Option<u64>| at.filter(|at| at <= passed).map(|at| began + ms(at));
            let known = LastAnswers {
                here: by_now(case.here),
                elsewhere: by_now(case.elsewhere).or(before),
            };
            delay.remaining(known, began + ms(*passed)).is_zero()
        });
        assert_eq!(expected_length, Some(case.expected_length), "{}", case.name);
    }
}

/// However long the calls of a single host have failed, it calls again within a second of the connection's recovery,
/// plus the duration of a call.
#[test]
fn a_host_whose_calls_alone_fail_calls_again_soon_after_recovery() {
    fn holds(call_ms: u64, recovered_ms: u64, reported_every_ms: u64) -> bool {
        let (call_ms, recovered_ms) = (call_ms % 1_500, recovered_ms % 40_000);
        let reported_every_ms = 1 + reported_every_ms % 2_200;
        let start = Instant::now();
        let mut backoff = Backoff::new(ms(100));
        // Start of the next call, in milliseconds.
        let mut call_at = 0;
        while call_at < recovered_ms {
            let failed_at = call_at + call_ms;
            let reported_at = failed_at - failed_at % reported_every_ms;
            let answered = LastAnswers {
                here: None,
                elsewhere: Some(start + ms(reported_at)),
            };
            let delay =
                RetryDelay::begin(backoff.next_delay(false), answered, start + ms(failed_at));
            let left = delay.remaining(answered, start + ms(failed_at));
            call_at = failed_at + u64::try_from(left.as_millis()).expect("a wait is short");
        }
        call_at - recovered_ms <= call_ms + ONLY_HOST_DELAY_MAX_MS
    }
    seeded::quickcheck().quickcheck(holds as fn(u64, u64, u64) -> bool);
}

/// Nothing that a host learns extends a wait beyond its backoff delay.
#[test]
fn a_wait_never_exceeds_its_length() {
    fn holds(
        length_ms: u16,
        passed_ms: u16,
        here_ms: Option<u16>,
        elsewhere_ms: Option<u16>,
    ) -> bool {
        let began = Instant::now();
        let at = |value: u16| began + ms(value.into());
        let delay = RetryDelay::begin(ms(length_ms.into()), LastAnswers::default(), began);
        let answered = LastAnswers {
            here: here_ms.map(at),
            elsewhere: elsewhere_ms.map(at),
        };
        delay.remaining(answered, at(passed_ms)) <= ms(length_ms.saturating_sub(passed_ms).into())
    }
    seeded::quickcheck().quickcheck(holds as fn(u16, u16, Option<u16>, Option<u16>) -> bool);
}
