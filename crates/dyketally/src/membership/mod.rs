//! Membership between nodes: failure detection and dissemination.
