use super::*;

#[test]
fn from_json_all_faults() {
    let json = br#"{"vm":"a","region":"r","zone":"z","listen":"nowhere","store":"x",
        "handle_secret":"short","peer_secret":"0123456789abcdef","colour":1,
        "limits":{"body_bytes":0,"silence":1}}"#;
    let error = Settings::from_json(json).unwrap_err();
    let paths: Vec<&str> = error
        .faults
        .iter()
        .map(|fault| fault.split(':').next().unwrap())
        .collect();
    assert_eq!(
        paths,
        [
            "listen",
            "store",
            "handle_secret",
            "limits.body_bytes",
            "limits.silence",
            "colour"
        ]
    );
}

#[test]
fn from_json_not_json() {
    assert!(Settings::from_json(b"{").is_err());
}
