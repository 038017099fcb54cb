//! Template documents as operators write them: how they are read, checked and filled in.

use std::collections::{BTreeMap, BTreeSet};

use toml::{Table, Value};

use super::body::TemplateBody;
use super::documents::{DocumentKind, document_label};
use super::parameter::ParameterDeclaration;
use super::placeholder::Substitution;
use crate::document::{Fault, FaultKind, FaultList, TableReader, parse_table};
use crate::identifiers::TemplateName;

const PARAMETERS: &str = "parameters";
/// Keys that are not part of the body.
const HEADER_KEYS: [&str; 3] = ["name", "description", PARAMETERS];

/// A template: parameters, and a body that contains placeholders for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Template {
    /// The template's name.
    pub name: TemplateName,
    /// The purpose of the template.
    pub description: Option<String>,
    /// The template's parameters by name.
    pub parameters: BTreeMap<String, ParameterDeclaration>,
    /// All other keys of the document, with placeholders in their values.
    body: Table,
}

impl Template {
    /// Reads a template without its body, which [`Template::check`] checks.
    pub fn parse(text: &str) -> Result<Template, Vec<Fault>> {
        let faults = FaultList::new();
        let template = Self::read("template", text, &faults);
        faults.into_result(template)
    }

    /// Checks the template by itself, with the default or a sample value for each parameter. Whether its
    /// groups exist is checked by [`resolve`](super::resolve()).
    pub fn check(&self) -> Vec<Fault> {
        let faults = FaultList::new();
        let label = document_label(DocumentKind::Template, self.name.as_str());
        self.check_into(&label, &faults);
        faults.into_faults()
    }

    /// Reads and checks a template, and returns it or all its faults.
    pub fn parse_and_check(document: &str, text: &str) -> Result<Template, Vec<Fault>> {
        let faults = FaultList::new();
        let template = Self::read(document, text, &faults);
        if let Some(template) = &template {
            template.check_into(document, &faults);
        }
        faults.into_result(template)
    }

    fn read(document: &str, text: &str, faults: &FaultList) -> Option<Template> {
        let mut body = parse_table(document, text, faults)?;
        let mut header = Table::new();
        for key in HEADER_KEYS {
            header.extend(body.remove_entry(key));
        }
        let reader = TableReader::new(document, &header, faults);
        let name = reader.required("name");
        let description = reader.optional("description");
        let parameters = read_parameters(reader.table(PARAMETERS));
        Some(Template {
            // A template without a valid name is rejected, but its body is still checked for faults.
            name: name.unwrap_or_else(|| TemplateName::new("")),
            description,
            parameters,
            body,
        })
    }

    fn check_into(&self, document: &str, faults: &FaultList) {
        let value = |(name, declaration): (&String, &ParameterDeclaration)| {
            (name.clone(), declaration.default_or_sample())
        };
        let arguments = self.parameters.iter().map(value).collect();
        let (body, used) = self.substitute(document, &arguments, faults);
        for parameter in self.parameters.keys().filter(|name| !used.contains(*name)) {
            let field = format!("{PARAMETERS}.{parameter}");
            let parameter = parameter.clone();
            faults.add(document, &field, FaultKind::UnusedParameter { parameter });
        }
        TemplateBody::read(document, &body, faults);
    }

    /// Reads the body with `arguments` filled in, and records its faults.
    pub(super) fn fill(
        &self,
        document: &str,
        arguments: &BTreeMap<String, Value>,
        faults: &FaultList,
    ) -> TemplateBody {
        let (body, _) = self.substitute(document, arguments, faults);
        TemplateBody::read(document, &body, faults)
    }

    /// The body with `arguments` filled in, and the names of the parameters that it uses.
    fn substitute(
        &self,
        document: &str,
        arguments: &BTreeMap<String, Value>,
        faults: &FaultList,
    ) -> (Table, BTreeSet<String>) {
        let mut substitution = Substitution {
            document,
            arguments,
            faults,
            used: BTreeSet::new(),
        };
        let body = substitution.table("", &self.body);
        (body, substitution.used)
    }
}

fn read_parameters(reader: TableReader<'_>) -> BTreeMap<String, ParameterDeclaration> {
    let mut parameters = BTreeMap::new();
    for name in reader.keys() {
        if let Some(declaration) = ParameterDeclaration::read(reader.table(name)) {
            parameters.insert(name.to_owned(), declaration);
        }
    }
    parameters
}
