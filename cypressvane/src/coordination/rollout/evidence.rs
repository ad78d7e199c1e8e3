//! Compares the answers of a new version with those of the old one by a sequential test for each route.
//!
//! The test is Page's CUSUM over the log-likelihood ratio of "as good as the old version" against "bad more often by
//! `BAD_RATE_INCREASE`". It needs no number of answers fixed in advance, and detects a fault that begins late as soon
//! as one that was there from the start.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::units::to_f64;

/// Difference that the test is to detect, between the share of a bad version's answers that are bad and that of the
/// old version's.
const BAD_RATE_INCREASE: f64 = 0.2;
/// Sum at which a version counts as bad. A good version reaches it at most once in e^10, or 22,000, answers. A bad
/// version reaches it after about 14 answers if every second one fails, and after about 30 if every third one fails.
const ALARM_THRESHOLD: f64 = 10.0;
/// Weight of the prior for the old version's failure rate, in answers; half of one of them is a failure.
const PRIOR_WEIGHT: f64 = 10.0;
/// Factor by which the weight of each of the old version's answers decays with each further one. About seventy
/// answers count, which are those of the last second or two.
const FAILURE_RATE_DECAY: f64 = 0.985;
/// Share of the old version's answers that take longer than the slow threshold: one in twenty by the quantile, and
/// fewer by `SLOW_FACTOR`, which is the safety margin.
const SLOW_SHARE: f64 = 0.05;
/// Quantile of the old version's samples that the new version's are compared with.
const QUANTILE: f64 = 0.95;
/// Multiple of the quantile from which an answer is slow. Servers of one version differ in speed and load.
const SLOW_FACTOR: f64 = 1.5;
/// Least slow threshold for first tokens, as a multiple of the forecast: a first token that comes within the forecast
/// for a prompt of its length is never slow.
const SLOW_FIRST_TOKEN_MIN: f64 = 1.0;
/// Least slow threshold for the mean pause between events, in milliseconds: a reader does not notice shorter pauses.
const SLOW_PAUSE_MIN_MS: f64 = 20.0;
/// Most by which one report of a host raises a sum. What a host sees in a quarter of a second may have a single
/// cause, such as a stall of the host or of one server. So an alarm takes at least three reports.
const REPORT_INCREASE_MAX: f64 = 4.0;
/// Most samples of the old version that are kept for each route: those of the last seconds, which reflect the current
/// load.
const SAMPLES_MAX: usize = 256;
/// Fewest samples that give a slow threshold.
const SAMPLES_MIN: usize = 20;
/// Interval within which answers that one server broke off count once. A server that ends breaks off all answers that
/// run there, which is no more evidence than one of them.
const BROKEN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval within which first tokens after silences count once for a version. Servers that stood still and go on at the
/// same time have one cause, while a version that is slow at each answer shows it in each interval.
const SILENCE_INTERVAL: Duration = Duration::from_millis(250);
/// Whole answers that a version needs before it counts as good: a version that fails a fifth of its requests
/// gives this many good answers in a row once in 265 times.
const ANSWERS_MIN: u64 = 25;
/// Share of the old version's answers from which a route needs answers of its own.
const BUSY_SHARE: f64 = 0.05;
/// Whole answers of the new version that such a route needs.
const BUSY_ANSWERS_MIN: u64 = 5;

/// What a host saw of the answers of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Whole answers.
    pub answers: u64,
    /// Answers that the server itself returned as failures.
    pub failures: u64,
    /// Servers that broke an answer off or sent nothing, once for each occurrence.
    pub broken: Vec<Name>,
    /// Times to the first token, each as a multiple of the forecast for a prompt of its length.
    pub firsts: Vec<f32>,
    /// The same for those that came after a silence of the server which its pool's home was told of.
    pub silent_firsts: Vec<f32>,
    /// Mean pauses between the events of each stream, in milliseconds.
    pub pauses: Vec<f32>,
}

impl Tally {
    /// Returns whether the host saw nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Sum of log-likelihood ratios that does not fall below zero.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum(f64);

impl Cusum {
    /// Adds the observations of one report.
    fn add_report(&mut self, bad: impl Iterator<Item = bool>, base_rate: f64) {
        let most = self.0 + REPORT_INCREASE_MAX;
        for is_bad in bad {
            self.add(is_bad, base_rate);
        }
        self.0 = self.0.min(most);
    }

    /// Adds one observation, where a share `base_rate` of the observations is bad if nothing is wrong.
    fn add(&mut self, is_bad: bool, base_rate: f64) {
        let worse = base_rate + BAD_RATE_INCREASE;
        let ratio = if is_bad {
            worse / base_rate
        } else {
            (1.0 - worse) / (1.0 - base_rate)
        };
        self.0 = (self.0 + ratio.ln()).max(0.0);
    }

    fn is_alarmed(self) -> bool {
        self.0 >= ALARM_THRESHOLD
    }
}

/// The latest samples of the old version, newest last.
#[derive(Clone, Debug, Default)]
struct Samples(VecDeque<f32>);

impl Samples {
    fn extend(&mut self, samples: &[f32]) {
        self.0.extend(samples);
        let over = self.0.len().saturating_sub(SAMPLES_MAX);
        self.0.drain(..over);
    }

    /// Returns the value above which a sample is slow, at least `least`; `None` if there are too few samples.
    fn slow_threshold(&self, least: f64) -> Option<f64> {
        if self.0.len() < SAMPLES_MIN {
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
        Some((f64::from(sorted[index]) * SLOW_FACTOR).max(least))
    }
}

/// CUSUM sums for the three ways in which answers are bad.
#[derive(Clone, Copy, Debug, Default)]
struct Cusums {
    failures: Cusum,
    firsts: Cusum,
    pauses: Cusum,
}

impl Cusums {
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

/// Recent failure rate of the old version's answers. Requests that fail for other reasons fail on both versions.
#[derive(Clone, Copy, Debug, Default)]
struct FailureRate {
    answers: f64,
    failures: f64,
}

impl FailureRate {
    fn add(&mut self, is_failure: bool) {
        self.answers = self.answers * FAILURE_RATE_DECAY + 1.0;
        self.failures = self.failures * FAILURE_RATE_DECAY + f64::from(u8::from(is_failure));
    }

    /// Returns the share of answers that fail.
    fn value(self) -> f64 {
        let rate = (self.failures + 0.5) / (self.answers + PRIOR_WEIGHT);
        rate.min(1.0 - 2.0 * BAD_RATE_INCREASE)
    }
}

/// State of one route.
#[derive(Clone, Debug, Default)]
struct Route {
    old_answers: u64,
    failure_rate: FailureRate,
    firsts: Samples,
    pauses: Samples,
    new_answers: u64,
    new_failures: u64,
    cusums: Cusums,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    routes: BTreeMap<Name, Route>,
    /// Sums over all routes; each answer is compared with the old version's on its own route.
    all: Cusums,
    /// When an answer that each server broke off last counted.
    broken: HashMap<Name, Instant>,
    /// When a first token after a silence last counted, of each version.
    old_silence: Silences,
    new_silence: Silences,
}

/// The first tokens after silences that count.
#[derive(Clone, Copy, Debug, Default)]
struct Silences {
    counted_at: Option<Instant>,
}

impl Silences {
    /// The first token of a report that counts.
    fn take(&mut self, silent_firsts: &[f32], now: Instant) -> Option<f32> {
        let last = self.counted_at;
        let counts = |at| now.saturating_duration_since(at) >= SILENCE_INTERVAL;
        let longest = silent_firsts.iter().copied().max_by(f32::total_cmp);
        let taken = longest.filter(|_| last.is_none_or(counts))?;
        self.counted_at = Some(now);
        Some(taken)
    }
}

impl Evidence {
    /// Resumes from the answer counts that an earlier coordinator stored.
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

    /// Adds a host's tally of answers of the old version.
    pub(crate) fn add_old(&mut self, route: &Name, tally: &Tally, now: Instant) {
        let silent = self.old_silence.take(&tally.silent_firsts, now);
        let route = self.routes.entry(route.clone()).or_default();
        let failures = tally.failures + tally.broken.len() as u64;
        route.old_answers += tally.answers + failures;
        for is_failure in interleave(tally.answers, failures) {
            route.failure_rate.add(is_failure);
        }
        route.firsts.extend(&tally.firsts);
        route.firsts.extend(silent.as_slice());
        route.pauses.extend(&tally.pauses);
    }

    /// Adds a host's tally of answers of the new version.
    pub(crate) fn add_new(&mut self, name: &Name, tally: &Tally, now: Instant) {
        let broken = tally.broken.iter().filter(|server| {
            let last = self.broken.get(*server).copied();
            let counts = last.is_none_or(|at| now.saturating_duration_since(at) >= BROKEN_INTERVAL);
            if counts {
                self.broken.insert((*server).clone(), now);
            }
            counts
        });
        let failures = tally.failures + broken.count() as u64;
        let silent = self.new_silence.take(&tally.silent_firsts, now);
        let route = self.routes.entry(name.clone()).or_default();
        route.new_answers += tally.answers;
        route.new_failures += failures;
        let base_rate = route.failure_rate.value();
        let (of_route, of_all) = (&mut route.cusums, &mut self.all);
        for sum in [&mut of_route.failures, &mut of_all.failures] {
            sum.add_report(interleave(tally.answers, failures), base_rate);
        }
        if let Some(slow_threshold) = route.firsts.slow_threshold(SLOW_FIRST_TOKEN_MIN) {
            for sum in [&mut of_route.firsts, &mut of_all.firsts] {
                let after_silence = are_slow(silent.as_slice(), slow_threshold);
                let are_slow = are_slow(&tally.firsts, slow_threshold).chain(after_silence);
                sum.add_report(are_slow, SLOW_SHARE);
            }
        }
        if let Some(slow_threshold) = route.pauses.slow_threshold(SLOW_PAUSE_MIN_MS) {
            for sum in [&mut of_route.pauses, &mut of_all.pauses] {
                sum.add_report(are_slow(&tally.pauses, slow_threshold), SLOW_SHARE);
            }
        }
    }

    /// Returns why the new version is bad, if it is.
    pub(crate) fn alarm(&self) -> Option<String> {
        let by_route = self.routes.iter().find_map(|(name, route)| {
            let what = route.cusums.alarm()?;
            Some(format!("{what} on route {name}"))
        });
        by_route.or_else(|| Some(format!("{} on all routes together", self.all.alarm()?)))
    }

    /// Returns what is missing before all requests may go to the new version, if anything is.
    pub(crate) fn missing_for_all(&self) -> Option<String> {
        let (answers, _) = self.counts();
        let lacks = answers < ANSWERS_MIN;
        lacks.then(|| format!("{answers} answers of {ANSWERS_MIN} at least"))
    }

    /// Returns what is missing before the new version counts as good, if anything is.
    pub(crate) fn missing(&self) -> Option<String> {
        if let Some(missing) = self.missing_for_all() {
            return Some(missing);
        }
        let all: u64 = self.routes.values().map(|route| route.old_answers).sum();
        let lacks = self.routes.iter().find(|(_, route)| {
            let is_busy = to_f64(route.old_answers) >= BUSY_SHARE * to_f64(all) && all > 0;
            is_busy && route.new_answers < BUSY_ANSWERS_MIN
        });
        lacks.map(|(name, route)| {
            let answers = route.new_answers;
            format!("{answers} answers of {BUSY_ANSWERS_MIN} at least on route {name}")
        })
    }

    /// Returns the number of whole answers of the new version for each route.
    pub(crate) fn answers(&self) -> BTreeMap<Name, u64> {
        let routes = self.routes.iter();
        let seen = routes.filter(|(_, route)| route.new_answers > 0);
        seen.map(|(name, route)| (name.clone(), route.new_answers))
            .collect()
    }

    /// Returns the number of whole answers and of failures of the new version.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let routes = self.routes.values();
        routes.fold((0, 0), |(answers, failures), route| {
            (answers + route.new_answers, failures + route.new_failures)
        })
    }
}

/// Returns for each time whether it is slow.
fn are_slow(times: &[f32], threshold: f64) -> impl Iterator<Item = bool> + '_ {
    times.iter().map(move |time| f64::from(*time) > threshold)
}

/// Interleaves good and bad answers whose order is not known, with the bad ones spaced evenly.
fn interleave(good: u64, bad: u64) -> impl Iterator<Item = bool> {
    let all = good + bad;
    (0..all).map(move |index| (index + 1) * bad / all > index * bad / all)
}
