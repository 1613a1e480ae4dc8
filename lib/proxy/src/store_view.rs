//! The instance's view of the store.
//!
//! [`StoreView`] is built from a full list of the store's items and kept up to date
//! by the events of a watch. Group records also reach it from other instances and
//! from this instance's own commits; the record of the highest epoch wins.

mod departures;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticreel_base::ids::{GroupId, InstanceId, ServerId};

use crate::directory::{Document, Server};
use crate::moment::Moment;
use crate::protocol::{StoreContent, StoreProtocol};
use crate::records::{DoubtRecord, GroupRecord, Item, MemberRecord, StoreEvent, StoreKey};
use crate::store_era::{era_of, era_of_epoch};
use crate::store_view::departures::Departures;

/// How long a server is remembered after its entry was removed; longer than a crashed server
/// takes to come back.
pub const MISSING_SERVER_RETENTION: Duration = Duration::from_secs(60);

/// The coordinator role, while an instance holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorRole {
    /// The instance that holds it.
    pub holder: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: u64,
    /// The fencing token: the revision at which the role was taken, which increases
    /// with each holder.
    pub fencing_token: u64,
    /// The revision at the key's last change.
    pub revision: u64,
}

/// The revisions at which a member wrote its membership and its last live key.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Presence {
    member: u64,
    live: u64,
}

/// A record with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The revision at the key's last change.
    pub revision: u64,
    /// The record.
    pub value: T,
}

/// A server whose entry was removed.
#[derive(Debug)]
struct RemovedServer {
    server: Server,
    /// The last moment at which the view is known to have had the entry; `None` if the view
    /// was never confirmed.
    seen_until: Option<Moment>,
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewChange {
    /// A newer document became active.
    Document,
    /// A server's entry may have been added, changed or removed. A full list reports
    /// all servers.
    Server(ServerId),
    /// A group's record changed.
    Group(GroupId),
    /// A membership, live key, suspicion or the coordinator role changed, or a group's
    /// record was written, even if unchanged, or removed.
    Coordination,
    /// The item of this key can't be used, for this reason. Reported once until the item
    /// is used or removed, or the reason changes.
    Unusable(Arc<str>, &'static str),
}

/// The instance's view of the store's items.
#[derive(Debug, Default)]
pub struct StoreView {
    document: Option<Arc<Document>>,
    /// The last moment at which the view is known to have been up to date without the active
    /// document; `None` if it was never confirmed without it.
    document_absent_at: Option<Moment>,
    servers: HashMap<ServerId, Server>,
    servers_by_group: HashMap<GroupId, BTreeSet<ServerId>>,
    server_keys: HashMap<Arc<str>, ServerId>,
    /// Servers whose entries were removed though they may still have data that is needed,
    /// with their last values.
    removed_servers: HashMap<ServerId, RemovedServer>,
    departures: Departures,
    groups: HashMap<GroupId, Versioned<GroupRecord>>,
    /// Groups of which a store that came back from an older copy has an older record than
    /// this view or none, with the revision of that, zero if there is none.
    lost_records: HashMap<GroupId, u64>,
    members: BTreeMap<InstanceId, Versioned<MemberRecord>>,
    /// Memberships of an earlier era that a store which came back from an older copy lacks,
    /// until their instances write them again.
    lost_members: BTreeMap<InstanceId, MemberRecord>,
    live: BTreeMap<InstanceId, u64>,
    /// The revisions of the last live keys that were seen of the members, also of those that
    /// are gone.
    last_live: HashMap<InstanceId, u64>,
    suspicions: BTreeMap<(GroupId, InstanceId), Versioned<DoubtRecord>>,
    coordinator_role: Option<CoordinatorRole>,
    /// The items that can't be used, with the reasons that were reported.
    unusable: HashMap<Arc<str>, &'static str>,
    confirmed_at: Option<Moment>,
    /// The start of the last exchange in each era of the store that this view has shown.
    confirmed_in: BTreeMap<u64, Moment>,
    revision: u64,
    era: u64,
}

impl StoreView {
    /// Returns the active document.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the earliest moment at which the store can have accepted the active document, as
    /// far as is known: the last one at which the view was confirmed without it.
    pub fn document_absent_at(&self) -> Option<Moment> {
        self.document_absent_at
    }

    /// Returns a server.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns a server, also for [`MISSING_SERVER_RETENTION`] after its entry was removed; a
    /// primary for as long as its group's record names it.
    pub fn last_known_server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id).or_else(|| self.removed_servers.get(id).map(|removed| &removed.server))
    }

    /// Returns the servers of a group whose entries were removed less than
    /// [`MISSING_SERVER_RETENTION`] ago, without those at whose address there is another
    /// server of the group now.
    ///
    /// Such a server has left or crashed, or can't reach the store, and its log may have
    /// commits that no other server has. One that restarts under another id at its address
    /// still has it.
    pub fn missing_servers_of<'a>(
        &'a self,
        group: &'a GroupId,
    ) -> impl Iterator<Item = &'a Server> {
        self.missing_servers().filter(|server| server.group == *group)
    }

    /// Returns the servers of all groups that are missing, as
    /// [`StoreView::missing_servers_of`] does those of one.
    pub fn missing_servers(&self) -> impl Iterator<Item = &Server> {
        self.removed_servers
            .values()
            .filter(|removed| self.is_recently_removed(removed))
            .map(|removed| &removed.server)
            .filter(|server| {
                self.servers_of(&server.group)
                    .all(|known| known.id != server.id && known.address != server.address)
            })
    }

    /// Returns whether a server is one of [`StoreView::missing_servers`].
    pub fn is_missing(&self, id: &ServerId) -> bool {
        self.missing_servers().any(|server| server.id == *id)
    }

    /// Returns whether a server has been leaving, or without an entry, for longer than
    /// `allowed`.
    pub fn is_departure_over(&self, id: &ServerId, allowed: Duration, now: Moment) -> bool {
        self.departures.is_over(id, allowed, now)
    }

    fn is_recently_removed(&self, removed: &RemovedServer) -> bool {
        let age = self
            .confirmed_at
            .map_or(Duration::ZERO, |now| now.since(removed.seen_until.unwrap_or(now)));
        age < MISSING_SERVER_RETENTION
    }

    fn remove_from_group(&mut self, server: &Server) {
        if let Some(ids) = self.servers_by_group.get_mut(&server.group) {
            ids.remove(&server.id);
        }
    }

    /// Keeps the removed entry of a server, and drops those that are not needed any more:
    /// all but the recorded primaries and the servers that were removed a short time ago.
    fn retain_removed_server(&mut self, server: Server) {
        let seen_until = self.confirmed_at;
        self.departures.begin(&server.id, seen_until);
        self.removed_servers.insert(server.id.clone(), RemovedServer { server, seen_until });
        let mut removed_servers = std::mem::take(&mut self.removed_servers);
        removed_servers.retain(|id, removed| {
            self.is_recently_removed(removed)
                || self.groups.values().any(|group| group.value.primary == *id)
        });
        self.removed_servers = removed_servers;
        self.departures
            .retain(|id| self.servers.contains_key(id) || self.removed_servers.contains_key(id));
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

    /// Returns whether the store has any suspicion of a primary, also one of an
    /// earlier epoch.
    pub fn has_suspicions(&self) -> bool {
        !self.suspicions.is_empty()
    }

    /// Returns the groups that have a record.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &Versioned<GroupRecord>)> {
        self.groups.iter()
    }

    /// Returns the groups whose newest record was lost when the store came back from an older
    /// copy, with the revision of what it has instead, zero if it has none.
    pub fn lost_records(&self) -> impl Iterator<Item = (&GroupId, u64)> {
        self.lost_records.iter().map(|(group, revision)| (group, *revision))
    }

    /// Returns an instance's membership.
    pub fn member(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        self.members.get(instance).map(|versioned| &versioned.value)
    }

    /// Returns the memberships of all instances.
    pub fn members(&self) -> impl Iterator<Item = (&InstanceId, &Versioned<MemberRecord>)> {
        self.members.iter()
    }

    /// Returns the memberships that this view has shown and that the store has lost since.
    ///
    /// Their instances may not have noticed, and use primaries by what they knew before.
    pub fn lost_members(&self) -> impl Iterator<Item = (&InstanceId, &MemberRecord)> {
        self.lost_members.iter()
    }

    /// Returns the instances that renew their store leases.
    pub fn live(&self) -> impl Iterator<Item = &InstanceId> {
        self.live.keys()
    }

    /// Returns how many instances renew their store leases.
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Returns whether an instance renews its store lease.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.live.contains_key(instance)
    }

    /// Returns the store's revision at the last write of an instance's live key.
    pub fn live_revision(&self, instance: &InstanceId) -> Option<u64> {
        self.live.get(instance).copied()
    }

    /// Returns what identifies the last time that a member was seen to renew its store lease:
    /// the revisions of its membership and of its last live key. It differs once the member
    /// has been back, also if it was gone again by the time of the next view.
    pub fn last_presence(&self, instance: &InstanceId) -> Presence {
        let member = self.members.get(instance).map_or(0, |member| member.revision);
        let live = self.last_live.get(instance).copied().unwrap_or_default();
        Presence { member, live }
    }

    /// Returns the number of instances, including those that are restarting.
    pub fn instance_count(&self) -> usize {
        self.live.len().max(self.members.len())
    }

    /// Returns whether an instance can do work for others: it renews its store lease
    /// and is not shutting down.
    pub fn accepts_work(&self, instance: &InstanceId) -> bool {
        self.is_live(instance) && self.member(instance).is_some_and(|member| !member.is_leaving)
    }

    /// Returns whether an instance may own servers' connections.
    ///
    /// While most store leases are missing, as after a power failure, an instance
    /// without one is expected back soon and may own connections too. Otherwise all
    /// servers would briefly get other owners.
    pub fn may_own(&self, instance: &InstanceId) -> bool {
        let are_most_leases_missing = self.live.len() * 2 < self.members.len();
        self.accepts_work(instance)
            || (are_most_leases_missing
                && self.member(instance).is_some_and(|member| !member.is_leaving))
    }

    /// Returns the address at which other instances reach an instance.
    pub fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.member(instance)?.address
    }

    /// Returns the suspicions about a group's primary, by the suspecting instance.
    pub fn suspicions<'a>(
        &'a self,
        group: &'a GroupId,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a DoubtRecord)> {
        let first = (group.clone(), InstanceId::from(""));
        self.suspicions
            .range(first..)
            .take_while(move |((suspected, _), _)| suspected == group)
            .map(|((_, instance), suspicion)| (instance, &suspicion.value))
    }

    /// Returns the coordinator role with its holder; none while it is vacant.
    pub fn coordinator_role(&self) -> Option<&CoordinatorRole> {
        self.coordinator_role.as_ref()
    }

    /// Returns the start of the last exchange with the store that showed the newest
    /// state.
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Returns the start of the last exchange with the store that showed that a group's record
    /// is the newest.
    ///
    /// A store that comes back from an older copy may have lost a newer record. So until the
    /// active coordinator has settled the record in the new era, that is the last exchange of
    /// the era in which it was written. A record without an era may be from an active
    /// coordinator of an earlier version, which settles none.
    pub fn confirmed_at_of(&self, group: &GroupId) -> Option<Moment> {
        let era = era_of_epoch(self.group(group)?.epoch);
        if era == 0 || self.is_settled(group) {
            return self.confirmed_at;
        }
        self.confirmed_in.get(&era).copied()
    }

    /// Returns whether a group's record was written in the era that the view shows.
    pub fn is_settled(&self, group: &GroupId) -> bool {
        self.group(group).is_none_or(|record| era_of_epoch(record.epoch) >= era_of(self.revision))
    }

    /// Returns the store's revision up to which the view contains all changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest era of the store that any of its answers has shown.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns whether the items were listed in the store's present era.
    pub fn shows_present_era(&self) -> bool {
        era_of(self.revision) == self.era
    }

    /// Records the era of an answer of the store; returns whether it is newer than those
    /// before, so that the items have to be listed again.
    pub fn observe_era(&mut self, era: u64) -> bool {
        let is_newer = era > self.era;
        self.era = self.era.max(era);
        is_newer
    }

    /// Records that the view was up to date at the start of an exchange with the store.
    pub fn confirm(&mut self, called_at: Moment, revision: u64) {
        if self.confirmed_at.is_none() {
            self.departures.first_confirmed(called_at);
        }
        self.confirmed_at = self.confirmed_at.max(Some(called_at));
        let confirmed = self.confirmed_in.entry(era_of(revision)).or_insert(called_at);
        *confirmed = called_at.max(*confirmed);
        self.revision = self.revision.max(revision);
    }

    /// Replaces the view by a full list of the store's items.
    ///
    /// A document that is older than the active one is ignored: an instance never
    /// goes back to an older one before it restarts.
    pub fn replace<Store>(&mut self, items: &[Item], store: &Store) -> Vec<ViewChange>
    where
        Store: StoreProtocol,
    {
        let mut changes = Vec::new();
        let servers = std::mem::take(&mut self.servers);
        let previous_ids: Vec<ServerId> = servers.keys().cloned().collect();
        let groups = std::mem::take(&mut self.groups);
        let were_lost = std::mem::take(&mut self.lost_records);
        let is_new_era = !self.shows_present_era();
        self.server_keys.clear();
        self.servers_by_group.clear();
        let members = std::mem::take(&mut self.members);
        self.live.clear();
        self.suspicions.clear();
        self.coordinator_role = None;
        let listed: HashSet<&Arc<str>> = items.iter().map(|item| &item.key).collect();
        self.unusable.retain(|key, _| listed.contains(key));
        for item in items {
            self.apply_item(item, store, &mut changes);
        }
        if is_new_era {
            self.lost_members.extend(members.into_iter().map(|(id, member)| (id, member.value)));
        }
        self.lost_members.retain(|id, _| !self.members.contains_key(id));
        let StoreView { last_live, members, live, .. } = self;
        last_live.retain(|id, _| members.contains_key(id) || live.contains_key(id));
        for (id, server) in servers {
            if !self.servers.contains_key(&id) {
                self.retain_removed_server(server);
            }
        }
        changes.extend(previous_ids.into_iter().map(ViewChange::Server));
        // A record received from another instance may be newer than the listed one.
        for (group, mut record) in groups {
            let listed = self.groups.get(&group);
            let is_older = listed.is_none_or(|listed| listed.value.epoch < record.value.epoch);
            if is_older && (is_new_era || were_lost.contains_key(&group)) {
                record.revision = listed.map_or(0, |listed| listed.revision);
                self.lost_records.insert(group.clone(), record.revision);
                self.groups.insert(group, record);
            } else {
                self.keep_newer_record(&group, record, &mut changes);
            }
        }
        changes.push(ViewChange::Coordination);
        changes
    }

    /// Applies the events of a watch.
    pub fn apply<Store>(&mut self, events: &[StoreEvent], store: &Store) -> Vec<ViewChange>
    where
        Store: StoreProtocol,
    {
        let mut changes = Vec::new();
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    self.revision = self.revision.max(item.revision);
                    self.apply_item(item, store, &mut changes);
                }
                StoreEvent::Removed { key, revision } => {
                    self.revision = self.revision.max(*revision);
                    self.remove(key, &mut changes);
                }
            }
        }
        changes
    }

    fn apply_item<Store>(&mut self, item: &Item, store: &Store, changes: &mut Vec<ViewChange>)
    where
        Store: StoreProtocol,
    {
        let previous_reason = self.unusable.remove(&item.key);
        match store.parse_content(&item.key, &item.value) {
            StoreContent::Document(document) => {
                let known = self.document.as_ref().map(|known| known.version);
                if known.is_none_or(|known| known < document.version) {
                    self.document = Some(Arc::new(document));
                    self.document_absent_at = self.confirmed_at;
                    changes.push(ViewChange::Document);
                }
            }
            StoreContent::Server(server) => {
                changes.push(ViewChange::Server(server.id.clone()));
                if server.is_leaving {
                    self.departures.begin(&server.id, self.confirmed_at);
                } else {
                    self.departures.cancel(&server.id);
                }
                self.server_keys.insert(item.key.clone(), server.id.clone());
                let of_group = self.servers_by_group.entry(server.group.clone()).or_default();
                of_group.insert(server.id.clone());
                if let Some(known) = self.servers.insert(server.id.clone(), server.clone())
                    && known.group != server.group
                {
                    self.remove_from_group(&known);
                }
            }
            StoreContent::Record => self.apply_record(item, previous_reason, changes),
            StoreContent::Unrelated => {}
            StoreContent::Unusable(reason) => {
                self.remove(&item.key, changes);
                self.report_unusable(item, reason, previous_reason, changes);
            }
        }
    }

    /// Reports an item that can't be used, unless it was reported for the same reason: its
    /// writer may write it again and again.
    fn report_unusable(
        &mut self,
        item: &Item,
        reason: &'static str,
        previous_reason: Option<&'static str>,
        changes: &mut Vec<ViewChange>,
    ) {
        self.unusable.insert(item.key.clone(), reason);
        if previous_reason != Some(reason) {
            changes.push(ViewChange::Unusable(item.key.clone(), reason));
        }
    }

    fn apply_record(
        &mut self,
        item: &Item,
        previous_reason: Option<&'static str>,
        changes: &mut Vec<ViewChange>,
    ) {
        let Some(key) = StoreKey::parse(&item.key) else {
            return;
        };
        let is_decoded = match key {
            StoreKey::Group(group) => match decode::<GroupRecord>(item) {
                Some(record) => {
                    self.keep_newer_record(&group, record, changes);
                    true
                }
                None => false,
            },
            StoreKey::Member(instance) => {
                self.lost_members.remove(&instance);
                decode_into(&mut self.members, instance, item)
            }
            StoreKey::Doubt(group, instance) => {
                decode_into(&mut self.suspicions, (group, instance), item)
            }
            StoreKey::Live(instance) => {
                self.last_live.insert(instance.clone(), item.revision);
                self.live.insert(instance, item.revision);
                true
            }
            StoreKey::Coordinator => {
                self.coordinator_role =
                    decode::<(InstanceId, u64)>(item).map(|holder| CoordinatorRole {
                        holder: holder.value.0,
                        incarnation: holder.value.1,
                        fencing_token: item.created,
                        revision: item.revision,
                    });
                self.coordinator_role.is_some()
            }
        };
        if is_decoded {
            changes.push(ViewChange::Coordination);
        } else {
            let reason = "the record can't be read";
            self.report_unusable(item, reason, previous_reason, changes);
        }
    }

    /// Applies a group's record that was received from another instance.
    pub fn apply_peer_record(&mut self, group: &GroupId, record: GroupRecord) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        // The revision is not known. With zero, every transaction on the record fails
        // until the store's revision arrives.
        self.keep_newer_record(group, Versioned { revision: 0, value: record }, &mut changes);
        changes
    }

    /// Applies a group's record that this instance has committed to the store.
    pub fn apply_own_record(
        &mut self,
        group: &GroupId,
        record: Versioned<GroupRecord>,
    ) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        self.keep_newer_record(group, record, &mut changes);
        changes
    }

    /// Applies this instance's membership and live key, which it has committed to the store
    /// on the condition that no group's record had changed since this view.
    ///
    /// Returns no changes if the view already contains later ones, which may have removed
    /// them again.
    pub fn apply_own_registration(
        &mut self,
        instance: &InstanceId,
        member: Versioned<MemberRecord>,
    ) -> Vec<ViewChange> {
        if self.revision >= member.revision {
            return Vec::new();
        }
        self.live.insert(instance.clone(), member.revision);
        self.members.insert(instance.clone(), member);
        vec![ViewChange::Coordination]
    }

    /// Keeps the record of the highest epoch, and of the highest revision among
    /// those of one epoch.
    fn keep_newer_record(
        &mut self,
        group: &GroupId,
        record: Versioned<GroupRecord>,
        changes: &mut Vec<ViewChange>,
    ) {
        let known = self.groups.get_mut(group);
        let is_newer = known.as_ref().is_none_or(|known| {
            (record.value.epoch, record.revision) > (known.value.epoch, known.revision)
        });
        if is_newer && record.revision > 0 {
            self.lost_records.remove(group);
        }
        // Another instance has written a record that is older too.
        if let (false, Some(known), Some(lost)) =
            (is_newer, known, self.lost_records.get_mut(group))
            && record.revision > *lost
        {
            known.revision = record.revision;
            *lost = record.revision;
        }
        if is_newer {
            self.groups.insert(group.clone(), record);
            changes.push(ViewChange::Group(group.clone()));
        }
    }

    fn remove(&mut self, key: &Arc<str>, changes: &mut Vec<ViewChange>) {
        self.unusable.remove(key);
        if let Some(id) = self.server_keys.remove(key) {
            if let Some(server) = self.servers.remove(&id) {
                self.remove_from_group(&server);
                self.retain_removed_server(server);
            }
            changes.push(ViewChange::Server(id));
            return;
        }
        match StoreKey::parse(key) {
            Some(StoreKey::Coordinator) => self.coordinator_role = None,
            Some(StoreKey::Group(group)) => {
                self.groups.remove(&group);
                self.lost_records.remove(&group);
                changes.push(ViewChange::Group(group));
            }
            Some(StoreKey::Member(instance)) => {
                self.members.remove(&instance);
                if !self.live.contains_key(&instance) {
                    self.last_live.remove(&instance);
                }
            }
            Some(StoreKey::Live(instance)) => {
                self.live.remove(&instance);
            }
            Some(StoreKey::Doubt(group, instance)) => {
                self.suspicions.remove(&(group, instance));
            }
            None => return,
        }
        changes.push(ViewChange::Coordination);
    }
}

/// Decodes a record and inserts it; a record that can't be decoded leaves the
/// previous one in place. Returns whether it was decoded.
fn decode_into<Map, Key, T>(map: &mut Map, key: Key, item: &Item) -> bool
where
    Map: Extend<(Key, Versioned<T>)>,
    T: serde::de::DeserializeOwned,
{
    let record = decode(item);
    let is_decoded = record.is_some();
    map.extend(record.map(|record| (key, record)));
    is_decoded
}

fn decode<T>(item: &Item) -> Option<Versioned<T>>
where
    T: serde::de::DeserializeOwned,
{
    let value = serde_json::from_slice(&item.value).ok()?;
    Some(Versioned { revision: item.revision, value })
}
