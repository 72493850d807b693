//! Clients of the real routers: requests at random times, whatever becomes of those before.

use crate::hollow::{BEGINNINGS, SESSIONS};
use crate::plan::Size;
use crate::settings::{BUDGET_S, model, tenant};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// Requests that one router's clients have open, at most.
const MOST_OPEN: usize = 2_000;

/// How requests to real routers ended.
#[derive(Debug, Default)]
pub struct Answers {
    /// Whole streams.
    pub served: AtomicU64,
    /// 429 and 503.
    pub refused: AtomicU64,
    /// Anything else.
    pub failed: AtomicU64,
}

impl Answers {
    /// Served, refused and failed so far.
    pub fn counts(&self) -> [u64; 3] {
        [&self.served, &self.refused, &self.failed].map(|count| count.load(Ordering::Relaxed))
    }
}

/// The clients of one router; they end when this is dropped.
pub struct Clients(JoinHandle<()>);

impl Drop for Clients {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Clients {
    /// Starts asking.
    pub fn start(router: SocketAddr, number: usize, size: &Size, seed: u64, answers: Arc<Answers>) -> Self {
        Clients(tokio::spawn(ask(router, number, size.clone(), seed, answers)))
    }
}

async fn ask(router: SocketAddr, number: usize, size: Size, seed: u64, answers: Arc<Answers>) {
    if size.requests_per_s <= 0.0 {
        return;
    }
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut random = Pcg64::seed_from_u64(seed ^ (number as u64 + 1) << 16);
    let room = Arc::new(Semaphore::new(MOST_OPEN));
    let mut count = 0_u64;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / size.requests_per_s;
        tokio::time::sleep(Duration::from_secs_f64(gap)).await;
        count += 1;
        let id = 0x00c1_0000_0000_0000 | (number as u64) << 32 | count;
        let Some(request) = request(router, id, &size, &mut random) else { continue };
        let Ok(place) = room.clone().try_acquire_owned() else { continue };
        let (client, answers) = (client.clone(), answers.clone());
        tokio::spawn(async move {
            let count = match whole(&client, request).await {
                Some(StatusCode::OK) => &answers.served,
                Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => &answers.refused,
                _ => &answers.failed,
            };
            count.fetch_add(1, Ordering::Relaxed);
            drop(place);
        });
    }
}

/// The status of an answer that came whole.
async fn whole(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<StatusCode> {
    let answer = client.request(request).await.ok()?;
    let status = answer.status();
    answer.into_body().collect().await.ok()?;
    Some(status)
}

fn request(router: SocketAddr, id: u64, size: &Size, random: &mut Pcg64) -> Option<Request<Full<Bytes>>> {
    let beginning = 1 + random.next_u64() % BEGINNINGS;
    Request::post(format!("http://{router}/v1/chat/completions"))
        .header("X-Call-Id", format!("{id:016x}"))
        .header("X-Call-Class", model(random.random_range(0..size.models)))
        .header("X-Caller", tenant(random.random_range(0..size.tenants)))
        .header("X-Route-Hash", format!("{:016x}", 1 + random.next_u64() % SESSIONS))
        .header("X-Budget", format!("{BUDGET_S:.3}"))
        .header("X-Call-Info", format!("prefix={beginning:016x},prompt_len=800,prefix_len=400,max_out=200"))
        .body(Full::from("{\"model\":\"m\",\"stream\":true}"))
        .ok()
}
