//! dyketally-lab.
