//! The object store interface that the ledger requires.

use crate::Era;
use snafu::Snafu;
use std::{future::Future, pin::Pin};

/// The version that a conditional update replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// An object as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Version of the object; each update increases it.
    pub version: u64,
    /// Contents of the object.
    pub bytes: Vec<u8>,
    /// Era of the store; versions rise only within an era.
    pub era: Era,
}

/// A confirmed update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Written {
    /// The object's new version.
    pub version: u64,
    /// Era of the store.
    pub era: Era,
}

/// The keys of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The keys, in ascending order.
    pub keys: Vec<String>,
    /// Era of the store.
    pub era: Era,
}

/// The reason why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The object has another version; the update had no effect.
    #[snafu(display("the object has another version"))]
    Conflict,
    /// The store refused the call; it had no effect.
    #[snafu(display("the store refused the call"))]
    Refused,
    /// No response arrived; an update may have taken effect.
    #[snafu(display("the store did not respond"))]
    Unknown,
}

/// The future of a store call.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// Access to a store of versioned objects.
///
/// Implement this trait for the store in use; the ledger writes only by conditional updates.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Stored>>;

    /// Writes an object if it has the expected version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        bytes: Vec<u8>,
        expected: Expected,
    ) -> StoreFuture<'a, Written>;

    /// Deletes an object regardless of its version.
    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()>;

    /// Lists the keys that begin with `prefix`, in ascending order.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listed>;
}
