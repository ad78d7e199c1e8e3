use std::collections::BTreeSet;

use super::{Orders, Report, Restore};
use crate::state::name::Name;

/// An observation of one host.
enum Step {
    /// The platform has orders for these data centres at a position, after so many restores.
    Read(u64, u64, &'static [&'static str]),
    /// Another host reports that these data centres are evacuated since a position.
    Report(u64, &'static [&'static str]),
    /// Exactly these data centres are evacuated.
    Expect(&'static [&'static str]),
}

use Step::{Expect, Read, Report as Reported};

fn names(texts: &[&str]) -> BTreeSet<Name> {
    texts.iter().map(|text| Name::from(*text)).collect()
}

#[test]
fn the_newest_observation_applies() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
    }
    let cases = [
        Case {
            name: "an order is read, then withdrawn",
            steps: &[
                Read(5, 0, &["hut"]),
                Expect(&["hut"]),
                Read(9, 0, &[]),
                Expect(&[]),
            ],
        },
        Case {
            name: "a host without an answer of the platform follows the others",
            steps: &[
                Read(5, 0, &[]),
                Reported(7, &["hut"]),
                Expect(&["hut"]),
                Reported(9, &[]),
                Expect(&[]),
            ],
        },
        Case {
            name: "a report from before the latest read is stale",
            steps: &[
                Read(5, 0, &["hut"]),
                Read(9, 0, &[]),
                Reported(5, &["hut"]),
                Expect(&[]),
            ],
        },
        Case {
            name: "a read from before the latest report is stale",
            steps: &[Reported(9, &["hut"]), Read(5, 0, &[]), Expect(&["hut"])],
        },
        Case {
            name: "a restore of the platform that loses the order does not end it",
            steps: &[
                Read(5, 0, &["hut"]),
                Read(20, 1, &[]),
                Expect(&["hut"]),
                Read(25, 1, &["yards"]),
                Expect(&["hut", "yards"]),
                Read(30, 1, &["hut"]),
                Expect(&["hut"]),
                Read(35, 1, &[]),
                Expect(&[]),
            ],
        },
        Case {
            name: "a host that starts after a restore has lost nothing",
            steps: &[Read(20, 3, &[]), Expect(&[])],
        },
    ];
    for case in cases {
        let mut orders = Orders::default();
        for (index, step) in case.steps.iter().enumerate() {
            match step {
                Read(position, restores, ordered) => {
                    orders.apply_read(*position, *restores, &names(ordered));
                }
                Reported(since, evacuated) => {
                    orders.apply_report(&Report {
                        since: *since,
                        data_centres: names(evacuated),
                        restore: Restore::default(),
                    });
                }
                Expect(evacuated) => assert_eq!(
                    *orders.data_centres(),
                    names(evacuated),
                    "{}, step {index}",
                    case.name
                ),
            }
        }
    }
}

/// Guards against an order that stays in force on a host after operators have withdrawn it. The host heard of the order from
/// another one; when it reads the restored platform, it concludes that the restore lost the order, and keeps it.
#[test]
fn an_order_that_was_withdrawn_after_a_restore_does_not_stay() {
    let mut other = Orders::default();
    other.apply_read(5, 0, &names(&["hut"]));
    // The other host has read the restored platform, in which operators have ordered another data centre.
    other.apply_read(20, 1, &names(&["yards"]));
    let report = other.report().expect("orders were read").clone();
    assert_eq!(
        (report.since, &report.data_centres),
        (20, &names(&["hut", "yards"]))
    );

    let mut orders = Orders::default();
    orders.apply_read(5, 0, &names(&["hut"]));
    orders.apply_report(&report);
    // Both orders were written since the restore, and one was withdrawn.
    orders.apply_read(30, 1, &names(&["hut"]));
    assert_eq!(*orders.data_centres(), names(&["hut"]));
}

/// Guards against hosts that disagree for good on an order that a restore lost, depending on which of them read the
/// platform before the restore, between the restore and the order's second withdrawal, or only after that.
#[test]
fn hosts_agree_on_lost_orders_once_they_have_reported_to_each_other() {
    /// A position, a number of restores, and the orders that a host reads there.
    type Read = (u64, u64, &'static [&'static str]);
    struct Case {
        name: &'static str,
        first: &'static [Read],
        second: &'static [Read],
        evacuated: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "the second host reads the platform only after the order is withdrawn again",
            first: &[
                (5, 0, &["hut"]),
                (20, 1, &[]),
                (22, 1, &["hut"]),
                (30, 1, &[]),
            ],
            second: &[(5, 0, &["hut"]), (30, 1, &[])],
            evacuated: &[],
        },
        Case {
            name: "the second host has not read that the order was withdrawn before the restore",
            first: &[(5, 0, &["hut"]), (8, 0, &[]), (20, 1, &[])],
            second: &[(5, 0, &["hut"]), (21, 1, &[])],
            evacuated: &[],
        },
        Case {
            name: "the second host starts after the restore",
            first: &[(5, 0, &["hut"]), (20, 1, &[])],
            second: &[(25, 1, &["yards"])],
            evacuated: &["hut", "yards"],
        },
        Case {
            name: "the second host is still to read the restored platform",
            first: &[(5, 0, &["hut"]), (20, 1, &["yards"])],
            second: &[(5, 0, &["hut"])],
            evacuated: &["hut", "yards"],
        },
        Case {
            name: "the platform is restored twice",
            first: &[(5, 0, &["hut"]), (20, 1, &["yards"]), (30, 2, &[])],
            second: &[(5, 0, &["hut"]), (30, 2, &[])],
            evacuated: &["hut", "yards"],
        },
    ];
    for case in cases {
        for first_reports in [true, false] {
            let mut hosts = [case.first, case.second].map(|reads| {
                let mut orders = Orders::default();
                for (position, restores, ordered) in reads {
                    orders.apply_read(*position, *restores, &names(ordered));
                }
                orders
            });
            // In either order; the second round passes on what the first one has changed.
            for round in 0..4 {
                let from = usize::from((round % 2 == 0) != first_reports);
                if let Some(report) = hosts[from].report().cloned() {
                    hosts[1 - from].apply_report(&report);
                }
            }
            for host in &hosts {
                assert_eq!(*host.data_centres(), names(case.evacuated), "{}", case.name);
            }
        }
    }
}

#[test]
fn a_host_reports_nothing_until_there_was_an_order() {
    let mut orders = Orders::default();
    assert!(!orders.apply_read(5, 0, &names(&[])));
    assert_eq!(orders.report(), None);
    assert!(orders.apply_read(6, 0, &names(&["hut"])));
    assert!(!orders.apply_read(8, 0, &names(&["hut"])));
    let report = orders.report().expect("an order was read");
    assert_eq!(report.since, 6);
    assert!(orders.apply_read(9, 0, &names(&[])));
    let report = orders.report().expect("an order was read");
    assert_eq!((report.since, report.data_centres.len()), (9, 0));
}
