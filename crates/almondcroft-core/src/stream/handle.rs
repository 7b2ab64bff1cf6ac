//! Resume handles that any VM can verify without shared state.

use crate::{CustomerId, TargetId};
use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use smol_str::SmolStr;
use snafu::{OptionExt, Snafu};

type HmacSha256 = Hmac<Sha256>;

/// Length of the truncated authentication code, in bytes.
const TAG_BYTES: usize = 16;

/// Maximum length of an encoded handle, in bytes.
const MAX_HANDLE_BYTES: usize = 1024;

/// The reason why a resume handle was rejected.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum HandleError {
    /// The text is not a handle.
    #[snafu(display("the resume handle is malformed"))]
    Malformed,
    /// The authentication code does not match.
    #[snafu(display("the resume handle is not authentic"))]
    Forged,
    /// The handle belongs to another customer.
    #[snafu(display("the resume handle belongs to another customer"))]
    WrongCustomer,
}

/// Key that authenticates resume handles, shared by all VMs of a deployment.
#[derive(Clone)]
pub struct HandleKey(HmacSha256);

impl HandleKey {
    /// Creates a key from secret bytes of any length.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of any length.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(HmacSha256::new_from_slice(secret).expect("HMAC accepts keys of any length"))
    }

    /// Returns the HMAC state after `payload`.
    fn compute_mac(&self, payload: &[u8]) -> HmacSha256 {
        let mut mac = self.0.clone();
        mac.update(payload);
        mac
    }
}

impl std::fmt::Debug for HandleKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HandleKey(..)")
    }
}

/// Identifies a position in a generation, bound to the customer that requested the generation.
///
/// ```
/// use almondcroft_core::{HandleKey, ResumeHandle};
///
/// let key = HandleKey::new(b"secret");
/// let handle = ResumeHandle {
///     customer: "quito".into(),
///     service: "menus".into(),
///     target: "engine-1".into(),
///     generation: "g-1".into(),
///     offset: 7,
///     chat: false,
/// };
/// let text = handle.seal(&key);
/// assert_eq!(ResumeHandle::open(&text, &key, "quito")?, handle);
/// assert!(ResumeHandle::open(&text, &key, "cuenca").is_err());
/// # Ok::<(), almondcroft_core::HandleError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeHandle {
    /// The customer that may use the handle.
    #[serde(rename = "c")]
    pub customer: CustomerId,
    /// The service that the target belongs to.
    #[serde(rename = "s")]
    pub service: SmolStr,
    /// The target that runs the generation.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// The generation at that target.
    #[serde(rename = "g")]
    pub generation: SmolStr,
    /// Offset of the last token that was delivered.
    #[serde(rename = "o")]
    pub offset: u64,
    /// Whether the caller requested events in the chat format.
    #[serde(rename = "h")]
    pub chat: bool,
}

impl ResumeHandle {
    /// Encodes the handle together with its authentication code.
    ///
    /// # Panics
    ///
    /// Never: the handle's fields always serialize.
    #[must_use]
    pub fn seal(&self, key: &HandleKey) -> String {
        let mut bytes = serde_json::to_vec(self).expect("a handle serializes");
        let tag = key.compute_mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a handle and checks that it is authentic and belongs to `customer`.
    ///
    /// # Errors
    ///
    /// Returns a [`HandleError`] if the handle is malformed, forged or belongs to another customer.
    pub fn open(text: &str, key: &HandleKey, customer: &str) -> Result<Self, HandleError> {
        snafu::ensure!(text.len() <= MAX_HANDLE_BYTES, MalformedSnafu);
        let bytes = URL_SAFE_NO_PAD.decode(text).ok().context(MalformedSnafu)?;
        let split = bytes.len().checked_sub(TAG_BYTES).context(MalformedSnafu)?;
        let (payload, tag) = bytes.split_at(split);
        key.compute_mac(payload)
            .verify_truncated_left(tag)
            .ok()
            .context(ForgedSnafu)?;
        let handle: Self = serde_json::from_slice(payload)
            .map_err(|_| ())
            .ok()
            .context(MalformedSnafu)?;
        snafu::ensure!(handle.customer == customer, WrongCustomerSnafu);
        Ok(handle)
    }
}

#[cfg(test)]
mod tests;
