//! Ordinary least squares fit of a measured value against the varied size.

/// A straight line fitted to points (x, y), with measures of its error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Change of y per unit of x.
    pub slope: f64,
    /// Value of the line at x = 0.
    pub intercept: f64,
    /// Standard error of the slope; 0 with fewer than three points.
    pub slope_error: f64,
    /// Coefficient of determination: the fraction of y's variance that the line explains, 0 to 1; 1 if y is constant.
    pub r2: f64,
    /// Largest absolute residual of a point, as a fraction of the mean of |y|; 0 if all y are 0.
    pub residual: f64,
    /// Slope of log y against log x: 0 if y is constant, 1 if linear in x, 2 if quadratic. `None` unless all x and y
    /// are above 0.
    pub exponent: Option<f64>,
}

impl Fit {
    /// Fits `points` (x, y). `None` if there are fewer than two different x, or any x or y is not finite.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let (slope, intercept) = line(points)?;
        let count = points.len() as f64;
        let mean =
            |value: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(&|point| point.0), mean(&|point| point.1));
        let residual = |point: &(f64, f64)| point.1 - (intercept + slope * point.0);
        let residual_squares: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        let total_squares: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let x_squares: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let mean_magnitude = mean(&|point| point.1.abs());
        let largest_residual = points
            .iter()
            .map(|point| residual(point).abs())
            .fold(0.0, f64::max);
        let logarithms: Vec<_> = points
            .iter()
            .map(|point| (point.0.ln(), point.1.ln()))
            .collect();
        Some(Fit {
            slope,
            intercept,
            slope_error: if points.len() > 2 {
                (residual_squares / (count - 2.0) / x_squares).sqrt()
            } else {
                0.0
            },
            r2: if total_squares > 0.0 {
                1.0 - residual_squares / total_squares
            } else {
                1.0
            },
            residual: if mean_magnitude > 0.0 {
                largest_residual / mean_magnitude
            } else {
                0.0
            },
            exponent: points
                .iter()
                .all(|point| point.0 > 0.0 && point.1 > 0.0)
                .then(|| line(&logarithms).map(|(slope, _)| slope))
                .flatten(),
        })
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Slope and intercept of the least squares line; `None` as for [`Fit::of`].
fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    if points
        .iter()
        .any(|point| !point.0.is_finite() || !point.1.is_finite())
    {
        return None;
    }
    let count = points.len() as f64;
    let (mean_x, mean_y) = (
        points.iter().map(|point| point.0).sum::<f64>() / count,
        points.iter().map(|point| point.1).sum::<f64>() / count,
    );
    let x_squares: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let products: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    (x_squares > 0.0).then(|| (products / x_squares, mean_y - products / x_squares * mean_x))
}
