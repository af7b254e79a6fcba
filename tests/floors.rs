//! Floors of the gateway's modules: decisions below, I/O above.
//!
//! Reads the imports in `src/gateway`. A module is named by its path there, such
//! as `permits/bucket`; an arrow leads from a module to one that it imports.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
};
use syn::{
    File, Item, UseTree,
    visit::{self, Visit},
};

/// Modules that decide, and read no clock and do no I/O.
const DECISIONS: [&str; 71] = [
    "account_totals",
    "account_work",
    "admission",
    "backoff",
    "balancer",
    "balancer/admit",
    "balancer/assess",
    "balancer/candidates",
    "balancer/criteria",
    "balancer/draw",
    "budget",
    "caller_timeouts",
    "candidacy",
    "changes/history",
    "changes/source",
    "coldness",
    "contact",
    "contention",
    "decay",
    "demand",
    "drain",
    "evacuation",
    "fair_share",
    "formation",
    "group",
    "head_limits",
    "lifecycle",
    "liveness",
    "load",
    "load_exchange/choice",
    "load_exchange/estimate",
    "load_exchange/message",
    "load_exchange/tally",
    "load_exchange/work_tally",
    "notices",
    "openings",
    "outages",
    "outlook",
    "peer_relay/choice",
    "permits/authority",
    "permits/bucket",
    "permits/denials",
    "permits/issuer",
    "planner",
    "planner/ending",
    "planner/pools",
    "pool",
    "quarantine/crash",
    "quarantine/distrust",
    "quarantine/entries",
    "quarantine/fingerprint",
    "quarantine/involvement",
    "quarantine/mark",
    "quarantine/reports",
    "quarantine/restarts",
    "quarantine/soundness",
    "quarantine/suspects",
    "quarantine/verdict",
    "rank",
    "rank_demand",
    "reach",
    "roster",
    "roster/listing",
    "routes",
    "runner",
    "sent_orders",
    "shares",
    "staging",
    "startup",
    "water_filling",
    "weight_loads",
];

/// Files of modules that decide for the gateway and for the product's own interface.
const SHARED_DECISIONS: [&str; 1] = ["src/shell/held_bytes.rs"];

/// Modules of values that decisions are made about.
const VALUES: [&str; 4] = ["order", "peers", "spec", "stated"];

/// Paths that decisions must not import, by their first names.
const IO: [&[&str]; 9] = [
    &["compio"],
    &["hyper"],
    &["hyper_util"],
    &["metrics"],
    &["slog"],
    &["std", "net", "TcpStream"],
    &["std", "net", "UdpSocket"],
    &["std", "time", "Instant"],
    &["std", "time", "SystemTime"],
];

/// Modules that import each other, directly or by way of others. A module that has left its circle
/// must leave the list too.
const CIRCLES: [&[&str]; 4] = [
    &["group", "roster", "roster/listing"],
    &["planner", "planner/pools"],
    &["peer_relay", "peer_relay/stream", "stream"],
    &[
        "announcements",
        "datagrams",
        "load_exchange",
        "permits",
        "permits/waiting",
        "progress",
        "quarantine/exchange",
        "state",
    ],
];

/// Path of an import, such as `crate`, `core`, `time`, `Span`.
type ImportPath = Vec<String>;

/// Paths that a file imports or names.
#[derive(Default)]
struct Paths(Vec<ImportPath>);

impl Paths {
    /// Returns the paths in a file.
    fn of(file: &Path) -> Vec<ImportPath> {
        let text = std::fs::read_to_string(file).expect("readable");
        let parsed: File = syn::parse_file(&text).expect("Rust");
        let mut paths = Self::default();
        let items = parsed.items.iter();
        let own = items.filter(|item| !matches!(item, Item::Macro(_)));
        own.for_each(|item| paths.visit_item(item));
        paths.0
    }

    fn add_tree(&mut self, prefix: &[String], tree: &UseTree) {
        let with = |name: &dyn ToString| [prefix, &[name.to_string()]].concat();
        match tree {
            UseTree::Path(path) => self.add_tree(&with(&path.ident), &path.tree),
            UseTree::Name(name) => self.0.push(with(&name.ident)),
            UseTree::Rename(name) => self.0.push(with(&name.ident)),
            UseTree::Glob(_) => self.0.push(prefix.to_vec()),
            UseTree::Group(group) => {
                let trees = group.items.iter();
                trees.for_each(|tree| self.add_tree(prefix, tree));
            }
        }
    }
}

impl Visit<'_> for Paths {
    fn visit_item_use(&mut self, item: &syn::ItemUse) {
        self.add_tree(&[], &item.tree);
    }

    /// `pub(super)` imports nothing.
    fn visit_visibility(&mut self, _: &syn::Visibility) {}

    fn visit_path(&mut self, path: &syn::Path) {
        let names = path
            .segments
            .iter()
            .map(|segment| segment.ident.to_string());
        self.0.push(names.collect());
        visit::visit_path(self, path);
    }
}

/// Modules of the gateway with what they import.
struct Modules {
    paths: BTreeMap<String, Vec<ImportPath>>,
}

impl Modules {
    fn read() -> Self {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/gateway");
        let mut files = Vec::new();
        find_files(&root, &mut files);
        let paths = files.iter().filter_map(|file| {
            let name = module_name(&root, file)?;
            Some((name, Paths::of(file)))
        });
        Self {
            paths: paths.collect(),
        }
    }

    /// Returns the modules of the gateway that a module imports.
    fn arrows(&self, module: &str) -> BTreeSet<String> {
        let paths = self.paths[module].iter();
        let found = paths.filter_map(|path| self.resolve(module, path));
        found.filter(|found| found != module).collect()
    }

    /// Returns the module that a path in another one leads to.
    fn resolve(&self, module: &str, path: &[String]) -> Option<String> {
        let mut place: Vec<&str> = module.split('/').collect();
        let mut rest = path.iter().map(String::as_str).peekable();
        match rest.peek()? {
            &"crate" => {
                rest.next();
                rest.next_if_eq(&"gateway")?;
                place.clear();
            }
            &"super" => {
                while rest.next_if_eq(&"super").is_some() {
                    place.pop()?;
                }
            }
            &"self" => {
                rest.next();
            }
            name => {
                let child = [&place[..], &[*name]].concat().join("/");
                self.paths.get(&child)?;
            }
        }
        for name in rest {
            place.push(name);
            if !self.paths.contains_key(&place.join("/")) {
                place.pop();
                break;
            }
        }
        let found = place.join("/");
        self.paths.contains_key(&found).then_some(found)
    }

    /// Returns the modules that a module imports, also by way of others.
    fn reached(&self, module: &str) -> BTreeSet<String> {
        let mut reached = BTreeSet::new();
        let mut open = vec![module.to_owned()];
        while let Some(next) = open.pop() {
            let arrows = self.arrows(&next).into_iter();
            let news: Vec<String> = arrows.filter(|found| !reached.contains(found)).collect();
            reached.extend(news.iter().cloned());
            open.extend(news);
        }
        reached
    }
}

fn find_files(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("readable") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            find_files(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// Returns the name of a file's module; none for the gateway's own.
fn module_name(root: &Path, file: &Path) -> Option<String> {
    let path = file.strip_prefix(root).expect("below").with_extension("");
    let name = path.to_str().expect("text");
    let name = name.strip_suffix("/mod").unwrap_or(name);
    (name != "mod").then(|| name.to_owned())
}

#[test]
fn decisions_import_decisions_and_values_only() {
    let modules = Modules::read();
    let mut wrong = Vec::new();
    for decision in DECISIONS {
        for arrow in modules.arrows(decision) {
            let is_below = DECISIONS.contains(&&*arrow) || VALUES.contains(&&*arrow);
            if !is_below {
                wrong.push(format!("{decision} -> {arrow}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn decisions_import_no_io_and_no_clock() {
    let modules = Modules::read();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let shared = SHARED_DECISIONS.map(|file| (file, Paths::of(&root.join(file))));
    let own = DECISIONS.iter().chain(&VALUES);
    let own = own.map(|module| (*module, modules.paths[*module].clone()));
    let mut wrong = Vec::new();
    for (module, paths) in own.chain(shared) {
        for path in paths {
            let is_io = IO.iter().any(|io| {
                let names = path.iter().map(String::as_str);
                names.take(io.len()).eq(io.iter().copied())
            });
            if is_io {
                wrong.push(format!("{module} -> {}", path.join("::")));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn modules_import_each_other_only_in_known_circles() {
    let modules = Modules::read();
    let reached: BTreeMap<&String, BTreeSet<String>> = modules
        .paths
        .keys()
        .map(|module| (module, modules.reached(module)))
        .collect();
    let mut circles: BTreeSet<Vec<&str>> = BTreeSet::new();
    for (module, own) in &reached {
        let circle = own.iter().filter(|other| reached[other].contains(*module));
        let circle: Vec<&str> = circle.map(String::as_str).collect();
        if circle.len() > 1 {
            circles.insert(circle);
        }
    }
    let known: BTreeSet<Vec<&str>> = CIRCLES.iter().map(|circle| circle.to_vec()).collect();
    assert_eq!(circles, known);
}
