//! Guards against completions of a host that loses its links to the engines: answers that break off with the links took
//! the engines from all hosts.

mod common;

use std::io;
use std::net::{IpAddr, Ipv4Addr};

use cypressvane::runtime;
use cypressvane_standin::caller::{CompletionRequest, complete};
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use cypressvane_standin::proxy;

const MODEL: &str = "register-model";
const HOSTS: u8 = 3;
const ENGINES: usize = 3;
/// Completions at the host that is cut off: as many as the engines run at once, or more.
const RUNNING: usize = 12;
/// Tokens of a completion that outlasts the start of the cut.
const LONG_TOKENS: u32 = 1_000;
/// Completions sent to each host afterwards.
const REQUESTS: usize = 10;

/// The local address of a host's connections to engines.
fn source_address(host: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 1, 10 + host).into()
}

/// Starts hosts, and engines that they reach through proxies.
async fn spawn() -> io::Result<(Fleet, Vec<proxy::Handle>)> {
    let mut fleet = Fleet::spawn()?;
    for host in 0..HOSTS {
        fleet.host_settings = format!("source_address = \"{}\"", source_address(host));
        fleet.add_host("").await?;
    }
    fleet.submit(0, common::CONFIGURATION).await?;
    fleet.wait_until_linked().await?;
    let mut proxies = Vec::new();
    for _ in 0..ENGINES {
        let engine = fleet
            .add_engine(MODEL, &engine::Settings::default())
            .await?;
        let address = fleet.backends[engine].address("address");
        let proxy = proxy::bind((Ipv4Addr::LOCALHOST, 0).into(), address)?;
        let entries = fleet.entries.iter_mut();
        for entry in entries.filter(|entry| entry.address == address) {
            entry.address = proxy.address();
        }
        proxies.push(proxy);
    }
    fleet.publish().await?;
    Ok((fleet, proxies))
}

fn request(stream: bool, max_tokens: u32) -> CompletionRequest {
    let mut request = CompletionRequest::new(common::URGENT_KEY, MODEL, "a prompt");
    request.stream = stream;
    request.max_tokens = max_tokens;
    request
}

/// Number of requests that run on engines, and the states of these, as all homes see them.
async fn engines(fleet: &Fleet) -> (u64, Vec<String>) {
    let (mut running, mut states) = (0, Vec::new());
    for host in 0..usize::from(HOSTS) {
        let Ok(dump) = fleet.dump(host).await else {
            continue;
        };
        for server in dump.pools.iter().flat_map(|pool| &pool.servers) {
            running += server.running;
            states.push(server.state.clone());
        }
    }
    (running, states)
}

/// Cuts the first host off from all engines while completions run there, and returns the number of those that break.
async fn cut_while_running(
    fleet: &Fleet,
    proxies: &[proxy::Handle],
    stream: bool,
) -> io::Result<usize> {
    let mut before = Vec::new();
    for engine in 0..ENGINES {
        before.push(fleet.ledger(engine).await?.seen.len());
    }
    let callers = fleet.callers(0);
    let completions: Vec<_> = (0..RUNNING)
        .map(|_| {
            let long = request(stream, LONG_TOKENS);
            runtime::spawn(async move { complete(callers, &long).await })
        })
        .collect();
    for (engine, before) in before.into_iter().enumerate() {
        let runs = async || {
            let ledger = fleet.ledger(engine).await;
            ledger.is_ok_and(|ledger| ledger.seen.len() > before)
        };
        fleet
            .wait_until("the engine runs a completion", runs)
            .await?;
    }
    for proxy in proxies {
        proxy.cut_off(Some(source_address(0)));
    }
    let mut broken = 0;
    for completion in completions {
        let is_whole = completion.await.is_ok_and(|answer| answer.whole);
        broken += usize::from(!is_whole);
    }
    Ok(broken)
}

#[test]
fn completions_that_break_with_their_path_do_not_take_engines_from_others() {
    common::run(async {
        for form in common::COMPLETIONS {
            let (fleet, proxies) = spawn().await?;
            let is_served = async || {
                let answer = complete(fleet.callers(0), &request(form.stream, 2)).await;
                answer.is_ok_and(|answer| answer.whole)
            };
            fleet.wait_until("the engines serve", is_served).await?;
            let broken = cut_while_running(&fleet, &proxies, form.stream).await?;
            assert!(broken >= ENGINES, "{}: {broken} broke", form.name);
            let is_over = async || engines(&fleet).await.0 == 0;
            fleet.wait_until("nothing runs", is_over).await?;
            let (_, states) = engines(&fleet).await;
            let are_live = states.iter().all(|state| state == "live");
            assert!(are_live, "{}: {states:?}", form.name);
            fleet
                .wait_until("the host that is cut off serves", is_served)
                .await?;
            for host in 0..usize::from(HOSTS) {
                for _ in 0..REQUESTS {
                    let answer = complete(fleet.callers(host), &request(form.stream, 2)).await;
                    let is_whole = answer.is_ok_and(|answer| answer.whole);
                    assert!(is_whole, "{}: host {host}", form.name);
                }
            }
        }
        Ok(())
    });
}
