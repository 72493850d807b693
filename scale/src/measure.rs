//! Measures a router process: CPU time, memory and descriptors from the system, the rest from its own metrics.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Tries to read the metrics: a busy router may not answer operators at once.
const METRICS_TRIES: usize = 5;
/// Time between two tries.
const METRICS_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The system has no figures of the process, because it has ended.
    #[error("process {0} has ended")]
    Process(u32),
    /// The router's metrics cannot be read.
    #[error("metrics of {0} cannot be read: {1}")]
    Metrics(SocketAddr, String),
}

/// Figures of a router process at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time of the sample.
    pub at: Instant,
    /// CPU time so far, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Peak resident memory, in MB.
    pub peak_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Decisions so far: total time in seconds, and count.
    pub decisions: (f64, f64),
    /// Attempts sent so far.
    pub attempts: f64,
}

/// Samples one router.
pub async fn sample(process: u32, operators: SocketAddr) -> Result<Sample, MeasureError> {
    let mut tries = 1;
    let metrics = loop {
        match fetch_metrics(operators).await {
            Ok(text) => break text,
            Err(error) if tries >= METRICS_TRIES => return Err(MeasureError::Metrics(operators, error)),
            Err(_) => tokio::time::sleep(METRICS_RETRY_DELAY).await,
        }
        tries += 1;
    };
    let metric = |name: &str| metric_value(&metrics, name).unwrap_or_default();
    let decisions = (metric("router_decision_seconds_sum"), metric("router_decision_seconds_count"));
    let attempts = metric("router_dispatches");
    sample_process(process, decisions, attempts).ok_or(MeasureError::Process(process))
}

fn sample_process(process: u32, decisions: (f64, f64), attempts: f64) -> Option<Sample> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The process name may contain spaces, so fields are counted after it, beginning with the third.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let kb = |name: &str| -> Option<f64> {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    Some(Sample {
        at: Instant::now(),
        cpu_s: ticks / rustix::param::clock_ticks_per_second() as f64,
        memory_mb: kb("VmRSS:")? / 1024.0,
        peak_mb: kb("VmHWM:")? / 1024.0,
        descriptors: std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count(),
        decisions,
        attempts,
    })
}

async fn fetch_metrics(operators: SocketAddr) -> Result<String, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{operators}/status/metrics").parse().map_err(error_text)?;
    let answer = client.get(uri).await.map_err(error_text)?;
    let body = answer.into_body().collect().await.map_err(error_text)?.to_bytes();
    String::from_utf8(body.into()).map_err(error_text)
}

/// The text of an error and its cause.
fn error_text(error: impl std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// The value of a metric without labels.
fn metric_value(metrics: &str, name: &str) -> Option<f64> {
    let lines = metrics.lines().filter_map(|line| line.split_once(' '));
    lines.filter(|(key, _)| *key == name).find_map(|(_, value)| value.trim().parse().ok())
}
