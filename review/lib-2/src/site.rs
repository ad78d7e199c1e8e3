//! Hosts as processes, started with the command of the deploy file and settings from its template.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::Record;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// A running host.
pub struct Host {
    pub child: Child,
    pub name: String,
    pub routes: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
}

pub struct Folder {
    pub root: PathBuf,
    pub temporary: PathBuf,
}

/// A free address of the loopback interface.
pub fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Fills in the template of the deploy file with the bounds of the users' small sites.
fn settings(folder: &Folder, name: &str, ip: &str, store: SocketAddr, extra: &[(&str, &str)]) -> (String, SocketAddr, SocketAddr) {
    let template = fs::read_to_string(folder.root.join("deploy/cypressvaned.toml.in")).expect("the template");
    let (routes, ready, peers, callers) = (free(ip), free(ip), free(ip), free(ip));
    let mut text = template;
    let values = [
        ("{{node_name|json}}", format!("\"{name}\"")),
        ("{{zone|json}}", "\"sala-centro\"".to_owned()),
        ("{{region|json}}", "\"caldas\"".to_owned()),
        ("{{listeners_table.frontend|json}}", format!("\"{routes}\"")),
        ("{{listeners_table.ready|json}}", format!("\"{ready}\"")),
        ("{{ip_address}}:{{internal_port_range.0}}", peers.to_string()),
        ("\"127.0.0.1:8470\"", format!("\"{callers}\"")),
        ("{{platform.address|json}}", format!("\"{store}\"")),
        ("{{#bounds.strict_revocation}}", String::new()),
        ("{{/bounds.strict_revocation}}", String::new()),
        ("{{bounds.revocation_ms}}", "5000".to_owned()),
        ("{{#zones}}\"{{@}}\" = {{.|json}}\n{{/zones}}", "\"sala-centro\" = \"caldas\"".to_owned()),
        ("{{#limits.memory_mb}}", String::new()),
        ("{{/limits.memory_mb}}", String::new()),
        ("{{limits.memory_mb}}", "110".to_owned()),
        ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
        ("{{bounds.retry_budget_slack}}", "54".to_owned()),
        ("{{bounds.budget_window_s}}", "10".to_owned()),
        ("{{bounds.quota_window_s}}", "8".to_owned()),
        ("{{bounds.quota_overage}}", "0.1".to_owned()),
        ("{{bounds.quota_slack}}", "140000".to_owned()),
    ];
    for (from, to) in values {
        assert!(text.contains(from), "the template has no {from}");
        text = text.replace(from, &to);
    }
    for (from, to) in extra {
        text = text.replace(from, to);
    }
    let text: String = text.lines().filter(|line| !line.contains("{{")).map(|line| format!("{line}\n")).collect();
    (text, routes, ready)
}

impl Host {
    /// Starts a host, and waits until it says that it is ready.
    pub fn start(folder: &Folder, index: usize, store: SocketAddr, extra: &[(&str, &str)], record: &Record) -> Host {
        let (name, ip) = (format!("edge-sala-centro-{index}"), format!("127.0.1.{index}"));
        let (text, routes, ready) = settings(folder, &name, &ip, store, extra);
        let settings = folder.temporary.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a settings file");
        let child = spawn(folder, &name, &settings);
        record.line(&format!("{name}: starts as process {}, routes at {routes}", child.id()));
        let host = Host { child, name, routes, ready, settings };
        host.wait_until_ready(record);
        host
    }

    /// What the process has logged since its first start.
    pub fn log(&self, folder: &Folder) -> String {
        fs::read_to_string(folder.temporary.join(format!("{}.log", self.name))).unwrap_or_default()
    }

    /// Kills the process.
    pub fn kill(&mut self, record: &Record) {
        record.line(&format!("{}: gets SIGKILL", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings, as the platform does.
    pub fn restart(&mut self, folder: &Folder, record: &Record) {
        self.child = spawn(folder, &format!("{}-again", self.name), &self.settings);
        record.line(&format!("{}: starts again as process {}", self.name, self.child.id()));
    }

    fn wait_until_ready(&self, record: &Record) {
        let host = self;
        let end = Instant::now() + Duration::from_secs(20);
        while !host.is_ready() {
            if Instant::now() > end {
                record.line(&format!("{}: not ready in time", host.name));
                crate::cannot_run();
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("{}: is ready", host.name));
    }

    /// The platform's question whether the host is ready.
    pub fn is_ready(&self) -> bool {
        let request = Request { key: None, ..Request::new("ready", "GET", "/v1/readiness", 1_000) };
        let request = Request { path: "/readyz".to_owned(), ..request };
        send(self.ready, &request, Duration::from_secs(1), &Record::silent()).status == 200
    }

    pub fn signal(&self, name: &str, record: &Record) {
        record.line(&format!("{}: gets SIG{name}", self.name));
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal is sent");
    }
}

fn spawn(folder: &Folder, name: &str, settings: &Path) -> Child {
    let log = File::create(folder.temporary.join(format!("{name}.log"))).expect("a log");
    let errors = log.try_clone().expect("a log");
    let child = Command::new(folder.root.join("target/release/cypressvaned"))
        .arg("--config")
        .arg(settings)
        .env("CYPRESSVANE_SETTINGS", settings)
        .current_dir(&folder.root)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|_| crate::cannot_run());
    crate::STARTED.lock().expect("no panic").push(child.id());
    child
}

impl Drop for Host {
    fn drop(&mut self) {
        // A process that has ended already is no fault.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        crate::STARTED.lock().expect("no panic").retain(|started| *started != id);
    }
}

/// A route of the operator's desired state.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub gap_ms: u64,
    pub attempts: u32,
    pub resumes: bool,
    pub priority: u32,
}

impl Route<'_> {
    pub fn text(&self) -> String {
        let gap = if self.gap_ms > 0 { format!(r#","target_gap_ms":{}"#, self.gap_ms) } else { String::new() };
        format!(
            r#"{{"name":"r-{0}","host":"{HOST}","prefix":"/{0}/","kind":"{1}","timeout_ms":{2},"target_latency_ms":{3},"priority":{4},"service":"{5}","max_attempts":{6},"public":false,"session_affinity":{7},"stream_resumption":{8}{gap}}}"#,
            self.name, self.kind, self.timeout_ms, self.target_ms, self.priority, self.service, self.attempts,
            self.kind == "streaming", self.resumes
        )
    }
}

/// A desired state with the given routes and tenants.
pub fn document(version: u64, routes: &[Route<'_>], tenants: &str) -> String {
    let routes: Vec<String> = routes.iter().map(Route::text).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"asistente","health_path":"/health","connection_limit":360,"protocol":"h1","tls":false,"engine":{{"slots":7,"kv_cache_tokens":356902,"kv_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"inventario","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#,
        routes.join(",")
    )
}

/// A tenant whose limit is far above what the cases send.
pub fn tenant(name: &str, key: &str) -> String {
    format!(
        r#"{{"name":"{name}","api_keys":["{key}"],"priority":1,"unit":"token_count","uncached_tokens":200,"rate_per_s":1924050,"burst_size":1924050}}"#
    )
}

/// A server's entry in the store.
pub fn entry(service: &str, address: SocketAddr, slots: u32, state: &str, version: &str, sequence: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"sala-centro","version":"{version}","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence}}}"#
    )
}
