//! What the answers of a new version say beside those of the old one: a sequential test by route.
//!
//! Page's CUSUM over the log-likelihood ratio of "as good as the old version" against "worse by `WORSE`". It needs no
//! number of answers fixed in advance, and sees a fault that begins late as soon as one that was there at once.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::real;

/// How much larger a part of a bad version's answers is bad than of the old one's.
const WORSE: f64 = 0.2;
/// Sum from which a version is taken as bad. A good one reaches it once in e^10, 22,000, answers at most; a bad one of
/// which each second answer fails after about 14 answers, one of which each third does after about 30.
const ALARM: f64 = 10.0;
/// Imagined answers of the old version before any was seen, half of one of them a failure.
const PRIOR_ANSWERS: f64 = 10.0;
/// What is left of the weight of each of the old version's answers after each further one: about seventy count, which
/// are those of the last second or two.
const RECENT_KEPT: f64 = 0.985;
/// Part of the old version's answers that take longer than what counts as slow: a twentieth by the quantile, with
/// the margin less.
const SLOW_SHARE: f64 = 0.05;
/// The quantile of the old version's times with which the new one's are compared.
const QUANTILE: f64 = 0.95;
/// How many times that an answer takes which is slow. Servers of one version differ in speed, and in their load.
const SLOW_TIMES: f64 = 1.5;
/// Time to the first token that is never slow: what a prompt of that length is believed to take anyway.
const FIRST_MIN: f64 = 1.0;
/// Mean pause between events that is never slow, in milliseconds: a reader does not notice it.
const PAUSE_MIN_MS: f64 = 20.0;
/// How much one report of a host raises a sum at most: what a host saw in a quarter of a second may have one cause of
/// its own, a standstill of the host or of one server. Three reports at least make an alarm.
const REPORT_MAX: f64 = 4.0;
/// Times of the old version that are kept of each route: those of the last seconds, under the load of now.
const KEPT: usize = 256;
/// Least of them by which others are judged.
const KEPT_MIN: usize = 20;
/// How often answers that one server broke off count: a server that ends breaks off all that run there at once,
/// which says as much as one of them.
const BROKEN_EVERY: Duration = Duration::from_secs(1);
/// Whole answers without which a version is not taken as good: of one that fails a fifth of its requests, this
/// many are good in a row once in 265 times.
const ANSWERS_MIN: u64 = 25;
/// Part of the old version's answers from which a route has answers of its own to show.
const BUSY_SHARE: f64 = 0.05;
/// So many.
const BUSY_ANSWERS_MIN: u64 = 5;

/// What was seen of the answers on one route by one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Whole answers.
    pub answers: u64,
    /// Answers that the server itself gave as failures.
    pub failures: u64,
    /// Servers that broke answers off or sent nothing, once for each time.
    pub broken: Vec<Name>,
    /// Times to the first token, each as a multiple of what a prompt of its length was believed to take.
    pub firsts: Vec<f32>,
    /// Mean pauses between the events of streams, in milliseconds.
    pub pauses: Vec<f32>,
}

impl Tally {
    /// Whether nothing was seen.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A sum of log-likelihood ratios that does not fall below zero.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum(f64);

impl Cusum {
    /// Counts what one report tells of it.
    fn add_report(&mut self, bad: impl Iterator<Item = bool>, usual: f64) {
        let most = self.0 + REPORT_MAX;
        for is_bad in bad {
            self.add(is_bad, usual);
        }
        self.0 = self.0.min(most);
    }

    /// Counts an observation of which a part `usual` is bad where nothing is wrong.
    fn add(&mut self, is_bad: bool, usual: f64) {
        let worse = usual + WORSE;
        let ratio = if is_bad {
            worse / usual
        } else {
            (1.0 - worse) / (1.0 - usual)
        };
        self.0 = (self.0 + ratio.ln()).max(0.0);
    }

    fn is_alarmed(self) -> bool {
        self.0 >= ALARM
    }
}

/// Times of the old version, the newest last.
#[derive(Clone, Debug, Default)]
struct Times(VecDeque<f32>);

impl Times {
    fn keep(&mut self, times: &[f32]) {
        self.0.extend(times);
        let over = self.0.len().saturating_sub(KEPT);
        self.0.drain(..over);
    }

    /// The time from which an answer is slow; `None` where too few were seen.
    fn slow_from(&self, least: f64) -> Option<f64> {
        if self.0.len() < KEPT_MIN {
            return None;
        }
        let mut sorted: Vec<f32> = self.0.iter().copied().collect();
        sorted.sort_by(f32::total_cmp);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index below the length"
        )]
        let index = ((sorted.len() - 1) as f64 * QUANTILE) as usize;
        Some((f64::from(sorted[index]) * SLOW_TIMES).max(least))
    }
}

/// The three ways in which answers are bad.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    failures: Cusum,
    firsts: Cusum,
    pauses: Cusum,
}

impl Sums {
    fn alarm(&self) -> Option<&'static str> {
        let named = [
            (self.failures, "its answers fail"),
            (self.firsts, "its first tokens come late"),
            (self.pauses, "its events come slowly"),
        ];
        let alarmed = named.iter().find(|(sum, _)| sum.is_alarmed());
        alarmed.map(|(_, what)| *what)
    }
}

/// How many of the old version's answers fail of late: what fails for other reasons fails on both versions.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    answers: f64,
    failures: f64,
}

impl Recent {
    fn add(&mut self, is_failure: bool) {
        self.answers = self.answers * RECENT_KEPT + 1.0;
        self.failures = self.failures * RECENT_KEPT + f64::from(u8::from(is_failure));
    }

    /// The part that fails.
    fn failing(self) -> f64 {
        let failing = (self.failures + 0.5) / (self.answers + PRIOR_ANSWERS);
        failing.min(1.0 - 2.0 * WORSE)
    }
}

/// What is known of one route.
#[derive(Clone, Debug, Default)]
struct Route {
    old_answers: u64,
    recent: Recent,
    firsts: Times,
    pauses: Times,
    new_answers: u64,
    new_failures: u64,
    sums: Sums,
}

/// The evidence on a new version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    routes: BTreeMap<Name, Route>,
    /// The same over all routes, each answer against its own route's.
    all: Sums,
    /// When an answer that a server broke off counted last.
    broken: HashMap<Name, Instant>,
}

impl Evidence {
    /// Evidence that goes on where an earlier coordinator's ended.
    pub(crate) fn resume(answers: &BTreeMap<Name, u64>) -> Self {
        let route = |(name, answers): (&Name, &u64)| {
            let route = Route {
                new_answers: *answers,
                ..Route::default()
            };
            (name.clone(), route)
        };
        Self {
            routes: answers.iter().map(route).collect(),
            ..Self::default()
        }
    }

    /// Takes in answers of the old version.
    pub(crate) fn old(&mut self, route: &Name, tally: &Tally) {
        let route = self.routes.entry(route.clone()).or_default();
        let failures = tally.failures + tally.broken.len() as u64;
        route.old_answers += tally.answers + failures;
        for is_failure in spread(tally.answers, failures) {
            route.recent.add(is_failure);
        }
        route.firsts.keep(&tally.firsts);
        route.pauses.keep(&tally.pauses);
    }

    /// Takes in answers of the new version.
    pub(crate) fn new_version(&mut self, name: &Name, tally: &Tally, now: Instant) {
        let broken = tally.broken.iter().filter(|server| {
            let last = self.broken.get(*server).copied();
            let counts = last.is_none_or(|at| now.saturating_duration_since(at) >= BROKEN_EVERY);
            if counts {
                self.broken.insert((*server).clone(), now);
            }
            counts
        });
        let failures = tally.failures + broken.count() as u64;
        let route = self.routes.entry(name.clone()).or_default();
        route.new_answers += tally.answers;
        route.new_failures += failures;
        let usual = route.recent.failing();
        let (of_route, of_all) = (&mut route.sums, &mut self.all);
        for sum in [&mut of_route.failures, &mut of_all.failures] {
            sum.add_report(spread(tally.answers, failures), usual);
        }
        if let Some(slow_from) = route.firsts.slow_from(FIRST_MIN) {
            for sum in [&mut of_route.firsts, &mut of_all.firsts] {
                sum.add_report(slow(&tally.firsts, slow_from), SLOW_SHARE);
            }
        }
        if let Some(slow_from) = route.pauses.slow_from(PAUSE_MIN_MS) {
            for sum in [&mut of_route.pauses, &mut of_all.pauses] {
                sum.add_report(slow(&tally.pauses, slow_from), SLOW_SHARE);
            }
        }
    }

    /// Why the new version is bad, if it is.
    pub(crate) fn alarm(&self) -> Option<String> {
        let by_route = self.routes.iter().find_map(|(name, route)| {
            let what = route.sums.alarm()?;
            Some(format!("{what} on route {name}"))
        });
        by_route.or_else(|| Some(format!("{} on all routes together", self.all.alarm()?)))
    }

    /// Why the new version cannot be given all requests yet, if it cannot.
    pub(crate) fn lack_to_go_on(&self) -> Option<String> {
        let (answers, _) = self.counts();
        let lacks = answers < ANSWERS_MIN;
        lacks.then(|| format!("{answers} answers of {ANSWERS_MIN} at least"))
    }

    /// What is missing for the new version to be taken as good, if anything is.
    pub(crate) fn lack(&self) -> Option<String> {
        if let Some(lack) = self.lack_to_go_on() {
            return Some(lack);
        }
        let all: u64 = self.routes.values().map(|route| route.old_answers).sum();
        let lacks = self.routes.iter().find(|(_, route)| {
            let is_busy = real(route.old_answers) >= BUSY_SHARE * real(all) && all > 0;
            is_busy && route.new_answers < BUSY_ANSWERS_MIN
        });
        lacks.map(|(name, route)| {
            let answers = route.new_answers;
            format!("{answers} answers of {BUSY_ANSWERS_MIN} at least on route {name}")
        })
    }

    /// Whole answers of the new version by route.
    pub(crate) fn answers(&self) -> BTreeMap<Name, u64> {
        let routes = self.routes.iter();
        let seen = routes.filter(|(_, route)| route.new_answers > 0);
        seen.map(|(name, route)| (name.clone(), route.new_answers))
            .collect()
    }

    /// Answers and failures of the new version.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let routes = self.routes.values();
        routes.fold((0, 0), |(answers, failures), route| {
            (answers + route.new_answers, failures + route.new_failures)
        })
    }
}

/// Which of some times are slow.
fn slow(times: &[f32], from: f64) -> impl Iterator<Item = bool> + '_ {
    times.iter().map(move |time| f64::from(*time) > from)
}

/// Good and bad answers of which the order is not known, the bad ones spread evenly among them.
fn spread(good: u64, bad: u64) -> impl Iterator<Item = bool> {
    let all = good + bad;
    (0..all).map(move |index| (index + 1) * bad / all > index * bad / all)
}
