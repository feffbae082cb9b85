//! Significance test: whether one side has more bad outcomes than chance explains, given the other side's.

use super::counts::Rate;

/// Good outcomes added to the others' counts as a prior: if nearly all requests of a version have a bad outcome, the
/// version is the cause, even if no other version has run.
const PRIOR_REQUESTS: u64 = 10;
/// Relative weight below which further terms of a sum are neglected.
const NEGLIGIBLE: f64 = 1e-18;

/// Returns the p-value of Fisher's exact test: the probability that at least `own.bad` of all bad outcomes fall on this
/// side if both sides have the same rate.
pub(super) fn fisher_p_value(own: Rate, others: Rate) -> f64 {
    let others_ended = others.ended + PRIOR_REQUESTS;
    let bad = own.bad + others.bad;
    // Sums are relative to the probability of the observed outcome.
    let (mut at_least_as_many, mut weight) = (1.0, 1.0);
    for own_bad in own.bad..bad.min(own.ended) {
        weight *= ratio_to_next(own_bad, bad, own.ended, others_ended);
        at_least_as_many += weight;
        if weight < NEGLIGIBLE * at_least_as_many {
            break;
        }
    }
    let (mut fewer, mut weight) = (0.0, 1.0);
    for own_bad in (bad.saturating_sub(others_ended)..own.bad).rev() {
        weight /= ratio_to_next(own_bad, bad, own.ended, others_ended);
        fewer += weight;
        if weight < NEGLIGIBLE * fewer {
            break;
        }
    }
    at_least_as_many / (at_least_as_many + fewer)
}

/// Returns the probability of `own_bad + 1` own bad outcomes, divided by that of `own_bad`.
fn ratio_to_next(own_bad: u64, bad: u64, own_ended: u64, others_ended: u64) -> f64 {
    let others_bad = bad - own_bad;
    let others_good_after = others_ended + 1 - others_bad;
    (others_bad * (own_ended - own_bad)) as f64 / ((own_bad + 1) * others_good_after) as f64
}
