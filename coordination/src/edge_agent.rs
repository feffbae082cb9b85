//! The state machine of an edge agent. The agent participates in membership gossip, merges the
//! control daemons' change feeds into one state table, repairs that table with its neighbours,
//! decides its proxy's serving rule, and claims run-once requests. The colocated proxy receives all
//! fleet state from the agent's updates.

mod claims;
mod control_sources;
mod leases;
mod local_proxy;
mod repair;
mod serving_rule;
mod table_feed;
mod usage;

use wire_messages::{
    Change, ClaimRequest, ContextDemand, List, Message, Name, Node, PrefillReport, Repair, Update,
};

use self::{
    claims::EdgeClaims,
    control_sources::{ControlSources, PollContext},
    leases::Leases,
    local_proxy::{ProxyLink, ProxyUpdate},
    repair::{Comparisons, RepairKind},
    serving_rule::{Contact, Decision, ServingState},
};
pub use self::{
    control_sources::POLL_INTERVAL,
    serving_rule::{
        MAJORITY_TIMEOUT, REJECT_ALL, RULE_DURATION, SERVE_ALL, STABLE_ONLY, ServingRule,
    },
};
use crate::{
    Effects, Ms,
    effect::{log_event, send},
    events,
    membership::{Membership, NodeRole},
    regions::{Regions, region_of},
    state_table::StateTable,
};

/// Returns a change's metadata: its key, epoch and version without the value.
fn without_value(change: Change) -> Change {
    Change {
        value: Default::default(),
        ..change
    }
}

/// The state machine of an edge agent: consumes messages and ticks, returns effects.
#[derive(Clone, Debug)]
pub struct EdgeAgent {
    membership: Membership,
    regions: Regions,
    state_table: StateTable,
    sources: ControlSources,
    comparisons: Comparisons,
    leases: Leases,
    serving: ServingState,
    proxy: ProxyLink,
    claims: EdgeClaims,
}

impl EdgeAgent {
    /// Creates an agent that starts at `now` and knows only the addresses in `seeds`. `random_seed`
    /// seeds all its random choices.
    pub fn new(me: Node, seeds: Vec<Name>, random_seed: u64, now: Ms) -> Self {
        let me = Node {
            role: NodeRole::Edge.to_byte(),
            ..me
        };
        let incarnation = me.incarnation;
        EdgeAgent {
            membership: Membership::new(me, seeds, random_seed),
            regions: Regions::new(),
            state_table: StateTable::default(),
            sources: ControlSources::default(),
            comparisons: Comparisons::default(),
            leases: Leases::default(),
            serving: ServingState::default(),
            proxy: ProxyLink::new(incarnation),
            claims: EdgeClaims::new(now),
        }
    }

    /// Sets whether the agent continues to serve stable versions from its last known state while it
    /// is out of contact. For operators who prefer serving from stale values to rejecting requests;
    /// bounds then hold only for daemons in contact.
    pub fn set_serve_when_partitioned(&mut self, on: bool) {
        self.serving.serve_when_partitioned = on;
    }

    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: Regions) {
        self.membership.set_regions(regions.clone());
        self.regions = regions;
    }

    /// Returns the nodes that this agent knows.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the committed values that this agent knows.
    pub fn state_table(&self) -> &StateTable {
        &self.state_table
    }

    /// Returns the rule under which the proxy serves.
    pub fn serving_rule(&self) -> ServingRule {
        self.serving.rule()
    }

    /// Whether the colocated proxy still reports but no longer accepts clients because the machine is
    /// shutting down.
    pub fn proxy_is_draining(&self, now: Ms) -> bool {
        self.membership.me().http_addr.is_empty() && self.proxy.is_reporting(now)
    }

    /// Handles a message from the process `from`, which listens at `addr`.
    pub fn on_message(&mut self, from: &Name, addr: &Name, message: Message, now: Ms) -> Effects {
        let mut out = Vec::new();
        match message {
            Message::Shuffle(shuffle) => {
                self.membership.on_shuffle(addr, shuffle, now, &mut out);
                self.poll_discovered_daemons(now);
            }
            Message::Update(update) => self.on_update(from, update, now, &mut out),
            Message::TableDigests(digests) => {
                let metadata = repair::respond_to_digests(&self.state_table, &digests);
                out.push(send(addr, metadata));
            }
            Message::Repair(repair) => {
                self.comparisons.on_repair(from, repair.request_sent_at);
                self.on_repair(addr, repair, &mut out);
            }
            Message::Claim(claim) => {
                self.claims
                    .on_claim(self.membership.me(), addr, claim, now, &mut out);
            }
            Message::ClaimReply(reply) => self.claims.on_reply(from, reply, &mut out),
            Message::ClaimRequest(request) => {
                self.on_claim_request(addr, &request, now, &mut out);
            }
            Message::ProxyReport(report) => {
                self.membership.set_http_addr(&report.http_addr);
                self.proxy.on_report(addr, report, now);
            }
            Message::PrefillReport(report) => self.on_prefill_report(addr, report, now, &mut out),
            Message::ContextDemand(demand) => self.on_context_demand(addr, demand, &mut out),
            _ => {}
        }
        // Forwards changes to the proxy immediately, not at the next tick.
        if self.proxy.has_unsent_changes() {
            self.update_proxy(now, &mut out);
        }
        out
    }

    /// Runs all work that is due.
    pub fn tick(&mut self, now: Ms) -> Effects {
        let mut out = Vec::new();
        if self.sources.was_suspended(now) {
            self.serving.set_resumed(now);
        }
        // A proxy that does not report cannot serve: its address is withdrawn until it reports
        // again.
        if self.proxy.is_unresponsive(now) {
            self.membership.set_http_addr("");
        }
        self.membership.tick(now, &mut out);
        self.claims.tick(now, &mut out);
        let polls = PollContext {
            membership: &self.membership,
            table: &self.state_table,
            proxy: &self.proxy,
            is_ready: self.serving.is_ready(),
        };
        self.sources.tick(&polls, now, &mut out);
        self.comparisons.tick(
            &self.membership,
            &self.state_table,
            self.serving.has_lost_majority(now),
            now,
            &mut out,
        );
        self.update_serving_rule(now, &mut out);
        if self.proxy.is_update_due(now) {
            self.update_proxy(now, &mut out);
        }
        out
    }

    /// Expedites the next poll if an agent that is not ready has discovered a control daemon.
    fn poll_discovered_daemons(&mut self, now: Ms) {
        let discovers = self
            .membership
            .known(NodeRole::Control)
            .any(|daemon| !self.sources.is_followed(&daemon.name));
        if discovers && !self.serving.is_ready() {
            self.sources.expedite_poll(now);
        }
    }

    fn on_update(&mut self, from: &Name, update: Update, now: Ms, out: &mut Effects) {
        if !self.sources.on_update(from, &update, now) {
            return;
        }
        self.merge(update.changes.0);
        for lease in update.leases.0 {
            self.leases.receive(from, lease, update.poll_sent_at);
        }
        let knows_voters = update.voter_count > 0;
        if !self.serving.is_ready() && knows_voters && self.sources.has_settled_majority() {
            self.serving.set_ready();
            out.push(log_event(
                events::EDGE_READY,
                &self.membership.me().name,
                "",
            ));
        }
        self.update_serving_rule(now, out);
    }

    /// Merges changes into the table and returns how many of them were newer.
    fn merge(&mut self, changes: Vec<Change>) -> usize {
        let mut newer_count = 0;
        for change in changes {
            if self.state_table.merge(&change) {
                self.proxy.push_change(change);
                newer_count += 1;
            }
        }
        newer_count
    }

    fn on_repair(&mut self, addr: &Name, repair: Repair, out: &mut Effects) {
        match RepairKind::from_byte(repair.kind) {
            RepairKind::Metadata => {
                let responses = repair::respond_to_metadata(&self.state_table, &repair);
                out.extend(responses.map(|response| send(addr, response)));
            }
            // A neighbour's values are committed, so they are merged even before a majority has sent
            // updates.
            RepairKind::Values => {
                let repaired_count = self.merge(repair.changes.0);
                if repaired_count > 0 {
                    let text = format!("{repaired_count} keys");
                    out.push(log_event(events::STATE_REPAIRED, addr, text));
                }
            }
            RepairKind::Requests => {
                let values = repair::requested_values(&self.state_table, &repair);
                out.push(send(addr, values));
            }
        }
    }

    fn on_claim_request(
        &mut self,
        proxy: &Name,
        request: &ClaimRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        let edges = self.with_own_node(self.membership.known(NodeRole::Edge));
        self.claims.on_request(proxy, request, &edges, now, out);
    }

    /// Forwards the proxy's prefill reports to the edges of this region and of the region that the
    /// prefills ran in, because these share replicas with it. Forwards reports of other edges to the
    /// proxy.
    fn on_prefill_report(&self, from: &Name, report: PrefillReport, now: Ms, out: &mut Effects) {
        let Some(proxy_addr) = self.proxy.addr() else {
            return;
        };
        if proxy_addr != from {
            out.push(send(proxy_addr, report));
            return;
        }
        let me = self.membership.me();
        let shares_replicas = |edge: &&Node| {
            self.membership.is_same_region(edge)
                || region_of(&self.regions, &edge.zone) == &*report.region
        };
        out.extend(
            self.live_edges(now)
                .filter(|edge| edge.name != me.name)
                .filter(shares_replicas)
                .map(|edge| send(&edge.addr, report.clone())),
        );
    }

    /// Forwards the proxy's context demand to the daemon that holds the service's role, and to no
    /// other.
    fn on_context_demand(&self, from: &Name, demand: ContextDemand, out: &mut Effects) {
        if self.proxy.addr() != Some(from) {
            return;
        }
        let Some(holder) = self.leases.holder(&demand.service) else {
            return;
        };
        let holder_node = self
            .membership
            .known(NodeRole::Control)
            .find(|daemon| daemon.name == *holder);
        out.extend(holder_node.map(|daemon| send(&daemon.addr, demand)));
    }

    /// Updates the serving rule and, if it changed, expedites the update to the proxy.
    fn update_serving_rule(&mut self, now: Ms, out: &mut Effects) -> Decision {
        let contact = Contact {
            majority_poll_sent_at: self.sources.majority_poll_sent_at(),
            knows_voters: self.sources.knows_voters(),
        };
        let compared_with_most_edges =
            || self.comparisons.includes_most_edges(&self.membership, now);
        let decision = self.serving.update(&contact, compared_with_most_edges, now);
        if decision.rule != decision.former_rule {
            let (former, rule) = (decision.former_rule.to_byte(), decision.rule.to_byte());
            let me = &self.membership.me().name;
            let text = format!("{former} to {rule}");
            out.push(log_event(events::SERVING_RULE_CHANGED, me, text));
            self.proxy.expedite_update();
        }
        decision
    }

    fn update_proxy(&mut self, now: Ms, out: &mut Effects) {
        let update = ProxyUpdate {
            decision: self.update_serving_rule(now, out),
            leases: self.leases.unexpired(now),
            nodes: List(self.with_own_node(self.live_edges(now))),
        };
        self.proxy.send_update(&self.state_table, update, now, out);
    }

    /// Returns the other edges that are live according to gossip and the control daemons' reports.
    fn live_edges(&self, now: Ms) -> impl Iterator<Item = &Node> {
        let unreachable = self.sources.unreachable_edges(now);
        self.membership
            .live(NodeRole::Edge)
            .filter(move |edge| !unreachable.contains(edge))
    }

    /// Returns the given nodes and this one.
    fn with_own_node<'a>(&'a self, nodes: impl Iterator<Item = &'a Node>) -> Vec<Node> {
        nodes.chain([self.membership.me()]).cloned().collect()
    }
}
