//! Tests the output and exit codes of the tool, with and without a running fleet.

use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Once;

use cypressvane::{digest, runtime};
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY};

/// A temporary file that is removed when it is dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = env::temp_dir().join(format!("ctl-{}-{name}", std::process::id()));
        fs::write(&path, text).expect("a temporary file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a plain path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn configuration(tier: &str) -> String {
    format!(
        "[[tiers]]\nname = \"{tier}\"\nfirst_token_ms = 460\nbetween_tokens_ms = 41\n\
         [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
        digest::sha256_hex(OPERATOR_KEY.as_bytes())
    )
}

fn tool(arguments: &[&str]) -> Output {
    let program = Path::new(env!("CARGO_BIN_EXE_cypressvane"));
    let mut command = Command::new(program);
    command
        .env_remove("CYPRESSVANE_KEY")
        .args(arguments)
        .output()
        .expect("the tool starts")
}

fn printed(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("{out}{err}")
}

struct Case<'a> {
    name: &'static str,
    arguments: Vec<&'a str>,
    code: i32,
    expected: Vec<&'static str>,
}

fn check(cases: &[Case<'_>], global_arguments: &[&str]) {
    for case in cases {
        let arguments = [global_arguments, &case.arguments].concat();
        let output = tool(&arguments);
        let printed = printed(&output);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {printed}",
            case.name
        );
        for substring in &case.expected {
            assert!(
                printed.contains(substring),
                "{}: {substring:?} is not in {printed}",
                case.name
            );
        }
        assert!(!printed.contains("panicked"), "{}: {printed}", case.name);
    }
}

#[test]
fn commands_work_on_a_running_fleet() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| runtime::start(2));
    let first = File::new("first.toml", &configuration("urgent"));
    let second = File::new("second.toml", &configuration("prompt"));
    let broken = File::new("broken.toml", &configuration("two words"));
    let policy = "\n[[policies]]\nname = \"p\"\nprogram = \"fn decide(r, q) { wait( }\"\n";
    let policy = File::new("policy.toml", &(configuration("urgent") + policy));
    let fleet = smol::block_on(async {
        let mut fleet = Fleet::spawn().expect("a platform");
        fleet.add_host("").await.expect("a host");
        fleet.add_host("").await.expect("a host");
        fleet
            .wait_until("the host has a host list", async || {
                fleet.state(0).await.is_ok_and(|state| !state.draining)
            })
            .await
            .expect("the host answers");
        fleet
    });
    let host = fleet.operators(0).to_string();
    let global_arguments = ["--host", &host, "--key", OPERATOR_KEY];
    let cases = [
        Case {
            name: "a document that does not check",
            arguments: vec!["config", "submit", broken.path()],
            code: 2,
            expected: vec!["tiers", "two words"],
        },
        Case {
            name: "a policy that does not compile",
            arguments: vec!["config", "submit", policy.path()],
            code: 2,
            expected: vec!["policy \"p\"", "line 1, column"],
        },
        Case {
            name: "nothing to show",
            arguments: vec!["config", "show"],
            code: 1,
            expected: vec!["not_ready"],
        },
        Case {
            name: "the first version",
            arguments: vec!["config", "submit", first.path()],
            code: 0,
            expected: vec!["version 1 is in force on 2 hosts"],
        },
        Case {
            name: "a submission with an old base",
            arguments: vec!["config", "submit", "--base", "0", second.path()],
            code: 1,
            expected: vec!["conflict", "version 1 was accepted from bootstrap"],
        },
        Case {
            name: "the second version",
            arguments: vec!["config", "submit", "--base", "1", second.path()],
            code: 0,
            expected: vec!["version 2 is in force on 2 hosts"],
        },
        Case {
            name: "show",
            arguments: vec!["config", "show"],
            code: 0,
            expected: vec!["name = \"prompt\""],
        },
        Case {
            name: "history",
            arguments: vec!["config", "history"],
            code: 0,
            expected: vec!["bootstrap", "operator"],
        },
        Case {
            name: "status",
            arguments: vec!["status"],
            code: 0,
            expected: vec!["host-0  ready  version 2", "host-1  ready  version 2"],
        },
        Case {
            name: "dump",
            arguments: vec!["dump", "host-1"],
            code: 0,
            expected: vec!["\"incarnation\"", "\"peers\""],
        },
        Case {
            name: "no request is quarantined",
            arguments: vec!["quarantine"],
            code: 0,
            expected: vec!["no request is kept from the backend servers"],
        },
        Case {
            name: "a release of a request that is not quarantined",
            arguments: vec!["quarantine", "release", "773392554c5f96dfb3d36c1452ed3da9"],
            code: 1,
            expected: vec!["not_found", "no such request"],
        },
        Case {
            name: "a release of an invalid fingerprint",
            arguments: vec!["quarantine", "release", "../config"],
            code: 2,
            expected: vec!["../config", "32 hexadecimal digits"],
        },
        Case {
            name: "an unknown host",
            arguments: vec!["dump", "nobody"],
            code: 2,
            expected: vec!["no such host", "nobody"],
        },
        Case {
            name: "drain",
            arguments: vec!["drain", "host-1"],
            code: 0,
            expected: vec!["host-1 is draining"],
        },
    ];
    check(&cases, &global_arguments);
    let wrong_key = ["--host", &host, "--key", "wrong", "--output", "json"];
    let refused = Case {
        name: "a wrong key",
        arguments: vec!["status"],
        code: 1,
        expected: vec!["unauthorized"],
    };
    check(&[refused], &wrong_key);
    let output = tool(&[&global_arguments[..], &["--output", "json", "status"]].concat());
    let value: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(value[0]["state"]["version"], 2);
}

#[test]
fn the_command_line_is_checked() {
    let program = File::new(
        "good.rhai",
        "fn decide(request, queue) { wait(-request.prompt_tokens) }",
    );
    let endless = File::new("endless.rhai", "fn decide(request, queue) { loop {} }");
    let nothing = File::new("nothing.rhai", "fn other() { 1 }");
    let wrong = File::new("wrong.rhai", "fn decide(request, queue) {\n  wait(1\n}");
    let examples = File::new(
        "examples.json",
        r#"[{"prompt_tokens": 7}, {"tier": "cheap"}]"#,
    );
    let no_examples = File::new("no-examples.json", r#"[{"prompt_token": 7}]"#);
    let cases = [
        Case {
            name: "version",
            arguments: vec!["--version"],
            code: 0,
            expected: vec!["0.1.0"],
        },
        Case {
            name: "help",
            arguments: vec!["--help"],
            code: 0,
            expected: vec!["config", "drain"],
        },
        Case {
            name: "help of a command",
            arguments: vec!["config", "submit", "--help"],
            code: 0,
            expected: vec!["--base"],
        },
        Case {
            name: "nothing",
            arguments: vec![],
            code: 2,
            expected: vec!["a command is missing"],
        },
        Case {
            name: "nonsense",
            arguments: vec!["nonsense"],
            code: 2,
            expected: vec!["nonsense"],
        },
        Case {
            name: "no key",
            arguments: vec!["status"],
            code: 2,
            expected: vec!["CYPRESSVANE_KEY"],
        },
        Case {
            name: "no answer",
            arguments: vec!["--host", "127.0.0.1:1", "--key", "k", "status"],
            code: 3,
            expected: vec!["127.0.0.1:1 cannot be reached"],
        },
        Case {
            name: "a program",
            arguments: vec![
                "policy",
                "check",
                program.path(),
                "--examples",
                examples.path(),
            ],
            code: 0,
            expected: vec!["waits with priority -7", "in tier cheap"],
        },
        Case {
            name: "an endless program",
            arguments: vec!["policy", "check", endless.path()],
            code: 2,
            expected: vec!["operations"],
        },
        Case {
            name: "a program without a decision",
            arguments: vec!["policy", "check", nothing.path()],
            code: 2,
            expected: vec!["fn decide(request, queue) is missing"],
        },
        Case {
            name: "a program that does not compile",
            arguments: vec!["policy", "check", wrong.path()],
            code: 2,
            expected: vec!["line 3, column 1"],
        },
        Case {
            name: "wrong examples",
            arguments: vec![
                "policy",
                "check",
                program.path(),
                "--examples",
                no_examples.path(),
            ],
            code: 2,
            expected: vec!["prompt_token"],
        },
        Case {
            name: "no file",
            arguments: vec!["policy", "check", "/nonexistent.rhai"],
            code: 2,
            expected: vec!["/nonexistent.rhai"],
        },
    ];
    check(&cases, &[]);
}
