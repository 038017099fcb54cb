//! The phases of a scale run.

mod configuration;
mod failures;
mod start;

pub use configuration::{change, limited, outage};
pub use failures::{deaths, drop_zone, part_regions, replacements};
pub use start::{placement, quiet, start_all};
