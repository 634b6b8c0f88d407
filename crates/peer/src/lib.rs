//! Messages between entry VMs and their framing.
