//! Fair admission: weighted max-min sharing of a database's slots between tenants.
