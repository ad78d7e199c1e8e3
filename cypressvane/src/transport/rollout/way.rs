//! Which pool a request goes to while an order stands, and what is seen of its answer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::coordination::rollout::{Report, Tally, Word};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::rollout::Order;
use crate::state::units::millis_since;
use crate::transport::runtime::lock;

/// For how many reports what a coordinator said holds: three of them may be lost in a row, or its answers.
const WORD_HOLDS: u32 = 4;
/// Times of the old version that a report has of each route: samples, since each host sends them
/// four times a second to one.
const OLD_SAMPLES: usize = 8;
/// Times of the new version that it has at most.
const NEW_SAMPLES: usize = 64;

/// An order that is not decided, as the path of requests sees it.
#[derive(Debug)]
pub(super) struct Canary {
    pub(super) number: u64,
    pub(super) to: Name,
    /// The pool of the new version.
    pub(super) pool: Name,
    opened: Instant,
    /// Requests for the service since the order is known.
    requests: AtomicU64,
    /// Requests that may go to the new version.
    permits: AtomicU64,
    /// Whether all requests are to go there.
    all: AtomicBool,
    /// Until when what the coordinator said last holds, in milliseconds since the order is known.
    holds_until_ms: AtomicU64,
    seen: Mutex<Seen>,
}

/// What was seen since the last report, by route.
#[derive(Debug, Default)]
struct Seen {
    old: BTreeMap<Name, Tally>,
    new: BTreeMap<Name, Tally>,
}

impl Canary {
    pub(super) fn new(order: &Order, pool: Name) -> Self {
        Self {
            number: order.number,
            to: order.to.clone(),
            pool,
            opened: Instant::now(),
            requests: AtomicU64::new(0),
            permits: AtomicU64::new(0),
            all: AtomicBool::new(false),
            holds_until_ms: AtomicU64::new(0),
            seen: Mutex::default(),
        }
    }

    /// Milliseconds from when the order was known to a moment.
    fn age_ms(&self, at: Instant) -> u64 {
        millis_since(self.opened, at)
    }

    /// Whether all requests are to go to the new version.
    pub(super) fn takes_all(&self) -> bool {
        self.all.load(Ordering::Relaxed)
    }

    /// Does what the coordinator says; tells whether other servers get requests from now on.
    pub(super) fn hear(&self, word: Word, report_every: Duration, now: Instant) -> bool {
        let permits = match word {
            Word::Canary(permits) => permits,
            Word::All | Word::Nothing | Word::Ended(_) => 0,
        };
        self.permits.store(permits, Ordering::Relaxed);
        let until = self.age_ms(now + report_every * WORD_HOLDS);
        self.holds_until_ms.store(until, Ordering::Relaxed);
        let all = word == Word::All;
        self.all.swap(all, Ordering::Relaxed) != all
    }

    /// Whether the next request goes to the new version.
    fn takes_next(&self, now: Instant) -> bool {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if self.age_ms(now) >= self.holds_until_ms.load(Ordering::Relaxed) {
            return false;
        }
        let take = |permits: u64| permits.checked_sub(1);
        self.takes_all()
            || self
                .permits
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok()
    }

    /// What this host tells the coordinator.
    pub(super) fn report(&self) -> Report {
        let seen = std::mem::take(&mut *lock(&self.seen));
        Report {
            requests: self.requests.load(Ordering::Relaxed),
            returned: self.permits.swap(0, Ordering::Relaxed),
            old: seen.old,
            new: seen.new,
        }
    }
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub(crate) struct Way {
    pub(crate) pool: Name,
    /// The order on its service that is not decided.
    canary: Option<Arc<Canary>>,
    /// Whether it goes to the new version.
    is_new: bool,
}

/// What is seen of a sending.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Observed<'a> {
    /// The first token came so long after the sending, where this long was to be expected.
    First { took: Duration, expected: Duration },
    /// The answer was whole; between the events of a stream were such pauses on the mean.
    Whole { pause: Option<Duration> },
    /// The server answered with a failure.
    Failed,
    /// The server broke the answer off, or sent nothing in time.
    Broken { server: &'a Name },
}

impl Way {
    /// To a pool, whatever is ordered.
    pub(crate) fn to(pool: Name) -> Self {
        Self {
            pool,
            canary: None,
            is_new: false,
        }
    }

    /// To the pool of the old version, or, as far as the coordinator allows, to that of the new one.
    pub(super) fn choose(old: &Name, canary: Option<Arc<Canary>>) -> Self {
        let is_new = canary
            .as_ref()
            .is_some_and(|canary| canary.takes_next(Instant::now()));
        let new = canary.as_ref().filter(|_| is_new);
        Self {
            pool: new.map_or_else(|| old.clone(), |canary| canary.pool.clone()),
            canary,
            is_new,
        }
    }

    /// Whether it is a try of a new version.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Notes what is seen of a sending on a route.
    pub(crate) fn observe(&self, route: &Name, observed: Observed<'_>) {
        let Some(canary) = &self.canary else {
            return;
        };
        let mut seen = lock(&canary.seen);
        let (tallies, samples) = if self.is_new {
            (&mut seen.new, NEW_SAMPLES)
        } else {
            (&mut seen.old, OLD_SAMPLES)
        };
        let tally = tallies.entry(route.clone()).or_default();
        match observed {
            Observed::First { took, expected } => {
                let times = took.as_secs_f32() / expected.as_secs_f32().max(f32::MIN_POSITIVE);
                sample(&mut tally.firsts, times, samples);
            }
            Observed::Whole { pause } => {
                tally.answers += 1;
                if let Some(pause) = pause {
                    sample(&mut tally.pauses, pause.as_secs_f32() * 1_000.0, samples);
                }
            }
            Observed::Failed => tally.failures += 1,
            Observed::Broken { server } => {
                if tally.broken.len() < NEW_SAMPLES {
                    tally.broken.push(server.clone());
                }
            }
        }
    }
}

fn sample(times: &mut Vec<f32>, time: f32, most: usize) {
    if times.len() < most {
        times.push(time);
    }
}
