//! The HTTP server of the stand-ins for the store and the list of instances.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// A running HTTP server with a thread for each request; it stops when dropped.
pub struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("HttpServer").field("address", &self.address).finish()
    }
}

impl HttpServer {
    /// Starts a server that calls the handler for each request.
    ///
    /// # Errors
    ///
    /// Fails when the server can't listen.
    pub fn start<Handler>(listen: SocketAddr, handler: Handler) -> io::Result<Self>
    where
        Handler: Fn(Request) + Send + Sync + 'static,
    {
        let server = Arc::new(Server::http(listen).map_err(io::Error::other)?);
        let address = server.server_addr().to_ip().expect("the server listens on an IP address");
        let handler = Arc::new(handler);
        let acceptor = {
            let server = Arc::clone(&server);
            std::thread::spawn(move || {
                // `Server::unblock`, called on drop, makes `recv` return an error.
                while let Ok(request) = server.recv() {
                    let handler = Arc::clone(&handler);
                    std::thread::spawn(move || handler(request));
                }
            })
        };
        Ok(Self { server, address, acceptor: Some(acceptor) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().expect("the accepting thread does not panic");
        }
    }
}

/// Answers a request with JSON.
pub fn respond_json<Body>(request: Request, status: u16, body: &Body)
where
    Body: Serialize,
{
    let text = serde_json::to_string(body).expect("plain data can be written as JSON");
    let header = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let response = Response::from_string(text).with_status_code(status).with_header(header);
    // The client may have disconnected; then no response is needed.
    let _ = request.respond(response);
}
