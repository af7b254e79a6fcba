//! Renders the report as one self-contained HTML page with plots.

use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, LineSeries, SVGBackend},
    style::{Color, Palette, Palette99, WHITE},
};

use super::{
    burn::{BurnPoint, Report},
    objective::Objective,
    text::render_text,
};

/// Width and height of a plot in pixels.
const PLOT_SIZE_PIXELS: (u32, u32) = (860, 200);

/// Renders the report as HTML.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
pub fn render_html(report: &Report) -> anyhow::Result<String> {
    let mut plots = String::new();
    for (index, objective) in Objective::ALL.into_iter().enumerate() {
        plots.push_str(&render_plot(objective, index, &report.points)?);
    }
    let text = escape_html(&render_text(report));
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\
         <title>Service-level report</title>\n\
         <style>body{{font-family:sans-serif;margin:2em;max-width:60em}}\
         pre{{overflow-x:auto}}</style></head>\n\
         <body>\n<h1>Service-level report</h1>\n<pre>{text}</pre>\n\
         <h2>Burn rate over time</h2>\n<p>At 1, the error budget is spent exactly.</p>\n{plots}</body>\n</html>\n"
    ))
}

/// Renders the burn rate of one objective over time as SVG.
fn render_plot(objective: Objective, index: usize, points: &[BurnPoint]) -> anyhow::Result<String> {
    let series: Vec<(f64, f64)> = points
        .iter()
        .map(|point| (point.at.0 as f64 / 1e6, point.burn[index]))
        .collect();
    let first = series.first().map_or(0.0, |(x, _)| *x);
    let last = series.last().map_or(1.0, |(x, _)| *x).max(first + 1.0);
    let max_burn = series.iter().map(|(_, y)| *y).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(objective.name(), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(first..last, 0.0..max_burn * 1.1)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("burn rate")
            .draw()?;
        let color = Palette99::pick(index).stroke_width(2);
        chart.draw_series(LineSeries::new(series, color))?;
        area.present()?;
    }
    Ok(svg)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
