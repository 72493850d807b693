//! Results as JSON, as CSV, and as rows for a page.

use crate::fit::{Line, line};
use crate::plan::{Plan, Quantity};
use crate::point::Measured;
use serde::Serialize;
use std::path::Path;

/// Why results cannot be written.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {error}")]
pub struct ReportError {
    path: String,
    error: std::io::Error,
}

/// One point, and what varied there.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// What varied; none for a run without sweeps.
    pub vary: Option<Quantity>,
    /// What was measured.
    pub result: Measured,
}

/// How one figure grows with one quantity.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What varied.
    pub vary: Quantity,
    /// The figure.
    pub figure: &'static str,
    /// The sizes at which it was measured, and its values there.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub line: Line,
    /// The line's value where the quantity has the target's size and all others the base's.
    pub at_target: f64,
}

/// All that a run found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was run.
    pub plan: Plan,
    /// Its points.
    pub points: Vec<Point>,
    /// The lines through them.
    pub slopes: Vec<Slope>,
}

impl Report {
    /// Fits what was measured.
    pub fn new(plan: Plan, points: Vec<Point>) -> Self {
        let of = |vary: Quantity| slopes(&plan, &points, vary);
        let slopes = plan.sweep.iter().flat_map(|sweep| of(sweep.vary)).collect();
        Report { plan, points, slopes }
    }

    /// The rows for a page, in Markdown.
    pub fn rows(&self) -> String {
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

    /// Writes the whole report.
    pub fn write_json(&self, path: &Path) -> Result<(), ReportError> {
        let text = serde_json::to_vec_pretty(self).map_err(std::io::Error::other);
        text.and_then(|text| std::fs::write(path, text)).map_err(|error| failed(path, error))
    }

    /// Writes a line for each figure of each point.
    pub fn write_csv(&self, path: &Path) -> Result<(), ReportError> {
        let all = || -> std::io::Result<()> {
            let mut writer = csv::Writer::from_path(path)?;
            writer.write_record(["vary", "value", "servers", "routers", "figure", "measured"])?;
            for Point { vary, result } in &self.points {
                let name = vary.map_or("-", Quantity::name);
                let value = vary.map_or(0.0, |vary| vary.of(&result.size)).to_string();
                let (servers, routers) = (result.size.servers.to_string(), result.size.routers.to_string());
                for (figure, measured) in result.figures.named() {
                    let measured = measured.to_string();
                    writer.write_record([name, &value, &servers, &routers, figure, &measured])?;
                }
            }
            writer.flush()
        };
        all().map_err(|error| failed(path, error))
    }
}

fn failed(path: &Path, error: std::io::Error) -> ReportError {
    ReportError { path: path.display().to_string(), error }
}

fn slopes(plan: &Plan, points: &[Point], vary: Quantity) -> Vec<Slope> {
    let of: Vec<&Measured> =
        points.iter().filter(|point| point.vary == Some(vary)).map(|point| &point.result).collect();
    let Some(first) = of.first() else { return Vec::new() };
    let figures = first.figures.named().into_iter().enumerate();
    let slope = |(place, (figure, _)): (usize, (&'static str, f64))| {
        let points: Vec<(f64, f64)> =
            of.iter().map(|result| (vary.of(&result.size), result.figures.named()[place].1)).collect();
        let line = line(&points)?;
        Some(Slope { vary, figure, points, line, at_target: line.at(vary.of(&plan.target)) })
    };
    figures.filter_map(slope).collect()
}

fn point_row(point: &Point) -> String {
    let Point { vary, result } = point;
    let name = match vary {
        Some(vary) => format!("{} {}", vary.name(), vary.of(&result.size)),
        None => format!("{} servers, {} routers", result.size.servers, result.size.routers),
    };
    let figures = &result.figures;
    let [median, late, most] = result.spread.last_router_ms;
    let [served, refused, failed] = result.answers;
    format!(
        "| {name} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.2} | {median:.1}, {late:.1}, {most:.1} | \
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
