//! Selects the versions for a request while an order is undecided, and records what is observed of its answer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::coordination::rollout::{Instruction, Report, Tally};
use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::rollout::Order;
use crate::state::units::millis_since;
use crate::transport::runtime::lock;

/// Number of report intervals for which an instruction is valid: three reports in a row, or the replies, may be lost.
const VALID_REPORTS: u32 = 4;
/// Most times measured for the old version in a report for each route: they are samples, since each host sends four
/// reports a second to one coordinator.
const OLD_SAMPLES_MAX: usize = 8;
/// Most times measured for the new version in a report for each route, and most broken answers of either version.
const NEW_SAMPLES_MAX: usize = 64;

/// An undecided order, as the request path sees it.
#[derive(Debug)]
pub(super) struct Canary {
    pub(super) number: u64,
    pub(super) to: Name,
    opened: Instant,
    /// Requests for the service since the order became known.
    requests: AtomicU64,
    /// Requests that may still be sent to the new version.
    permits: AtomicU64,
    /// Whether all requests go to the new version.
    all: AtomicBool,
    /// End of the last instruction's validity, in milliseconds since the order became known.
    valid_until_ms: AtomicU64,
    observations: Mutex<Observations>,
}

/// What was observed since the last report, by route.
#[derive(Debug, Default)]
struct Observations {
    old: BTreeMap<Name, Tally>,
    new: BTreeMap<Name, Tally>,
}

impl Canary {
    pub(super) fn new(order: &Order) -> Self {
        Self {
            number: order.number,
            to: order.to.clone(),
            opened: Instant::now(),
            requests: AtomicU64::new(0),
            permits: AtomicU64::new(0),
            all: AtomicBool::new(false),
            valid_until_ms: AtomicU64::new(0),
            observations: Mutex::default(),
        }
    }

    /// Milliseconds from when the order became known to a moment.
    fn age_ms(&self, at: Instant) -> u64 {
        millis_since(self.opened, at)
    }

    /// Whether all requests go to the new version.
    pub(super) fn takes_all(&self) -> bool {
        self.all.load(Ordering::Relaxed)
    }

    /// Applies the coordinator's instruction; returns whether that changes the servers that may get requests.
    pub(super) fn apply(
        &self,
        instruction: Instruction,
        report_interval: Duration,
        now: Instant,
    ) -> bool {
        let permits = match instruction {
            Instruction::Canary(permits) => permits,
            Instruction::All | Instruction::Nothing | Instruction::Ended(_) => 0,
        };
        self.permits.store(permits, Ordering::Relaxed);
        let until = self.age_ms(now + report_interval * VALID_REPORTS);
        self.valid_until_ms.store(until, Ordering::Relaxed);
        let all = instruction == Instruction::All;
        self.all.swap(all, Ordering::Relaxed) != all
    }

    /// Counts a request, and returns whether it goes to the new version.
    fn takes_next(&self, now: Instant) -> bool {
        self.requests.fetch_add(1, Ordering::Relaxed);
        if self.age_ms(now) >= self.valid_until_ms.load(Ordering::Relaxed) {
            return false;
        }
        let take = |permits: u64| permits.checked_sub(1);
        self.takes_all()
            || self
                .permits
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok()
    }

    /// The report to the coordinator; it returns the unused permits and clears the observations.
    pub(super) fn report(&self) -> Report {
        let observations = std::mem::take(&mut *lock(&self.observations));
        Report {
            requests: self.requests.load(Ordering::Relaxed),
            returned: self.permits.swap(0, Ordering::Relaxed),
            old: observations.old,
            new: observations.new,
        }
    }
}

/// The versions selected for a request.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) versions: Constraint,
    /// The undecided order on the service, if there is one.
    canary: Option<Arc<Canary>>,
    /// Whether the request goes to the new version.
    is_new: bool,
}

/// What is observed of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Observed<'a> {
    /// The first token came `took` after the attempt was sent, and `expected` is the expected time.
    First {
        took: Duration,
        expected: Duration,
        /// Whether it came after a silence that the pool's home was told of.
        is_after_silence: bool,
    },
    /// The answer was complete; `pause` is the mean pause between the events of a stream.
    Whole { pause: Option<Duration> },
    /// The server answered with a failure.
    Failed,
    /// The server broke off the answer, or sent nothing in time.
    Broken { server: &'a Name },
}

impl Choice {
    /// Selects versions regardless of any order.
    pub(crate) fn of(versions: Constraint) -> Self {
        Self {
            versions,
            canary: None,
            is_new: false,
        }
    }

    /// Selects the new version if the coordinator's instruction allows it, otherwise `others`.
    pub(super) fn choose(others: &Constraint, canary: Option<Arc<Canary>>) -> Self {
        let is_new = canary
            .as_ref()
            .is_some_and(|canary| canary.takes_next(Instant::now()));
        let new = canary.as_ref().filter(|_| is_new);
        Self {
            versions: new.map_or_else(
                || others.clone(),
                |canary| Constraint::Only(Some(canary.to.clone())),
            ),
            canary,
            is_new,
        }
    }

    /// Selects a version, whatever the coordinator's instruction says.
    pub(super) fn named(version: Option<Name>, canary: Option<Arc<Canary>>) -> Self {
        let is_new = canary
            .as_ref()
            .is_some_and(|canary| version.as_ref() == Some(&canary.to));
        if let Some(canary) = &canary {
            canary.requests.fetch_add(1, Ordering::Relaxed);
        }
        Self {
            versions: Constraint::Only(version),
            canary,
            is_new,
        }
    }

    /// Whether the request goes to the new version.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Records an observation of an attempt on a route.
    pub(crate) fn observe(&self, route: &Name, observed: Observed<'_>) {
        let Some(canary) = &self.canary else {
            return;
        };
        let mut observations = lock(&canary.observations);
        let (tallies, samples) = if self.is_new {
            (&mut observations.new, NEW_SAMPLES_MAX)
        } else {
            (&mut observations.old, OLD_SAMPLES_MAX)
        };
        let tally = tallies.entry(route.clone()).or_default();
        match observed {
            Observed::First {
                took,
                expected,
                is_after_silence,
            } => {
                let times = took.as_secs_f32() / expected.as_secs_f32().max(f32::MIN_POSITIVE);
                let firsts = if is_after_silence {
                    &mut tally.silent_firsts
                } else {
                    &mut tally.firsts
                };
                add_sample(firsts, times, samples);
            }
            Observed::Whole { pause } => {
                tally.answers += 1;
                if let Some(pause) = pause {
                    add_sample(&mut tally.pauses, pause.as_secs_f32() * 1_000.0, samples);
                }
            }
            Observed::Failed => tally.failures += 1,
            Observed::Broken { server } => {
                if tally.broken.len() < NEW_SAMPLES_MAX {
                    tally.broken.push(server.clone());
                }
            }
        }
    }
}

fn add_sample(times: &mut Vec<f32>, time: f32, limit: usize) {
    if times.len() < limit {
        times.push(time);
    }
}
