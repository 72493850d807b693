//! A straight line through measured points.

use serde::Serialize;

/// `y = offset + slope x`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Growth for each unit.
    pub slope: f64,
    /// Value at zero.
    pub offset: f64,
    /// Share of the variance that the line explains; 1 where all values are equal.
    pub r_squared: f64,
}

impl Line {
    /// The value at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.offset + self.slope * x
    }
}

/// The line through these points; none for fewer than two different sizes.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    let offset = mean_y - slope * mean_x;
    let left = points.iter().map(|(x, y)| (y - offset - slope * x).powi(2)).sum::<f64>();
    let all = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
    let r_squared = if all > 0.0 { 1.0 - left / all } else { 1.0 };
    Some(Line { slope, offset, r_squared })
}
