//! Typed view of the platform's key space, which every daemon holds.
//!
//! Keys under [`ROOT`]: `config/account/NAME`, `config/model/NAME`,
//! `config/service/NAME`, `config/group/NAME`, `config/upgrade/NAME`,
//! `placement/DOMAIN`, `duty/DOMAIN` and `daemon/NAME`.

use super::{
    super::{
        input::{PlatformEntry, WatchEvent},
        keys::{
            AccountName, DaemonName, DomainName, GroupName, KeyHash, ModelName, Revision,
            ServiceName, UpgradeName,
        },
    },
    record::{Account, Daemon, Duty, GroupSpec, Model, Placement, Service, Upgrade},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Prefix of the system's keys at the platform's store.
pub const ROOT: &str = "/hickoryledge/";

crate::record! {
    /// Key of a record in the view.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub enum Key {
        /// Account.
        Account(AccountName),
        /// Model.
        Model(ModelName),
        /// Plain service.
        Service(ServiceName),
        /// Specification of a group.
        Group(GroupName),
        /// Upgrade.
        Upgrade(UpgradeName),
        /// Placement of a domain.
        Placement(DomainName),
        /// Duty of a domain.
        Duty(DomainName),
        /// Registration of a daemon.
        Daemon(DaemonName),
    }
}

impl Key {
    /// Returns the text of the key at the platform's store.
    pub fn path(&self) -> String {
        match self {
            Key::Account(name) => format!("{ROOT}config/account/{name}"),
            Key::Model(name) => format!("{ROOT}config/model/{name}"),
            Key::Service(name) => format!("{ROOT}config/service/{name}"),
            Key::Group(name) => format!("{ROOT}config/group/{name}"),
            Key::Upgrade(name) => format!("{ROOT}config/upgrade/{name}"),
            Key::Placement(name) => format!("{ROOT}placement/{name}"),
            Key::Duty(name) => format!("{ROOT}duty/{name}"),
            Key::Daemon(name) => format!("{ROOT}daemon/{name}"),
        }
    }

    /// Parses the text of a key; returns `None` if it isn't a key of the system.
    pub fn parse(path: &str) -> Option<Key> {
        let rest = path.strip_prefix(ROOT)?;
        let (kind, name) = rest.rsplit_once('/')?;
        match kind {
            "config/account" => Some(Key::Account(name.into())),
            "config/model" => Some(Key::Model(name.into())),
            "config/service" => Some(Key::Service(name.into())),
            "config/group" => Some(Key::Group(name.into())),
            "config/upgrade" => Some(Key::Upgrade(name.into())),
            "placement" => Some(Key::Placement(name.into())),
            "duty" => Some(Key::Duty(name.into())),
            "daemon" => Some(Key::Daemon(name.into())),
            _ => None,
        }
    }
}

/// Record with the revision that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// Decoded record.
    pub record: T,
    /// Revision of the record's last write.
    pub revision: Revision,
}

/// Records in force on this daemon.
#[derive(Clone, Debug, Default)]
pub struct View {
    revision: Revision,
    any_order: bool,
    entries: BTreeMap<String, PlatformEntry>,
    by_key: HashMap<KeyHash, AccountName>,
    accounts: BTreeMap<AccountName, Versioned<Account>>,
    models: BTreeMap<ModelName, Versioned<Model>>,
    services: BTreeMap<ServiceName, Versioned<Service>>,
    groups: BTreeMap<GroupName, Versioned<GroupSpec>>,
    upgrades: BTreeMap<UpgradeName, Versioned<Upgrade>>,
    placements: BTreeMap<DomainName, Versioned<Placement>>,
    duties: BTreeMap<DomainName, Versioned<Duty>>,
    daemons: BTreeMap<DaemonName, Versioned<Daemon>>,
}

/// Queries.
impl View {
    /// Returns the revision up to which the view is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns false until the view has been read as a whole.
    pub fn is_loaded(&self) -> bool {
        self.revision > Revision::default()
    }

    /// Returns all entries as the platform's store holds them, sorted by key.
    pub fn entries(&self) -> impl Iterator<Item = &PlatformEntry> {
        self.entries.values()
    }

    /// Returns the entry of a key.
    pub fn entry(&self, key: &Key) -> Option<&PlatformEntry> {
        self.entries.get(&key.path())
    }

    /// Returns the revision of a domain's claim that can't be read, if there is one.
    pub fn unreadable_duty(&self, domain: &DomainName) -> Option<Revision> {
        if self.duty(domain).is_some() {
            return None;
        }
        let entry = self.entry(&Key::Duty(domain.clone()))?;
        Some(entry.revision)
    }

    /// Returns the account whose callers present this key.
    pub fn account_by_key(&self, key: &KeyHash) -> Option<&Account> {
        self.account(self.by_key.get(key)?)
    }

    /// Returns an account.
    pub fn account(&self, name: &AccountName) -> Option<&Account> {
        self.accounts.get(name).map(|v| &v.record)
    }

    /// Returns all accounts, sorted by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values().map(|v| &v.record)
    }

    /// Returns a model.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.get(name).map(|v| &v.record)
    }

    /// Returns a model with the revision of its last write.
    pub fn model_entry(&self, name: &ModelName) -> Option<&Versioned<Model>> {
        self.models.get(name)
    }

    /// Returns all models, sorted by name.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.values().map(|v| &v.record)
    }

    /// Returns a plain service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|v| &v.record)
    }

    /// Returns the specification of a group.
    pub fn group(&self, name: &GroupName) -> Option<&Versioned<GroupSpec>> {
        self.groups.get(name)
    }

    /// Returns the specifications of all groups, sorted by name.
    pub fn groups(&self) -> impl Iterator<Item = &Versioned<GroupSpec>> {
        self.groups.values()
    }

    /// Returns an upgrade.
    pub fn upgrade(&self, name: &UpgradeName) -> Option<&Versioned<Upgrade>> {
        self.upgrades.get(name)
    }

    /// Returns all upgrades, sorted by name.
    pub fn upgrades(&self) -> impl Iterator<Item = &Versioned<Upgrade>> {
        self.upgrades.values()
    }

    /// Returns the placement of a domain.
    pub fn placement(&self, domain: &DomainName) -> Option<&Versioned<Placement>> {
        self.placements.get(domain)
    }

    /// Returns all placements, sorted by domain.
    pub fn placements(&self) -> impl Iterator<Item = &Versioned<Placement>> {
        self.placements.values()
    }

    /// Returns the duty of a domain, which names its holder.
    pub fn duty(&self, domain: &DomainName) -> Option<&Versioned<Duty>> {
        self.duties.get(domain)
    }

    /// Returns the registration of a daemon.
    pub fn daemon(&self, daemon: &DaemonName) -> Option<&Versioned<Daemon>> {
        self.daemons.get(daemon)
    }

    /// Returns the registrations of all daemons, sorted by name.
    pub fn daemons(&self) -> impl Iterator<Item = &Versioned<Daemon>> {
        self.daemons.values()
    }
}

/// Commands.
impl View {
    /// Applies a change, unless the view holds a later write or delete of the key.
    ///
    /// Returns the key if its record changed.
    pub fn apply(&mut self, event: WatchEvent) -> Option<Key> {
        match event {
            WatchEvent::Put(entry) if self.is_outdated(&entry) => None,
            WatchEvent::Put(entry) => self.put(entry),
            WatchEvent::Deleted { key, revision } => self.delete(&key, revision),
        }
    }

    /// Marks the view as complete up to a revision, which never decreases.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces all entries by those listed at `revision`, and returns the keys that changed.
    ///
    /// A list older than the view is ignored.
    pub fn replace(&mut self, entries: Vec<PlatformEntry>, revision: Revision) -> Vec<Key> {
        if revision < self.revision && !self.any_order {
            return Vec::new();
        }
        let listed: BTreeSet<&String> = entries.iter().map(|e| &e.key).collect();
        let removed: Vec<String> = self
            .entries
            .keys()
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect();
        let mut changed = Vec::new();
        changed.extend(removed.iter().filter_map(|key| self.delete(key, revision)));
        changed.extend(entries.into_iter().filter_map(|entry| self.put(entry)));
        self.advance(revision);
        changed
    }

    /// Lets older changes replace newer ones, for tests that show the effect.
    pub(super) fn allow_any_order(&mut self) {
        self.any_order = true;
    }

    /// Returns true if the key isn't held because it was deleted after `entry` was written.
    ///
    /// The view is complete up to its revision, so a key that it doesn't hold has no
    /// valid write up to then.
    fn is_outdated(&self, entry: &PlatformEntry) -> bool {
        let is_known = self.entries.contains_key(&entry.key);
        !self.any_order && !is_known && entry.revision <= self.revision
    }

    fn put(&mut self, entry: PlatformEntry) -> Option<Key> {
        let key = Key::parse(&entry.key)?;
        let current = self.entries.get(&entry.key).map(|e| e.revision);
        if current >= Some(entry.revision) && !self.any_order {
            return None;
        }
        let decoded = self.decode(&key, &entry);
        self.entries.insert(entry.key.clone(), entry);
        decoded.map(|()| key)
    }

    fn decode(&mut self, key: &Key, entry: &PlatformEntry) -> Option<()> {
        fn parse<T>(entry: &PlatformEntry) -> Option<Versioned<T>>
        where
            T: serde::de::DeserializeOwned,
        {
            let record = serde_json::from_str(&entry.value).ok()?;
            Some(Versioned {
                record,
                revision: entry.revision,
            })
        }
        match key {
            Key::Account(name) => {
                let account: Versioned<Account> = parse(entry)?;
                self.remove_record(key);
                if account.record.deleted {
                    return Some(());
                }
                self.by_key.insert(account.record.key, name.clone());
                self.accounts.insert(name.clone(), account);
            }
            Key::Model(name) => {
                let model: Versioned<Model> = parse(entry)?;
                self.remove_record(key);
                if model.record.deleted {
                    return Some(());
                }
                self.models.insert(name.clone(), model);
            }
            Key::Service(name) => {
                self.services.insert(name.clone(), parse(entry)?);
            }
            Key::Group(name) => {
                self.groups.insert(name.clone(), parse(entry)?);
            }
            Key::Upgrade(name) => {
                self.upgrades.insert(name.clone(), parse(entry)?);
            }
            Key::Placement(name) => {
                self.placements.insert(name.clone(), parse(entry)?);
            }
            Key::Duty(name) => {
                // A claim that can't be read is nobody's, and replaces the one before it.
                self.duties.remove(name);
                self.duties
                    .extend(parse(entry).map(|duty| (name.clone(), duty)));
            }
            Key::Daemon(name) => {
                self.daemons.insert(name.clone(), parse(entry)?);
            }
        }
        Some(())
    }

    fn delete(&mut self, path: &str, revision: Revision) -> Option<Key> {
        let current = self.entries.get(path).map(|entry| entry.revision);
        if current >= Some(revision) && !self.any_order {
            return None;
        }
        self.entries.remove(path)?;
        let key = Key::parse(path)?;
        self.remove_record(&key);
        Some(key)
    }

    fn remove_record(&mut self, key: &Key) {
        match key {
            Key::Account(name) => {
                self.by_key.retain(|_, account| account != name);
                self.accounts.remove(name);
            }
            Key::Model(name) => {
                self.models.remove(name);
            }
            Key::Service(name) => {
                self.services.remove(name);
            }
            Key::Group(name) => {
                self.groups.remove(name);
            }
            Key::Upgrade(name) => {
                self.upgrades.remove(name);
            }
            Key::Placement(name) => {
                self.placements.remove(name);
            }
            Key::Duty(name) => {
                self.duties.remove(name);
            }
            Key::Daemon(name) => {
                self.daemons.remove(name);
            }
        }
    }
}
