//! The platform: key-value service and machine list.
