//! Injects random faults, one at a time.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane::client;
use cypressvane::manifest::Record;
use cypressvane::runtime;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY};
use cypressvane_standin::platform;
use cypressvane_standin::proxy::{self, Fault, Transfer};
use fastrand::Rng;
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

use crate::{SETTINGS, configuration};

/// Timeout of the exit of a host and of a submission.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Number of concurrent submissions of a configuration.
const CONCURRENT_SUBMISSIONS: u64 = 5;

/// Injects the faults of a run and records what the final checks need.
pub struct Faults {
    proxies: Vec<proxy::Handle>,
    /// Number of faults so far.
    count: u64,
    /// Number of faults so far, by kind.
    kinds: BTreeMap<&'static str, u64>,
    /// The records of the accepted submissions.
    accepted: Vec<Record>,
    /// Number of submissions, which makes each submitted configuration different.
    submitted: u64,
    /// Highest version seen in force, by host and incarnation.
    versions: BTreeMap<(String, u64), u64>,
    /// Violations: hosts that went back to a lower version.
    reverted: Vec<String>,
}

impl Faults {
    /// Replaces the address of each engine in the host list by that of a proxy.
    pub fn new(fleet: &mut Fleet) -> io::Result<Self> {
        let mut proxies = Vec::new();
        for entry in &mut fleet.entries {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let proxy = proxy::bind(any, entry.address)?;
            entry.address = proxy.address();
            proxies.push(proxy);
        }
        Ok(Self {
            proxies,
            count: 0,
            kinds: BTreeMap::new(),
            accepted: Vec::new(),
            submitted: 0,
            versions: BTreeMap::new(),
            reverted: Vec::new(),
        })
    }

    /// Number of faults so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Number of faults so far, by kind.
    pub fn kinds(&self) -> &BTreeMap<&'static str, u64> {
        &self.kinds
    }

    /// The highest version of an accepted submission; 1, the version of the first configuration, if there is none.
    pub fn highest_accepted_version(&self) -> u64 {
        self.accepted
            .iter()
            .map(|record| record.version)
            .max()
            .unwrap_or(1)
    }

    /// Injects a random fault, waits for a random time and ends the fault.
    pub async fn inject_next(&mut self, fleet: &mut Fleet, rng: &mut Rng) -> io::Result<()> {
        let host = rng.usize(0..fleet.hosts.len());
        let engine = rng.usize(0..self.proxies.len());
        let duration = Duration::from_millis(rng.u64(200..2_500));
        let bytes = rng.u64(0..1_500);
        let kind = match rng.u8(0..9) {
            0 => self.kill(fleet, host, duration).await?,
            1 => Self::freeze(fleet, host, duration).await,
            2 => Self::restart(fleet, host).await?,
            3 => {
                let fault = Fault {
                    to_client: Transfer::CutAfter(bytes),
                    ..Fault::default()
                };
                self.inject_proxy_fault(engine, fault, duration, "answers cut")
                    .await
            }
            4 => {
                let fault = Fault {
                    to_target: Transfer::CutAfter(bytes),
                    ..Fault::default()
                };
                self.inject_proxy_fault(engine, fault, duration, "requests cut")
                    .await
            }
            5 => {
                let fault = Fault {
                    to_client: Transfer::Freeze,
                    ..Fault::default()
                };
                self.inject_proxy_fault(engine, fault, duration, "engine frozen")
                    .await
            }
            6 => {
                let table = if rng.bool() {
                    platform::Outage::Fails
                } else {
                    platform::Outage::Hangs
                };
                let fault = platform::Fault {
                    table,
                    ..Default::default()
                };
                Self::inject_platform_fault(fleet, &fault, duration, "table out").await?
            }
            7 => {
                let lost = rng.u64(1..20);
                let fault = platform::Fault {
                    lose_write_answers: lost,
                    ..Default::default()
                };
                Self::inject_platform_fault(fleet, &fault, duration, "write answers lost").await?
            }
            _ => self.submit_concurrently(fleet, rng).await,
        };
        self.count += 1;
        *self.kinds.entry(kind).or_default() += 1;
        self.record_versions(fleet).await;
        Ok(())
    }

    async fn kill(
        &mut self,
        fleet: &mut Fleet,
        host: usize,
        duration: Duration,
    ) -> io::Result<&'static str> {
        if let Some(mut process) = fleet.hosts[host].take() {
            process.kill();
        }
        Timer::after(duration).await;
        fleet.start_host(host, SETTINGS).await?;
        Ok("host killed")
    }

    async fn freeze(fleet: &Fleet, host: usize, duration: Duration) -> &'static str {
        fleet.host(host).freeze();
        Timer::after(duration).await;
        fleet.host(host).resume();
        "host frozen"
    }

    async fn restart(fleet: &mut Fleet, host: usize) -> io::Result<&'static str> {
        if let Some(mut process) = fleet.hosts[host].take() {
            process.terminate();
            let status = smol::unblock(move || process.wait(TIMEOUT)).await;
            status.ok_or_else(|| io::Error::other("a host did not exit after SIGTERM"))?;
        }
        fleet.start_host(host, SETTINGS).await?;
        Ok("host restarted")
    }

    async fn inject_proxy_fault(
        &self,
        engine: usize,
        fault: Fault,
        duration: Duration,
        kind: &'static str,
    ) -> &'static str {
        self.proxies[engine].set_fault(fault);
        Timer::after(duration).await;
        self.proxies[engine].set_fault(Fault::default());
        kind
    }

    async fn inject_platform_fault(
        fleet: &Fleet,
        fault: &platform::Fault,
        duration: Duration,
        kind: &'static str,
    ) -> io::Result<&'static str> {
        fleet.set_fault(fault).await?;
        Timer::after(duration).await;
        fleet.set_fault(&platform::Fault::default()).await?;
        Ok(kind)
    }

    /// Submits several configurations concurrently at random hosts.
    async fn submit_concurrently(&mut self, fleet: &Fleet, rng: &mut Rng) -> &'static str {
        let hosts: Vec<usize> = fleet.running().collect();
        let mut tasks = Vec::new();
        for _ in 0..CONCURRENT_SUBMISSIONS {
            self.submitted += 1;
            let host = hosts[rng.usize(0..hosts.len())];
            tasks.push(runtime::spawn(submit(
                fleet.operators(host),
                configuration(self.submitted),
            )));
        }
        for task in tasks {
            self.accepted.extend(task.await);
        }
        "operators raced"
    }

    /// Records the versions in force; within an incarnation, the version of a host must not decrease.
    async fn record_versions(&mut self, fleet: &Fleet) {
        for index in fleet.running() {
            let Ok(state) = fleet.state(index).await else {
                continue;
            };
            let host_incarnation = (state.host.to_string(), state.incarnation);
            let highest = self.versions.entry(host_incarnation).or_default();
            if state.version < *highest {
                self.reverted
                    .push(format!("{} went back to {}", state.host, state.version));
            }
            *highest = state.version.max(*highest);
        }
    }

    /// Ends all faults.
    pub async fn clear(&mut self, fleet: &mut Fleet) -> io::Result<()> {
        for proxy in &self.proxies {
            proxy.set_fault(Fault::default());
        }
        fleet.set_fault(&platform::Fault::default()).await
    }

    /// The violations in the distribution of the configuration; call it when all faults have ended.
    pub async fn violations(&self, fleet: &Fleet) -> io::Result<Vec<String>> {
        let mut violations = self.reverted.clone();
        let mut versions: Vec<u64> = self.accepted.iter().map(|record| record.version).collect();
        versions.sort_unstable();
        let all = versions.len();
        versions.dedup();
        if versions.len() != all {
            violations.push("two submissions were accepted with the same version".to_owned());
        }
        let mut digests = Vec::new();
        for index in fleet.running() {
            digests.push(fleet.state(index).await?.digest);
        }
        digests.dedup();
        if digests.len() != 1 {
            violations.push(format!("hosts differ in the configuration: {digests:?}"));
        }
        Ok(violations)
    }
}

/// Submits a configuration; returns its record, or `None` unless it was accepted.
async fn submit(address: SocketAddr, text: String) -> Option<Record> {
    let mut request = client::request(Method::Post, address, "/v1/config");
    request.insert_header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"));
    request.set_body(text);
    let reply = client::call(address, request, 1 << 20, TIMEOUT)
        .await
        .ok()?;
    if !reply.is_success() {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
