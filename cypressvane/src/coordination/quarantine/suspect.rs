//! Evidence that one request ends the servers it runs on.

use std::time::Duration;

use super::Subject;
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Time within which reports of a server's end are about the same end: a restart takes seconds, while hosts notice an
/// end and report it within milliseconds.
const SAME_END_WINDOW: Duration = Duration::from_secs(1);
/// Most reports that are kept for one request: enough for one from each host whose copy ran at a server that ended.
const REPORTS_MAX: usize = 64;

/// Most servers that a ruling names, so that a row of the table service holds many rulings.
const SERVERS_NAMED_MAX: usize = 8;

/// A host's report that a server ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    /// Identifies the report, so that one received twice counts once.
    pub(crate) id: u64,
    pub(crate) server: Name,
    /// When the request was sent to the server.
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
}

/// A request that ran at servers which ended and that has not been answered whole since.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    pub(crate) subject: Subject,
    ends: Vec<End>,
}

impl Suspect {
    pub(super) fn new(subject: Subject) -> Self {
        Self {
            subject,
            ends: Vec::new(),
        }
    }

    /// Adds a report; returns whether it was new.
    pub(super) fn add(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|known| known.id == end.id);
        if is_known || self.ends.len() >= REPORTS_MAX {
            return false;
        }
        self.ends.push(end);
        true
    }

    /// Returns how many servers ended. A server that came back and ended again counts again.
    pub(crate) fn distinct_ends(&self) -> usize {
        let mut ends: Vec<(&Name, Instant)> = self
            .ends
            .iter()
            .map(|end| (&end.server, end.ended))
            .collect();
        ends.sort();
        let is_same = |one: &(&Name, Instant), other: &(&Name, Instant)| {
            one.0 == other.0 && other.1.saturating_duration_since(one.1) < SAME_END_WINDOW
        };
        let repeated = ends.windows(2).filter(|pair| is_same(&pair[0], &pair[1]));
        ends.len() - repeated.count()
    }

    /// Whether at least `ends_min` servers ended under the request, and it was sent again after the first end.
    ///
    /// Servers that end together, as a rack that loses power does, are no evidence against a request of which copies
    /// ran on several of them.
    pub(super) fn ends_servers(&self, ends_min: usize) -> bool {
        let first_end = self.ends.iter().map(|end| end.ended).min();
        let last_sent = self.ends.iter().map(|end| end.sent).max();
        let was_sent_again = last_sent >= first_end;
        was_sent_again && self.distinct_ends() >= ends_min
    }

    /// Returns when a server last ended under the request.
    pub(crate) fn last_end(&self) -> Option<Instant> {
        self.ends.iter().map(|end| end.ended).max()
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
