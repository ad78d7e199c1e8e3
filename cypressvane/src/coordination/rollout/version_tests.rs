//! Tests what the versions of a service may get, and which servers are canaries.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Access, KnownVersions, Opening, SETTLE_TIME, canaries};
use crate::coordination::version::Constraint;
use crate::coordination::view::View;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::rollout::Stage;

/// What a host learns.
#[derive(Clone, Copy)]
enum News {
    /// The first host list that it reads has these versions.
    First(&'static [&'static str]),
    /// A later host list has these versions.
    Listed(&'static [&'static str]),
    /// A version is ordered, or its order has ended.
    Ordered(&'static str, Option<Stage>),
    /// So many milliseconds pass.
    Pause(u64),
}

use News::{First, Listed, Ordered, Pause};

struct Case {
    name: &'static str,
    news: &'static [News],
    open: &'static [&'static str],
    tried: &'static [&'static str],
    settling: &'static [&'static str],
    closed: &'static [&'static str],
    /// The version that new requests exclude.
    except: Option<&'static str>,
}

const CASES: [Case; 18] = [
    Case {
        name: "one version",
        news: &[First(&["v1"])],
        open: &["v1"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "two versions that nobody ordered, at a start",
        news: &[First(&["v1", "v2"])],
        open: &["v1", "v2"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "a version that nobody ordered has just joined",
        news: &[First(&["v1"]), Listed(&["v1", "v2"])],
        open: &["v1"],
        tried: &[],
        settling: &["v2"],
        closed: &[],
        except: None,
    },
    Case {
        name: "a version that nobody ordered joined a while ago",
        news: &[First(&["v1"]), Listed(&["v1", "v2"]), Pause(1_000)],
        open: &["v1", "v2"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "a version that has just joined is the only one left",
        news: &[First(&["v1"]), Listed(&["v1", "v2"]), Listed(&["v2"])],
        open: &["v2"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "all servers are replaced at once",
        news: &[First(&["v1"]), Listed(&["v2"])],
        open: &["v2"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "no servers, then those of another version",
        news: &[First(&["v1"]), Listed(&[]), Listed(&["v2"])],
        open: &["v2"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "an order before its servers come",
        news: &[
            First(&["v1"]),
            Ordered("v2", None),
            Listed(&["v1", "v2"]),
            Pause(1_000),
        ],
        open: &["v1"],
        tried: &["v2"],
        settling: &[],
        closed: &[],
        except: Some("v2"),
    },
    Case {
        name: "an order after its servers came",
        news: &[
            First(&["v1"]),
            Listed(&["v1", "v2"]),
            Pause(1_000),
            Ordered("v2", None),
        ],
        open: &["v1"],
        tried: &["v2"],
        settling: &[],
        closed: &[],
        except: Some("v2"),
    },
    Case {
        name: "a host that starts during an order",
        news: &[Ordered("v2", None), First(&["v1", "v2"])],
        open: &["v1"],
        tried: &["v2"],
        settling: &[],
        closed: &[],
        except: Some("v2"),
    },
    Case {
        name: "the old servers vanish during an order",
        news: &[
            First(&["v1"]),
            Ordered("v2", None),
            Listed(&["v1", "v2"]),
            Listed(&["v2"]),
        ],
        open: &[],
        tried: &["v2"],
        settling: &[],
        closed: &[],
        except: Some("v2"),
    },
    Case {
        name: "a host that starts after a completed order, before it learns of the outcome",
        news: &[Ordered("v2", None), First(&["v2"])],
        open: &["v2"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "completed, the old servers still listed",
        news: &[
            First(&["v1", "v2"]),
            Ordered("v2", None),
            Ordered("v2", Some(Stage::Completed)),
        ],
        open: &["v2"],
        tried: &[],
        settling: &[],
        closed: &["v1"],
        except: None,
    },
    Case {
        name: "completed, then a version that nobody ordered joins",
        news: &[
            First(&["v1", "v2"]),
            Ordered("v2", None),
            Ordered("v2", Some(Stage::Completed)),
            Listed(&["v2"]),
            Listed(&["v2", "v3"]),
            Pause(1_000),
        ],
        open: &["v2", "v3"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "completed, then all servers are replaced without an order",
        news: &[
            First(&["v1", "v2"]),
            Ordered("v2", None),
            Ordered("v2", Some(Stage::Completed)),
            Listed(&["v1"]),
        ],
        open: &["v1"],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
    Case {
        name: "rolled back, the new servers still listed",
        news: &[
            First(&["v1", "v2"]),
            Ordered("v2", None),
            Ordered("v2", Some(Stage::RolledBack)),
        ],
        open: &["v1"],
        tried: &[],
        settling: &[],
        closed: &["v2"],
        except: Some("v2"),
    },
    Case {
        name: "rolled back, and only the new servers are listed",
        news: &[First(&["v2"]), Ordered("v2", Some(Stage::RolledBack))],
        open: &[],
        tried: &[],
        settling: &[],
        closed: &["v2"],
        except: Some("v2"),
    },
    Case {
        name: "nothing is listed",
        news: &[First(&[])],
        open: &[],
        tried: &[],
        settling: &[],
        closed: &[],
        except: None,
    },
];

#[test]
fn versions_are_open_unless_an_order_restricts_them_or_they_have_just_joined() {
    for case in CASES {
        let mut now = Instant::now();
        let mut known = KnownVersions::default();
        for news in case.news {
            match *news {
                First(versions) => known.apply_list(&names(versions), true, now),
                Listed(versions) => known.apply_list(&names(versions), false, now),
                Ordered(to, stage) => known.apply_order(&to.into(), stage),
                Pause(millis) => now += Duration::from_millis(millis),
            }
        }
        let with = |access: Access| -> BTreeSet<Name> {
            let listed = known.listed.keys();
            let found = listed.filter(|version| known.access(version, now) == access);
            found.cloned().collect()
        };
        assert_eq!(with(Access::Open), names(case.open), "{}", case.name);
        assert_eq!(with(Access::Tried), names(case.tried), "{}", case.name);
        assert_eq!(
            with(Access::Settling),
            names(case.settling),
            "{}",
            case.name
        );
        assert_eq!(with(Access::Closed), names(case.closed), "{}", case.name);
        let except = case
            .except
            .map(|version| Constraint::Except(version.into()));
        assert_eq!(
            known.constraint(),
            except.unwrap_or(Constraint::Any),
            "{}",
            case.name
        );
    }
}

#[test]
fn version_that_joins_is_due_to_settle_once() {
    let start = Instant::now();
    let mut known = KnownVersions::default();
    known.apply_list(&names(&["v1"]), true, start);
    assert_eq!(known.next_settled_at(start), None);
    known.apply_list(&names(&["v1", "v2"]), false, start);
    let settled = start + SETTLE_TIME;
    assert_eq!(known.next_settled_at(start), Some(settled));
    assert_eq!(known.next_settled_at(settled), None);
}

fn names(versions: &[&str]) -> BTreeSet<Name> {
    versions.iter().map(|version| (*version).into()).collect()
}

#[test]
fn canaries_are_a_share_of_the_servers_in_any_order() {
    let names = |count: usize| -> Vec<Name> {
        (0..count)
            .map(|index| format!("i-{index}").into())
            .collect()
    };
    // Number of servers, the canaries' share of the requests, and the number of canaries.
    let cases = [
        (60, 0.04, 3),
        (100, 0.04, 4),
        (4, 0.04, 2),
        (1, 0.04, 1),
        (0, 0.04, 0),
    ];
    for (servers, share, count) in cases {
        let all = names(servers);
        let some = canaries(&all, share);
        assert_eq!(some.len(), count, "{servers} servers");
        let mut reversed = all.clone();
        reversed.reverse();
        assert_eq!(canaries(&reversed, share), some, "{servers} servers");
    }
}

/// Guards against an order in progress that a host which has just started completes, as it sees no other version yet.
#[test]
fn an_order_is_complete_at_once_only_if_no_other_version_can_be_there() {
    struct Case {
        name: &'static str,
        has_progress: bool,
        is_only: View<bool>,
        opening: Opening,
    }
    let cases = [
        Case {
            name: "others are seen",
            has_progress: false,
            is_only: View::Whole(false),
            opening: Opening::Try,
        },
        Case {
            name: "others are seen at a start",
            has_progress: false,
            is_only: View::Partial(false),
            opening: Opening::Try,
        },
        Case {
            name: "none is seen at a start",
            has_progress: false,
            is_only: View::Partial(true),
            opening: Opening::Wait,
        },
        Case {
            name: "there is no other",
            has_progress: false,
            is_only: View::Whole(true),
            opening: Opening::Complete,
        },
        Case {
            name: "none is seen at a start, and there is progress",
            has_progress: true,
            is_only: View::Partial(true),
            opening: Opening::Try,
        },
        Case {
            name: "the others have left, and there is progress",
            has_progress: true,
            is_only: View::Whole(true),
            opening: Opening::Try,
        },
    ];
    for case in cases {
        let opening = Opening::decide(case.has_progress, &case.is_only);
        assert_eq!(opening, case.opening, "{}", case.name);
    }
}
