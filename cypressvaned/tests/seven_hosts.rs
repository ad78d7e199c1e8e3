//! Tests that seven hosts with 22 backend servers answer a mixed load; the engines have three speeds.

use std::collections::BTreeMap;
use std::io;

use cypressvane::runtime::spawn;
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;

mod common;

const HOSTS: usize = 7;
const ENGINES: u32 = 18;
const PLAIN_SERVERS: usize = 4;
const REQUESTS: usize = 420;
/// Number of requests to the plain service.
const PLAIN_REQUESTS: usize = 60;
/// Prefill rates of the three generations of engines, in prompt tokens per second.
const PREFILL_RATES: [f64; 3] = [8_000.0, 16_000.0, 32_000.0];

#[test]
fn a_mixed_load_is_answered_whole_and_once() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let mut engines = Vec::new();
        for index in 0..ENGINES {
            let prefill_rate = PREFILL_RATES[index as usize % PREFILL_RATES.len()];
            let settings = engine::Settings {
                prefill_rate,
                decode_ms: 2.0,
                ..Default::default()
            };
            engines.push(fleet.add_engine("register-model", &settings).await?);
        }
        for _ in 0..PLAIN_SERVERS {
            fleet.add_plain("permit-desk").await?;
        }
        for _ in 0..HOSTS {
            fleet.add_host("").await?;
        }
        fleet.submit(0, common::CONFIGURATION).await?;
        fleet.wait_until_linked().await?;
        let mut running = Vec::new();
        for index in 0..REQUESTS {
            let address = fleet.callers(index % HOSTS);
            let keys = [common::URGENT_KEY, common::PATIENT_KEY, common::CHEAP_KEY];
            let filler = "word ".repeat(10 * (index % 100));
            let prompt = format!("{filler} number-{index}");
            let request =
                CompletionRequest::new(keys[index % keys.len()], "register-model", &prompt);
            let request = if index % 2 == 0 {
                request.streamed(20)
            } else {
                request
            };
            running.push(spawn(async move {
                (complete(address, &request).await, request)
            }));
        }
        let plain = (0..PLAIN_REQUESTS).map(|index| {
            let address = fleet.callers(index % HOSTS);
            spawn(async move {
                common::call_plain(address, "permit-desk", &format!("/permits/{index}")).await
            })
        });
        let plain: Vec<_> = plain.collect();
        for (index, echo) in plain.into_iter().enumerate() {
            assert_eq!(
                echo.await?.path,
                format!("/permits/{index}"),
                "its own answer"
            );
        }
        let mut ids = BTreeMap::new();
        for request in running {
            let (answer, request) = request.await;
            let answer = answer.map_err(io::Error::other)?;
            assert!(answer.whole, "{:?}", answer.error);
            assert_eq!(answer.text, request.expected());
            *ids.entry(answer.request_id).or_insert(0_u64) += 1;
        }
        assert_eq!(ids.len(), REQUESTS, "each answer has its own request id");
        let mut seen = BTreeMap::new();
        for engine in engines {
            for (id, count) in fleet.ledger(engine).await?.seen {
                *seen.entry(id).or_insert(0) += count;
            }
        }
        assert_eq!(seen, ids, "each request reached one engine once");
        Ok(())
    });
}
