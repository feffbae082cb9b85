//! What each fault does to the fleet.

use std::collections::BTreeSet;

use coordination::control::KILL_SWITCH_KEY;

use super::{Badness, Cut, Ev, Guard, LOOK_AGAIN, Net, To, What, World};
use crate::{
    faults::Fault,
    history::{Bad, Loss, Ms},
};

/// With the guard off clocks differ by so many times as much as leases allow for. A holder that is cut off notices within 1.1 s
/// by its own clock that it hears nobody, so that only a far slower clock keeps it past its lease.
const UNSAFE_CLOCK_FACTOR: i64 = 32;

impl World {
    pub(super) fn kill_control(&mut self, at: usize) {
        let addr = self.ctl[at].p.addr.clone();
        self.addrs.remove(&addr);
        self.down(at);
    }
    pub(super) fn wipe(&mut self, at: usize) {
        self.kill_control(at);
        self.ctl[at].p.bootstrap = false;
        let id = self.rng.u64(1..1 << 60);
        let d = &mut self.ctl[at].disk;
        // With the guard off a lost disk passes for a voter that has caught up.
        let keep = |k: &String| self.off == Some(Guard::BlankDisk) && k == "\0members";
        d.rows.retain(|k, _| keep(k));
        d.id = if self.off == Some(Guard::BlankDisk) {
            d.id
        } else {
            id
        };
    }
    pub(super) fn kill_agent(&mut self, at: usize) {
        self.edges[at].agent = None;
        let addr = self.edges[at].addr('a');
        self.addrs.remove(&addr);
    }
    pub(super) fn kill_proxy(&mut self, at: usize) {
        self.edges[at].proxy = None;
        self.edges[at].life += 1;
        let addr = self.edges[at].addr('x');
        self.addrs.remove(&addr);
        self.proxy_died(at);
        self.engine_edge_down(at);
    }

    fn lose_control(&mut self, down: Ms) {
        for i in 0..self.ctl.len() {
            self.kill_control(i);
            if self.off != Some(Guard::Restart) || i == 0 {
                self.after(down, Ev::Start(To::Control(i)));
            }
        }
    }
    fn lose_edges(&mut self, down: Ms) {
        (0..self.edges.len()).for_each(|i| self.kill_edge(i, Some(down)));
    }
    fn kill_edge(&mut self, at: usize, down: Option<Ms>) {
        self.kill_agent(at);
        self.kill_proxy(at);
        if let Some(ms) = down {
            self.after(ms, Ev::Start(To::Agent(at)));
            self.after(ms, Ev::Start(To::Proxy(at)));
        }
    }

    /// All that a region has goes at once, what the platform lists of it too.
    fn lose_region(&mut self, zone: usize, ms: Option<Ms>) {
        let zone = self.d.spec.zones[zone % self.d.spec.zones.len()]
            .name
            .clone();
        self.lost_zones.insert(zone.clone());
        for i in (0..self.ctl.len())
            .filter(|i| self.ctl[*i].zone == zone)
            .collect::<Vec<_>>()
        {
            self.kill_control(i);
            ms.into_iter()
                .for_each(|ms| self.after(ms, Ev::Start(To::Control(i))));
        }
        for i in (0..self.edges.len())
            .filter(|i| self.edges[*i].zone == zone)
            .collect::<Vec<_>>()
        {
            self.kill_edge(i, ms);
        }
        let ids: Vec<String> = self
            .reps
            .values()
            .filter(|r| r.r.zone == zone)
            .map(|r| r.r.id.clone())
            .collect();
        ids.iter().for_each(|id| self.replica_down(id, None));
        ms.into_iter()
            .for_each(|ms| self.after(ms, Ev::RegionBack { zone: zone.clone() }));
    }
    fn restart_region(&mut self, zone: usize, down: Ms) {
        let zones = &self.d.spec.zones;
        let region: BTreeSet<String> = self
            .d
            .beside(&zones[zone % zones.len()].name)
            .into_iter()
            .collect();
        for at in 0..self.ctl.len() {
            if region.contains(&self.ctl[at].zone) {
                self.kill_control(at);
                self.after(down, Ev::Start(To::Control(at)));
            }
        }
        for at in 0..self.edges.len() {
            if region.contains(&self.edges[at].zone) {
                self.kill_edge(at, Some(down));
            }
        }
        let replicas: Vec<String> = self
            .reps
            .values()
            .filter(|replica| region.contains(&replica.r.zone))
            .map(|replica| replica.r.id.clone())
            .collect();
        for id in replicas {
            self.replica_down(&id, Some(down));
        }
    }
    pub(super) fn region_back(&mut self, zone: &str) {
        self.lost_zones.remove(zone);
    }

    fn set_clock(&mut self, name: String, thousandths: i64) {
        let (now, k) = (
            self.now,
            if self.off == Some(Guard::Clocks) {
                UNSAFE_CLOCK_FACTOR * thousandths
            } else {
                thousandths
            },
        );
        let (since, off, old) = self.clocks.get(&name).copied().unwrap_or((now, 0, 0));
        self.clocks
            .insert(name, (now, off + (now - since) as i64 * old / 1_000, k));
    }

    pub(super) fn fault(&mut self, f: Fault) {
        let now = self.now;
        if !matches!(f, Fault::When { .. }) {
            self.say("fault", &format!("{f:?}"));
        }
        if let Some(ms) = f.disturbs().filter(|_| !matches!(f, Fault::When { .. })) {
            self.h.disturbed.push((now, now.saturating_add(ms)));
        }
        match f {
            Fault::KillControl { at, down } => {
                self.kill_control(at);
                self.after(down, Ev::Start(To::Control(at)));
            }
            Fault::WipeControl { at, down } => {
                self.wipe(at);
                self.after(down, Ev::Start(To::Control(at)));
            }
            Fault::ReplaceControl { at, down } => {
                self.wipe(at);
                let c = &mut self.ctl[at].p;
                c.addr = format!("{}x", c.addr).into();
                self.after(down, Ev::Start(To::Control(at)));
            }
            Fault::WipeAfterAccept { at, down } => {
                self.ctl[at].wipe = Some(down);
                self.put_spec(at);
            }
            Fault::KillAgent { at, down } => {
                self.kill_agent(at);
                self.after(down, Ev::Start(To::Agent(at)));
            }
            Fault::KillProxy { at, down } => {
                self.kill_proxy(at);
                self.after(down, Ev::Start(To::Proxy(at)));
            }
            Fault::KillEdge { at, down } => self.kill_edge(at, Some(down)),
            Fault::FreezeControl { at, ms } => self.ctl[at].frozen = now + ms,
            Fault::FreezeEdge { at, ms } => {
                self.edges[at].frozen = now + ms;
                self.h.stalls.push((now, now + ms));
            }
            Fault::Cut { a, b, ms, one_way } => {
                let (es, cs) = (
                    self.edges.iter().all(|e| a.contains(&e.name)),
                    self.ctl.iter().all(|c| b.contains(&c.p.name.0)),
                );
                if es && cs {
                    self.h.apart.push((now, now + ms));
                }
                self.cuts.push(Cut {
                    a,
                    b,
                    until: now + ms,
                    one_way,
                });
            }
            Fault::DiskSlow { at, sync, ms } => self.ctl[at].disk.slow = (sync, now + ms),
            Fault::DiskFull { at, ms } => self.ctl[at].disk.full_until = now + ms,
            Fault::ReplicaCrash { nth, down } => {
                if let Some(id) = self.nth(nth) {
                    self.replica_down(&id, Some(down));
                }
            }
            Fault::ReplicaDark { nth, ms } => {
                if let Some(r) = self.nth(nth).and_then(|id| self.reps.get_mut(&id)) {
                    r.dark = now + ms;
                }
            }
            Fault::ReplicaGrey { nth, percent, ms } => self.grey(nth, percent, ms),
            Fault::HealthLies { nth, well, ms } => self.lie(nth, well, ms),
            Fault::ReplicaFlaps { nth, down, up, ms } => {
                if let Some(id) = self.nth(nth) {
                    self.flap(&id, down, up, now + ms);
                }
            }
            Fault::LongSpec { lanes, links } => self.long_spec(lanes, links),
            Fault::Warn { nth, leaves_in } => {
                let Some(id) = self.nth(nth) else { return };
                if self.off == Some(Guard::Leaving) {
                    self.h.leaving.push((now, id.clone()));
                    return self.after(leaves_in, Ev::ReplicaGone { id });
                }
                self.warn(&id);
                self.after(leaves_in, Ev::ReplicaGone { id });
            }
            Fault::TotalLoss { down } => {
                self.lose_control(down);
                self.lose_edges(down);
                self.h.losses.push(Loss {
                    from: now,
                    up: now + down,
                });
            }
            Fault::LoseControl { down } => {
                self.lose_control(down);
                self.h.losses.push(Loss {
                    from: now,
                    up: now + down,
                });
            }
            Fault::LoseEdges { down } => {
                self.lose_edges(down);
                self.h.losses.push(Loss {
                    from: now,
                    up: now + down,
                });
            }
            Fault::LoseRegion { zone, ms } => self.lose_region(zone, ms),
            Fault::RestartRegion { zone, down } => self.restart_region(zone, down),
            Fault::ReplaceEdge { at, down } => {
                self.kill_edge(at, None);
                let n = self.next_edge;
                self.next_edge += 1;
                (self.edges[at].name, self.edges[at].place) = (format!("edge-{n}"), n.to_string());
                self.after(down, Ev::Start(To::Agent(at)));
                self.after(down, Ev::Start(To::Proxy(at)));
            }
            Fault::Network {
                extra,
                lost,
                twice,
                ms,
            } => {
                self.net = Net {
                    extra,
                    lost,
                    twice,
                    until: now + ms,
                }
            }
            Fault::Clock { name, thousandths } => self.set_clock(name, thousandths),
            Fault::CutHolder { ms, thousandths } => {
                let names: Vec<String> = self.ctl.iter().map(|c| c.p.name.to_string()).collect();
                let Some(holder) = self.holders().pop() else {
                    return;
                };
                for n in names.iter().cloned() {
                    let slow = n == holder;
                    self.set_clock(n, if slow { -thousandths } else { thousandths });
                }
                let others = names.into_iter().filter(|n| *n != holder).collect();
                self.cuts.push(Cut {
                    a: vec![holder],
                    b: others,
                    until: now + ms,
                    one_way: false,
                });
            }
            Fault::Misbehave { wrong, percent, ms } => {
                self.wrong = Some((wrong, percent, now + ms))
            }
            Fault::ReplicaLeaves { nth, gone_in } => {
                let Some(id) = self.nth(nth) else { return };
                if let Some(r) = self.reps.get_mut(&id) {
                    r.leaving = true;
                }
                self.h.leaving.push((now, id.clone()));
                self.after(gone_in, Ev::ReplicaGone { id });
            }
            Fault::ReplicaMoves { nth, down } => {
                let Some(id) = self.nth(nth) else { return };
                self.replica_down(&id, Some(down));
                if let Some(r) = self.reps.get_mut(&id) {
                    r.r.addr = format!("{id}@{now}");
                }
            }
            Fault::PlatformSilent { ms } => self.silent = now + ms,
            Fault::PlatformStale { ms } => self.stale = (now + ms, self.listed()),
            Fault::Orders { lost, late, ms } => self.orders = (lost, late, now + ms),
            Fault::LoadSlow { load, ms } => self.load = (load, now + ms),
            Fault::Shrink { zone, by } => {
                let n = zone % self.spec.services[0].zones.len();
                let z = &mut self.spec.services[0].zones[n];
                z.replicas = z.replicas.saturating_sub(by).max(z.floor);
                if let Some(i) = self.any() {
                    self.put_spec(i);
                }
            }
            Fault::RacePlans { targets } => {
                let all: Vec<usize> = (0..self.ctl.len()).collect();
                targets
                    .into_iter()
                    .zip(all.into_iter().cycle().skip(1))
                    .for_each(|(t, i)| self.plan(i, t));
            }
            Fault::RaceZone { zone } => {
                self.zone(zone, true);
                self.zone(zone, false);
            }
            Fault::When { phase, wait, then } => {
                if self.rollout().is_some_and(|r| r.phase == phase) {
                    self.after(wait, Ev::Fault(*then));
                } else {
                    self.after(LOOK_AGAIN, Ev::Fault(Fault::When { phase, wait, then }));
                }
            }
            Fault::KillSwitch { on } => {
                let Some(i) = self.any() else { return };
                self.write(
                    i,
                    KILL_SWITCH_KEY,
                    None,
                    serde_json::to_vec(&on).unwrap_or_default(),
                    What::Other,
                );
            }
            Fault::Evacuate { zone } => self.zone(zone, true),
            Fault::Restore { zone } => self.zone(zone, false),
            Fault::PutSpec => {
                if let Some(i) = self.any() {
                    self.put_spec(i);
                }
            }
            Fault::RaceSpecs => {
                (0..self.ctl.len()).for_each(|i| self.put_spec(i));
            }
            Fault::Places => {}
            Fault::Release { nth, version } => self.release(nth, &version),
            Fault::Plan { target } => {
                if let Some(i) = self.any() {
                    self.plan(i, target);
                }
            }
            Fault::Bad {
                version,
                lane,
                zone,
                percent,
                how,
            } => {
                self.h.bad.push(Bad {
                    at: now,
                    version: version.clone(),
                    lane: lane.clone(),
                    zone: zone.clone(),
                });
                self.bad.push(Badness {
                    version,
                    lane,
                    zone,
                    percent,
                    how,
                });
            }
            Fault::Crowd { times, ms } => {
                self.crowd = (times, now + ms);
                self.h.crowds.push((now, now + ms));
            }
            Fault::ComeBack { ms } => self.back = now + ms,
            Fault::Swing { ms } => self.swing = now + ms,
            Fault::Move { from, to, ms } => self.moved = Some((from, to, now + ms)),
        }
    }
}
