//! Tests which version a stream is taken for.
//!
//! Guards against streams with events of two versions: a host that did not know which version had begun a stream sent it
//! to any.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Evidence, GROUPS, Id, RECORDS_MAX, Records, Report, Verdict, Version};
use crate::state::clock::Instant;
use crate::state::name::Name;

const RETENTION: Duration = Duration::from_secs(30);

fn version(name: &str) -> Name {
    name.into()
}

fn versions(names: &[&str]) -> BTreeSet<Version> {
    names.iter().map(|name| Some(version(name))).collect()
}

/// A host's report; a host that has seen the list for `seconds`.
fn report(recorded: Option<&str>, recent: &[&str], seconds: u64) -> Report {
    Report {
        version: recorded.map(|name| Some(version(name))),
        is_conflicting: false,
        recent: versions(recent),
        span: Duration::from_secs(seconds),
        is_current: false,
        stored: None,
        is_reading: false,
    }
}

fn goes_on_at(name: &str) -> Verdict {
    Verdict::Version(Some(version(name)))
}

struct Case {
    name: &'static str,
    reports: Vec<Report>,
    asked: usize,
    is_current: bool,
    stored: Option<&'static [&'static str]>,
    verdict: Verdict,
}

/// The hosts have records of the stream.
fn recorded_cases() -> Vec<Case> {
    vec![
        Case {
            name: "this host has a record",
            reports: vec![report(Some("v1"), &["v1", "v2"], 60)],
            asked: 0,
            is_current: false,
            stored: None,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "another host has a record, and this one has just started",
            reports: vec![
                report(None, &["v1", "v2"], 1),
                report(Some("v1"), &["v1", "v2"], 60),
            ],
            asked: 2,
            is_current: true,
            stored: None,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "two hosts have records of two versions",
            reports: vec![
                report(Some("v2"), &["v1", "v2"], 60),
                report(Some("v1"), &["v1", "v2"], 60),
            ],
            asked: 2,
            is_current: true,
            stored: None,
            verdict: Verdict::Unknown,
        },
        Case {
            name: "no host answers one that may be cut off and has a record",
            reports: vec![report(Some("v1"), &["v1"], 60)],
            asked: 2,
            is_current: false,
            stored: None,
            verdict: goes_on_at("v1"),
        },
    ]
}

/// No host has a record, and some have seen the list for long.
fn unrecorded_cases() -> Vec<Case> {
    vec![
        Case {
            name: "no record, two versions",
            reports: vec![report(None, &["v1", "v2"], 60), report(None, &["v1"], 60)],
            asked: 2,
            is_current: true,
            stored: None,
            verdict: Verdict::Unknown,
        },
        Case {
            name: "no record, one version for as long as streams live",
            reports: vec![report(None, &["v1"], 2), report(None, &["v1"], 30)],
            asked: 2,
            is_current: false,
            stored: None,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "another host has seen another version",
            reports: vec![report(None, &["v1"], 60), report(None, &["v1", "v2"], 60)],
            asked: 2,
            is_current: true,
            stored: None,
            verdict: Verdict::Unknown,
        },
        Case {
            name: "no host answers, and this one may be cut off",
            reports: vec![report(None, &["v1"], 60)],
            asked: 2,
            is_current: false,
            stored: None,
            verdict: Verdict::Unanswered,
        },
        Case {
            name: "no host answers, and this one is not cut off",
            reports: vec![report(None, &["v1"], 60)],
            asked: 2,
            is_current: true,
            stored: None,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "the only host",
            reports: vec![report(None, &["v1"], 60)],
            asked: 0,
            is_current: false,
            stored: None,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "no server has been seen",
            reports: vec![report(None, &[], 60)],
            asked: 0,
            is_current: true,
            stored: None,
            verdict: Verdict::Unknown,
        },
    ]
}

/// No host has a record, and all have just started.
fn restarted_cases() -> Vec<Case> {
    vec![
        Case {
            name: "all hosts have just started",
            reports: vec![report(None, &["v1"], 1), report(None, &["v1"], 2)],
            asked: 1,
            is_current: true,
            stored: None,
            verdict: Verdict::Unconfirmed,
        },
        Case {
            name: "all hosts have just started, the same version was stored",
            reports: vec![report(None, &["v1"], 1)],
            asked: 0,
            is_current: true,
            stored: Some(&["v1"]),
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "all hosts have just started, another version was stored",
            reports: vec![report(None, &["v2"], 1)],
            asked: 0,
            is_current: true,
            stored: Some(&["v1"]),
            verdict: Verdict::Unknown,
        },
        Case {
            name: "all hosts have just started, for the first time",
            reports: vec![report(None, &["v1"], 1)],
            asked: 0,
            is_current: true,
            stored: Some(&[]),
            verdict: goes_on_at("v1"),
        },
    ]
}

/// The reports, of which the first is of the host that asks.
fn with_own(mut reports: Vec<Report>, is_current: bool) -> Vec<Report> {
    reports[0].is_current = is_current;
    reports
}

/// Guards against streams that go on at another version at a host that was cut off while the version came: after a while it
/// counts itself alone, and no longer notices that nobody answers.
#[test]
fn hosts_that_may_be_cut_off_conclude_only_from_what_they_read() {
    struct Case {
        name: &'static str,
        /// Whether each host is current; all have seen one version for long.
        hosts: &'static [bool],
        asked: usize,
        hears_most: bool,
        stored: Option<&'static [&'static str]>,
        verdict: Verdict,
    }
    let cases = [
        Case {
            name: "a host that counts itself alone",
            hosts: &[false],
            asked: 0,
            hears_most: false,
            stored: None,
            verdict: Verdict::Unanswered,
        },
        Case {
            name: "the same, and it reads that there was no other version",
            hosts: &[false],
            asked: 0,
            hears_most: false,
            stored: Some(&["v1"]),
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "the same, and it reads that there was another one",
            hosts: &[false],
            asked: 0,
            hears_most: false,
            stored: Some(&["v1", "v2"]),
            verdict: Verdict::Unknown,
        },
        Case {
            name: "two hosts that are cut off together",
            hosts: &[false, false],
            asked: 1,
            hears_most: false,
            stored: None,
            verdict: Verdict::Unanswered,
        },
        Case {
            name: "a host that hears one that is not cut off",
            hosts: &[false, true],
            asked: 1,
            hears_most: false,
            stored: None,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "most hosts, while the platform is away",
            hosts: &[false, false],
            asked: 1,
            hears_most: true,
            stored: None,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "a host that hears most others, and none answers",
            hosts: &[false],
            asked: 2,
            hears_most: true,
            stored: None,
            verdict: Verdict::Unanswered,
        },
        Case {
            name: "the only host",
            hosts: &[false],
            asked: 0,
            hears_most: true,
            stored: None,
            verdict: goes_on_at("v1"),
        },
    ];
    for case in cases {
        let reports = case.hosts.iter().map(|is_current| Report {
            is_current: *is_current,
            ..report(None, &["v1"], 60)
        });
        let evidence = Evidence {
            reports: reports.collect(),
            asked: case.asked,
            hears_most: case.hears_most,
            stored: case.stored.map(versions),
        };
        assert_eq!(evidence.decide(RETENTION), case.verdict, "{}", case.name);
    }
}

#[test]
fn stream_goes_on_only_at_a_version_that_is_known_to_have_begun_it() {
    let cases = [recorded_cases(), unrecorded_cases(), restarted_cases()];
    for case in cases.into_iter().flatten() {
        let evidence = Evidence {
            reports: with_own(case.reports, case.is_current),
            asked: case.asked,
            hears_most: true,
            stored: case.stored.map(versions),
        };
        let verdict = evidence.decide(RETENTION);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

/// What a host read when it started may be older than a version that came since.
#[test]
fn what_was_stored_when_hosts_started_counts_beside_what_others_have_seen() {
    struct Case {
        name: &'static str,
        /// What each host has seen, and what was stored when it started.
        hosts: &'static [(&'static [&'static str], Option<&'static [&'static str]>)],
        asked: usize,
        is_current: bool,
        verdict: Verdict,
    }
    let cases = [
        Case {
            name: "the only host",
            hosts: &[(&["v1"], Some(&["v1"]))],
            asked: 0,
            is_current: true,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "a host that is cut off, and takes itself for the only one",
            hosts: &[(&["v1"], Some(&["v1"]))],
            asked: 0,
            is_current: false,
            verdict: Verdict::Unconfirmed,
        },
        Case {
            name: "no other host answers",
            hosts: &[(&["v1"], Some(&["v1"]))],
            asked: 2,
            is_current: true,
            verdict: Verdict::Unconfirmed,
        },
        Case {
            name: "another host answers",
            hosts: &[(&["v1"], None), (&["v1"], Some(&["v1"]))],
            asked: 2,
            is_current: true,
            verdict: goes_on_at("v1"),
        },
        Case {
            name: "another host knows that there was another version",
            hosts: &[(&["v1"], Some(&["v1"])), (&["v1"], Some(&["v1", "v2"]))],
            asked: 2,
            is_current: true,
            verdict: Verdict::Unknown,
        },
        Case {
            name: "no host knows what was stored",
            hosts: &[(&["v1"], None), (&["v1"], None)],
            asked: 1,
            is_current: true,
            verdict: Verdict::Unconfirmed,
        },
    ];
    for case in cases {
        let reports = case.hosts.iter().map(|(recent, stored)| Report {
            stored: stored.map(versions),
            ..report(None, recent, 1)
        });
        let evidence = Evidence {
            reports: with_own(reports.collect(), case.is_current),
            asked: case.asked,
            hears_most: true,
            stored: None,
        };
        assert_eq!(evidence.decide(RETENTION), case.verdict, "{}", case.name);
    }
}

#[test]
fn ids_differ_by_service_account_and_attempt() {
    let parts = [
        ("desk", Some("rangers"), "a"),
        ("desk", Some("rangers"), "b"),
        ("desk", Some("ranger"), "sa"),
        ("desk", None, "a"),
        ("des", Some("krangers"), "a"),
    ];
    let ids: BTreeSet<Id> = parts
        .iter()
        .map(|(service, account, attempt)| Id::of(service, *account, attempt))
        .collect();
    assert_eq!(ids.len(), parts.len());
    assert!(ids.iter().all(|id| id.group() < GROUPS));
}

#[test]
fn records_are_bounded_in_time_and_number() {
    let start = Instant::now();
    let id = |index: usize| Id::of("desk", None, &index.to_string());
    let mut records = Records::default();
    for index in 0..=RECORDS_MAX {
        records.note(id(index), &Some(version("v1")), RETENTION, start);
    }
    assert_eq!(records.len(), RECORDS_MAX);
    assert_eq!(records.version(&id(0)), None, "the oldest goes first");
    // A stream that is taken up again is remembered from then on.
    let later = start + RETENTION;
    records.note(id(1), &Some(version("v1")), RETENTION, later);
    records.forget_old(RETENTION, later + Duration::from_millis(1));
    assert_eq!(records.version(&id(1)), Some(&Some(version("v1"))));
    assert_eq!(records.len(), 1);
    records.note(id(1), &Some(version("v2")), RETENTION, later);
    assert_eq!(records.version(&id(1)), None, "two versions are recorded");
    assert!(records.is_conflicting(&id(1)));
}
