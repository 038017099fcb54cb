//! Where nodes and databases of the scale run are, and the configuration they get.

use dyketally::configuration::{Document, DocumentEdit, MOST_EDITS};
use dyketally::identifiers::{DatabaseName, Locality, NodeName};
use dyketally::template::DocumentKind;

/// Regions of the scale run.
pub const REGIONS: usize = 3;

/// Zones of each region.
pub const ZONES_PER_REGION: usize = 2;

/// All zones.
pub const ZONES: usize = REGIONS * ZONES_PER_REGION;

const MEMBERS_PER_GROUP: usize = 3;
const TEMPLATE: &str = "orders";

/// Tenants in the configuration.
pub const TENANTS: usize = 100;

/// The zone of that number; wraps around.
pub fn zone(number: usize) -> Locality {
    let number = number % ZONES;
    let region = region_of_zone(number);
    Locality {
        region: format!("region-{region}").as_str().into(),
        zone: format!("zone-{number}").as_str().into(),
    }
}

/// The region of a zone.
pub const fn region_of_zone(zone: usize) -> usize {
    zone % ZONES / ZONES_PER_REGION
}

/// The node of that number. Node `n` runs in zone `n`, wrapping around.
pub fn node_name(number: usize) -> NodeName {
    format!("node-{number:04}").as_str().into()
}

/// The database of that number and its place.
pub fn database(number: usize) -> (DatabaseName, Locality) {
    (
        format!("database-{number:04}").as_str().into(),
        zone(number),
    )
}

/// Changes that together publish the whole configuration.
pub fn initial_changes(databases: usize) -> Vec<Vec<DocumentEdit>> {
    let mut edits = vec![put(DocumentKind::Template, TEMPLATE, template())];
    let groups = databases.div_ceil(MEMBERS_PER_GROUP);
    for group in 0..groups {
        let first = group * MEMBERS_PER_GROUP;
        let members = first..databases.min(first + MEMBERS_PER_GROUP);
        let name = group_name(group);
        edits.push(put(DocumentKind::Group, &name, group_text(&name, members)));
    }
    for tenant in 0..TENANTS {
        edits.push(tenant_edit(tenant, groups, 1));
    }
    edits
        .chunks(MOST_EDITS)
        .map(<[DocumentEdit]>::to_vec)
        .collect()
}

/// A change of one tenant's weight.
pub fn tenant_change(tenant: usize, databases: usize, weight: usize) -> Vec<DocumentEdit> {
    let groups = databases.div_ceil(MEMBERS_PER_GROUP);
    vec![tenant_edit(tenant % TENANTS, groups, weight)]
}

fn put(kind: DocumentKind, name: &str, text: String) -> DocumentEdit {
    DocumentEdit::Put(Document {
        kind,
        name: name.to_owned(),
        text,
    })
}

fn group_name(group: usize) -> String {
    format!("group-{group:03}")
}

fn group_text(name: &str, members: std::ops::Range<usize>) -> String {
    let mut text = format!("name = \"{name}\"\n");
    for number in members {
        let (database, place) = database(number);
        let (high, low) = (number / 250, number % 250 + 1);
        text.push_str(&format!(
            "\n[[members]]\nname = \"{database}\"\naddress = \"10.9.{high}.{low}:5432\"\n\
             region = \"{}\"\nzone = \"{}\"\nconnection_limit = 40\nslots = 5\n",
            place.region, place.zone
        ));
    }
    text
}

fn template() -> String {
    let statements = [
        ("INSERT INTO orders", "write"),
        ("UPDATE orders", "write"),
        ("DELETE FROM orders", "write"),
        ("SELECT value FROM orders", "read"),
        ("SELECT key, value FROM orders", "read"),
        ("SELECT value FROM stock", "read"),
    ];
    let mut text = format!(
        "name = \"{TEMPLATE}\"\nweight = \"${{weight}}\"\ndatabases = \"${{databases}}\"\n\n\
         [parameters.databases]\ntype = \"databases\"\n\n\
         [parameters.weight]\ntype = \"integer\"\ndefault = 10\n"
    );
    for (prefix, access) in statements {
        text.push_str(&format!(
            "\n[[statements]]\nmatch = {{ prefix = \"{prefix}\" }}\naccess = \"{access}\"\n\
             deadline = \"2s\"\n"
        ));
    }
    text
}

fn tenant_edit(tenant: usize, groups: usize, weight: usize) -> DocumentEdit {
    let name = format!("tenant-{tenant:03}");
    let used = [
        tenant % groups,
        (tenant + 1) % groups,
        (tenant + 2) % groups,
    ];
    let databases: Vec<String> = used
        .iter()
        .map(|group| format!("{0} = \"{0}\"", group_name(*group)))
        .collect();
    let text = format!(
        "name = \"{name}\"\ntemplate = \"{TEMPLATE}\"\n\n[parameters]\nweight = {weight}\n\
         databases = {{ {} }}\n",
        databases.join(", ")
    );
    put(DocumentKind::Tenant, &name, text)
}
