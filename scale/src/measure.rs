//! What a router process uses: from the system, and from its own metrics.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A router that is busy may not answer an operator at once.
const TRIES: usize = 5;
const BETWEEN_TRIES: Duration = Duration::from_millis(200);

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The system tells nothing of the process: it has ended.
    #[error("process {0} has ended")]
    Process(u32),
    /// Its metrics cannot be read.
    #[error("metrics of {0} cannot be read: {1}")]
    Metrics(SocketAddr, String),
}

/// A process at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When.
    pub at: Instant,
    /// Processor time spent so far, in seconds.
    pub cpu_s: f64,
    /// Memory in use now, in MB.
    pub memory_mb: f64,
    /// The most that it ever was.
    pub peak_mb: f64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Time spent on decisions so far, in seconds, and their number.
    pub decisions: (f64, f64),
    /// Attempts sent so far.
    pub attempts: f64,
}

/// Samples one router.
pub async fn sample(process: u32, operators: SocketAddr) -> Result<Sample, MeasureError> {
    let mut tries = 1;
    let metrics = loop {
        match metrics(operators).await {
            Ok(text) => break text,
            Err(error) if tries >= TRIES => return Err(MeasureError::Metrics(operators, error)),
            Err(_) => tokio::time::sleep(BETWEEN_TRIES).await,
        }
        tries += 1;
    };
    let of = |name: &str| value(&metrics, name).unwrap_or_default();
    let decisions = (of("router_decision_seconds_sum"), of("router_decision_seconds_count"));
    let attempts = of("router_dispatches");
    system(process, decisions, attempts).ok_or(MeasureError::Process(process))
}

fn system(process: u32, decisions: (f64, f64), attempts: f64) -> Option<Sample> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name may hold spaces; fields are counted behind it, from the third on.
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

async fn metrics(operators: SocketAddr) -> Result<String, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{operators}/status/metrics").parse().map_err(told)?;
    let answer = client.get(uri).await.map_err(told)?;
    let body = answer.into_body().collect().await.map_err(told)?.to_bytes();
    String::from_utf8(body.into()).map_err(told)
}

/// An error with what caused it.
fn told(error: impl std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// A metric without labels.
fn value(metrics: &str, name: &str) -> Option<f64> {
    let lines = metrics.lines().filter_map(|line| line.split_once(' '));
    lines.filter(|(key, _)| *key == name).find_map(|(_, value)| value.trim().parse().ok())
}
