//! Evidence that a feature of requests ends the servers they run on.
//!
//! Servers also end by themselves, and then every feature of the requests that ran there was present. How likely that
//! is follows from how long the requests had run and how often servers end otherwise: a request that ends its server
//! does so at each of its runs, and soon. The ends count as a series, each run sent after the end before, and the
//! probability of such a series by chance bounds the share of false verdicts. Two kinds of chance are weighed: that servers
//! go on to end as often as they did lately, and, for a part of prompts, that many of them have begun to end just now.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::Subject;
use super::recent::Background;
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

/// Time within which reports of a server's end are about the same end: a restart takes seconds, while hosts notice an
/// end and report it within milliseconds.
pub(super) const SAME_END_WINDOW: Duration = Duration::from_secs(1);
/// Most reports that are kept for one feature: enough for one from each host whose copy ran at a server that ended.
const REPORTS_MAX: usize = 64;
/// Most servers that a ruling names, so that a row of the table service holds many rulings.
const SERVERS_NAMED_MAX: usize = 8;

/// Servers at which requests with an innocent feature are at once while none of them is answered whole.
const FEW_SERVERS: f64 = 2.0;
/// How often each server ends, per second, in the worst failures that are expected.
const FAILING_RATE: f64 = 0.25;
/// Most likely series that quarantines a whole request, by how many requests ran at the servers. The more of them ran there,
/// the more can be met by several ends in a row by chance.
const REQUEST_BOUND: Bound = Bound {
    as_lately: 1e-11,
    failing_now: 3e-7,
};
/// The same for a request at servers that ran at most one other.
const REQUEST_BESIDE_ONE_BOUND: Bound = Bound {
    as_lately: 1e-8,
    failing_now: 2e-3,
};
/// The same for a request at servers that ran no other: each end more than needed costs all others a server, so that it is
/// not weighed whether many servers have begun to end.
const REQUEST_ALONE_BOUND: Bound = Bound {
    as_lately: 1e-8,
    failing_now: 1.0,
};
/// Most likely ends within the runs of a whole request that quarantine it, if servers end rarely otherwise.
const WITHIN_RUNS_CHANCE: f64 = 3e-6;
/// Most likely strikes in a row that quarantine a whole request whose runs are not short.
const REQUEST_STRIKES_CHANCE: f64 = 4e-5;
/// Number of copies of a request at a server's end from which many callers send it, so that it is met by ends more often by
/// chance. One caller may have two: one that its host repeats, and one that it sends again itself.
const COPIES_MIN: usize = 3;
/// Time within which copies are sent as one burst, which is by one caller.
const BURST_WINDOW: Duration = Duration::from_millis(50);
/// Most likely series that quarantines a part of prompts.
const PART_BOUND: Bound = Bound {
    as_lately: 1e-11,
    failing_now: 1e-3,
};
/// Most likely runs, all of them short, that quarantine a feature whose ends come together, in a series of this length.
const SHORT_RUNS_CHANCE: f64 = 1e-6;
const SHORT_RUNS_SERIES: usize = 3;
/// Most likely series for which the requests with a feature run one at a time.
const CAUTION_CHANCE_MAX: f64 = 1e-6;
/// The same for ends that need not follow each other, from this number on. Servers that end together all had their
/// runs for a while; under a harmful feature, all runs are short.
const CAUTION_RUNS_CHANCE_MAX: f64 = 1e-3;
const CAUTION_RUNS_MIN: usize = 3;
/// Number of ends in a series from which a request is a better explanation of an end than one with fewer.
const SERIES_MIN: usize = 3;
/// Time since the last end for which requests with a part run one at a time.
const CAUTION_TIME: Duration = Duration::from_secs(10);
/// Number of ends from which a request runs one at a time, until it is answered whole.
const REQUEST_CAUTION_ENDS: usize = 2;
/// Number of ends from which a request is deferred after an end, and for how long; twice as long after each further one. The
/// longer no server ends while the request does not run, the more the next end under it says.
const DEFERRED_ENDS: usize = 3;
const DEFERRAL: Duration = Duration::from_secs(1);
const DEFERRAL_DOUBLINGS_MAX: usize = 5;
/// Shortest time that a run is taken for, since hosts report times in whole milliseconds.
const RUN_MIN: Duration = Duration::from_millis(1);
/// Time within which servers end together.
const JOINT_WINDOW: Duration = Duration::from_millis(250);
/// Evidence of a further server that ends together with another one under copies of one request. Servers that fail
/// together are common, so it is far less than that of an end of its own. It is none against a part of prompts, which may
/// be present at all servers.
const JOINT_END_EVIDENCE: f64 = 1.4;

/// A host's report that a server ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    /// Identifies the report, so that one received twice counts once.
    pub(crate) id: u64,
    /// The pool of the server.
    pub(crate) pool: Name,
    pub(crate) server: Name,
    /// The request that ran there.
    pub(crate) request: Fingerprint,
    /// When the request was sent to the server.
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
}

impl End {
    /// How long the request had been at the server.
    fn run(&self) -> Duration {
        self.ended.saturating_duration_since(self.sent)
    }
}

/// Largest probability by chance of the ends that quarantine a feature.
struct Bound {
    /// If servers go on to end as often as lately.
    as_lately: f64,
    /// If many servers have begun to end just now.
    failing_now: f64,
}

/// Whether a feature is the whole request or a part of prompts, which other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Request,
    Part,
}

/// How servers end otherwise than under a feature.
#[derive(Clone, Copy, Debug)]
pub(super) struct Otherwise {
    /// Under any requests.
    pub(super) all: Background,
    /// Under requests without the feature.
    pub(super) without: Background,
    /// Under requests without the feature, or copies that many callers sent.
    pub(super) without_single: Background,
}

impl Kind {
    /// The bound for a feature, given the most requests that ran at one of the servers, if that is known.
    fn bound(self, runs_max: Option<usize>) -> &'static Bound {
        match (self, runs_max) {
            (Self::Part, _) => &PART_BOUND,
            (Self::Request, Some(1)) => &REQUEST_ALONE_BOUND,
            (Self::Request, Some(2)) => &REQUEST_BESIDE_ONE_BOUND,
            (Self::Request, _) => &REQUEST_BOUND,
        }
    }

    /// Whether a feature is to be quarantined after `ends_min` ends or more.
    fn is_proven(self, evidence: &Evidence, bound: &Bound, ends_min: usize) -> bool {
        let is_series_now = evidence.chance_failing_now <= bound.failing_now
            || evidence.chance_within_runs <= WITHIN_RUNS_CHANCE;
        let is_long = evidence.series >= SHORT_RUNS_SERIES;
        let (requests_min, is_unlikely) = match self {
            Self::Request => {
                let are_short = is_long && evidence.chance_of_runs <= bound.failing_now;
                let are_strikes = evidence.chance_of_strikes <= REQUEST_STRIKES_CHANCE;
                let is_series_lately = evidence.chance_as_lately <= bound.as_lately;
                let is_unlikely_now = is_series_now || are_short || are_strikes;
                let is_within_runs = evidence.chance_within_runs <= bound.as_lately;
                (1, is_within_runs || is_series_lately && is_unlikely_now)
            }
            Self::Part => {
                let are_short = is_long && evidence.chance_of_runs <= SHORT_RUNS_CHANCE;
                let are_strikes = evidence.chance_of_strikes <= bound.failing_now;
                let is_series =
                    evidence.chance_as_lately <= bound.as_lately && (is_series_now || are_strikes);
                (ends_min, is_series || are_short)
            }
        };
        // Servers that end together, as a rack that loses power does, are no evidence against what ran on several.
        evidence.series >= 2
            && evidence.ends >= ends_min
            && evidence.requests >= requests_min
            && is_unlikely
    }
}

/// What the ends under a feature amount to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Evidence {
    /// Servers that ended. A server that came back and ended again counts again.
    pub(crate) ends: usize,
    /// Different requests with the feature at these ends.
    requests: usize,
    /// Number of ends of which each was under a run that was sent after the one before.
    pub(crate) series: usize,
    /// Probability that as many ends by chance are as unlikely as these, if servers end as often as lately.
    pub(crate) chance_as_lately: f64,
    /// The same if many servers have begun to end with the first of the series, which is no evidence then.
    pub(crate) chance_failing_now: f64,
    /// Probability that so many of the ends since the first one fall into the runs of a request, if any server may have ended at
    /// any time since; 1 for a part of prompts, of whose runs those that go on are not known.
    pub(crate) chance_within_runs: f64,
    /// Probability that each later end of the series strikes a server with the feature.
    chance_of_strikes: f64,
    /// Probability that all runs are as short by chance, if many servers have begun to end just now.
    chance_of_runs: f64,
}

/// A feature of requests that ran at servers which ended, none of which has been answered whole since.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    pub(crate) subject: Subject,
    kind: Kind,
    /// Reports in the order of the ends.
    ends: Vec<End>,
    /// Whether the evidence is strong enough to run the requests with the feature one at a time.
    is_strong: bool,
    /// Number of ends of which each was under a run that was sent after the one before.
    series: usize,
}

impl Suspect {
    pub(super) fn new(subject: Subject) -> Self {
        Self {
            kind: match subject.part {
                Some(_) => Kind::Part,
                None => Kind::Request,
            },
            subject,
            ends: Vec::new(),
            is_strong: false,
            series: 0,
        }
    }

    /// Adds a report; returns whether it was new.
    pub(super) fn add(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|known| known.id == end.id);
        if is_known || self.ends.len() >= REPORTS_MAX {
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| end.ended);
        true
    }

    /// Removes the reports of an end that is explained by something else.
    pub(super) fn discount(&mut self, explained: &[End]) {
        self.ends
            .retain(|end| !explained.iter().any(|it| is_same_end(it, end)));
    }

    /// Whether servers ended under the feature again and again, each under a run that was sent after the end before.
    pub(super) fn is_in_series(&self) -> bool {
        self.series >= SERIES_MIN
    }

    pub(super) fn series(&self) -> usize {
        self.series
    }

    pub(super) fn is_part(&self) -> bool {
        self.kind == Kind::Part
    }

    pub(super) fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Whether each server that ended under `wider`, but for the one of `latest`, ran a request that has this feature as
    /// well.
    ///
    /// Of the latest end, the reports may not all have arrived.
    pub(super) fn explains(&self, wider: &Self, latest: &End) -> bool {
        if self.ends.len() + 1 < wider.distinct_ends() {
            return false;
        }
        let is_shared = |end: &&End| self.ends.iter().any(|own| own.id == end.id);
        let shared: Vec<&End> = wider.ends.iter().filter(is_shared).collect();
        let mut earlier = wider.ends.iter().filter(|end| !is_same_end(end, latest));
        earlier.all(|end| shared.iter().any(|it| is_same_end(it, end)))
    }

    /// Weighs the reports, and returns whether the feature is to be quarantined after `ends_min` ends or more, with the
    /// evidence of all reports. `runs_at` is how many requests ran at a server that ended, and `is_foreign` whether an end is
    /// better explained by another request.
    pub(super) fn weigh(
        &mut self,
        otherwise: &Otherwise,
        servers: usize,
        ends_min: usize,
        runs_at: impl Fn(&End) -> Option<usize>,
        is_foreign: impl Fn(&End) -> bool,
    ) -> (bool, Evidence) {
        let all = self.evidence(&self.ends, &otherwise.without, servers);
        self.is_strong = all.calls_for_caution(self.kind);
        self.series = all.series;
        let is_own = |end: &&End| !is_foreign(end);
        let own: Vec<End> = self.ends.iter().filter(is_own).cloned().collect();
        let evidence = if own.len() == self.ends.len() {
            all
        } else {
            self.evidence(&own, &otherwise.without, servers)
        };
        let single: Vec<End> = self
            .single_ends()
            .into_iter()
            .filter(|end| !is_foreign(end))
            .collect();
        if self.is_part() || single.len() == own.len() {
            let runs = own.iter().map(runs_at);
            let runs_max = runs.max_by_key(|runs| runs.unwrap_or(usize::MAX));
            let bound = self.kind.bound(runs_max.flatten());
            return (self.kind.is_proven(&evidence, bound, ends_min), evidence);
        }
        // Many send the request. Either the ends under several copies are by chance, or all are weighed with their own rate.
        let single = self.evidence(&single, &otherwise.without_single, servers);
        let all = self.evidence(&own, &otherwise.all, servers);
        let mut readings = [single, all].into_iter();
        let is_proven =
            readings.any(|evidence| self.kind.is_proven(&evidence, &REQUEST_BOUND, ends_min));
        (is_proven, evidence)
    }

    /// The ends under runs with the feature that one caller may have sent.
    pub(super) fn single_ends(&self) -> Vec<End> {
        let is_single = |end: &&End| {
            let copies = self.ends.iter().filter(|it| is_same_end(it, end));
            let sent = copies.clone().map(|copy| copy.sent);
            let span = sent.clone().max().zip(sent.min());
            let span = span.map(|(last, first)| last.saturating_duration_since(first));
            copies.count() < COPIES_MIN || span.is_some_and(|span| span < BURST_WINDOW)
        };
        self.ends.iter().filter(is_single).cloned().collect()
    }

    /// Weighs some of the reports. `otherwise` is how the `servers` end otherwise.
    fn evidence(&self, ends: &[End], otherwise: &Background, servers: usize) -> Evidence {
        let rate = otherwise.rate;
        let mut series: Vec<Joint> = Vec::new();
        for end in ends {
            match series.last_mut() {
                Some(joint) if end.sent < joint.first_ended => joint.add(end),
                _ => series.push(Joint::of(end)),
            }
        }
        let mut requests = HashSet::new();
        // Repeats of one request say nothing of a part of its prompt beyond what the first run says.
        series.retain(|joint| {
            let known = requests.len();
            requests.extend(joint.requests.iter().copied());
            self.kind == Kind::Request || requests.len() > known
        });
        let as_lately = series
            .iter()
            .map(|joint| joint.evidence(rate, self.kind))
            .sum();
        let rate = FAILING_RATE.max(rate);
        let (first, later) = series
            .split_first()
            .map_or((0.0, &[][..]), |(first, later)| {
                (first.joint_evidence(self.kind), later)
            });
        let failing_now = first
            + later
                .iter()
                .map(|joint| joint.evidence(rate, self.kind))
                .sum::<f64>();
        let runs = longest_runs(ends);
        let strikes = match self.kind {
            Kind::Request => moments(ends),
            Kind::Part => series.len(),
        };
        let chance_within_runs = match self.kind {
            Kind::Request => chance_within_runs(ends, series.len(), otherwise),
            Kind::Part => 1.0,
        };
        Evidence {
            ends: distinct_ends(ends),
            requests: requests.len(),
            series: series.len(),
            chance_as_lately: chance(series.len(), as_lately),
            chance_of_runs: chance(
                runs.len(),
                runs.iter()
                    .map(|run| run_evidence(*run, FAILING_RATE))
                    .sum(),
            ),
            chance_failing_now: chance(series.len().saturating_sub(1), failing_now),
            chance_of_strikes: chance_of_strikes(strikes, servers),
            chance_within_runs,
        }
    }

    /// Whether requests with the feature are to run one at a time.
    pub(super) fn calls_for_caution(&self, now: Instant) -> bool {
        match self.kind {
            Kind::Request => self.distinct_ends() >= REQUEST_CAUTION_ENDS,
            Kind::Part => self.is_strong && self.has_ended_within(CAUTION_TIME, now),
        }
    }

    /// Whether no request with the feature is to run for now.
    pub(super) fn is_deferred(&self, now: Instant) -> bool {
        let Some(doublings) = self.distinct_ends().checked_sub(DEFERRED_ENDS) else {
            return false;
        };
        let factor = 1 << doublings.min(DEFERRAL_DOUBLINGS_MAX);
        self.kind == Kind::Request && self.has_ended_within(DEFERRAL * factor, now)
    }

    fn has_ended_within(&self, time: Duration, now: Instant) -> bool {
        let last = self.last_end();
        last.is_some_and(|last| now.saturating_duration_since(last) < time)
    }

    /// Returns how many servers ended. A server that came back and ended again counts again.
    pub(crate) fn distinct_ends(&self) -> usize {
        distinct_ends(&self.ends)
    }

    /// Returns when a server first ended under the feature.
    pub(super) fn first_end(&self) -> Option<Instant> {
        self.ends.first().map(|end| end.ended)
    }

    /// Returns when a server last ended under the feature.
    pub(crate) fn last_end(&self) -> Option<Instant> {
        self.ends.last().map(|end| end.ended)
    }

    /// Returns the servers that ended, or the first of them by name if they are many.
    pub(crate) fn servers(&self) -> Vec<Name> {
        let mut servers: Vec<Name> = self.ends.iter().map(|end| end.server.clone()).collect();
        servers.sort();
        servers.dedup();
        servers.truncate(SERVERS_NAMED_MAX);
        servers
    }
}

impl Evidence {
    fn calls_for_caution(&self, kind: Kind) -> bool {
        let requests_min = if kind == Kind::Part { 2 } else { 1 };
        let is_repeated = self.ends >= 2 && self.chance_as_lately <= CAUTION_CHANCE_MAX;
        let are_short = self.chance_of_runs <= CAUTION_RUNS_CHANCE_MAX;
        let are_all_short = self.ends >= CAUTION_RUNS_MIN && are_short;
        self.requests >= requests_min && (is_repeated || are_all_short)
    }
}

/// Ends of servers under runs that were all sent before the first of the ends.
struct Joint {
    first_ended: Instant,
    longest_run: Duration,
    /// Servers that ended together with the first.
    servers: HashSet<Name>,
    requests: HashSet<Fingerprint>,
}

impl Joint {
    fn of(end: &End) -> Self {
        let mut joint = Self {
            first_ended: end.ended,
            longest_run: Duration::ZERO,
            servers: HashSet::new(),
            requests: HashSet::new(),
        };
        joint.add(end);
        joint
    }

    fn add(&mut self, end: &End) {
        self.longest_run = self.longest_run.max(end.run());
        if end.ended.saturating_duration_since(self.first_ended) < JOINT_WINDOW {
            self.servers.insert(end.server.clone());
        }
        self.requests.insert(end.request);
    }

    /// The negative logarithm of the probability that the ends are by chance.
    fn evidence(&self, rate: f64, kind: Kind) -> f64 {
        run_evidence(self.longest_run, rate) + self.joint_evidence(kind)
    }

    /// The evidence of the servers that ended together with the first.
    fn joint_evidence(&self, kind: Kind) -> f64 {
        if kind == Kind::Part {
            return 0.0;
        }
        let further = self.servers.len().saturating_sub(1);
        JOINT_END_EVIDENCE * f64::from(u32::try_from(further).unwrap_or(u32::MAX))
    }
}

/// The negative logarithm of the probability that a server ends within a run by chance.
fn run_evidence(run: Duration, rate: f64) -> f64 {
    let run = run.max(RUN_MIN);
    let chance = -f64::exp_m1(-rate * run.as_secs_f64());
    -chance.ln()
}

/// Number of times at which servers ended that did not end together.
fn moments(ends: &[End]) -> usize {
    let mut moment = None;
    let begins = ends.iter().filter(|end| {
        let is_joint = moment.is_some_and(|moment: Instant| {
            end.ended.saturating_duration_since(moment) < JOINT_WINDOW
        });
        if !is_joint {
            moment = Some(end.ended);
        }
        !is_joint
    });
    begins.count()
}

/// Probability that each end of a series but the first strikes a server with a run of the feature, by chance.
///
/// A feature of which runs are at more servers than a few is answered whole between the ends.
fn chance_of_strikes(series: usize, servers: usize) -> f64 {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    let share = (FEW_SERVERS / f64::from(servers.max(1))).min(1.0);
    let strikes = i32::try_from(series.saturating_sub(1)).unwrap_or(i32::MAX);
    share.powi(strikes)
}

/// Probability that the ends of a series but the first fall into the runs of a request by chance.
///
/// Since the first end, servers ended `series - 1` times in the series, and otherwise too. If each may have ended at any
/// moment, an end falls into a run with the share that the runs have of the servers' time.
fn chance_within_runs(ends: &[End], series: usize, otherwise: &Background) -> f64 {
    let Some(first) = ends.first().map(|end| end.ended) else {
        return 1.0;
    };
    let run_since = |end: &End| {
        let run = end.ended.saturating_duration_since(end.sent.max(first));
        run.max(RUN_MIN).as_secs_f64()
    };
    let runs: f64 = ends.iter().map(run_since).sum();
    let share = runs / otherwise.exposure;
    if !(0.0..1.0).contains(&share) {
        return 1.0;
    }
    let later = series.saturating_sub(1);
    binomial_tail(later, later + otherwise.ends, share)
}

/// Probability of `least` successes or more in `trials`, each with probability `share`.
fn binomial_tail(least: usize, trials: usize, share: f64) -> f64 {
    let mut tail = 0.0;
    // The probability of `successes`, from none on.
    let mut term = (1.0 - share).powi(i32::try_from(trials).unwrap_or(i32::MAX));
    let odds = share / (1.0 - share);
    for successes in 0..=trials {
        if successes >= least {
            tail += term;
        }
        let (done, left) = (successes + 1, trials - successes);
        #[expect(clippy::cast_precision_loss, reason = "a few hundred ends")]
        let ratio = left as f64 / done as f64;
        term *= ratio * odds;
    }
    tail.min(1.0)
}

/// Probability that the evidence of `count` runs, whose servers ended by chance, adds up to `evidence` or more.
///
/// The probability of an end within the time of a run is itself evenly distributed if ends come by chance, so the sum
/// of the negative logarithms has a gamma distribution.
fn chance(count: usize, evidence: f64) -> f64 {
    let (mut term, mut sum) = (1.0, 0.0);
    for step in (1_u32..).take(count) {
        sum += term;
        term *= evidence / f64::from(step);
    }
    if count == 0 {
        1.0
    } else {
        sum * (-evidence).exp()
    }
}

/// The longest run at each server that ended.
fn longest_runs(ends: &[End]) -> Vec<Duration> {
    let mut longest: HashMap<&Name, Duration> = HashMap::new();
    for end in ends {
        let run = longest.entry(&end.server).or_default();
        *run = (*run).max(end.run());
    }
    longest.into_values().collect()
}

/// How many servers ended. A server that came back and ended again counts again.
fn distinct_ends(ends: &[End]) -> usize {
    let mut ends: Vec<&End> = ends.iter().collect();
    ends.sort_by_key(|end| (&end.server, end.ended));
    let repeated = ends.windows(2).filter(|pair| is_same_end(pair[0], pair[1]));
    ends.len() - repeated.count()
}

fn is_same_end(one: &End, other: &End) -> bool {
    let apart = one
        .ended
        .saturating_duration_since(other.ended)
        .max(other.ended.saturating_duration_since(one.ended));
    one.server == other.server && apart < SAME_END_WINDOW
}
