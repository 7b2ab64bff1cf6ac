//! Charts of experiment results.

use plotters::prelude::{
    BLACK, BLUE, CYAN, ChartBuilder, Circle, GREEN, IntoDrawingArea, IntoFont, LineSeries, MAGENTA,
    PathElement, RED, RGBColor, SVGBackend, WHITE,
};
use std::error::Error;
use std::path::Path;

/// Width and height of an image, in pixels.
const IMAGE_SIZE: (u32, u32) = (1_200, 420);

const FONT: (&str, i32) = ("sans-serif", 18);

/// Results of one policy at one load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Point {
    pub(super) policy: &'static str,
    pub(super) load: f64,
    pub(super) stall: f64,
    pub(super) preemptions: f64,
    pub(super) worth: f64,
}

fn color(policy: &str) -> RGBColor {
    match policy {
        "almondcroft" => RED,
        "oracle" => BLACK,
        "round-robin" => CYAN,
        "least-in-flight" => BLUE,
        "two-choices" => GREEN,
        _ => MAGENTA,
    }
}

/// A chart: its caption and the value that it shows of a point.
type Chart = (&'static str, fn(&Point) -> f64);

/// Draws three charts side by side, each with the load on its x axis.
pub(super) fn plot(file: &Path, title: &str, points: &[Point]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(file, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(title, FONT.into_font())?;
    let areas = root.split_evenly((1, 3));
    let charts: [Chart; 3] = [
        ("stall p99, s", |point| point.stall),
        ("preemptions per 1,000", |point| point.preemptions),
        ("worth per second", |point| point.worth),
    ];
    let mut policies: Vec<&str> = points.iter().map(|point| point.policy).collect();
    policies.sort_unstable();
    policies.dedup();
    for (area, (caption, value)) in areas.iter().zip(charts) {
        let max_value = points.iter().map(value).fold(0.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(caption, FONT.into_font())
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.5..1.6, 0.0..max_value)?;
        chart.configure_mesh().x_desc("load").draw()?;
        for policy in &policies {
            let color = color(policy);
            let line = points.iter().filter(|point| point.policy == *policy);
            let line: Vec<(f64, f64)> = line.map(|point| (point.load, value(point))).collect();
            chart
                .draw_series(LineSeries::new(line.clone(), &color))?
                .label(*policy)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
            chart.draw_series(line.into_iter().map(|at| Circle::new(at, 3, color)))?;
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()?;
    }
    root.present()?;
    Ok(())
}
