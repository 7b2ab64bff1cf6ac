//! What an experiment is given.

use super::Workload;
use almondcroft_core::router::{Policy, RouterOptions};
use clap::ArgMatches;
use std::path::PathBuf;
use std::time::Duration;

/// Names a policy, the oracle included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyName {
    /// One of the router's policies.
    Router(Policy),
    /// The router's own policy with known lengths and one fresh view for all VMs.
    Oracle,
}

/// Describes one experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The workload.
    pub workload: Workload,
    /// The policy.
    pub policy: PolicyName,
    /// Offered load, relative to the engines' capacity.
    pub load: f64,
    /// Number of VMs.
    pub vms: u32,
    /// Age of the load reports.
    pub report_lag: Duration,
    /// Seed of everything random.
    pub seed: u64,
    /// Time during which requests arrive.
    pub time: Duration,
    /// Settings of the router.
    pub options: RouterOptions,
    /// File for the first VM's routing events.
    pub record: Option<PathBuf>,
}

impl Setup {
    /// Creates an experiment with the default size.
    #[must_use]
    pub fn new(workload: Workload, policy: PolicyName) -> Self {
        Self {
            workload,
            policy,
            load: 1.0,
            vms: 7,
            report_lag: Duration::from_millis(500),
            seed: 1,
            time: Duration::from_mins(10),
            options: workload.options(),
            record: None,
        }
    }

    /// Sets the offered load.
    #[must_use]
    pub const fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the time during which requests arrive.
    #[must_use]
    pub const fn time(mut self, time: Duration) -> Self {
        self.time = time;
        self
    }

    pub(super) fn from_matches(matches: &ArgMatches) -> Result<Self, String> {
        let text = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
        let whole = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
        let workload = if text("workload") == "lunch-hour" {
            Workload::LunchHour
        } else {
            Workload::MonthEnd
        };
        let policy = match text("policy") {
            "round-robin" => PolicyName::Router(Policy::RoundRobin),
            "least-in-flight" => PolicyName::Router(Policy::LeastInFlight),
            "two-choices" => PolicyName::Router(Policy::TwoChoices),
            "oracle" => PolicyName::Oracle,
            _ => PolicyName::Router(Policy::Almondcroft),
        };
        let mut setup = Self::new(workload, policy);
        setup.load = matches.get_one::<f64>("load").copied().unwrap_or(1.0);
        if !(0.01..=10.0).contains(&setup.load) {
            return Err("--load must be from 0.01 to 10".into());
        }
        setup.vms = matches.get_one::<u32>("vms").copied().unwrap_or(1);
        setup.report_lag = Duration::from_millis(whole("report-lag-ms"));
        setup.seed = whole("seed");
        setup.time = Duration::from_secs(whole("seconds"));
        setup.record = matches.get_one::<PathBuf>("record").cloned();
        if let Some(json) = matches.get_one::<String>("options") {
            setup.options = merge(setup.options, json)?;
        }
        Ok(setup)
    }
}

/// Replaces the fields that the JSON object states.
fn merge(options: RouterOptions, json: &str) -> Result<RouterOptions, String> {
    let mut whole = serde_json::to_value(options).map_err(|error| error.to_string())?;
    let part: serde_json::Value =
        serde_json::from_str(json).map_err(|error| format!("--options: {error}"))?;
    let fields = part.as_object().ok_or("--options: must be an object")?;
    for (name, value) in fields {
        whole[name] = value.clone();
    }
    serde_json::from_value(whole).map_err(|error| format!("--options: {error}"))
}
