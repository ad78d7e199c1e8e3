//! Tests that `cypressvane engines` lists the rate limit that an engine announces, and `status` the service's versions.

use std::path::Path;
use std::process::Command;

use cypressvane::{digest, runtime};
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY};

const MODEL: &str = "register-model";
const KEY: &str = "rangers-key";

/// Returns a configuration with a tier, an account, a service and an operator.
fn configuration() -> String {
    format!(
        "[[tiers]]\nname = \"urgent\"\nfirst_token_ms = 460\nbetween_tokens_ms = 41\n\
         [[accounts]]\nname = \"rangers\"\nkey_sha256 = \"{}\"\ntier = \"urgent\"\n\
         [[services]]\nname = \"{MODEL}\"\nkind = \"model\"\n\
         [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
        digest::sha256_hex(KEY.as_bytes()),
        digest::sha256_hex(OPERATOR_KEY.as_bytes())
    )
}

/// Returns the output of a command.
fn print(operators: &str, command: &str) -> String {
    let output = Command::new(Path::new(env!("CARGO_BIN_EXE_cypressvane")))
        .args(["--host", operators, "--key", OPERATOR_KEY, command])
        .output()
        .expect("the tool starts");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn the_list_contains_an_engines_limit() {
    runtime::start(2);
    smol::block_on(async {
        let mut fleet = Fleet::spawn()?;
        fleet.add_host("").await?;
        fleet.submit(0, &configuration()).await?;
        let settings = engine::Settings {
            limit: Some(2.5),
            ..engine::Settings::default()
        };
        fleet.add_engine(MODEL, &settings).await?;
        let request = CompletionRequest::new(KEY, MODEL, "a prompt");
        let answered = async || {
            let answer = complete(fleet.callers(0), &request).await;
            answer.is_ok_and(|answer| answer.whole)
        };
        fleet
            .wait_until("a completion is answered", answered)
            .await?;
        let operators = fleet.operators(0).to_string();
        let cases = [
            ("engines", MODEL),
            ("engines", "home host-0"),
            ("engines", "limit 2.5 requests a second, heard by host-0"),
            ("status", "version -  1 of 1 servers live  0 of "),
            ("status", "100 % of the service's places"),
        ];
        for (command, expected) in cases {
            let printed = print(&operators, command);
            assert!(
                printed.contains(expected),
                "{command}: {expected:?} is not in {printed}"
            );
        }
        Ok::<_, std::io::Error>(())
    })
    .expect("the fleet serves");
}
