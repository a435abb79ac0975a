//! Plot of p99 against budget.

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

/// File of the plot.
const PLOT_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/p99-by-budget.svg");

/// One point of the plot.
#[derive(Clone, Debug)]
pub(crate) struct BudgetPoint {
    /// The service.
    pub(crate) service: String,
    /// Paid probes as a percentage of server time.
    pub(crate) percent: f64,
    /// p99 of urgent reads in milliseconds.
    pub(crate) millis: f64,
}

/// Draws a line for each service.
pub(crate) fn draw(points: &[BudgetPoint]) {
    let mut services: Vec<&str> = points.iter().map(|point| point.service.as_str()).collect();
    services.dedup();
    let highest = points.iter().map(|point| point.millis).fold(0.0, f64::max);
    let widest = points.iter().map(|point| point.percent).fold(0.0, f64::max);
    let area = SVGBackend::new(PLOT_FILE, (800, 480)).into_drawing_area();
    area.fill(&WHITE).expect("the plot is drawn");
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "p99 of urgent reads, stragglers, load 70%",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..widest, 0.0..highest * 1.1)
        .expect("the plot is drawn");
    chart
        .configure_mesh()
        .x_desc("paid probes, % of server time")
        .y_desc("p99, ms")
        .draw()
        .expect("the plot is drawn");
    for (index, service) in services.iter().enumerate() {
        let line = points
            .iter()
            .filter(|point| point.service == *service)
            .map(|point| (point.percent, point.millis));
        let colour = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(line, &colour))
            .expect("the plot is drawn")
            .label(*service)
            .legend(move |(x, y)| {
                plotters::prelude::PathElement::new(
                    vec![(x, y), (x + 16, y)],
                    Palette99::pick(index),
                )
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .expect("the plot is drawn");
    area.present().expect("the plot is written");
    println!("\nplot written to docs/p99-by-budget.svg");
}
