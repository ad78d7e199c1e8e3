//! A fleet of processes on loopback: a platform, backend servers and hosts.

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

/// The key of the operator of a test fleet.
pub const OPERATOR_KEY: &str = "operator-key";
/// The region of a test fleet.
pub const REGION: &str = "region";
/// The data centres of a test fleet, assigned to hosts and to backend servers in turn.
pub const DATA_CENTRES: [&str; 4] = ["hut-north", "hut-south", "saleyard", "depot-east"];
/// The peer key that the hosts of a test fleet share.
const PEER_KEY: &str = "a-peer-key-for-tests";
/// Timeout of calls and of waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL: Duration = Duration::from_millis(20);
/// Maximum size of an answer, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// A fleet of processes, which are killed on drop.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Process,
    /// The address at which hosts reach the platform; can be set to that of a proxy.
    pub platform_address: SocketAddr,
    /// The hosts by index; `None` where one was removed.
    pub hosts: Vec<Option<Process>>,
    /// The backend servers by index.
    pub backends: Vec<Process>,
    /// Worker threads of hosts that are started later.
    pub threads: usize,
    /// Poll interval of the configuration on hosts that are started later, in milliseconds.
    pub poll_ms: u64,
    /// Lines added to the `[host]` section of hosts that are started later.
    pub host_settings: String,
    /// The host list; a change takes effect with [`Fleet::publish`].
    pub entries: Vec<Entry>,
    settings_files: Vec<SettingsFile>,
}

/// A settings file that is deleted on drop.
#[derive(Debug)]
struct SettingsFile(PathBuf);

impl Drop for SettingsFile {
    fn drop(&mut self) {
        // A file left in the temporary folder is harmless.
        let _ = fs::remove_file(&self.0);
    }
}

impl SettingsFile {
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
    /// Starts a platform with an empty table and an empty host list.
    ///
    /// # Errors
    /// When the platform does not start.
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
            host_settings: String::new(),
            entries: Vec::new(),
            settings_files: Vec::new(),
        })
    }

    /// Starts a model engine and returns its index.
    ///
    /// # Errors
    /// When a process does not start, or the platform refuses the host list.
    pub async fn add_engine(
        &mut self,
        service: &str,
        settings: &engine::Settings,
    ) -> io::Result<usize> {
        let settings = serde_json::to_string(settings)?;
        let process = Process::spawn("standin", &["engine", "--settings", settings.as_str()])?;
        self.add_backend(service, process).await
    }

    /// Starts a plain service and returns its index.
    ///
    /// # Errors
    /// When a process does not start, or the platform refuses the host list.
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
            cold_ms: None,
        });
        self.backends.push(process);
        self.publish().await?;
        Ok(index)
    }

    /// Starts a host and returns its index; `more` is appended to its settings file.
    ///
    /// # Errors
    /// When a process does not start, or the platform refuses the host list.
    pub async fn add_host(&mut self, more: &str) -> io::Result<usize> {
        let index = self.hosts.len();
        self.hosts.push(None);
        self.start_host(index, more).await?;
        Ok(index)
    }

    /// Starts the host `index` with a new process, after the last one was removed.
    ///
    /// # Errors
    /// When its settings file cannot be written, the process does not start, or the platform refuses the
    /// host list.
    pub async fn start_host(&mut self, index: usize, more: &str) -> io::Result<()> {
        let name = host_name(index);
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let settings = SettingsFile::write(&format!(
            "[host]\nname = \"{name}\"\ndata_centre = \"{data_centre}\"\nregion = \"{REGION}\"\n\
             peer_key = \"{PEER_KEY}\"\nthreads = {threads}\nbootstrap_key_sha256 = \"{}\"\n\
             {host_settings}\n\
             [listeners]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\n\
             [platform]\ntable = \"{address}\"\nhosts = \"{address}\"\npoll_ms = {poll_ms}\n{more}",
            digest::sha256_hex(OPERATOR_KEY.as_bytes()),
            address = self.platform_address,
            threads = self.threads,
            poll_ms = self.poll_ms,
            host_settings = self.host_settings,
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
            cold_ms: None,
        });
        self.hosts[index] = Some(process);
        self.settings_files.push(settings);
        self.publish().await
    }

    /// Sends the host list to the platform.
    ///
    /// # Errors
    /// When the platform does not accept it.
    pub async fn publish(&self) -> io::Result<()> {
        self.put_to_platform("/hosts", &self.entries).await
    }

    /// Sets the faults that the platform simulates.
    ///
    /// # Errors
    /// When the platform does not accept them.
    pub async fn set_fault(&self, fault: &crate::platform::Fault) -> io::Result<()> {
        self.put_to_platform("/fault", fault).await
    }

    async fn put_to_platform<T: Serialize>(&self, path: &str, value: &T) -> io::Result<()> {
        put(self.platform.address("address"), path, value).await
    }

    /// Replaces the settings of an engine.
    ///
    /// # Errors
    /// When the engine does not accept them.
    pub async fn set_engine(&self, index: usize, settings: &engine::Settings) -> io::Result<()> {
        put(
            self.backends[index].address("address"),
            "/settings",
            settings,
        )
        .await
    }

    /// Reads the ledger of an engine.
    ///
    /// # Errors
    /// When the engine does not answer.
    pub async fn ledger(&self, index: usize) -> io::Result<engine::Ledger> {
        get(self.backends[index].address("address"), "/ledger").await
    }

    /// The process of a host.
    ///
    /// # Panics
    /// When the host was removed.
    #[must_use]
    pub fn host(&self, index: usize) -> &Process {
        self.hosts[index].as_ref().expect("the host is running")
    }

    /// The address at which a host serves callers.
    #[must_use]
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.host(index).address("callers")
    }

    /// The address at which a host serves operators.
    #[must_use]
    pub fn operators(&self, index: usize) -> SocketAddr {
        self.host(index).address("operators")
    }

    /// The address at which a host serves other hosts.
    #[must_use]
    pub fn peers(&self, index: usize) -> SocketAddr {
        self.host(index).address("peers")
    }

    /// The indexes of the hosts that were not removed.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.is_some())
            .map(|(index, _)| index)
    }

    /// Submits a configuration at a host and waits until it is in force on every running host.
    ///
    /// Returns its version.
    ///
    /// # Errors
    /// When it is not accepted, or not in force within `TIMEOUT`.
    pub async fn submit(&self, index: usize, configuration: &str) -> io::Result<u64> {
        let mut request = client::request(Method::Post, self.operators(index), "/v1/config");
        request.set_body(configuration.to_owned());
        let record: cypressvane::manifest::Record =
            send(self.operators(index), authorized(request)).await?;
        self.wait_in_force(record.version).await?;
        Ok(record.version)
    }

    /// Waits until every running host is ready and has at least this version in force.
    ///
    /// # Errors
    /// When that takes longer than `TIMEOUT`.
    pub async fn wait_in_force(&self, version: u64) -> io::Result<()> {
        for index in self.running() {
            self.wait_until("the version is in force", async || {
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
    /// When that takes longer than `TIMEOUT`.
    pub async fn wait_until_linked(&self) -> io::Result<()> {
        let others = self.running().count() - 1;
        for index in self.running() {
            self.wait_until("the hosts see each other", async || {
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

    /// Polls until a condition is met; `what` describes it in the error.
    ///
    /// # Errors
    /// When the condition is not met within `TIMEOUT`.
    pub async fn wait_until(
        &self,
        what: &str,
        condition: impl AsyncFn() -> bool,
    ) -> io::Result<()> {
        let end = Instant::now() + TIMEOUT;
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

    /// Reads the summary of the state of a host.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn state(&self, index: usize) -> io::Result<State> {
        let address = self.operators(index);
        send(
            address,
            authorized(client::request(Method::Get, address, "/v1/state")),
        )
        .await
    }

    /// Reads the state dump of a host.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn dump(&self, index: usize) -> io::Result<Dump> {
        let address = self.operators(index);
        send(
            address,
            authorized(client::request(Method::Get, address, "/dump")),
        )
        .await
    }

    /// Sums the values of the metrics of a host whose name begins with `name`, over all labels.
    ///
    /// # Errors
    /// When the host does not answer.
    pub async fn metric(&self, index: usize, name: &str) -> io::Result<f64> {
        let address = self.operators(index);
        let request = client::request(Method::Get, address, "/metrics");
        let reply = client::call(address, request, ANSWER_BYTES_MAX, TIMEOUT).await;
        let body = reply.map_err(io::Error::other)?.body;
        let text = String::from_utf8_lossy(&body);
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        Ok(values.sum())
    }

    /// Reads the counters of the calls to the platform.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn stats(&self) -> io::Result<crate::platform::Stats> {
        get(self.platform.address("address"), "/stats").await
    }
}

/// The name of the host `index`.
#[must_use]
pub fn host_name(index: usize) -> String {
    format!("host-{index}")
}

fn authorized(mut request: Request) -> Request {
    request.insert_header(AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"));
    request
}

/// Sends a GET request and parses the JSON answer.
///
/// # Errors
/// When there is no successful answer, or it does not parse.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> io::Result<T> {
    send(address, client::request(Method::Get, address, path)).await
}

async fn put<T: Serialize>(address: SocketAddr, path: &str, value: &T) -> io::Result<()> {
    let mut request = client::request(Method::Put, address, path);
    request.set_body(serde_json::to_vec(value)?);
    let reply = client::call(address, request, ANSWER_BYTES_MAX, TIMEOUT).await;
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
    let reply = client::call(address, request, ANSWER_BYTES_MAX, TIMEOUT).await;
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
