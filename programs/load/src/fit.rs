//! Linear fit of measured costs, with its residual.

use serde::Serialize;

/// One measured cost.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The cost at that size.
    pub cost: f64,
}

/// A linear fit of a cost against a size.
#[derive(Debug, Clone, Serialize)]
pub struct Fit {
    /// The measured cost with its unit.
    pub what: String,
    /// What the size counts.
    pub against: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The fitted cost at size 0.
    pub base: f64,
    /// The fitted cost per unit of size.
    pub slope: f64,
    /// The largest distance of a point from the line, in percent of the largest cost.
    pub residual: f64,
}

/// Fits a line by least squares.
pub fn line(what: &str, against: &str, points: Vec<Point>) -> Fit {
    let count = points.len() as f64;
    let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (size, cost) = (mean(|p| p.size), mean(|p| p.cost));
    let covariance: f64 = points
        .iter()
        .map(|p| (p.size - size) * (p.cost - cost))
        .sum();
    let variance: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
    let slope = if variance == 0.0 {
        0.0
    } else {
        covariance / variance
    };
    let base = cost - slope * size;
    let max_cost = points
        .iter()
        .map(|p| p.cost.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let deviation = |p: &Point| (p.cost - base - slope * p.size).abs();
    let residual = points.iter().map(deviation).fold(0.0, f64::max) / max_cost * 100.0;
    Fit {
        what: what.to_owned(),
        against: against.to_owned(),
        points,
        base,
        slope,
        residual,
    }
}

impl Fit {
    /// Prints the fit in readable form.
    pub fn print(&self) {
        println!("{} against {}", self.what, self.against);
        for point in &self.points {
            println!("  {:>10}  {:>14.3}", point.size, point.cost);
        }
        println!(
            "  = {:.4} + {:.6} x, off by at most {:.1}%",
            self.base, self.slope, self.residual
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn line_through_exact_points() {
        let points = [1.0, 2.0, 5.0].map(|size| Point {
            size,
            cost: 3.0 + 2.0 * size,
        });
        let fit = line("x", "y", points.to_vec());
        assert!((fit.base - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
        assert!(fit.residual < 1e-6);
    }

    #[test]
    fn line_reports_residual() {
        let points = [(1.0, 1.0), (2.0, 4.0), (3.0, 9.0), (4.0, 16.0)];
        let points = points.map(|(size, cost)| Point { size, cost });
        assert!(line("x", "y", points.to_vec()).residual > 5.0);
    }
}
