//! Settings of the fleet.

use std::time::Duration;

/// Tunes placement to a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetOptions {
    /// Prompt tokens that an engine reads in a second beside running generations.
    ///
    /// 14 tokens a millisecond alone, by the users' sheet; a step of decoding stands between two
    /// chunks and takes about as long as a chunk.
    pub read_rate: f64,
    /// Part of an engine's memory that requests may be expected to fill.
    pub headroom: f64,
    /// The same for a generation that will be late anyway: what is left beyond is for those that can
    /// still be on time.
    pub late_headroom: f64,
    /// Part of an engine's memory up to which it is asked to keep copies for others.
    pub copy_headroom: f64,
    /// Part of an engine's memory that may be expected to fill when a generation is moved there: one
    /// that is preempted later is late, one that cannot move is lost.
    pub move_headroom: f64,
    /// Part of a caller's patience for which a request may wait here.
    pub wait_part: f64,
    /// Most time that prompts waiting to be read at one engine may take.
    pub read_backlog: Duration,
    /// Targets among which a request chooses where there are more.
    ///
    /// News of other VMs is late by more, the more of them there are; all would choose the same
    /// target, so each request draws a few.
    pub sample: usize,
    /// Cost of another availability zone, as time.
    pub zone_cost: Duration,
    /// Cost of another region, as time: a round trip and the price of its bytes.
    pub region_cost: Duration,
    /// Cost of each token of memory that is copied to another availability zone, as time.
    ///
    /// 131,072 bytes at 19 Gbit/s are 55 us, twice that between zones; others queue behind.
    pub copy_cost: Duration,
    /// Time to copy a token of memory to another region; ten times that within a zone, by the logs
    /// of played days. The source's link is taken all the while.
    pub far_copy_cost: Duration,
    /// Longest time that a copy to another region may take.
    pub far_copy_limit: Duration,
    /// Time to copy a token of memory within an availability zone, round trips included: 131,072
    /// bytes at 19 Gbit/s are 55 us, and each generation is asked for twice.
    pub link_time: Duration,
    /// Cost of each request that runs beside, as time.
    pub beside_cost: Duration,
    /// Cost of an engine whose memory is filled, as time; less in proportion.
    pub memory_cost: Duration,
    /// Requests beyond its slots that a plain target may hold, as a part of the slots.
    pub plain_queue: f64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            read_rate: 7_000.0,
            headroom: 0.96,
            late_headroom: 0.6,
            copy_headroom: 0.35,
            move_headroom: 1.05,
            wait_part: 0.4,
            read_backlog: Duration::from_millis(800),
            sample: 14,
            zone_cost: Duration::from_millis(5),
            region_cost: Duration::from_millis(60),
            copy_cost: Duration::from_micros(110),
            far_copy_cost: Duration::from_micros(550),
            far_copy_limit: Duration::ZERO,
            link_time: Duration::from_micros(75),
            beside_cost: Duration::from_millis(8),
            memory_cost: Duration::from_millis(150),
            plain_queue: 1.5,
        }
    }
}
