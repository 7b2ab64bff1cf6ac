//! TLS for connections with callers, peers and targets.

use crate::runtime::{sleep, spawn};
use snafu::{OptionExt, ResultExt, Snafu};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use trillium_rustls::rustls::crypto::{CryptoProvider, ring};
use trillium_rustls::rustls::pki_types::pem::PemObject;
use trillium_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use trillium_rustls::rustls::server::{ClientHello, ResolvesServerCert};
use trillium_rustls::rustls::sign::CertifiedKey;
use trillium_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};

/// Time between two checks of the certificate and key files for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Paths of the files of a VM's TLS identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain in PEM; reloaded when it changes.
    pub cert: PathBuf,
    /// Private key in PEM; reloaded when it changes.
    pub key: PathBuf,
    /// Root certificates for targets and peers, in PEM.
    pub ca: PathBuf,
}

/// Reasons why a TLS identity cannot be used.
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A file cannot be read.
    #[snafu(display("{} cannot be read", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file contains no usable certificate or key in PEM.
    #[snafu(display("{} contains no usable certificate or key in PEM", path.display()))]
    Content {
        /// The file.
        path: PathBuf,
    },
    /// The certificate and the key do not match, or their type is not supported.
    #[snafu(display("the certificate and the key do not match or their type is not supported"))]
    Mismatch,
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).context(ReadSnafu { path })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let bytes = read(path)?;
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    parsed
        .ok()
        .filter(|certificates| !certificates.is_empty())
        .context(ContentSnafu { path })
}

/// Returns the TLS configuration for connections to targets and peers.
///
/// # Errors
///
/// Returns a [`TlsError`] if the trusted certificates cannot be read.
pub fn client_tls(files: &TlsFiles) -> Result<Arc<ClientConfig>, TlsError> {
    let mut roots = RootCertStore::empty();
    roots.add_parsable_certificates(certificates(&files.ca)?);
    let config = ClientConfig::builder_with_provider(crypto_provider())
        .with_safe_default_protocol_versions()
        .map_err(|_| TlsError::Mismatch)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Arc::new(config))
}

/// Returns the TLS configuration of the server and reloads the files whenever they change.
///
/// Open connections keep their certificate. If the changed files cannot be used, an error is logged
/// and the previous certificate stays in use.
///
/// # Errors
///
/// Returns a [`TlsError`] if the files cannot be used at the time of the call.
pub fn server_tls(files: &TlsFiles) -> Result<ServerConfig, TlsError> {
    let resolver = Arc::new(CertResolver {
        current: RwLock::new(Arc::new(load(files)?)),
    });
    let config = ServerConfig::builder_with_provider(crypto_provider())
        .with_safe_default_protocol_versions()
        .map_err(|_| TlsError::Mismatch)?
        .with_no_client_auth()
        .with_cert_resolver(Arc::clone(&resolver) as Arc<dyn ResolvesServerCert>);
    spawn(reload_on_change(files.clone(), Arc::downgrade(&resolver)));
    Ok(config)
}

fn load(files: &TlsFiles) -> Result<CertifiedKey, TlsError> {
    let chain = certificates(&files.cert)?;
    let path = files.key.as_path();
    let key = PrivateKeyDer::from_pem_slice(&read(path)?)
        .ok()
        .context(ContentSnafu { path })?;
    CertifiedKey::from_der(chain, key, &crypto_provider())
        .ok()
        .context(MismatchSnafu)
}

#[derive(Debug)]
struct CertResolver {
    current: RwLock<Arc<CertifiedKey>>,
}

impl ResolvesServerCert for CertResolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        Some(Arc::clone(&current))
    }
}

/// Reloads the files whenever their contents change, as long as the server runs.
async fn reload_on_change(files: TlsFiles, resolver: std::sync::Weak<CertResolver>) {
    let contents = || {
        (
            std::fs::read(&files.cert).ok(),
            std::fs::read(&files.key).ok(),
        )
    };
    let mut loaded = contents();
    loop {
        sleep(RELOAD_INTERVAL).await;
        let Some(resolver) = resolver.upgrade() else {
            return;
        };
        let current = contents();
        if current == loaded {
            continue;
        }
        loaded = current;
        match load(&files) {
            Ok(key) => {
                let mut current = resolver
                    .current
                    .write()
                    .unwrap_or_else(PoisonError::into_inner);
                *current = Arc::new(key);
                log::info!(event = "certificate-reloaded"; "");
            }
            Err(error) => log::error!(event = "certificate-unusable", error:% = error; ""),
        }
    }
}
