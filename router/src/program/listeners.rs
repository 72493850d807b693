//! The sockets on which a router listens. All are bound before the first one is served, so that a router that can't
//! have one of them ends without having accepted anything.

use super::RunError;
use crate::clients::ACCEPT_BACKLOG;
use crate::config::Config;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// A router's listening sockets.
pub struct Listeners {
    /// For operators, if they have an address.
    pub operators: Option<BoundListener>,
    /// For clients of the platform's API.
    pub clients: BoundListener,
    /// For clients of the OpenAI-style API, if it is on.
    pub openai: Option<BoundListener>,
    /// For WebSocket connections, if they are on.
    pub websocket: Option<BoundListener>,
}

/// A listening socket and its address.
pub struct BoundListener {
    /// The socket.
    pub listener: TcpListener,
    /// The address.
    pub address: SocketAddr,
}

impl BoundListener {
    fn new(what: &str, listener: std::io::Result<TcpListener>) -> Result<Self, RunError> {
        let bound = listener.and_then(|listener| {
            let address = listener.local_addr()?;
            Ok(BoundListener { listener, address })
        });
        bound.map_err(|error| RunError::Io { what: what.to_owned(), error })
    }

    async fn bind(what: &str, address: SocketAddr) -> Result<Self, RunError> {
        BoundListener::new(&format!("{what} on {address}"), TcpListener::bind(address).await)
    }
}

impl Listeners {
    /// Binds all sockets of a configuration. The one for clients may be inherited.
    pub async fn bind(config: &Config, inherited: Option<std::net::TcpListener>) -> Result<Self, RunError> {
        let inherits = inherited.is_some();
        let operators = match config.mgmt {
            Some(address) => Some(BoundListener::bind("operators", address).await?),
            None => None,
        };
        let clients = match inherited {
            Some(socket) => BoundListener::new("the listener", TcpListener::from_std(socket))?,
            None => BoundListener::bind("listening", config.listen).await?,
        };
        let openai = match &config.openai {
            Some(settings) => Some(BoundListener::bind("listening", settings.listen).await?),
            None => None,
        };
        let websocket = match &config.websocket {
            Some(settings) => {
                let what = format!("listening on {}", settings.listen);
                Some(BoundListener::new(&what, bind_socket(settings.listen, inherits))?)
            }
            None => None,
        };
        Ok(Listeners { operators, clients, openai, websocket })
    }
}

/// Listens on an address that is not inherited. With `share_port`, two processes can listen on it at once during an
/// upgrade, of which the old one stops first. Otherwise a second process fails at its start.
fn bind_socket(address: SocketAddr, share_port: bool) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(share_port)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
