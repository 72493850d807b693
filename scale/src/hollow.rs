//! Hollow routers: the router's core, server list and server connections without client sockets, many on a thread.

use crate::changes::ChangeTracker;
use crate::plan::{Conditions, Size};
use crate::settings::{REQUEST_BUDGET_S, settings};
use bytes::Bytes;
use fawnstream::core::Core;
use fawnstream::exchange::{Call, Exchange, Opening};
use fawnstream::handover::Handover;
use fawnstream::list::Update;
use fawnstream::list::discovery::follow;
use fawnstream::servers::{ServerClient, close_arrives_within};
use fawnstream_fleet::discovery_calls::{CallPacer, ListSource};
use fawnstream_leases::LeaseConfig;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use shedrelay::{ClassId, Key, ServerState, TenantId};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of sessions from which requests are drawn.
pub const SESSION_COUNT: u64 = 100_000;
/// Number of shared prompt prefixes from which requests are drawn.
pub const PREFIX_COUNT: u64 = 200;
/// Interval at which a thread checks whether it is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A lease with no attempt out ends within `release_within` of the settings plus this grace, which sockets need.
const LEASE_GRACE: Duration = Duration::from_millis(300);

/// Why hollow routers cannot start.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// Their settings are invalid.
    #[error("invalid settings of a hollow router: {0}")]
    Settings(String),
    /// A thread cannot be started.
    #[error("cannot start a thread for hollow routers: {0}")]
    Thread(std::io::Error),
}

/// How requests to hollow routers ended.
#[derive(Debug, Default)]
pub struct HollowAnswers {
    /// Answered with a whole stream.
    pub served: AtomicU64,
    /// Refused or failed.
    pub not_served: AtomicU64,
}

/// Hollow routers of a point, which run until [`HollowRouters::stop`].
pub struct HollowRouters {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// How their requests ended.
    pub answers: Arc<HollowAnswers>,
}

/// What all hollow routers of a point share.
#[derive(Clone)]
struct Shared {
    size: Size,
    conditions: Conditions,
    discovery: SocketAddr,
    tracker: Arc<ChangeTracker>,
    stop: Arc<AtomicBool>,
    answers: Arc<HollowAnswers>,
}

impl HollowRouters {
    /// Starts all hollow routers of a point, spread over so many threads.
    pub fn start(
        size: &Size,
        conditions: &Conditions,
        discovery: SocketAddr,
        tracker: Arc<ChangeTracker>,
        threads: usize,
    ) -> Result<Self, HollowError> {
        // Checked here, because the threads cannot return an error.
        router_settings(size, size.real)?;
        let shared = Shared {
            size: size.clone(),
            conditions: conditions.clone(),
            discovery,
            tracker,
            stop: Arc::default(),
            answers: Arc::default(),
        };
        let (stop, answers) = (shared.stop.clone(), shared.answers.clone());
        let start = |thread: usize| {
            let shared = shared.clone();
            let numbers = (size.real..size.routers).filter(move |number| number % threads == thread);
            let run = move || {
                fawnstream::log::mute();
                actix_rt::System::new().block_on(run_routers(shared, numbers.collect()));
            };
            std::thread::Builder::new().name(format!("hollow-{thread}")).spawn(run)
        };
        let threads = (0..threads).map(start).collect::<Result<_, _>>().map_err(HollowError::Thread)?;
        Ok(HollowRouters { stop, threads, answers })
    }

    /// Stops all routers and waits for their threads.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

type RouterSettings =
    (shedrelay::Settings, shedrelay_settings::Names, shedrelay_settings::ConnectionSettings);

fn router_settings(size: &Size, router: usize) -> Result<RouterSettings, HollowError> {
    let wire: shedrelay_settings::RawSettings = serde_json::from_value(settings(size, router))
        .map_err(|error| HollowError::Settings(error.to_string()))?;
    let links = wire.connection_settings();
    let (settings, names) = wire.into_settings().map_err(HollowError::Settings)?;
    Ok((settings, names, links))
}

async fn run_routers(shared: Shared, numbers: Vec<usize>) {
    for number in numbers {
        // Yields between starts, so that routers start one after another as in a real fleet.
        tokio::task::yield_now().await;
        if let Some(core) = start_router(&shared, number) {
            actix_rt::spawn(send_requests(shared.clone(), core, number));
        }
    }
    while !shared.stop.load(Ordering::Relaxed) {
        actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Starts one hollow router, which follows the server list. None if its settings are invalid, which
/// [`HollowRouters::start`] has checked.
fn start_router(shared: &Shared, number: usize) -> Option<Rc<Core>> {
    let (settings, names, links) = router_settings(&shared.size, number).ok()?;
    let seed = shared.conditions.seed.wrapping_add(number as u64);
    let terms = LeaseConfig {
        release_within: Duration::from_nanos(links.release_within.0),
        grace: LEASE_GRACE,
        close_arrives_within: close_arrives_within(links),
        max_concurrent_releases: 2,
        seed,
    };
    let calls = CallPacer::new(settings.routers, seed);
    let core = Core::new(settings, names, terms, seed, None).ok()?;
    let sockets = shared.conditions.hollow_sockets;
    core.connect_servers(ServerClient::new(core.clone(), links, sockets, terms, Handover::new(false)));
    let (updated_core, tracker) = (core.clone(), shared.tracker.clone());
    let on_update = move |update: Update| {
        let draining = update.entries.iter().filter(|entry| entry.state == ServerState::Draining);
        let draining: Vec<String> = draining.map(|entry| entry.id.clone()).collect();
        updated_core.apply_list(update);
        draining.iter().for_each(|server| tracker.record_applied(server));
    };
    let discovery = shared.discovery;
    actix_rt::spawn(async move {
        let address = tokio::sync::watch::Sender::new(discovery);
        follow(address.subscribe(), 0, calls, ListSource::LocalAgent, on_update).await;
    });
    Some(core)
}

/// Sends requests at the rate of the point, at random times.
async fn send_requests(shared: Shared, core: Rc<Core>, number: usize) {
    let rate = shared.size.hollow_requests_per_s;
    if rate <= 0.0 {
        return;
    }
    let mut random = Pcg64::seed_from_u64(shared.conditions.seed ^ (number as u64) << 32);
    let mut count = 0_u64;
    loop {
        let interval = -(1.0 - random.random::<f64>()).ln() / rate;
        actix_rt::time::sleep(Duration::from_secs_f64(interval)).await;
        count += 1;
        let call = new_call(&shared.size, &mut random, format!("{:016x}", (number as u64) << 40 | count));
        let Some(mut answer) = core.submit(Exchange::new(call)) else { continue };
        let answers = shared.answers.clone();
        actix_rt::spawn(async move {
            let complete = match answer.opening().await {
                Opening::Stream => loop {
                    match poll_fn(|cx| answer.poll_chunk(cx)).await {
                        Some(Ok(_)) => {}
                        Some(Err(_)) => break false,
                        None => break true,
                    }
                },
                _ => false,
            };
            let count = if complete { &answers.served } else { &answers.not_served };
            count.fetch_add(1, Ordering::Relaxed);
        });
    }
}

fn new_call(size: &Size, random: &mut Pcg64, label: String) -> Call {
    Call {
        label,
        session: Some(Key(1 + random.next_u64() % SESSION_COUNT)),
        prefix: Some(Key(1 + random.next_u64() % PREFIX_COUNT)),
        prefix_len: 400.0,
        prompt_len: 800.0,
        max_out: 200.0,
        class: ClassId(random.random_range(0..size.models)),
        tenant: Some(TenantId(random.random_range(0..size.tenants))),
        arrived: Instant::now(),
        budget: Duration::from_secs_f64(REQUEST_BUDGET_S),
        idempotency_key: None,
        target: "/v1/chat/completions".to_owned(),
        body: Bytes::from_static(b"{\"model\":\"m\",\"stream\":true}"),
        _reservation: None,
    }
}
