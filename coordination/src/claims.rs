//! Claims of run-once requests. A request id names three edges and the incarnation of each; an
//! attempt may run only when a majority of the three has granted it. A holder of a later
//! incarnation has forgotten its grants and abstains. A majority may also void an id, which is what
//! makes the answer "not run" final.

mod claimer;
mod grants;
mod request_id;

pub use claimer::{CLAIM_TIMEOUT, ClaimEnded, Claimer};
pub use grants::ClaimGrants;
pub use request_id::{CALLER_KEY_PREFIX, ClaimHolder, holders, is_caller_key, mint_request_id};

/// What a holder replies to a claim, and how a claim ends for the proxy that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The attempt may run, or the id is void as was asked.
    Granted,
    /// Another attempt has the claim and may be running.
    HeldByOther,
    /// The id is void: no attempt of it will ever run.
    Voided,
    /// A holder that cannot know what it granted; as the outcome of a claim: it got no majority.
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
    /// The byte on the wire.
    pub const fn to_byte(self) -> u8 {
        match self {
            ClaimState::Granted => 0,
            ClaimState::HeldByOther => 1,
            ClaimState::Voided => 2,
            ClaimState::Abstained => 3,
        }
    }

    /// Reads the byte on the wire. An unknown one decides nothing, just as an abstention.
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
