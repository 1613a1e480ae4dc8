//! The instance's picture of the store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};

use crate::directory::{Document, Server};
use crate::moment::Moment;
use crate::protocol::{Content, StoreProtocol};
use crate::records::{DoubtRecord, GroupRecord, Item, MemberRecord, OwnKey, StoreEvent};

/// What became of the duty to replace primaries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Duty {
    /// The instance that holds it.
    pub holder: InstanceId,
    /// The life of that instance.
    pub incarnation: u64,
    /// The revision at which it was taken; it rises with each holder.
    pub token: u64,
    /// The key's last change.
    pub revision: u64,
}

/// A record with the revision of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The key's last change.
    pub revision: u64,
    /// The record.
    pub value: T,
}

/// Something that changed in the picture.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A newer document is in force.
    Document,
    /// A server appeared, changed or left.
    Server(ServerId),
    /// A group's record changed.
    Group(GroupId),
    /// A member, lease, doubt or the duty changed.
    Control,
    /// An item can't be used.
    Unusable(Arc<str>, &'static str),
}

/// Everything the instance knows from the store.
#[derive(Debug, Default)]
pub struct StoreView {
    document: Option<Arc<Document>>,
    servers: HashMap<ServerId, Server>,
    servers_by_group: HashMap<GroupId, BTreeSet<ServerId>>,
    server_keys: HashMap<Arc<str>, ServerId>,
    /// Primaries whose entries are gone, as they were last known.
    departed: HashMap<ServerId, Server>,
    groups: HashMap<GroupId, Versioned<GroupRecord>>,
    members: BTreeMap<InstanceId, Versioned<MemberRecord>>,
    live: BTreeMap<InstanceId, u64>,
    doubts: BTreeMap<(GroupId, InstanceId), Versioned<DoubtRecord>>,
    duty: Option<Duty>,
    confirmed_at: Option<Moment>,
    revision: u64,
}

impl StoreView {
    /// Returns the document in force.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns a server.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns a server, also if its entry is gone and it was a primary.
    pub fn last_known(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id).or_else(|| self.departed.get(id))
    }

    fn forget_in_group(&mut self, server: &Server) {
        if let Some(ids) = self.servers_by_group.get_mut(&server.group) {
            ids.remove(&server.id);
        }
    }

    /// Keeps what is known of a server that is a group's primary.
    fn depart(&mut self, server: Server) {
        self.departed.retain(|id, _| self.groups.values().any(|group| group.value.primary == *id));
        if self.groups.get(&server.group).is_some_and(|group| group.value.primary == server.id) {
            self.departed.insert(server.id.clone(), server);
        }
    }

    /// Returns the servers of a group.
    pub fn servers_of<'a>(&'a self, group: &'a GroupId) -> impl Iterator<Item = &'a Server> {
        let ids = self.servers_by_group.get(group).into_iter().flatten();
        ids.filter_map(|id| self.servers.get(id))
    }

    /// Returns a group's record.
    pub fn group(&self, group: &GroupId) -> Option<&GroupRecord> {
        self.groups.get(group).map(|versioned| &versioned.value)
    }

    /// Returns a group's record with its revision.
    pub fn versioned_group(&self, group: &GroupId) -> Option<&Versioned<GroupRecord>> {
        self.groups.get(group)
    }

    /// Returns whether any instance doubts a primary.
    pub fn has_doubts(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// Returns the groups that have a record.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &Versioned<GroupRecord>)> {
        self.groups.iter()
    }

    /// Returns an instance's entitlement.
    pub fn member(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        self.members.get(instance).map(|versioned| &versioned.value)
    }

    /// Returns all entitlements.
    pub fn members(&self) -> impl Iterator<Item = (&InstanceId, &Versioned<MemberRecord>)> {
        self.members.iter()
    }

    /// Returns the instances that renew their leases.
    pub fn live(&self) -> impl Iterator<Item = &InstanceId> {
        self.live.keys()
    }

    /// Returns how many instances renew their leases.
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Returns whether an instance renews its lease.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.live.contains_key(instance)
    }

    /// Returns how many instances there are, with those that are restarting.
    pub fn fleet_size(&self) -> usize {
        self.live.len().max(self.members.len())
    }

    /// Returns whether an instance does work for others: it renews its lease and
    /// was not told to stop.
    pub fn is_willing(&self, instance: &InstanceId) -> bool {
        self.is_live(instance) && self.member(instance).is_some_and(|member| !member.is_leaving)
    }

    /// Returns whether an instance may own servers' connections.
    ///
    /// While most leases are gone, as after a power failure, an instance without
    /// one is about to come back; without it all servers would get other owners
    /// for a moment.
    pub fn may_own(&self, instance: &InstanceId) -> bool {
        let is_coming_back = self.live.len() * 2 < self.members.len();
        self.is_willing(instance)
            || (is_coming_back && self.member(instance).is_some_and(|member| !member.is_leaving))
    }

    /// Returns where an instance is reached.
    pub fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.member(instance)?.address
    }

    /// Returns the doubts about a group's primary.
    pub fn doubts<'a>(
        &'a self,
        group: &'a GroupId,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a DoubtRecord)> {
        let first = (group.clone(), InstanceId::from(""));
        self.doubts
            .range(first..)
            .take_while(move |((of, _), _)| of == group)
            .map(|((_, instance), doubt)| (instance, &doubt.value))
    }

    /// Returns who replaces primaries.
    pub fn duty(&self) -> Option<&Duty> {
        self.duty.as_ref()
    }

    /// Returns the start of the last exchange that showed the newest state.
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Returns the revision up to which changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that the picture was complete at the start of an exchange.
    pub fn confirm(&mut self, asked_at: Moment, revision: u64) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        self.revision = self.revision.max(revision);
    }

    /// Replaces the picture by a full list.
    ///
    /// A document that is older than the one in force is left out: an instance
    /// never goes back in one life.
    pub fn replace<Store>(&mut self, items: &[Item], store: &Store) -> Vec<Change>
    where
        Store: StoreProtocol,
    {
        let mut changes = Vec::new();
        let servers = std::mem::take(&mut self.servers);
        let before: Vec<ServerId> = servers.keys().cloned().collect();
        let groups = std::mem::take(&mut self.groups);
        self.server_keys.clear();
        self.servers_by_group.clear();
        self.members.clear();
        self.live.clear();
        self.doubts.clear();
        self.duty = None;
        for item in items {
            self.write(item, store, &mut changes);
        }
        for (id, server) in servers {
            if !self.servers.contains_key(&id) {
                self.depart(server);
            }
        }
        changes.extend(before.into_iter().map(Change::Server));
        // Another instance may have told of a newer record than the list has.
        for (group, record) in groups {
            self.note_record(&group, record, &mut changes);
        }
        changes.push(Change::Control);
        changes
    }

    /// Applies changes that a watch reported.
    pub fn apply<Store>(&mut self, events: &[StoreEvent], store: &Store) -> Vec<Change>
    where
        Store: StoreProtocol,
    {
        let mut changes = Vec::new();
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    self.revision = self.revision.max(item.revision);
                    self.write(item, store, &mut changes);
                }
                StoreEvent::Removed { key, revision } => {
                    self.revision = self.revision.max(*revision);
                    self.remove(key, &mut changes);
                }
            }
        }
        changes
    }

    fn write<Store>(&mut self, item: &Item, store: &Store, changes: &mut Vec<Change>)
    where
        Store: StoreProtocol,
    {
        match store.content(&item.key, &item.value) {
            Content::Document(document) => {
                let known = self.document.as_ref().map(|known| known.version);
                if known.is_none_or(|known| known < document.version) {
                    self.document = Some(Arc::new(document));
                    changes.push(Change::Document);
                }
            }
            Content::Server(server) => {
                changes.push(Change::Server(server.id.clone()));
                self.server_keys.insert(item.key.clone(), server.id.clone());
                let of_group = self.servers_by_group.entry(server.group.clone()).or_default();
                of_group.insert(server.id.clone());
                if let Some(known) = self.servers.insert(server.id.clone(), server.clone())
                    && known.group != server.group
                {
                    self.forget_in_group(&known);
                }
            }
            Content::Own => self.write_own(item, changes),
            Content::Foreign => {}
            Content::Unusable(reason) => {
                self.remove(&item.key, changes);
                changes.push(Change::Unusable(item.key.clone(), reason));
            }
        }
    }

    fn write_own(&mut self, item: &Item, changes: &mut Vec<Change>) {
        let Some(key) = OwnKey::parse(&item.key) else {
            return;
        };
        let is_read = match key {
            OwnKey::Group(group) => match read::<GroupRecord>(item) {
                Some(record) => {
                    self.note_record(&group, record, changes);
                    true
                }
                None => false,
            },
            OwnKey::Member(instance) => insert_read(&mut self.members, instance, item),
            OwnKey::Doubt(group, instance) => {
                insert_read(&mut self.doubts, (group, instance), item)
            }
            OwnKey::Live(instance) => {
                self.live.insert(instance, item.revision);
                true
            }
            OwnKey::Duty => {
                self.duty = read::<(InstanceId, u64)>(item).map(|holder| Duty {
                    holder: holder.value.0,
                    incarnation: holder.value.1,
                    token: item.created,
                    revision: item.revision,
                });
                self.duty.is_some()
            }
        };
        if is_read {
            changes.push(Change::Control);
        } else {
            changes.push(Change::Unusable(item.key.clone(), "the record can't be read"));
        }
    }

    /// Notes a group's record that another instance told of.
    pub fn told_record(&mut self, group: &GroupId, record: GroupRecord) -> Vec<Change> {
        let mut changes = Vec::new();
        // Revision zero: whoever wants to change the record needs the store's.
        self.note_record(group, Versioned { revision: 0, value: record }, &mut changes);
        changes
    }

    /// Notes a group's record that the store has taken from this instance.
    pub fn written_record(
        &mut self,
        group: &GroupId,
        record: Versioned<GroupRecord>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        self.note_record(group, record, &mut changes);
        changes
    }

    /// Keeps the record of the highest epoch.
    fn note_record(
        &mut self,
        group: &GroupId,
        record: Versioned<GroupRecord>,
        changes: &mut Vec<Change>,
    ) {
        let known = self.groups.get(group);
        let is_newer = known.is_none_or(|known| {
            (record.value.epoch, record.revision) > (known.value.epoch, known.revision)
        });
        if is_newer {
            self.groups.insert(group.clone(), record);
            changes.push(Change::Group(group.clone()));
        }
    }

    fn remove(&mut self, key: &Arc<str>, changes: &mut Vec<Change>) {
        if let Some(id) = self.server_keys.remove(key) {
            if let Some(server) = self.servers.remove(&id) {
                self.forget_in_group(&server);
                self.depart(server);
            }
            changes.push(Change::Server(id));
            return;
        }
        match OwnKey::parse(key) {
            Some(OwnKey::Duty) => self.duty = None,
            Some(OwnKey::Group(group)) => {
                self.groups.remove(&group);
                changes.push(Change::Group(group));
            }
            Some(OwnKey::Member(instance)) => {
                self.members.remove(&instance);
            }
            Some(OwnKey::Live(instance)) => {
                self.live.remove(&instance);
            }
            Some(OwnKey::Doubt(group, instance)) => {
                self.doubts.remove(&(group, instance));
            }
            None => return,
        }
        changes.push(Change::Control);
    }
}

/// Keeps a record; one that can't be read leaves the record before in force.
fn insert_read<Map, Key, T>(map: &mut Map, key: Key, item: &Item) -> bool
where
    Map: Extend<(Key, Versioned<T>)>,
    T: serde::de::DeserializeOwned,
{
    let record = read(item);
    let is_read = record.is_some();
    map.extend(record.map(|record| (key, record)));
    is_read
}

fn read<T>(item: &Item) -> Option<Versioned<T>>
where
    T: serde::de::DeserializeOwned,
{
    let value = serde_json::from_slice(&item.value).ok()?;
    Some(Versioned { revision: item.revision, value })
}
