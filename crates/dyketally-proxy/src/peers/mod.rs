//! Membership and configuration among nodes: the sockets around the parts of the library.
