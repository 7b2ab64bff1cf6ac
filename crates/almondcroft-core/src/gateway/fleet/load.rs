//! What one VM has at a target, as told to the others.

use crate::gateway::SendCounts;
use crate::{ServiceId, TargetId, Timestamp};
use std::collections::HashMap;

/// Sums up the requests of one VM at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerLoad {
    /// Requests.
    pub count: u32,
    /// Tokens of memory that they are expected to fill.
    pub tokens: u32,
    /// Tokens of prompts that the target has yet to read.
    pub unread: u32,
    /// Tokens that would have to be copied if the target left now; none where a copy is kept.
    pub movable: u32,
    /// Tokens of copies that are on their way to the target.
    pub arriving: u32,
}

impl PeerLoad {
    pub(super) const fn add(self, other: Self) -> Self {
        Self {
            count: self.count.saturating_add(other.count),
            tokens: self.tokens.saturating_add(other.tokens),
            unread: self.unread.saturating_add(other.unread),
            movable: self.movable.saturating_add(other.movable),
            arriving: self.arriving.saturating_add(other.arriving),
        }
    }

    pub(super) const fn without(self, other: Self) -> Self {
        Self {
            count: self.count.saturating_sub(other.count),
            tokens: self.tokens.saturating_sub(other.tokens),
            unread: self.unread.saturating_sub(other.unread),
            movable: self.movable.saturating_sub(other.movable),
            arriving: self.arriving.saturating_sub(other.arriving),
        }
    }
}

/// Holds the requests of one VM at all targets.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerNews {
    /// Time at which the news arrived.
    pub at: Timestamp,
    /// Sums by target.
    pub loads: HashMap<TargetId, PeerLoad>,
    /// Requests and extra sends by service.
    pub sends: HashMap<ServiceId, SendCounts>,
}
