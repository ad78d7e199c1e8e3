//! Least-squares fit of a line to measured points, with the largest residual.

/// Measured values of one quantity at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// The measured quantity, with its unit.
    pub quantity: &'static str,
    /// The quantity that was varied.
    pub size: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

/// The fitted line of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Change of the value for each unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, as a share of the largest absolute value.
    pub residual: f64,
}

impl Series {
    /// Creates a series without points.
    pub fn new(quantity: &'static str, size: &'static str) -> Self {
        Self {
            quantity,
            size,
            points: Vec::new(),
        }
    }

    /// Adds a measured value.
    pub fn add(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// Fits a line by least squares.
    pub fn line(&self) -> Line {
        let count = self.points.iter().map(|_| 1.0).sum::<f64>();
        let mean =
            |value: fn(&(f64, f64)) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let squares: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products: f64 = self
            .points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if squares > 0.0 {
            products / squares
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let largest = self.points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let residuals = self
            .points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).abs());
        let residual = if largest > 0.0 {
            residuals.fold(0.0, f64::max) / largest
        } else {
            0.0
        };
        Line {
            slope,
            intercept,
            residual,
        }
    }

    /// Prints the points and the line.
    pub fn print(&self) {
        let line = self.line();
        println!("\n{} by {}", self.quantity, self.size);
        for (size, value) in &self.points {
            println!("  {size:>10.0}  {value:>14.4}");
        }
        println!(
            "  value = {:.6} + {:.8} x {}; largest residual {:.1}%",
            line.intercept,
            line.slope,
            self.size,
            line.residual * 100.0
        );
    }
}
