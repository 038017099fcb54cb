//! Checks that every file under `examples/` is valid.

use std::fs;
use std::path::{Path, PathBuf};

use dyketally::template::{DocumentKind, Documents, resolve};
use dyketally_proxy::settings::{Flags, check, load_configuration, read};

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Paths of the files and directories directly in `directory`, sorted.
fn entries(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("directory");
    let path = |entry: std::io::Result<fs::DirEntry>| entry.expect("entry").path();
    let mut paths: Vec<PathBuf> = entries.map(path).collect();
    paths.sort();
    paths
}

fn add_documents(documents: &mut Documents, kind: DocumentKind, directory: &Path) {
    for path in entries(directory) {
        let name = path.file_stem().and_then(|name| name.to_str());
        let name = name.expect("file name").to_owned();
        let text = fs::read_to_string(&path).expect("document");
        documents.of_kind_mut(kind).insert(name, text);
    }
}

#[test]
fn every_example_is_clean() {
    let mut documents = Documents::default();
    for path in entries(&examples()) {
        let name = path.file_name().and_then(|name| name.to_str());
        match name.expect("file name") {
            "dyketallyd.toml" => {
                let report = check(&path);
                assert!(report.is_clean(), "{report}");
            }
            "single-node.toml" => {
                let policy = load_configuration(&path).unwrap_or_else(|report| panic!("{report}"));
                assert_eq!(policy.tenants.len(), 1);
            }
            "groups" => add_documents(&mut documents, DocumentKind::Group, &path),
            "templates" => add_documents(&mut documents, DocumentKind::Template, &path),
            "tenants" => add_documents(&mut documents, DocumentKind::Tenant, &path),
            "lab" => assert_checked_by_the_lab(&path),
            other => panic!("examples/{other} is not checked; add a check of it here"),
        }
    }
    let policy = resolve(&documents).unwrap_or_else(|faults| panic!("{faults:#?}"));
    assert_eq!(policy.groups.len(), documents.groups.len());
    assert_eq!(policy.tenants.len(), documents.tenants.len());
}

/// Fails on a file in `examples/lab` that the lab's own tests don't read.
fn assert_checked_by_the_lab(directory: &Path) {
    for path in entries(directory) {
        assert!(path.ends_with("database.toml"), "{path:?} is not checked");
    }
}

/// All fields that the example shows commented out exist, and the example is valid with all of them set.
#[test]
fn commented_fields_of_the_example_exist() {
    let text = fs::read_to_string(examples().join("dyketallyd.toml")).expect("example");
    let field = |line: &str| line.starts_with("[[") || line.contains(" = ");
    let uncomment = |line: &str| match line.strip_prefix("# ") {
        Some(rest) if field(rest) => rest.to_owned(),
        _ => line.to_owned(),
    };
    let lines: Vec<String> = text.lines().map(uncomment).collect();
    let text = lines.join("\n");
    read("example", &text, &Flags::default()).unwrap_or_else(|report| panic!("{report}\n{text}"));
}
