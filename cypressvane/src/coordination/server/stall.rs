//! Judges the silences of a backend server that holders report: whether the server stands still, or only one holder's path
//! or one request does.

use std::time::Duration;

use super::Server;
use super::health::{FAILURES_MAX, Failure, State};
use crate::coordination::offer::Ticket;
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Shortest silence after which a server that stands still is down, and tried with one request.
const STALL_MIN: Duration = Duration::from_secs(3);

/// How much later a request must have been sent that is answered before another one, to say something of the path of the
/// other.
const OVERTAKING_MIN: Duration = Duration::from_millis(100);
/// Multiple of its forecast after which a request is overdue.
const OVERDUE_FACTOR: u32 = 2;

/// The silence of one request that its holder has reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    pub(super) since: Instant,
    /// How long its holder took to find it worth a report.
    bound: Duration,
    /// Whether its holder was told that others hear the server.
    is_judged: bool,
}

/// A server that stands still as a whole: no holder has heard it since a silence began that was reported.
#[derive(Clone, Copy, Debug)]
struct Stall {
    since: Instant,
    reported: Instant,
    /// Number of requests whose silence was reported.
    reports: u32,
    /// Slots of requests whose connections were closed meanwhile, which the server does not know.
    abandoned: u32,
}

/// What is known of a server's silences.
#[derive(Clone, Debug, Default)]
pub(super) struct Hearing {
    /// When any holder last heard the server.
    heard_at: Option<Instant>,
    stall: Option<Stall>,
    /// When the last stall ended.
    resumed_at: Option<Instant>,
    /// Number of running requests whose silence was reported, so that the others need no scan.
    silent: usize,
    /// The last one sent of the requests that the server has begun to answer: its holder, and when it was sent.
    answered: Option<(Name, Instant)>,
}

/// A request that hears nothing from a server which others hear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unheard {
    /// The request.
    pub ticket: Ticket,
    /// For how long others have heard the server meanwhile.
    pub silence: Duration,
}

impl Server {
    /// Records that a request has heard nothing for `silence`, longer than its holder expected. `is_alone` tells whether no
    /// other server of the pool takes work.
    pub(crate) fn note_silence(
        &mut self,
        ticket: &Ticket,
        silence: Duration,
        is_alone: bool,
        now: Instant,
    ) {
        let Some(running) = self.running.get_mut(ticket) else {
            return;
        };
        let since = now.checked_sub(silence).unwrap_or(now).max(running.sent);
        let reported = Silence {
            since,
            bound: now.saturating_duration_since(since),
            is_judged: false,
        };
        running.is_disturbed = true;
        let is_trial = self.health.state == State::Trial && running.sent >= self.health.since;
        if running.silence.replace(reported).is_none() {
            self.hearing.silent += 1;
        }
        if self.hearing.heard_at.is_some_and(|at| at > since) {
            return;
        }
        if is_trial && !is_alone {
            self.fail(Failure::Silent, now);
        }
        if self.health.state != State::Live {
            return;
        }
        let stall = self.hearing.stall.get_or_insert(Stall {
            since,
            reported: now,
            reports: 0,
            abandoned: 0,
        });
        stall.since = stall.since.min(since);
        stall.reports = stall.reports.saturating_add(1);
        // What runs there is delayed, so it shows neither speeds nor pauses.
        for running in self.running.values_mut() {
            running.is_disturbed = true;
        }
    }

    /// Records that the server has sent something for a request. It serves again at once if it stood still.
    pub(crate) fn hear(&mut self, ticket: &Ticket, now: Instant) {
        self.hearing.heard_at = Some(now);
        self.end_silence(ticket);
        if let Some(stall) = self.hearing.stall.take() {
            self.hearing.resumed_at = Some(now);
            for _ in 0..stall.abandoned {
                self.caution.hold_back_slot(now);
            }
        }
        self.health.hear(now);
    }

    /// Returns, once for each silence, the requests that hear nothing although others have heard the server for as long as
    /// a silence takes to be reported.
    pub(crate) fn judge_silences(&mut self, now: Instant) -> Vec<Unheard> {
        let Some(heard_at) = self.hearing.heard_at.filter(|_| self.hearing.silent > 0) else {
            return Vec::new();
        };
        let resumed_at = self.hearing.resumed_at;
        let silent = self.running.iter_mut().filter_map(|(ticket, running)| {
            let silence = running.silence.as_mut()?;
            let start = resumed_at.map_or(silence.since, |at| at.max(silence.since));
            if silence.is_judged || heard_at < start + silence.bound {
                return None;
            }
            silence.is_judged = true;
            Some(Unheard {
                ticket: ticket.clone(),
                silence: now.saturating_duration_since(start),
            })
        });
        silent.collect()
    }

    /// Whether a holder may have the last free slot.
    ///
    /// It may not if its path to the server may be silent: what it sent would fill all slots, and no other holder could
    /// show that the server answers.
    pub(crate) fn may_use_last_slot(&self, holder: &Name, now: Instant) -> bool {
        let usable = self.usable_slots() as usize;
        let is_last = usable > 1 && self.running.len() + 1 >= usable;
        !is_last || !self.is_overtaken_at(holder, now)
    }

    /// Whether a request of this holder is overdue, and the server has begun to answer one of another holder that was sent
    /// well after it. Only routes are judged: whole completions have no first token by which they could be overdue.
    fn is_overtaken_at(&self, holder: &Name, now: Instant) -> bool {
        let Some((_, answered_sent)) = self.hearing.answered.as_ref().filter(|it| it.0 != *holder)
        else {
            return false;
        };
        self.running.iter().any(|(ticket, running)| {
            let is_judged = running.silence.is_some_and(|silence| silence.is_judged);
            let overdue_at = running.sent + running.forecast * OVERDUE_FACTOR + OVERTAKING_MIN;
            ticket.holder == *holder
                && running.work.is_route
                && !running.prefilled
                && !is_judged
                && overdue_at < now
                && running.sent + OVERTAKING_MIN < *answered_sent
        })
    }

    /// Records that the server has begun to answer a request that was sent at `sent`.
    pub(super) fn note_answered(&mut self, holder: &Name, sent: Instant) {
        let is_later = |(_, before): &(Name, Instant)| *before < sent;
        if self.hearing.answered.as_ref().is_none_or(is_later) {
            self.hearing.answered = Some((holder.clone(), sent));
        }
    }

    /// Records the end of a request without an answer, before it is removed; returns whether the end is explained by the
    /// silence of the server, so that it is no failure of its own. Its slot stays taken until the server speaks.
    pub(crate) fn abandon(&mut self, ticket: &Ticket) -> bool {
        let Some(stall) = self.hearing.stall.as_mut() else {
            return false;
        };
        let is_affected = self
            .running
            .get(ticket)
            .is_some_and(|running| running.silence.is_some() || running.sent < stall.reported);
        if is_affected {
            stall.abandoned = stall.abandoned.saturating_add(1);
        }
        is_affected
    }

    /// Drops the silence of a request that takes as long at another server. If no other request reported one, the server is
    /// not taken to stand still any more.
    pub(crate) fn excuse(&mut self, ticket: &Ticket, now: Instant) {
        self.end_silence(ticket);
        let is_only_report = |stall: &mut Stall| stall.reports <= 1 && stall.abandoned == 0;
        if self.hearing.silent == 0 && self.hearing.stall.take_if(is_only_report).is_some() {
            self.health.hear(now);
        }
    }

    /// Takes a server down that stands still, once nothing runs there or it has been silent for long. After the silence of
    /// a few requests, which may have been theirs alone, it is tried at once.
    pub(crate) fn limit_stall(&mut self, is_alone: bool, now: Instant) {
        let Some(stall) = self.hearing.stall else {
            return;
        };
        let is_over = self.running.is_empty()
            || now >= stall.since + self.patience() && self.is_silent_throughout();
        if !is_over || self.health.state != State::Live {
            return;
        }
        if self.running.is_empty() && stall.reports < FAILURES_MAX.min(self.slots.max(2)) {
            self.try_anew(now);
            return;
        }
        let failure = if is_alone {
            Failure::SilentAlone
        } else {
            Failure::Silent
        };
        self.fail(failure, now);
    }

    /// When `limit_stall` may take the server down.
    pub(crate) fn stall_ends_at(&self) -> Option<Instant> {
        let stall = self.hearing.stall?;
        (self.health.state == State::Live).then(|| stall.since + self.patience())
    }

    /// How long the server may stand still before it is down: as long as an answer may take that is on time.
    fn patience(&self) -> Duration {
        let targets = self.running.values();
        let shortest = targets.map(|running| running.work.first_token_target).min();
        shortest.unwrap_or_default().max(STALL_MIN)
    }

    /// Lets the server be tried anew: what was left there before does not count any more.
    pub(crate) fn try_anew(&mut self, now: Instant) {
        self.health.set(State::Trial, now);
        self.hearing.stall = None;
    }

    /// Number of requests that run there and have been reported to hear nothing.
    pub(super) fn silent_requests(&self) -> u32 {
        u32::try_from(self.hearing.silent).unwrap_or(u32::MAX)
    }

    /// Whether the server stands still, as far as is known.
    pub(crate) fn is_stalled(&self) -> bool {
        self.hearing.stall.is_some()
    }

    /// Since when no holder has heard the server, if it stands still.
    pub(crate) fn stalled_since(&self) -> Option<Instant> {
        self.hearing.stall.map(|stall| stall.since)
    }

    /// Slots that requests of closed connections may still take.
    pub(super) fn abandoned(&self) -> u32 {
        self.hearing.stall.map_or(0, |stall| stall.abandoned)
    }

    /// Whether every request that runs here is silent, so that none shows whether the server has gone on.
    pub(super) fn is_silent_throughout(&self) -> bool {
        self.hearing.silent >= self.running.len()
    }

    /// When any holder last heard the server.
    pub(super) fn heard_at(&self) -> Option<Instant> {
        self.hearing.heard_at
    }

    /// Whether the times of a request say nothing, since a silence has lengthened them.
    pub(crate) fn is_disturbed(&self, ticket: &Ticket) -> bool {
        self.running
            .get(ticket)
            .is_some_and(|running| running.is_disturbed)
    }

    /// Drops the silence of a request.
    pub(super) fn end_silence(&mut self, ticket: &Ticket) {
        if let Some(running) = self.running.get_mut(ticket)
            && running.silence.take().is_some()
        {
            self.hearing.silent -= 1;
        }
    }
}
