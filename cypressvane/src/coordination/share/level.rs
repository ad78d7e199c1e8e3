//! The weighted max-min fair level of a pool.

/// Demands of the accounts, prepared for finding the level that one more demand gets.
#[derive(Debug, Default)]
pub(super) struct Levels {
    capacity: f64,
    /// Demand per weight, ascending.
    ratios: Vec<f64>,
    /// Sum of the demands before each index.
    demands: Vec<f64>,
    /// Sum of the weights from each index on.
    weights: Vec<f64>,
}

impl Levels {
    /// Prepares demands, each with its weight, on a capacity.
    pub(super) fn of(mut accounts: Vec<(f64, f64)>, capacity: f64) -> Self {
        accounts.sort_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
        let ratios = accounts.iter().map(|(demand, weight)| demand / weight);
        let ratios = ratios.collect();
        let mut sum = 0.0;
        let mut demands = vec![0.0];
        for (demand, _) in &accounts {
            sum += demand;
            demands.push(sum);
        }
        let mut sum = 0.0;
        let mut weights = vec![0.0];
        for (_, weight) in accounts.iter().rev() {
            sum += weight;
            weights.push(sum);
        }
        weights.reverse();
        Self {
            capacity,
            ratios,
            demands,
            weights,
        }
    }

    /// Capacity per weight that an account gets if it asks for as much as it can get; `demand` is what it is counted
    /// with among the others.
    pub(super) fn level_for(&self, demand: f64, weight: f64) -> f64 {
        if self.demands.is_empty() {
            return self.capacity / weight;
        }
        // What all accounts take at a level, where the account itself takes its whole share.
        let taken = |index: usize, level: f64| {
            let others = self.demands[index] + level * self.weights[index];
            others - demand.min(level * weight) + level * weight
        };
        let within = |index: usize| taken(index, self.ratios[index]) <= self.capacity;
        let (mut low, mut high) = (0, self.ratios.len());
        while low < high {
            let middle = usize::midpoint(low, high);
            if within(middle) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        // Between two ratios the sum is linear in the level. The account's own entry lies on one side of the level.
        let below = low > 0 && demand / weight <= self.ratios[low - 1];
        let (others, weights) = if below {
            (self.demands[low] - demand, self.weights[low] + weight)
        } else {
            (self.demands[low], self.weights[low])
        };
        if weights <= 0.0 {
            return (self.capacity - others).max(0.0) / weight;
        }
        ((self.capacity - others) / weights).max(0.0)
    }
}
