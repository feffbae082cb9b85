//! Callers that name a service: where they should go, and the places of their requests.

use std::{collections::BTreeSet, sync::Arc};

use remote_calls::{
    Fault, GroupRole, LaneSpec, NominateRequest, Nomination, Outcome, RunRequest, ServiceSpec, Spec,
};
use wire_messages::Node;

use super::{Admission, Assignment, Proxy, Seen};
use crate::{
    Ms, claims, edge_agent::REJECT_ALL, placement::prefix_cache::PREFIX_CACHE_TTL,
    rendezvous::rendezvous_weight,
};

/// ms. Least and most of Retry-After; the spread keeps rejected callers from returning together.
const RETRY_AFTER: (Ms, Ms) = (500, 4_000);
/// Prefixes remembered; the oldest go first.
const PREFIXES: usize = 20_000;

impl Proxy {
    fn lane<'a>(
        spec: &'a Spec,
        service: &str,
        lane: &str,
        tier: &str,
    ) -> Result<(&'a ServiceSpec, &'a LaneSpec, u32, u32), Fault> {
        let bad = |f: &str, m: String| {
            Fault::new("bad_request", "check_request", m)
                .field(f)
                .outcome(Outcome::NotRun)
        };
        let Some(s) = spec.services.iter().find(|s| s.name == service) else {
            return Err(bad("service", format!("no service {service}")));
        };
        let Some(l) = s.lanes.iter().find(|l| l.name == lane) else {
            return Err(bad("lane", format!("service {service} has no lane {lane}")));
        };
        let Some(t) = spec.tiers.iter().find(|t| t.name == tier) else {
            return Err(bad("tier", format!("no tier {tier}")));
        };
        Ok((s, l, t.rank, t.keep_free))
    }

    /// A rejection with a time to come back, spread so that callers do not return together.
    pub fn reject(&mut self, code: &str, step: &str, message: &str) -> Fault {
        self.count("rejected");
        let ms = self.rng.u64(RETRY_AFTER.0..RETRY_AFTER.1);
        Fault::new(code, step, message)
            .retry(ms)
            .outcome(Outcome::NotRun)
    }

    /// Home zones of a request that take requests now.
    fn homes(&mut self, s: &ServiceSpec, homes: &[String]) -> Result<BTreeSet<String>, Fault> {
        let bad = |m: String| {
            Fault::new("bad_request", "check_request", m)
                .field("homes")
                .outcome(Outcome::NotRun)
        };
        if homes.is_empty() {
            return Err(bad("names no home".into()));
        }
        let zones = self.spec.as_ref().map_or(&[][..], |s| &s.zones);
        if let Some(h) = homes.iter().find(|h| !zones.iter().any(|z| z.name == **h)) {
            return Err(bad(format!("no zone {h}")));
        }
        let served: BTreeSet<&String> = homes
            .iter()
            .filter(|h| s.zones.iter().any(|z| z.zone == **h))
            .collect();
        if served.is_empty() {
            return Err(bad(format!(
                "service {} has no replica in these homes",
                s.name
            )));
        }
        let open: BTreeSet<String> = served
            .into_iter()
            .filter(|h| !self.evacuated.contains(*h))
            .cloned()
            .collect();
        if open.is_empty() {
            return Err(self.reject("evacuated", "filter_homes", "every home is evacuated"));
        }
        Ok(open)
    }

    fn allowed(&mut self, now: Ms) -> Result<Arc<Spec>, Fault> {
        // The rule is read with the clock at hand: a process that slept finds it lapsed.
        if self.rule == REJECT_ALL || now >= self.until {
            return Err(self.reject("no_rule", "check_rule", "this edge may not serve now"));
        }
        match self.spec.clone().filter(|_| self.whole) {
            Some(s) => Ok(s),
            None => Err(self.reject("no_spec", "check_rule", "no spec is known yet")),
        }
    }

    /// Answers where a request should go.
    pub fn nominate(&mut self, q: &NominateRequest, now: Ms) -> Result<Nomination, Fault> {
        let spec = self.allowed(now)?;
        let (s, l, rank, keep) = Self::lane(&spec, &q.service, &q.lane, &q.tier)?;
        let zones = self.homes(s, &q.homes)?;
        if q.time_left_ms > l.time_limit_ms {
            let m = format!("lane {} grants at most {} ms", l.name, l.time_limit_ms);
            return Err(Fault::new("bad_request", "check_request", m)
                .field("time_left_ms")
                .outcome(Outcome::NotRun));
        }
        if q.time_left_ms < l.expected_ms {
            return Err(self.reject("no_time", "nominate", "it could not end in its time left"));
        }
        let mut best: Option<String> = None;
        // Near first, as in placing: callers with other second homes share a prefix's replica in their first.
        let own: BTreeSet<String> = zones
            .iter()
            .filter(|z| ***z == *self.zone)
            .cloned()
            .collect();
        'found: for zs in [&own, &zones] {
            for (_, v, ids) in self.groups(&q.service, now) {
                let fit = self.fit((&q.service, &q.prefixes), (&v, &ids), zs, (rank, keep), now);
                let edges = |z: &str| {
                    self.nodes
                        .iter()
                        .any(|n| &*n.zone == z && !n.http_addr.is_empty())
                };
                // Carried inside its homes: a zone without an edge cannot be gone to.
                let fit: Vec<(&Seen, u32)> = fit
                    .into_iter()
                    .filter(|(r, _)| edges(&r.report.zone))
                    .collect();
                if let Some(r) = self.pick(&fit, &q.prefixes, &v, now) {
                    best = Some(r.report.zone.clone());
                    break 'found;
                }
            }
        }
        if best.is_none() {
            self.press(rank, now);
            best = self.wait_zone(q, rank, &zones, now);
        }
        let Some(zone) = best else {
            return Err(self.reject(
                "full",
                "nominate",
                "no warm replica in these homes has a place for this tier",
            ));
        };
        let random = self.rng.u64(..);
        let near: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|n| *n.zone == *zone && !n.http_addr.is_empty())
            .collect();
        let edge = match near.iter().find(|n| n.name == self.name) {
            Some(n) => *n,
            None => *near
                .iter()
                .max_by_key(|n| rendezvous_weight(&format!("{random}"), &n.name))
                .unwrap_or(&near[0]),
        };
        let (proxy, zone) = (edge.http_addr.to_string(), edge.zone.to_string());
        let request = claims::mint_request_id(random, self.nodes.clone());
        self.count("nominated");
        Ok(Nomination {
            proxy,
            zone,
            request,
        })
    }

    /// Checks a request that has come to run, before anything is claimed for it.
    pub fn check_request(&mut self, q: &RunRequest, now: Ms) -> Result<u32, Fault> {
        let spec = self.allowed(now)?;
        let (s, l, rank, _) = Self::lane(&spec, &q.service, &q.lane, &q.tier)?;
        if claims::holders(&q.request).is_none() {
            return Err(Fault::new(
                "bad_request",
                "check_request",
                "is no id that nominate gave",
            )
            .field("request")
            .outcome(Outcome::NotRun));
        }
        if q.key.is_some() && !q.run_once {
            let m = "a key is for what may run only once";
            return Err(Fault::new("bad_request", "check_request", m)
                .field("key")
                .outcome(Outcome::NotRun));
        }
        if !q.homes.iter().any(|h| **h == *self.zone) {
            let m = format!(
                "this edge is in zone {}, outside the request's homes",
                self.zone
            );
            return Err(Fault::new("wrong_zone", "check_request", m)
                .field("homes")
                .outcome(Outcome::NotRun));
        }
        self.homes(s, &q.homes)?;
        if q.time_left_ms > l.time_limit_ms {
            let m = format!("lane {} grants at most {} ms", l.name, l.time_limit_ms);
            return Err(Fault::new("bad_request", "check_request", m)
                .field("time_left_ms")
                .outcome(Outcome::NotRun));
        }
        if q.time_left_ms < l.expected_ms {
            return Err(self.reject(
                "no_time",
                "check_request",
                "it could not end in its time left",
            ));
        }
        Ok(rank)
    }

    /// Finds a place now. `tried`: replicas that already failed this request.
    pub fn assign_named(&mut self, q: &RunRequest, tried: &[String], now: Ms) -> Admission {
        let spec = match self.allowed(now) {
            Ok(s) => s,
            Err(f) => return Admission::Rejected(f),
        };
        let (s, rank, keep) = match Self::lane(&spec, &q.service, &q.lane, &q.tier) {
            Ok((s, _, r, k)) => (s, r, k),
            Err(f) => return Admission::Rejected(f),
        };
        let zones = match self.homes(s, &q.homes) {
            Ok(z) => z,
            Err(f) => return Admission::Rejected(f),
        };
        // Near first: the edge's own zone, then the other homes.
        let own: BTreeSet<String> = zones
            .iter()
            .filter(|z| ***z == *self.zone)
            .cloned()
            .collect();
        for zs in [own, zones] {
            for (role, v, mut ids) in self.groups(&q.service, now) {
                ids.retain(|i| !tried.contains(i));
                let fit = self.fit(
                    (&q.service, &q.prefixes),
                    (&v, &ids),
                    &zs,
                    (rank, keep),
                    now,
                );
                let Some(r) = self.pick(&fit, &q.prefixes, &v, now) else {
                    continue;
                };
                let id = r.report.replica.clone();
                let addr = self
                    .records
                    .get(&q.service)
                    .and_then(|r| r.2.replicas.iter().find(|p| p.id == id))
                    .map(|p| p.addr.clone());
                let Some(addr) = addr else { continue };
                return Admission::Assigned(self.begin(q, role, v, id, addr, now));
            }
        }
        self.press(rank, now);
        // A second round does not wait again: its answer is due at once.
        if !tried.is_empty() {
            return Admission::Rejected(self.reject(
                "full",
                "place",
                "no other replica has a place",
            ));
        }
        Admission::NoFreeSlot
    }

    /// The place of a run that a caller goes on with: its own replica and no other.
    pub fn assign_resumed(&mut self, q: &RunRequest, id: &str, now: Ms) -> Option<Assignment> {
        let r = &self.records.get(&q.service)?.2;
        let addr = r.replicas.iter().find(|p| p.id == id)?.addr.clone();
        if !q.homes.contains(&self.seen.get(id)?.report.zone) {
            return None;
        }
        let version = r
            .groups
            .iter()
            .find(|g| g.replicas.iter().any(|i| i == id))?
            .version
            .clone();
        Some(self.begin(q, GroupRole::Stable, version, id.into(), addr, now))
    }

    pub fn expected_ms(&self, service: &str, lane: &str) -> Ms {
        let s = self
            .spec
            .as_ref()
            .and_then(|s| s.services.iter().find(|s| s.name == service));
        s.and_then(|s| s.lanes.iter().find(|l| l.name == lane))
            .map_or(0, |l| l.expected_ms)
    }

    fn begin(
        &mut self,
        q: &RunRequest,
        role: GroupRole,
        version: String,
        replica: String,
        addr: String,
        now: Ms,
    ) -> Assignment {
        let mut warm = false;
        for p in &q.prefixes {
            let k = (replica.clone(), format!("{version} {p}"));
            warm |= self
                .warm
                .insert(k, now)
                .is_some_and(|t| now - t < PREFIX_CACHE_TTL);
        }
        if self.warm.len() > PREFIXES {
            let old = now.saturating_sub(PREFIX_CACHE_TTL / 2);
            self.warm.retain(|_, t| *t > old);
        }
        if let Some(s) = self.seen.get_mut(&replica) {
            s.since += 1;
        }
        self.opens((replica.clone(), version.clone()));
        self.share_out(&q.service, role);
        let p = Assignment {
            service: q.service.clone(),
            lane: q.lane.clone(),
            version,
            replica,
            addr,
            role,
            cached: warm,
            assigned_at: now,
            attempt: 0,
        };
        self.tally(&p, 0);
        p
    }
}
