//! The command line of the program `measure`.

use std::path::PathBuf;
use std::str::FromStr;

use gumdrop::Options as Parse;

use crate::run::Fault;
use crate::ways::Way;

/// Compares ways to dispatch requests to engines, with real hosts and simulated engines.
#[derive(Debug, Parse)]
pub struct Options {
    /// print this help
    #[options(help_flag)]
    help: bool,
    /// brennan, manizales, or a file
    #[options(no_short, default = "brennan", meta = "SHAPE")]
    pub shape: String,
    /// ways, separated by commas: home, round-robin, least-load, two-choices
    #[options(no_short, default_expr = "Ways::all()", meta = "WAYS")]
    pub way: Ways,
    /// number of seeds
    #[options(no_short, default = "5", meta = "COUNT")]
    pub seeds: u64,
    /// offered load as a multiple of the capacity
    #[options(no_short, default = "1.3", meta = "LOAD")]
    pub load: f64,
    /// seconds of arrivals that count, after a warm-up of 3
    #[options(no_short, default = "12", meta = "SECONDS")]
    pub seconds: u64,
    /// slow-engine, kill-host, burst or stale-5s
    #[options(no_short, meta = "FAULT")]
    pub fault: Option<Fault>,
    /// print one JSON object last
    #[options(no_short)]
    pub json: bool,
    /// draw goodput against load from 0.5 to 2 into this SVG file
    #[options(no_short, meta = "FILE")]
    pub plot: Option<PathBuf>,
}

/// The ways to run, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ways(pub Vec<Way>);

impl Ways {
    fn all() -> Self {
        Self(vec![
            Way::Home,
            Way::RoundRobin,
            Way::LeastLoad,
            Way::TwoChoices,
        ])
    }
}

impl FromStr for Ways {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let ways: Result<Vec<Way>, String> = text.split(',').map(str::parse).collect();
        ways.map(Self)
    }
}
