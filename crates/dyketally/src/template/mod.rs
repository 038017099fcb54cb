//! Parameterised templates that operators publish, and their checks.
//!
//! Operators keep three kinds of TOML documents: *groups* name databases, *templates* say how
//! statements are treated, and *tenants* name a template and fill in its parameters.
//! [`resolve`] turns all documents of a revision into the [`PolicySet`] that the request path
//! reads, or tells every fault at once; [`classify`] finds the rule of one statement.
//!
//! [`PolicySet`]: crate::policy::PolicySet

mod body;
mod classify;
mod documents;
mod group;
mod parameter;
mod placeholder;
mod resolve;
mod statement;
mod template_document;
mod tenant;

pub use classify::{StatementText, classify};
pub use documents::{DocumentKind, Documents};
pub use group::check_group;
pub use parameter::{ParameterDeclaration, ParameterType};
pub use resolve::resolve;
pub use template_document::Template;
pub use tenant::TenantDocument;
