//! The edge: terminates callers and sends their statements to homes.
