//! The network between routers and one server: a proxy for each connection that can withhold what is sent. Silence
//! shows in no error: connections stay open, new ones are accepted, and so is what is written.
//!
//! Two faults withhold what a router sends. They differ in what a reset by the router discards:
//!
//! - **Network silence.** Nothing reaches the server's machine: the specification's "when a machine vanishes or is
//!   cut off, nothing is said". Bytes in transit are lost if the router resets the connection, and delivered late
//!   otherwise.
//! - **Stopped server process.** The machine's kernel still accepts and acknowledges bytes. When the process
//!   continues, it reads all of them, and then the reset: a reset discards nothing that the kernel has.
//!   `router/tests/stopped_process.rs` shows this with a real process and real sockets.
//!
//! The proxy reads from the router in both cases, since a router's sockets accept what is written.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use socket2::SockRef;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, Interest};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Size of a read.
const READ_BYTES: usize = 8 * 1024;
/// Maximum number of bytes withheld from a server. The proxy then stops reading, and the router's writes block.
const MAX_WITHHELD_BYTES: usize = 512 * 1024;
/// Shares of silent connections are given per mille.
const PER_MILLE: u32 = 1_000;

/// Time after which a router should have detected that a server is silent.
pub const SILENCE_DETECTION_TIME: Duration = Duration::from_millis(300);

/// A silence in progress.
#[derive(Clone, Copy, Debug)]
struct Silence {
    number: u64,
    since: Instant,
    /// Share of the connections that are silent.
    per_mille: u32,
    /// The silent connections stay silent after its end.
    permanent: bool,
}

/// What happens to silent connections when the silence ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceEnd {
    /// All connections are reset.
    Reset,
    /// They stay silent.
    StaySilent,
}

/// A call sent on a silent connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SilencedCall {
    /// When its first byte was sent.
    pub sent_at: Instant,
    /// Time since the start of the silence.
    pub since_silence: Duration,
}

/// All connections to one server.
pub struct Network {
    seed: u64,
    silence: watch::Sender<Option<Silence>>,
    /// Number of stops of the server's process in progress.
    stops: watch::Sender<u32>,
    resets: watch::Sender<u64>,
    silences: AtomicU64,
    connections: AtomicU64,
    silenced_calls: Mutex<Vec<SilencedCall>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Network {
    /// A network without faults.
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Network {
            seed,
            silence: watch::Sender::new(None),
            stops: watch::Sender::new(0),
            resets: watch::Sender::new(0),
            silences: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            silenced_calls: Mutex::default(),
        })
    }

    /// Silences this share of the connections, old and new, for this time.
    pub async fn fall_silent(&self, per_mille: u32, time: Duration, end: SilenceEnd) {
        let number = self.silences.fetch_add(1, Ordering::Relaxed);
        let (since, permanent) = (Instant::now(), end == SilenceEnd::StaySilent);
        self.silence.send_replace(Some(Silence { number, since, per_mille, permanent }));
        tokio::time::sleep(time).await;
        if end == SilenceEnd::Reset {
            self.reset();
        }
        self.silence.send_replace(None);
    }

    /// Stops the server's process for this time. The machine still accepts bytes.
    pub async fn stop_process(&self, time: Duration) {
        self.stops.send_modify(|stops| *stops += 1);
        tokio::time::sleep(time).await;
        self.stops.send_modify(|stops| *stops -= 1);
    }

    /// Waits until the server's process runs.
    pub async fn wait_process_running(&self) {
        let _ = self.stops.subscribe().wait_for(|stops| *stops == 0).await;
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Calls sent on silent connections so far.
    pub fn silenced_calls(&self) -> Vec<SilencedCall> {
        locked(&self.silenced_calls).clone()
    }

    /// Adds a new connection.
    pub fn connection(self: &Arc<Self>) -> Arc<Connection> {
        Arc::new(Connection {
            number: self.connections.fetch_add(1, Ordering::Relaxed),
            resets_before: *self.resets.borrow(),
            network: self.clone(),
            permanently_silent: AtomicBool::new(false),
            reset_requested: watch::Sender::new(false),
            forwarded: watch::Sender::new(0),
            send_times: Mutex::default(),
            closed_at: Mutex::default(),
        })
    }
}

/// A connection between a router and the server.
pub struct Connection {
    network: Arc<Network>,
    number: u64,
    /// Number of network-wide resets before the connection began.
    resets_before: u64,
    /// Silent until the end of the run.
    permanently_silent: AtomicBool,
    reset_requested: watch::Sender<bool>,
    /// Bytes forwarded to the router.
    forwarded: watch::Sender<u64>,
    /// When the router sent the current request.
    send_times: Mutex<Option<SendTimes>>,
    /// When the server's machine learned that the router had shut down or reset the connection.
    closed_at: Mutex<Option<Instant>>,
}

/// State of the router's side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RouterSide {
    /// The router may send more.
    Open,
    /// The router has shut down its write side.
    ShutDown,
    /// The router has reset the connection.
    Reset,
}

/// How forwarding to the server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardEnd {
    /// The router shut down its write side, and the server was told.
    RouterShutDown,
    /// The connection ended.
    ConnectionEnded,
}

/// Result of one read from a router.
enum ReadResult {
    Nothing,
    Bytes(usize),
    End,
    Reset,
}

/// Reads available bytes from a router. `failed`: the socket reported an error.
fn read_available(
    router: &tokio::net::tcp::ReadHalf<'_>,
    router_side: RouterSide,
    failed: bool,
    buffer: &mut [u8],
) -> ReadResult {
    if failed || router_side == RouterSide::ShutDown {
        return ReadResult::Reset;
    }
    match router.try_read(buffer) {
        Ok(0) => ReadResult::End,
        Ok(size) => ReadResult::Bytes(size),
        Err(error) if error.kind() == ErrorKind::WouldBlock => ReadResult::Nothing,
        Err(_) => ReadResult::Reset,
    }
}

/// When a router sent a request.
#[derive(Clone, Copy, Debug)]
pub struct SendTimes {
    /// Time of the first byte.
    pub first: Instant,
    /// Time of the latest byte so far.
    pub last: Instant,
}

impl Connection {
    /// Resets the connection.
    pub fn reset(&self) {
        self.reset_requested.send_replace(true);
    }

    /// Number of bytes forwarded to the router so far.
    pub fn forwarded(&self) -> u64 {
        *self.forwarded.borrow()
    }

    /// Waits until this many bytes were forwarded to the router.
    pub async fn wait_forwarded(&self, bytes: u64) {
        let _ = self.forwarded.subscribe().wait_for(|forwarded| *forwarded >= bytes).await;
    }

    /// Takes the send times of the current request.
    pub fn take_send_times(&self) -> Option<SendTimes> {
        locked(&self.send_times).take()
    }

    /// When the server's machine learned that the router had shut down or reset the connection.
    pub fn closed_by_router(&self) -> Option<Instant> {
        *locked(&self.closed_at)
    }

    /// The silence that affects this connection, if any.
    fn active_silence(&self, current: Option<Silence>) -> Option<Silence> {
        let silence = current?;
        let mut rng = Pcg64::seed_from_u64(self.network.seed ^ (silence.number << 32) ^ self.number);
        (rng.random_range(0..PER_MILLE) < silence.per_mille).then_some(silence)
    }

    fn is_silent(&self, current: Option<Silence>) -> bool {
        let silence = self.active_silence(current);
        if silence.is_some_and(|silence| silence.permanent) {
            self.permanently_silent.store(true, Ordering::Relaxed);
        }
        silence.is_some() || self.permanently_silent.load(Ordering::Relaxed)
    }

    /// Waits until the server's bytes reach the router; forever once the connection was reset.
    pub async fn wait_delivery(&self) {
        self.network.wait_process_running().await;
        self.wait_no_silence().await;
        if *self.network.resets.borrow() != self.resets_before {
            std::future::pending::<()>().await;
        }
    }

    /// Records the send time of a request, and whether the connection is silent.
    fn record_sent(&self, buffer: &[u8]) {
        let now = Instant::now();
        let before = locked(&self.send_times).take();
        let first = before.map_or(now, |sent| sent.first);
        *locked(&self.send_times) = Some(SendTimes { first, last: now });
        if before.is_some() || !buffer.starts_with(b"POST") {
            return;
        }
        let silence = *self.network.silence.borrow();
        if self.is_silent(silence) {
            let since_silence = silence.map_or(Duration::MAX, |silence| now - silence.since);
            locked(&self.network.silenced_calls).push(SilencedCall { sent_at: now, since_silence });
        }
    }

    /// Forwards bytes in both directions until one side ends the connection, or it is reset.
    pub async fn proxy(self: Arc<Self>, mut router: TcpStream, server: DuplexStream) {
        let (mut resets, mut reset_requested) =
            (self.network.resets.subscribe(), self.reset_requested.subscribe());
        let reset = {
            let (from_router, to_router) = router.split();
            let (from_server, to_server) = tokio::io::split(server);
            let to_server_side = async {
                if self.forward_to_server(from_router, to_server).await == ForwardEnd::RouterShutDown {
                    // The server's side ends the connection.
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                _ = resets.changed() => true,
                _ = reset_requested.wait_for(|requested| *requested) => true,
                () = to_server_side => false,
                () = self.forward_to_router(from_server, to_router) => false,
            }
        };
        if reset {
            let _ = SockRef::from(&router).set_linger(Some(Duration::ZERO));
        }
    }

    /// Forwards the router's bytes to the server's machine, and from there to the server's process.
    async fn forward_to_server(
        &self,
        router: tokio::net::tcp::ReadHalf<'_>,
        mut server: tokio::io::WriteHalf<DuplexStream>,
    ) -> ForwardEnd {
        // Bytes that have not reached the machine, and bytes that the process has not read.
        let (mut in_transit, mut received) = (Vec::new(), Vec::new());
        let mut router_side = RouterSide::Open;
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let interest = if router_side == RouterSide::Open { Interest::READABLE } else { Interest::ERROR };
            let has_room = in_transit.len() + received.len() < MAX_WITHHELD_BYTES;
            tokio::select! {
                // After the router's shutdown no bytes can follow, but a reset still can.
                ready = router.ready(interest), if router_side != RouterSide::Reset && (router_side == RouterSide::ShutDown || has_room) => {
                    match read_available(&router, router_side, ready.is_err(), &mut buffer) {
                        ReadResult::Nothing => {}
                        ReadResult::Bytes(size) => {
                            self.record_sent(&buffer[..size]);
                            in_transit.extend_from_slice(&buffer[..size]);
                        }
                        ReadResult::End => router_side = RouterSide::ShutDown,
                        ReadResult::Reset => {
                            // A silent network loses the bytes in transit; otherwise they have arrived by now.
                            let silence = *self.network.silence.borrow();
                            if self.is_silent(silence) {
                                in_transit.clear();
                            }
                            router_side = RouterSide::Reset;
                            self.record_closed();
                        }
                    }
                }
                () = self.wait_no_silence(), if !in_transit.is_empty() => received.append(&mut in_transit),
                () = self.network.wait_process_running(), if !received.is_empty() => {
                    if server.write_all(&received).await.is_err() {
                        return ForwardEnd::ConnectionEnded;
                    }
                    received.clear();
                }
                () = self.wait_end_noticed(router_side), if router_side != RouterSide::Open && in_transit.is_empty() && received.is_empty() => {
                    if router_side == RouterSide::Reset {
                        return ForwardEnd::ConnectionEnded;
                    }
                    let _ = server.shutdown().await;
                    return ForwardEnd::RouterShutDown;
                }
            }
        }
    }

    /// Waits until no silence affects the connection, in either direction.
    async fn wait_no_silence(&self) {
        let _ = self.network.silence.subscribe().wait_for(|current| !self.is_silent(*current)).await;
    }

    /// Waits until the server's process can notice the shutdown or the reset.
    async fn wait_end_noticed(&self, router_side: RouterSide) {
        if router_side == RouterSide::ShutDown {
            self.wait_no_silence().await;
            self.record_closed();
        }
        self.network.wait_process_running().await;
    }

    /// Records that the server's machine learned of the router's shutdown or reset.
    fn record_closed(&self) {
        locked(&self.closed_at).get_or_insert_with(Instant::now);
    }

    /// Forwards the server's bytes to the router until the server ends the connection.
    async fn forward_to_router(
        &self,
        mut server: tokio::io::ReadHalf<DuplexStream>,
        mut router: tokio::net::tcp::WriteHalf<'_>,
    ) {
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let size = server.read(&mut buffer).await.unwrap_or(0);
            self.wait_delivery().await;
            if size == 0 || router.write_all(&buffer[..size]).await.is_err() {
                let _ = router.shutdown().await;
                return;
            }
            self.forwarded.send_modify(|forwarded| *forwarded += size as u64);
        }
    }
}
