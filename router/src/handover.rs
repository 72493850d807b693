//! Handing a stream over to the process that took the clients' socket, shortly before this one is killed: its two
//! connections as descriptors over a Unix socket in `$TMPDIR`, with the little state that a stream has. What comes
//! from there is never trusted: it is read within bounds and checked whole, and a stream belongs to who offers it
//! until the other side has said that it can go on with it.

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

/// The name in `$TMPDIR`. The process that started last binds it anew.
const NAME: &str = "fawnstream.handover";
/// What a message begins with; the number is the form's version.
const MAGIC: [u8; 8] = *b"fawnHO01";
/// A message is no longer than this: a chunk and an event, each of 64 KiB at most, in base64.
const LARGEST: usize = 512 * 1024;
/// The other side answers in this time, or the stream stays where it is.
const ANSWER: Duration = Duration::from_millis(200);
/// An offer is there whole, and its word to go on, in this time; its stream stands still meanwhile.
const OFFER: Duration = Duration::from_millis(500);
/// Offers looked at at once.
const MOST_OFFERS: usize = 64;
/// Both sides say one letter at a time.
const READY: u8 = b'r';
const CAN: u8 = b'y';
const GO: u8 = b'g';

/// Bytes, as text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Base64Bytes(pub Vec<u8>);

impl From<Base64Bytes> for String {
    fn from(text: Base64Bytes) -> String {
        BASE64_STANDARD.encode(text.0)
    }
}

impl TryFrom<String> for Base64Bytes {
    type Error = base64::DecodeError;
    fn try_from(text: String) -> Result<Base64Bytes, base64::DecodeError> {
        BASE64_STANDARD.decode(text).map(Base64Bytes)
    }
}

/// Where a server's framing stands between two chunks handed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Framing {
    /// What is missing of a chunk; none in a line.
    pub missing: Option<usize>,
    /// The last chunk has begun.
    pub trailer: bool,
    /// A part that waits for the rest.
    pub held: Base64Bytes,
}

/// What a request is billed by, where a usage ledger is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BillingDetails {
    /// What joins its tries.
    pub ask: u64,
    /// Whose it is.
    pub tenant: String,
    /// When it came, in Unix time.
    pub came_ms: u64,
    /// The prompt's tokens as it told them.
    pub prompt: f64,
}

/// A stream between two of its chunks, besides its connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamState {
    /// The request's id.
    pub label: String,
    /// Its class, by name.
    pub class: String,
    /// The server's name and address.
    pub server: String,
    /// See there.
    pub address: SocketAddr,
    /// How long ago the request came.
    pub age_ms: u64,
    /// The server's framing.
    pub framing: Framing,
    /// An event that has not ended.
    pub event: Base64Bytes,
    /// The final event has come.
    pub done: bool,
    /// Prompt tokens found kept.
    pub kept: Option<f64>,
    /// What its server has said that it used.
    #[serde(default)]
    pub used: Option<Tokens>,
    /// What it is billed by.
    #[serde(default)]
    pub bill: Option<BillingDetails>,
}

/// A stream that came from another process.
pub struct ReceivedStream {
    /// What is known of it.
    pub state: StreamState,
    /// Its client's connection.
    pub client: TcpStream,
    /// Its server's connection.
    pub server: TcpStream,
}

/// Why a stream stays where it is.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// Nothing is handed over here.
    #[error("off")]
    Disabled,
    /// No other process took the socket.
    #[error("no-successor")]
    NoSuccessor,
    /// The other process does not take it, or made no sense.
    #[error("not-taken")]
    Declined,
    /// The way there is broken.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// When streams go, and where to.
pub struct Handover {
    path: Option<PathBuf>,
    due: watch::Sender<bool>,
}

impl Handover {
    /// Off without an inherited socket, or without `$TMPDIR`.
    pub fn new(inherited: bool) -> Rc<Self> {
        let folder = std::env::var_os("TMPDIR").filter(|_| inherited);
        Rc::new(Handover {
            path: folder.map(|at| PathBuf::from(at).join(NAME)),
            due: watch::Sender::new(false),
        })
    }

    /// From now on streams go as soon as they can.
    pub fn begin(&self) {
        self.due.send_replace(self.path.is_some());
    }

    /// Waits until streams go.
    pub async fn started(&self) {
        let _ = self.due.subscribe().wait_for(|due| *due).await;
    }

    /// Takes the path, whatever stands there: what an earlier process left is nobody's. None where streams are not
    /// taken over; that costs only what SIGKILL cuts off.
    pub fn listen(&self) -> Option<UnixListener> {
        let path = self.path.as_ref()?;
        let _ = std::fs::remove_file(path);
        UnixListener::bind(path).map_err(|error| log!("handover off error=\"{error}\"")).ok()
    }

    /// Asks the process that took the socket whether it takes a stream.
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

async fn within<T>(done: impl Future<Output = io::Result<T>>) -> Result<T, HandoverError> {
    match tokio::time::timeout(ANSWER, done).await {
        Ok(done) => Ok(done?),
        Err(_) => Err(HandoverError::Declined),
    }
}

/// A process that is ready to take a stream.
pub struct Successor(UnixStream);

impl Successor {
    /// Hands a stream over. After an error it is still the caller's, and the other side has let go of it.
    pub async fn send(
        mut self,
        form: &StreamState,
        client: &TcpStream,
        server: &TcpStream,
    ) -> Result<(), HandoverError> {
        let body = serde_json::to_vec(form).map_err(io::Error::from)?;
        let mut message = MAGIC.to_vec();
        message.extend_from_slice(
            &u32::try_from(body.len()).map_err(|_| HandoverError::Declined)?.to_be_bytes(),
        );
        message.extend_from_slice(&body);
        let fds = [client.as_fd(), server.as_fd()];
        let first = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut with = SendAncillaryBuffer::new(&mut space);
            with.push(SendAncillaryMessage::ScmRights(&fds));
            Ok(sendmsg(&self.0, &[IoSlice::new(&message)], &mut with, SendFlags::NOSIGNAL)?)
        };
        let sent = within(self.0.async_io(Interest::WRITABLE, first)).await?;
        within(self.0.write_all(&message[sent..])).await?;
        if within(self.0.read_u8()).await? != CAN {
            return Err(HandoverError::Declined);
        }
        // One byte into an empty buffer: it is there, or the other side has gone.
        within(self.0.write_u8(GO)).await
    }
}

/// Takes streams for ever: `ready` says whether one more can be, `take` goes on with it.
pub async fn serve(
    listener: UnixListener,
    ready: impl Fn() -> bool + Clone + 'static,
    take: impl Fn(ReceivedStream) -> Option<ResumeStream> + Clone + 'static,
) {
    let offers = Rc::new(Cell::new(0));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // No descriptor is left: the other side keeps its stream.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (ready, take, offers) = (ready.clone(), take.clone(), offers.clone());
        if offers.get() >= MOST_OFFERS || !ready() {
            continue;
        }
        offers.set(offers.get() + 1);
        actix_rt::spawn(async move {
            let until = Instant::now() + OFFER;
            let offered = tokio::time::timeout_at(until.into(), offer(&mut stream, take)).await;
            let taken = match offered {
                Ok(Ok(Some(go))) => is_told_to_go(&mut stream, until).await.then(go).ok_or("slow".to_owned()),
                Ok(Ok(None)) => Ok(()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("slow".to_owned()),
            };
            offers.set(offers.get() - 1);
            if let Err(reason) = taken {
                log!("handover dropped reason=\"{reason}\"");
            }
        });
    }
}

/// Goes on with a stream that was offered.
type ResumeStream = Box<dyn FnOnce()>;

/// Whether the other side says, by then, that the stream goes on here. Without that word it is still the other side's, and
/// nothing here has touched it. When the time is over this side stops reading before it looks once more: a word is either
/// found here or refused to who writes it, also where either process stood still meanwhile.
async fn is_told_to_go(stream: &mut UnixStream, until: Instant) -> bool {
    if let Ok(word) = tokio::time::timeout_at(until.into(), stream.read_u8()).await {
        return matches!(word, Ok(GO));
    }
    if SockRef::from(&*stream).shutdown(Shutdown::Read).is_err() {
        return false;
    }
    let mut word = [0];
    let found = rustix::net::recv(&*stream, &mut word, rustix::net::RecvFlags::DONTWAIT);
    matches!(found, Ok((1, _))) && word == [GO]
}

/// Reads an offer and says that its stream can go on here; none if the other side only asked.
async fn offer(
    stream: &mut UnixStream,
    take: impl Fn(ReceivedStream) -> Option<ResumeStream>,
) -> Result<Option<ResumeStream>, HandoverError> {
    stream.write_u8(READY).await?;
    let mut fds = Vec::new();
    let mut message = vec![0; 4096];
    let size = stream.async_io(Interest::READABLE, || receive(stream, &mut message, &mut fds)).await?;
    if size == 0 {
        return Ok(None);
    }
    message.truncate(size);
    let start = MAGIC.len() + 4;
    while message.len() < start {
        message.push(stream.read_u8().await?);
    }
    let length = u32::from_be_bytes([message[8], message[9], message[10], message[11]]) as usize;
    if message[..MAGIC.len()] != MAGIC || length > LARGEST || message.len() > start + length {
        return Err(HandoverError::Declined);
    }
    let came = message.len();
    message.resize(start + length, 0);
    stream.read_exact(&mut message[came..]).await?;
    let form: StreamState = serde_json::from_slice(&message[start..]).map_err(io::Error::from)?;
    let mut sockets = fds.into_iter().map(tcp);
    let (Some(client), Some(server), None) = (sockets.next(), sockets.next(), sockets.next()) else {
        return Err(HandoverError::Declined);
    };
    let go =
        take(ReceivedStream { state: form, client: client?, server: server? }).ok_or(HandoverError::Declined)?;
    stream.write_u8(CAN).await?;
    Ok(Some(go))
}

/// Reads the start of a message, with the descriptors that came along.
fn receive(stream: &UnixStream, message: &mut [u8], fds: &mut Vec<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut with = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(stream, &mut [IoSliceMut::new(message)], &mut with, RecvFlags::CMSG_CLOEXEC)?;
    for told in with.drain() {
        if let RecvAncillaryMessage::ScmRights(came) = told {
            fds.extend(came);
        }
    }
    Ok(got.bytes)
}

/// A descriptor as a connection, if it is one.
fn tcp(fd: OwnedFd) -> io::Result<TcpStream> {
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

    fn form() -> StreamState {
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

    /// What the taking side saw: forms offered, and how many it was told to go on with.
    type Seen = Rc<RefCell<(Vec<StreamState>, usize)>>;

    async fn taking(name: &str, room: bool) -> (Rc<Handover>, Seen, PathBuf) {
        let path = std::env::temp_dir().join(format!("fawnstream-{}-{name}", std::process::id()));
        // Whatever stands there is no hindrance.
        std::fs::write(&path, "left by nobody").unwrap();
        let handover = Rc::new(Handover { path: Some(path.clone()), due: watch::Sender::new(false) });
        let seen = Seen::default();
        let noted = seen.clone();
        let take = move |carried: ReceivedStream| {
            noted.borrow_mut().0.push(carried.state);
            let noted = noted.clone();
            let go: Box<dyn FnOnce()> = Box::new(move || noted.borrow_mut().1 += 1);
            Some(go)
        };
        actix_rt::spawn(serve(handover.listen().unwrap(), move || room, take));
        (handover, seen, path)
    }

    async fn ready(path: &PathBuf) -> Successor {
        let mut stream = UnixStream::connect(path).await.unwrap();
        assert_eq!(stream.read_u8().await.unwrap(), READY);
        Successor(stream)
    }

    async fn pair() -> (TcpStream, TcpStream) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let near = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        (near, listener.accept().await.unwrap().0)
    }

    async fn until(done: impl Fn() -> bool) {
        while !done() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    #[test]
    fn a_stream_is_taken_whole_or_not_at_all() {
        actix_rt::System::new().block_on(async {
            let (handover, seen, path) = taking("whole", true).await;
            let ((client, _near), (server, _far)) = (pair().await, pair().await);
            // A process never hands over to itself.
            assert!(matches!(handover.connect().await, Err(HandoverError::NoSuccessor)));
            // Large as it may get, and in pieces.
            let large = StreamState { event: Base64Bytes(vec![b'x'; 64 * 1024]), ..form() };
            for form in [form(), large] {
                ready(&path).await.send(&form, &client, &server).await.unwrap();
                until(|| seen.borrow().1 == seen.borrow().0.len() && seen.borrow().0.last() == Some(&form))
                    .await;
            }
            assert_eq!(seen.borrow().1, 2);
            // Without the last word it is still the other side's.
            let body = serde_json::to_vec(&form()).unwrap();
            let whole = [&MAGIC[..], &(body.len() as u32).to_be_bytes(), &body].concat();
            let send = async |bytes: &[u8], fds: usize| {
                let mut call = ready(&path).await;
                let fds = &[client.as_fd(), server.as_fd()][..fds];
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
                let mut with = SendAncillaryBuffer::new(&mut space);
                with.push(SendAncillaryMessage::ScmRights(fds));
                sendmsg(&call.0, &[IoSlice::new(bytes)], &mut with, SendFlags::NOSIGNAL).unwrap();
                call.0.shutdown().await.unwrap();
                let mut answer = Vec::new();
                let _ = call.0.read_to_end(&mut answer).await;
                answer
            };
            assert_eq!(send(&whole, 2).await, [CAN]);
            // A side that stood still between that answer and its word is told that the stream is its own.
            let mut late = ready(&path).await;
            let fds = [client.as_fd(), server.as_fd()];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut with = SendAncillaryBuffer::new(&mut space);
            with.push(SendAncillaryMessage::ScmRights(&fds));
            sendmsg(&late.0, &[IoSlice::new(&whole)], &mut with, SendFlags::NOSIGNAL).unwrap();
            assert_eq!(late.0.read_u8().await.unwrap(), CAN);
            tokio::time::sleep(OFFER + Duration::from_millis(50)).await;
            assert!(late.0.write_u8(GO).await.is_err());
            assert_eq!(seen.borrow().1, 2);
            seen.borrow_mut().0.pop();
            assert_eq!(seen.borrow().0.len(), 3);
            // Torn, of another version, too long, without its connections, or no form at all: nobody hears of it.
            let other = [b"fawnHO99", &whole[8..]].concat();
            let long = [&MAGIC[..], &u32::MAX.to_be_bytes(), &body].concat();
            let none = [&MAGIC[..], &2u32.to_be_bytes(), b"{}"].concat();
            for (bytes, fds) in
                [(&whole[..whole.len() - 1], 2), (&other, 2), (&long, 2), (&none, 2), (&whole, 1)]
            {
                assert!(send(bytes, fds).await.is_empty());
            }
            assert_eq!((seen.borrow().0.len(), seen.borrow().1), (3, 2));
            std::fs::remove_file(path).unwrap();
        });
    }

    /// A word that crosses the end of the time is found, and one that comes later is refused to who writes it.
    #[test]
    fn a_word_is_found_or_refused() {
        use std::io::Write as _;
        actix_rt::System::new().block_on(async {
            let (near, mut far) = std::os::unix::net::UnixStream::pair().unwrap();
            far.write_all(&[GO]).unwrap();
            near.set_nonblocking(true).unwrap();
            let mut near = UnixStream::from_std(near).unwrap();
            // The runtime has not seen yet that something stands there.
            assert!(is_told_to_go(&mut near, Instant::now()).await);
            let (mut near, mut far) = UnixStream::pair().unwrap();
            assert!(!is_told_to_go(&mut near, Instant::now()).await);
            assert!(far.write_u8(GO).await.is_err());
        });
    }

    #[test]
    fn without_room_or_without_a_path_nothing_is_taken() {
        actix_rt::System::new().block_on(async {
            let (_, _, path) = taking("room", false).await;
            let mut stream = UnixStream::connect(&path).await.unwrap();
            assert!(stream.read_u8().await.is_err());
            std::fs::remove_file(path).unwrap();
            let off = Handover::new(false);
            assert!(off.listen().is_none());
            assert!(matches!(off.connect().await, Err(HandoverError::Disabled)));
        });
    }
}
