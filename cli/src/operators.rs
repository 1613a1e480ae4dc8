//! The client of the HTTP endpoints that instances have for operators.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use masticreel_document::document::Document;
use masticreel_document::wire::WireDocument;
use masticreel_report::operators::{DOCUMENT_PATH, SIGNATURE_HEADER};
use masticreel_store::http::http_client;
use masticreel_wire::frame::SharedKey;
use masticreel_wire::signature::sign;
use serde::de::DeserializeOwned;

/// Why a request to the instances failed.
#[derive(Debug, Display)]
pub enum InstanceError {
    /// the settings name no instances
    NoneNamed,
    /// request to instance {0} failed: {1}
    NoAnswer(SocketAddr, String),
}

impl std::error::Error for InstanceError {}

/// Sends HTTP requests to one instance after the other until one succeeds.
pub struct InstanceClient {
    client: ureq::Agent,
    addresses: Vec<SocketAddr>,
}

impl InstanceClient {
    /// Creates a client that tries the addresses in order; the timeout applies to
    /// each request.
    pub fn new(addresses: &[SocketAddr], timeout: Duration) -> Self {
        Self { client: http_client(timeout), addresses: addresses.to_vec() }
    }

    /// Requests a path from the first instance whose response is valid.
    ///
    /// # Errors
    ///
    /// Fails with the last instance's error when none returns a valid response.
    pub fn get<Response>(&self, path: &str) -> Result<Response, InstanceError>
    where
        Response: DeserializeOwned,
    {
        self.try_each(|address| self.get_from(address, path))
    }

    /// Requests a path from one instance.
    ///
    /// # Errors
    ///
    /// Fails when the request fails, is rejected, or the response is malformed.
    pub fn get_from<Response>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Response, InstanceError>
    where
        Response: DeserializeOwned,
    {
        self.client
            .get(&format!("http://{address}{path}"))
            .call()
            .and_then(|mut response| response.body_mut().read_json())
            .map_err(|error| InstanceError::NoAnswer(address, error.to_string()))
    }

    /// Sends the document that the store has, signed with the shared key, to the
    /// first instance that accepts it. That instance distributes it to the others.
    ///
    /// # Errors
    ///
    /// Fails with the last instance's error when none accepts it.
    pub fn send_document(&self, document: &Document, key: &SharedKey) -> Result<(), InstanceError> {
        let body = serde_json::to_vec(&WireDocument::from(document))
            .expect("a document can be written as JSON");
        let signature = sign(key, &body);
        self.try_each(|address| {
            self.client
                .post(&format!("http://{address}{DOCUMENT_PATH}"))
                .header(SIGNATURE_HEADER, &signature)
                .send(&body[..])
                .map(drop)
                .map_err(|error| InstanceError::NoAnswer(address, error.to_string()))
        })
    }

    fn try_each<Response, Request>(&self, request: Request) -> Result<Response, InstanceError>
    where
        Request: Fn(SocketAddr) -> Result<Response, InstanceError>,
    {
        let mut last = InstanceError::NoneNamed;
        for address in &self.addresses {
            match request(*address) {
                Ok(response) => return Ok(response),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
