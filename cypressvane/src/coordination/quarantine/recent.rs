//! The servers that ended recently, whatever ran there, and how often a server ends by itself.

use std::collections::VecDeque;
use std::time::Duration;

use super::suspect::{End, SAME_END_WINDOW};
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

/// Time over which ends are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// How long ends are remembered, so that it is known how many requests ran at the servers.
const RETENTION: Duration = Duration::from_secs(60);
/// Most ends that are remembered.
const ENDS_MAX: usize = 256;
/// Most features that are remembered of one end; a server runs far fewer requests at once.
const FEATURES_MAX: usize = 1_024;
/// Ends of a server per second in a calm fleet: one in an hour.
const CALM_RATE: f64 = 1.0 / 3_600.0;

/// A server's end, as it was reported.
#[derive(Debug)]
pub(super) struct ServerEnd {
    pool: Name,
    server: Name,
    at: Instant,
    /// What the requests had that ran there.
    features: Vec<Fingerprint>,
    /// How many requests ran there.
    runs: usize,
    /// Whether something that is quarantined ran there.
    is_explained: bool,
}

impl ServerEnd {
    /// Whether a request with one of the features ran there.
    pub(super) fn involves_any(&self, features: &[Fingerprint]) -> bool {
        features.iter().any(|feature| self.involves(feature))
    }

    /// Whether a request with the feature ran there.
    pub(super) fn involves(&self, feature: &Fingerprint) -> bool {
        self.features.contains(feature)
    }

    /// Whether a report is about this end.
    pub(super) fn is_of(&self, reported: &End) -> bool {
        let at = reported.ended;
        let apart = at
            .saturating_duration_since(self.at)
            .max(self.at.saturating_duration_since(at));
        self.server == reported.server && apart < SAME_END_WINDOW
    }
}

/// How the servers of a pool end, as far as ends count.
#[derive(Clone, Copy, Debug)]
pub(super) struct Background {
    /// How often a server ended lately, per second.
    pub(super) rate: f64,
    /// Number of servers that have ended since the first end under a feature.
    pub(super) ends: usize,
    /// Time since then, times the number of servers, in seconds.
    pub(super) exposure: f64,
}

/// The servers that ended recently.
#[derive(Debug, Default)]
pub(super) struct Recent {
    ends: VecDeque<ServerEnd>,
}

impl Recent {
    /// Records a report; returns whether the end is explained by something that is quarantined.
    pub(super) fn note(
        &mut self,
        reported: &End,
        features: impl IntoIterator<Item = Fingerprint>,
    ) -> bool {
        let at = reported.ended;
        if self.position(reported).is_none() {
            if self.ends.len() >= ENDS_MAX {
                self.ends.pop_front();
            }
            self.ends.push_back(ServerEnd {
                pool: reported.pool.clone(),
                server: reported.server.clone(),
                at,
                features: Vec::new(),
                runs: 0,
                is_explained: false,
            });
        }
        let position = self.position(reported);
        let index = position.unwrap_or(self.ends.len() - 1);
        let end = &mut self.ends[index];
        end.runs += 1;
        let room = FEATURES_MAX.saturating_sub(end.features.len());
        end.features.extend(features.into_iter().take(room));
        end.is_explained
    }

    /// Records that something which is quarantined ran at a server when it ended.
    pub(super) fn explain(&mut self, explained: &End) {
        if let Some(index) = self.position(explained) {
            self.ends[index].is_explained = true;
        }
    }

    /// Records that a feature, which was quarantined, does not explain ends any more.
    pub(super) fn reopen(&mut self, feature: &Fingerprint) {
        for end in &mut self.ends {
            if end.features.contains(feature) {
                end.is_explained = false;
            }
        }
    }

    /// Whether a request with one of the features ran at a server that ended, as far as reported.
    pub(super) fn involves_any(&self, end: &End, features: &[Fingerprint]) -> bool {
        let position = self.position(end);
        position.is_some_and(|index| self.ends[index].involves_any(features))
    }

    /// How many requests ran at a server that ended, as far as reported; `None` if the end is no longer remembered.
    pub(super) fn runs_at(&self, end: &End) -> Option<usize> {
        let index = self.position(end)?;
        Some(self.ends[index].runs)
    }

    /// How the `servers` of a pool end, and how many have ended since `since`. Ends that are explained do not count, and
    /// others only if `counts` says so.
    pub(super) fn background(
        &self,
        pool: &Name,
        servers: usize,
        since: Instant,
        now: Instant,
        counts: impl Fn(&ServerEnd) -> bool,
    ) -> Background {
        let is_counted = |end: &&ServerEnd| end.pool == *pool && !end.is_explained && counts(end);
        let counted: Vec<&ServerEnd> = self.ends.iter().filter(is_counted).collect();
        let lately = counted
            .iter()
            .filter(|end| now.saturating_duration_since(end.at) < WINDOW);
        let count = u32::try_from(lately.count()).unwrap_or(u32::MAX);
        let servers = u32::try_from(servers.max(1)).unwrap_or(u32::MAX);
        let since_first = counted.iter().filter(|end| end.at >= since);
        Background {
            rate: CALM_RATE + f64::from(count) / (WINDOW.as_secs_f64() * f64::from(servers)),
            ends: since_first.count(),
            exposure: f64::from(servers) * self.known_since(since, now).as_secs_f64(),
        }
    }

    /// The time since `since` for which all ends are remembered.
    fn known_since(&self, since: Instant, now: Instant) -> Duration {
        let time = now.saturating_duration_since(since).min(RETENTION);
        match self.ends.front() {
            Some(oldest) if self.ends.len() >= ENDS_MAX => {
                time.min(now.saturating_duration_since(oldest.at))
            }
            _ => time,
        }
    }

    /// Drops ends that are too old to be remembered.
    pub(super) fn sweep(&mut self, now: Instant) {
        self.ends
            .retain(|end| now.saturating_duration_since(end.at) < RETENTION);
    }

    fn position(&self, reported: &End) -> Option<usize> {
        self.ends.iter().rposition(|end| end.is_of(reported))
    }
}
