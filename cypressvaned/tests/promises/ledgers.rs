//! Checks the answers that callers received against the engines' ledgers.

use cypressvane_standin::audit::violations;
pub use cypressvane_standin::audit::{
    Arrivals, Call, count_arrivals, count_errors, count_whole, join_all, send,
};

/// Checks every answer against the engines' ledgers.
///
/// # Panics
/// If a request or key reached engines twice, a refusal that says "not run" is untrue, a whole
/// answer is not the caller's own, or an answer is neither whole nor an error.
pub fn check(name: &str, outcomes: &[Call], arrivals: &Arrivals) {
    check_ledgers(name, outcomes, arrivals);
    for answer in outcomes
        .iter()
        .filter_map(|outcome| outcome.result.as_ref().ok())
    {
        assert!(
            answer.whole || answer.error.is_some(),
            "{name}: neither a whole answer nor an error"
        );
    }
}

/// Like `check`, but accepts incomplete answers without an error, since a killed host cannot send one.
///
/// # Panics
/// As `check`, except for incomplete answers without an error.
pub fn check_ledgers(name: &str, outcomes: &[Call], arrivals: &Arrivals) {
    let found = violations(outcomes, arrivals);
    assert!(found.is_empty(), "{name}: {found:?}");
}
