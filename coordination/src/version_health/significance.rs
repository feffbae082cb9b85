//! Whether one side's bad ends are more than chance makes of what is known of the other.

use super::counts::Rate;

/// Requests without a bad end that the others are taken to have had besides those that are known: what befalls nearly
/// all requests of a version is its fault, even if nothing else has run.
const PRIOR_REQUESTS: u64 = 10;
/// Weight of an outcome beside all others from which on further ones no longer count.
const NEGLIGIBLE: f64 = 1e-18;

/// Fisher's exact test: the probability that at least so many of all bad ends would be this side's if both had the same
/// rate.
pub(super) fn chance_of_as_many_bad(own: Rate, others: Rate) -> f64 {
    let others_ended = others.ended + PRIOR_REQUESTS;
    let bad = own.bad + others.bad;
    // Relative to the probability of what happened.
    let (mut as_many, mut weight) = (1.0, 1.0);
    for own_bad in own.bad..bad.min(own.ended) {
        weight *= ratio_to_next(own_bad, bad, own.ended, others_ended);
        as_many += weight;
        if weight < NEGLIGIBLE * as_many {
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
    as_many / (as_many + fewer)
}

/// The probability of one more bad end among a side's own over that of so many.
fn ratio_to_next(own_bad: u64, bad: u64, own_ended: u64, others_ended: u64) -> f64 {
    let others_bad = bad - own_bad;
    let others_good_after = others_ended + 1 - others_bad;
    (others_bad * (own_ended - own_bad)) as f64 / ((own_bad + 1) * others_good_after) as f64
}
