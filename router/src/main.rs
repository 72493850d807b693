//! `fawnstream`: a router for language-model requests, on sockets. `docs/architecture.md` says how its parts fit.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
mod config;
mod core;
mod exchange;
mod list;
mod log;
mod servers;
mod sse;

use clients::{Shared, openai, platform};
use config::Config;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// After SIGTERM clients keep coming for a moment, until the front layer has heard; they are still served.
const STILL_OPEN: Duration = Duration::from_millis(600);
/// The longest wait for answers under way; the platform kills what is left.
const LAST_ANSWERS: Duration = Duration::from_secs(60);

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    #[error(transparent)]
    Settings(#[from] shedrelay::SettingsError),
    #[error("{what}: {error}")]
    Io { what: String, error: std::io::Error },
}

/// SIGHUP: the whole configuration is read and checked before anything of it holds. Guards against a file that
/// is broken or half written: the settings stay as they were.
fn reload(discovery: &watch::Sender<SocketAddr>, etcd: Option<&watch::Sender<config::etcd::Etcd>>) {
    let config = match Config::reload() {
        Ok(config) => config,
        Err(error) => return log!("reload kept=old reason=\"{error}\""),
    };
    let mut moved = swap(discovery, config.discovery);
    if let (Some(etcd), Some(told)) = (etcd, config.etcd) {
        moved |= swap(etcd, told);
    }
    log!("reload done discovery={} moved={moved}", config.discovery);
}

/// Tells a new value to who waits for it, if it is one.
fn swap<T: PartialEq>(told: &watch::Sender<T>, new: T) -> bool {
    told.send_if_modified(|old| {
        let changed = *old != new;
        *old = new;
        changed
    })
}

async fn run() -> Result<(), Failure> {
    let io = |what: String| move |error| Failure::Io { what, error };
    // Taken first: a signal that nobody takes ends the program.
    let mut hup = signal(SignalKind::hangup()).map_err(io("SIGHUP".to_owned()))?;
    let mut term = signal(SignalKind::terminate()).map_err(io("SIGTERM".to_owned()))?;
    let config = Config::load()?;
    let core = core::Core::new(config.settings, config.names, config.seed)?;
    core.connect(servers::Fleet::new(core.clone(), config.links, config.server_sockets));
    let from = config.known.as_ref().map_or(0, |known| known.revision);
    if let Some(known) = config.known {
        core.listed(known.update());
    }
    let listed = core.clone();
    let hear = move |update| listed.listed(update);
    let discovery = watch::Sender::new(config.discovery);
    let etcd = config.etcd.map(watch::Sender::new);
    match &etcd {
        Some(told) => drop(actix_rt::spawn(list::etcd::follow(told.subscribe(), hear))),
        None => drop(actix_rt::spawn(list::discovery::follow(discovery.subscribe(), from, hear))),
    }
    let listener =
        TcpListener::bind(config.listen).await.map_err(io(format!("listening on {}", config.listen)))?;
    let shared = Shared::new(core.clone(), config.client_sockets, config.body_bytes);
    let listen = listener.local_addr().map_err(io("the listener".to_owned()))?;
    actix_rt::spawn(clients::serve(listener, shared.clone(), platform::front));
    if let Some(told) = config.openai {
        let listener =
            TcpListener::bind(told.listen).await.map_err(io(format!("listening on {}", told.listen)))?;
        let listen = listener.local_addr().map_err(io("the listener".to_owned()))?;
        let api = openai::Api::new(told, config.seed);
        let front = move |shared, request| openai::front(api.clone(), shared, request);
        actix_rt::spawn(clients::serve(listener, shared.clone(), front));
        log!("openai listen={listen}");
    }
    log!("started name={} listen={listen} discovery={}", config.name, config.discovery);

    loop {
        tokio::select! {
            _ = term.recv() => break,
            Some(()) = hup.recv() => reload(&discovery, etcd.as_ref()),
        }
    }
    log!("stopping requests={} connections={}", core.busy(), shared.open());
    shared.stopping.set(true);
    actix_rt::time::sleep(STILL_OPEN).await;
    shared.drain();
    let last = Instant::now() + LAST_ANSWERS;
    while (shared.open() > 0 || core.busy() > 0) && Instant::now() < last {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let (ids, servers) = core.held();
    log!("stopped requests={} connections={} ids={ids} servers={servers}", core.busy(), shared.open());
    Ok(())
}

fn main() -> ExitCode {
    match actix_rt::System::new().block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("fawnstream: {failure}");
            ExitCode::FAILURE
        }
    }
}
