use std::fmt;

use crate::LineFit;

/// Cost against a size, measured several times at each of several sizes.
///
/// ```
/// use arbutuspick_bench::SlopeSeries;
/// let mut series = SlopeSeries::new("decide", "workers", "us");
/// series.add(80, [1.0, 1.1, 0.9]);
/// assert!(series.to_string().contains("| 80 |"));
/// ```
#[derive(Clone, Debug)]
pub struct SlopeSeries {
    cost_name: &'static str,
    size_name: &'static str,
    unit: &'static str,
    points: Vec<(u64, Vec<f64>)>,
}

impl SlopeSeries {
    /// Creates an empty series of a named cost in a unit against a named size.
    pub fn new(cost_name: &'static str, size_name: &'static str, unit: &'static str) -> Self {
        Self {
            cost_name,
            size_name,
            unit,
            points: Vec::new(),
        }
    }

    /// Adds the measurements at one size.
    pub fn add<Values>(&mut self, size: u64, values: Values)
    where
        Values: IntoIterator<Item = f64>,
    {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        self.points.push((size, values));
    }

    /// Returns the line fit through all measurements.
    pub fn fit(&self) -> LineFit {
        let points: Vec<(f64, f64)> = self
            .points
            .iter()
            .flat_map(|(size, values)| values.iter().map(|value| (*size as f64, *value)))
            .collect();
        LineFit::from_points(&points)
    }
}

impl fmt::Display for SlopeSeries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cost_name,
            size_name,
            unit,
            points,
        } = self;
        writeln!(
            f,
            "| {size_name} | {cost_name}, least {unit} | median {unit} | most {unit} | runs |"
        )?;
        writeln!(f, "|--:|--:|--:|--:|--:|")?;
        for (size, values) in points {
            let (lowest, highest) = (values.first(), values.last());
            let (lowest, highest) = (lowest.copied().unwrap_or(0.0), highest.copied().unwrap_or(0.0));
            let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
            let runs = values.len();
            writeln!(
                f,
                "| {size} | {lowest:.3} | {median:.3} | {highest:.3} | {runs} |"
            )?;
        }
        let LineFit {
            slope,
            intercept,
            max_residual,
        } = self.fit();
        writeln!(
            f,
            "\nFit: {slope:.6} {unit} per unit of {size_name}, intercept {intercept:.3} {unit}, \
             largest residual {max_residual:.3} {unit}."
        )
    }
}
