//! The budget of repeats, with time as an argument.
//!
//! Seen: on a small site a service got more repeats than its budget in some window, on a day that is not
//! known. The cause was found in the record: a host counts in tenths of the window and forgot a tenth as
//! soon as its beginning was a window old, so that what was spent at its end could be spent again after
//! nine tenths of a window. The test that stood here from the first day judged nine tenths only. Proved by
//! the same test over the whole window, which fails on each run of that code.

use std::time::{Duration, Instant};

use cypressvane::budget::{Bounds, Budget};
use quickcheck::QuickCheck;

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    spare: 3.0,
    window: Duration::from_secs(10),
};

/// Unit of the pauses between moves.
const STEP: Duration = Duration::from_millis(20);

/// Whether no window has more repeats than allowed; a move is a request or a wish to repeat one, after a
/// pause.
fn is_kept(moves: &[(bool, u8)]) -> bool {
    let service = "desk".into();
    let mut now = Instant::now();
    let mut budget = Budget::default();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    moves.iter().all(|(is_request, pause)| {
        now += STEP * u32::from(*pause);
        if *is_request {
            budget.request(&service, &BOUNDS, now);
            requests.push(now);
            return true;
        }
        if !budget.repeat(&service, &BOUNDS, now) {
            return true;
        }
        // The requests that allow a repeat are those of the window that ends with it.
        repeats.push(now);
        let within = |moments: &[Instant]| {
            let recent = moments
                .iter()
                .filter(|at| now.duration_since(**at) < BOUNDS.window);
            u32::try_from(recent.count()).map_or(f64::INFINITY, f64::from)
        };
        within(&repeats) <= within(&requests) * BOUNDS.ratio + BOUNDS.spare
    })
}

#[test]
fn repeats_stay_within_the_budget_of_any_window() {
    // Moves with which it was not kept.
    let found: [&[(bool, u8)]; 2] = [
        &[
            (true, 0),
            (false, 23),
            (false, 184),
            (false, 127),
            (false, 166),
        ],
        &[
            (true, 0),
            (false, 5),
            (false, 73),
            (false, 222),
            (false, 199),
            (false, 1),
        ],
    ];
    for moves in found {
        assert!(is_kept(moves), "{moves:?}");
    }
    fn property(moves: Vec<(bool, u8)>) -> bool {
        is_kept(&moves)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(bool, u8)>) -> bool);
}
