//! What a home has decided of late, for the log.

use crate::coordination::pool::Action;

/// What a home has decided since its last line in the log.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// Offers that it read, those said again included.
    pub(super) offers: u64,
    pub(super) grants: u64,
    pub(super) refusals: u64,
    /// Offers that were given to other shards.
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
