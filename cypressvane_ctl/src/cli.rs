//! The command line of the tool.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use gumdrop::Options as Parse;

use crate::output::Format;

/// Returns the default address of a host's listener for operators.
fn default_host() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 8471))
}

/// Operates a fleet of cypressvane hosts.
///
/// Exit codes: 0 done; 1 refused or failed; 2 invalid command line or file; 3 no answer; 4 not in
/// force on every host in time.
#[derive(Debug, Parse)]
pub struct Options {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// print the version
    #[options(short = "V")]
    pub version: bool,
    /// address of any host's listener for operators (default 127.0.0.1:8471)
    #[options(no_short, default_expr = "default_host()", meta = "ADDRESS")]
    pub host: SocketAddr,
    /// operator key (default: the environment variable `CYPRESSVANE_KEY`)
    #[options(no_short, meta = "KEY")]
    pub key: Option<String>,
    /// output format: text or json
    #[options(no_short, default_expr = "Format::Text", meta = "FORMAT")]
    pub output: Format,
    /// what to do
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Parse)]
pub enum Command {
    /// submit or show the configuration
    Config(Config),
    /// check a policy program
    Policy(Policy),
    /// show every host's state
    Status(NoArguments),
    /// show the full state of a host
    Dump(HostArguments),
    /// drain a host
    Drain(HostArguments),
    /// order a backend server to load, unload or change its role
    Engine(Engine),
    /// list all backend servers: state, load and the rate limits that they announce
    Engines(NoArguments),
    /// list all backend servers: slots, learned and stated pace
    Servers(NoArguments),
    /// show each account's weight, share, use and refusals, for each pool
    Shares(NoArguments),
    /// list the requests during which backend servers ended, or release one
    Quarantine(Quarantine),
    /// list the evacuated data centres, or change them
    Evacuate(Evacuate),
    /// list the roll-outs: the state of each and the evidence for its decisions
    Rollout(NoArguments),
    /// explain from log files how a request ended, its cause first
    Explain(Explain),
    /// summarize from log files where answered requests spent their time
    Profile(Profile),
}

/// Submits or shows the configuration.
#[derive(Debug, Parse)]
pub struct Config {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// what to do
    #[options(command, required)]
    pub command: Option<ConfigCommand>,
}

/// What to do with the configuration.
#[derive(Debug, Parse)]
pub enum ConfigCommand {
    /// submit a file and wait until it is in force on every host
    Submit(Submit),
    /// print the configuration in force
    Show(NoArguments),
    /// list the accepted versions, newest first
    History(History),
}

/// Submits a file and waits until it is in force on every host.
#[derive(Debug, Parse)]
pub struct Submit {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the configuration, as TOML
    #[options(free, required)]
    pub file: PathBuf,
    /// reject the file unless this is the newest version
    #[options(no_short, meta = "VERSION")]
    pub base: Option<u64>,
    /// how long to wait for the hosts, in seconds
    #[options(no_short, default = "6", meta = "SECONDS")]
    pub wait: u64,
}

/// Lists the accepted versions, newest first.
#[derive(Debug, Parse)]
pub struct History {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// number of versions
    #[options(no_short, default = "20", meta = "COUNT")]
    pub last: u64,
}

/// Arguments of a command that takes none.
#[derive(Debug, Parse)]
pub struct NoArguments {
    /// print this help
    #[options(help_flag)]
    help: bool,
}

/// Arguments of a command for one host.
#[derive(Debug, Parse)]
pub struct HostArguments {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the host's name
    #[options(free, required)]
    pub host: String,
}

/// Orders to a backend server.
#[derive(Debug, Parse)]
pub struct Engine {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// what to do
    #[options(command, required)]
    pub command: Option<EngineCommand>,
}

/// The kinds of orders to a backend server.
#[derive(Debug, Parse)]
pub enum EngineCommand {
    /// load a model, adapter or version
    Load(LoadArguments),
    /// unload a model, adapter or version
    Unload(LoadArguments),
    /// change its role
    Role(RoleArguments),
}

/// Arguments of an order to load or unload.
#[derive(Debug, Parse)]
pub struct LoadArguments {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// name of the backend server in the host list
    #[options(free, required)]
    pub server: String,
    /// what to load or unload
    #[options(free, required)]
    pub name: String,
    /// kind: model, adapter or version
    #[options(no_short, default = "model", meta = "KIND")]
    pub kind: String,
}

/// Arguments of an order to change the role.
#[derive(Debug, Parse)]
pub struct RoleArguments {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// name of the backend server in the host list
    #[options(free, required)]
    pub server: String,
    /// the role
    #[options(free, required)]
    pub name: String,
}

/// Lists the requests during which backend servers ended, or releases one.
#[derive(Debug, Parse)]
pub struct Quarantine {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// what to do (default: list)
    #[options(command)]
    pub command: Option<QuarantineCommand>,
}

/// What to do with requests during which backend servers ended.
#[derive(Debug, Parse)]
pub enum QuarantineCommand {
    /// list the quarantined requests and the suspects
    List(NoArguments),
    /// release a request from quarantine on all hosts
    Release(Release),
}

/// Releases a request from quarantine.
#[derive(Debug, Parse)]
pub struct Release {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// fingerprint of the request, as shown in the list and the logs
    #[options(free, required)]
    pub fingerprint: String,
}

/// Lists the data centres whose backend servers get no new requests, or changes them.
#[derive(Debug, Parse)]
pub struct Evacuate {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// what to do (default: list)
    #[options(command)]
    pub command: Option<EvacuateCommand>,
}

/// What to do with evacuated data centres.
#[derive(Debug, Parse)]
pub enum EvacuateCommand {
    /// list the evacuated data centres
    List(NoArguments),
    /// evacuate a data centre and wait until that is in force on every host
    Start(EvacuationChange),
    /// use a data centre again
    End(EvacuationChange),
}

/// Changes whether a data centre is evacuated.
#[derive(Debug, Parse)]
pub struct EvacuationChange {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the name of the data centre
    #[options(free, required)]
    pub data_centre: String,
    /// how long to wait for the hosts, in seconds
    #[options(no_short, default = "6", meta = "SECONDS")]
    pub wait: u64,
}

/// Checks a policy program.
#[derive(Debug, Parse)]
pub struct Policy {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// what to do
    #[options(command, required)]
    pub command: Option<PolicyCommand>,
}

/// What to do with a policy program.
#[derive(Debug, Parse)]
pub enum PolicyCommand {
    /// compile a program and run it on example requests
    Check(Check),
}

/// Compiles a program and runs it on example requests.
#[derive(Debug, Parse)]
pub struct Check {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the file with the program
    #[options(free, required)]
    pub file: PathBuf,
    /// example requests: a JSON list of objects with the fields that a program receives
    #[options(no_short, meta = "FILE")]
    pub examples: Option<PathBuf>,
}

/// Explains from log files of hosts how a request ended, its cause first.
#[derive(Debug, Parse)]
pub struct Explain {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the id of the request
    #[options(free, required)]
    pub request: String,
    /// log files of hosts, in any order
    #[options(free)]
    pub files: Vec<PathBuf>,
}

/// Summarizes from log files where answered requests spent their time.
#[derive(Debug, Parse)]
pub struct Profile {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// draw the means as a chart (SVG)
    #[options(no_short, meta = "FILE")]
    pub plot: Option<PathBuf>,
    /// log files of hosts, in any order
    #[options(free)]
    pub files: Vec<PathBuf>,
}
