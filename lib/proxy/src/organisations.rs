//! Organisations, the keys by which their callers are recognised, and their quotas.
//!
//! The configuration lists the organisations. Servers and other instances receive an
//! organisation's name, never a key. See `docs/design/12-organisations.md`.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

/// The longest key that is accepted.
pub const KEY_LIMIT_BYTES: usize = 256;

/// The key that a caller sends at the start of its session. It is secret.
///
/// Keys that can't belong to an organisation are kept only as the reason for it, because a
/// configuration without organisations accepts any text in their place.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Result<Arc<str>, &'static str>);

impl ApiKey {
    /// Creates a key from the text that a caller or the configuration gives.
    pub fn new(text: &str) -> Self {
        if text.len() > KEY_LIMIT_BYTES {
            return Self(Err("the key is too long"));
        }
        if text.is_empty() {
            return Self(Err("the key is empty"));
        }
        if text.chars().any(char::is_control) {
            return Self(Err("the key has a control character"));
        }
        if text.chars().any(char::is_whitespace) {
            return Self(Err("the start has a field after the key, or the key has a space"));
        }
        Self(Ok(text.into()))
    }

    /// Returns why no organisation can have the key, without quoting it.
    ///
    /// # Errors
    ///
    /// Fails if the key is empty or too long, or has spaces or control characters.
    pub fn check(&self) -> Result<(), &'static str> {
        self.0.as_ref().map(|_| ()).map_err(|reason| *reason)
    }
}

impl Debug for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}

/// How many operations an organisation may run on all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The operations per second; neither negative nor infinite.
    pub operations_per_s: f64,
    /// The operations that may run at once after a time without any; neither negative nor
    /// infinite.
    pub burst: f64,
}

/// An organisation whose callers use the databases.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// The name, one word, which is sent to servers.
    pub name: Arc<str>,
    /// The limit of its operations; none if they are not limited.
    pub quota: Option<Quota>,
}

/// The organisations of a configuration, with their keys.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Organisations {
    by_key: HashMap<ApiKey, Arc<Organisation>>,
    by_name: BTreeMap<Arc<str>, Arc<Organisation>>,
}

impl Organisations {
    /// Creates the organisations from each one's description and keys.
    ///
    /// Entries of the same name are one organisation with the keys of all and the lowest of
    /// the quotas. A key of two organisations belongs to none, since its callers' work could
    /// run under the wrong name. Keys that no caller can send are left out.
    pub fn new<Entries>(entries: Entries) -> Self
    where
        Entries: IntoIterator<Item = (Organisation, Vec<ApiKey>)>,
    {
        let mut organisations: BTreeMap<Arc<str>, Organisation> = BTreeMap::new();
        let mut owners: HashMap<ApiKey, Arc<str>> = HashMap::new();
        let mut ambiguous = HashSet::new();
        for (organisation, keys) in entries {
            let name = Arc::clone(&organisation.name);
            for key in keys.into_iter().filter(|key| key.check().is_ok()) {
                match owners.entry(key) {
                    Entry::Occupied(owner) if *owner.get() != name => {
                        ambiguous.insert(owner.key().clone());
                    }
                    Entry::Occupied(_) => {}
                    Entry::Vacant(owner) => {
                        owner.insert(Arc::clone(&name));
                    }
                }
            }
            match organisations.get_mut(&name) {
                Some(known) => known.quota = lower_quota(known.quota, organisation.quota),
                None => {
                    organisations.insert(name, organisation);
                }
            }
        }
        let by_name: BTreeMap<_, _> =
            organisations.into_iter().map(|(name, known)| (name, Arc::new(known))).collect();
        let by_key = owners
            .into_iter()
            .filter(|(key, _)| !ambiguous.contains(key))
            .filter_map(|(key, name)| Some((key, Arc::clone(by_name.get(&name)?))))
            .collect();
        Self { by_key, by_name }
    }

    /// Returns the organisation that a key belongs to.
    pub fn of_key(&self, key: &ApiKey) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the organisation of a name.
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns the organisations in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no organisations, so that every key is unknown.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

fn lower_quota(first: Option<Quota>, second: Option<Quota>) -> Option<Quota> {
    match (first, second) {
        (Some(first), Some(second)) => Some(Quota {
            operations_per_s: first.operations_per_s.min(second.operations_per_s),
            burst: first.burst.min(second.burst),
        }),
        (first, second) => first.or(second),
    }
}
