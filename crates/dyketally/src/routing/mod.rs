//! Routing: an edge selects the database to ask; the database's home serves, delays or redirects the
//! request.
//!
//! An edge's routes are guesses, corrected by the homes' redirects. Only a home decides whether its
//! database may serve a request.

mod serve;
mod table;

pub use serve::{ServeDecision, ServeRequest, ServeSettings, decide};
pub use table::{Attempt, Route, RouteRequest, RouteSettings, RouteTable};
