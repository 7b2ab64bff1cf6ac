//! News between the VMs of the fleet: what each has at the targets.
