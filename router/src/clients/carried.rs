//! The client's end of a stream that came from another process, or was to go to one: what is left of its answer is
//! written as chunks, without the server library, whose part of it was the head.

use super::conn::{Conn, TAKES_NOTHING};
use super::listener::linger;
use super::{IncompleteAnswer, Shared};
use crate::exchange::ClientEnd;
use crate::log;
use bytes::Bytes;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// How often a client that has sent something behind its request is looked at.
const LOOK: Duration = Duration::from_millis(100);

/// Writes what is left of an answer, and ends its connection: the client was told that more may come on it, so its
/// end is in order, with the sending side first.
pub async fn write(shared: Rc<Shared>, mut end: ClientEnd, mut socket: TcpStream) {
    let conn = Conn::new();
    let _entered = shared.enter(&conn);
    let _busy = conn.request();
    let asked = conn.clone();
    end.on_detach_request(move |surrender| asked.ask(surrender));
    let code = loop {
        tokio::select! {
            biased;
            piece = poll_fn(|cx| end.poll_chunk(cx)) => {
                let bytes = match piece {
                    Some(Ok(piece)) => chunk(&piece),
                    Some(Err(IncompleteAnswer)) => break "answer-broken",
                    None => Bytes::from_static(b"0\r\n\r\n"),
                };
                let last = bytes.len() == 5;
                match tokio::time::timeout(TAKES_NOTHING, socket.write_all(&bytes)).await {
                    Err(_) => break "slow-client",
                    Ok(Err(_)) => break "reset",
                    Ok(Ok(())) if last => {
                        drop(end);
                        linger(socket, b"").await;
                        return log!("connection peer=client code=closed carried=true");
                    }
                    Ok(Ok(())) => {}
                }
            }
            () = conn.free.notified() => {
                if let Some(asked) = conn.surrender.take().filter(|asked| !asked.is_cancelled()) {
                    asked.accept();
                    drop(end);
                    return asked.complete(socket);
                }
            }
            () = left(&socket) => break "client-closed",
        }
    };
    log!("connection peer=client code={code} carried=true");
}

fn chunk(piece: &Bytes) -> Bytes {
    let mut whole = format!("{:X}\r\n", piece.len()).into_bytes();
    whole.extend_from_slice(piece);
    whole.extend_from_slice(b"\r\n");
    Bytes::from(whole)
}

/// Waits until the client has closed its connection.
async fn left(socket: &TcpStream) {
    let mut byte = [0];
    // What it sends is left unread: the connection is about to end.
    while socket.peek(&mut byte).await.is_ok_and(|size| size > 0) {
        tokio::time::sleep(LOOK).await;
    }
}
