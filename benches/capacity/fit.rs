//! Straight lines through measured points.

use serde::Serialize;

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Line {
    /// Growth for each unit of the size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual: f64,
    /// Points fitted.
    pub points: usize,
}

impl Line {
    /// Fits a line through at least three points of unlike sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        if spread == 0.0 {
            return None;
        }
        let joint = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let slope = joint / spread;
        let intercept = mean_y - slope * mean_x;
        let off = |(x, y): &(f64, f64)| (y - intercept - slope * x).powi(2);
        let residual = (points.iter().map(off).sum::<f64>() / count).sqrt();
        Some(Self { slope, intercept, residual, points: points.len() })
    }
}
