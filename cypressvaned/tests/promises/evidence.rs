//! Checks of the callers' ledger against the engines'.

use cypressvane_standin::audit::violations;
pub use cypressvane_standin::audit::{Seen, Told, gather, ran, seen, send, whole};

/// Checks every answer against the engines' ledgers.
///
/// # Panics
/// When a request or key reached engines twice, a refusal that says "not run" is untrue, an answer
/// that ended whole is not the caller's own, or an answer is neither whole nor gives a reason.
pub fn check(name: &str, told: &[Told], seen: &Seen) {
    check_ledgers(name, told, seen);
    for answer in told.iter().filter_map(|told| told.result.as_ref().ok()) {
        assert!(
            answer.whole || answer.error.is_some(),
            "{name}: neither answer nor reason"
        );
    }
}

/// The same where the callers' host may have died, so that nobody was left to give a reason.
///
/// # Panics
/// As `check`, but for answers that broke off without a reason.
pub fn check_ledgers(name: &str, told: &[Told], seen: &Seen) {
    let found = violations(told, seen);
    assert!(found.is_empty(), "{name}: {found:?}");
}
