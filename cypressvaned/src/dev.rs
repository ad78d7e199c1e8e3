//! `--dev`: a single host on loopback with a built-in platform and backend servers.

use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cypressvane::config::{
    self, Accounts, Admission, ColdStarts, Config, Engines, Limits, Listeners, Logs, Peers,
    Platform, Quarantine, Retries, Rollouts, Sharing, Timeouts,
};
use cypressvane::fleet::{Account, Fleet, Operator, Policy, Service, Tier};
use cypressvane::host;
use cypressvane::platform::{Entry, Kind, Presence};
use cypressvane::{digest, fleet, manifest};
use cypressvane_standin::{engine, plain, platform};

use crate::Error;

/// The key of the client account.
const CALLER_KEY: &str = "dev-key";
/// The key of the operator.
const OPERATOR_KEY: &str = "dev-operator";
/// The model that the engine serves.
const MODEL: &str = "echo";
/// The plain service that the plain backend server serves.
const PLAIN_SERVICE: &str = "lookup";
/// The name of both the region and the data centre.
const LOCATION: &str = "dev";
/// Default address of the listener for callers.
const DEFAULT_CALLERS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 8470);
/// Interval between two reads of the configuration, in milliseconds.
const POLL_MS: u64 = 250;

/// The platform and the backend servers of a `--dev` host.
#[derive(Debug)]
pub struct Environment {
    callers: SocketAddr,
    platform: platform::Handle,
    _engine: engine::Handle,
    _plain: plain::Handle,
}

impl Environment {
    /// Starts the platform and the backend servers, and writes a first configuration.
    pub fn start(listen: Option<SocketAddr>) -> Result<Self, Error> {
        let callers = listen.unwrap_or(DEFAULT_CALLERS);
        if !callers.ip().is_loopback() {
            return Err(Error::Usage("--dev listens on loopback addresses only"));
        }
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = platform::bind(any_port)?;
        let engine = engine::bind(any_port, MODEL, engine::Settings::default())?;
        let plain = plain::bind(any_port, Duration::ZERO)?;
        platform.set_hosts(vec![
            backend("echo-0", MODEL, engine.address()),
            backend("lookup-0", PLAIN_SERVICE, plain.address()),
        ]);
        for (key, value) in rows(&configuration()) {
            platform.insert(key, value);
        }
        Ok(Self {
            callers,
            platform,
            _engine: engine,
            _plain: plain,
        })
    }

    /// Returns the settings of the host.
    pub fn config(&self) -> Config {
        let port = self.callers.port();
        let operators_port = if port == 0 { 0 } else { port + 1 };
        let at_port = |port| SocketAddr::new(self.callers.ip(), port);
        Config {
            host: config::Host {
                name: "dev".into(),
                data_centre: LOCATION.into(),
                region: LOCATION.into(),
                peer_key: digest::sha256_hex(CALLER_KEY.as_bytes()),
                bootstrap_key_sha256: None,
                source_address: None,
                threads: 0,
            },
            listeners: Listeners {
                peers_public: None,
                callers: self.callers,
                operators: at_port(operators_port),
                peers: at_port(0),
                routes: None,
            },
            platform: Platform {
                poll_ms: POLL_MS,
                ..Platform::at(self.platform.address())
            },
            limits: Limits::default(),
            timeouts: Timeouts {
                grace_ms: 0,
                ..Timeouts::default()
            },
            peers: Peers::default(),
            engines: Engines::default(),
            accounts: Accounts::default(),
            cold_starts: ColdStarts::default(),
            admission: Admission::default(),
            retries: Retries::default(),
            quarantine: Quarantine::default(),
            rollouts: Rollouts::default(),
            servers: config::Servers::default(),
            sharing: Sharing::default(),
            // Standard output is used for the text that `announce` prints.
            logs: Logs {
                to_stderr: true,
                ..Logs::default()
            },
        }
    }
}

/// Prints the listeners, the keys, the services and an example call.
pub fn announce(host: &host::Handle) -> io::Result<()> {
    let (callers, operators) = (host.callers(), host.operators());
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "callers   http://{callers}  (Authorization: Bearer {CALLER_KEY})"
    )?;
    writeln!(
        out,
        "operators http://{operators}  (Authorization: Bearer {OPERATOR_KEY})"
    )?;
    writeln!(
        out,
        "models: {MODEL}; plain services: {PLAIN_SERVICE}; end with Ctrl-C; try:"
    )?;
    writeln!(
        out,
        "curl -N http://{callers}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' \
         -d '{{\"model\": \"{MODEL}\", \"prompt\": \"hello\", \"max_tokens\": 5, \
         \"stream\": true}}'"
    )?;
    out.flush()
}

fn backend(name: &str, service: &str, address: SocketAddr) -> Entry {
    Entry {
        name: name.into(),
        kind: Kind::Backend,
        address,
        operators: None,
        service: Some(service.into()),
        data_centre: LOCATION.into(),
        region: LOCATION.into(),
        presence: Presence::Live,
        version: None,
        slots: None,
        started_ms: None,
        cold_ms: None,
    }
}

/// Returns the table rows of an accepted first version.
fn rows(fleet: &Fleet) -> Vec<(String, String)> {
    let partition = manifest::Partition::new(fleet);
    partition.rows(&manifest::Record {
        version: 1,
        manifest: partition.manifest.digest(),
        submission: "dev".to_owned(),
        author: "dev".to_owned(),
        accepted_at: 0,
        changes: None,
    })
}

fn configuration() -> Fleet {
    let tier = |name: &str, first_token_ms| Tier {
        name: name.into(),
        first_token_ms,
        between_tokens_ms: 41,
        deadline_ms: 120_000,
        refuse_late: false,
    };
    let service = |name: &str, kind, policy: Option<&str>| Service {
        name: name.into(),
        kind,
        idempotent: true,
        policy: policy.map(Into::into),
        slots: 32,
        cold_requests_per_second: None,
    };
    Fleet {
        evacuated: Vec::new(),
        tiers: vec![tier("urgent", 460), tier("patient", 10_000)],
        accounts: vec![Account {
            name: "dev".into(),
            key_sha256: digest::sha256_hex(CALLER_KEY.as_bytes()),
            tier: "urgent".into(),
            ..Account::default()
        }],
        services: vec![
            service(MODEL, fleet::Kind::Model, Some("short-first")),
            service(PLAIN_SERVICE, fleet::Kind::Plain, None),
        ],
        rules: Vec::new(),
        policies: vec![Policy {
            name: "short-first".into(),
            program: "fn decide(request, queue) { wait(-request.prompt_tokens) }".to_owned(),
        }],
        operators: vec![Operator {
            name: "dev".into(),
            key_sha256: digest::sha256_hex(OPERATOR_KEY.as_bytes()),
        }],
        routes: Vec::new(),
    }
}
