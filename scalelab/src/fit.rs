//! Ordinary least squares of one measured figure against the size that was varied.

/// A straight line through the points, with its spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Units of y for each unit of x.
    pub slope: f64,
    /// y at x = 0.
    pub intercept: f64,
    /// Standard error of the slope; 0 with fewer than three points.
    pub slope_error: f64,
    /// Part of y's variance that the line explains, 0 to 1; 1 where y does not vary.
    pub r2: f64,
    /// Largest distance of a point from the line, as a part of the mean of |y|.
    pub residual: f64,
    /// Slope of log y against log x: 0 is flat, 1 linear, 2 quadratic. `None` unless all are above 0.
    pub exponent: Option<f64>,
}

impl Fit {
    /// Fits `points` (x, y). `None` with fewer than two different x, or a figure that is not finite.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let (slope, intercept) = line(points)?;
        let n = points.len() as f64;
        let mean = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (mean(&|p| p.0), mean(&|p| p.1));
        let off = |p: &(f64, f64)| p.1 - (intercept + slope * p.0);
        let rest: f64 = points.iter().map(|p| off(p).powi(2)).sum();
        let total: f64 = points.iter().map(|p| (p.1 - my).powi(2)).sum();
        let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let size = mean(&|p| p.1.abs());
        let widest = points.iter().map(|p| off(p).abs()).fold(0.0, f64::max);
        let logs: Vec<_> = points.iter().map(|p| (p.0.ln(), p.1.ln())).collect();
        Some(Fit {
            slope,
            intercept,
            slope_error: if points.len() > 2 {
                (rest / (n - 2.0) / sxx).sqrt()
            } else {
                0.0
            },
            r2: if total > 0.0 { 1.0 - rest / total } else { 1.0 },
            residual: if size > 0.0 { widest / size } else { 0.0 },
            exponent: points
                .iter()
                .all(|p| p.0 > 0.0 && p.1 > 0.0)
                .then(|| line(&logs).map(|l| l.0))
                .flatten(),
        })
    }

    /// What the line says at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    if points.iter().any(|p| !p.0.is_finite() || !p.1.is_finite()) {
        return None;
    }
    let n = points.len() as f64;
    let (mx, my) = (
        points.iter().map(|p| p.0).sum::<f64>() / n,
        points.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    (sxx > 0.0).then(|| (sxy / sxx, my - sxy / sxx * mx))
}
