//! Decisions of the gateway: which route, which customer, which target, how often.
//!
//! The gateway serves callers that speak plain HTTP by host and path. Its configuration, targets and
//! load change while requests run; every decision takes the present time as an argument.
//!
//! | module | answers |
//! |---|---|
//! | [`Asks`] | when was what another VM says true? |
//! | [`GatewayConfig`] | which route and customer does a request belong to? |
//! | [`Directory`] | which targets exist, and which of them leave? |
//! | [`Fleet`] | which target runs a request, and who waits or is refused? |
//! | [`RetryShare`] | may this VM send a request once more? |
//! | [`takes_while_stopping`] | can a request still end before this VM stops? |
//! | [`TellPlan`] | which other VMs are told of a change? |
//! | [`Vouch`] | is the configuration known to be recent? |

mod asks;
mod config;
mod directory;
mod fleet;
mod number;
mod retry_share;
mod route;
mod stop;
mod target;
mod tell_plan;
mod vouch;

pub use asks::{Asked, Asks};
pub use config::{CallerLimits, CustomerSpec, EngineSpec, GatewayConfig, PoolSpec};
pub use directory::{Change, Directory, EntryEvent};
pub use fleet::{
    Choice, Demand, Fleet, FleetOptions, Need, PeerLoad, PeerSnapshot, PlacedRequest, Placement,
    Refusal,
};
pub use retry_share::{Heard, RetryShare, SendCounts};
pub use route::{CallKind, Cluster, RouteSpec, RouteTable};
pub use stop::takes_while_stopping;
pub use target::TargetEntry;
pub use tell_plan::TellPlan;
pub use vouch::Vouch;
