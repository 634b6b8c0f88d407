/// Least-squares line through measured points.
///
/// ```
/// use arbutuspick_bench::LineFit;
/// let fit = LineFit::from_points(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
/// assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 1.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LineFit {
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest absolute residual.
    pub max_residual: f64,
}

impl LineFit {
    /// Fits a line to pairs of size and value; the slope is 0 if all sizes are equal.
    pub fn from_points(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = mean_value - slope * mean_size;
        let residuals = points
            .iter()
            .map(|(size, value)| (value - intercept - slope * size).abs());
        Self {
            slope,
            intercept,
            max_residual: residuals.fold(0.0, f64::max),
        }
    }
}
