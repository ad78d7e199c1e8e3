//! The command line of the daemon.

use std::path::PathBuf;

/// Schedules requests to heterogeneous backend servers: the daemon of an entry host.
///
/// Exit codes: 0 drained with every request finished; 1 could not start or run; 2 invalid command
/// line or settings; 3 drained, but requests were cut at the end of the drain time.
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the command line"
)]
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// print the version
    #[options(short = "V")]
    pub version: bool,
    /// the settings file
    #[options(meta = "FILE")]
    pub config: Option<PathBuf>,
    /// check the settings file and exit
    #[options(no_short)]
    pub check: bool,
    /// run alone on loopback with a built-in platform, engine and plain service
    #[options(no_short)]
    pub dev: bool,
    /// with --dev: address for callers; operators get the next port (default 127.0.0.1:8470)
    #[options(no_short, meta = "ADDRESS")]
    pub listen: Option<std::net::SocketAddr>,
}
