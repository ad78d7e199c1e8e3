use super::{Fingerprint, Identity};

const BASE: Identity<'static> = Identity {
    account: Some("rangers"),
    method: "POST",
    host: "leases.example",
    target: "/once/?a=1",
    body: b"asked",
};

#[test]
fn each_part_of_a_request_changes_the_fingerprint() {
    struct Case {
        name: &'static str,
        other: Identity<'static>,
    }
    let cases = [
        Case {
            name: "account",
            other: Identity {
                account: Some("graziers"),
                ..BASE
            },
        },
        Case {
            name: "no account",
            other: Identity {
                account: None,
                ..BASE
            },
        },
        Case {
            name: "an account without a name",
            other: Identity {
                account: Some(""),
                ..BASE
            },
        },
        Case {
            name: "method",
            other: Identity {
                method: "PUT",
                ..BASE
            },
        },
        Case {
            name: "host",
            other: Identity {
                host: "tags.example",
                ..BASE
            },
        },
        Case {
            name: "query",
            other: Identity {
                target: "/once/?a=2",
                ..BASE
            },
        },
        Case {
            name: "body",
            other: Identity {
                body: b"asked ",
                ..BASE
            },
        },
        Case {
            name: "the same bytes, cut elsewhere",
            other: Identity {
                target: "/once/?a=1a",
                body: b"sked",
                ..BASE
            },
        },
    ];
    let mut seen = vec![Fingerprint::of(&BASE)];
    for case in cases {
        let found = Fingerprint::of(&case.other);
        assert!(!seen.contains(&found), "{}", case.name);
        seen.push(found);
    }
    assert_eq!(Fingerprint::of(&BASE), seen[0]);
}

#[test]
fn parse_reverses_display() {
    let fingerprint = Fingerprint::of(&BASE);
    let text = fingerprint.to_string();
    assert_eq!(Fingerprint::parse(&text), Some(fingerprint));
    assert_eq!(Fingerprint::parse(&text[1..]), None);
    assert_eq!(Fingerprint::parse(&text.replace(&text[..1], "g")), None);
}
