//! The client's side of an answer that continues on a bare socket: it was handed over by another process, or its own
//! hand-over failed. The server library wrote the head; the rest is written here as chunks.

use super::conn::{Conn, WRITE_STALL_TIMEOUT};
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

/// How often the connection of a client that has sent something behind its request is checked for its close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Writes the rest of an answer and closes its connection. The head announced a connection that stays open, so the
/// sending side is closed first and what the client still sends is read.
pub async fn write(shared: Rc<Shared>, mut end: ClientEnd, mut socket: TcpStream) {
    let conn = Conn::new();
    let _registration = shared.register(&conn);
    let _guard = conn.start_request();
    let surrendering = conn.clone();
    end.on_detach_request(move |surrender| surrendering.ask_to_surrender(surrender));
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
                match tokio::time::timeout(WRITE_STALL_TIMEOUT, socket.write_all(&bytes)).await {
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
            () = conn.wake.notified() => {
                if let Some(surrender) = conn.surrender.take().filter(|surrender| !surrender.is_cancelled()) {
                    surrender.accept();
                    drop(end);
                    return surrender.complete(socket);
                }
            }
            () = client_close(&socket) => break "client-closed",
        }
    };
    log!("connection peer=client code={code} carried=true");
}

fn chunk(piece: &Bytes) -> Bytes {
    let mut chunk = format!("{:X}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    Bytes::from(chunk)
}

/// Waits until the client has closed its connection.
async fn client_close(socket: &TcpStream) {
    let mut byte = [0];
    // What the client sends stays unread: the connection closes after this answer.
    while socket.peek(&mut byte).await.is_ok_and(|size| size > 0) {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}
