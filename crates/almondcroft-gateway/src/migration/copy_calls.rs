//! Calls to an engine about a generation that it runs: to copy its KV cache, to stop it, and to free a copy.

use crate::adapter::ControlCall;
use crate::call::Call;
use crate::clock;
use crate::connection::ConnectionError;
use crate::exchange::{CONNECT_TIMEOUT, target_round_trip};
use crate::logging::millis;
use crate::pool::{self, Purpose};
use crate::runtime::within;
use crate::state::{Gateway, lock};
use crate::target_connect::Destination;
use almondcroft_core::RequestId;
use almondcroft_core::gateway::Choice;
use smol_str::SmolStr;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Timeout of one copy; the copies of several generations queue on a link.
pub(crate) const COPY_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of the call that frees a copy.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response to a copy call, in bytes.
const MAX_RESPONSE_BODY: usize = 64 * 1024;

/// Returns whether the engines of a request's service can copy and stop generations.
pub(crate) fn are_supported(gateway: &Gateway, call: &Call) -> bool {
    let Some(config) = gateway.config() else {
        return false;
    };
    let pool = config.pools.get(&call.service);
    let engine = pool.and_then(|pool| pool.engine.as_ref());
    engine.is_some_and(|engine| engine.supports_migration)
}

/// The response to a copy call.
pub(crate) enum CopyResponse {
    /// No connection to the target opened, so the call was not sent.
    NotSent {
        /// Whether no process listens at the address of the target.
        is_refused: bool,
    },
    /// The call was sent, and no response to it arrived, or one that cannot be read.
    Lost,
    /// The target responded with this status and body.
    Answered(u16, Vec<u8>),
}

impl CopyResponse {
    /// Returns the form used in logs.
    pub(crate) const fn outcome(&self) -> &'static str {
        match self {
            Self::NotSent { .. } => "unreachable",
            Self::Lost => "lost",
            Self::Answered(200, _) => "copied",
            Self::Answered(404, _) => "no-run",
            Self::Answered(409, _) => "busy",
            Self::Answered(503, _) => "no-room",
            Self::Answered(..) => "failed",
        }
    }
}

/// What came of the calls to stop a generation.
pub(crate) enum StopResult {
    /// The source has stopped it; the handle of the complete copy.
    Stopped(SmolStr),
    /// The source may have stopped it.
    Unknown,
    /// The source was not reached.
    Unreached,
    /// The source is busy with another call for the generation, which goes on.
    Busy,
    /// The source does not run the generation any more.
    NoRun,
}

/// Sends the calls about one generation to the engine that runs it.
pub(crate) struct CopyCalls {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) call: Arc<Call>,
    /// Identifies the place at the engine to the fleet.
    pub(crate) request: RequestId,
    pub(crate) source: Choice,
    /// Why the calls are made, for logs.
    reason: &'static str,
    was_sent: AtomicBool,
}

impl CopyCalls {
    pub(crate) fn new(
        (gateway, call): (&Arc<Gateway>, &Arc<Call>),
        request: &RequestId,
        source: &Choice,
        reason: &'static str,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            call: Arc::clone(call),
            request: request.clone(),
            source: source.clone(),
            reason,
            was_sent: AtomicBool::new(false),
        }
    }

    /// Returns whether a call was sent, so that it may take effect.
    pub(crate) fn was_sent(&self) -> bool {
        self.was_sent.load(Ordering::SeqCst)
    }

    /// Reads the response to a call to stop the generation.
    ///
    /// A source that has no room for the rest of the copy has stopped all the same, and names the handle.
    pub(crate) fn read_stop(&self, response: &CopyResponse) -> StopResult {
        match response {
            CopyResponse::NotSent { .. } => StopResult::Unreached,
            CopyResponse::Answered(404, _) => StopResult::NoRun,
            CopyResponse::Answered(409, _) => StopResult::Busy,
            CopyResponse::Answered(200 | 503, body) => {
                let handle = self.gateway.dialect.read_copy_handle(body);
                handle.map_or(StopResult::Unknown, StopResult::Stopped)
            }
            CopyResponse::Answered(..) | CopyResponse::Lost => StopResult::Unknown,
        }
    }

    /// Frees the copy of a generation that goes on at its source.
    pub(crate) async fn free_copy(&self, handle: &str) {
        let freed_at = clock::now();
        let call = self.gateway.dialect.free_copy_call(handle);
        let outcome = match self.send_copy_call(&call, FREE_TIMEOUT, true).await {
            CopyResponse::Answered(200..300, _) => "freed",
            CopyResponse::Answered(404, _) => "unknown",
            CopyResponse::Answered(..) => "failed",
            response => response.outcome(),
        };
        self.log_copy("free", outcome, None, freed_at);
    }

    fn resident_tokens(&self) -> u32 {
        lock(&self.gateway.fleet).resident_tokens(&self.request)
    }

    pub(crate) async fn copy(&self, to: SocketAddr, last: bool) -> CopyResponse {
        let external_id = self.call.external_id();
        let call = self.gateway.dialect.copy_call(external_id, to, last);
        self.send_copy_call(&call, COPY_TIMEOUT, last).await
    }

    async fn send_copy_call(
        &self,
        call: &ControlCall,
        timeout: Duration,
        last: bool,
    ) -> CopyResponse {
        let address = self.source.address;
        let regions = self.gateway.allowed_regions(&self.call);
        let destination = Destination {
            regions: &regions,
            target: &self.source.target,
            address,
            request: self.call.external_id(),
            time_left: timeout,
        };
        let purpose = Purpose::UnidentifiedCall;
        let started_at = clock::now();
        let connected = pool::connect(&self.gateway, destination, purpose, CONNECT_TIMEOUT);
        let mut connection = match connected.await {
            Ok((connection, _)) => connection,
            Err(error) => {
                let is_refused = matches!(&error,
                    ConnectionError::Io { source } if source.kind() == ErrorKind::ConnectionRefused);
                return CopyResponse::NotSent { is_refused };
            }
        };
        if !last {
            // The next copy follows at once, and must not wait for its connection.
            pool::preconnect(&self.gateway, address, &self.call.service, purpose);
        }
        self.was_sent.store(true, Ordering::SeqCst);
        let response = target_round_trip(
            &self.gateway,
            &mut connection,
            address,
            call,
            MAX_RESPONSE_BODY,
        );
        let time_left = timeout.saturating_sub(clock::now().saturating_sub(started_at));
        let Some(Ok((head, body))) = within(time_left, response).await else {
            return CopyResponse::Lost;
        };
        let meta = self.gateway.dialect.read_response(&head);
        if meta.leaving {
            self.gateway
                .observe_response(&self.source.target, &head, &meta);
        }
        if head.keeps_alive() {
            pool::release(
                &self.gateway,
                address,
                &self.call.service,
                connection,
                meta.keep_alive,
            );
        }
        CopyResponse::Answered(head.status, body)
    }

    pub(crate) fn log_copy(
        &self,
        phase: &str,
        outcome: &str,
        target: Option<&Choice>,
        copy_started_at: Duration,
    ) {
        let elapsed = clock::now().saturating_sub(copy_started_at);
        log::info!(event = "copy", request = self.call.external_id(),
            from = self.source.target.as_str(),
            target_id = target.map_or("-", |choice| choice.target.as_str()), part = phase, outcome = outcome,
            reason = self.reason, tokens = self.resident_tokens(),
            beside = target.map_or(0, |choice| choice.request_count), took_ms = millis(elapsed); "");
    }
}
