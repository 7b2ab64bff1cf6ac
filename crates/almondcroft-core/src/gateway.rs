//! Decisions of the gateway: routing, admission, placement and retries.
//!
//! The gateway routes HTTP requests by host and path to model engines and to plain HTTP services. Its
//! configuration, targets and load change while requests run, so every decision takes the current time
//! as an argument.
//!
//! | item | question that it answers |
//! |---|---|
//! | [`AllowedRegions`] | where may a request be served? |
//! | [`BudgetShare`] | which part of the fleet's retry budget is this VM's? |
//! | [`ConfigFreshness`] | is the configuration recent enough to accept keys? |
//! | [`GatewayConfig`] | which route and customer does a request belong to? |
//! | [`Directory`] | which targets exist, and which of them are draining? |
//! | [`Evacuations`] | which availability zones get no requests? |
//! | [`Fleet`] | which target runs a request, and who waits or is refused? |
//! | [`FleetRetryBudget`] | may this VM send a request again? |
//! | [`GossipFanout`] | which peers get a gossip message? |
//! | [`HedgePolicy`] | is a slow request sent to a second target? |
//! | [`PendingQueries`] | how recent is a fact in a peer's response? |
//! | [`SlowCallers`] | how much is held for callers that read slowly? |
//! | [`StopAttempts`] | is a run that was asked to stop over? |
//! | [`StoreContact`] | is the store unavailable? |
//! | [`StoreEra`] | was the store restored from an older copy? |
//! | [`StoreEvidence`] | when is the store known to have been available? |
//! | [`StorePosition`] | which of two views of the store is newer? |
//! | [`StoreTiming`] | how long may a call to the store wait? |
//! | [`TargetPaths`] | is a target reached directly, or through which VM? |
//! | [`admits_during_shutdown`] | can a request still complete before this VM stops? |

mod allowed_regions;
mod budget_share;
mod config;
mod config_freshness;
mod directory;
mod evacuations;
mod fleet;
mod fleet_retry_budget;
mod gossip_fanout;
mod hedge_policy;
mod number;
mod pending_queries;
mod route;
mod run_stop;
mod shutdown;
mod slow_callers;
mod store_contact;
mod store_era;
mod store_evidence;
mod store_position;
mod store_timing;
mod target;
mod target_paths;

pub use allowed_regions::AllowedRegions;
pub use budget_share::{BudgetShare, LOAN_TIME};
pub use config::{CallerLimits, ColdStart, CustomerSpec, EngineSpec, GatewayConfig, PoolSpec};
pub use config_freshness::ConfigFreshness;
pub use directory::{
    ChangeCursor, Directory, EntryEvent, EntryRemoval, RestoredTargets, TargetChange,
};
pub use evacuations::{EvacuationChange, Evacuations};
pub use fleet::{
    Choice, ColdBounds, Demand, Fleet, FleetOptions, LimitStatement, Need, PeerLoad, PeerSnapshot,
    PlacedRequest, Placement, RefusalReason, ZoneDigest, lowest_hashes,
};
pub use fleet_retry_budget::{ExtraSend, FleetRetryBudget, FleetSends, SendCounts};
pub use gossip_fanout::GossipFanout;
pub use hedge_policy::{HedgeLimits, HedgePolicy};
pub use pending_queries::{CompletedQuery, PendingQueries};
pub use route::{CallKind, RouteSpec, RouteTable, WeightedService};
pub use run_stop::{StopAnswer, StopAttempts, StopStep};
pub use shutdown::admits_during_shutdown;
pub use slow_callers::{ConnectionId, SlowCallers};
pub use store_contact::{FailedCalls, StoreConclusion, StoreContact, StoreFailure};
pub use store_era::{EraCheck, StoreEra};
pub use store_evidence::{ResponseGap, StoreEvidence};
pub use store_position::StorePosition;
pub use store_timing::StoreTiming;
pub use target::{MAX_SOUND_SILENCE, TargetEntry};
pub use target_paths::{PEER_DELAY, TargetPaths, TunnelPeer};
