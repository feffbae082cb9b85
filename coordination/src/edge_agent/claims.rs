//! Claims at an agent: it grants them as a holder and asks for them on behalf of its proxy.

use wire_messages::{Claim, ClaimReply, ClaimRequest, ClaimResult, Name, Node};

use crate::{
    Effects, Ms,
    claims::{ClaimEnded, ClaimGrants, ClaimState, Claimer, is_caller_key},
    effect::send,
};

/// An agent knows all edges after so long; before that its majority of them could be another's
/// minority.
const EDGE_DISCOVERY_TIME: Ms = 3_000;

/// Both sides of claims.
#[derive(Clone, Debug)]
pub(super) struct EdgeClaims {
    started_at: Ms,
    grants: ClaimGrants,
    claimer: Claimer,
}

impl EdgeClaims {
    pub fn new(started_at: Ms) -> Self {
        EdgeClaims {
            started_at,
            grants: ClaimGrants::new(started_at),
            claimer: Claimer::default(),
        }
    }

    /// Another agent's claim.
    pub fn on_claim(
        &mut self,
        me: &Node,
        claimer_addr: &Name,
        claim: Claim,
        now: Ms,
        out: &mut Effects,
    ) {
        self.grants.on_claim(me, claimer_addr, claim, now, out);
    }

    /// A holder's reply.
    pub fn on_reply(&mut self, from: &Name, reply: ClaimReply, out: &mut Effects) {
        if let Some(ended) = self.claimer.on_reply(from, reply) {
            send_result(&ended, out);
        }
    }

    /// The proxy asks for a claim; `edges` are all that are known, this one among them.
    pub fn on_request(
        &mut self,
        proxy: &Name,
        request: &ClaimRequest,
        edges: &[Node],
        now: Ms,
        out: &mut Effects,
    ) {
        let knows_few_edges = now.saturating_sub(self.started_at) < EDGE_DISCOVERY_TIME;
        if knows_few_edges && is_caller_key(&request.request) {
            let abstained = ClaimEnded {
                requester: proxy.clone(),
                token: request.token,
                state: ClaimState::Abstained,
            };
            send_result(&abstained, out);
            return;
        }
        self.claimer.request(proxy, request, edges, now, out);
    }

    /// Reports claims that got no majority in time.
    pub fn tick(&mut self, now: Ms, out: &mut Effects) {
        for ended in self.claimer.tick(now) {
            send_result(&ended, out);
        }
    }
}

fn send_result(ended: &ClaimEnded, out: &mut Effects) {
    let result = ClaimResult {
        token: ended.token,
        state: ended.state.to_byte(),
    };
    out.push(send(&ended.requester, result));
}
