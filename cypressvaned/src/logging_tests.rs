//! Tests of the log rate limit.

use std::time::Duration;

use cypressvane::clock::Instant;
use slog::Logger;

use super::RateLimited;

struct Case {
    name: &'static str,
    /// Milliseconds from the start, whether the line is a warning, whether it passes, and the
    /// number of dropped lines that is reported with it.
    lines: &'static [(u64, bool, bool, Option<u32>)],
}

#[test]
fn lines_over_the_limit_are_dropped_and_counted() {
    let cases = [
        Case {
            name: "a share is reserved for warnings",
            lines: &[
                (0, false, true, None),
                (1, false, true, None),
                (2, false, true, None),
                (3, false, true, None),
                (4, false, false, None),
                (5, true, true, None),
                (6, true, false, None),
            ],
        },
        Case {
            name: "the next second starts at zero and reports the drops",
            lines: &[
                (0, true, true, None),
                (0, true, true, None),
                (0, true, true, None),
                (0, true, true, None),
                (0, true, true, None),
                (0, true, false, None),
                (0, false, false, None),
                (1_000, false, true, Some(2)),
                (1_001, false, true, None),
            ],
        },
    ];
    for case in cases {
        let limiter = RateLimited::new(Logger::root(slog::Discard, slog::o!()), 5);
        let start = Instant::now();
        for (index, (millis, is_warning, passes, dropped)) in case.lines.iter().enumerate() {
            let now = start + Duration::from_millis(*millis);
            let admitted = limiter.admit(*is_warning, now);
            // The first window of the limiter may start slightly before `start`.
            assert_eq!(admitted, (*passes, *dropped), "{}: line {index}", case.name);
        }
    }
}
