//! Links between edges and homes.
