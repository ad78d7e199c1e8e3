//! Guards against a host that does not learn the rate limit that an engine announces in its answers to
//! completions, whole or streamed.

mod common;

use std::io;

use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

const MODEL: &str = "register-model";
const LIMIT: f64 = 2.5;

/// Returns the rate limit of the only engine as known to its pool's home.
async fn known_limit(fleet: &Fleet) -> Option<f64> {
    let dump = fleet.dump(0).await.ok()?;
    let mut servers = dump.pools.iter().flat_map(|pool| &pool.servers);
    servers.find_map(|server| server.limit.as_ref().map(|limit| limit.per_second))
}

#[test]
fn an_engines_limit_is_read_from_whole_and_streamed_completions() {
    common::run(async {
        for case in common::COMPLETIONS {
            let mut fleet = Fleet::spawn()?;
            fleet.add_host("").await?;
            fleet.submit(0, common::CONFIGURATION).await?;
            let mut settings = engine::Settings {
                limit: Some(LIMIT),
                ..engine::Settings::default()
            };
            let engine = fleet.add_engine(MODEL, &settings).await?;
            let mut request = CompletionRequest::new(common::URGENT_KEY, MODEL, "a prompt");
            request.max_tokens = 2;
            request.stream = case.stream;
            let answered = async || {
                let answer = complete(fleet.callers(0), &request).await;
                answer.is_ok_and(|answer| answer.whole)
            };
            fleet
                .wait_until("a completion is answered", answered)
                .await?;
            assert_eq!(known_limit(&fleet).await, Some(LIMIT), "{}", case.name);
            settings.limit = None;
            fleet.set_engine(engine, &settings).await?;
            let is_unlimited = async || {
                let answer = complete(fleet.callers(0), &request).await;
                answer.is_ok() && known_limit(&fleet).await.is_none()
            };
            fleet.wait_until("the limit ends", is_unlimited).await?;
        }
        Ok::<_, io::Error>(())
    });
}
