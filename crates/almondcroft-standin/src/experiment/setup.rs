//! Parameters of an experiment.

use super::Workload;
use almondcroft_core::router::{Policy, RouterOptions};
use clap::ArgMatches;
use std::path::PathBuf;
use std::time::Duration;

/// A routing policy or the oracle that policies are compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyName {
    /// One of the router's policies.
    Router(Policy),
    /// The router's `Almondcroft` policy with known output lengths and one fresh view for all VMs.
    Oracle,
}

/// Parameters of one experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Workload to generate.
    pub workload: Workload,
    /// Policy to measure.
    pub policy: PolicyName,
    /// Offered load, relative to the engines' capacity.
    pub load: f64,
    /// Number of VMs.
    pub vms: u32,
    /// Age of the load reports.
    pub report_lag: Duration,
    /// Random seed of the arrivals and the routers.
    pub seed: u64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Options of the routers.
    pub options: RouterOptions,
    /// File to write the first VM's routing trace to.
    pub trace_file: Option<PathBuf>,
}

impl Setup {
    /// Creates the parameters of an experiment with the default load, size and duration.
    #[must_use]
    pub fn new(workload: Workload, policy: PolicyName) -> Self {
        Self {
            workload,
            policy,
            load: 1.0,
            vms: 7,
            report_lag: Duration::from_millis(500),
            seed: 1,
            duration: Duration::from_mins(10),
            options: workload.options(),
            trace_file: None,
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
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    pub(super) fn from_matches(matches: &ArgMatches) -> Result<Self, String> {
        let text = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
        let integer = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
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
        setup.report_lag = Duration::from_millis(integer("report-lag-ms"));
        setup.seed = integer("seed");
        setup.duration = Duration::from_secs(integer("seconds"));
        setup.trace_file = matches.get_one::<PathBuf>("record").cloned();
        if let Some(json) = matches.get_one::<String>("options") {
            setup.options = merge_options(setup.options, json)?;
        }
        Ok(setup)
    }
}

/// Replaces the options given in the JSON object.
fn merge_options(options: RouterOptions, json: &str) -> Result<RouterOptions, String> {
    let mut merged = serde_json::to_value(options).map_err(|error| error.to_string())?;
    let overrides: serde_json::Value =
        serde_json::from_str(json).map_err(|error| format!("--options: {error}"))?;
    let fields = overrides
        .as_object()
        .ok_or("--options: must be an object")?;
    for (name, value) in fields {
        merged[name] = value.clone();
    }
    serde_json::from_value(merged).map_err(|error| format!("--options: {error}"))
}
