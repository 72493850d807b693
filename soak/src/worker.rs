//! Stand-in servers. Readers hold what they read until it is fetched or released; writers stream answers. Each server
//! can be faulty. Faults in transit belong to [`network`](crate::network): a server sees a call once it has received
//! it.

mod attempt;

use crate::behavior::{CallBehavior, ReleaseBehavior};
use crate::http::{ReadBuffer, Request, encode_chunk};
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

/// Prompt tokens that writers report in each answer's usage.
const PROMPT_TOKENS: u64 = 512;
/// A slow server takes this many times as long.
const SLOW_FACTOR: u32 = 10;

/// The role of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    Reader,
    /// Writes answers.
    Writer,
}

/// The fault of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// No fault.
    Healthy,
    /// The machine accepts requests, and the process never reads them.
    Hangs,
    /// The process takes requests and never answers: "workers that hang in the middle of their work".
    NeverAnswers,
    /// It takes requests and rejects them later.
    RejectsLate,
    /// It takes requests and resets their connections later.
    ResetsLate,
    /// It rejects requests.
    Rejects,
    /// It sends garbage in the middle of answers.
    SendsGarbage,
    /// Its answers stop within a chunk, and the connection ends.
    BreaksOff,
    /// It takes ten times as long.
    Slow,
    /// It closes connections as soon as they are idle.
    ClosesIdle,
    /// Its process is dead.
    Dead,
}

/// Buffer between a connection's proxy and its server.
const PIPE_BYTES: usize = 64 * 1024;

/// The server's halves of a connection.
type ReadSide = ReadHalf<DuplexStream>;
type WriteSide = WriteHalf<DuplexStream>;

/// How servers handle calls, from the plan.
#[derive(Clone, Copy, Debug)]
pub struct CallSettings {
    /// Time to a writer's first token; a few random milliseconds if not set.
    pub first_token: Option<Duration>,
    /// Share of the calls that fail, in a way drawn for each call.
    pub calls_fail_per_mille: u32,
    /// Share of the writers' answers that are lost: the request runs, and its connection is reset before the answer's
    /// first byte: "answers get lost and connections are reset under requests".
    pub answers_lost_per_mille: u32,
    /// Share of the releases that fail.
    pub releases_fail_per_mille: u32,
    /// Maximum delay after which a server notices that a call's connection ended. It works on until then.
    pub end_noticed_within: Duration,
}

/// A stand-in server.
pub struct Worker {
    /// The server's number.
    pub number: usize,
    /// The server's role.
    pub role: Role,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The proxies of its connections.
    pub network: Arc<Network>,
    mode: watch::Sender<Mode>,
    /// Unix time in milliseconds at which its process started; 0 if it runs since before the run.
    up_since_ms: AtomicU64,
    recorder: Arc<Recorder>,
    leases: Arc<Leases>,
    attempts: Arc<AtomicU64>,
    releases: AtomicU64,
    /// Written tokens of complete answers, by request id.
    written: Mutex<HashMap<u64, u64>>,
    seed: u64,
    settings: CallSettings,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

impl Worker {
    /// Starts a server that listens.
    pub fn start(
        number: usize,
        role: Role,
        seed: u64,
        recorder: Arc<Recorder>,
        leases: Arc<Leases>,
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
            mode: watch::Sender::new(Mode::Healthy),
            up_since_ms: AtomicU64::new(0),
            recorder,
            leases,
            attempts,
            releases: AtomicU64::new(0),
            written: Mutex::default(),
            seed,
            settings,
        });
        tokio::spawn(worker.clone().listen(listener));
        Ok(worker)
    }

    /// The id in discovery's list.
    pub fn id(&self) -> String {
        format!("{}{}", if self.role == Role::Reader { "r" } else { "w" }, self.number)
    }

    /// Unix time in milliseconds at which its process started; 0 if it runs since before the run.
    pub fn up_since_ms(&self) -> u64 {
        self.up_since_ms.load(Ordering::Relaxed)
    }

    /// Written tokens of complete answers, by request id.
    pub fn written(&self) -> HashMap<u64, u64> {
        locked(&self.written).clone()
    }

    /// Sets or ends a fault.
    pub fn set_mode(&self, mode: Mode) {
        if mode == Mode::Dead {
            self.leases.drop_reader(self.number);
        }
        let before = self.mode.send_replace(mode);
        if before == Mode::Dead && mode != Mode::Dead {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            self.up_since_ms.store(now.as_millis() as u64, Ordering::Relaxed);
            let number = self.number;
            self.recorder.with(|seen| seen.starts.entry(number).or_default().push(Instant::now()));
        }
    }

    /// Accepts connections while the process lives, and listens again at the same address when a new process starts.
    async fn listen(self: Arc<Self>, mut listener: TcpListener) {
        let (mut dead, mut alive) = (self.mode.subscribe(), self.mode.subscribe());
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().serve(stream));
                    }
                    continue;
                }
                _ = dead.wait_for(|mode| *mode == Mode::Dead) => drop(listener),
            }
            if alive.wait_for(|mode| *mode != Mode::Dead).await.is_err() {
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
        let (server_end, proxy_end) = tokio::io::duplex(PIPE_BYTES);
        tokio::spawn(connection.clone().proxy(stream, proxy_end));
        let (mut input, mut output) = tokio::io::split(server_end);
        let mut buffer = ReadBuffer::default();
        let mut mode = self.mode.subscribe();
        tokio::select! {
            biased;
            _ = mode.wait_for(|mode| *mode == Mode::Dead) => connection.reset(),
            () = self.serve_requests(&connection, &mut input, &mut output, &mut buffer) => {}
        }
    }

    async fn serve_requests(
        &self,
        connection: &Connection,
        input: &mut ReadSide,
        output: &mut WriteSide,
        buffer: &mut ReadBuffer,
    ) {
        loop {
            if *self.mode.borrow() == Mode::ClosesIdle && buffer.is_empty() {
                return;
            }
            let mut mode = self.mode.subscribe();
            let request = tokio::select! {
                request = buffer.read_request(input) => request,
                _ = mode.wait_for(|mode| *mode == Mode::ClosesIdle) => continue,
            };
            let Some(mut request) = request else { return };
            // An attempt begins when the router sends it, however late it arrives.
            if let Some(sent) = connection.take_send_times() {
                (request.first, request.sent) = (sent.first, sent.last);
            }
            if !self.handle_request(request, connection, input, output, buffer).await {
                return;
            }
        }
    }

    /// Handles one request; false if its connection ended or should be closed.
    async fn handle_request(
        &self,
        request: Request,
        connection: &Connection,
        input: &mut ReadSide,
        output: &mut WriteSide,
        buffer: &mut ReadBuffer,
    ) -> bool {
        let Some(id) = request.id else {
            let _ = output.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
            return true;
        };
        if request.method == "DELETE" {
            return self.handle_release(id, connection, input, output, buffer).await;
        }
        let attempt = Attempt::begin(self, connection, id, &request);
        let mut rng = Pcg64::seed_from_u64(self.seed ^ id ^ attempt.number << 32);
        let waits = self.role == Role::Writer && attempt.taken;
        let waiting = waits.then(|| self.leases.wait(id, attempt.number));
        let notice_delay = self.settings.end_noticed_within.mul_f64(rng.random_range(0.0..1.0));
        let connection_end = async {
            // Requests are not pipelined: any read here returns the end of the connection.
            while buffer.read_more(input).await {}
            attempt.connection_ended();
            tokio::time::sleep(notice_delay).await;
        };
        tokio::select! {
            biased;
            () = connection_end => false,
            keep_open = self.answer(&attempt, waiting, id, &mut rng, output) => keep_open,
        }
    }

    /// "Every worker accepts it and answers 204." False if the connection ended.
    async fn handle_release(
        &self,
        id: u64,
        connection: &Connection,
        input: &mut ReadSide,
        output: &mut WriteSide,
        buffer: &mut ReadBuffer,
    ) -> bool {
        let number = self.releases.fetch_add(1, Ordering::Relaxed);
        let mut rng = Pcg64::seed_from_u64(self.seed ^ id ^ number << 32);
        match ReleaseBehavior::draw(&mut rng, self.settings.releases_fail_per_mille) {
            ReleaseBehavior::Answered => self.leases.release(id),
            ReleaseBehavior::Late(time) => {
                tokio::time::sleep(time).await;
                self.network.wait_process_running().await;
                self.leases.release(id);
            }
            ReleaseBehavior::Unanswered => {
                self.leases.release(id);
                while buffer.read_more(input).await {}
                return false;
            }
            ReleaseBehavior::Reset => {
                connection.reset();
                return false;
            }
        }
        output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.is_ok()
    }

    /// Chooses how a call is handled.
    fn call_behavior(&self, mode: Mode, rng: &mut Pcg64) -> CallBehavior {
        match mode {
            Mode::NeverAnswers => CallBehavior::Hangs,
            Mode::RejectsLate => CallBehavior::rejected_late(rng),
            Mode::ResetsLate => CallBehavior::reset_late(rng),
            _ => CallBehavior::draw(rng, self.settings.calls_fail_per_mille),
        }
    }

    /// Answers; false if the connection should be closed.
    async fn answer(
        &self,
        attempt: &Attempt<'_>,
        waiting: Option<WaitingAttempt>,
        id: u64,
        rng: &mut Pcg64,
        output: &mut WriteSide,
    ) -> bool {
        let mode = *self.mode.borrow();
        if mode == Mode::Hangs {
            return std::future::pending().await;
        }
        if mode == Mode::Rejects {
            drop(waiting);
            return attempt.reject(output).await;
        }
        let behavior = self.call_behavior(mode, rng);
        match behavior {
            CallBehavior::Answered | CallBehavior::AnswerLost => {}
            CallBehavior::Hangs => return std::future::pending().await,
            CallBehavior::Slow(time) => tokio::time::sleep(time).await,
            CallBehavior::Rejected(after) => {
                tokio::time::sleep(after).await;
                drop(waiting);
                return attempt.reject(output).await;
            }
            CallBehavior::Reset(after) => {
                tokio::time::sleep(after).await;
                self.network.wait_process_running().await;
                drop(waiting);
                attempt.connection.reset();
                return false;
            }
        }
        match self.role {
            Role::Reader => self.serve_read(attempt, id, rng, (mode, behavior), output).await,
            Role::Writer => self.serve_write(attempt, waiting, id, rng, (mode, behavior), output).await,
        }
    }

    /// Queues, fetches the state and streams the answer.
    async fn serve_write(
        &self,
        attempt: &Attempt<'_>,
        waiting: Option<WaitingAttempt>,
        id: u64,
        rng: &mut Pcg64,
        (mode, behavior): (Mode, CallBehavior),
        output: &mut WriteSide,
    ) -> bool {
        const NO_STATE: &[u8] = b"HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
        let factor = if mode == Mode::Slow { SLOW_FACTOR } else { 1 };
        let usual = Duration::from_millis(rng.random_range(3..30)) * factor;
        let first_token = self.settings.first_token.unwrap_or(usual);
        // The specification leaves open how much of this time is spent in the queue, and how much on fetching the
        // state.
        let queued = match self.settings.first_token {
            Some(_) => self.leases.reach() == ReleaseReach::Unawaited,
            None => rng.random_bool(0.5),
        };
        if queued {
            tokio::time::sleep(first_token).await;
        }
        self.network.wait_process_running().await;
        let fetched = self.leases.fetch(id);
        drop(waiting);
        if !fetched {
            attempt.connection.wait_delivery().await;
            attempt.end(Ran::No);
            return output.write_all(NO_STATE).await.is_ok();
        }
        attempt.set_running();
        if !queued {
            tokio::time::sleep(first_token).await;
        }
        self.network.wait_process_running().await;
        if rng.random_range(0..1_000) < self.settings.answers_lost_per_mille {
            attempt.connection.reset();
            return false;
        }
        let mode = if behavior == CallBehavior::AnswerLost { Mode::BreaksOff } else { mode };
        self.stream_answer(attempt, id, rng, mode, output).await
    }

    async fn serve_read(
        &self,
        attempt: &Attempt<'_>,
        id: u64,
        rng: &mut Pcg64,
        (mode, behavior): (Mode, CallBehavior),
        output: &mut WriteSide,
    ) -> bool {
        let factor = if mode == Mode::Slow { SLOW_FACTOR } else { 1 };
        tokio::time::sleep(Duration::from_millis(rng.random_range(3..25)) * factor).await;
        let text = "{\"cached_tokens\":12}";
        let answer = match *self.mode.borrow() {
            Mode::SendsGarbage => "HTTP/1.1 202 Accepted\r\nContent-Length: x\r\n\r\n".to_owned(),
            _ => format!("HTTP/1.1 202 Accepted\r\nContent-Length: {}\r\n\r\n{text}", text.len()),
        };
        self.network.wait_process_running().await;
        self.leases.add(id, self.number);
        if behavior == CallBehavior::AnswerLost {
            attempt.end(Ran::Yes);
            attempt.connection.reset();
            return false;
        }
        // The attempt lasts until its answer was forwarded to the router: a silence may begin before that.
        let end_offset = attempt.connection.forwarded() + answer.len() as u64;
        if output.write_all(answer.as_bytes()).await.is_err() {
            return false;
        }
        attempt.connection.wait_forwarded(end_offset).await;
        attempt.end(Ran::Yes);
        true
    }

    async fn stream_answer(
        &self,
        attempt: &Attempt<'_>,
        id: u64,
        rng: &mut Pcg64,
        mode: Mode,
        output: &mut WriteSide,
    ) -> bool {
        let events = rng.random_range(2..14u32);
        let break_at = rng.random_range(0..events);
        let factor = if mode == Mode::Slow { SLOW_FACTOR } else { 1 };
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut text = head.to_owned();
        for event in 0..events {
            if event == break_at && matches!(mode, Mode::SendsGarbage | Mode::BreaksOff) {
                self.recorder.record(id, RequestEvent::BrokeOff(self.number));
                let part = if mode == Mode::SendsGarbage { "zz\r\n no chunk\r\n" } else { "40\r\ndata: {" };
                let _ = output.write_all(part.as_bytes()).await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                if mode == Mode::BreaksOff {
                    self.network.wait_process_running().await;
                    return false;
                }
                return std::future::pending().await;
            }
            let content = format!("\"delta\":{{\"content\":\"n{event}\"}},\"finish_reason\":null");
            text += &encode_chunk(&format!("data: {{\"choices\":[{{\"index\":0,{content}}}]}}\n\n"));
            attempt.connection.wait_delivery().await;
            self.recorder.record(id, RequestEvent::Wrote(event));
            if output.write_all(text.as_bytes()).await.is_err() {
                return false;
            }
            text.clear();
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..40)) * factor).await;
        }
        let tokens = u64::from(events) * 5;
        let stop =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n";
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{PROMPT_TOKENS},\"completion_tokens\":{tokens},\
             \"prompt_tokens_details\":{{\"cached_tokens\":12}}}}}}\n\n"
        );
        let tail = format!(
            "{}{}{}0\r\n\r\n",
            encode_chunk(stop),
            encode_chunk(&usage),
            encode_chunk("data: [DONE]\n\n")
        );
        attempt.connection.wait_delivery().await;
        // The answer is complete once its end was forwarded: a silence may begin before that, and end in a reset.
        let end_offset = attempt.connection.forwarded() + tail.len() as u64;
        if output.write_all(tail.as_bytes()).await.is_err() {
            return false;
        }
        attempt.connection.wait_forwarded(end_offset).await;
        locked(&self.written).insert(id, tokens);
        attempt.end(Ran::Yes);
        true
    }
}
