//! The layers of the gateway: a layer imports only from itself and from layers below it, so that a change of
//! the layers above can't break it.

use std::path::{Path, PathBuf};

/// The layers from lowest to highest; each may import from itself and from earlier ones. Modules in the same
/// list form one layer. Files at the crate's root belong to the layer that contains their module name.
const LAYERS: &[&[&str]] = &[
    &[
        "settings", "ports", "event", "counters", "measures", "context",
    ],
    &["decision"],
    &["database"],
    &["fleet"],
    &["store"],
    &["succession"],
    &["quota"],
    &["statement"],
    &["session"],
    &["gateway"],
    &["node", "lib"],
];

/// Modules that import nothing from higher layers, which the test enforces. A module that reaches this state
/// is added here and never removed.
const FINISHED: &[&str] = &[
    "settings",
    "ports",
    "event",
    "counters",
    "measures",
    "context",
    "decision",
    "database",
    "fleet",
    "store",
    "succession",
    "quota",
    "statement",
    "session",
];

fn sources() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn files_below(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files_below(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// All source files of a module at the crate's root.
fn files_of(layer: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let folder = sources().join(layer);
    if folder.is_dir() {
        files_below(&folder, &mut files);
    }
    let file = sources().join(format!("{layer}.rs"));
    if file.is_file() {
        files.push(file);
    }
    files
}

/// The index in `LAYERS` of a module at the crate's root; `None` if it is in no layer.
fn height(module: &str) -> Option<usize> {
    LAYERS.iter().position(|layer| layer.contains(&module))
}

/// The modules at the crate's root that `text` names as `crate::…`, also within a group as in
/// `use crate::{a, b::C}`. Comments count too, since their links also refer to other modules.
fn modules_named(text: &str) -> Vec<String> {
    let mut modules = Vec::new();
    for (start, _) in text.match_indices("crate::") {
        let is_own =
            !text[..start].ends_with(|before: char| before.is_alphanumeric() || before == '_');
        if is_own {
            modules.extend(first_names(&text[start + "crate::".len()..]));
        }
    }
    modules
}

/// The first name of the path at the start of `path`, or of each path if it starts with a group in braces.
fn first_names(path: &str) -> Vec<String> {
    let Some(group) = path.strip_prefix('{') else {
        return vec![leading_name(path)];
    };
    let mut depth = 0_i32;
    let mut names = vec![leading_name(group)];
    for (index, letter) in group.char_indices() {
        match letter {
            '{' => depth += 1,
            '}' if depth == 0 => break,
            '}' => depth -= 1,
            ',' if depth == 0 => names.push(leading_name(&group[index + 1..])),
            _ => {}
        }
    }
    names.retain(|name| !name.is_empty());
    names
}

fn leading_name(path: &str) -> String {
    let letters = path.trim_start().chars();
    letters
        .take_while(|letter| letter.is_alphanumeric() || *letter == '_')
        .collect()
}

/// True when a path in a file at `depth` modules below the crate's root goes up by `super::` beyond its layer.
fn leaves_its_layer(text: &str, depth: usize) -> bool {
    text.contains(&"super::".repeat(depth + 1))
}

#[test]
fn finished_layers_import_nothing_from_above() {
    let mut wrong = Vec::new();
    for layer in FINISHED {
        let own = height(layer).expect("a layer");
        let files = files_of(layer);
        assert!(!files.is_empty(), "{layer} has no files");
        for file in files {
            let text = std::fs::read_to_string(&file).expect("a source");
            let within = file.strip_prefix(sources()).expect("a source");
            let is_module = file.ends_with("mod.rs");
            let depth = within.components().count() - usize::from(is_module) - 1;
            if leaves_its_layer(&text, depth) {
                wrong.push(format!("{}: super leaves the layer", within.display()));
            }
            for module in modules_named(&text) {
                let Some(height) = height(&module) else {
                    panic!(
                        "{}: `{module}` is in no layer; add it to one",
                        within.display()
                    );
                };
                if height > own {
                    wrong.push(format!("{}: crate::{module}", within.display()));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "imports from above: {wrong:#?}");
}

#[test]
fn each_module_of_the_crate_is_in_a_layer() {
    for entry in std::fs::read_dir(sources()).expect("the sources") {
        let path = entry.expect("an entry").path();
        let module = path.file_stem().expect("a name").to_string_lossy();
        assert!(
            height(&module).is_some(),
            "`{module}` is in no layer; add it to one"
        );
    }
}

#[test]
fn imports_are_recognised() {
    let text = "use crate::fleet::link;\nuse crate::{event::Event, store::{a, b}, ports};\n\
                fn f() { crate::node::run() }\nmycrate::quota";
    assert_eq!(
        modules_named(text),
        ["fleet", "event", "store", "ports", "node"]
    );
}
