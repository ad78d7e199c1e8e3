//! The command line of the simulated services.

use std::net::{Ipv4Addr, SocketAddr};

use gumdrop::Options as Parse;

/// Any free port on loopback.
fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Simulated services for the tests of cypressvane.
#[derive(Debug, Parse)]
pub struct Options {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// what to run
    #[options(command)]
    pub command: Option<Command>,
}

/// What to run.
#[derive(Debug, Parse)]
pub enum Command {
    /// a model engine
    Engine(Engine),
    /// a plain service
    Plain(Plain),
    /// the platform: table service and host list
    Platform(Platform),
    /// a proxy that injects faults
    Proxy(Proxy),
}

/// A model engine.
#[derive(Debug, Parse)]
pub struct Engine {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// address to listen on
    #[options(default_expr = "any_port()", meta = "ADDRESS")]
    pub listen: SocketAddr,
    /// the model that it serves
    #[options(default = "echo", meta = "NAME")]
    pub model: String,
    /// its speed and faults as JSON
    #[options(meta = "JSON")]
    pub settings: Option<String>,
}

/// A plain service.
#[derive(Debug, Parse)]
pub struct Plain {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// address to listen on
    #[options(default_expr = "any_port()", meta = "ADDRESS")]
    pub listen: SocketAddr,
    /// time that each call takes, in milliseconds
    #[options(meta = "MS")]
    pub delay_ms: u64,
}

/// The platform.
#[derive(Debug, Parse)]
pub struct Platform {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// address to listen on
    #[options(default_expr = "any_port()", meta = "ADDRESS")]
    pub listen: SocketAddr,
}

/// A proxy.
#[derive(Debug, Parse)]
pub struct Proxy {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// address to listen on
    #[options(default_expr = "any_port()", meta = "ADDRESS")]
    pub listen: SocketAddr,
    /// address to pass on to
    #[options(required, default_expr = "any_port()", meta = "ADDRESS")]
    pub target: SocketAddr,
}
