//! Asks instances on their operators' port.

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

/// A client of the operators' ports of some instances.
pub struct Operators {
    agent: ureq::Agent,
    addresses: Vec<SocketAddr>,
}

impl Operators {
    /// Creates a client that asks the first instance that answers.
    pub fn new(addresses: &[SocketAddr], timeout: Duration) -> Self {
        Self { agent: agent(timeout), addresses: addresses.to_vec() }
    }

    /// Asks for what a path answers.
    ///
    /// # Errors
    ///
    /// Fails with the last instance's fault when none answers.
    pub fn get<Answer>(&self, path: &str) -> Result<Answer, OperatorsError>
    where
        Answer: DeserializeOwned,
    {
        self.first_answer(|address| self.get_from(address, path))
    }

    /// Asks one instance for what a path answers.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not answer.
    pub fn get_from<Answer>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Answer, OperatorsError>
    where
        Answer: DeserializeOwned,
    {
        self.agent
            .get(&format!("http://{address}{path}"))
            .call()
            .and_then(|mut response| response.body_mut().read_json())
            .map_err(|error| OperatorsError::NoAnswer(address, error.to_string()))
    }

    /// Hands an accepted document to an instance, which spreads it.
    ///
    /// # Errors
    ///
    /// Fails with the last instance's fault when none takes it.
    pub fn hand_over(&self, document: &Document, key: &SharedKey) -> Result<(), OperatorsError> {
        let body = serde_json::to_vec(&WireDocument::from(document))
            .expect("documents have string keys only");
        let signature = sign(key, &body);
        self.first_answer(|address| {
            self.agent
                .post(&format!("http://{address}{DOCUMENT_PATH}"))
                .header(SIGNATURE_HEADER, &signature)
                .send(&body[..])
                .map(drop)
                .map_err(|error| OperatorsError::NoAnswer(address, error.to_string()))
        })
    }

    fn first_answer<Answer, Ask>(&self, ask: Ask) -> Result<Answer, OperatorsError>
    where
        Ask: Fn(SocketAddr) -> Result<Answer, OperatorsError>,
    {
        let mut last = OperatorsError::NoneNamed;
        for address in &self.addresses {
            match ask(*address) {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
