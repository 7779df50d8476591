//! Fits straight lines to measured points and prints them.

/// One quantity at several sizes.
pub(crate) struct Series {
    /// Process or component that the quantity belongs to.
    pub(crate) role: &'static str,
    /// Name of the measured quantity, with its unit.
    pub(crate) quantity: &'static str,
    /// Unit of the size, such as endpoints.
    pub(crate) unit: &'static str,
    /// Size to which the line is extrapolated.
    pub(crate) target: f64,
    /// Measured points as (size, value).
    pub(crate) points: Vec<(f64, f64)>,
}

/// Prints the header of the table.
pub(crate) fn print_header() {
    println!("| role | quantity | per | sizes: values | slope | intercept | error | at | value |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
}

impl Series {
    /// Prints the points, the least-squares line, its root mean square error relative to the mean of the values, and
    /// the value of the line at the target.
    pub(crate) fn print(&self) {
        let (slope, intercept) = least_squares(&self.points);
        let points = self.points.iter();
        let squares: f64 = points
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        // CAST: A series has fewer than ten points.
        let count = self.points.len() as f64;
        let mean = self.points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let error = (squares / count).sqrt() / mean.abs().max(f64::MIN_POSITIVE);
        let formatted: Vec<_> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x}: {y:.4}"))
            .collect();
        println!(
            "| {} | {} | {} | {} | {slope:.4e} | {intercept:.4e} | {:.0} % | {} | {:.4} |",
            self.role,
            self.quantity,
            self.unit,
            formatted.join(", "),
            100.0 * error,
            self.target,
            intercept + slope * self.target,
        );
    }
}

/// Returns the slope and the intercept of the least-squares line through the points.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    // CAST: A series has fewer than ten points.
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    (slope, mean_y - slope * mean_x)
}
