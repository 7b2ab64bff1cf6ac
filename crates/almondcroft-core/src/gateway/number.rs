//! Conversion of fractional quantities to counts.

/// Rounds a small, non-negative number down, such as a count of requests or VMs.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of requests and VMs are small and not negative"
)]
pub(crate) const fn floor_to_usize(number: f64) -> usize {
    number as usize
}
