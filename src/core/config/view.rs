//! The typed view of the platform's key space that every daemon holds.
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

/// Where the system's keys live at the platform's service.
pub const ROOT: &str = "/hickoryledge/";

crate::record! {
    /// Names one key of the view.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub enum Key {
        /// An account.
        Account(AccountName),
        /// A model.
        Model(ModelName),
        /// A plain service.
        Service(ServiceName),
        /// A group as wanted.
        Group(GroupName),
        /// An upgrade.
        Upgrade(UpgradeName),
        /// A domain's placement.
        Placement(DomainName),
        /// A domain's duty.
        Duty(DomainName),
        /// A daemon.
        Daemon(DaemonName),
    }
}

impl Key {
    /// The key's text at the platform's service.
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

    /// Reads a key's text; nothing if it is not one of ours.
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

/// A record and the revision that wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The record.
    pub record: T,
    /// The revision of its last write.
    pub revision: Revision,
}

/// The records in force on this daemon.
#[derive(Clone, Debug, Default)]
pub struct View {
    revision: Revision,
    any_order: bool,
    raw: BTreeMap<String, PlatformEntry>,
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
    /// The revision up to which the view is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every entry as the platform's service holds it, by key text.
    pub fn entries(&self) -> impl Iterator<Item = &PlatformEntry> {
        self.raw.values()
    }

    /// The entry under a key.
    pub fn entry(&self, key: &Key) -> Option<&PlatformEntry> {
        self.raw.get(&key.path())
    }

    /// The account whose callers present this key.
    pub fn account_by_key(&self, key: &KeyHash) -> Option<&Account> {
        self.account(self.by_key.get(key)?)
    }

    /// An account.
    pub fn account(&self, name: &AccountName) -> Option<&Account> {
        self.accounts.get(name).map(|v| &v.record)
    }

    /// Every account, by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values().map(|v| &v.record)
    }

    /// A model.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.get(name).map(|v| &v.record)
    }

    /// A model, with the revision of its last write.
    pub fn model_entry(&self, name: &ModelName) -> Option<&Versioned<Model>> {
        self.models.get(name)
    }

    /// Every model, by name.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.values().map(|v| &v.record)
    }

    /// A plain service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name).map(|v| &v.record)
    }

    /// A group as wanted.
    pub fn group(&self, name: &GroupName) -> Option<&Versioned<GroupSpec>> {
        self.groups.get(name)
    }

    /// Every group as wanted, by name.
    pub fn groups(&self) -> impl Iterator<Item = &Versioned<GroupSpec>> {
        self.groups.values()
    }

    /// An upgrade.
    pub fn upgrade(&self, name: &UpgradeName) -> Option<&Versioned<Upgrade>> {
        self.upgrades.get(name)
    }

    /// Every upgrade, by name.
    pub fn upgrades(&self) -> impl Iterator<Item = &Versioned<Upgrade>> {
        self.upgrades.values()
    }

    /// A domain's placement.
    pub fn placement(&self, domain: &DomainName) -> Option<&Versioned<Placement>> {
        self.placements.get(domain)
    }

    /// Every placement, by domain.
    pub fn placements(&self) -> impl Iterator<Item = &Versioned<Placement>> {
        self.placements.values()
    }

    /// Who drives a domain's placement.
    pub fn duty(&self, domain: &DomainName) -> Option<&Versioned<Duty>> {
        self.duties.get(domain)
    }

    /// A daemon registered.
    pub fn daemon(&self, daemon: &DaemonName) -> Option<&Versioned<Daemon>> {
        self.daemons.get(daemon)
    }

    /// The daemons registered, by name.
    pub fn daemons(&self) -> impl Iterator<Item = &Versioned<Daemon>> {
        self.daemons.values()
    }
}

/// Commands.
impl View {
    /// Applies one change; one older than what is held, or deleted, is left out.
    ///
    /// Returns the key if its value has changed.
    pub fn apply(&mut self, event: WatchEvent) -> Option<Key> {
        match event {
            WatchEvent::Put(entry) if self.is_outdated(&entry) => None,
            WatchEvent::Put(entry) => self.put(entry),
            WatchEvent::Deleted { key, revision } => self.delete(&key, revision),
        }
    }

    /// Marks the view as complete up to a revision; it never goes back.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Takes over a whole list read at `revision`, and returns the keys that changed.
    ///
    /// A list older than the view changes nothing.
    pub fn replace(&mut self, entries: Vec<PlatformEntry>, revision: Revision) -> Vec<Key> {
        if revision < self.revision && !self.any_order {
            return Vec::new();
        }
        let listed: BTreeSet<&String> = entries.iter().map(|e| &e.key).collect();
        let gone: Vec<String> = self
            .raw
            .keys()
            .filter(|key| !listed.contains(*key))
            .cloned()
            .collect();
        let mut changed = Vec::new();
        changed.extend(gone.iter().filter_map(|key| self.delete(key, revision)));
        changed.extend(entries.into_iter().filter_map(|entry| self.put(entry)));
        self.advance(revision);
        changed
    }

    /// Lets older changes replace newer ones; for tests that show why not.
    pub(super) fn allow_any_order(&mut self) {
        self.any_order = true;
    }

    /// Whether a key not held was deleted after `entry` was written.
    ///
    /// The view is complete up to its revision, so a key that is not held then
    /// has no write up to there that still counts.
    fn is_outdated(&self, entry: &PlatformEntry) -> bool {
        let is_held = self.raw.contains_key(&entry.key);
        !self.any_order && !is_held && entry.revision <= self.revision
    }

    fn put(&mut self, entry: PlatformEntry) -> Option<Key> {
        let key = Key::parse(&entry.key)?;
        let held = self.raw.get(&entry.key).map(|e| e.revision);
        if held >= Some(entry.revision) && !self.any_order {
            return None;
        }
        let known = self.decode(&key, &entry);
        self.raw.insert(entry.key.clone(), entry);
        known.map(|()| key)
    }

    fn decode(&mut self, key: &Key, entry: &PlatformEntry) -> Option<()> {
        fn read<T>(entry: &PlatformEntry) -> Option<Versioned<T>>
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
                let account: Versioned<Account> = read(entry)?;
                self.forget(key);
                if account.record.deleted {
                    return Some(());
                }
                self.by_key.insert(account.record.key, name.clone());
                self.accounts.insert(name.clone(), account);
            }
            Key::Model(name) => {
                let model: Versioned<Model> = read(entry)?;
                self.forget(key);
                if model.record.deleted {
                    return Some(());
                }
                self.models.insert(name.clone(), model);
            }
            Key::Service(name) => {
                self.services.insert(name.clone(), read(entry)?);
            }
            Key::Group(name) => {
                self.groups.insert(name.clone(), read(entry)?);
            }
            Key::Upgrade(name) => {
                self.upgrades.insert(name.clone(), read(entry)?);
            }
            Key::Placement(name) => {
                self.placements.insert(name.clone(), read(entry)?);
            }
            Key::Duty(name) => {
                self.duties.insert(name.clone(), read(entry)?);
            }
            Key::Daemon(name) => {
                self.daemons.insert(name.clone(), read(entry)?);
            }
        }
        Some(())
    }

    fn delete(&mut self, path: &str, revision: Revision) -> Option<Key> {
        let held = self.raw.get(path).map(|entry| entry.revision);
        if held >= Some(revision) && !self.any_order {
            return None;
        }
        self.raw.remove(path)?;
        let key = Key::parse(path)?;
        self.forget(&key);
        Some(key)
    }

    fn forget(&mut self, key: &Key) {
        match key {
            Key::Account(name) => {
                self.by_key.retain(|_, holder| holder != name);
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
