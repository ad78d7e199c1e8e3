//! A roll-out as its coordinator decides it: how many requests the new version gets, whether it is good, and the end.
//!
//! In: hosts' reports on what they sent and how it was answered. Out: how many requests each host may send to the new
//! version, what is to be kept in the platform, and the end. Most of the time a small part of the requests goes to a
//! few servers of the new version, the canaries. Shortly before the end, if their answers were good, all requests do,
//! so that the old servers run empty and the last test is under full load. What both may send together stays below the
//! bound on a bad version's requests.

mod evidence;
mod said;
pub(crate) mod version;

use std::collections::HashMap;
use std::time::Duration;

use evidence::Evidence;
pub use evidence::Tally;
pub use said::{Report, Shown, Word};

use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::rollout::{Order, Progress, Stage};
use crate::state::units::real;

/// Part of the bound that canaries use up; the rest is for the time in which all requests go to the new version.
const CANARY_PART: f64 = 0.4;
/// Part of the bound that this time uses up at an even pace. A rush of twice the pace then still stays within it.
const ALL_PART: f64 = 0.3;
/// Part of an order's time that is left for the end to be written, which a slow platform takes long for.
const MARGIN_PART: f64 = 0.05;
/// Least such time.
const MARGIN_MIN: Duration = Duration::from_millis(300);
/// Requests by which the allotment that is kept in the platform grows at least, so that it is not written for each.
const ALLOT_STEP: u64 = 16;

/// How many requests a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Part of all requests of the service.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

impl Bounds {
    /// The part of the requests that canaries get.
    pub(crate) fn canary_share(&self) -> f64 {
        self.share * CANARY_PART
    }
}

/// Where a roll-out stands for its coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Canary,
    All,
    /// Decided, and why; kept in the platform or not yet.
    Decided {
        stage: Stage,
        why: String,
    },
}

/// What a host has told of the requests that it sent.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    all: u64,
    /// Those between its last two reports.
    latest: u64,
}

/// A roll-out as its coordinator decides it.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    bounds: Bounds,
    due: Instant,
    due_ms: u64,
    phase: Phase,
    evidence: Evidence,
    /// What each incarnation of a host has sent.
    requests: HashMap<(Name, u64), Sent>,
    /// Requests that hosts had told of when all began to go to the new version.
    before_all: Option<u64>,
    /// Requests that were handed out to hosts for the new version.
    dealt: u64,
    /// Requests that may be, as kept in the platform.
    allotted: u64,
    /// How it was kept last.
    kept: Option<Stage>,
}

impl Rollout {
    /// A roll-out that is due then, as far as an earlier coordinator has kept it.
    #[must_use]
    pub fn open(order: Order, bounds: Bounds, due: Instant, kept: Option<&Progress>) -> Self {
        let own = kept.filter(|progress| order.owns(progress));
        let duration = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
        let due_ms = order.seen_ms.saturating_add(duration);
        let mut rollout = Self {
            due,
            due_ms: own.map_or(due_ms, |progress| progress.due_ms),
            phase: Phase::Canary,
            evidence: Evidence::default(),
            requests: HashMap::new(),
            before_all: None,
            dealt: 0,
            allotted: 0,
            kept: None,
            order,
            bounds,
        };
        if let Some(progress) = own {
            rollout.evidence = Evidence::resume(&progress.answers);
            rollout.adopt(progress);
        }
        rollout
    }

    /// Takes over what another coordinator has kept: its end, or what it may have handed out.
    pub fn adopt(&mut self, progress: &Progress) {
        self.kept = Some(progress.stage);
        self.allotted = progress.allotted;
        self.dealt = progress.allotted;
        if progress.stage != Stage::InProgress {
            self.phase = Phase::Decided {
                stage: progress.stage,
                why: progress.why.clone(),
            };
        }
    }

    /// Goes on under the number that the order has since it was written again.
    pub fn renumber(&mut self, order: &Order) {
        self.order.number = order.number;
        self.order.era = order.era;
        self.forget_kept();
    }

    /// Notes that the platform may have lost what was kept: it is kept anew.
    pub fn forget_kept(&mut self) {
        self.kept = None;
    }

    /// The order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Takes in a host's report; gives what the host is to do.
    pub fn hear(&mut self, host: &Name, incarnation: u64, report: &Report, now: Instant) -> Word {
        let sent = self
            .requests
            .entry((host.clone(), incarnation))
            .or_default();
        let recent = report.requests.saturating_sub(sent.all);
        *sent = Sent {
            all: sent.all.max(report.requests),
            latest: recent,
        };
        self.dealt = self.dealt.saturating_sub(report.returned);
        for (route, tally) in &report.old {
            self.evidence.old(route, tally);
        }
        for (route, tally) in &report.new {
            self.evidence.new_version(route, tally, now);
        }
        self.advance(now);
        match self.word() {
            Word::Canary(_) => Word::Canary(self.deal(recent)),
            other => other,
        }
    }

    /// What hosts are to do, beside the requests that each may send as a canary.
    #[must_use]
    pub fn word(&self) -> Word {
        match &self.phase {
            Phase::Canary => Word::Canary(0),
            Phase::Decided { stage, .. } if self.kept == Some(*stage) => Word::Ended(*stage),
            // Where the end is not kept yet as far as is known, the old servers may have stopped all the same: the
            // answer of the write may be lost. Until it is kept the bound holds all the same.
            Phase::All
            | Phase::Decided {
                stage: Stage::Completed,
                ..
            } if !self.is_spent() => Word::All,
            Phase::All | Phase::Decided { .. } => Word::Nothing,
        }
    }

    /// Decides what time and evidence allow.
    fn advance(&mut self, now: Instant) {
        if !self.is_open() {
            return;
        }
        if let Some(why) = self.evidence.alarm() {
            self.decide(Stage::RolledBack, why);
            return;
        }
        if matches!(self.phase, Phase::Decided { .. }) {
            return;
        }
        let margin = self.margin();
        let all_for = self.order.duration.mul_f64(self.bounds.share * ALL_PART);
        let is_due = now + margin >= self.due;
        let may_be_all = now + margin + all_for >= self.due;
        match self.phase {
            Phase::Canary | Phase::All if is_due => self.decide_by_evidence(),
            // There is no more to be seen of it within the bound.
            Phase::All if self.is_spent() => self.decide_by_evidence(),
            Phase::Canary if may_be_all && self.may_go_on() => {
                self.phase = Phase::All;
                self.before_all = Some(self.total());
            }
            _ => {}
        }
    }

    /// Whether evidence may still change the decision: a completion may be taken back until it is kept, since of two
    /// ends that are written under conditions one is kept.
    fn is_open(&self) -> bool {
        match &self.phase {
            Phase::Canary | Phase::All => true,
            Phase::Decided { stage, .. } => {
                *stage == Stage::Completed
                    && self.before_all.is_some()
                    && self.kept != Some(Stage::Completed)
            }
        }
    }

    /// Whether the new version may have got as many requests as a bad one may, with those that hosts send until they
    /// are told otherwise.
    fn is_spent(&self) -> bool {
        let Some(before) = self.before_all else {
            return false;
        };
        let latest: u64 = self.requests.values().map(|sent| sent.latest).sum();
        let exposed = self.dealt + self.total().saturating_sub(before) + latest;
        real(exposed) >= self.bound()
    }

    /// Whether all requests may go to the new version: what it showed was good, and the order is kept.
    fn may_go_on(&self) -> bool {
        self.kept.is_some() && self.evidence.lack_to_go_on().is_none()
    }

    /// Decides when the time is over: without evidence a version is not good, since a bad one that is completed cannot
    /// be taken back.
    fn decide_by_evidence(&mut self) {
        let lack = self.evidence.lack();
        let untried = || "not tried under all requests".to_owned();
        let lack = lack.or_else(|| (self.phase == Phase::Canary).then(untried));
        match lack {
            Some(lack) => self.decide(Stage::RolledBack, format!("due without evidence: {lack}")),
            None => self.decide(Stage::Completed, "its answers are as good".to_owned()),
        }
    }

    /// Ends it so, unless it has ended: where nothing is to be moved, or hosts know of an end that the platform lost.
    pub fn end(&mut self, stage: Stage, why: &str) {
        if !matches!(self.phase, Phase::Decided { .. }) {
            self.decide(stage, why.to_owned());
        }
    }

    fn decide(&mut self, stage: Stage, why: String) {
        self.phase = Phase::Decided { stage, why };
    }

    fn margin(&self) -> Duration {
        let part = self.order.duration.mul_f64(MARGIN_PART).max(MARGIN_MIN);
        part.min(self.order.duration / 2)
    }

    /// Requests of the service that hosts have told of.
    fn total(&self) -> u64 {
        self.requests.values().map(|sent| sent.all).sum()
    }

    /// Requests that canaries may get by now. Only what was asked counts, since nobody knows what will be.
    fn canary_bound(&self) -> u64 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a count"
        )]
        let bound = (self.bound() * CANARY_PART) as u64;
        bound
    }

    /// Requests that a bad version may get by now.
    fn bound(&self) -> f64 {
        self.bounds.share * real(self.total()) + self.bounds.slack
    }

    /// Hands out requests to a host that has sent so many since its last report: half as many at most, so that one
    /// host does not get what it will not use.
    fn deal(&mut self, recent: u64) -> u64 {
        let bound = self.canary_bound().min(self.allotted);
        let given = recent.div_ceil(2).min(bound.saturating_sub(self.dealt));
        self.dealt += given;
        given
    }

    /// What is to be kept in the platform next, if anything is.
    pub fn step(&mut self, now: Instant) -> Option<Progress> {
        self.advance(now);
        let bound = self.canary_bound();
        let progress = match &self.phase {
            Phase::Decided { stage, .. } if self.kept == Some(*stage) => return None,
            Phase::Decided { stage, why } => self.progress(*stage, why.clone(), self.allotted),
            Phase::Canary if self.kept.is_none() || bound >= self.allotted + ALLOT_STEP => {
                let allotted = bound.max(self.allotted);
                self.progress(Stage::InProgress, String::new(), allotted)
            }
            Phase::Canary | Phase::All => return None,
        };
        Some(progress)
    }

    fn progress(&self, stage: Stage, why: String, allotted: u64) -> Progress {
        Progress {
            number: self.order.number,
            era: self.order.era,
            to: self.order.to.clone(),
            stage,
            why,
            due_ms: self.due_ms,
            allotted,
            answers: self.evidence.answers(),
        }
    }

    /// Notes that this is kept in the platform.
    pub fn kept(&mut self, progress: &Progress) {
        self.kept = Some(progress.stage);
        self.allotted = self.allotted.max(progress.allotted);
    }

    /// It in short, for operators.
    #[must_use]
    pub fn shown(&self) -> Shown {
        let (answers, failures) = self.evidence.counts();
        let (phase, why) = match &self.phase {
            Phase::Canary => ("canary", self.evidence.lack().unwrap_or_default()),
            Phase::All => ("all", String::new()),
            Phase::Decided { stage, why } => (stage.text(), why.clone()),
        };
        Shown {
            phase,
            why,
            requests: self.total(),
            dealt: self.dealt,
            answers,
            failures,
        }
    }
}
