//! Request ids, which name the holders of their claims, and keys chosen by callers.

use wire_messages::{Name, Node};

use crate::rendezvous::rendezvous_order;

/// Prefix of a caller's key in claims.
pub const CALLER_KEY_PREFIX: &str = "k:";
/// Number of holders of one claim: a majority of three tolerates the loss of one.
const CLAIM_HOLDER_COUNT: usize = 3;
/// Number of hexadecimal digits in an id's random part.
const RANDOM_PART_DIGITS: usize = 16;

/// Edge that grants claims on an id, in its incarnation at the time the id was minted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimHolder {
    /// Name of the edge's agent.
    pub name: Name,
    /// Incarnation that has the grants in memory.
    pub incarnation: u64,
}

impl ClaimHolder {
    pub(super) fn of(node: &Node) -> Self {
        ClaimHolder {
            name: node.name.clone(),
            incarnation: node.incarnation,
        }
    }

    /// Parses `name.incarnation`, with the incarnation in hexadecimal digits.
    fn parse(text: &str) -> Option<Self> {
        let (name, incarnation) = text.rsplit_once('.')?;
        Some(ClaimHolder {
            name: name.into(),
            incarnation: u64::from_str_radix(incarnation, 16).ok()?,
        })
    }
}

/// Returns whether a claim is on a caller's key, which names no holders.
pub fn is_caller_key(request: &str) -> bool {
    request.starts_with(CALLER_KEY_PREFIX)
}

/// Mints a request id: the random part, then `~name.incarnation` for each holder.
pub fn mint_request_id(random: u64, edges: Vec<Node>) -> String {
    let random_part = format!("{random:016x}");
    rendezvous_order(&random_part, edges, |edge| &edge.name)
        .into_iter()
        .take(CLAIM_HOLDER_COUNT)
        .fold(random_part, |id, edge| {
            format!("{id}~{}.{:x}", edge.name, edge.incarnation)
        })
}

/// Returns the holders named in an id; none if the id is malformed, so not minted by a proxy of this
/// system.
pub fn holders(request: &str) -> Option<Vec<ClaimHolder>> {
    let mut parts = request.split('~');
    let random_part = parts.next()?;
    if random_part.len() != RANDOM_PART_DIGITS
        || !random_part.bytes().all(|byte| byte.is_ascii_hexdigit())
    {
        return None;
    }
    let holders: Vec<ClaimHolder> = parts.map(ClaimHolder::parse).collect::<Option<_>>()?;
    (1..=CLAIM_HOLDER_COUNT)
        .contains(&holders.len())
        .then_some(holders)
}
