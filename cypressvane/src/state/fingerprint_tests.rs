use super::{Fingerprint, Identity};

const USUAL: Identity<'static> = Identity {
    account: Some("rangers"),
    method: "POST",
    host: "leases.example",
    target: "/once/?a=1",
    body: b"asked",
};

#[test]
fn each_part_of_a_request_tells_it_from_others() {
    struct Case {
        name: &'static str,
        other: Identity<'static>,
    }
    let cases = [
        Case {
            name: "account",
            other: Identity {
                account: Some("graziers"),
                ..USUAL
            },
        },
        Case {
            name: "no account",
            other: Identity {
                account: None,
                ..USUAL
            },
        },
        Case {
            name: "an account without a name",
            other: Identity {
                account: Some(""),
                ..USUAL
            },
        },
        Case {
            name: "method",
            other: Identity {
                method: "PUT",
                ..USUAL
            },
        },
        Case {
            name: "host",
            other: Identity {
                host: "tags.example",
                ..USUAL
            },
        },
        Case {
            name: "query",
            other: Identity {
                target: "/once/?a=2",
                ..USUAL
            },
        },
        Case {
            name: "body",
            other: Identity {
                body: b"asked ",
                ..USUAL
            },
        },
        Case {
            name: "the same bytes, cut elsewhere",
            other: Identity {
                target: "/once/?a=1a",
                body: b"sked",
                ..USUAL
            },
        },
    ];
    let mut seen = vec![Fingerprint::of(&USUAL)];
    for case in cases {
        let found = Fingerprint::of(&case.other);
        assert!(!seen.contains(&found), "{}", case.name);
        seen.push(found);
    }
    assert_eq!(Fingerprint::of(&USUAL), seen[0]);
}

#[test]
fn what_is_written_is_read_again() {
    let fingerprint = Fingerprint::of(&USUAL);
    let text = fingerprint.to_string();
    assert_eq!(Fingerprint::parse(&text), Some(fingerprint));
    assert_eq!(Fingerprint::parse(&text[1..]), None);
    assert_eq!(Fingerprint::parse(&text.replace(&text[..1], "g")), None);
}
