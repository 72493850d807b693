//! Runs one router: reads the configuration, starts all parts, handles signals and shuts down.

use crate::clients::{self, Shared, openai, platform, websocket};
use crate::config::{self, Config};
use crate::lifecycle::Event;
use crate::shutdown::Shutdown;
use crate::{core, handover, list, live, log, operators, servers, usage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// A router without servers that can serve accepts clients after this time all the same. It refuses their requests,
/// which is better than leaving them waiting.
const MAX_START_WAIT: Duration = Duration::from_secs(4);
/// Longest time from SIGTERM to the hand-over of open streams. SIGKILL follows SIGTERM after the longest time that a
/// client waits, counted as this much where it is longer, plus 0.7 s in which streams are handed over.
const MAX_HANDOVER_DELAY: Duration = Duration::from_secs(3);
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
fn reload(
    shared: &Shared,
    discovery: &watch::Sender<SocketAddr>,
    etcd: Option<&watch::Sender<config::etcd::Etcd>>,
) {
    let (succeeded, failed) = shared.reloads.get();
    let config = match Config::reload(shared.inherited) {
        Ok(config) => config,
        Err(error) => {
            shared.reloads.set((succeeded, failed + 1));
            return log!("reload kept=old reason=\"{error}\"");
        }
    };
    shared.reloads.set((succeeded + 1, failed));
    let mut moved = publish(discovery, config.discovery);
    if let (Some(live), Some(settings)) = (&shared.live, config.websocket) {
        live.reload(settings);
    }
    if let (Some(etcd), Some(settings)) = (etcd, config.etcd) {
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

/// Listens on an address that is not inherited. With `share_port`, two processes can listen on it at once during an
/// upgrade, of which the old one stops first. Otherwise a second process fails at its start.
fn bind_listener(address: SocketAddr, share_port: bool) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(share_port)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1_024)?;
    TcpListener::from_std(socket.into())
}

/// Runs one router until its shutdown after SIGTERM is complete, on an inherited socket if there is one.
pub async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), RunError> {
    let io = |what: String| move |error| RunError::Io { what, error };
    // Installed first: without a handler either signal would end the program.
    let mut hup = signal(SignalKind::hangup()).map_err(io("SIGHUP".to_owned()))?;
    let mut term = signal(SignalKind::terminate()).map_err(io("SIGTERM".to_owned()))?;
    let config = Config::load(inherited.is_some())?;
    let usage = match config.ledger {
        Some(ledger) => {
            let routers = f64::from(config.settings.routers);
            let quotas: Vec<f64> = config.settings.tenants.iter().map(|t| t.quota_per_s / routers).collect();
            Some(usage::UsageLedger::start(
                ledger,
                &config.name,
                &config.names,
                &quotas,
                inherited.is_some(),
            )?)
        }
        None => None,
    };
    let call_pacer = fawnstream_fleet::discovery_calls::CallPacer::new(config.settings.routers, config.seed);
    let list_source = match config.settings.subscribe_to_list {
        true => fawnstream_fleet::discovery_calls::ListSource::SharedService,
        false => fawnstream_fleet::discovery_calls::ListSource::LocalAgent,
    };
    let lease_config = fawnstream_leases::LeaseConfig {
        release_within: Duration::from_nanos(config.connections.release_within.0),
        grace: RELEASE_GRACE,
        close_arrives_within: servers::close_arrives_within(config.connections),
        max_concurrent_releases: config.release_sockets,
        seed: config.seed,
    };
    let core = core::Core::new(config.settings, config.names, lease_config, config.seed, usage.clone())?;
    let inherits = inherited.is_some();
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
    let websocket = config.websocket.as_ref().map(|settings| settings.listen);
    let live = config.websocket.map(|settings| {
        live::LiveConnections::new(core.clone(), settings, config.seed, config.websocket_bytes)
    });
    let known_revision = config.known.as_ref().map_or(0, |known| known.revision);
    if let Some(known) = config.known {
        core.apply_list(known.into_update(None));
    }
    let list_core = core.clone();
    let on_list = move |update| list_core.apply_list(update);
    let discovery = watch::Sender::new(config.discovery);
    let etcd = config.etcd.map(watch::Sender::new);
    match &etcd {
        Some(settings) => drop(actix_rt::spawn(list::etcd::follow(settings.subscribe(), on_list))),
        None => drop(actix_rt::spawn(list::discovery::follow(
            discovery.subscribe(),
            known_revision,
            call_pacer,
            list_source,
            on_list,
        ))),
    }
    let shared = Shared::new(core.clone(), live.clone(), config.client_sockets, config.body_bytes, inherits);
    let clients = shared.clone();
    let bare = move |end, socket| {
        actix_rt::spawn(clients::resumed_answer::write(clients.clone(), end, socket));
    };
    core.connect_detached(bare.clone());
    // Bound before this process accepts clients: from then on the previous process may be stopped.
    if let Some(listener) = handover.listen() {
        let receiver = shared.clone();
        let take = move |carried| fleet.take_over(carried, bare.clone());
        actix_rt::spawn(handover::serve(listener, move || receiver.can_take_over(), take));
    }
    // The first of all listeners: operators may check the state and drain before there is a list.
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
    if let Some(settings) = config.openai {
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(io(format!("listening on {}", settings.listen)))?;
        let listen = listener.local_addr().map_err(io("the listener".to_owned()))?;
        let api = openai::Api::new(settings, config.seed);
        let front = move |shared, request| openai::handle(api.clone(), shared, request);
        actix_rt::spawn(clients::serve(listener, shared.clone(), front));
        log!("openai listen={listen}");
    }
    if let (Some(address), Some(live)) = (websocket, live) {
        let at = |what: &str| io(format!("{what} on {address}"));
        let listener = bind_listener(address, inherits).map_err(at("listening"))?;
        let listen = listener.local_addr().map_err(at("listening"))?;
        let (runner, connect_timeout) = (shared.clone(), Duration::from_nanos(config.connections.connect.0));
        let running = live.clone();
        actix_rt::spawn(async move { running.run(&runner.lifecycle).await });
        let front_shared = shared.clone();
        let front = move |request, wire| {
            websocket::serve(live.clone(), front_shared.clone(), connect_timeout, request, wire)
        };
        actix_rt::spawn(clients::serve_upgrades(listener, shared.clone(), websocket::reject_plain, front));
        log!("websocket listen={listen}");
    }
    log!("started name={} listen={listen} discovery={} inherited={inherits}", config.name, config.discovery);
    let starting = shared.clone();
    actix_rt::spawn(async move {
        let able = async {
            while !starting.core.can_serve() {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = actix_rt::time::timeout(MAX_START_WAIT, able).await;
        starting.lifecycle.apply(Event::Ready);
    });

    loop {
        tokio::select! {
            _ = term.recv() => break,
            Some(()) = hup.recv() => reload(&shared, &discovery, etcd.as_ref()),
        }
    }
    log!("stopping requests={} connections={}", core.open_requests(), shared.open_connections());
    shared.lifecycle.apply(Event::Stop);
    let handover_delay = config
        .connections
        .longest_wait
        .map_or(MAX_HANDOVER_DELAY, |wait| Duration::from_nanos(wait.0).min(MAX_HANDOVER_DELAY));
    actix_rt::spawn(async move {
        actix_rt::time::sleep(handover_delay).await;
        handover.begin();
    });
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
