//! The list of backend servers: an engine's limit stands there as it was heard.

use std::path::Path;
use std::process::Command;

use cypressvane::{digest, runtime};
use cypressvane_standin::caller::{Ask, ask};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY};

const MODEL: &str = "register-model";
const KEY: &str = "rangers-key";

/// A tier, an account, a service and the operator.
fn configuration() -> String {
    format!(
        "[[tiers]]\nname = \"urgent\"\nfirst_token_ms = 460\nbetween_tokens_ms = 41\n\
         [[accounts]]\nname = \"rangers\"\nkey_sha256 = \"{}\"\ntier = \"urgent\"\n\
         [[services]]\nname = \"{MODEL}\"\nkind = \"model\"\n\
         [[operators]]\nname = \"operator\"\nkey_sha256 = \"{}\"\n",
        digest::hex(KEY.as_bytes()),
        digest::hex(OPERATOR_KEY.as_bytes())
    )
}

/// What the tool prints of all backend servers.
fn engines(operators: &str) -> String {
    let output = Command::new(Path::new(env!("CARGO_BIN_EXE_cypressvane")))
        .args(["--host", operators, "--key", OPERATOR_KEY, "engines"])
        .output()
        .expect("the tool starts");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn an_engines_limit_stands_in_the_list() {
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
        let what = Ask::new(KEY, MODEL, "a prompt");
        let answered = async || {
            let answer = ask(fleet.callers(0), &what).await;
            answer.is_ok_and(|answer| answer.whole)
        };
        fleet.until("a completion is answered", answered).await?;
        let told = engines(&fleet.operators(0).to_string());
        for words in [
            MODEL,
            "home host-0",
            "limit 2.5 requests a second, heard by host-0",
        ] {
            assert!(told.contains(words), "{words:?} is not in {told}");
        }
        Ok::<_, std::io::Error>(())
    })
    .expect("the fleet serves");
}
