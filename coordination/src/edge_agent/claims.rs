//! Run-once claims at an agent: grants them as a holder and requests them on behalf of the proxy.

use wire_messages::{Claim, ClaimReply, ClaimRequest, ClaimResult, Name, Node};

use crate::{
    Effects, Ms,
    claims::{ClaimEnded, ClaimGrants, ClaimState, Claimer, is_caller_key},
    effect::send,
};

/// Time after its start by which an agent knows all edges, in ms. Before that, its majority of the
/// known edges could be a minority of all.
const EDGE_DISCOVERY_TIME: Ms = 3_000;

/// Holder and claimer sides of run-once claims.
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

    /// Handles another agent's claim.
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

    /// Handles a holder's reply.
    pub fn on_reply(&mut self, from: &Name, reply: ClaimReply, out: &mut Effects) {
        if let Some(ended) = self.claimer.on_reply(from, reply) {
            send_result(&ended, out);
        }
    }

    /// Handles the proxy's claim request. `edges` are all known edges, including this one.
    pub fn on_request(
        &mut self,
        proxy: &Name,
        request: &ClaimRequest,
        edges: &[Node],
        now: Ms,
        out: &mut Effects,
    ) {
        let is_discovering_edges = now.saturating_sub(self.started_at) < EDGE_DISCOVERY_TIME;
        if is_discovering_edges && is_caller_key(&request.request) {
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

    /// Reports claims that timed out without a majority.
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
