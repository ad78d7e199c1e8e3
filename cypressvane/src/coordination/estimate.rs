//! Running estimate of a quantity: exponentially weighted mean and mean absolute deviation.

/// Weight of the newest observation once there are many. The estimate then covers about ten observations, which is a
/// second or two at a server's few requests per second.
const WEIGHT_MIN: f64 = 0.1;

/// Estimate of a quantity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    observations: u32,
    mean: f64,
    deviation: f64,
}

impl Estimate {
    /// Adds an observation; the first ones are weighted equally.
    pub(crate) fn observe(&mut self, value: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight = WEIGHT_MIN.max(1.0 / f64::from(self.observations));
        let off = value - self.mean;
        self.mean += weight * off;
        if self.observations > 1 {
            self.deviation += weight * (off.abs() - self.deviation);
        }
    }

    /// The mean; `None` without observations.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.observations > 0).then_some(self.mean)
    }

    /// Upper bound of most observations, the mean plus the mean absolute deviation; `None` without observations.
    pub(crate) fn upper(&self) -> Option<f64> {
        self.quantile(1.0)
    }

    /// The mean plus so many mean absolute deviations; `None` without observations.
    pub(crate) fn quantile(&self, deviations: f64) -> Option<f64> {
        (self.observations > 0).then_some(self.mean + deviations * self.deviation)
    }
}
