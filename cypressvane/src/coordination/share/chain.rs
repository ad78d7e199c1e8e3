//! The waiting offers of one account at one tier, with their start tags.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;

use crate::state::clock::Instant;

/// Units of virtual time in a second.
pub(super) const TAGS_PER_SECOND: f64 = 1e6;
/// Part of the first offer's own length, in virtual time, by which corrections may move an account's finish tag before
/// its waiting offers are tagged anew. It bounds the number of such changes for an account with many waiting offers.
const DRIFT_SHARE_MAX: f64 = 0.1;

/// A point in virtual time, in microseconds of one server for an account of weight 1.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tag(pub(crate) f64);

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Tag {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Tag {}

/// Length of work in virtual time, in whole microseconds: sums of these are exact, so that equal tags compare as equal and
/// the order of arrival decides.
pub(super) fn length(cost: f64, weight: f64) -> f64 {
    (cost / weight * TAGS_PER_SECOND).round()
}

/// Order of an account's offers at one tier: on time before late, then by priority, returning before new, by deadline
/// and arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) is_late: bool,
    pub(crate) negated_priority: i64,
    pub(crate) is_new: bool,
    pub(crate) deadline: Instant,
    pub(crate) arrival: u64,
}

/// The change of a waiting offer's start tag.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Move {
    pub(crate) rank: usize,
    pub(crate) place: Place,
    pub(crate) from: Tag,
    pub(crate) to: Tag,
}

/// The change of a start tag at a tier that the caller knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    place: Place,
    from: Tag,
    to: Tag,
}

impl Step {
    pub(super) fn at(self, rank: usize) -> Move {
        Move {
            rank,
            place: self.place,
            from: self.from,
            to: self.to,
        }
    }
}

/// A waiting offer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// Forecast cost, in seconds of one server.
    pub(super) cost: f64,
    pub(super) tag: Tag,
}

/// The waiting offers of an account at a tier.
#[derive(Debug, Default)]
pub(super) struct Chain {
    /// Where the work that the account was granted ends.
    pub(super) finish: f64,
    /// Sum of the virtual time that the finish tag has skipped because the account asked for nothing.
    pub(super) skipped: f64,
    waiting: BTreeMap<Place, Waiting>,
}

impl Chain {
    /// Moves the finish tag to the virtual time if nothing waits: what the account left unused is gone.
    pub(super) fn catch_up(&mut self, virtual_time: f64) {
        if self.waiting.is_empty() && self.finish < virtual_time {
            self.skipped += virtual_time - self.finish;
            self.finish = virtual_time;
        }
    }

    /// The start tag that an offer at `place` would get.
    pub(super) fn tag(&self, place: &Place, virtual_time: f64, weight: f64) -> Tag {
        let before = self.waiting.range(..place).next_back();
        Tag(match before {
            Some((_, before)) => before.tag.0 + length(before.cost, weight),
            None if self.waiting.is_empty() => self.finish.max(virtual_time),
            None => self.finish,
        })
    }

    /// Adds an offer; returns its tag, and the tags of those behind it.
    pub(super) fn insert(&mut self, place: Place, cost: f64, weight: f64) -> (Tag, Vec<Step>) {
        let tag = self.tag(&place, self.finish, weight);
        self.waiting.insert(place, Waiting { cost, tag });
        let steps = self.retag(Bound::Excluded(place), tag.0 + length(cost, weight), weight);
        (tag, steps)
    }

    /// Removes an offer and moves up those behind it.
    pub(super) fn remove(&mut self, place: &Place, weight: f64) -> Vec<Step> {
        if self.waiting.remove(place).is_none() {
            return Vec::new();
        }
        let start = self.tag(place, self.finish, weight).0;
        self.retag(Bound::Excluded(*place), start, weight)
    }

    /// Removes an offer that is granted; the others keep their tags until the account is charged.
    pub(super) fn take(&mut self, place: &Place) -> Option<Waiting> {
        self.waiting.remove(place)
    }

    /// Adds granted work.
    pub(super) fn charge(&mut self, cost: f64, weight: f64) -> Vec<Step> {
        self.finish += length(cost, weight);
        self.retag_if_drifted(weight)
    }

    /// Corrects the cost of work that was granted when the finish tag had skipped `skipped_before`.
    ///
    /// Work that is returned after the tag has skipped is of no use any more. Further work moves the tag only as far as
    /// it would have ended after what was skipped.
    pub(super) fn correct(
        &mut self,
        change: f64,
        skipped_before: &mut f64,
        weight: f64,
    ) -> Vec<Step> {
        let skipped = (self.skipped - *skipped_before).max(0.0);
        let change = length(change, weight);
        if change > 0.0 {
            let counted = (change - skipped).max(0.0);
            *skipped_before += change - counted;
            self.finish += counted;
        } else if skipped <= 0.0 {
            self.finish += change;
        }
        self.retag_if_drifted(weight)
    }

    fn retag_if_drifted(&mut self, weight: f64) -> Vec<Step> {
        let Some((_, first)) = self.waiting.first_key_value() else {
            return Vec::new();
        };
        let drift = (first.tag.0 - self.finish).abs();
        if drift <= DRIFT_SHARE_MAX * length(first.cost, weight) {
            return Vec::new();
        }
        self.retag_all(weight)
    }

    /// Tags all offers anew.
    pub(super) fn retag_all(&mut self, weight: f64) -> Vec<Step> {
        self.retag(Bound::Unbounded, self.finish, weight)
    }

    /// Tags the offers from `from` on, of which the first starts at `start`: all of them if that is the first of the
    /// account's, since the weight may have changed, otherwise up to the first that does not change.
    fn retag(&mut self, from: Bound<Place>, start: f64, weight: f64) -> Vec<Step> {
        let mut start = start;
        let mut steps = Vec::new();
        for (place, waiting) in self.waiting.range_mut((from, Bound::Unbounded)) {
            let to = Tag(start);
            start += length(waiting.cost, weight);
            if waiting.tag == to {
                if from == Bound::Unbounded {
                    continue;
                }
                break;
            }
            steps.push(Step {
                place: *place,
                from: waiting.tag,
                to,
            });
            waiting.tag = to;
        }
        steps
    }
}
