//! Decisions of policy programs, and rejection of invalid, endless and oversized ones.

mod seeded;

use cypressvane::fleet::{Fleet, Policy};
use cypressvane::name::Name;
use cypressvane::policy::{Error, Programs, Queue, Request, Verdict};

fn request() -> Request {
    Request {
        account: "rangers".into(),
        tier: "urgent".into(),
        tier_rank: 0,
        service: "register-model".into(),
        path: String::new(),
        prompt_tokens: 70,
        answer_tokens: 100,
        deadline_ms: 10_000,
        stream: true,
    }
}

fn compile(program: &str) -> Result<Programs, Error> {
    let policies = vec![Policy {
        name: "p".into(),
        program: program.to_owned(),
    }];
    Programs::compile(&Fleet {
        policies,
        ..Fleet::default()
    })
}

#[test]
fn a_program_decides() {
    let wait = |priority| Verdict::Wait { priority };
    let cases = [
        ("wait()", wait(0)),
        ("wait(5)", wait(5)),
        ("wait(999999999)", wait(1_000_000)),
        ("first()", wait(1_000_001)),
        (
            "refuse(\"no\")",
            Verdict::Refuse {
                why: "no".to_owned(),
            },
        ),
        ("wait(-request.prompt_tokens)", wait(-70)),
        (
            "if request.tier == \"urgent\" && request.stream { first() } else { wait() }",
            wait(1_000_001),
        ),
        (
            "if queue.waiting > 10 { refuse(\"busy\") } else { wait(queue.waiting) }",
            wait(3),
        ),
        (
            "if request.account == \"rangers\" { return wait(1); } wait(2)",
            wait(1),
        ),
    ];
    let queue = Queue {
        waiting: 3,
        ..Queue::default()
    };
    for (body, expected) in cases {
        let set = compile(&format!("fn decide(request, queue) {{ {body} }}")).expect(body);
        let verdict = set.decide(&Name::from("p"), &request(), queue);
        assert_eq!(verdict, Ok(expected), "{body}");
    }
}

#[test]
fn an_invalid_program_is_rejected() {
    let huge = format!(
        "fn decide(request, queue) {{ wait() }} // {}",
        "x".repeat(20_000)
    );
    let deep = format!(
        "fn decide(request, queue) {{ {}1{} }}",
        "(".repeat(200),
        ")".repeat(200)
    );
    let cases = [
        ("huge", huge.as_str(), "at most 16384 allowed"),
        ("deep", deep.as_str(), "line 1"),
        (
            "syntax",
            "fn decide(request, queue) {\n wait( }",
            "line 2, column",
        ),
        (
            "no decision",
            "fn decide(request) { wait() }",
            "fn decide(request, queue) is missing",
        ),
        ("no verdict", "fn decide(request, queue) { 1 }", "gave i64"),
        (
            "endless loop",
            "fn decide(request, queue) { loop {} }",
            "operations",
        ),
        (
            "endless call",
            "fn decide(request, queue) { decide(request, queue) }",
            "overflow",
        ),
        (
            "endless string",
            "fn decide(request, queue) { let s = \"x\"; loop { s += s; } }",
            "Length of string too large",
        ),
        (
            "endless array",
            "fn decide(request, queue) { let a = [1]; loop { a += a; } }",
            "too large",
        ),
        (
            "eval",
            "fn decide(request, queue) { eval(\"wait()\") }",
            "eval",
        ),
        (
            "missing field",
            "fn decide(request, queue) { request.nobody.name }",
            "line 1",
        ),
    ];
    for (name, program, expected) in cases {
        let message = compile(program).expect_err(name).to_string();
        assert!(message.contains(expected), "{name}: {message}");
    }
}

#[test]
fn any_text_is_compiled_or_rejected_without_a_panic() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck takes values")]
    fn property(text: String) -> bool {
        let _ = compile(&text);
        let _ = compile(&format!("fn decide(request, queue) {{ {text} }}"));
        true
    }
    seeded::quickcheck().quickcheck(property as fn(String) -> bool);
}
