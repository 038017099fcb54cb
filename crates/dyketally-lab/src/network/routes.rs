//! Settings fragments that make a process use its relays.

use std::fmt::Write;

use super::control::RouteEntry;

/// The `[[network.routes]]` tables of the settings of the process `source`.
pub fn routes_fragment(routes: &[RouteEntry], source: &str) -> String {
    let mut fragment = String::new();
    for route in routes.iter().filter(|route| route.source == source) {
        // Writing to a string can't fail.
        let _ = writeln!(
            fragment,
            "[[network.routes]]\nto = \"{}\"\nvia = \"{}\"\n",
            route.to, route.via
        );
    }
    fragment
}
