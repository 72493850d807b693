//! The network between routers and one server: every connection passes through a proxy that can withhold what is sent.
//! Nobody is told of a silence: connections stay open, new ones come up, and what is written is accepted.
//!
//! Two things can hold up what a router sends, and they differ in what a reset takes back:
//!
//! - **The way is cut.** Nothing reaches the server's machine: the page's "when a machine vanishes or is cut off, nothing is
//!   said". What is under way when the router resets the connection is lost, and is delivered late otherwise.
//! - **The server's process stands still.** Its machine's kernel accepts and acknowledges what comes, and the process reads
//!   all of it when it goes on, then the reset: a reset takes back nothing that the kernel has. `router/tests/stopped_process.rs`
//!   shows that with a real process and real sockets.
//!
//! The proxy reads from the router in both cases, as the sockets of a router take what is written.

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

/// Bytes that are moved at once.
const PIECE: usize = 8 * 1024;
/// Bytes withheld from a server at most; a router's write waits after that.
const MOST_WITHHELD: usize = 512 * 1024;
/// What a silence says in parts of a thousand.
const WHOLE: u32 = 1_000;

/// A server that fell silent has been found out after this.
pub const SILENCE_DETECTION_TIME: Duration = Duration::from_millis(300);

/// A silence that goes on.
#[derive(Clone, Copy, Debug)]
struct Silence {
    number: u64,
    since: Instant,
    /// So many connections of a thousand are silent.
    per_mille: u32,
    /// Connections stay silent after its end.
    lasting: bool,
}

/// How a silence ends for connections that are still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceEnd {
    /// They are reset.
    Reset,
    /// They stay silent.
    Never,
}

/// A call that was sent on a silent connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SilencedCall {
    /// When its first byte came.
    pub sent_at: Instant,
    /// How long after the silence had begun.
    pub since_silence: Duration,
}

/// All connections to one server.
pub struct Network {
    seed: u64,
    silence: watch::Sender<Option<Silence>>,
    /// So many stops of the server's process go on now.
    stops: watch::Sender<u32>,
    resets: watch::Sender<u64>,
    silences: AtomicU64,
    connections: AtomicU64,
    silenced_calls: Mutex<Vec<SilencedCall>>,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Network {
    /// A network on which everything passes.
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

    /// So many connections of a thousand, old and new, fall silent for this time.
    pub async fn fall_silent(&self, per_mille: u32, time: Duration, end: SilenceEnd) {
        let number = self.silences.fetch_add(1, Ordering::Relaxed);
        let (since, lasting) = (Instant::now(), end == SilenceEnd::Never);
        self.silence.send_replace(Some(Silence { number, since, per_mille, lasting }));
        tokio::time::sleep(time).await;
        if end == SilenceEnd::Reset {
            self.reset();
        }
        self.silence.send_replace(None);
    }

    /// The server's process stands still for this time; its machine goes on accepting what comes.
    pub async fn stop_process(&self, time: Duration) {
        self.stops.send_modify(|stops| *stops += 1);
        tokio::time::sleep(time).await;
        self.stops.send_modify(|stops| *stops -= 1);
    }

    /// Returns while the server's process runs.
    pub async fn process_runs(&self) {
        let _ = self.stops.subscribe().wait_for(|stops| *stops == 0).await;
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Calls that were sent on silent connections so far.
    pub fn silenced_calls(&self) -> Vec<SilencedCall> {
        locked(&self.silenced_calls).clone()
    }

    /// A new connection.
    pub fn connection(self: &Arc<Self>) -> Arc<Connection> {
        Arc::new(Connection {
            number: self.connections.fetch_add(1, Ordering::Relaxed),
            resets_before: *self.resets.borrow(),
            network: self.clone(),
            stuck: AtomicBool::new(false),
            cut: watch::Sender::new(false),
            passed_on: watch::Sender::new(0),
            sent: Mutex::default(),
            closed: Mutex::default(),
        })
    }
}

/// One connection between a router and the server.
pub struct Connection {
    network: Arc<Network>,
    number: u64,
    /// Resets of all connections before it came up.
    resets_before: u64,
    /// It fell silent for ever.
    stuck: AtomicBool,
    cut: watch::Sender<bool>,
    /// Bytes that were passed on to the router.
    passed_on: watch::Sender<u64>,
    /// When the router sent the request that is under way.
    sent: Mutex<Option<Sent>>,
    /// When the server's machine learnt that the router had ended its sending, or reset the connection.
    closed: Mutex<Option<Instant>>,
}

/// What a router has done to its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    /// It may send more.
    Open,
    /// It has ended its sending in order.
    Ended,
    /// It has reset the connection.
    Reset,
}

/// How the way towards a server came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TowardsServer {
    /// The router ended its sending, and the server knows.
    SendingEnded,
    /// The connection is over.
    Over,
}

/// What one look at a router's side found.
enum Read {
    Nothing,
    Bytes(usize),
    End,
    Reset,
}

/// Reads what a router has sent, if anything. `failed`: its socket reported an error.
fn read_piece(
    router: &tokio::net::tcp::ReadHalf<'_>,
    sending: Sending,
    failed: bool,
    piece: &mut [u8],
) -> Read {
    if failed || sending == Sending::Ended {
        return Read::Reset;
    }
    match router.try_read(piece) {
        Ok(0) => Read::End,
        Ok(size) => Read::Bytes(size),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Read::Nothing,
        Err(_) => Read::Reset,
    }
}

/// When a router sent a request.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Its first byte.
    pub first: Instant,
    /// Its last byte, so far.
    pub last: Instant,
}

impl Connection {
    /// Resets it.
    pub fn reset(&self) {
        self.cut.send_replace(true);
    }

    /// Bytes that were passed on to the router so far.
    pub fn passed_on(&self) -> u64 {
        *self.passed_on.borrow()
    }

    /// Returns when so many bytes were passed on to the router.
    pub async fn has_passed_on(&self, bytes: u64) {
        let _ = self.passed_on.subscribe().wait_for(|passed_on| *passed_on >= bytes).await;
    }

    /// When the router sent what the server takes now.
    pub fn take_sent(&self) -> Option<Sent> {
        locked(&self.sent).take()
    }

    /// When the server's machine learnt that the router had ended its sending, or reset the connection.
    pub fn closed_by_router(&self) -> Option<Instant> {
        *locked(&self.closed)
    }

    /// The silence that it is under; none if what is sent passes.
    fn silence(&self, now: Option<Silence>) -> Option<Silence> {
        let silence = now?;
        let mut rng = Pcg64::seed_from_u64(self.network.seed ^ (silence.number << 32) ^ self.number);
        (rng.random_range(0..WHOLE) < silence.per_mille).then_some(silence)
    }

    fn is_silent(&self, now: Option<Silence>) -> bool {
        let silence = self.silence(now);
        if silence.is_some_and(|silence| silence.lasting) {
            self.stuck.store(true, Ordering::Relaxed);
        }
        silence.is_some() || self.stuck.load(Ordering::Relaxed)
    }

    /// Returns while what the server sends reaches the router; never, once the connection was reset.
    pub async fn passes(&self) {
        self.network.process_runs().await;
        self.way_is_open().await;
        if *self.network.resets.borrow() != self.resets_before {
            std::future::pending::<()>().await;
        }
    }

    /// Notes when a request is sent, and whether it is swallowed.
    fn note_sent(&self, piece: &[u8]) {
        let now = Instant::now();
        let before = locked(&self.sent).take();
        let first = before.map_or(now, |sent| sent.first);
        *locked(&self.sent) = Some(Sent { first, last: now });
        if before.is_some() || !piece.starts_with(b"POST") {
            return;
        }
        let silence = *self.network.silence.borrow();
        if self.is_silent(silence) {
            let since_silence = silence.map_or(Duration::MAX, |silence| now - silence.since);
            locked(&self.network.silenced_calls).push(SilencedCall { sent_at: now, since_silence });
        }
    }

    /// Carries bytes between a router and the server until one of them ends the connection, or it is reset.
    pub async fn carry(self: Arc<Self>, mut router: TcpStream, server: DuplexStream) {
        let (mut resets, mut cut) = (self.network.resets.subscribe(), self.cut.subscribe());
        let reset = {
            let (from_router, to_router) = router.split();
            let (from_server, to_server) = tokio::io::split(server);
            let towards = async {
                if self.towards_server(from_router, to_server).await == TowardsServer::SendingEnded {
                    // The server ends the connection.
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                _ = resets.changed() => true,
                _ = cut.wait_for(|cut| *cut) => true,
                () = towards => false,
                () = self.towards_router(from_server, to_router) => false,
            }
        };
        if reset {
            let _ = SockRef::from(&router).set_linger(Some(Duration::ZERO));
        }
    }

    /// Carries what the router sends to the server's machine, and from there to its process.
    async fn towards_server(
        &self,
        router: tokio::net::tcp::ReadHalf<'_>,
        mut server: tokio::io::WriteHalf<DuplexStream>,
    ) -> TowardsServer {
        // What has not reached the machine, and what its process has not read.
        let (mut under_way, mut received) = (Vec::new(), Vec::new());
        let mut sending = Sending::Open;
        let mut piece = vec![0; PIECE];
        loop {
            let wanted = if sending == Sending::Open { Interest::READABLE } else { Interest::ERROR };
            let has_room = under_way.len() + received.len() < MOST_WITHHELD;
            tokio::select! {
                // Behind the end of its sending nothing can be read, but a reset is still told.
                ready = router.ready(wanted), if sending != Sending::Reset && (sending == Sending::Ended || has_room) => {
                    match read_piece(&router, sending, ready.is_err(), &mut piece) {
                        Read::Nothing => {}
                        Read::Bytes(size) => {
                            self.note_sent(&piece[..size]);
                            under_way.extend_from_slice(&piece[..size]);
                        }
                        Read::End => sending = Sending::Ended,
                        Read::Reset => {
                            // A way that is cut loses what is under way; else it has arrived by now.
                            let silence = *self.network.silence.borrow();
                            if self.is_silent(silence) {
                                under_way.clear();
                            }
                            sending = Sending::Reset;
                            self.note_closed();
                        }
                    }
                }
                () = self.way_is_open(), if !under_way.is_empty() => received.append(&mut under_way),
                () = self.network.process_runs(), if !received.is_empty() => {
                    if server.write_all(&received).await.is_err() {
                        return TowardsServer::Over;
                    }
                    received.clear();
                }
                () = self.process_hears_end(sending), if sending != Sending::Open && under_way.is_empty() && received.is_empty() => {
                    if sending == Sending::Reset {
                        return TowardsServer::Over;
                    }
                    let _ = server.shutdown().await;
                    return TowardsServer::SendingEnded;
                }
            }
        }
    }

    /// Returns while no silence is on the way between router and server, in either direction.
    async fn way_is_open(&self) {
        let _ = self.network.silence.subscribe().wait_for(|now| !self.is_silent(*now)).await;
    }

    /// Returns when the server's process can hear that the router has ended or reset the connection.
    async fn process_hears_end(&self, sending: Sending) {
        if sending == Sending::Ended {
            self.way_is_open().await;
            self.note_closed();
        }
        self.network.process_runs().await;
    }

    /// The server's machine learns that the router has ended its sending or reset the connection.
    fn note_closed(&self) {
        locked(&self.closed).get_or_insert_with(Instant::now);
    }

    /// Returns when the server has ended the connection.
    async fn towards_router(
        &self,
        mut server: tokio::io::ReadHalf<DuplexStream>,
        mut router: tokio::net::tcp::WriteHalf<'_>,
    ) {
        let mut piece = vec![0; PIECE];
        loop {
            let size = server.read(&mut piece).await.unwrap_or(0);
            self.passes().await;
            if size == 0 || router.write_all(&piece[..size]).await.is_err() {
                let _ = router.shutdown().await;
                return;
            }
            self.passed_on.send_modify(|passed_on| *passed_on += size as u64);
        }
    }
}
