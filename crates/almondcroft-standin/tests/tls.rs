//! TLS to callers and between peers, with certificates replaced at run time.

use almondcroft_standin::demo::{Caller, LocalDeployment, StreamEnd, TOKEN};
use almondcroftd::http::{Outbound, TlsFiles, client_tls};
use almondcroftd::{block_on, sleep};
use rcgen::{CertifiedKey, KeyPair};
use std::path::Path;
use std::time::Duration;

fn identity() -> CertifiedKey<KeyPair> {
    rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap()
}

fn write(folder: &Path, identity: &CertifiedKey<KeyPair>, trusted: &str) -> TlsFiles {
    let files = TlsFiles {
        cert: folder.join("cert.pem"),
        key: folder.join("key.pem"),
        ca: folder.join("ca.pem"),
    };
    std::fs::write(&files.cert, identity.cert.pem()).unwrap();
    std::fs::write(&files.key, identity.signing_key.serialize_pem()).unwrap();
    std::fs::write(&files.ca, trusted).unwrap();
    files
}

fn caller(files: &TlsFiles) -> Caller {
    Caller::with_outbound(TOKEN, Outbound::with_tls(Some(client_tls(files).unwrap())))
}

#[test]
fn serve_over_tls_and_reload() {
    let folder = std::env::temp_dir().join(format!("almondcroft-{}", uuid::Uuid::new_v4()));
    std::fs::create_dir_all(&folder).unwrap();
    let (old, new) = (identity(), identity());
    let trusted = format!("{}{}", old.cert.pem(), new.cert.pem());
    let files = write(&folder, &old, &trusted);
    block_on(async {
        let deployment = LocalDeployment::start_with_tls(2, 1, Some(files.clone()))
            .await
            .unwrap();
        let urls = deployment.vm_urls();
        assert!(urls[0].starts_with("https://"));
        let caller = caller(&files);
        let streaming = caller.stream(&urls[0], "soup", 150);
        let changing = async {
            sleep(Duration::from_millis(200)).await;
            write(&folder, &new, &trusted);
        };
        let (streamed, ()) = futures_lite::future::zip(streaming, changing).await;
        assert_eq!((streamed.end, streamed.tokens), (StreamEnd::Done, 150));
        // Peers reach each other over TLS: both calls claim the key at the same peer.
        let key = uuid::Uuid::now_v7().to_string();
        for url in &urls {
            let reply = caller.call(url, "orders", Some(&key), "{}").await;
            assert_eq!(reply.status, 200);
        }
        assert_eq!(deployment.orders_state.executions().len(), 1);
        // A caller that trusts only the new certificate is served once it is in use.
        let only_new = folder.join("new.pem");
        std::fs::write(&only_new, new.cert.pem()).unwrap();
        let strict = self::caller(&TlsFiles {
            ca: only_new,
            ..files.clone()
        });
        let mut polls = 0;
        while strict.stream(&urls[0], "soup", 3).await.end != StreamEnd::Done {
            polls += 1;
            assert!(polls < 200, "the new certificate is not used");
            sleep(Duration::from_millis(50)).await;
        }
    });
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn refuse_untrusted_certificate() {
    let folder = std::env::temp_dir().join(format!("almondcroft-{}", uuid::Uuid::new_v4()));
    std::fs::create_dir_all(&folder).unwrap();
    let (served, other) = (identity(), identity());
    let files = write(&folder, &served, &served.cert.pem());
    block_on(async {
        let deployment = LocalDeployment::start_with_tls(1, 1, Some(files.clone()))
            .await
            .unwrap();
        let wrong = folder.join("wrong.pem");
        std::fs::write(&wrong, other.cert.pem()).unwrap();
        let untrusting = caller(&TlsFiles { ca: wrong, ..files });
        let streamed = untrusting.stream(&deployment.vm_urls()[0], "soup", 3).await;
        assert_eq!((streamed.end, streamed.tokens), (StreamEnd::Broken, 0));
    });
    std::fs::remove_dir_all(&folder).unwrap();
}
