//! A whole fleet of processes on loopback: platform, backend servers and hosts.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cypressvane::client;
use cypressvane::clock::Instant;
use cypressvane::digest;
use cypressvane::dump::Dump;
use cypressvane::host::State;
use cypressvane::platform::{Entry, Kind, Presence};
use http_types::headers::AUTHORIZATION;
use http_types::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::engine;
use crate::process::Process;

/// The key of the operator in a test fleet.
pub const OPERATOR_KEY: &str = "operator-key";
/// The region of a test fleet.
pub const REGION: &str = "region";
/// The data centres of a test fleet, taken in turn.
pub const DATA_CENTRES: [&str; 4] = ["hut-north", "hut-south", "saleyard", "depot-east"];
/// The key that the hosts of a test fleet share.
const PEER_KEY: &str = "a-peer-key-for-tests";
/// Longest time that a condition is waited for.
const PATIENCE: Duration = Duration::from_secs(60);
/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(20);
/// Largest answer that is read, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// A fleet of processes; dropping it ends them all.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// Where hosts meet the platform; a proxy may stand before it.
    pub platform_address: SocketAddr,
    /// The hosts by index; `None` where one was taken out.
    pub hosts: Vec<Option<Process>>,
    /// The backend servers by index.
    pub backends: Vec<Process>,
    /// Worker threads of the hosts that are started from now on.
    pub threads: usize,
    /// Time between two reads of the configuration by hosts that are started from now on.
    pub poll_ms: u64,
    /// The host list as the platform has it.
    pub entries: Vec<Entry>,
    settings: Vec<Settings>,
}

/// A settings file that is removed in the end.
#[derive(Debug)]
struct Settings(PathBuf);

impl Drop for Settings {
    fn drop(&mut self) {
        // A file in the temporary folder that stays does no harm.
        let _ = fs::remove_file(&self.0);
    }
}

impl Settings {
    fn write(text: &str) -> io::Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("cypressvane-{}-{number}.toml", std::process::id());
        let path = env::temp_dir().join(name);
        fs::write(&path, text)?;
        Ok(Self(path))
    }
}

impl Fleet {
    /// Starts a platform with an empty table and host list.
    ///
    /// # Errors
    /// When it does not start.
    pub fn spawn() -> io::Result<Self> {
        let platform = Process::spawn("standin", &["platform"])?;
        let platform_address = platform.address("address");
        Ok(Self {
            platform,
            platform_address,
            hosts: Vec::new(),
            backends: Vec::new(),
            threads: 1,
            poll_ms: 200,
            entries: Vec::new(),
            settings: Vec::new(),
        })
    }

    /// Starts a model engine and gives its index.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn add_engine(
        &mut self,
        service: &str,
        settings: &engine::Settings,
    ) -> io::Result<usize> {
        let settings = serde_json::to_string(settings)?;
        let process = Process::spawn("standin", &["engine", "--settings", settings.as_str()])?;
        self.add_backend(service, process).await
    }

    /// Starts a plain service and gives its index.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn add_plain(&mut self, service: &str) -> io::Result<usize> {
        let process = Process::spawn("standin", &["plain"])?;
        self.add_backend(service, process).await
    }

    async fn add_backend(&mut self, service: &str, process: Process) -> io::Result<usize> {
        let index = self.backends.len();
        self.entries.push(Entry {
            name: format!("{service}-{index}").into(),
            kind: Kind::Backend,
            address: process.address("address"),
            operators: None,
            service: Some(service.into()),
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
            region: REGION.into(),
            presence: Presence::Live,
            version: None,
            slots: None,
            started_ms: None,
        });
        self.backends.push(process);
        self.publish().await?;
        Ok(index)
    }

    /// Starts a host and gives its index; `more` is added to its settings.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn add_host(&mut self, more: &str) -> io::Result<usize> {
        let index = self.hosts.len();
        self.hosts.push(None);
        self.start_host(index, more).await?;
        Ok(index)
    }

    /// Starts the host of an index anew, after it was taken out.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_host(&mut self, index: usize, more: &str) -> io::Result<()> {
        let name = host_name(index);
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let settings = Settings::write(&format!(
            "[host]\nname = \"{name}\"\ndata_centre = \"{data_centre}\"\nregion = \"{REGION}\"\n\
             peer_key = \"{PEER_KEY}\"\nthreads = {threads}\nbootstrap_key_sha256 = \"{}\"\n\
             [listeners]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\n\
             [platform]\ntable = \"{address}\"\nhosts = \"{address}\"\npoll_ms = {poll_ms}\n{more}",
            digest::hex(OPERATOR_KEY.as_bytes()),
            address = self.platform_address,
            threads = self.threads,
            poll_ms = self.poll_ms,
        ))?;
        let path = settings.0.as_os_str().to_owned();
        let process = Process::spawn("cypressvaned", &["--config".into(), path])?;
        self.entries.retain(|entry| *entry.name != *name);
        self.entries.push(Entry {
            name: name.into(),
            kind: Kind::Entry,
            address: process.address("peers"),
            operators: Some(process.address("operators")),
            service: None,
            data_centre: data_centre.into(),
            region: REGION.into(),
            presence: Presence::Live,
            version: None,
            slots: None,
            started_ms: None,
        });
        self.hosts[index] = Some(process);
        self.settings.push(settings);
        self.publish().await
    }

    /// Gives the host list to the platform.
    ///
    /// # Errors
    /// When the platform does not take it.
    pub async fn publish(&self) -> io::Result<()> {
        self.put_platform("/hosts", &self.entries).await
    }

    /// Orders troubles of the platform.
    ///
    /// # Errors
    /// When the platform does not take them.
    pub async fn set_fault(&self, fault: &crate::platform::Fault) -> io::Result<()> {
        self.put_platform("/fault", fault).await
    }

    async fn put_platform<T: Serialize>(&self, path: &str, value: &T) -> io::Result<()> {
        put(self.platform.address("address"), path, value).await
    }

    /// Changes how an engine works.
    ///
    /// # Errors
    /// When the engine does not take it.
    pub async fn set_engine(&self, index: usize, settings: &engine::Settings) -> io::Result<()> {
        put(
            self.backends[index].address("address"),
            "/settings",
            settings,
        )
        .await
    }

    /// What an engine saw.
    ///
    /// # Errors
    /// When the engine does not answer.
    pub async fn ledger(&self, index: usize) -> io::Result<engine::Ledger> {
        get(self.backends[index].address("address"), "/ledger").await
    }

    /// The process of a host.
    ///
    /// # Panics
    /// When it was taken out.
    #[must_use]
    pub fn host(&self, index: usize) -> &Process {
        self.hosts[index]
            .as_ref()
            .expect("the host was not taken out")
    }

    /// Where a host answers callers.
    #[must_use]
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.host(index).address("callers")
    }

    /// Where a host answers operators.
    #[must_use]
    pub fn operators(&self, index: usize) -> SocketAddr {
        self.host(index).address("operators")
    }

    /// Where a host's peers listener answers.
    #[must_use]
    pub fn peers(&self, index: usize) -> SocketAddr {
        self.host(index).address("peers")
    }

    /// The indexes of the hosts that were not taken out.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.is_some())
            .map(|(index, _)| index)
    }

    /// Submits a configuration at a host and waits until every running host is ready with it.
    ///
    /// # Errors
    /// When it is not accepted or not in force within a generous time.
    pub async fn submit(&self, index: usize, configuration: &str) -> io::Result<u64> {
        let mut request = client::request(Method::Post, self.operators(index), "/v1/config");
        request.set_body(configuration.to_owned());
        let record: cypressvane::manifest::Record =
            send(self.operators(index), signed(request)).await?;
        self.in_force(record.version).await?;
        Ok(record.version)
    }

    /// Waits until every running host is ready and has at least this version in force.
    ///
    /// # Errors
    /// When that takes longer than a generous time.
    pub async fn in_force(&self, version: u64) -> io::Result<()> {
        for index in self.running() {
            self.until("the version is in force", async || {
                let state = self.state(index).await;
                state.is_ok_and(|state| state.ready && state.version >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every running host sees every other as live.
    ///
    /// # Errors
    /// When that takes longer than a generous time.
    pub async fn linked(&self) -> io::Result<()> {
        let others = self.running().count() - 1;
        for index in self.running() {
            self.until("the hosts see each other", async || {
                let dump = self.dump(index).await;
                let live = |dump: Dump| {
                    dump.peers
                        .iter()
                        .filter(|peer| peer.state == "live")
                        .count()
                };
                dump.is_ok_and(|dump| dump.homes.len() == others + 1 && live(dump) == others)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits for a condition.
    ///
    /// # Errors
    /// When it does not come within a generous time.
    pub async fn until(&self, what: &str, condition: impl AsyncFn() -> bool) -> io::Result<()> {
        let end = Instant::now() + PATIENCE;
        while !condition().await {
            if Instant::now() > end {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("waited for: {what}"),
                ));
            }
            Timer::after(POLL).await;
        }
        Ok(())
    }

    /// The state of a host in short.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn state(&self, index: usize) -> io::Result<State> {
        let address = self.operators(index);
        send(
            address,
            signed(client::request(Method::Get, address, "/v1/state")),
        )
        .await
    }

    /// The state dump of a host.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn dump(&self, index: usize) -> io::Result<Dump> {
        let address = self.operators(index);
        send(
            address,
            signed(client::request(Method::Get, address, "/dump")),
        )
        .await
    }

    /// The sum of a metric of a host over all its labels.
    ///
    /// # Errors
    /// When the host does not answer.
    pub async fn metric(&self, index: usize, name: &str) -> io::Result<f64> {
        let address = self.operators(index);
        let request = client::request(Method::Get, address, "/metrics");
        let reply = client::call(address, request, ANSWER_BYTES_MAX, PATIENCE).await;
        let body = reply.map_err(io::Error::other)?.body;
        let text = String::from_utf8_lossy(&body);
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        Ok(values.sum())
    }

    /// What was asked of the platform.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn stats(&self) -> io::Result<crate::platform::Stats> {
        get(self.platform.address("address"), "/stats").await
    }
}

/// The name of the host of an index.
#[must_use]
pub fn host_name(index: usize) -> String {
    format!("host-{index}")
}

fn signed(mut request: Request) -> Request {
    request.insert_header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"));
    request
}

/// Reads JSON from a path.
///
/// # Errors
/// When there is no answer, or not the one meant.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> io::Result<T> {
    send(address, client::request(Method::Get, address, path)).await
}

async fn put<T: Serialize>(address: SocketAddr, path: &str, value: &T) -> io::Result<()> {
    let mut request = client::request(Method::Put, address, path);
    request.set_body(serde_json::to_vec(value)?);
    let reply = client::call(address, request, ANSWER_BYTES_MAX, PATIENCE).await;
    let reply = reply.map_err(io::Error::other)?;
    if reply.is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "{path} answered {}",
        reply.status()
    )))
}

async fn send<T: DeserializeOwned>(address: SocketAddr, request: Request) -> io::Result<T> {
    let reply = client::call(address, request, ANSWER_BYTES_MAX, PATIENCE).await;
    let reply = reply.map_err(io::Error::other)?;
    if !reply.is_success() {
        let text = String::from_utf8_lossy(&reply.body);
        return Err(io::Error::other(format!(
            "status {}: {text}",
            reply.status()
        )));
    }
    serde_json::from_slice(&reply.body).map_err(io::Error::other)
}
