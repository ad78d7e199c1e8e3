//! Tests that a graceful shutdown cuts no request: a rolling restart under load causes no error.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cypressvane::client;
use cypressvane::runtime::spawn;
use cypressvane_standin::caller::CompletionRequest;
use cypressvane_standin::engine;
use cypressvane_standin::fleet::Fleet;
use http_types::Method;
use smol::Timer;

use crate::common;
use crate::ledgers::{check, count_arrivals, count_whole, join_all, send};

/// Number of hosts, which are restarted one after the other.
const HOSTS: usize = 7;
/// Longest time that a host may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of the readiness checks of the balancer.
const BALANCER_POLL: Duration = Duration::from_millis(50);
/// A grace period in which the balancer notices that a host is not ready.
const SETTINGS: &str = "[timeouts]\ngrace_ms = 500\n";

/// Stands in for the platform's load balancer: sends callers to hosts that report ready.
#[derive(Clone, Default)]
struct Balancer {
    /// Addresses of the listeners for callers and for operators of each host.
    hosts: Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    async fn check_ready(&self) {
        let hosts = self.hosts.lock().expect("the lock is not poisoned").clone();
        let mut ready = Vec::new();
        for (callers, operators) in hosts {
            let request = client::request(Method::Get, operators, "/readyz");
            let reply = client::call(operators, request, 1 << 10, Duration::from_secs(2)).await;
            if reply.is_ok_and(|reply| reply.is_success()) {
                ready.push(callers);
            }
        }
        *self.ready.lock().expect("the lock is not poisoned") = ready;
    }

    fn pick(&self, turn: usize) -> Option<SocketAddr> {
        let ready = self.ready.lock().expect("the lock is not poisoned");
        (!ready.is_empty()).then(|| ready[turn % ready.len()])
    }
}

#[test]
fn a_rolling_restart_of_all_hosts_causes_no_error() {
    common::run(async {
        let mut fleet = Fleet::spawn()?;
        let settings = engine::Settings {
            decode_ms: 10.0,
            ..Default::default()
        };
        let mut engines = Vec::new();
        for _ in 0..3 {
            engines.push(fleet.add_engine("register-model", &settings).await?);
        }
        for _ in 0..HOSTS {
            fleet.add_host(SETTINGS).await?;
        }
        fleet.submit(0, common::CONFIGURATION).await?;
        fleet.wait_until_linked().await?;
        let balancer = Balancer::default();
        let addresses = |fleet: &Fleet| {
            fleet
                .running()
                .map(|index| (fleet.callers(index), fleet.operators(index)))
                .collect()
        };
        *balancer.hosts.lock().expect("the lock is not poisoned") = addresses(&fleet);
        balancer.check_ready().await;
        let checker = balancer.clone();
        let _checking = spawn(async move {
            loop {
                Timer::after(BALANCER_POLL).await;
                checker.check_ready().await;
            }
        });
        let done = Arc::new(AtomicBool::new(false));
        let (stop, picks) = (Arc::clone(&done), balancer.clone());
        let load = spawn(async move {
            let mut tasks = Vec::new();
            for turn in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let keys = [common::URGENT_KEY, common::PATIENT_KEY];
                let request = CompletionRequest::new(
                    keys[turn % 2],
                    "register-model",
                    &format!("number-{turn}"),
                );
                let request = if turn % 3 == 0 {
                    request.streamed(100)
                } else {
                    request
                };
                let address = picks.pick(turn).expect("some host is ready");
                tasks.push(send(address, request));
                Timer::after(Duration::from_millis(20)).await;
            }
            join_all(tasks).await
        });
        for index in 0..HOSTS {
            let mut host = fleet.hosts[index].take().expect("started");
            host.terminate();
            let status = host.wait(EXIT_TIMEOUT).expect("the host exits");
            assert_eq!(status.code(), Some(0), "host {index} cut requests");
            fleet.start_host(index, SETTINGS).await?;
            fleet.wait_in_force(1).await?;
            *balancer.hosts.lock().expect("the lock is not poisoned") = addresses(&fleet);
        }
        done.store(true, Ordering::Relaxed);
        let outcomes = load.await;
        check(
            "rolling restart",
            &outcomes,
            &count_arrivals(&fleet, &engines).await?,
        );
        let failed: Vec<_> = outcomes
            .iter()
            .filter(|outcome| !outcome.result.as_ref().is_ok_and(|answer| answer.whole))
            .collect();
        assert!(
            failed.is_empty(),
            "{} of {}: {failed:?}",
            failed.len(),
            outcomes.len()
        );
        assert_eq!(count_whole(&outcomes), outcomes.len());
        Ok(())
    });
}
