//! A quantity that is learnt from what is seen of it: its mean, and how far it strays.

/// Weight of the newest observation once there are many: some ten of them are remembered, which at a
/// server's few requests a second is a second or two.
const WEIGHT: f64 = 0.1;

/// What is learnt of a quantity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    seen: u32,
    mean: f64,
    deviation: f64,
}

impl Estimate {
    /// Learns from one observation; the first ones count alike.
    pub(crate) fn learn(&mut self, value: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.seen));
        let off = value - self.mean;
        self.mean += weight * off;
        if self.seen > 1 {
            self.deviation += weight * (off.abs() - self.deviation);
        }
    }

    /// The mean; `None` when nothing was seen.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.seen > 0).then_some(self.mean)
    }

    /// What most observations stay under; `None` when nothing was seen.
    pub(crate) fn high(&self) -> Option<f64> {
        (self.seen > 0).then_some(self.mean + self.deviation)
    }
}
