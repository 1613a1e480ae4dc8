//! What all commands share: settings, clients of the store and of the
//! instances, and the output.

use std::io::Write;

use masticreel_base::ids::{Revision, SectionName};
use masticreel_document::records::StoredDocument;
use masticreel_store::document_store::read_document;
use masticreel_store::etcd::EtcdStore;
use serde::Serialize;

use crate::error::CliError;
use crate::operators::InstanceClient;
use crate::settings::Settings;

/// The settings, clients and output of a command.
pub struct Context<'out, Out> {
    /// The settings of this client.
    pub settings: Settings,
    /// The client of the platform's store.
    pub store: EtcdStore,
    /// Sends requests to the instances.
    pub instances: InstanceClient,
    out: &'out mut Out,
    json: bool,
}

impl<'out, Out> Context<'out, Out>
where
    Out: Write,
{
    /// Creates the clients of the store and of the instances from the settings.
    pub fn new(settings: Settings, json: bool, out: &'out mut Out) -> Self {
        let timeout = settings.call_timeout();
        let store = EtcdStore::new(&settings.platform, timeout);
        let instances = InstanceClient::new(&settings.instances, timeout);
        Self { settings, store, instances, out, json }
    }

    /// Prints a result as text, or as JSON if `--json` was given.
    ///
    /// # Errors
    ///
    /// Fails when the output can't be written.
    pub fn print<Value, Render>(&mut self, value: &Value, render: Render) -> Result<(), CliError>
    where
        Value: Serialize,
        Render: FnOnce(&Value) -> String,
    {
        if self.json {
            let text = serde_json::to_string_pretty(value)
                .expect("all printed types can be written as JSON");
            writeln!(self.out, "{text}")?;
        } else {
            write!(self.out, "{}", render(value))?;
        }
        Ok(())
    }

    /// Reads the document from the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or a record in it can't be decoded.
    pub fn read_document(&self) -> Result<StoredDocument, CliError> {
        Ok(read_document(&self.store)?)
    }
}

/// Returns a section's revision and text; revision 0 if it does not exist.
pub fn section_of<'stored>(
    stored: &'stored StoredDocument,
    name: &SectionName,
) -> (Revision, &'stored str) {
    match stored.sections.get(name) {
        Some(section) => (section.record.revision, &section.record.text),
        None => (Revision(0), ""),
    }
}
