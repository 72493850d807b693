//! Runs one router: reads the configuration, starts all parts, handles signals and shuts down.

mod listeners;

use crate::clients::{self, Shared, openai, platform, websocket};
use crate::config::{self, Config};
use crate::core::{self, Core};
use crate::handover::{self, Handover};
use crate::lifecycle::Event;
use crate::live::{self, LiveConnections};
use crate::servers::{self, ServerClient};
use crate::shutdown::{self, Shutdown};
use crate::usage::{self, UsageLedger};
use crate::{list, log, operators};
use fawnstream_fleet::discovery_calls::{CallPacer, ListSource};
use listeners::{BoundListener, Listeners};
use shedrelay_settings::ConnectionSettings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

/// A router without servers that can serve accepts clients after this time all the same. It refuses their requests,
/// which is better than leaving them waiting.
const MAX_START_WAIT: Duration = Duration::from_secs(4);
/// Longest time from SIGTERM to the hand-over of open streams. SIGKILL follows SIGTERM after the longest time that a
/// client waits, counted as this much where it is longer, plus 0.7 s in which streams are handed over.
const MAX_HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// Time from the start of the hand-over to the log's count of what SIGKILL would cost the ledger.
const KILL_NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Grace for releasing a lease beyond the time in the settings, since releases over sockets take time.
const RELEASE_GRACE: Duration = Duration::from_millis(300);

/// Why the router failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    /// A setting is out of bounds.
    #[error(transparent)]
    Settings(#[from] shedrelay::SettingsError),
    /// The usage ledger cannot be opened.
    #[error("ledger: {0}")]
    Usage(#[from] usage::UsageError),
    /// The inherited socket cannot be used.
    #[error("PROXY_FD: {0}")]
    Inherit(#[from] fawnstream_inherit::InheritError),
    /// A socket or a signal handler cannot be set up.
    #[error("{what}: {error}")]
    Io {
        /// What was to be set up.
        what: String,
        /// The cause.
        error: std::io::Error,
    },
}

/// Handles SIGHUP. The whole configuration is read and checked before any of it applies, so that a broken or
/// half-written file changes nothing.
fn reload(shared: &Shared, sources: &ListSources) {
    let (succeeded, failed) = shared.reloads.get();
    let config = match Config::reload(shared.inherited) {
        Ok(config) => config,
        Err(error) => {
            shared.reloads.set((succeeded, failed + 1));
            return log!("reload kept=old reason=\"{error}\"");
        }
    };
    shared.reloads.set((succeeded + 1, failed));
    let mut moved = publish(&sources.discovery, config.discovery);
    if let (Some(live), Some(settings)) = (&shared.live, config.websocket) {
        live.reload(settings);
    }
    if let (Some(etcd), Some(settings)) = (&sources.etcd, config.etcd) {
        moved |= publish(etcd, settings);
    }
    log!("reload done discovery={} moved={moved}", config.discovery);
}

/// Publishes a value to its watchers if it differs from the current one; returns whether it did.
fn publish<T: PartialEq>(watched: &watch::Sender<T>, new: T) -> bool {
    watched.send_if_modified(|old| {
        let changed = *old != new;
        *old = new;
        changed
    })
}

/// The signals that a router handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers: without one either signal would end the program.
    fn install() -> Result<Self, RunError> {
        let install =
            |kind, what: &str| signal(kind).map_err(|error| RunError::Io { what: what.to_owned(), error });
        Ok(Signals {
            hangup: install(SignalKind::hangup(), "SIGHUP")?,
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
        })
    }
}

/// The sources of the server list that a reload can move.
struct ListSources {
    discovery: watch::Sender<SocketAddr>,
    etcd: Option<watch::Sender<config::etcd::Etcd>>,
}

/// Runs one router until its shutdown after SIGTERM is complete, on an inherited socket if there is one.
pub async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), RunError> {
    let signals = Signals::install()?;
    let mut config = Config::load(inherited.is_some())?;
    let usage = match config.ledger.take() {
        Some(settings) => Some(start_ledger(settings, &config, inherited.is_some())?),
        None => None,
    };
    let result = run_with_ledger(config, inherited, usage.clone(), signals).await;
    // However the router has ended, what is due is written or counted.
    shutdown::close_ledger(usage.as_deref()).await;
    result
}

fn start_ledger(
    settings: config::ledger::Ledger,
    config: &Config,
    waits: bool,
) -> Result<Rc<UsageLedger>, RunError> {
    let routers = f64::from(config.settings.routers);
    let quotas: Vec<f64> = config.settings.tenants.iter().map(|t| t.quota_per_s / routers).collect();
    Ok(UsageLedger::start(settings, &config.name, &config.names, &quotas, waits)?)
}

async fn run_with_ledger(
    config: Config,
    inherited: Option<std::net::TcpListener>,
    usage: Option<Rc<UsageLedger>>,
    mut signals: Signals,
) -> Result<(), RunError> {
    let inherits = inherited.is_some();
    let listeners = Listeners::bind(&config, inherited).await?;
    let lease_config = fawnstream_leases::LeaseConfig {
        release_within: Duration::from_nanos(config.connections.release_within.0),
        grace: RELEASE_GRACE,
        close_arrives_within: servers::close_arrives_within(config.connections),
        max_concurrent_releases: config.release_sockets,
        seed: config.seed,
    };
    let call_pacer = CallPacer::new(config.settings.routers, config.seed);
    let list_source = match config.settings.subscribe_to_list {
        true => ListSource::SharedService,
        false => ListSource::LocalAgent,
    };
    let core = core::Core::new(config.settings, config.names, lease_config, config.seed, usage.clone())?;
    // From here on nothing fails.
    let handover = handover::Handover::new(inherits);
    let fleet = servers::ServerClient::new(
        core.clone(),
        config.connections,
        config.server_sockets,
        lease_config,
        handover.clone(),
    );
    core.connect_servers(fleet.clone());
    // Created before the first list, because it learns of the servers from list updates.
    let live = config.websocket.map(|settings| {
        live::LiveConnections::new(core.clone(), settings, config.seed, config.websocket_bytes)
    });
    let sources = ListSources {
        discovery: watch::Sender::new(config.discovery),
        etcd: config.etcd.map(watch::Sender::new),
    };
    follow_list(&core, &sources, config.known, call_pacer, list_source);
    let shared = Shared::new(core.clone(), live.clone(), config.client_sockets, config.body_bytes, inherits);
    receive_streams(&shared, &handover, fleet);
    // The first of all listeners: operators may check the state and drain before there is a list.
    if let Some(BoundListener { listener, address }) = listeners.operators {
        actix_rt::spawn(operators::serve(listener, shared.clone()));
        log!("operators listen={address}");
    }
    let BoundListener { listener, address: listen } = listeners.clients;
    actix_rt::spawn(clients::serve(listener, shared.clone(), platform::handle));
    if let (Some(BoundListener { listener, address }), Some(settings)) = (listeners.openai, config.openai) {
        let api = openai::Api::new(settings, config.seed);
        let front = move |shared, request| openai::handle(api.clone(), shared, request);
        actix_rt::spawn(clients::serve(listener, shared.clone(), front));
        log!("openai listen={address}");
    }
    if let (Some(bound), Some(live)) = (listeners.websocket, live) {
        serve_websocket(bound, live, &shared, Duration::from_nanos(config.connections.connect.0));
    }
    log!("started name={} listen={listen} discovery={} inherited={inherits}", config.name, config.discovery);
    accept_when_able(shared.clone());
    wait_for_termination(&mut signals, &shared, &sources).await;

    log!("stopping requests={} connections={}", core.open_requests(), shared.open_connections());
    shared.lifecycle.apply(Event::Stop);
    prepare_for_kill(handover, usage.clone(), config.connections, config.stop_timeout);
    let shutdown = Shutdown {
        core: core.clone(),
        shared: shared.clone(),
        usage,
        stop_timeout: config.stop_timeout,
        release_time_limit: lease_config.release_time_limit(),
    };
    shutdown.run().await;
    let (ids, servers) = core.table_sizes();
    let (busy, open, holds) = (core.open_requests(), shared.open_connections(), core.lease_counts().0);
    log!("stopped requests={busy} connections={open} ids={ids} servers={servers} holds={holds}");
    Ok(())
}

/// Follows the server list; uses the last known one meanwhile.
fn follow_list(
    core: &Rc<Core>,
    sources: &ListSources,
    known: Option<list::RawUpdate>,
    call_pacer: CallPacer,
    list_source: ListSource,
) {
    let known_revision = known.as_ref().map_or(0, |known| known.revision);
    if let Some(known) = known {
        core.apply_list(known.into_update(None));
    }
    let list_core = core.clone();
    let on_list = move |update| list_core.apply_list(update);
    match &sources.etcd {
        Some(settings) => drop(actix_rt::spawn(list::etcd::follow(settings.subscribe(), on_list))),
        None => drop(actix_rt::spawn(list::discovery::follow(
            sources.discovery.subscribe(),
            known_revision,
            call_pacer,
            list_source,
            on_list,
        ))),
    }
}

/// Receives streams from the previous process. Bound before this process accepts clients: from then on the previous
/// process may be stopped.
fn receive_streams(shared: &Rc<Shared>, handover: &Handover, fleet: Rc<ServerClient>) {
    let clients = shared.clone();
    let serve_detached = move |end, socket| {
        actix_rt::spawn(clients::resumed_answer::write(clients.clone(), end, socket));
    };
    shared.core.connect_detached(serve_detached.clone());
    if let Some(listener) = handover.listen() {
        let receiver = shared.clone();
        let take = move |received| fleet.take_over(received, serve_detached.clone());
        actix_rt::spawn(handover::serve(listener, move || receiver.can_take_over(), take));
    }
}

fn serve_websocket(
    bound: BoundListener,
    live: Rc<LiveConnections>,
    shared: &Rc<Shared>,
    connect_timeout: Duration,
) {
    let (running, runner) = (live.clone(), shared.clone());
    actix_rt::spawn(async move { running.run(&runner.lifecycle).await });
    let front_shared = shared.clone();
    let front = move |request, wire| {
        websocket::serve(live.clone(), front_shared.clone(), connect_timeout, request, wire)
    };
    actix_rt::spawn(clients::serve_upgrades(bound.listener, shared.clone(), websocket::reject_plain, front));
    log!("websocket listen={}", bound.address);
}

/// Accepts clients once servers can serve them, or after a time.
fn accept_when_able(shared: Rc<Shared>) {
    actix_rt::spawn(async move {
        let able = async {
            while !shared.core.can_serve() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = actix_rt::time::timeout(MAX_START_WAIT, able).await;
        shared.lifecycle.apply(Event::Ready);
    });
}

/// Reloads on SIGHUP until SIGTERM.
async fn wait_for_termination(signals: &mut Signals, shared: &Shared, sources: &ListSources) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            Some(()) = signals.hangup.recv() => reload(shared, sources),
        }
    }
}

/// Prepares for SIGKILL shortly before it may come: begins the hand-over of streams, and then logs what the ledger lacks.
/// Streams that are still here when the stop timeout ends are broken off, so that the hand-over begins before that.
fn prepare_for_kill(
    handover: Rc<Handover>,
    usage: Option<Rc<UsageLedger>>,
    settings: ConnectionSettings,
    stop_timeout: Duration,
) {
    let longest_wait = settings.longest_wait.map(|wait| Duration::from_nanos(wait.0));
    let delay = longest_wait.unwrap_or(MAX_HANDOVER_DELAY).min(MAX_HANDOVER_DELAY).min(stop_timeout);
    actix_rt::spawn(async move {
        actix_rt::time::sleep(delay).await;
        handover.begin();
        actix_rt::time::sleep(KILL_NOTICE_DELAY).await;
        if let Some(usage) = usage {
            usage.log_unwritten();
        }
    });
}
