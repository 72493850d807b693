//! Stand-in servers: readers hold what they read until it is fetched or released, writers stream. Each can be in trouble.
//! What goes wrong on the way is the [`network`](crate::network)'s: a server knows of a call once it has taken it.

mod attempt;

use crate::behavior::{CallBehavior, ReleaseBehavior};
use crate::http::{Inbox, Request, chunk};
use crate::leases::{Leases, WaitingAttempt};
use crate::network::{Connection, Network};
use crate::release_reach::ReleaseReach;
use crate::trace::{Ran, Recorder, RequestEvent};
use attempt::Attempt;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncWriteExt as _, DuplexStream, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Tokens that each request's answer is said to have, beside its events.
const PROMPT_TOKENS: u64 = 512;
/// A slow server takes so many times as long.
const SLOW: u32 = 10;

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    Reads,
    /// Writes answers.
    Writes,
}

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Nothing.
    Well,
    /// Its machine takes requests and its process answers none: it never gets to them.
    Hangs,
    /// Its process takes requests and says nothing: "workers that hang in the middle of their work".
    Takes,
    /// It takes requests and turns them away after some time.
    RefusesLate,
    /// It takes requests and resets their connections after some time.
    ResetsLate,
    /// It turns requests away.
    Rejects,
    /// Its answers are garbage in the middle.
    Spoils,
    /// Its answers stop within a chunk, and the connection is reset.
    Halves,
    /// It takes long.
    Slow,
    /// It closes connections as soon as they rest.
    Forgets,
    /// Its process is dead.
    Dead,
}

/// Bytes that wait between the network and a server at most.
const PIPE: usize = 64 * 1024;

/// The server's ends of a connection.
type Reads = ReadHalf<DuplexStream>;
type Writes = WriteHalf<DuplexStream>;

/// How servers treat calls, as a plan says.
#[derive(Clone, Copy, Debug)]
pub struct CallSettings {
    /// Writers' first tokens take so long; none: some milliseconds.
    pub first_token: Option<Duration>,
    /// So many of a thousand calls fail in a way that is drawn.
    pub calls_fail_per_mille: u32,
    /// So many of a thousand answers of writers are lost: the request runs, and its connection is reset before a byte of the
    /// answer has gone: "answers get lost and connections are reset under requests".
    pub answers_lost_per_mille: u32,
    /// So many of a thousand releases do.
    pub releases_fail_per_mille: u32,
    /// A server notices the end of a call's connection so late at most; until then it works on.
    pub end_noticed_within: Duration,
}

/// One server.
pub struct Worker {
    /// Its number.
    pub number: usize,
    /// What it does.
    pub role: Role,
    /// Where it listens.
    pub address: SocketAddr,
    /// What its connections pass through.
    pub network: Arc<Network>,
    mode: watch::Sender<Mode>,
    /// Unix time of its start in milliseconds; 0 for long ago.
    up_since_ms: AtomicU64,
    /// Wakes who listens, when its process starts or ends.
    recorder: Arc<Recorder>,
    states: Arc<Leases>,
    attempts: Arc<AtomicU64>,
    releases: AtomicU64,
    /// Written tokens by request, of whole answers.
    written: Mutex<HashMap<u64, u64>>,
    seed: u64,
    settings: CallSettings,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

impl Worker {
    /// A server that listens.
    pub fn start(
        number: usize,
        role: Role,
        seed: u64,
        recorder: Arc<Recorder>,
        states: Arc<Leases>,
        attempts: Arc<AtomicU64>,
        settings: CallSettings,
    ) -> std::io::Result<Arc<Self>> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let worker = Arc::new(Worker {
            number,
            role,
            address,
            network: Network::new(seed ^ number as u64),
            mode: watch::Sender::new(Mode::Well),
            up_since_ms: AtomicU64::new(0),
            recorder,
            states,
            attempts,
            releases: AtomicU64::new(0),
            written: Mutex::default(),
            seed,
            settings,
        });
        tokio::spawn(worker.clone().live(listener));
        Ok(worker)
    }

    /// Its name in the list.
    pub fn label(&self) -> String {
        format!("{}{}", if self.role == Role::Reads { "r" } else { "w" }, self.number)
    }

    /// Unix time of its start in milliseconds; 0 for long ago.
    pub fn up_since_ms(&self) -> u64 {
        self.up_since_ms.load(Ordering::Relaxed)
    }

    /// What it wrote of each request that it answered whole.
    pub fn written(&self) -> HashMap<u64, u64> {
        locked(&self.written).clone()
    }

    /// Puts it into trouble, or out of it.
    pub fn set(&self, mode: Mode) {
        if mode == Mode::Dead {
            self.states.lose(self.number);
        }
        let before = self.mode.send_replace(mode);
        if before == Mode::Dead && mode != Mode::Dead {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            self.up_since_ms.store(now.as_millis() as u64, Ordering::Relaxed);
            let number = self.number;
            self.recorder.with(|seen| seen.starts.entry(number).or_default().push(Instant::now()));
        }
    }

    /// Listens while its process lives.
    async fn live(self: Arc<Self>, mut listener: TcpListener) {
        let (mut dies, mut lives) = (self.mode.subscribe(), self.mode.subscribe());
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().serve(stream));
                    }
                    continue;
                }
                _ = dies.wait_for(|mode| *mode == Mode::Dead) => drop(listener),
            }
            if lives.wait_for(|mode| *mode != Mode::Dead).await.is_err() {
                return;
            }
            listener = loop {
                match bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            };
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = self.network.connection();
        let (near, far) = tokio::io::duplex(PIPE);
        tokio::spawn(connection.clone().carry(stream, far));
        let (mut reads, mut writes) = tokio::io::split(near);
        let mut inbox = Inbox::default();
        let mut mode = self.mode.subscribe();
        tokio::select! {
            biased;
            _ = mode.wait_for(|mode| *mode == Mode::Dead) => connection.reset(),
            () = self.requests(&connection, &mut reads, &mut writes, &mut inbox) => {}
        }
    }

    async fn requests(
        &self,
        connection: &Connection,
        reads: &mut Reads,
        writes: &mut Writes,
        inbox: &mut Inbox,
    ) {
        loop {
            if *self.mode.borrow() == Mode::Forgets && inbox.is_empty() {
                return;
            }
            let mut mode = self.mode.subscribe();
            let request = tokio::select! {
                request = inbox.request(reads) => request,
                _ = mode.wait_for(|mode| *mode == Mode::Forgets) => continue,
            };
            let Some(mut request) = request else { return };
            // A send counts from when the router made it, however late it arrives.
            if let Some(sent) = connection.take_sent() {
                (request.first, request.sent) = (sent.first, sent.last);
            }
            if !self.one(request, connection, reads, writes, inbox).await {
                return;
            }
        }
    }

    /// One request; false if its connection has ended, or is to end.
    async fn one(
        &self,
        request: Request,
        connection: &Connection,
        reads: &mut Reads,
        writes: &mut Writes,
        inbox: &mut Inbox,
    ) -> bool {
        let Some(id) = request.id else {
            let _ = writes.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
            return true;
        };
        if request.method == "DELETE" {
            return self.release(id, connection, reads, writes, inbox).await;
        }
        let attempt = Attempt::begin(self, connection, id, &request);
        let mut rng = Pcg64::seed_from_u64(self.seed ^ id ^ attempt.number << 32);
        let waits = self.role == Role::Writes && attempt.taken;
        let waiting = waits.then(|| self.states.wait(id, attempt.number));
        let noticed = self.settings.end_noticed_within.mul_f64(rng.random_range(0.0..1.0));
        let gone = async {
            // One request at a time: whatever comes now is the end of the connection.
            while inbox.more(reads).await {}
            attempt.connection_ended();
            tokio::time::sleep(noticed).await;
        };
        tokio::select! {
            biased;
            () = gone => false,
            on = self.answer(&attempt, waiting, id, &mut rng, writes) => on,
        }
    }

    /// "Every worker accepts it and answers 204." False if its connection has ended.
    async fn release(
        &self,
        id: u64,
        connection: &Connection,
        reads: &mut Reads,
        writes: &mut Writes,
        inbox: &mut Inbox,
    ) -> bool {
        let number = self.releases.fetch_add(1, Ordering::Relaxed);
        let mut rng = Pcg64::seed_from_u64(self.seed ^ id ^ number << 32);
        match ReleaseBehavior::draw(&mut rng, self.settings.releases_fail_per_mille) {
            ReleaseBehavior::Answered => self.states.release(id),
            ReleaseBehavior::Late(time) => {
                tokio::time::sleep(time).await;
                self.network.process_runs().await;
                self.states.release(id);
            }
            ReleaseBehavior::Unanswered => {
                self.states.release(id);
                while inbox.more(reads).await {}
                return false;
            }
            ReleaseBehavior::Reset => {
                connection.reset();
                return false;
            }
        }
        writes.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.is_ok()
    }

    /// What becomes of one call.
    fn behavior(&self, mode: Mode, rng: &mut Pcg64) -> CallBehavior {
        match mode {
            Mode::Takes => CallBehavior::Hangs,
            Mode::RefusesLate => CallBehavior::refused_late(rng),
            Mode::ResetsLate => CallBehavior::reset_late(rng),
            _ => CallBehavior::draw(rng, self.settings.calls_fail_per_mille),
        }
    }

    /// Answers; false if the connection is to end.
    async fn answer(
        &self,
        attempt: &Attempt<'_>,
        waiting: Option<WaitingAttempt>,
        id: u64,
        rng: &mut Pcg64,
        writes: &mut Writes,
    ) -> bool {
        let mode = *self.mode.borrow();
        if mode == Mode::Hangs {
            return std::future::pending().await;
        }
        if mode == Mode::Rejects {
            drop(waiting);
            return attempt.turned_away(writes).await;
        }
        let behavior = self.behavior(mode, rng);
        match behavior {
            CallBehavior::Answered | CallBehavior::AnswerLost => {}
            CallBehavior::Hangs => return std::future::pending().await,
            CallBehavior::Slow(time) => tokio::time::sleep(time).await,
            CallBehavior::Refused(after) => {
                tokio::time::sleep(after).await;
                drop(waiting);
                return attempt.turned_away(writes).await;
            }
            CallBehavior::Reset(after) => {
                tokio::time::sleep(after).await;
                self.network.process_runs().await;
                drop(waiting);
                attempt.connection.reset();
                return false;
            }
        }
        match self.role {
            Role::Reads => self.read(attempt, id, rng, (mode, behavior), writes).await,
            Role::Writes => self.write(attempt, waiting, id, rng, (mode, behavior), writes).await,
        }
    }

    /// Waits for a slot, fetches the state and streams.
    async fn write(
        &self,
        attempt: &Attempt<'_>,
        waiting: Option<WaitingAttempt>,
        id: u64,
        rng: &mut Pcg64,
        (mode, behavior): (Mode, CallBehavior),
        writes: &mut Writes,
    ) -> bool {
        const NO_STATE: &[u8] = b"HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
        let slow = if mode == Mode::Slow { SLOW } else { 1 };
        let usual = Duration::from_millis(rng.random_range(3..30)) * slow;
        let first_token = self.settings.first_token.unwrap_or(usual);
        // The page leaves open how much of this a request waits in the queue, and how much its state is on its way.
        let queued = match self.settings.first_token {
            Some(_) => self.states.reach() == ReleaseReach::Unawaited,
            None => rng.random_bool(0.5),
        };
        if queued {
            tokio::time::sleep(first_token).await;
        }
        self.network.process_runs().await;
        let fetched = self.states.fetch(id);
        drop(waiting);
        if !fetched {
            attempt.connection.passes().await;
            attempt.over(Ran::No);
            return writes.write_all(NO_STATE).await.is_ok();
        }
        attempt.runs();
        if !queued {
            tokio::time::sleep(first_token).await;
        }
        self.network.process_runs().await;
        if rng.random_range(0..1_000) < self.settings.answers_lost_per_mille {
            attempt.connection.reset();
            return false;
        }
        let mode = if behavior == CallBehavior::AnswerLost { Mode::Halves } else { mode };
        self.stream(attempt, id, rng, mode, writes).await
    }

    async fn read(
        &self,
        attempt: &Attempt<'_>,
        id: u64,
        rng: &mut Pcg64,
        (mode, behavior): (Mode, CallBehavior),
        writes: &mut Writes,
    ) -> bool {
        let slow = if mode == Mode::Slow { SLOW } else { 1 };
        tokio::time::sleep(Duration::from_millis(rng.random_range(3..25)) * slow).await;
        let text = "{\"cached_tokens\":12}";
        let answer = match *self.mode.borrow() {
            Mode::Spoils => "HTTP/1.1 202 Accepted\r\nContent-Length: x\r\n\r\n".to_owned(),
            _ => format!("HTTP/1.1 202 Accepted\r\nContent-Length: {}\r\n\r\n{text}", text.len()),
        };
        self.network.process_runs().await;
        self.states.read(id, self.number);
        if behavior == CallBehavior::AnswerLost {
            attempt.over(Ran::Yes);
            attempt.connection.reset();
            return false;
        }
        // It is out until its answer has gone to the router: a silence may begin in between.
        let passed_on = attempt.connection.passed_on() + answer.len() as u64;
        if writes.write_all(answer.as_bytes()).await.is_err() {
            return false;
        }
        attempt.connection.has_passed_on(passed_on).await;
        attempt.over(Ran::Yes);
        true
    }

    async fn stream(
        &self,
        attempt: &Attempt<'_>,
        id: u64,
        rng: &mut Pcg64,
        mode: Mode,
        writes: &mut Writes,
    ) -> bool {
        let events = rng.random_range(2..14u32);
        let breaks = rng.random_range(0..events);
        let slow = if mode == Mode::Slow { SLOW } else { 1 };
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut text = head.to_owned();
        for event in 0..events {
            if event == breaks && matches!(mode, Mode::Spoils | Mode::Halves) {
                self.recorder.record(id, RequestEvent::BrokeOff(self.number));
                let part = if mode == Mode::Spoils { "zz\r\n no chunk\r\n" } else { "40\r\ndata: {" };
                let _ = writes.write_all(part.as_bytes()).await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                if mode == Mode::Halves {
                    self.network.process_runs().await;
                    return false;
                }
                return std::future::pending().await;
            }
            let content = format!("\"delta\":{{\"content\":\"n{event}\"}},\"finish_reason\":null");
            text += &chunk(&format!("data: {{\"choices\":[{{\"index\":0,{content}}}]}}\n\n"));
            attempt.connection.passes().await;
            self.recorder.record(id, RequestEvent::Wrote(event));
            if writes.write_all(text.as_bytes()).await.is_err() {
                return false;
            }
            text.clear();
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..40)) * slow).await;
        }
        let tokens = u64::from(events) * 5;
        let stop =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n";
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{PROMPT_TOKENS},\"completion_tokens\":{tokens},\
             \"prompt_tokens_details\":{{\"cached_tokens\":12}}}}}}\n\n"
        );
        let tail = format!("{}{}{}0\r\n\r\n", chunk(stop), chunk(&usage), chunk("data: [DONE]\n\n"));
        attempt.connection.passes().await;
        // It has finished when its end has gone to the router: a silence may begin in between, and end in a reset.
        let passed_on = attempt.connection.passed_on() + tail.len() as u64;
        if writes.write_all(tail.as_bytes()).await.is_err() {
            return false;
        }
        attempt.connection.has_passed_on(passed_on).await;
        locked(&self.written).insert(id, tokens);
        attempt.over(Ran::Yes);
        true
    }
}
