//! Clients of the real routers: an open loop that sends requests at random times, without waiting for answers.

use crate::hollow::{PREFIX_COUNT, SESSION_COUNT};
use crate::plan::Size;
use crate::settings::{REQUEST_BUDGET_S, model_name, tenant_name};
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

/// Most open requests of one router's clients.
const MAX_OPEN_REQUESTS: usize = 2_000;

/// How requests to real routers ended.
#[derive(Debug, Default)]
pub struct Answers {
    /// Answered with 200 and a whole body.
    pub served: AtomicU64,
    /// Answered with 429 or 503.
    pub refused: AtomicU64,
    /// All others.
    pub failed: AtomicU64,
}

impl Answers {
    /// Counts so far: served, refused and failed.
    pub fn counts(&self) -> [u64; 3] {
        [&self.served, &self.refused, &self.failed].map(|count| count.load(Ordering::Relaxed))
    }
}

/// The clients of one router; dropping this stops them.
pub struct Clients(JoinHandle<()>);

impl Drop for Clients {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Clients {
    /// Starts sending requests.
    pub fn start(router: SocketAddr, number: usize, size: &Size, seed: u64, answers: Arc<Answers>) -> Self {
        Clients(tokio::spawn(send_requests(router, number, size.clone(), seed, answers)))
    }
}

async fn send_requests(router: SocketAddr, number: usize, size: Size, seed: u64, answers: Arc<Answers>) {
    if size.requests_per_s <= 0.0 {
        return;
    }
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let mut random = Pcg64::seed_from_u64(seed ^ (number as u64 + 1) << 16);
    let open_requests = Arc::new(Semaphore::new(MAX_OPEN_REQUESTS));
    let mut count = 0_u64;
    loop {
        let interval = -(1.0 - random.random::<f64>()).ln() / size.requests_per_s;
        tokio::time::sleep(Duration::from_secs_f64(interval)).await;
        count += 1;
        let id = 0x00c1_0000_0000_0000 | (number as u64) << 32 | count;
        let Some(request) = new_request(router, id, &size, &mut random) else { continue };
        let Ok(permit) = open_requests.clone().try_acquire_owned() else { continue };
        let (client, answers) = (client.clone(), answers.clone());
        tokio::spawn(async move {
            let count = match complete_answer(&client, request).await {
                Some(StatusCode::OK) => &answers.served,
                Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => &answers.refused,
                _ => &answers.failed,
            };
            count.fetch_add(1, Ordering::Relaxed);
            drop(permit);
        });
    }
}

/// Sends a request and returns the status of its answer; none if the answer does not arrive completely.
async fn complete_answer(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<StatusCode> {
    let answer = client.request(request).await.ok()?;
    let status = answer.status();
    answer.into_body().collect().await.ok()?;
    Some(status)
}

fn new_request(router: SocketAddr, id: u64, size: &Size, random: &mut Pcg64) -> Option<Request<Full<Bytes>>> {
    let prefix = 1 + random.next_u64() % PREFIX_COUNT;
    Request::post(format!("http://{router}/v1/chat/completions"))
        .header("X-Call-Id", format!("{id:016x}"))
        .header("X-Call-Class", model_name(random.random_range(0..size.models)))
        .header("X-Caller", tenant_name(random.random_range(0..size.tenants)))
        .header("X-Route-Hash", format!("{:016x}", 1 + random.next_u64() % SESSION_COUNT))
        .header("X-Budget", format!("{REQUEST_BUDGET_S:.3}"))
        .header("X-Call-Info", format!("prefix={prefix:016x},prompt_len=800,prefix_len=400,max_out=200"))
        .body(Full::from("{\"model\":\"m\",\"stream\":true}"))
        .ok()
}
