//! Tests the statuses that callers get.
//!
//! Guards against requests that have run and are answered with a status that says they have not: their callers send them
//! again, although they may run once at most.

use super::{Code, Ran, Reason, Refusal};

/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Codes with each status that a refusal can have.
const CODES: [Code; 12] = [
    Code::BadRequest,
    Code::Unauthorized,
    Code::NotFound,
    Code::SlowRequest,
    Code::Duplicate,
    Code::AccountLimit,
    Code::BackendFailed,
    Code::Overloaded,
    Code::NotReady,
    Code::MemoryFull,
    Code::DeadlinePassed,
    Code::BackendSilent,
];

#[test]
fn only_a_request_that_has_not_run_gets_a_status_that_says_so() {
    for ran in [Ran::No, Ran::Unknown, Ran::Yes] {
        for status in 100..=999 {
            let expected = ran == Ran::No || !PROMISES.contains(&status);
            assert_eq!(ran.allows(status), expected, "{ran:?}, {status}");
        }
        for code in CODES {
            let refusal = Refusal::new(Reason::new(code, "a test"), ran, "id".to_owned());
            let is_promise = PROMISES.contains(&refusal.status());
            assert!(ran == Ran::No || !is_promise, "{ran:?}, {code:?}");
            let has_retry_after = refusal.retry_after_seconds().is_some();
            assert!(ran == Ran::No || !has_retry_after, "{ran:?}, {code:?}");
            if ran == Ran::No {
                assert_eq!(refusal.status(), code.status(), "{code:?}");
            }
        }
    }
}
