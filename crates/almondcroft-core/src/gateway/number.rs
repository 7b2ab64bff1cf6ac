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

/// Rounds a number down to a count; a negative one is none. Sums of fractions may lie just below a whole number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates at both ends"
)]
pub(crate) const fn floor_to_u32(number: f64) -> u32 {
    (number + 1e-9) as u32
}
