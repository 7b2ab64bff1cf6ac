use super::*;
use proptest::prelude::*;

fn handle() -> ResumeHandle {
    ResumeHandle {
        customer: "quito".into(),
        service: "menus".into(),
        target: "engine-1".into(),
        generation: "g-1".into(),
        offset: 3,
        chat: true,
    }
}

#[test]
fn open_other_key() {
    let text = handle().seal(&HandleKey::new(b"one"));
    let opened = ResumeHandle::open(&text, &HandleKey::new(b"two"), "quito");
    assert_eq!(opened, Err(HandleError::Forged));
}

#[test]
fn open_other_customer() {
    let key = HandleKey::new(b"one");
    let opened = ResumeHandle::open(&handle().seal(&key), &key, "cuenca");
    assert_eq!(opened, Err(HandleError::WrongCustomer));
}

proptest! {
    #[test]
    fn open_arbitrary_text(text in ".{0,200}") {
        prop_assert!(ResumeHandle::open(&text, &HandleKey::new(b"one"), "quito").is_err());
    }

    #[test]
    fn open_altered_byte(position in 0_usize..90, flip in 1_u8..=255) {
        let key = HandleKey::new(b"one");
        let mut bytes = URL_SAFE_NO_PAD.decode(handle().seal(&key)).unwrap();
        let position = position % bytes.len();
        bytes[position] ^= flip;
        let text = URL_SAFE_NO_PAD.encode(bytes);
        prop_assert!(ResumeHandle::open(&text, &key, "quito").is_err());
    }
}
