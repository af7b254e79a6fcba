//! The committed code under `src/wire/` is what the schema files give.
//!
//! `UPDATE_GENERATED=1 cargo test --test generated` writes it anew.

use std::{fs, path::Path};

#[test]
fn committed_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let fresh = tempfile::tempdir().expect("temporary folder");
    let schemas = protox::compile(["operator.proto", "rpc.proto"], [root.join("proto")])
        .expect("schema files are valid");
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(fresh.path())
        .compile_fds(schemas)
        .expect("code is generated");
    let update = std::env::var_os("UPDATE_GENERATED").is_some();
    for entry in fs::read_dir(fresh.path()).expect("folder is read") {
        let path = entry.expect("entry is read").path();
        let committed = root
            .join("src/wire")
            .join(path.file_name().expect("file has a name"));
        let text = fs::read_to_string(&path).expect("generated file is read");
        if update {
            fs::write(&committed, text).expect("committed file is written");
            continue;
        }
        let held = fs::read_to_string(&committed).unwrap_or_default();
        assert!(held == text, "{} is not current", committed.display());
    }
}
