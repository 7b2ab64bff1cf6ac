//! Whole numbers of things that are reckoned with in fractions.

/// Returns the whole part of a number that is small and not negative, as counts of requests and VMs.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests and VMs are small and not negative"
)]
pub(crate) const fn whole(number: f64) -> usize {
    number as usize
}
