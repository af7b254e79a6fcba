//! Checks that the generated code under `src/wire/` matches the schema files in `proto/`.
//!
//! `UPDATE_GENERATED=1 cargo test --test generated` regenerates it.

use std::{fs, path::Path};

#[test]
fn generated_code_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = tempfile::tempdir().expect("temporary directory");
    let schemas = protox::compile(["operator.proto", "rpc.proto"], [root.join("proto")])
        .expect("schema files are valid");
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(output.path())
        .compile_fds(schemas)
        .expect("code is generated");
    let update = std::env::var_os("UPDATE_GENERATED").is_some();
    for entry in fs::read_dir(output.path()).expect("directory is read") {
        let path = entry.expect("entry is read").path();
        let committed = root
            .join("src/wire")
            .join(path.file_name().expect("file has a name"));
        let text = fs::read_to_string(&path).expect("generated file is read");
        if update {
            fs::write(&committed, text).expect("committed file is written");
            continue;
        }
        let committed_text = fs::read_to_string(&committed).unwrap_or_default();
        assert!(
            committed_text == text,
            "{} is not up to date",
            committed.display()
        );
    }
}
