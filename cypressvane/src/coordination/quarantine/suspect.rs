//! What speaks against one request.

use std::time::Duration;

use super::Subject;
use crate::state::clock::Instant;
use crate::state::name::Name;

/// Time within which reports of a server's end are of the same end: a server takes seconds to be back, and hosts
/// notice its end, and tell of it, within milliseconds.
const SAME_END: Duration = Duration::from_secs(1);
/// Most reports that are kept of one request: one of each host whose copy ran at a server that ended.
const REPORTS_MAX: usize = 64;

/// Most servers that a ruling names, so that a row of the table service holds many rulings.
const SERVERS_NAMED: usize = 8;

/// A host's report that a server ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    /// Tells this report from others, so that one that is told twice counts once.
    pub(crate) id: u64,
    pub(crate) server: Name,
    /// When the request was sent there.
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
}

/// A request that ran at servers which ended, and was not answered whole since.
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

    /// Adds a report; tells whether it was new.
    pub(super) fn add(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|known| known.id == end.id);
        if is_known || self.ends.len() >= REPORTS_MAX {
            return false;
        }
        self.ends.push(end);
        true
    }

    /// How many servers ended; one that came back and ended again counts again.
    pub(crate) fn ends_apart(&self) -> usize {
        let mut ends: Vec<(&Name, Instant)> = self
            .ends
            .iter()
            .map(|end| (&end.server, end.ended))
            .collect();
        ends.sort();
        let is_same = |one: &(&Name, Instant), other: &(&Name, Instant)| {
            one.0 == other.0 && other.1.saturating_duration_since(one.1) < SAME_END
        };
        let repeated = ends.windows(2).filter(|pair| is_same(&pair[0], &pair[1]));
        ends.len() - repeated.count()
    }

    /// Whether `most` servers ended under it, not all of them before it was sent again.
    ///
    /// Servers that end together, as a rack does that loses power, say nothing of a request of which copies
    /// ran on several of them.
    pub(super) fn is_guilty(&self, most: usize) -> bool {
        let first_end = self.ends.iter().map(|end| end.ended).min();
        let last_sent = self.ends.iter().map(|end| end.sent).max();
        let was_sent_again = last_sent >= first_end;
        was_sent_again && self.ends_apart() >= most
    }

    /// When a server ended under it last.
    pub(crate) fn last(&self) -> Option<Instant> {
        self.ends.iter().map(|end| end.ended).max()
    }

    /// The servers that ended, or the first of them by name where they are many.
    pub(crate) fn servers(&self) -> Vec<Name> {
        let mut servers: Vec<Name> = self.ends.iter().map(|end| end.server.clone()).collect();
        servers.sort();
        servers.dedup();
        servers.truncate(SERVERS_NAMED);
        servers
    }
}
