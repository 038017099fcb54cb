//! Turns all documents of a revision into the policies that the request path reads.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use super::documents::{DocumentKind, Documents, document_label};
use super::group::read_group;
use super::parameter::read_arguments;
use super::template_document::Template;
use super::tenant::TenantDocument;
use crate::document::{Fault, FaultKind, FaultList};
use crate::identifiers::{GroupName, TenantName};
use crate::policy::{GroupPolicy, PolicySet, TenantPolicy};

/// Checks all documents together and fills in the templates. Returns either the policies of all
/// documents or all faults. The caller sets the revision of the result.
pub fn resolve(documents: &Documents) -> Result<PolicySet, Vec<Fault>> {
    let faults = FaultList::new();
    let groups = resolve_groups(documents, &faults);
    let templates = read_templates(documents, &faults);
    let tenants = resolve_tenants(documents, &templates, &faults);
    check_references(&tenants, documents, &faults);
    let policy = PolicySet {
        groups,
        tenants,
        ..PolicySet::default()
    };
    faults.into_result(Some(policy))
}

fn resolve_groups(documents: &Documents, faults: &FaultList) -> BTreeMap<GroupName, GroupPolicy> {
    let mut groups = BTreeMap::new();
    let mut names = FirstPlaces::default();
    let mut addresses = FirstPlaces::default();
    for (kept, text) in &documents.groups {
        let label = document_label(DocumentKind::Group, kept);
        let Some(group) = read_group(&label, text, faults) else {
            continue;
        };
        check_name(&label, kept, group.name.as_str(), faults);
        for member in &group.members {
            let place = format!("{label} member {:?}", member.name.as_str());
            names.record(&label, member.name.to_string(), &place, faults);
            addresses.record(&label, member.address.to_string(), &place, faults);
        }
        groups.insert(group.name.clone(), group);
    }
    groups
}

/// The first place of each value that must be unique.
#[derive(Default)]
struct FirstPlaces(BTreeMap<String, String>);

impl FirstPlaces {
    /// Records that `value` occurs at `place`, or a fault of `document` if it occurred before.
    fn record(&mut self, document: &str, value: String, place: &str, faults: &FaultList) {
        match self.0.entry(value) {
            Entry::Vacant(entry) => {
                entry.insert(place.to_owned());
            }
            Entry::Occupied(entry) => {
                let value = entry.key().clone();
                let first = entry.get().clone();
                faults.add(document, "members", FaultKind::Duplicate { value, first });
            }
        }
    }
}

/// Reads all templates, by the name under which they are stored. Templates with faults are `None`;
/// their tenants are not checked further.
fn read_templates(documents: &Documents, faults: &FaultList) -> BTreeMap<String, Option<Template>> {
    let mut templates = BTreeMap::new();
    for (kept, text) in &documents.templates {
        let label = document_label(DocumentKind::Template, kept);
        let template = match Template::parse_and_check(&label, text) {
            Ok(template) => {
                check_name(&label, kept, template.name.as_str(), faults);
                Some(template)
            }
            Err(found) => {
                faults.extend(found);
                None
            }
        };
        templates.insert(kept.clone(), template);
    }
    templates
}

fn resolve_tenants(
    documents: &Documents,
    templates: &BTreeMap<String, Option<Template>>,
    faults: &FaultList,
) -> BTreeMap<TenantName, TenantPolicy> {
    let mut tenants = BTreeMap::new();
    for (kept, text) in &documents.tenants {
        let label = document_label(DocumentKind::Tenant, kept);
        let Some(tenant) = TenantDocument::read(&label, text, faults) else {
            continue;
        };
        check_name(&label, kept, tenant.name.as_str(), faults);
        if let Some(policy) = resolve_tenant(&label, tenant, templates, faults) {
            tenants.insert(policy.name.clone(), policy);
        }
    }
    tenants
}

/// The policy of one tenant; `None` if its template or its arguments have faults.
fn resolve_tenant(
    label: &str,
    tenant: TenantDocument,
    templates: &BTreeMap<String, Option<Template>>,
    faults: &FaultList,
) -> Option<TenantPolicy> {
    let template_name = tenant.template.as_str();
    let Some(template) = templates.get(template_name) else {
        let kind = unknown_reference(DocumentKind::Template, template_name);
        faults.add(label, "template", kind);
        return None;
    };
    let template = template.as_ref()?;
    let faults_before = faults.len();
    let reader = tenant.arguments(label, faults);
    let arguments = read_arguments(template_name, &template.parameters, reader);
    if faults.len() > faults_before {
        return None;
    }
    let place = format!("{label} filled into template {template_name:?}");
    let body = template.fill(&place, &arguments, faults);
    Some(body.into_policy(tenant.name))
}

/// Records a fault for each group that a tenant names and that doesn't exist.
fn check_references(
    tenants: &BTreeMap<TenantName, TenantPolicy>,
    documents: &Documents,
    faults: &FaultList,
) {
    for tenant in tenants.values() {
        let label = document_label(DocumentKind::Tenant, tenant.name.as_str());
        for (database, group) in &tenant.databases {
            if !documents.groups.contains_key(group.as_str()) {
                let kind = unknown_reference(DocumentKind::Group, group.as_str());
                faults.add(&label, &format!("databases.{database}"), kind);
            }
        }
    }
}

/// The fault of a reference to a document that doesn't exist.
fn unknown_reference(kind: DocumentKind, name: &str) -> FaultKind {
    let (kind, remedy) = match kind {
        DocumentKind::Group => ("group", "name an existing group or set it first"),
        DocumentKind::Template => ("template", "name an existing template or publish it first"),
        DocumentKind::Tenant => ("tenant", "name an existing tenant or set it first"),
    };
    FaultKind::UnknownReference {
        kind,
        name: name.to_owned(),
        remedy: remedy.to_owned(),
    }
}

/// Records a fault if the name inside a document differs from the one under which it is stored.
fn check_name(label: &str, kept: &str, found: &str, faults: &FaultList) {
    if kept != found {
        let (found, kept) = (found.to_owned(), kept.to_owned());
        faults.add(label, "name", FaultKind::NameDiffers { found, kept });
    }
}
