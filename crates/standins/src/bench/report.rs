//! Reports of a benchmark: a text table and an HTML page with plots.

use super::figures::{measure_rows, MeasureRow, PolicyFigures};
use anyhow::{Context, Result};
use plotters::prelude::*;
use std::fs;
use std::path::Path;

const PLOT_SIZE: (u32, u32) = (800, 360);

const COLORS: [RGBColor; 5] = [BLACK, BLUE, RED, GREEN, MAGENTA];

/// Returns the report rows of all policies; the first policy has to be the central queue, the reference of the ratios.
pub fn all_rows(figures: &[PolicyFigures]) -> Vec<MeasureRow> {
    let Some(central) = figures.first() else {
        return Vec::new();
    };
    figures
        .iter()
        .flat_map(|policy| measure_rows(policy, central))
        .collect()
}

/// Formats the rows as the text table that the benchmark prints.
pub fn format_table(rows: &[MeasureRow]) -> String {
    let mut text = format!(
        "{:<15} {:<40} {:>9} {:>9}  verdict\n",
        "policy", "measure", "value", "target"
    );
    for row in rows {
        let verdict = match row.ok {
            true => "ok",
            false => "short",
        };
        let target = row.target.format_bound();
        text += &format!(
            "{:<15} {:<40} {:>9.4} {target:>9}  {verdict}\n",
            row.policy, row.measure, row.value
        );
    }
    text
}

/// Writes `index.html` with the table and plots into `folder`, which is created if it does not exist.
///
/// # Errors
///
/// Returns an error if the folder cannot be written or a plot cannot be drawn.
pub fn write_page(folder: &Path, title: &str, figures: &[PolicyFigures]) -> Result<()> {
    fs::create_dir_all(folder)
        .with_context(|| format!("cannot create report folder {}", folder.display()))?;
    let rows = all_rows(figures);
    let mut page =
        format!("<!doctype html><meta charset=\"utf-8\"><title>{title}</title><h1>{title}</h1>\n");
    page += "<table border=1><tr><th>policy<th>measure<th>value<th>target<th>verdict</tr>\n";
    for row in &rows {
        let verdict = match row.ok {
            true => "ok",
            false => "short",
        };
        let target = row
            .target
            .format_bound()
            .replace('<', "&lt;")
            .replace('>', "&gt;");
        page += &format!(
            "<tr><td>{}<td>{}<td>{:.4}<td>{target}<td>{verdict}</tr>\n",
            row.policy, row.measure, row.value
        );
    }
    page += "</table>\n<h2>Crest (load of 3 times the capacity): answers in time per half second</h2>\n";
    for policy in figures {
        page += &overload_plot(policy)?;
    }
    page += "<h2>Distribution of latency at 0.7 load</h2>\n";
    page += &distribution_plot(figures)?;
    page += "<h2>Work of each endpoint at 0.7 load, ms</h2>\n";
    for policy in figures {
        page += &format!(
            "<p>{}: {:?}</p>\n",
            policy.policy.name(),
            policy.endpoint_work_ms
        );
    }
    page += "<h2>Flows under planned changes</h2>\n";
    for policy in figures {
        if let (Some(flows), Some(broken)) = (policy.flows, policy.broken_flows) {
            page += &format!(
                "<p>{}: {flows} flows and streams, {broken} broken</p>\n",
                policy.policy.name()
            );
        }
    }
    let file = folder.join("index.html");
    fs::write(&file, page).with_context(|| format!("cannot write report {}", file.display()))
}

fn overload_plot(figures: &PolicyFigures) -> Result<String> {
    // CAST: Counts of half a second are small.
    let urgent = figures
        .crest_points
        .iter()
        .map(|point| (point.at_s, point.urgent as f64));
    let standard = figures
        .crest_points
        .iter()
        .map(|point| (point.at_s, point.standard as f64));
    let lines = [
        ("urgent".to_string(), urgent.collect()),
        ("standard".to_string(), standard.collect()),
    ];
    line_plot(
        &format!("{}: answers in time", figures.policy.name()),
        "s",
        &lines,
    )
}

fn distribution_plot(figures: &[PolicyFigures]) -> Result<String> {
    let lines: Vec<(String, Vec<(f64, f64)>)> = figures
        .iter()
        .map(|policy| {
            (
                policy.policy.name().to_string(),
                policy.distribution.clone(),
            )
        })
        .collect();
    line_plot("share of requests answered", "ms", &lines)
}

fn line_plot(caption: &str, unit: &str, lines: &[(String, Vec<(f64, f64)>)]) -> Result<String> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter());
    let max_x = points().map(|point| point.0).fold(1.0, f64::max);
    let max_y = points().map(|point| point.1).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)?;
        chart.configure_mesh().x_desc(unit).draw()?;
        for ((name, points), color) in lines.iter().zip(COLORS) {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), &color))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}
