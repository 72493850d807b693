//! Hand-over of open streams to the process that took the clients' socket, shortly before this process is killed.
//!
//! A stream's two connections are passed as descriptors over a Unix socket in `$TMPDIR`, together with the stream's
//! state. What arrives there is not trusted: it is read within bounds and validated as a whole. The sender owns a
//! stream until the successor has accepted it and the sender has committed the transfer.

use crate::log;
use base64::prelude::{BASE64_STANDARD, Engine as _};
use fawnstream_ledger::entry::Tokens;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use socket2::{SockRef, Socket, Type};
use std::cell::Cell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, Interest};
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::watch;

/// Name of the socket in `$TMPDIR`. The process started last replaces it with its own.
const SOCKET_NAME: &str = "fawnstream.handover";
/// First bytes of a message; the number is the format's version.
const MAGIC: [u8; 8] = *b"fawnHO01";
/// Largest size of a stream's state: a chunk and an event, each of at most 64 KiB, in base64.
const MAX_STATE_BYTES: usize = 512 * 1024;
/// Timeout of each step at the sender; after it the stream stays with the sender.
const STEP_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a whole transfer, commit included, at the receiver; the stream is paused meanwhile.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on concurrent transfers at the receiver.
const MAX_TRANSFERS: usize = 64;
/// Receiver: ready for a stream. The protocol's messages besides the state are single letters.
const READY: u8 = b'r';
/// Receiver: the stream is accepted and can continue there.
const ACCEPTED: u8 = b'y';
/// Sender: the stream belongs to the receiver from now on.
const COMMIT: u8 = b'g';

/// Bytes, serialized as base64 text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Base64Bytes(pub Vec<u8>);

impl From<Base64Bytes> for String {
    fn from(bytes: Base64Bytes) -> String {
        BASE64_STANDARD.encode(bytes.0)
    }
}

impl TryFrom<String> for Base64Bytes {
    type Error = base64::DecodeError;
    fn try_from(text: String) -> Result<Base64Bytes, base64::DecodeError> {
        BASE64_STANDARD.decode(text).map(Base64Bytes)
    }
}

/// State of the decoder of a server's chunked framing, between two chunks passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Framing {
    /// Bytes still missing of the current chunk; `None` inside a chunk's size line.
    pub missing: Option<usize>,
    /// The last chunk has begun; only trailers follow.
    pub trailer: bool,
    /// Received bytes that wait for more.
    pub held: Base64Bytes,
}

/// What the usage ledger needs to bill a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillingDetails {
    /// Joins the repeats of one request.
    pub ask: u64,
    /// The tenant's name.
    pub tenant: String,
    /// When the request arrived, in Unix time.
    pub came_ms: u64,
    /// Prompt tokens as the request stated them.
    pub prompt: f64,
}

/// The state of a stream between two of its chunks, besides its connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamState {
    /// The request's id.
    pub label: String,
    /// The class's name.
    pub class: String,
    /// The server's name.
    pub server: String,
    /// The server's address.
    pub address: SocketAddr,
    /// How long ago the request arrived.
    pub age_ms: u64,
    /// State of the server's framing.
    pub framing: Framing,
    /// The beginning of an incomplete event.
    pub event: Base64Bytes,
    /// The final event has arrived.
    pub done: bool,
    /// Prompt tokens found in the prefix cache.
    pub kept: Option<f64>,
    /// Tokens used, as far as the server has reported them.
    #[serde(default)]
    pub used: Option<Tokens>,
    /// Billing details, where a usage ledger is kept.
    #[serde(default)]
    pub bill: Option<BillingDetails>,
}

/// A stream received from another process.
pub struct ReceivedStream {
    /// The stream's state.
    pub state: StreamState,
    /// The client's connection.
    pub client: TcpStream,
    /// The server's connection.
    pub server: TcpStream,
}

/// Why a stream stays with the process that has it.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// Hand-over is switched off.
    #[error("off")]
    Disabled,
    /// No other process has bound the socket.
    #[error("no-successor")]
    NoSuccessor,
    /// The other process declined the stream, timed out or broke the protocol.
    #[error("not-taken")]
    Declined,
    /// The stream has ended here meanwhile.
    #[error("ended")]
    Ended,
    /// The connection to the other process failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// The sending side of the hand-over: where the socket is, and whether hand-over has begun.
pub struct Handover {
    path: Option<PathBuf>,
    begun: watch::Sender<bool>,
}

impl Handover {
    /// Switched off without an inherited socket or without `$TMPDIR`.
    pub fn new(inherited: bool) -> Rc<Self> {
        let folder = std::env::var_os("TMPDIR").filter(|_| inherited);
        Rc::new(Handover {
            path: folder.map(|folder| PathBuf::from(folder).join(SOCKET_NAME)),
            begun: watch::Sender::new(false),
        })
    }

    /// Starts handing streams over, each as soon as its state permits.
    pub fn begin(&self) {
        self.begun.send_replace(self.path.is_some());
    }

    /// Waits until hand-over has begun.
    pub async fn started(&self) {
        let _ = self.begun.subscribe().wait_for(|begun| *begun).await;
    }

    /// Binds the socket, replacing whatever is at its path: an earlier process may have left a file there. `None` if
    /// hand-over is off or this fails; the only loss then are the streams that SIGKILL cuts off.
    pub fn listen(&self) -> Option<UnixListener> {
        let path = self.path.as_ref()?;
        let _ = std::fs::remove_file(path);
        UnixListener::bind(path).map_err(|error| log!("handover off error=\"{error}\"")).ok()
    }

    /// Connects to the process that bound the socket and waits until it is ready for a stream.
    pub async fn connect(&self) -> Result<Successor, HandoverError> {
        let path = self.path.as_ref().ok_or(HandoverError::Disabled)?;
        let mut stream = within(UnixStream::connect(path)).await?;
        let peer = stream.peer_cred()?;
        if peer.pid() == i32::try_from(std::process::id()).ok() {
            return Err(HandoverError::NoSuccessor);
        }
        match within(stream.read_u8()).await? {
            READY => Ok(Successor(stream)),
            _ => Err(HandoverError::Declined),
        }
    }
}

async fn within<T>(step: impl Future<Output = io::Result<T>>) -> Result<T, HandoverError> {
    match tokio::time::timeout(STEP_TIMEOUT, step).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(HandoverError::Declined),
    }
}

/// A connection to a process that is ready for a stream.
pub struct Successor(UnixStream);

impl Successor {
    /// Hands a stream over, unless `may_commit` denies that in the end. After an error the caller still owns it, and the
    /// receiver has dropped it.
    pub async fn send(
        mut self,
        state: &StreamState,
        client: &TcpStream,
        server: &TcpStream,
        may_commit: impl FnOnce() -> bool,
    ) -> Result<(), HandoverError> {
        let body = serde_json::to_vec(state).map_err(io::Error::from)?;
        let mut message = MAGIC.to_vec();
        message.extend_from_slice(
            &u32::try_from(body.len()).map_err(|_| HandoverError::Declined)?.to_be_bytes(),
        );
        message.extend_from_slice(&body);
        let fds = [client.as_fd(), server.as_fd()];
        let send_descriptors = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            ancillary.push(SendAncillaryMessage::ScmRights(&fds));
            Ok(sendmsg(&self.0, &[IoSlice::new(&message)], &mut ancillary, SendFlags::NOSIGNAL)?)
        };
        let sent = within(self.0.async_io(Interest::WRITABLE, send_descriptors)).await?;
        within(self.0.write_all(&message[sent..])).await?;
        if within(self.0.read_u8()).await? != ACCEPTED {
            return Err(HandoverError::Declined);
        }
        if !may_commit() {
            return Err(HandoverError::Ended);
        }
        commit(&self.0)
    }
}

/// Commits a transfer, with no other task between the check before and the caller's next step. One byte fits into an
/// empty send buffer: it is delivered unless the receiver has gone.
fn commit(stream: &UnixStream) -> Result<(), HandoverError> {
    let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
    match rustix::net::send(stream, &[COMMIT], flags).map_err(io::Error::from)? {
        1 => Ok(()),
        _ => Err(HandoverError::Declined),
    }
}

/// Receives streams until the process ends. `ready` says whether there is room for one more; `take` validates a stream
/// and returns the continuation that resumes it.
pub async fn serve(
    listener: UnixListener,
    ready: impl Fn() -> bool + Clone + 'static,
    take: impl Fn(ReceivedStream) -> Option<ResumeStream> + Clone + 'static,
) {
    let transfers = Rc::new(Cell::new(0));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // No descriptor is left; the sender keeps its stream.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (ready, take, transfers) = (ready.clone(), take.clone(), transfers.clone());
        if transfers.get() >= MAX_TRANSFERS || !ready() {
            continue;
        }
        transfers.set(transfers.get() + 1);
        actix_rt::spawn(async move {
            let until = Instant::now() + TRANSFER_TIMEOUT;
            let received = tokio::time::timeout_at(until.into(), receive_stream(&mut stream, take)).await;
            let result = match received {
                Ok(Ok(Some(resume))) => {
                    is_committed(&mut stream, until).await.then(resume).ok_or("slow".to_owned())
                }
                Ok(Ok(None)) => Ok(()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("slow".to_owned()),
            };
            transfers.set(transfers.get() - 1);
            if let Err(reason) = result {
                log!("handover dropped reason=\"{reason}\"");
            }
        });
    }
}

/// Resumes a received stream.
type ResumeStream = Box<dyn FnOnce()>;

/// Whether the sender commits the transfer by `until`. Without a commit the sender still owns the stream, and this
/// process has not touched it. After the timeout this side shuts down reading before it checks a last time, so that a
/// commit is either found here or fails at the sender, even if one of the processes was suspended meanwhile.
async fn is_committed(stream: &mut UnixStream, until: Instant) -> bool {
    if let Ok(letter) = tokio::time::timeout_at(until.into(), stream.read_u8()).await {
        return matches!(letter, Ok(COMMIT));
    }
    if SockRef::from(&*stream).shutdown(Shutdown::Read).is_err() {
        return false;
    }
    let mut letter = [0];
    let found = rustix::net::recv(&*stream, &mut letter, rustix::net::RecvFlags::DONTWAIT);
    matches!(found, Ok((1, _))) && letter == [COMMIT]
}

/// Receives a stream and accepts it; `None` if the sender disconnected without sending one.
async fn receive_stream(
    stream: &mut UnixStream,
    take: impl Fn(ReceivedStream) -> Option<ResumeStream>,
) -> Result<Option<ResumeStream>, HandoverError> {
    stream.write_u8(READY).await?;
    let mut fds = Vec::new();
    let mut message = vec![0; 4096];
    let size =
        stream.async_io(Interest::READABLE, || receive_descriptors(stream, &mut message, &mut fds)).await?;
    if size == 0 {
        return Ok(None);
    }
    message.truncate(size);
    let start = MAGIC.len() + 4;
    while message.len() < start {
        message.push(stream.read_u8().await?);
    }
    let length = u32::from_be_bytes([message[8], message[9], message[10], message[11]]) as usize;
    if message[..MAGIC.len()] != MAGIC || length > MAX_STATE_BYTES || message.len() > start + length {
        return Err(HandoverError::Declined);
    }
    let received = message.len();
    message.resize(start + length, 0);
    stream.read_exact(&mut message[received..]).await?;
    let state: StreamState = serde_json::from_slice(&message[start..]).map_err(io::Error::from)?;
    let mut sockets = fds.into_iter().map(tcp_stream);
    let (Some(client), Some(server), None) = (sockets.next(), sockets.next(), sockets.next()) else {
        return Err(HandoverError::Declined);
    };
    let resume =
        take(ReceivedStream { state, client: client?, server: server? }).ok_or(HandoverError::Declined)?;
    stream.write_u8(ACCEPTED).await?;
    Ok(Some(resume))
}

/// Reads the start of a message and the descriptors passed with it.
fn receive_descriptors(stream: &UnixStream, message: &mut [u8], fds: &mut Vec<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let read = recvmsg(stream, &mut [IoSliceMut::new(message)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    for control_message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = control_message {
            fds.extend(received);
        }
    }
    Ok(read.bytes)
}

/// Turns a descriptor into a TCP connection, if it is a connected stream socket.
fn tcp_stream(fd: OwnedFd) -> io::Result<TcpStream> {
    let socket = Socket::from(fd);
    let connected = socket.r#type()? == Type::STREAM && socket.peer_addr()?.as_socket().is_some();
    if !connected {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::RefCell;

    fn stream_state() -> StreamState {
        let framing = Framing { missing: Some(3), trailer: false, held: Base64Bytes(b"5\r\nab".to_vec()) };
        let (label, class, server) = ("1".to_owned(), "quick".to_owned(), "w1".to_owned());
        let (address, event) = ("127.0.0.1:1".parse().unwrap(), Base64Bytes(b"data: {".to_vec()));
        StreamState {
            label,
            class,
            server,
            address,
            age_ms: 7,
            framing,
            event,
            done: false,
            kept: None,
            used: None,
            bill: None,
        }
    }

    /// What the receiver saw: the states of streams offered, and how many streams were committed.
    type Seen = Rc<RefCell<(Vec<StreamState>, usize)>>;

    async fn start_receiver(name: &str, has_room: bool) -> (Rc<Handover>, Seen, PathBuf) {
        let path = std::env::temp_dir().join(format!("fawnstream-{}-{name}", std::process::id()));
        // An existing file at the path must be replaced.
        std::fs::write(&path, "left by nobody").unwrap();
        let handover = Rc::new(Handover { path: Some(path.clone()), begun: watch::Sender::new(false) });
        let seen = Seen::default();
        let record = seen.clone();
        let take = move |stream: ReceivedStream| {
            record.borrow_mut().0.push(stream.state);
            let record = record.clone();
            let resume: Box<dyn FnOnce()> = Box::new(move || record.borrow_mut().1 += 1);
            Some(resume)
        };
        actix_rt::spawn(serve(handover.listen().unwrap(), move || has_room, take));
        (handover, seen, path)
    }

    async fn connect_ready(path: &PathBuf) -> Successor {
        let mut stream = UnixStream::connect(path).await.unwrap();
        assert_eq!(stream.read_u8().await.unwrap(), READY);
        Successor(stream)
    }

    async fn tcp_pair() -> (TcpStream, TcpStream) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let near = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        (near, listener.accept().await.unwrap().0)
    }

    async fn wait_until(condition: impl Fn() -> bool) {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    #[test]
    fn receives_valid_committed_streams_only() {
        actix_rt::System::new().block_on(async {
            let (handover, seen, path) = start_receiver("whole", true).await;
            let ((client, _near), (server, _far)) = (tcp_pair().await, tcp_pair().await);
            // A process never hands over to itself.
            assert!(matches!(handover.connect().await, Err(HandoverError::NoSuccessor)));
            // The largest event, which arrives in pieces.
            let large = StreamState { event: Base64Bytes(vec![b'x'; 64 * 1024]), ..stream_state() };
            for state in [stream_state(), large] {
                connect_ready(&path).await.send(&state, &client, &server, || true).await.unwrap();
                wait_until(|| {
                    seen.borrow().1 == seen.borrow().0.len() && seen.borrow().0.last() == Some(&state)
                })
                .await;
            }
            assert_eq!(seen.borrow().1, 2);
            // An accepted stream without a commit stays with the sender.
            let body = serde_json::to_vec(&stream_state()).unwrap();
            let whole = [&MAGIC[..], &(body.len() as u32).to_be_bytes(), &body].concat();
            let send = async |bytes: &[u8], fds: usize| {
                let mut successor = connect_ready(&path).await;
                let fds = &[client.as_fd(), server.as_fd()][..fds];
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
                let mut ancillary = SendAncillaryBuffer::new(&mut space);
                ancillary.push(SendAncillaryMessage::ScmRights(fds));
                sendmsg(&successor.0, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL).unwrap();
                successor.0.shutdown().await.unwrap();
                let mut answer = Vec::new();
                let _ = successor.0.read_to_end(&mut answer).await;
                answer
            };
            assert_eq!(send(&whole, 2).await, [ACCEPTED]);
            // A sender that was suspended before its commit fails to write it, and so keeps the stream.
            let mut late = connect_ready(&path).await;
            let fds = [client.as_fd(), server.as_fd()];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            ancillary.push(SendAncillaryMessage::ScmRights(&fds));
            sendmsg(&late.0, &[IoSlice::new(&whole)], &mut ancillary, SendFlags::NOSIGNAL).unwrap();
            assert_eq!(late.0.read_u8().await.unwrap(), ACCEPTED);
            tokio::time::sleep(TRANSFER_TIMEOUT + Duration::from_millis(50)).await;
            assert!(late.0.write_u8(COMMIT).await.is_err());
            assert_eq!(seen.borrow().1, 2);
            seen.borrow_mut().0.pop();
            assert_eq!(seen.borrow().0.len(), 3);
            // Truncated, of another version, too long, without a descriptor, or no state at all: dropped unseen.
            let other_version = [b"fawnHO99", &whole[8..]].concat();
            let too_long = [&MAGIC[..], &u32::MAX.to_be_bytes(), &body].concat();
            let no_state = [&MAGIC[..], &2u32.to_be_bytes(), b"{}"].concat();
            for (bytes, fds) in [
                (&whole[..whole.len() - 1], 2),
                (&other_version, 2),
                (&too_long, 2),
                (&no_state, 2),
                (&whole, 1),
            ] {
                assert!(send(bytes, fds).await.is_empty());
            }
            assert_eq!((seen.borrow().0.len(), seen.borrow().1), (3, 2));
            std::fs::remove_file(path).unwrap();
        });
    }

    /// A commit that arrives just before the timeout is found, and one written later fails at the sender.
    #[test]
    fn commit_is_found_or_fails_at_sender() {
        use std::io::Write as _;
        actix_rt::System::new().block_on(async {
            let (near, mut far) = std::os::unix::net::UnixStream::pair().unwrap();
            far.write_all(&[COMMIT]).unwrap();
            near.set_nonblocking(true).unwrap();
            let mut near = UnixStream::from_std(near).unwrap();
            // The runtime has not polled the socket yet.
            assert!(is_committed(&mut near, Instant::now()).await);
            let (mut near, mut far) = UnixStream::pair().unwrap();
            assert!(!is_committed(&mut near, Instant::now()).await);
            assert!(far.write_u8(COMMIT).await.is_err());
        });
    }

    #[test]
    fn receives_nothing_without_room_or_path() {
        actix_rt::System::new().block_on(async {
            let (_, _, path) = start_receiver("room", false).await;
            let mut stream = UnixStream::connect(&path).await.unwrap();
            assert!(stream.read_u8().await.is_err());
            std::fs::remove_file(path).unwrap();
            let off = Handover::new(false);
            assert!(off.listen().is_none());
            assert!(matches!(off.connect().await, Err(HandoverError::Disabled)));
        });
    }
}
