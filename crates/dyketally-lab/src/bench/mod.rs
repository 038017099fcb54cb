//! Orchestration of processes, workloads and histories, shared by the lab commands.
