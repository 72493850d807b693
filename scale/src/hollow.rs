//! Hollow routers: the router's core, list and servers' side, many to a thread, without clients' sockets.

use crate::changes::Board;
use crate::plan::{Conditions, Size};
use crate::settings::{BUDGET_S, settings};
use bytes::Bytes;
use fawnstream::core::Core;
use fawnstream::exchange::{Call, Exchange, Opening};
use fawnstream::handover::Handover;
use fawnstream::list::Update;
use fawnstream::list::discovery::follow;
use fawnstream::servers::{Fleet, close_arrives_within};
use fawnstream_fleet::calls::{Calls, Manner};
use fawnstream_leases::Terms;
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

/// Conversations and shared beginnings that requests are drawn from.
pub const SESSIONS: u64 = 100_000;
/// See [`SESSIONS`].
pub const BEGINNINGS: u64 = 200;
/// How often hollow routers look whether they are to end.
const LOOK: Duration = Duration::from_millis(50);
/// Held for a request with no attempt out: what the settings say and this, on sockets.
const HELD_MORE: Duration = Duration::from_millis(300);

/// Why hollow routers cannot start.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// Their settings make no sense.
    #[error("settings of a hollow router: {0}")]
    Settings(String),
    /// No thread is to be had.
    #[error("a thread for hollow routers: {0}")]
    Thread(std::io::Error),
}

/// How requests of hollow routers ended.
#[derive(Debug, Default)]
pub struct Ends {
    /// Served.
    pub served: AtomicU64,
    /// Refused or failed.
    pub others: AtomicU64,
}

/// Hollow routers that run until this is stopped.
pub struct Hollow {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// How their requests ended.
    pub ends: Arc<Ends>,
}

/// What all hollow routers of a point share.
#[derive(Clone)]
struct Common {
    size: Size,
    conditions: Conditions,
    discovery: SocketAddr,
    board: Arc<Board>,
    stop: Arc<AtomicBool>,
    ends: Arc<Ends>,
}

impl Hollow {
    /// Starts all routers of a point that are not real, over so many threads.
    pub fn start(
        size: &Size,
        conditions: &Conditions,
        discovery: SocketAddr,
        board: Arc<Board>,
        threads: usize,
    ) -> Result<Self, HollowError> {
        // Checked once here, where it can be told.
        parts(size, size.real)?;
        let common = Common {
            size: size.clone(),
            conditions: conditions.clone(),
            discovery,
            board,
            stop: Arc::default(),
            ends: Arc::default(),
        };
        let (stop, ends) = (common.stop.clone(), common.ends.clone());
        let start = |thread: usize| {
            let common = common.clone();
            let numbers = (size.real..size.routers).filter(move |number| number % threads == thread);
            let host = move || {
                fawnstream::log::mute();
                actix_rt::System::new().block_on(host(common, numbers.collect()));
            };
            std::thread::Builder::new().name(format!("hollow-{thread}")).spawn(host)
        };
        let threads = (0..threads).map(start).collect::<Result<_, _>>().map_err(HollowError::Thread)?;
        Ok(Hollow { stop, threads, ends })
    }

    /// Ends them all.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

type Parts = (shedrelay::Settings, shedrelay_settings::Names, shedrelay_settings::ConnectionSettings);

fn parts(size: &Size, router: usize) -> Result<Parts, HollowError> {
    let wire: shedrelay_settings::RawSettings = serde_json::from_value(settings(size, router))
        .map_err(|error| HollowError::Settings(error.to_string()))?;
    let links = wire.connection_settings();
    let (settings, names) = wire.into_settings().map_err(HollowError::Settings)?;
    Ok((settings, names, links))
}

async fn host(common: Common, numbers: Vec<usize>) {
    for number in numbers {
        // Started one after the other, as a fleet is, and not in one turn.
        tokio::task::yield_now().await;
        if let Some(core) = router(&common, number) {
            actix_rt::spawn(ask(common.clone(), core, number));
        }
    }
    while !common.stop.load(Ordering::Relaxed) {
        actix_rt::time::sleep(LOOK).await;
    }
}

/// One hollow router, following the list. None where its settings make no sense, which was checked before.
fn router(common: &Common, number: usize) -> Option<Rc<Core>> {
    let (settings, names, links) = parts(&common.size, number).ok()?;
    let seed = common.conditions.seed.wrapping_add(number as u64);
    let terms = Terms {
        within: Duration::from_nanos(links.release_within.0),
        grace: HELD_MORE,
        close_arrives_within: close_arrives_within(links),
        at_once: 2,
        seed,
    };
    let calls = Calls::new(settings.routers, seed);
    let core = Core::new(settings, names, terms, seed, None).ok()?;
    let sockets = common.conditions.hollow_sockets;
    core.connect(Fleet::new(core.clone(), links, sockets, terms, Handover::new(false)));
    let (listed, board) = (core.clone(), common.board.clone());
    let hear = move |update: Update| {
        let drains = update.entries.iter().filter(|entry| entry.state == ServerState::Leaving);
        let drains: Vec<String> = drains.map(|entry| entry.id.clone()).collect();
        listed.listed(update);
        drains.iter().for_each(|server| board.seen(server));
    };
    let discovery = common.discovery;
    actix_rt::spawn(async move {
        let told = tokio::sync::watch::Sender::new(discovery);
        follow(told.subscribe(), 0, calls, Manner::Pushed, hear).await;
    });
    Some(core)
}

/// Asks for as many requests a second as the point says, at random times.
async fn ask(common: Common, core: Rc<Core>, number: usize) {
    let rate = common.size.hollow_requests_per_s;
    if rate <= 0.0 {
        return;
    }
    let mut random = Pcg64::seed_from_u64(common.conditions.seed ^ (number as u64) << 32);
    let mut count = 0_u64;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        actix_rt::time::sleep(Duration::from_secs_f64(gap)).await;
        count += 1;
        let call = call(&common.size, &mut random, format!("{:016x}", (number as u64) << 40 | count));
        let Some(mut end) = core.submit(Exchange::new(call)) else { continue };
        let ends = common.ends.clone();
        actix_rt::spawn(async move {
            let whole = match end.opening().await {
                Opening::Stream => loop {
                    match poll_fn(|cx| end.poll_piece(cx)).await {
                        Some(Ok(_)) => {}
                        Some(Err(_)) => break false,
                        None => break true,
                    }
                },
                _ => false,
            };
            let count = if whole { &ends.served } else { &ends.others };
            count.fetch_add(1, Ordering::Relaxed);
        });
    }
}

fn call(size: &Size, random: &mut Pcg64, label: String) -> Call {
    Call {
        label,
        session: Some(Key(1 + random.next_u64() % SESSIONS)),
        prefix: Some(Key(1 + random.next_u64() % BEGINNINGS)),
        prefix_len: 400.0,
        prompt_len: 800.0,
        max_out: 200.0,
        class: ClassId(random.random_range(0..size.models)),
        tenant: Some(TenantId(random.random_range(0..size.tenants))),
        arrived: Instant::now(),
        budget: Duration::from_secs_f64(BUDGET_S),
        idempotency_key: None,
        target: "/v1/chat/completions".to_owned(),
        body: Bytes::from_static(b"{\"model\":\"m\",\"stream\":true}"),
        _held: None,
    }
}
