//! Parsed values of the state table that are used in every update and tick: the spec, the rollout records and the
//! release plans. Each value is parsed once per change.

use std::{collections::BTreeMap, sync::Arc};

use remote_calls::{ReleasePlan, RolloutRecord, Spec};
use wire_messages::Change;

use super::PLAN_PREFIX;
use crate::{
    compressed, register::ROLLOUT_PREFIX, rollout::VersionedPlan, state_table::SpecParser,
};

/// A release plan and the version of its key.
#[derive(Clone, Debug)]
struct StoredPlan {
    version: u64,
    plan: ReleasePlan,
}

/// Parsed values; rollout records and release plans by service.
#[derive(Clone, Debug)]
pub(super) struct ParsedState {
    spec_parser: SpecParser,
    spec: Option<Arc<Spec>>,
    records: BTreeMap<String, Arc<RolloutRecord>>,
    plans: BTreeMap<String, StoredPlan>,
}

impl ParsedState {
    pub(super) fn new(spec_parser: SpecParser) -> Self {
        ParsedState {
            spec_parser,
            spec: None,
            records: BTreeMap::new(),
            plans: BTreeMap::new(),
        }
    }

    pub(super) fn spec(&self) -> Option<&Arc<Spec>> {
        self.spec.as_ref()
    }

    pub(super) fn record(&self, service: &str) -> Option<&Arc<RolloutRecord>> {
        self.records.get(service)
    }

    /// Returns a service's release plan and its version.
    pub(super) fn plan(&self, service: &str) -> Option<VersionedPlan<'_>> {
        self.plans.get(service).map(|stored| VersionedPlan {
            version: stored.version,
            plan: &stored.plan,
        })
    }

    /// Parses the operator's document. It may be long, so it is parsed once for all of its changes in a batch.
    pub(super) fn parse_spec(&mut self, document: &Change) {
        if !document.value.0.is_empty() {
            let mut spec = (self.spec_parser)(&document.value.0);
            // Only the proxies need the tenants' keys.
            let access = spec.iter_mut().flat_map(|spec| &mut spec.access);
            for tenant in access.flat_map(|access| &mut access.tenants) {
                tenant.keys.clear();
            }
            self.spec = spec.map(Arc::new);
        }
    }

    /// Parses a changed rollout record or release plan; an empty or unreadable value removes the previous one.
    pub(super) fn parse_rollout(&mut self, change: &Change) {
        if let Some(service) = change.key.strip_prefix(ROLLOUT_PREFIX) {
            self.records.remove(service);
            if let Some(record) = compressed::decode(&change.value.0) {
                self.records.insert(service.to_string(), Arc::new(record));
            }
        } else if let Some(service) = change.key.strip_prefix(PLAN_PREFIX) {
            self.plans.remove(service);
            if let Ok(plan) = serde_json::from_slice(&change.value.0) {
                let version = change.version;
                self.plans
                    .insert(service.to_string(), StoredPlan { version, plan });
            }
        }
    }
}
