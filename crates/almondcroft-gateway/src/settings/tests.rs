use super::*;

const MINIMAL: &str = r#"{"vm": "v", "zone": "a", "region": "r", "listen": "127.0.0.1:1",
    "ready": "127.0.0.1:2", "store": "127.0.0.1:3" EXTRA}"#;

fn read(extra: &str) -> Result<GatewaySettings, String> {
    let text = MINIMAL.replace("EXTRA", extra);
    GatewaySettings::from_json(text.as_bytes()).map_err(|error| error.to_string())
}

#[test]
fn from_json_defaults() {
    let settings = read("").unwrap();
    assert_eq!(settings.bounds, Bounds::default());
    assert_eq!(settings.region_of("a"), "a");
}

#[test]
fn from_json_whole_numbers_and_fractions() {
    let settings = read(r#", "bounds": {"revoke_ms": 5000, "drain_ms": 2500.5}"#).unwrap();
    assert_eq!(settings.bounds.revoke(), Some(Duration::from_secs(5)));
    assert_eq!(settings.bounds.drain(), Duration::from_micros(2_500_500));
}

#[test]
fn from_json_names_the_field() {
    let error = read(r#", "bounds": {"grace_s": "long"}"#).unwrap_err();
    assert!(error.starts_with("bounds.grace_s:"), "{error}");
    let error = read(r#", "bounds": {"grace_s": -1}"#).unwrap_err();
    assert!(error.starts_with("bounds.grace_s:"), "{error}");
    let error = read(r#", "bounds": {"target_heartbeat_ms": 0}"#).unwrap_err();
    assert!(error.starts_with("bounds.target_heartbeat_ms:"), "{error}");
    assert!(read(r#", "unknown": 1"#).is_err());
}
