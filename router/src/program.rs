//! One router from its start to its end: reads the configuration, starts the parts, follows the signals.

use crate::clients::{self, ACCEPT_AFTER_STOP, Shared, openai, platform, websocket};
use crate::config::{self, Config};
use crate::lifecycle::Event;
use crate::{core, handover, list, live, log, operators, servers, usage};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// A router whose list names no servers that can serve takes clients after this time all the same: it refuses them,
/// which is better than to leave them waiting.
const STARTING: Duration = Duration::from_secs(4);
/// SIGKILL follows SIGTERM no sooner than the longest time that a client waits, counted as this much where it is
/// longer, and 0.7 s: streams that are still open then go to the next process in that last part.
const KILLED: Duration = Duration::from_secs(3);
/// What is held has so much more than the settings say, on sockets: releases have this time.
const HELD_MORE: Duration = Duration::from_millis(300);
/// When the wait for answers under way is over, requests that still wait are failed, and their answers have this time to
/// go out.
const FAILURES_SENT: Duration = Duration::from_secs(1);

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The configuration cannot be read, or makes no sense.
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    /// The settings are out of their bounds.
    #[error(transparent)]
    Settings(#[from] shedrelay::SettingsError),
    /// The usage ledger cannot be opened.
    #[error("ledger: {0}")]
    Usage(#[from] usage::UsageError),
    /// The inherited socket cannot be taken over.
    #[error("PROXY_FD: {0}")]
    Inherit(#[from] fawnstream_inherit::InheritError),
    /// A socket or a signal cannot be had.
    #[error("{what}: {error}")]
    Io {
        /// What was wanted.
        what: String,
        /// What went wrong.
        error: std::io::Error,
    },
}

/// SIGHUP: the whole configuration is read and checked before anything of it holds. Guards against a file that
/// is broken or half written: the settings stay as they were.
fn reload(
    shared: &Shared,
    discovery: &watch::Sender<SocketAddr>,
    etcd: Option<&watch::Sender<config::etcd::Etcd>>,
) {
    let (done, failed) = shared.reloads.get();
    let config = match Config::reload(shared.inherited) {
        Ok(config) => config,
        Err(error) => {
            shared.reloads.set((done, failed + 1));
            return log!("reload kept=old reason=\"{error}\"");
        }
    };
    shared.reloads.set((done + 1, failed));
    let mut moved = swap(discovery, config.discovery);
    if let (Some(live), Some(told)) = (&shared.live, config.websocket) {
        live.reload(told);
    }
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

/// Listens on an address of its own. Where two processes run at once during an upgrade (`beside`) both listen on it,
/// and the old one stops first; elsewhere a second one is a mistake that the start shows.
fn listen_beside(address: SocketAddr, beside: bool) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(beside)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1_024)?;
    TcpListener::from_std(socket.into())
}

/// Runs one router, on an inherited socket if there is one, until SIGTERM has been followed to its end.
pub async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), Failure> {
    let io = |what: String| move |error| Failure::Io { what, error };
    // Taken first: a signal that nobody takes ends the program.
    let mut hup = signal(SignalKind::hangup()).map_err(io("SIGHUP".to_owned()))?;
    let mut term = signal(SignalKind::terminate()).map_err(io("SIGTERM".to_owned()))?;
    let config = Config::load(inherited.is_some())?;
    let usage = match config.ledger {
        Some(told) => {
            let routers = f64::from(config.settings.routers);
            let quotas: Vec<f64> = config.settings.tenants.iter().map(|t| t.quota_per_s / routers).collect();
            Some(usage::Usage::start(told, &config.name, &config.names, &quotas, inherited.is_some())?)
        }
        None => None,
    };
    let calls = fawnstream_fleet::discovery_calls::CallPacer::new(config.settings.routers, config.seed);
    let manner = match config.settings.subscribe_to_list {
        true => fawnstream_fleet::discovery_calls::ListSource::SharedService,
        false => fawnstream_fleet::discovery_calls::ListSource::LocalAgent,
    };
    let terms = fawnstream_leases::LeaseConfig {
        release_within: Duration::from_nanos(config.links.release_within.0),
        grace: HELD_MORE,
        close_arrives_within: servers::close_arrives_within(config.links),
        max_concurrent_releases: config.release_sockets,
        seed: config.seed,
    };
    let core = core::Core::new(config.settings, config.names, terms, config.seed, usage.clone())?;
    let inherits = inherited.is_some();
    let handover = handover::Handover::new(inherits);
    let fleet = servers::ServerClient::new(
        core.clone(),
        config.links,
        config.server_sockets,
        terms,
        handover.clone(),
    );
    core.connect_servers(fleet.clone());
    // Before the first list: it hears of the servers by its news.
    let websocket = config.websocket.as_ref().map(|told| told.listen);
    let live = config
        .websocket
        .map(|told| live::LiveConnections::new(core.clone(), told, config.seed, config.live_bytes));
    let from = config.known.as_ref().map_or(0, |known| known.revision);
    if let Some(known) = config.known {
        core.apply_list(known.into_update(None));
    }
    let listed = core.clone();
    let hear = move |update| listed.apply_list(update);
    let discovery = watch::Sender::new(config.discovery);
    let etcd = config.etcd.map(watch::Sender::new);
    match &etcd {
        Some(told) => drop(actix_rt::spawn(list::etcd::follow(told.subscribe(), hear))),
        None => {
            drop(actix_rt::spawn(list::discovery::follow(discovery.subscribe(), from, calls, manner, hear)))
        }
    }
    let shared = Shared::new(core.clone(), live.clone(), config.client_sockets, config.body_bytes, inherits);
    let clients = shared.clone();
    let bare = move |end, socket| {
        actix_rt::spawn(clients::resumed_answer::write(clients.clone(), end, socket));
    };
    core.connect_detached(bare.clone());
    // Bound before this process takes clients: the one before it is told to end from then on.
    if let Some(listener) = handover.listen() {
        let room = shared.clone();
        let take = move |carried| fleet.take_over(carried, bare.clone());
        actix_rt::spawn(handover::serve(listener, move || room.can_take_over(), take));
    }
    // First of all listeners: operators may ask, and drain, before there is a list.
    if let Some(address) = config.mgmt {
        let at = |what: &str| io(format!("{what} on {address}"));
        let listener = TcpListener::bind(address).await.map_err(at("operators"))?;
        let listen = listener.local_addr().map_err(at("operators"))?;
        actix_rt::spawn(operators::serve(listener, shared.clone()));
        log!("operators listen={listen}");
    }
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => TcpListener::bind(config.listen).await,
    };
    let listener = listener.map_err(io(format!("listening on {}", config.listen)))?;
    let listen = listener.local_addr().map_err(io("the listener".to_owned()))?;
    actix_rt::spawn(clients::serve(listener, shared.clone(), platform::handle));
    if let Some(told) = config.openai {
        let listener =
            TcpListener::bind(told.listen).await.map_err(io(format!("listening on {}", told.listen)))?;
        let listen = listener.local_addr().map_err(io("the listener".to_owned()))?;
        let api = openai::Api::new(told, config.seed);
        let front = move |shared, request| openai::handle(api.clone(), shared, request);
        actix_rt::spawn(clients::serve(listener, shared.clone(), front));
        log!("openai listen={listen}");
    }
    if let (Some(address), Some(live)) = (websocket, live) {
        let at = |what: &str| io(format!("{what} on {address}"));
        let listener = listen_beside(address, inherits).map_err(at("listening"))?;
        let listen = listener.local_addr().map_err(at("listening"))?;
        let (follows, connect) = (shared.clone(), Duration::from_nanos(config.links.connect.0));
        let following = live.clone();
        actix_rt::spawn(async move { following.run(&follows.lifecycle).await });
        let of = shared.clone();
        let front = move |request, wire| websocket::serve(live.clone(), of.clone(), connect, request, wire);
        actix_rt::spawn(clients::serve_upgrades(listener, shared.clone(), websocket::reject_plain, front));
        log!("websocket listen={listen}");
    }
    log!("started name={} listen={listen} discovery={} inherited={inherits}", config.name, config.discovery);
    let ready = shared.clone();
    actix_rt::spawn(async move {
        let able = async {
            while !ready.core.can_serve() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = actix_rt::time::timeout(STARTING, able).await;
        ready.lifecycle.tell(Event::Ready);
    });

    loop {
        tokio::select! {
            _ = term.recv() => break,
            Some(()) = hup.recv() => reload(&shared, &discovery, etcd.as_ref()),
        }
    }
    log!("stopping requests={} connections={}", core.open_requests(), shared.open_connections());
    shared.lifecycle.tell(Event::Stop);
    let late = config.links.longest_wait.map_or(KILLED, |wait| Duration::from_nanos(wait.0).min(KILLED));
    actix_rt::spawn(async move {
        actix_rt::time::sleep(late).await;
        handover.begin();
    });
    actix_rt::time::sleep(ACCEPT_AFTER_STOP).await;
    let last = Instant::now() + config.stop_timeout;
    let requests_are_open =
        || shared.accepting() || shared.open_connections() > 0 || core.open_requests() > 0;
    let under_way = || requests_are_open() || core.lease_counts().0 > 0;
    // Since when there have been no requests, but leases.
    let mut only_leases_since = None;
    while under_way() && Instant::now() < last {
        if requests_are_open() {
            only_leases_since = None;
        } else if only_leases_since.get_or_insert_with(Instant::now).elapsed() > terms.release_time_limit() {
            // What nobody has let go of in the rule's time is late, and "what a stopped instance left is freed some
            // seconds later".
            log!("stopping leases={} reason=time-to-release-over", core.lease_counts().0);
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    if core.open_requests() > 0 {
        core.fail_all();
        let last = Instant::now() + FAILURES_SENT;
        while under_way() && Instant::now() < last {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
    if let Some(usage) = usage {
        usage.stop().await;
    }
    let (ids, servers) = core.table_sizes();
    let (busy, open, holds) = (core.open_requests(), shared.open_connections(), core.lease_counts().0);
    log!("stopped requests={busy} connections={open} ids={ids} servers={servers} holds={holds}");
    Ok(())
}
