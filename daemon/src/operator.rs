//! The port for operators and metrics collectors.

use std::io;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use masticreel_base::cancellation::CancellationToken;
use tiny_http::{Request, Response, Server};

use crate::metrics::Metrics;

/// Time between two looks at the cancellation token.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The status of a path that does not exist.
const NOT_FOUND: u16 = 404;

/// Answers requests for metrics and reports.
pub struct OperatorServer {
    metrics: Metrics,
}

impl OperatorServer {
    /// Creates a server that shows these metrics.
    pub fn new(metrics: Metrics) -> Self {
        Self { metrics }
    }

    /// Answers on a thread of its own until cancelled.
    ///
    /// # Errors
    ///
    /// Fails when the listener can't be used or there is no room for a thread.
    pub fn start(self, listener: TcpListener, cancellation: CancellationToken) -> io::Result<()> {
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new().name("operator".to_owned()).spawn(move || {
            while !cancellation.is_cancelled() {
                if let Ok(Some(request)) = server.recv_timeout(CHECK_INTERVAL) {
                    self.answer(request);
                }
            }
        })?;
        Ok(())
    }

    fn answer(&self, request: Request) {
        // An operator that closed the connection needs no answer.
        let _ = match request.url() {
            "/metrics" => request.respond(Response::from_string(self.metrics.render())),
            _ => {
                request.respond(Response::from_string("no such page\n").with_status_code(NOT_FOUND))
            }
        };
    }
}
