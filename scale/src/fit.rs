//! Fits a straight line to measured points.

use serde::Serialize;

/// The line `y = offset + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Growth of `y` for each unit of `x`.
    pub slope: f64,
    /// Value at `x = 0`.
    pub offset: f64,
    /// Share of the variance that the line explains; 1 if all values of `y` are equal.
    pub r_squared: f64,
}

impl Line {
    /// Value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.offset + self.slope * x
    }
}

/// Fits a line by least squares; none for fewer than two different values of `x`.
pub fn fit_line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let x_variation = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if points.len() < 2 || x_variation <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / x_variation;
    let offset = mean_y - slope * mean_x;
    let residual = points.iter().map(|(x, y)| (y - offset - slope * x).powi(2)).sum::<f64>();
    let y_variation = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
    let r_squared = if y_variation > 0.0 { 1.0 - residual / y_variation } else { 1.0 };
    Some(Line { slope, offset, r_squared })
}
