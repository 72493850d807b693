//! Fits lines to the results and writes them as JSON, CSV and Markdown.

use crate::fit::{Line, fit_line};
use crate::plan::{Plan, Quantity};
use crate::point::PointResult;
use serde::Serialize;
use std::path::Path;

/// A file of results cannot be written.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {error}")]
pub struct ReportError {
    path: String,
    error: std::io::Error,
}

/// One point and the quantity that varied.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The varied quantity; none for a run without sweeps.
    pub vary: Option<Quantity>,
    /// What was measured.
    pub result: PointResult,
}

/// How one figure grows with one quantity.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The varied quantity.
    pub vary: Quantity,
    /// Name of the figure.
    pub figure: &'static str,
    /// Measured points: value of the quantity, value of the figure.
    pub points: Vec<(f64, f64)>,
    /// Line fitted to the points.
    pub line: Line,
    /// Value of the line at the target's value of the quantity; all other quantities have their base values.
    pub at_target: f64,
}

/// All results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The plan.
    pub plan: Plan,
    /// The measured points.
    pub points: Vec<Point>,
    /// A fitted line for each figure and varied quantity.
    pub slopes: Vec<Slope>,
}

impl Report {
    /// Fits lines to the points.
    pub fn new(plan: Plan, points: Vec<Point>) -> Self {
        let fit = |vary: Quantity| slopes(&plan, &points, vary);
        let slopes = plan.sweep.iter().flat_map(|sweep| fit(sweep.vary)).collect();
        Report { plan, points, slopes }
    }

    /// The results as Markdown tables.
    pub fn to_markdown(&self) -> String {
        let mut text = String::from(
            "| point | CPU % | decisions CPU % | us a decision | attempts/s | MB | descriptors | list B/s | list msg/s | \
             last router ms (50%, 99%, most) | changes, complete | served, refused, failed |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        self.points.iter().for_each(|point| text.push_str(&point_row(point)));
        if !self.slopes.is_empty() {
            text.push_str("\n| figure | against | slope | offset | R2 | at the target's size |\n| --- | --- | --- | --- | --- | --- |\n");
        }
        for Slope { vary, figure, line, at_target, .. } in &self.slopes {
            let Line { slope, offset, r_squared } = line;
            text.push_str(&format!(
                "| {figure} | {} | {slope:.4} | {offset:.3} | {r_squared:.3} | {at_target:.2} |\n",
                vary.name()
            ));
        }
        text
    }

    /// Writes the whole report as JSON.
    pub fn write_json(&self, path: &Path) -> Result<(), ReportError> {
        let text = serde_json::to_vec_pretty(self).map_err(std::io::Error::other);
        text.and_then(|text| std::fs::write(path, text)).map_err(|error| write_error(path, error))
    }

    /// Writes a CSV row for each figure of each point.
    pub fn write_csv(&self, path: &Path) -> Result<(), ReportError> {
        let write = || -> std::io::Result<()> {
            let mut writer = csv::Writer::from_path(path)?;
            writer.write_record(["vary", "value", "servers", "routers", "figure", "measured"])?;
            for Point { vary, result } in &self.points {
                let name = vary.map_or("-", Quantity::name);
                let value = vary.map_or(0.0, |vary| vary.value_in(&result.size)).to_string();
                let (servers, routers) = (result.size.servers.to_string(), result.size.routers.to_string());
                for (figure, measured) in result.figures.named() {
                    let measured = measured.to_string();
                    writer.write_record([name, &value, &servers, &routers, figure, &measured])?;
                }
            }
            writer.flush()
        };
        write().map_err(|error| write_error(path, error))
    }
}

fn write_error(path: &Path, error: std::io::Error) -> ReportError {
    ReportError { path: path.display().to_string(), error }
}

fn slopes(plan: &Plan, points: &[Point], vary: Quantity) -> Vec<Slope> {
    let results: Vec<&PointResult> =
        points.iter().filter(|point| point.vary == Some(vary)).map(|point| &point.result).collect();
    let Some(first) = results.first() else { return Vec::new() };
    let figures = first.figures.named().into_iter().enumerate();
    let slope = |(index, (figure, _)): (usize, (&'static str, f64))| {
        let points: Vec<(f64, f64)> = results
            .iter()
            .map(|result| (vary.value_in(&result.size), result.figures.named()[index].1))
            .collect();
        let line = fit_line(&points)?;
        Some(Slope { vary, figure, points, line, at_target: line.at(vary.value_in(&plan.target)) })
    };
    figures.filter_map(slope).collect()
}

fn point_row(point: &Point) -> String {
    let Point { vary, result } = point;
    let name = match vary {
        Some(vary) => format!("{} {}", vary.name(), vary.value_in(&result.size)),
        None => format!("{} servers, {} routers", result.size.servers, result.size.routers),
    };
    let figures = &result.figures;
    let [median, p99, max] = result.spread.last_router_ms;
    let [served, refused, failed] = result.answers;
    format!(
        "| {name} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.2} | {median:.1}, {p99:.1}, {max:.1} | \
         {}, {} | {served}, {refused}, {failed} |\n",
        figures.cpu_percent,
        figures.decision_cpu_percent,
        figures.decision_us,
        figures.attempts_per_s,
        figures.peak_memory_mb,
        figures.descriptors,
        figures.discovery_bytes_per_s,
        figures.discovery_messages_per_s,
        result.spread.changes,
        result.spread.complete,
    )
}
