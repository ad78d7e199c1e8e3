//! How many lines a second pass.

use std::time::Duration;

use cypressvane::clock::Instant;
use slog::Logger;

use super::Bounded;

struct Case {
    name: &'static str,
    /// Milliseconds from the beginning, whether it is a warning, whether it passes, and the lines
    /// that it tells were left out.
    lines: &'static [(u64, bool, bool, Option<u32>)],
}

#[test]
fn lines_beyond_the_bound_are_left_out_and_counted() {
    let cases = [
        Case {
            name: "requests leave room for warnings",
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
            name: "the next second begins anew and tells",
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
        let bounded = Bounded::new(Logger::root(slog::Discard, slog::o!()), 5);
        let start = Instant::now();
        for (index, (millis, is_warning, passes, left_out)) in case.lines.iter().enumerate() {
            let now = start + Duration::from_millis(*millis);
            let admitted = bounded.admit(*is_warning, now);
            // The bound's own beginning may lie a moment before the test's.
            assert_eq!(
                admitted,
                (*passes, *left_out),
                "{}: line {index}",
                case.name
            );
        }
    }
}
