//! Checks that the page on logs names every event and every counter.

use std::path::Path;

fn source(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    std::fs::read_to_string(path).expect("a source")
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.extend(letter.to_lowercase());
    }
    text
}

/// The names of all events: the variants of `Event`, which are the lines indented by four spaces that start
/// with a capital.
fn events() -> Vec<String> {
    let text = source("src/event.rs");
    let start = text.find("pub enum Event").expect("the events");
    let end = text[start..].find("\n}").expect("their end") + start;
    let lines = text[start..end]
        .lines()
        .filter_map(|line| line.strip_prefix("    "));
    let variants = lines.filter(|line| line.starts_with(|first: char| first.is_uppercase()));
    variants
        .map(|line| line.split([' ', '(', ',']).next().unwrap_or_default())
        .map(snake_case)
        .collect()
}

fn counters() -> Vec<String> {
    let own = fields("src/counters.rs", ": Counter,");
    let store = fields("src/counters.rs", ": AtomicU64,");
    [own, store].concat()
}

/// The names of the fields in `file` whose lines end with `suffix`.
fn fields(file: &str, suffix: &str) -> Vec<String> {
    let text = source(file);
    let fields = text
        .lines()
        .filter_map(|line| line.trim().strip_suffix(suffix));
    fields
        .map(|field| field.replace("pub(crate) ", "").replace("pub ", ""))
        .collect()
}

#[test]
fn every_event_and_counter_is_documented() {
    let page = source("../../docs/logs.md");
    let names = [events(), counters()].concat();
    assert!(names.len() > 20, "{names:?}");
    let missing: Vec<&String> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
