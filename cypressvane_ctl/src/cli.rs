//! The command line of the tool.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use gumdrop::Options as Parse;

use crate::output::Format;

/// The operators' listener of a host that runs with its default settings.
fn default_host() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 8471))
}

/// Operates a fleet of cypressvane hosts.
///
/// Exit codes: 0 done; 1 refused or failed; 2 wrong command line or document; 3 no answer; 4 not in
/// force on every host in time.
#[derive(Debug, Parse)]
pub struct Options {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// print the version
    #[options(short = "V")]
    pub version: bool,
    /// operators' listener of any host (default 127.0.0.1:8471)
    #[options(no_short, default_expr = "default_host()", meta = "ADDRESS")]
    pub host: SocketAddr,
    /// operator key (default: the variable `CYPRESSVANE_KEY`)
    #[options(no_short, meta = "KEY")]
    pub key: Option<String>,
    /// text or json
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
    Status(Status),
    /// show a host's whole state
    Dump(Named),
    /// let a host leave
    Drain(Named),
    /// order a backend server to load, unload or change its role
    Engine(Engine),
    /// list all backend servers: state, load, and the limits that they name
    Engines(Status),
    /// list the requests under which backend servers ended, or release one
    Quarantine(Quarantine),
    /// list the roll-outs: how each stands, and by what it is decided
    Rollout(Status),
    /// tell a request's story from log files, its cause first
    Explain(Explain),
    /// tell from log files where the time of answered requests went
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
    /// submit a file and wait until it is in force everywhere
    Submit(Submit),
    /// print the configuration in force
    Show(Status),
    /// list the accepted versions, newest first
    History(History),
}

/// Submits a file and waits until it is in force everywhere.
#[derive(Debug, Parse)]
pub struct Submit {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the configuration, as TOML
    #[options(free, required)]
    pub file: PathBuf,
    /// accept only right after this version
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
    /// how many
    #[options(no_short, default = "20", meta = "COUNT")]
    pub last: u64,
}

/// A command without arguments.
#[derive(Debug, Parse)]
pub struct Status {
    /// print this help
    #[options(help_flag)]
    help: bool,
}

/// A command about one host.
#[derive(Debug, Parse)]
pub struct Named {
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

/// What a backend server is ordered to do.
#[derive(Debug, Parse)]
pub enum EngineCommand {
    /// load a model, adapter or version
    Load(Loading),
    /// unload a model, adapter or version
    Unload(Loading),
    /// take a role
    Role(Role),
}

/// An order to load or unload.
#[derive(Debug, Parse)]
pub struct Loading {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the backend server, as the host list has it
    #[options(free, required)]
    pub server: String,
    /// what is loaded or unloaded
    #[options(free, required)]
    pub name: String,
    /// model, adapter or version
    #[options(no_short, default = "model", meta = "KIND")]
    pub kind: String,
}

/// An order to take a role.
#[derive(Debug, Parse)]
pub struct Role {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the backend server, as the host list has it
    #[options(free, required)]
    pub server: String,
    /// the role
    #[options(free, required)]
    pub name: String,
}

/// Lists the requests under which backend servers ended, or releases one.
#[derive(Debug, Parse)]
pub struct Quarantine {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// what to do (default: list)
    #[options(command)]
    pub command: Option<QuarantineCommand>,
}

/// What to do with requests under which backend servers ended.
#[derive(Debug, Parse)]
pub enum QuarantineCommand {
    /// list those that are kept from the servers, and the suspects
    List(Status),
    /// let one through again, on all hosts
    Release(Release),
}

/// Lets a request through again that is kept from the backend servers.
#[derive(Debug, Parse)]
pub struct Release {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// its fingerprint, as the list and the logs have it
    #[options(free, required)]
    pub fingerprint: String,
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
    /// compile a program and try it on example requests
    Check(Check),
}

/// Compiles a program and tries it on example requests.
#[derive(Debug, Parse)]
pub struct Check {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// the program
    #[options(free, required)]
    pub file: PathBuf,
    /// example requests: a JSON list of objects with the fields that a program sees
    #[options(no_short, meta = "FILE")]
    pub examples: Option<PathBuf>,
}

/// Tells a request's story from the log files of hosts, its cause first.
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

/// Tells from log files where the time of answered requests went.
#[derive(Debug, Parse)]
pub struct Profile {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// draw the means as a picture (SVG)
    #[options(no_short, meta = "FILE")]
    pub plot: Option<PathBuf>,
    /// log files of hosts, in any order
    #[options(free)]
    pub files: Vec<PathBuf>,
}
