//! Usual running times of a pool's plain calls, by class.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::offer::Offer;

/// Most classes whose times are known, since a policy may return any priority.
const CLASSES_MAX: usize = 256;
/// Weight of the newest observation once there are many. It is well below that of a server's own estimate, so that what
/// one server does differently is attributed to that server.
const WEIGHT_MIN: f64 = 0.02;
/// Largest factor by which an observation counts as longer or shorter than usual.
const OUTLIER_FACTOR: f64 = 2.0;
/// Share of a server's ratio that is attributed to the class. Without it, all ratios and all usual times could drift in
/// opposite directions, since only their products are observed.
const RATIO_SHARE: f64 = 0.1;

/// A class of plain calls with similar running times: their tier, their priority and what their route promises.
///
/// The routes of a service are not known at its home, but what they promise is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Class {
    rank: usize,
    priority: i64,
    target: Duration,
    pause: Duration,
}

impl Class {
    /// The class of an offer.
    pub(crate) fn of(offer: &Offer) -> Self {
        Self {
            rank: offer.rank,
            priority: offer.priority,
            target: offer.first_token_target,
            pause: offer.pause,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Time {
    observations: u32,
    /// Mean of the logarithm of the seconds on a server of the usual speed.
    mean: f64,
}

/// The usual running times.
#[derive(Debug, Default)]
pub(crate) struct Usual(HashMap<Class, Time>);

impl Usual {
    /// Returns the usual running time of a class in seconds; `None` if none was observed.
    pub(crate) fn seconds(&self, class: &Class) -> Option<f64> {
        self.0.get(class).map(|time| time.mean.exp())
    }

    /// Records that a call took `seconds` on a server whose calls take `ratio` times as long as usual.
    pub(crate) fn learn(&mut self, class: Class, seconds: f64, ratio: f64) {
        if self.0.len() >= CLASSES_MAX && !self.0.contains_key(&class) {
            return;
        }
        let observed = seconds.ln() - (1.0 - RATIO_SHARE) * ratio.ln();
        let time = self.0.entry(class).or_insert(Time {
            observations: 0,
            mean: observed,
        });
        time.observations = time.observations.saturating_add(1);
        let weight = WEIGHT_MIN.max(1.0 / f64::from(time.observations));
        let bound = OUTLIER_FACTOR.ln();
        time.mean += weight * (observed - time.mean).clamp(-bound, bound);
    }
}
