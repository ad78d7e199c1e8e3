//! The list of known failures: what CI's judge says of runs of the tests.

use std::fs;
use std::path::Path;
use std::process::Command;

/// A run whose one failure is `site::silent`.
const ONE_RED: &str = "
     Running tests/site.rs (target/debug/deps/site-0123456789abcdef)
test whole ... ok
test silent ... FAILED
test result: FAILED. 1 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.10s
   Doc-tests cypressvane
test result: ok. 0 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s
error: 1 target failed:
    `-p cypressvane_platform --test site`
";

/// A run in which all passed.
const GREEN: &str = "
     Running tests/site.rs (target/debug/deps/site-0123456789abcdef)
test whole ... ok
test silent ... ok
test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.10s
";

/// A run in which a test binary ended before it told its results.
const ABORTED: &str = "
     Running tests/site.rs (target/debug/deps/site-0123456789abcdef)
test whole ... ok
error: test failed, to rerun pass `-p cypressvane_platform --test site`
     Running tests/fleet.rs (target/debug/deps/fleet-0123456789abcdef)
test whole ... ok
test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.10s
error: 1 target failed:
    `-p cypressvane_platform --test site`
";

const LISTED: &str = "site::silent | cargo test --test site, seed 4 | a cause | 21\n";

struct Case {
    name: &'static str,
    log: &'static str,
    /// The exit code of the test command.
    code: &'static str,
    list: &'static str,
    passes: bool,
    says: &'static str,
}

#[test]
fn only_the_listed_tests_may_fail_and_they_must() {
    let four =
        "site::a | c | d | 1\nsite::b | c | d | 1\nsite::silent | c | d | 1\nsite::d | c | d | 1\n";
    let case = |name, log, code, list, passes, says| Case {
        name,
        log,
        code,
        list,
        passes,
        says,
    };
    let cases = [
        case("green", GREEN, "0", "", true, ""),
        case("a failure", ONE_RED, "101", "", false, "not listed"),
        case(
            "a listed one",
            ONE_RED,
            "101",
            LISTED,
            true,
            "failed as listed",
        ),
        case("mended", GREEN, "0", LISTED, false, "must leave the list"),
        case(
            "another one listed",
            ONE_RED,
            "101",
            "site::whole | c | d | 1\n",
            false,
            "not listed, and failed: site::silent",
        ),
        case(
            "not run",
            GREEN,
            "0",
            "site::gone | c | d | 1\n",
            false,
            "did not run",
        ),
        case("aborted", ABORTED, "101", "", false, "1 targets failed"),
        case(
            "aborted, and listed",
            ABORTED,
            "101",
            LISTED,
            false,
            "did not run",
        ),
        case("not built", "", "101", LISTED, false, "no test ran"),
        case("too many", ONE_RED, "101", four, false, "at most 3"),
        case(
            "no issue",
            ONE_RED,
            "101",
            "site::silent | command | cause\n",
            false,
            "not TEST",
        ),
        case(
            "killed at the end",
            GREEN,
            "137",
            "",
            false,
            "exit code 137",
        ),
    ];
    let judge = concat!(env!("CARGO_MANIFEST_DIR"), "/../.ci/judge");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (log, list) = (folder.join("tests.log"), folder.join("known-red.txt"));
    for case in cases {
        fs::write(&log, case.log).expect("the log is written");
        fs::write(&list, case.list).expect("the list is written");
        let judged = Command::new(judge)
            .arg(&log)
            .arg(case.code)
            .arg(&list)
            .output()
            .expect("the judge runs");
        let said = String::from_utf8_lossy(&judged.stdout);
        assert_eq!(
            judged.status.success(),
            case.passes,
            "{}: {said}",
            case.name
        );
        assert!(said.contains(case.says), "{}: {said}", case.name);
    }
}
