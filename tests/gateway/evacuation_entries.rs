//! Evacuations as they arrive from the store, among the operators' entries.

use crate::entries;
use hickoryledge::{
    core::{
        input::{PlatformEntry, WatchEvent},
        keys::{HallName, Revision},
    },
    gateway::{
        operators::OperatorHandler, settings::Settings, state::GatewayState,
        watch::EntryHandler as _,
    },
    platform::Platform,
};
use std::{collections::BTreeSet, fs, path::Path};

const CONFIG: &str = r#"{"Version":1,"Routes":[]}"#;

fn entry(key: &str, value: &str) -> PlatformEntry {
    PlatformEntry {
        key: key.to_owned(),
        value: value.to_owned(),
        revision: Revision(1),
        lease: None,
    }
}

fn put(key: &str, value: &str) -> WatchEvent {
    WatchEvent::Put(entry(key, value))
}

fn deleted(key: &str) -> WatchEvent {
    WatchEvent::Deleted {
        revision: Revision(2),
        key: key.to_owned(),
    }
}

fn evacuated(state: &GatewayState) -> BTreeSet<HallName> {
    state.roster.borrow().evacuations.halls()
}

fn halls<const N: usize>(names: [&str; N]) -> BTreeSet<HallName> {
    BTreeSet::from(names.map(HallName::from))
}

/// A daemon that starts in the middle of an evacuation would serve before it knows of it.
#[test]
fn evacuations_come_into_force_with_the_first_configuration() {
    let state = entries::state();
    let handler = OperatorHandler::<Platform>::new(state.clone());
    let listed = vec![entry("op/config", CONFIG), entry("op/evacuate/b", "{}")];
    handler.on_list(Revision(1), listed);
    assert!(state.route_table().is_some());
    assert_eq!(evacuated(&state), halls(["b"]));
}

/// A key that can't be read must neither stop the daemon nor hide the others.
#[test]
fn invalid_keys_are_ignored_and_values_don_t_count() {
    let state = entries::state();
    let handler = OperatorHandler::<Platform>::new(state.clone());
    handler.on_change(vec![
        put("op/evacuate/", "{}"),
        put("op/evacuate/a/b", "{}"),
        put("op/evacuate", "{}"),
        put("op/evacuated/x", "{}"),
        put("op/other", "{}"),
        put("op/evacuate/a", "{"),
        put("op/evacuate/b", ""),
        put("op/evacuate/c", "\u{0}\u{fffd}"),
        put("op/evacuate/d", "false"),
        put("op/config", "{"),
    ]);
    assert_eq!(evacuated(&state), halls(["a", "b", "c", "d"]));
    handler.on_change(vec![deleted("op/evacuate/"), deleted("op/evacuate/c")]);
    assert_eq!(evacuated(&state), halls(["a", "b", "d"]));
    handler.on_list(Revision(3), vec![entry("op/evacuate/", "{}")]);
    assert_eq!(evacuated(&state), halls([]));
}

/// The copy has lost the key, and the operator writes it again within two seconds.
#[test]
fn list_of_an_older_copy_ends_no_evacuation_at_once() {
    let state = entries::state();
    let handler = OperatorHandler::<Platform>::new(state.clone());
    let listed = vec![entry("op/config", CONFIG), entry("op/evacuate/b", "{}")];
    handler.on_list(Revision(5), listed);
    handler.on_older_list(Revision(2), vec![entry("op/config", CONFIG)]);
    assert_eq!(evacuated(&state), halls(["b"]));
    handler.on_change(vec![deleted("op/evacuate/b")]);
    assert_eq!(evacuated(&state), halls([]));
}

/// Renders the template of the settings as the platform does, with this text for the bound.
fn rendered(bound: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/settings.yaml");
    let template = fs::read_to_string(path).expect("the template is read");
    let values = [
        ("{{Node}}", "d1"),
        ("{{Zone}}", "hall"),
        ("{{Listen.Front}}", "127.0.0.1:1"),
        ("{{Listen.Ready}}", "127.0.0.1:2"),
        ("{{Listen.Directory}}", "127.0.0.1:3"),
        ("{{Ip}}", "127.0.0.1"),
        ("{{InternalPorts.0}}", "5"),
        ("{{InternalPorts.1}}", "6"),
        ("{{Platform.Address}}", "127.0.0.1:4"),
        ("{{Bounds.RetryRatio}}", "0.2"),
        ("{{Bounds.RetrySlack}}", "134"),
        ("{{Bounds.RetryWindowS}}", "10"),
        ("{{Bounds.GraceS}}", "8"),
        ("{{Limits.CpuShare}}", "0.12"),
        ("{{Bootstrap}}", "true"),
        ("{{Bounds.EvacuateMs}}", bound),
    ];
    let fill = |text: String, (name, value): (&str, &str)| text.replace(name, value);
    values.into_iter().fold(template, fill)
}

/// Settings that a daemon can't read keep it from starting, on every host. A platform without the bound
/// leaves its text empty, or the placeholder as it is.
#[test]
fn template_gives_valid_settings_with_and_without_the_bound() {
    let bound = |text: &str| {
        let settings = Settings::parse(&rendered(text));
        settings.map(|settings| settings.evacuation_ms)
    };
    assert_eq!(bound("5000").expect("with a bound"), Some(5_000));
    assert_eq!(bound("").expect("without a bound"), None);
    assert_eq!(bound("{{Bounds.EvacuateMs}}").expect("not filled in"), None);
    assert!(bound("soon").is_err());
    assert!(bound("-1").is_err());
}
