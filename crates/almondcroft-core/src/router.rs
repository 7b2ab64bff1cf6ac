//! Routing of requests to targets.
//!
//! The router queues requests while no target has room for them, orders the queue by priority and
//! deadline, and refuses requests early that cannot complete in time. Load reports lag behind, so it
//! corrects them by the requests that it has sent since.

mod decision;
mod dispatch_rate;
mod length_estimator;
mod options;
mod queue;
mod report;
mod request;
mod route;
mod target;

pub use decision::{Decision, RefusalReason};
pub use length_estimator::LengthEstimator;
pub use options::{Policy, RouterOptions};
pub use report::LoadReport;
pub use request::RouteRequest;
pub use route::Router;
pub use target::TargetSpec;
