//! Tuning parameters of placement.

use std::time::Duration;

/// Parameters that tune placement to a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetOptions {
    /// Prompt tokens that an engine prefills in a second while it runs other generations.
    ///
    /// An engine without other generations prefills 14 tokens per millisecond. Otherwise, a decode step
    /// runs between two prefill chunks and takes about as long as a chunk, which halves the rate.
    pub prefill_rate: f64,
    /// Fraction of an engine's KV cache that requests may be expected to fill.
    pub headroom: f64,
    /// Fraction of an engine's KV cache up to which it accepts generations that will be late anyway;
    /// the rest is left for those that can still be on time.
    pub late_headroom: f64,
    /// Fraction of an engine's KV cache up to which it accepts patient generations; the rest is left for those
    /// whose callers cannot wait.
    pub patient_headroom: f64,
    /// Longest prefill time that the prompts waiting at an engine may add up to when a patient generation is placed
    /// there.
    pub patient_backlog: Duration,
    /// Fraction of an engine's KV cache up to which it accepts backups.
    pub backup_headroom: f64,
    /// Fraction of an engine's KV cache that may be expected to fill when a generation migrates there.
    ///
    /// It may exceed 1: a generation that is preempted later is late, but one that cannot migrate is
    /// lost.
    pub migration_headroom: f64,
    /// Fraction of a caller's timeout for which a request may wait in the admission queue.
    pub wait_fraction: f64,
    /// Longest prefill time that the prompts waiting at one engine may add up to.
    pub prefill_backlog: Duration,
    /// Number of random targets among which a request chooses if there are more.
    ///
    /// The more VMs there are, the staler their view of each other's load. Without sampling, all of
    /// them would choose the same target.
    pub sample_size: usize,
    /// Cost of another availability zone, as time.
    pub zone_cost: Duration,
    /// Cost of another region, as time: a round trip and the price of its bytes.
    pub region_cost: Duration,
    /// Cost of another availability zone for a generation, as time.
    ///
    /// The load that peers in other zones put on engines is known only from digests, and is older.
    pub engine_zone_cost: Duration,
    /// Cost of another region for a generation, as time.
    pub engine_region_cost: Duration,
    /// Cost of each token of KV cache that is copied to another availability zone, as time.
    ///
    /// A token has 131,072 bytes, which take 55 us at 19 Gbit/s and twice that between zones. Other
    /// copies wait on the link meanwhile.
    pub copy_cost: Duration,
    /// Time to copy a token of KV cache to another region.
    ///
    /// It is ten times the time within a zone, and the source's link is busy throughout.
    pub far_copy_cost: Duration,
    /// Longest time that a copy to another region may take.
    pub far_copy_limit: Duration,
    /// Time to copy a token of KV cache within an availability zone, including round trips.
    ///
    /// A token has 131,072 bytes, which take 55 us at 19 Gbit/s. Each generation takes at least two
    /// round trips: it is copied while it runs, then stopped and its last part copied.
    pub link_time: Duration,
    /// Cost of each request that runs at the same engine, as time.
    pub concurrency_cost: Duration,
    /// Weight of the expected decode time in the cost of an engine.
    ///
    /// A generation that ends sooner is less likely to lose its VM or its engine.
    pub decode_weight: f64,
    /// Weight in the cost of an engine of the time for which a prompt delays the requests that run
    /// there.
    pub interference_weight: f64,
    /// Weight in the cost of an engine of the time that copies of its generations would take beyond a
    /// leave notice.
    pub stranded_weight: f64,
    /// Cost of an engine whose KV cache is full, as time; proportional to the expected fill.
    pub memory_cost: Duration,
    /// Requests beyond its slots that a plain service's target may hold, as a fraction of the slots.
    pub plain_queue: f64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            prefill_rate: 7_000.0,
            headroom: 0.96,
            late_headroom: 0.6,
            patient_headroom: 0.78,
            patient_backlog: Duration::from_millis(350),
            backup_headroom: 0.35,
            migration_headroom: 1.05,
            wait_fraction: 0.4,
            prefill_backlog: Duration::from_millis(800),
            sample_size: 14,
            zone_cost: Duration::from_millis(5),
            engine_zone_cost: Duration::from_millis(40),
            region_cost: Duration::from_millis(60),
            engine_region_cost: Duration::from_millis(200),
            copy_cost: Duration::from_micros(110),
            far_copy_cost: Duration::from_micros(550),
            far_copy_limit: Duration::ZERO,
            link_time: Duration::from_micros(60),
            concurrency_cost: Duration::from_millis(8),
            stranded_weight: 0.5,
            decode_weight: 0.6,
            interference_weight: 0.6,
            memory_cost: Duration::from_millis(150),
            plain_queue: 1.5,
        }
    }
}
