//! Faults, drawn one after the other.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane::client;
use cypressvane::manifest::Record;
use cypressvane::runtime;
use cypressvane_standin::fleet::{Fleet, OPERATOR_KEY};
use cypressvane_standin::platform;
use cypressvane_standin::proxy::{self, Fault, Way};
use fastrand::Rng;
use http_types::Method;
use http_types::headers::AUTHORIZATION;
use smol::Timer;

use crate::{SETTINGS, configuration};

/// Longest time that a host may take to end.
const PATIENCE: Duration = Duration::from_secs(60);
/// Operators that submit at the same moment.
const OPERATORS: u64 = 5;

/// The faults of a run, and what they left behind.
pub struct Faults {
    proxies: Vec<proxy::Handle>,
    count: u64,
    kinds: BTreeMap<&'static str, u64>,
    accepted: Vec<Record>,
    submitted: u64,
    /// Highest version seen in force at each host's incarnation.
    versions: BTreeMap<(String, u64), u64>,
    reverted: Vec<String>,
}

impl Faults {
    /// Puts a proxy before each engine.
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

    /// Number of each kind.
    pub fn kinds(&self) -> &BTreeMap<&'static str, u64> {
        &self.kinds
    }

    /// The highest version that an operator was told is accepted; the first at least.
    pub fn accepted(&self) -> u64 {
        self.accepted
            .iter()
            .map(|record| record.version)
            .max()
            .unwrap_or(1)
    }

    /// Draws a fault, lets it last, and mends it.
    pub async fn next(&mut self, fleet: &mut Fleet, rng: &mut Rng) -> io::Result<()> {
        let host = rng.usize(0..fleet.hosts.len());
        let engine = rng.usize(0..self.proxies.len());
        let lasting = Duration::from_millis(rng.u64(200..2_500));
        let bytes = rng.u64(0..1_500);
        let kind = match rng.u8(0..9) {
            0 => self.kill(fleet, host, lasting).await?,
            1 => Self::freeze(fleet, host, lasting).await,
            2 => Self::restart(fleet, host).await?,
            3 => {
                let fault = Fault {
                    back: Way::CutAfter(bytes),
                    ..Fault::default()
                };
                self.disturb(engine, fault, lasting, "answers cut").await
            }
            4 => {
                let fault = Fault {
                    forth: Way::CutAfter(bytes),
                    ..Fault::default()
                };
                self.disturb(engine, fault, lasting, "requests cut").await
            }
            5 => {
                let fault = Fault {
                    back: Way::Freeze,
                    ..Fault::default()
                };
                self.disturb(engine, fault, lasting, "engine frozen").await
            }
            6 => {
                let table = if rng.bool() {
                    platform::Trouble::Fails
                } else {
                    platform::Trouble::Hangs
                };
                let fault = platform::Fault {
                    table,
                    ..Default::default()
                };
                Self::outage(fleet, &fault, lasting, "table out").await?
            }
            7 => {
                let lost = rng.u64(1..20);
                let fault = platform::Fault {
                    lose_write_answers: lost,
                    ..Default::default()
                };
                Self::outage(fleet, &fault, lasting, "write answers lost").await?
            }
            _ => self.race(fleet, rng).await,
        };
        self.count += 1;
        *self.kinds.entry(kind).or_default() += 1;
        self.watch(fleet).await;
        Ok(())
    }

    async fn kill(
        &mut self,
        fleet: &mut Fleet,
        host: usize,
        lasting: Duration,
    ) -> io::Result<&'static str> {
        if let Some(mut process) = fleet.hosts[host].take() {
            process.kill();
        }
        Timer::after(lasting).await;
        fleet.start_host(host, SETTINGS).await?;
        Ok("host killed")
    }

    async fn freeze(fleet: &Fleet, host: usize, lasting: Duration) -> &'static str {
        fleet.host(host).freeze();
        Timer::after(lasting).await;
        fleet.host(host).resume();
        "host frozen"
    }

    async fn restart(fleet: &mut Fleet, host: usize) -> io::Result<&'static str> {
        if let Some(mut process) = fleet.hosts[host].take() {
            process.terminate();
            let left = smol::unblock(move || process.wait(PATIENCE)).await;
            left.ok_or_else(|| io::Error::other("a host did not leave"))?;
        }
        fleet.start_host(host, SETTINGS).await?;
        Ok("host restarted")
    }

    async fn disturb(
        &self,
        engine: usize,
        fault: Fault,
        lasting: Duration,
        kind: &'static str,
    ) -> &'static str {
        self.proxies[engine].set(fault);
        Timer::after(lasting).await;
        self.proxies[engine].set(Fault::default());
        kind
    }

    async fn outage(
        fleet: &Fleet,
        fault: &platform::Fault,
        lasting: Duration,
        kind: &'static str,
    ) -> io::Result<&'static str> {
        fleet.set_fault(fault).await?;
        Timer::after(lasting).await;
        fleet.set_fault(&platform::Fault::default()).await?;
        Ok(kind)
    }

    /// Several operators submit at once at different hosts.
    async fn race(&mut self, fleet: &Fleet, rng: &mut Rng) -> &'static str {
        let hosts: Vec<usize> = fleet.running().collect();
        let mut tasks = Vec::new();
        for _ in 0..OPERATORS {
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

    /// Notes the versions in force; a host must never go back within its life.
    async fn watch(&mut self, fleet: &Fleet) {
        for index in fleet.running() {
            let Ok(state) = fleet.state(index).await else {
                continue;
            };
            let life = (state.host.to_string(), state.incarnation);
            let highest = self.versions.entry(life).or_default();
            if state.version < *highest {
                self.reverted
                    .push(format!("{} went back to {}", state.host, state.version));
            }
            *highest = state.version.max(*highest);
        }
    }

    /// Ends all faults.
    pub async fn heal(&mut self, fleet: &mut Fleet) -> io::Result<()> {
        for proxy in &self.proxies {
            proxy.set(Fault::default());
        }
        fleet.set_fault(&platform::Fault::default()).await
    }

    /// What does not hold of the configuration in the end.
    pub async fn violations(&self, fleet: &Fleet) -> io::Result<Vec<String>> {
        let mut found = self.reverted.clone();
        let mut versions: Vec<u64> = self.accepted.iter().map(|record| record.version).collect();
        versions.sort_unstable();
        let all = versions.len();
        versions.dedup();
        if versions.len() != all {
            found.push("two operators were told the same version is theirs".to_owned());
        }
        let mut digests = Vec::new();
        for index in fleet.running() {
            digests.push(fleet.state(index).await?.digest);
        }
        digests.dedup();
        if digests.len() != 1 {
            found.push(format!("hosts differ in the configuration: {digests:?}"));
        }
        Ok(found)
    }
}

/// Submits a configuration; `None` unless it is accepted.
async fn submit(address: SocketAddr, text: String) -> Option<Record> {
    let mut request = client::request(Method::Post, address, "/v1/config");
    request.insert_header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"));
    request.set_body(text);
    let reply = client::call(address, request, 1 << 20, PATIENCE)
        .await
        .ok()?;
    if !reply.is_success() {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
