//! Counts of a home's recent decisions, for the log.

use crate::coordination::pool::Action;

/// Decisions of a home since its last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// Offers received, including repeated ones.
    pub(super) offers: u64,
    pub(super) grants: u64,
    pub(super) refusals: u64,
    /// Offers passed to other shards.
    pub(super) moves: u64,
}

impl Tally {
    pub(super) fn count(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Grant { .. } => self.grants += 1,
                Action::Refuse { .. } => self.refusals += 1,
            }
        }
    }
}
