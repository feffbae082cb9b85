//! Counts requests for shared context at this proxy, and cache misses where it was assumed to be cached.

use std::collections::BTreeMap;

use remote_calls::{ContextRecord, PathSpec};
use wire_messages::{ContextDemand as DemandReport, List};

use super::{Assignment, Proxy};
use crate::{
    Ms,
    context::{LocalDemand, PromptChain, homes_digest, name_digest},
    exchange::RequestHead,
    placement::{Candidate, prefix_chain, shared_prefix, token_count},
    register::CONTEXT_PREFIX,
    state_table::{VersionStamp, version_stamp},
};

/// Minimum tokens of a counted chain: the prefill of a shorter one takes less time than a cross-region message.
const COUNTED_CHAIN_TOKENS_MIN: u32 = 1_000;

/// Shared context that was assumed to be cached at a replica.
#[derive(Clone, Debug)]
pub(super) struct AssumedCached {
    pub chain: PromptChain,
    blocks: Vec<u64>,
}

/// Demand of the services that have context copies.
#[derive(Clone, Default)]
pub(super) struct ContextDemands {
    /// Versions of the context records last read, by service.
    record_stamps: BTreeMap<String, VersionStamp>,
    by_service: BTreeMap<String, LocalDemand>,
}

impl Proxy {
    /// Applies changed context records from the state table.
    pub(super) fn read_context_records(&mut self) {
        let stamps = &self.context_demands.record_stamps;
        let changed: Vec<(String, VersionStamp)> = self
            .state_table
            .with_prefix(CONTEXT_PREFIX)
            .map(|(service, change)| (service.to_string(), version_stamp(change)))
            .filter(|(service, stamp)| stamps.get(service) != Some(stamp))
            .collect();
        for (service, stamp) in changed {
            // The key has no value if context copies are disabled.
            let record = self
                .state_table
                .read::<ContextRecord>(&format!("{CONTEXT_PREFIX}{service}"));
            self.placement.set_context(&service, record.as_ref());
            if record.is_none() {
                self.context_demands.by_service.remove(&service);
            }
            self.context_demands.record_stamps.insert(service, stamp);
        }
    }

    /// Returns the demand reports that are due, for the lease holders of the services.
    pub fn context_demands(&mut self, now: Ms) -> Vec<DemandReport> {
        let edge_count = self.placement.edge_count();
        self.context_demands
            .by_service
            .iter_mut()
            .filter(|(_, demand)| demand.is_due(edge_count, now))
            .map(|(service, demand)| DemandReport {
                service: service.as_str().into(),
                chains: List(demand.report(now)),
            })
            .collect()
    }

    /// Counts a request for shared context if the service may have context copies. Returns the context if it is assumed
    /// to be cached at the candidate.
    pub(super) fn count_context_request(
        &mut self,
        lane: &PathSpec,
        service: &str,
        candidate: &Candidate,
        head: &RequestHead,
        now: Ms,
    ) -> Option<AssumedCached> {
        let chain_digest = prefix_chain(&head.prefix_blocks)?;
        let blocks = shared_prefix(&head.prefix_blocks);
        let tokens = token_count(blocks);
        if tokens < COUNTED_CHAIN_TOKENS_MIN || !self.placement.has_context(service) {
            return None;
        }
        let chain = PromptChain {
            version: name_digest(&candidate.version),
            homes: homes_digest(&lane.homes),
            chain: chain_digest,
            tokens,
        };
        self.context_demands
            .by_service
            .entry(service.into())
            .or_default()
            .count_request(chain, now);
        candidate.cached.then(|| AssumedCached {
            chain,
            blocks: blocks.iter().map(|(id, _)| *id).collect(),
        })
    }

    /// Counts a cache miss: a first chunk so late that context assumed to be cached must have been prefilled again.
    pub(super) fn count_context_miss(
        &mut self,
        assignment: &Assignment,
        missed: &AssumedCached,
        now: Ms,
    ) {
        self.count("context_missed");
        self.placement
            .on_prefix_missed(&assignment.replica, &missed.blocks);
        self.context_demands
            .by_service
            .entry(assignment.service.clone())
            .or_default()
            .count_miss(missed.chain, now);
    }
}
