//! Probes whether a server's process is running, on the connection that is to carry a repeat.
//!
//! The probe is a release for a request that does not exist: every server answers it with 204, and it has no effect.
//! Only a running process answers, and it also reads what follows right after the answer, unless it stops in between.

use super::link::ServerConnection;
use super::read_small_body;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use std::net::SocketAddr;

/// Why a probe failed.
pub(super) enum ProbeError {
    /// No connection came up.
    NoConnection(SendRequestError),
    /// The connection ended, or the answer was not 204.
    NoAnswer,
}

/// Returns when the server has answered. Has no timeout of its own.
pub(super) async fn probe(
    connection: &ServerConnection,
    address: SocketAddr,
    label: &str,
) -> Result<(), ProbeError> {
    connection.prepare_request();
    connection.set_close_code("no-sign-of-life");
    connection.dialer().dial().await.map_err(ProbeError::NoConnection)?;
    let uri = format!("http://{address}/bootstrap/rooms/{:016x}", unknown_request_id(label));
    let mut answer = connection.client.delete(uri).send().await.map_err(|_| ProbeError::NoAnswer)?;
    let complete = read_small_body(&mut answer).await.is_some();
    if complete && answer.status() == StatusCode::NO_CONTENT { Ok(()) } else { Err(ProbeError::NoAnswer) }
}

/// An id that no client sends. It is derived from the id of the probed request, so that no two probes share one.
fn unknown_request_id(label: &str) -> u64 {
    crate::names::hash(&format!("whether its server runs: {label}"))
}
