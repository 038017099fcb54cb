//! Parameterised templates that operators publish, and their checks.
//!
//! Operators maintain three kinds of TOML documents: *groups* list databases, *templates* set how
//! statements are treated, and *tenants* name a template and give arguments for its parameters.
//! [`resolve`] turns all documents of a revision into the [`PolicySet`] that the request path reads,
//! or reports all their faults at once. [`classify`] finds the policy of one statement.
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
