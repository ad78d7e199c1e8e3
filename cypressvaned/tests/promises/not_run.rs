//! Tests that a refusal that says "not run" is true and arrives at once, with `Retry-After` where a retry can help.

use std::io;
use std::time::Duration;

use cypressvane::refusal::{Code, Ran};
use cypressvane_standin::caller::{Answer, CompletionRequest};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

use crate::common;
use crate::ledgers::{check, count_arrivals, join_all, send};

/// A queue of four requests, so that it fills quickly.
const SETTINGS: &str = "[limits]\nwaiting = 4\n";
/// Longest time to a refusal. Refusals are not delayed and arrive much earlier, even on a busy machine.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(10);

struct Case {
    name: &'static str,
    /// Text of the configuration that `to` replaces.
    from: &'static str,
    to: &'static str,
    headers: &'static [(&'static str, &'static str)],
    requests: usize,
    code: Code,
    has_retry_after: bool,
}

#[test]
fn every_refusal_that_says_not_run_is_true() {
    let base = Case {
        name: "",
        from: "",
        to: "",
        headers: &[],
        requests: 1,
        code: Code::Overloaded,
        has_retry_after: true,
    };
    let cases = [
        Case {
            name: "a full queue",
            from: "kind = \"model\"",
            to: "kind = \"model\"\nslots = 1",
            requests: 12,
            ..base
        },
        Case {
            name: "over the account's requests a second",
            from: "tier = \"urgent\"",
            to: "tier = \"urgent\"\nrequests_per_second = 2",
            requests: 6,
            code: Code::AccountLimit,
            ..base
        },
        Case {
            name: "over the account's requests in flight",
            from: "tier = \"urgent\"",
            to: "tier = \"urgent\"\nin_flight = 2",
            requests: 6,
            code: Code::AccountLimit,
            ..base
        },
        Case {
            name: "refused by policy",
            from: "kind = \"model\"",
            to: "kind = \"model\"\npolicy = \"closed\"\n[[policies]]\nname = \"closed\"\n\
                 program = \"fn decide(request, queue) { refuse(\\\"closed\\\") }\"\n",
            code: Code::RefusedByPolicy,
            ..base
        },
        Case {
            name: "a deadline in the queue",
            from: "kind = \"model\"",
            to: "kind = \"model\"\nslots = 1",
            headers: &[("cypressvane-deadline-ms", "400")],
            requests: 3,
            code: Code::DeadlinePassed,
            has_retry_after: false,
        },
        Case {
            name: "a deadline that cannot be met",
            headers: &[("cypressvane-deadline-ms", "1")],
            code: Code::DeadlineUnreachable,
            ..base
        },
    ];
    common::run(async {
        for case in cases {
            run_case(&case).await?;
        }
        Ok(())
    });
}

async fn run_case(case: &Case) -> io::Result<()> {
    let name = case.name;
    let mut fleet = Fleet::spawn()?;
    let slow = engine::Settings {
        decode_ms: 60.0,
        ..Default::default()
    };
    let engine = fleet.add_engine("register-model", &slow).await?;
    fleet.add_host(SETTINGS).await?;
    fleet
        .submit(0, &common::CONFIGURATION.replacen(case.from, case.to, 1))
        .await?;
    let mut tasks = Vec::new();
    for index in 0..case.requests {
        let prompt = format!("{} number-{index}", "word ".repeat(50));
        let mut request = CompletionRequest::new(common::URGENT_KEY, "register-model", &prompt);
        request.max_tokens = 20;
        for (header, value) in case.headers {
            request = request.with_header(header, value);
        }
        tasks.push(send(fleet.callers(0), request));
    }
    let outcomes = join_all(tasks).await;
    check(name, &outcomes, &count_arrivals(&fleet, &[engine]).await?);
    let refused: Vec<&Answer> = outcomes
        .iter()
        .filter_map(|outcome| outcome.result.as_ref().ok())
        .filter(|answer| {
            answer
                .error
                .as_ref()
                .is_some_and(|error| error.code == case.code)
        })
        .collect();
    assert!(!refused.is_empty(), "{name}: {outcomes:?}");
    for answer in refused {
        let error = answer.error.as_ref().expect("filtered above");
        assert_eq!(error.ran, Ran::No, "{name}");
        assert_eq!(
            answer.retry_after.is_some(),
            case.has_retry_after,
            "{name}: {answer:?}"
        );
        assert!(answer.total < REFUSAL_TIMEOUT, "{name}: {answer:?}");
    }
    Ok(())
}
