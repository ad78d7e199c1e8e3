//! The ways that are compared. The baselines send straight to engines, as hosts without a common
//! queue would, so that they pay nothing for a path through a host.

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

/// Time between two reads of the engines' reports.
const REPORTS: Duration = Duration::from_secs(1);

/// How requests come to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Through hosts that ask the home of the pool.
    Home,
    /// Each host in turn.
    RoundRobin,
    /// To the engine that reported the least load.
    LeastLoad,
    /// To the less loaded of two at random.
    TwoChoices,
}

impl Way {
    /// Its name on the command line.
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

/// A host without a home: it chooses by what the engines report.
#[derive(Debug)]
pub struct Chooser {
    way: Way,
    engines: Vec<SocketAddr>,
    loads: Arc<Mutex<Vec<Load>>>,
    turn: AtomicUsize,
    _reading: Task<()>,
}

impl Chooser {
    /// Starts to read the reports.
    pub fn spawn(way: Way, engines: Vec<SocketAddr>, first_turn: usize) -> Self {
        let loads = Arc::new(Mutex::new(vec![Load::default(); engines.len()]));
        let reading = runtime::spawn(read(engines.clone(), Arc::clone(&loads)));
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
                let two = [fastrand::usize(0..count), fastrand::usize(0..count)];
                two.into_iter().min_by_key(load).unwrap_or(0)
            }
        };
        self.engines[index]
    }
}

async fn read(engines: Vec<SocketAddr>, loads: Arc<Mutex<Vec<Load>>>) {
    loop {
        for (index, engine) in engines.iter().enumerate() {
            let load: io::Result<Load> = fleet::get(*engine, "/load").await;
            // An engine that does not answer keeps its last report.
            if let Ok(load) = load {
                loads.lock().unwrap_or_else(PoisonError::into_inner)[index] = load;
            }
        }
        Timer::after(REPORTS).await;
    }
}
