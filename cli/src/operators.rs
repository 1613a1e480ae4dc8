//! HTTP client of the instances' operator ports.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use masticreel_document::document::Document;
use masticreel_document::wire::WireDocument;
use masticreel_report::operators::{DOCUMENT_PATH, SIGNATURE_HEADER};
use masticreel_store::http::agent;
use masticreel_wire::frame::SharedKey;
use masticreel_wire::signature::sign;
use serde::de::DeserializeOwned;

/// Why no instance answered.
#[derive(Debug, Display)]
pub enum OperatorsError {
    /// the settings name no instances
    NoneNamed,
    /// instance {0} did not answer: {1}
    NoAnswer(SocketAddr, String),
}

impl std::error::Error for OperatorsError {}

/// An HTTP client of the operator ports of some instances.
///
/// Requests are sent to one instance after the other until one answers.
pub struct OperatorsClient {
    agent: ureq::Agent,
    addresses: Vec<SocketAddr>,
}

impl OperatorsClient {
    /// Creates a client that tries the addresses in order; the timeout applies to
    /// each request.
    pub fn new(addresses: &[SocketAddr], timeout: Duration) -> Self {
        Self { agent: agent(timeout), addresses: addresses.to_vec() }
    }

    /// Requests a path from the first instance that answers.
    ///
    /// # Errors
    ///
    /// Fails with the last instance's error when none answers.
    pub fn get<Response>(&self, path: &str) -> Result<Response, OperatorsError>
    where
        Response: DeserializeOwned,
    {
        self.try_each(|address| self.get_from(address, path))
    }

    /// Requests a path from one instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub fn get_from<Response>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Response, OperatorsError>
    where
        Response: DeserializeOwned,
    {
        self.agent
            .get(&format!("http://{address}{path}"))
            .call()
            .and_then(|mut response| response.body_mut().read_json())
            .map_err(|error| OperatorsError::NoAnswer(address, error.to_string()))
    }

    /// Sends an accepted document, signed with the shared key, to the first
    /// instance that accepts it. That instance distributes it to the others.
    ///
    /// # Errors
    ///
    /// Fails with the last instance's error when none accepts it.
    pub fn send_document(
        &self,
        document: &Document,
        key: &SharedKey,
    ) -> Result<(), OperatorsError> {
        let body = serde_json::to_vec(&WireDocument::from(document))
            .expect("documents have string keys only");
        let signature = sign(key, &body);
        self.try_each(|address| {
            self.agent
                .post(&format!("http://{address}{DOCUMENT_PATH}"))
                .header(SIGNATURE_HEADER, &signature)
                .send(&body[..])
                .map(drop)
                .map_err(|error| OperatorsError::NoAnswer(address, error.to_string()))
        })
    }

    fn try_each<Response, Request>(&self, request: Request) -> Result<Response, OperatorsError>
    where
        Request: Fn(SocketAddr) -> Result<Response, OperatorsError>,
    {
        let mut last = OperatorsError::NoneNamed;
        for address in &self.addresses {
            match request(*address) {
                Ok(response) => return Ok(response),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
