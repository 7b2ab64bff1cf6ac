//! Client of the platform's object API.

use crate::http::{CallError, Outbound};
use almondcroft_core::gateway::{EraCheck, StoreEra};
use almondcroft_core::ledger::{
    Expected, Listed, ObjectStore, StoreError, StoreFuture, Stored, Written,
};
use almondcroft_core::{Era, Verdict};
use almondcroft_proto::object::{ERA_HEADER, KeyList, OBJECTS_PATH, WATCH_PATH};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use trillium::Method;
use trillium_client::Conn;

/// Time for the store to respond.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest object, in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Largest listing, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Object store behind the object API at a base URL.
///
/// Each call has a connection of its own, as responses name no object: on a connection that is used again, a late second
/// response to an earlier call would be taken for the one to the next call.
#[derive(Debug, Clone)]
pub struct HttpStore {
    base: String,
    outbound: Outbound,
    era: Arc<Mutex<StoreEra>>,
}

impl HttpStore {
    /// Creates a store client for a base URL such as `http://10.0.0.1:9000`.
    #[must_use]
    pub fn new(base: &str, outbound: Outbound) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            outbound,
            era: Arc::default(),
        }
    }

    /// Records the era that a response states, and returns the era of its contents.
    ///
    /// Returns `None` if the response is from an earlier era than the known one. A response without a
    /// readable era belongs to the known one.
    fn observe_era(&self, conn: &Conn) -> Option<Era> {
        let text = conn.response_headers().get_str(ERA_HEADER);
        let stated = text.and_then(|text| text.trim().parse().ok());
        let mut era = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        let known = era.known().unwrap_or_default();
        let Some(stated) = stated else {
            if text.is_some() || known > 0 {
                log::warn!(event = "store-era-unreadable", era = known, text = text.unwrap_or("-"); "");
            }
            return Some(known);
        };
        match era.observe(stated) {
            EraCheck::Current => Some(stated),
            EraCheck::Risen => {
                log::warn!(event = "store-era", era = stated, from = known; "");
                Some(stated)
            }
            EraCheck::Outdated => {
                log::info!(event = "store-era-outdated", era = known, stated = stated; "");
                None
            }
        }
    }

    /// Writes an object regardless of its version.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store did not confirm the write.
    pub async fn put_unconditional(
        &self,
        key: &str,
        bytes: Vec<u8>,
    ) -> Result<Written, StoreError> {
        let url = format!("{}{OBJECTS_PATH}{key}", self.base);
        let call = self
            .outbound
            .call_fresh(Method::Put, &url, &[], bytes, STORE_TIMEOUT);
        self.parse_put_response(call.await)
    }

    /// Waits until an object has a version above `after`; returns `None` if `timeout` passes first.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store does not respond.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<Option<Stored>, StoreError> {
        let hold_ms = timeout.as_millis();
        let url = format!(
            "{}{WATCH_PATH}{key}?after={after}&hold_ms={hold_ms}",
            self.base
        );
        let limit = timeout + STORE_TIMEOUT;
        let call = self
            .outbound
            .call_fresh(Method::Get, &url, &[], Vec::new(), limit);
        self.read_response(call.await).await
    }

    fn parse_put_response(&self, response: Result<Conn, CallError>) -> Result<Written, StoreError> {
        let conn = response.map_err(store_error)?;
        let era = self.observe_era(&conn);
        let result = match status(&conn) {
            200 | 201 => version(&conn)
                .zip(era)
                .map(|(version, era)| Written { version, era })
                .ok_or(StoreError::Unknown),
            409 | 412 => Err(StoreError::Conflict),
            429 | 503 => Err(StoreError::Refused),
            _ => Err(StoreError::Unknown),
        };
        crate::runtime::spawn(async move { conn.recycle().await });
        result
    }

    async fn read_response(
        &self,
        response: Result<Conn, CallError>,
    ) -> Result<Option<Stored>, StoreError> {
        let conn = response.map_err(store_error)?;
        let era = self.observe_era(&conn).ok_or(StoreError::Refused)?;
        match status(&conn) {
            200 => {}
            204 | 404 => {
                conn.recycle().await;
                return Ok(None);
            }
            _ => return Err(StoreError::Refused),
        }
        let version = version(&conn).ok_or(StoreError::Unknown)?;
        let bytes = Outbound::read_body(conn, MAX_OBJECT_BYTES, STORE_TIMEOUT)
            .await
            .map_err(store_error)?;
        Ok(Some(Stored {
            version,
            bytes,
            era,
        }))
    }

    /// Returns the newest era that is known; zero if the store states none.
    pub(crate) fn era(&self) -> Era {
        let era = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        era.known().unwrap_or_default()
    }
}

impl ObjectStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Stored>> {
        Box::pin(async move {
            let url = format!("{}{OBJECTS_PATH}{key}", self.base);
            let call = self
                .outbound
                .call_fresh(Method::Get, &url, &[], Vec::new(), STORE_TIMEOUT);
            self.read_response(call.await).await
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        bytes: Vec<u8>,
        expected: Expected,
    ) -> StoreFuture<'a, Written> {
        Box::pin(async move {
            let url = format!("{}{OBJECTS_PATH}{key}", self.base);
            let version;
            let header = match expected {
                Expected::Absent => ("if-none-match", "*"),
                Expected::Version(number) => {
                    version = number.to_string();
                    ("if-match", version.as_str())
                }
            };
            let headers = [header];
            let call = self
                .outbound
                .call_fresh(Method::Put, &url, &headers, bytes, STORE_TIMEOUT);
            self.parse_put_response(call.await)
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let url = format!("{}{OBJECTS_PATH}{key}", self.base);
            let call =
                self.outbound
                    .call_fresh(Method::Delete, &url, &[], Vec::new(), STORE_TIMEOUT);
            call.await.map(|_| ()).map_err(store_error)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listed> {
        Box::pin(async move {
            let url = format!("{}{OBJECTS_PATH}?prefix={prefix}", self.base);
            let call = self
                .outbound
                .call_fresh(Method::Get, &url, &[], Vec::new(), STORE_TIMEOUT);
            let conn = call.await.map_err(store_error)?;
            let era = self.observe_era(&conn).ok_or(StoreError::Refused)?;
            if status(&conn) != 200 {
                return Err(StoreError::Refused);
            }
            let bytes = Outbound::read_body(conn, MAX_LIST_BYTES, STORE_TIMEOUT)
                .await
                .map_err(store_error)?;
            let (list, unreadable) = KeyList::read(&bytes).ok_or(StoreError::Refused)?;
            if unreadable > 0 {
                log::info!(event = "keys-unreadable", prefix = prefix, keys = unreadable; "");
            }
            Ok(Listed {
                keys: list.keys,
                era,
            })
        })
    }
}

fn status(conn: &Conn) -> u16 {
    conn.status().map_or(0, |status| status as u16)
}

fn version(conn: &Conn) -> Option<u64> {
    conn.response_headers().get_str("etag")?.parse().ok()
}

const fn store_error(error: CallError) -> StoreError {
    match error.verdict {
        Verdict::NotRun => StoreError::Refused,
        Verdict::MayHaveRun | Verdict::Ran => StoreError::Unknown,
    }
}
