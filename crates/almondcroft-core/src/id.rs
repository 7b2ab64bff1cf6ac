//! Types for identifiers and points in time.

use smol_str::SmolStr;
use std::time::Duration;

/// Identifies a contract.
pub type ContractId = SmolStr;
/// Identifies a customer.
pub type CustomerId = SmolStr;
/// Identifies a model that engines can load.
pub type ModelId = SmolStr;
/// Identifies a region.
pub type RegionId = SmolStr;
/// Identifies one request of a caller.
pub type RequestId = SmolStr;
/// Identifies a service, provided by a set of targets that accept the same calls.
pub type ServiceId = SmolStr;
/// Identifies a back end, either a model engine or a plain service process.
pub type TargetId = SmolStr;
/// Identifies an entry VM.
pub type VmId = SmolStr;
/// Identifies an availability zone.
pub type ZoneId = SmolStr;

/// Revision number of a configuration, increased with each accepted one, or of the contents of the
/// platform's store; a higher revision replaces a lower one.
pub type Revision = u64;
/// Number of times that the platform's store was restored from an older copy; within an era,
/// [`Revision`]s rise.
pub type Era = u64;
/// Identifies one run of a process; never reused.
pub type Incarnation = u64;
/// A point in time on the clock of the running program, as the duration since the clock's start: the
/// Unix epoch in the daemon, the boot of the VM in the gateway.
pub type Timestamp = Duration;
