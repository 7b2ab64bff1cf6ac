use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn offer_never_lower(revisions in prop::collection::vec(0_u64..50, 0..100)) {
        let mut gate = RevisionGate::default();
        let mut highest = 0;
        for revision in revisions {
            gate.offer(Config { revision, ..Config::default() });
            highest = highest.max(revision);
            prop_assert_eq!(gate.revision(), highest);
        }
    }
}
