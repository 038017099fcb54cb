//! Routing: which database an edge asks, and whether a home serves, waits or sends on.
//!
//! An edge's routes are guesses, corrected by the homes' redirects. Only homes decide whether a
//! database may serve a request.

mod serve;
mod table;

pub use serve::{ServeDecision, ServeRequest, ServeSettings, decide};
pub use table::{Attempt, Route, RouteRequest, RouteSettings, RouteTable};
