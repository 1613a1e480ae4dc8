//! A platform store and a database group inside the process of an instance, for
//! trying masticreel out.
//!
//! The store and the upstream servers are simulated in memory by `masticreel_standins`;
//! their data is lost when the process ends.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::clock::SystemClock;
use masticreel_base::ids::Revision;
use masticreel_document::edit::{EditOutcome, EditRequest};
use masticreel_standins::store::{Store, StoreSettings};
use masticreel_standins::upstream::{InitialRole, Upstream, UpstreamSettings};
use masticreel_store::editor::{EditTiming, Editor};
use masticreel_store::etcd::EtcdStore;

use crate::settings::{InstanceSettings, LimitSettings, LogSettings, PlatformSettings, Settings};

/// The failure domains of the embedded servers, one server in each.
const FAILURE_DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Time between a replica's durable write of a log entry and its application.
const APPLY_LAG: Duration = Duration::from_millis(50);
/// The database that callers connect to.
pub const DATABASE: &str = "app";
/// How long the first edit of the document may take.
const EDIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Backoff after a failed call to the store.
const EDIT_BACKOFF: Duration = Duration::from_millis(100);
/// How long a call to the store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// The error of an embedded system that can't start.
#[derive(Debug, Display)]
pub enum EmbeddedError {
    /// a stand-in can't start: {0}
    StandIn(io::Error),
    /// the embedded document was not accepted: {0}
    Document(String),
}

impl std::error::Error for EmbeddedError {}

impl From<io::Error> for EmbeddedError {
    fn from(error: io::Error) -> Self {
        Self::StandIn(error)
    }
}

/// The store and the servers of an embedded system; they stop when dropped.
pub struct EmbeddedPlatform {
    store: Store,
    _upstreams: Vec<Upstream>,
}

impl EmbeddedPlatform {
    /// Starts a store and a database group, and writes the document.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in can't listen or the document is not accepted.
    pub fn start() -> Result<Self, EmbeddedError> {
        let store = Store::start(&StoreSettings::default())?;
        let upstreams = start_upstreams()?;
        let addresses: Vec<SocketAddr> = upstreams.iter().map(Upstream::address).collect();
        write_document(&store, &document_text(&addresses))?;
        Ok(Self { store, _upstreams: upstreams })
    }

    /// Returns settings for an instance that serves the embedded group.
    pub fn settings(&self, caller_address: SocketAddr) -> Settings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            instance: InstanceSettings {
                name: "embedded".into(),
                failure_domain: FAILURE_DOMAINS[0].into(),
                caller_address,
                peer_address: any_port,
                operator_address: any_port,
                shared_key: "embedded".into(),
            },
            platform: PlatformSettings::new(&endpoint(&self.store)),
            peers: Vec::new(),
            limits: LimitSettings::default(),
            log: LogSettings::default(),
        }
    }
}

fn endpoint(store: &Store) -> String {
    format!("http://{}", store.address())
}

fn start_upstreams() -> io::Result<Vec<Upstream>> {
    let primary = Upstream::start(upstream_settings(0, InitialRole::Primary))?;
    let replica_role = InitialRole::Replica { primary: Some(primary.address()) };
    let mut upstreams = vec![primary];
    for number in 1..FAILURE_DOMAINS.len() {
        upstreams.push(Upstream::start(upstream_settings(number, replica_role.clone()))?);
    }
    Ok(upstreams)
}

fn upstream_settings(number: usize, initial_role: InitialRole) -> UpstreamSettings {
    UpstreamSettings {
        name: server_name(number),
        initial_role,
        apply_lag: APPLY_LAG,
        ..UpstreamSettings::default()
    }
}

fn server_name(number: usize) -> String {
    format!("{DATABASE}-{number}")
}

fn document_text(addresses: &[SocketAddr]) -> String {
    let mut text = format!("[[groups]]\nname = \"{DATABASE}\"\ndatabase = \"{DATABASE}\"\n");
    for (number, (address, domain)) in addresses.iter().zip(FAILURE_DOMAINS).enumerate() {
        let name = server_name(number);
        text.push_str(&format!(
            "\n[[groups.servers]]\nname = \"{name}\"\naddress = \"{address}\"\n\
             failure_domain = \"{domain}\"\n"
        ));
    }
    text
}

fn write_document(store: &Store, text: &str) -> Result<(), EmbeddedError> {
    let timing = EditTiming { timeout: EDIT_TIMEOUT, retry_backoff: EDIT_BACKOFF };
    let client = EtcdStore::new(&endpoint(store), STORE_TIMEOUT);
    let editor = Editor::new(client, SystemClock, timing, CancellationToken::new());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let request = EditRequest {
        section: "upstreams".into(),
        base: Revision(0),
        text: text.into(),
        author: "embedded".into(),
        edited_at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
    };
    match editor.apply(request, rand::random::<u64>().into()) {
        EditOutcome::Landed(_) => Ok(()),
        other => Err(EmbeddedError::Document(format!("{other:?}"))),
    }
}
