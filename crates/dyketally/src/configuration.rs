//! Revisions of the operators' configuration: publishing, ordering and dissemination.
