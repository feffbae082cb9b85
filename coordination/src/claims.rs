//! Claims of run-once requests. A request id names three edges, the claim's holders, and the
//! incarnation of each; an attempt may run only if a majority of them has granted it the claim. A
//! holder in a later incarnation has lost its grants and abstains. A majority may also void an id,
//! which makes the answer "not run" final.

mod claimer;
mod grants;
mod request_id;

pub use claimer::{CLAIM_TIMEOUT, ClaimEnded, Claimer};
pub use grants::ClaimGrants;
pub use request_id::{CALLER_KEY_PREFIX, ClaimHolder, holders, is_caller_key, mint_request_id};

/// Reply of a holder to a claim, and outcome of a claim for the proxy that requested it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The attempt may run, or the id is void as requested.
    Granted,
    /// Another attempt has the claim and may be running.
    HeldByOther,
    /// The id is void: no attempt of the request will ever run.
    Voided,
    /// As a reply, the holder may have lost earlier grants; as an outcome, the claim got no majority.
    Abstained,
}

/// [`ClaimState::Granted`] as its byte on the wire.
pub const GRANTED: u8 = ClaimState::Granted.to_byte();
/// [`ClaimState::HeldByOther`] as its byte on the wire.
pub const HELD_BY_OTHER: u8 = ClaimState::HeldByOther.to_byte();
/// [`ClaimState::Voided`] as its byte on the wire.
pub const VOIDED: u8 = ClaimState::Voided.to_byte();
/// [`ClaimState::Abstained`] as its byte on the wire.
pub const ABSTAINED: u8 = ClaimState::Abstained.to_byte();

impl ClaimState {
    /// Returns the byte on the wire.
    pub const fn to_byte(self) -> u8 {
        match self {
            ClaimState::Granted => 0,
            ClaimState::HeldByOther => 1,
            ClaimState::Voided => 2,
            ClaimState::Abstained => 3,
        }
    }

    /// Parses the byte on the wire. An unknown byte counts as an abstention.
    pub const fn from_byte(byte: u8) -> Self {
        match byte {
            0 => ClaimState::Granted,
            1 => ClaimState::HeldByOther,
            2 => ClaimState::Voided,
            _ => ClaimState::Abstained,
        }
    }
}

#[cfg(test)]
mod tests;
