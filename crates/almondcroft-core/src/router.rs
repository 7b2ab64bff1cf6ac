//! Which target runs a request, and when.
//!
//! The router holds requests back while no target has room for them, orders them by priority and
//! slack, and refuses early what cannot complete in time. It decides on lagged reports, which it
//! corrects by the requests it has sent since.

mod decision;
mod estimator;
mod options;
mod pace;
mod queue;
mod report;
mod request;
mod route;
mod target;

pub use decision::{Decision, RefuseReason};
pub use estimator::Estimator;
pub use options::{Policy, RouterOptions};
pub use report::LoadReport;
pub use request::RouteRequest;
pub use route::Router;
pub use target::TargetSpec;
