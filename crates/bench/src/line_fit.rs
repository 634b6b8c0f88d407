/// Straight line through measured points by least squares.
///
/// ```
/// use arbutuspick_bench::LineFit;
/// let fit = LineFit::of(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
/// assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 1.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LineFit {
    /// Growth per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
    /// Largest distance of a point from the line.
    pub worst_residual: f64,
}

impl LineFit {
    /// Fits points of size and value; a single size gives a flat line.
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let joint: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let residuals = points
            .iter()
            .map(|(size, value)| (value - intercept - slope * size).abs());
        Self {
            slope,
            intercept,
            worst_residual: residuals.fold(0.0, f64::max),
        }
    }
}
