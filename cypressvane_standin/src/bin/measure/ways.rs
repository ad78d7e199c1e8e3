//! The compared ways to dispatch requests to engines.
//!
//! The baselines send directly to engines, as hosts without a shared queue would. They therefore have no
//! overhead of a path through a host.

use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cypressvane::runtime;
use cypressvane_standin::engine::Load;
use cypressvane_standin::fleet;
use smol::{Task, Timer};

/// Interval between two reads of the load reports of the engines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A way to dispatch requests to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Through hosts, where the home of the pool chooses the engine.
    Home,
    /// Each host uses the engines in turn.
    RoundRobin,
    /// Each host uses the engine with the least reported load.
    LeastLoad,
    /// Each host uses the one with the lower reported load of two random engines.
    TwoChoices,
}

impl Way {
    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
            Self::TwoChoices => "two-choices",
        }
    }
}

impl FromStr for Way {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let ways = [
            Self::Home,
            Self::RoundRobin,
            Self::LeastLoad,
            Self::TwoChoices,
        ];
        let found = ways.into_iter().find(|way| way.name() == text);
        found.ok_or_else(|| {
            format!("{text:?} found; home, round-robin, least-load, two-choices allowed")
        })
    }
}

/// A baseline host, which chooses engines by itself, by turn or by reported load.
#[derive(Debug)]
pub struct Chooser {
    way: Way,
    engines: Vec<SocketAddr>,
    loads: Arc<Mutex<Vec<Load>>>,
    turn: AtomicUsize,
    _reading: Task<()>,
}

impl Chooser {
    /// Creates a chooser that reads the load reports in the background.
    pub fn spawn(way: Way, engines: Vec<SocketAddr>, first_turn: usize) -> Self {
        let loads = Arc::new(Mutex::new(vec![Load::default(); engines.len()]));
        let reading = runtime::spawn(poll_reports(engines.clone(), Arc::clone(&loads)));
        let turn = AtomicUsize::new(first_turn);
        Self {
            way,
            engines,
            loads,
            turn,
            _reading: reading,
        }
    }

    /// The engine for the next request.
    pub fn choose(&self) -> SocketAddr {
        let loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let load = |index: &usize| (loads[*index].prompt_tokens, loads[*index].requests);
        let count = self.engines.len();
        let index = match self.way {
            Way::RoundRobin | Way::Home => self.turn.fetch_add(1, Ordering::Relaxed) % count,
            Way::LeastLoad => (0..count).min_by_key(load).unwrap_or(0),
            Way::TwoChoices => {
                let candidates = [fastrand::usize(0..count), fastrand::usize(0..count)];
                candidates.into_iter().min_by_key(load).unwrap_or(0)
            }
        };
        self.engines[index]
    }
}

async fn poll_reports(engines: Vec<SocketAddr>, loads: Arc<Mutex<Vec<Load>>>) {
    loop {
        for (index, engine) in engines.iter().enumerate() {
            let load: io::Result<Load> = fleet::get(*engine, "/load").await;
            // If an engine does not answer, its last report stays in use.
            if let Ok(load) = load {
                loads.lock().unwrap_or_else(PoisonError::into_inner)[index] = load;
            }
        }
        Timer::after(REPORT_INTERVAL).await;
    }
}
