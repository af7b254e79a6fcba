//! Style rules that the formatter can't check.
//!
//! Imports are nested, with one `use` statement a crate, and names of the users' platform stay in
//! its adapter.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

/// Generated files, which are not checked.
const GENERATED: [&str; 3] = ["etcdserverpb.rs", "hickoryledge.v1.rs", "mvccpb.rs"];

/// Adds the Rust files in a directory and its subdirectories to `found`.
fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for entry in entries {
        let path = entry.expect("entry is read").path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if path.is_dir() {
            sources(&path, found);
        } else if name.ends_with(".rs") && !GENERATED.contains(&name.as_str()) {
            found.push(path);
        }
    }
}

/// Counts the top-level `use` statements of a file by crate; public ones are counted by path.
fn imports(text: &str) -> BTreeMap<String, usize> {
    let mut imports = BTreeMap::new();
    for line in text.lines() {
        let Some(path) = line.strip_prefix("use ").or(line.strip_prefix("pub use ")) else {
            continue;
        };
        let visible = line.starts_with("pub ");
        let root = path.split([':', ' ', ';', '{']).next().unwrap_or_default();
        let key = if visible {
            format!("pub {path}")
        } else {
            root.to_owned()
        };
        *imports.entry(key).or_default() += 1;
    }
    imports
}

#[test]
fn has_one_import_statement_per_crate() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for directory in ["src", "platform", "tests", "examples", "benches"] {
        sources(&root.join(directory), &mut files);
    }
    assert!(files.len() > 100, "source files were not found");
    for file in files {
        let text = fs::read_to_string(&file).expect("source is read");
        for (path, count) in imports(&text) {
            assert!(
                !path.is_empty(),
                "{}: import group without a crate",
                file.display()
            );
            assert!(
                count == 1,
                "{}: {count} statements import from {path}",
                file.display()
            );
        }
    }
}

/// Keys, paths and headers of the users' platform in lower case, which only its adapter may use.
const PLATFORM_NAMES: [&str; 14] = [
    "op/config",
    "op/evacuate",
    "servers/",
    "kv-",
    "x-response-stamp",
    "x-expect-instance",
    "x-prompt-prefix",
    "x-tenant",
    "x-server-load",
    "x-urgency",
    "x-cold-ms",
    "x-token-count",
    "hickoryledge_config",
    "fleetbench",
];

/// Fields of the users' platform and paths of its requests, which only its adapter may use.
const PLATFORM_FIELDS: [&str; 10] = [
    "\"Prefix\"",
    "\"Split\"",
    "\"Sticky\"",
    "SloMs",
    "ApiKeys",
    "GapAimMs",
    "ColdLeftMs",
    "ColdPerS",
    "/readyz",
    "/resolve",
];

#[test]
fn keeps_platform_names_in_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    assert!(files.len() > 100, "source files were not found");
    for file in files {
        let text = fs::read_to_string(&file).expect("source is read");
        let lower = text.to_lowercase();
        let names = PLATFORM_NAMES.iter().filter(|name| lower.contains(**name));
        let fields = PLATFORM_FIELDS
            .iter()
            .filter(|field| text.contains(**field));
        let found: Vec<&&str> = names.chain(fields).collect();
        assert!(
            found.is_empty(),
            "{} uses platform names {found:?}",
            file.display()
        );
    }
}
