//! The HTTP port for operators and metrics collectors.

pub mod endpoints;
pub mod view;

use std::io::{self, Read as _};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Sender, unbounded};
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::Clock;
use masticreel_report::operators::{
    DOCUMENT_PATH, GROUPS_PATH, INSTANCES_PATH, REPORT_PATH, SIGNATURE_HEADER, STATUS_PATH,
};
use serde::Serialize;
use tiny_http::{Method, Request, Response, Server};

use crate::metrics::Metrics;
use crate::operator::endpoints::{OperatorEndpoints, PostRefusal};
use crate::operator::view::ReportSource;

/// Interval between checks of the cancellation token.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const OK: u16 = 200;
const UNPROCESSABLE: u16 = 422;
const FORBIDDEN: u16 = 403;
const NOT_FOUND: u16 = 404;
/// Number of threads that receive posted documents.
const POST_THREADS: usize = 4;
/// Largest posted document, in bytes.
const MAX_POST_BYTES: u64 = 64 * 1024 * 1024;

/// Answers HTTP requests for metrics and reports, and receives documents.
pub struct OperatorServer<Reports, Time> {
    metrics: Metrics,
    endpoints: OperatorEndpoints<Reports, Time>,
}

impl<Reports, Time> OperatorServer<Reports, Time>
where
    Reports: ReportSource,
    Time: Clock,
{
    /// Creates a server for these metrics and endpoints.
    pub fn new(metrics: Metrics, endpoints: OperatorEndpoints<Reports, Time>) -> Self {
        Self { metrics, endpoints }
    }

    /// Answers on threads of its own until cancelled.
    ///
    /// Posted documents are received on separate threads, since a client that stalls in
    /// the middle of one must not delay other clients' reports. Even a refusal is
    /// delayed by one: the HTTP library reads the rest of a request's body before it
    /// responds.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used or a thread can't be started.
    pub fn start(self, listener: TcpListener, cancellation: CancellationToken) -> io::Result<()> {
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let (posts, receiver) = unbounded();
        let this = Arc::new(self);
        for _ in 0..POST_THREADS {
            let (this, receiver) = (this.clone(), receiver.clone());
            thread::Builder::new().name("operator-posts".to_owned()).spawn(move || {
                for request in receiver {
                    this.receive_document(request);
                }
            })?;
        }
        thread::Builder::new().name("operator".to_owned()).spawn(move || {
            while !cancellation.is_cancelled() {
                if let Ok(Some(request)) = server.recv_timeout(CHECK_INTERVAL) {
                    this.answer(request, &posts);
                }
            }
        })?;
        Ok(())
    }

    fn answer(&self, request: Request, posts: &Sender<Request>) {
        let path = request.url().split('?').next().unwrap_or_default().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/metrics") => respond(request, OK, self.metrics.render()),
            (Method::Get, STATUS_PATH) => respond_json(request, &self.endpoints.status()),
            (Method::Get, INSTANCES_PATH) => respond_json(request, &self.endpoints.fleet.members()),
            (Method::Get, GROUPS_PATH) => respond_json(request, &self.endpoints.fleet.groups()),
            (Method::Get, REPORT_PATH) => respond_json(request, &self.endpoints.levels()),
            (Method::Get, DOCUMENT_PATH) => respond_json(request, &self.endpoints.document()),
            (Method::Post, DOCUMENT_PATH) => {
                // An error means that the instance stops.
                let _ = posts.send(request);
            }
            _ => respond(request, NOT_FOUND, "no such page\n".to_owned()),
        }
    }

    fn receive_document(&self, mut request: Request) {
        let signature = request
            .headers()
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(SIGNATURE_HEADER))
            .map(|header| header.value.to_string())
            .unwrap_or_default();
        let mut body = Vec::new();
        if request.as_reader().take(MAX_POST_BYTES).read_to_end(&mut body).is_err() {
            // The client has disconnected.
            return;
        }
        match self.endpoints.post_document(&body, &signature) {
            Ok(()) => respond(request, OK, "taken\n".to_owned()),
            Err(PostRefusal::Unsigned) => {
                respond(request, FORBIDDEN, "the signature is missing or wrong\n".to_owned());
            }
            Err(PostRefusal::Invalid) => {
                respond(request, UNPROCESSABLE, "the document is faulty\n".to_owned());
            }
        }
    }
}

fn respond_json<Value>(request: Request, value: &Value)
where
    Value: Serialize,
{
    let text = serde_json::to_string(value).expect("reports have string keys only");
    respond(request, OK, text);
}

fn respond(request: Request, status: u16, text: String) {
    // An error means that the client has disconnected.
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}
