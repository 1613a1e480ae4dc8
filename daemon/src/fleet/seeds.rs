//! Addresses of instances to contact, from the settings, the document and the
//! platform's list of instances.
//!
//! The document and the list are also checked for whether this instance is leaving.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use masticreel_base::cancellation::CancellationToken;
use masticreel_base::ids::InstanceId;
use masticreel_document::instances::InstanceIntent;
use masticreel_fleet::fleet::{Event, Fleet};
use masticreel_fleet::membership;
use masticreel_store::instance_list::{
    HttpInstanceList, InstanceList, ListedInstance, ListedState,
};
use rand::RngExt;
use slog::{Logger, debug};

use crate::documents::Documents;
use crate::settings::Settings;

/// Interval between checks of the document.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Average interval between reads of the platform's list; jitter changes each.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Adds the addresses in the settings to a fleet that starts.
pub(super) fn add_addresses_of_settings(settings: &Settings, fleet: &mut Fleet) {
    let event = membership::Event::Candidates(settings_addresses(settings));
    fleet.handle(Event::Membership(event), Instant::now(), &mut rand::rng());
}

fn settings_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let own = &settings.instance.name;
    let others = settings.peers.iter().filter(|peer| peer.name != *own);
    others.map(|peer| peer.peer_address).collect()
}

/// Sends the fleet the addresses to contact, and whether the document or the
/// platform's list marks this instance as leaving.
pub(super) struct SeedReader {
    own: InstanceId,
    addresses: Vec<SocketAddr>,
    list: Option<HttpInstanceList>,
    listed: Vec<ListedInstance>,
    next_list_read: Instant,
    documents: Documents,
    events: Sender<Event>,
    was_leaving: bool,
    logger: Logger,
}

impl SeedReader {
    pub(super) fn new(
        settings: &Settings,
        documents: Documents,
        events: Sender<Event>,
        logger: Logger,
    ) -> Self {
        let url = settings.platform.instance_list_url.as_deref();
        Self {
            own: settings.instance.name.clone(),
            addresses: settings_addresses(settings),
            list: url.map(|url| HttpInstanceList::new(url, LIST_TIMEOUT)),
            listed: Vec::new(),
            next_list_read: Instant::now(),
            documents,
            events,
            was_leaving: false,
            logger,
        }
    }

    /// Runs on a thread of its own until cancelled.
    pub(super) fn start(mut self, cancellation: CancellationToken) -> io::Result<()> {
        thread::Builder::new().name("fleet-seeds".to_owned()).spawn(move || {
            loop {
                self.check();
                if cancellation.wait_timeout(CHECK_INTERVAL) {
                    return;
                }
            }
        })?;
        Ok(())
    }

    fn check(&mut self) {
        if Instant::now() >= self.next_list_read {
            self.next_list_read =
                Instant::now() + LIST_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5));
            self.read_list();
        }
        let document = self.documents.current();
        let mut addresses = self.addresses.clone();
        addresses.extend(self.listed.iter().map(|listed| listed.address));
        addresses.extend(document.instances().iter().filter_map(|instance| instance.address));
        self.send(membership::Event::Candidates(addresses));

        let is_listed_as_leaving = |listed: &ListedInstance| {
            listed.name == self.own && listed.state == ListedState::Leaving
        };
        let mut intents = document.instances().iter();
        let is_leaving = self.listed.iter().any(is_listed_as_leaving)
            || intents.any(|it| it.name == self.own && it.state == InstanceIntent::Leaving);
        // Only changes are sent: a repeated `Leaving(false)` would revoke that a shutdown
        // under way has announced this instance as leaving.
        if is_leaving != self.was_leaving {
            self.was_leaving = is_leaving;
            self.send(membership::Event::Leaving(is_leaving));
        }
    }

    /// Reads the platform's list; keeps the last one when the platform does not
    /// answer.
    fn read_list(&mut self) {
        let Some(list) = &self.list else {
            return;
        };
        match list.read() {
            Ok(listed) => self.listed = listed,
            Err(error) => debug!(self.logger, "reading instance list failed"; "error" => %error),
        }
    }

    fn send(&self, event: membership::Event) {
        // Addresses that a full queue drops are sent again.
        let _ = self.events.try_send(Event::Membership(event));
    }
}
