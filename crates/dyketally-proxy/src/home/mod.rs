//! The home of a database: owns its connections, its queue and the view of its group.
