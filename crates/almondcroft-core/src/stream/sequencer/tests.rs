use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn accept_any_order(offsets in prop::collection::vec(0_u64..20, 0..200)) {
        let mut sequencer = Sequencer::new(0);
        let mut delivered = Vec::new();
        for offset in offsets {
            if sequencer.accept(offset) == TokenOrder::Next {
                delivered.push(offset);
            }
        }
        let expected: Vec<u64> = (0..delivered.len() as u64).collect();
        prop_assert_eq!(delivered, expected);
    }
}
