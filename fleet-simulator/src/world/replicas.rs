//! The platform and its replicas: starting, loading, running, and being ordered about.

use std::collections::{BTreeMap, VecDeque};

use coordination::{
    proxy::Assignment, rendezvous::text_digest, request::AttemptError, rollout::Order,
};
use remote_calls::{
    Fault as CallFault, OrderAction, Outcome, PlatformReplica, PlatformReplicaState, RunRequest,
    StreamEnd, StreamLine, StreamStart,
};

use super::{
    Badness, CACHE, Ev, LOAD, OPEN_LIMIT, Rep, SLOTS, SLOW_TIMES, To, Work, World, lost_line,
};
use crate::{
    faults::How,
    history::{Cached, Cold, Ms, Run},
    wrong::{Spoiler, Wrong, piece_line},
};

impl World {
    /// ms. Loading a version, now.
    fn loading(&self) -> Ms {
        if self.load.1 > self.now {
            self.load.0
        } else {
            LOAD
        }
    }

    pub(super) fn start_replica(&mut self, service: &str, zone: &str, version: &str, cold: bool) {
        if self.lost_zones.contains(zone) {
            return;
        }
        let load = self.loading();
        self.next_rep += 1;
        let id = format!("{zone}-{:02}", self.next_rep);
        let state = if cold {
            PlatformReplicaState::Starting
        } else {
            PlatformReplicaState::Running
        };
        let r = PlatformReplica {
            id: id.clone(),
            zone: zone.into(),
            addr: id.clone(),
            service: service.into(),
            version: version.into(),
            state,
            slots: 0,
            cold_ms: 0,
            left_ms: 0,
            loaded: true,
        };
        let born = 1_000_000 + self.now + self.next_rep;
        let rep = Rep {
            r,
            born,
            up: true,
            dark: 0,
            grey: (0, 0),
            says_well: 0,
            says_ill: 0,
            leaving: false,
            loaded: [(version.to_string(), self.now + load)].into(),
            busy: BTreeMap::new(),
            cache: VecDeque::new(),
            epoch: 0,
            work: BTreeMap::new(),
        };
        self.reps.insert(id.clone(), rep);
        if cold {
            self.after(load, Ev::ReplicaReady { id, born });
        }
    }

    pub(super) fn replica_ready(&mut self, id: &str, born: u64) {
        let now = self.now;
        let Some(r) = self.reps.get_mut(id).filter(|r| r.born == born && r.up) else {
            return;
        };
        // One that drains goes on draining, whatever befell it.
        r.r.state = if self.places && r.leaving {
            PlatformReplicaState::Draining
        } else {
            PlatformReplicaState::Running
        };
        let per_s = self.d.engine.as_ref().map(|e| e.cold_rate);
        self.h.cold.push(Cold {
            at: now,
            replica: id.into(),
            version: None,
            places: SLOTS,
            per_s,
        });
    }

    /// A version that was ordered is loaded beside another: its caches are cold.
    pub(super) fn version_loaded(&mut self, id: &str, born: u64, version: String) {
        let now = self.now;
        if self.reps.get(id).is_some_and(|r| {
            r.born == born && r.up && r.loaded.get(&version).is_some_and(|t| *t <= now)
        }) {
            self.h.cold.push(Cold {
                at: now,
                replica: id.into(),
                version: Some(version),
                places: SLOTS,
                per_s: None,
            });
        }
    }

    /// A replica ends; with `back` it comes back cold after so long.
    pub(super) fn replica_down(&mut self, id: &str, back: Option<Ms>) {
        self.say(id, "goes down");
        self.engine_down(id);
        let Some(r) = self.reps.get_mut(id) else {
            return;
        };
        r.up = false;
        r.busy.clear();
        let lost: Vec<(u64, u64, Ms)> = r.work.values().flat_map(|w| w.readers.clone()).collect();
        let records: Vec<usize> = r.work.keys().copied().collect();
        r.work.clear();
        for x in records {
            self.h.runs[x].end_ms = self.now;
        }
        for (flow, life, ms) in lost {
            self.after(
                ms,
                Ev::Line {
                    flow,
                    life,
                    line: lost_line("replica_lost"),
                },
            );
        }
        match back {
            Some(ms) => self.after(ms, Ev::ReplicaBack { id: id.into() }),
            None => {
                self.reps.remove(id);
            }
        }
    }

    pub(super) fn replica_back(&mut self, id: &str) {
        let (now, load) = (self.now, self.loading());
        let Some(r) = self.reps.get_mut(id).filter(|r| !r.up) else {
            return;
        };
        r.up = true;
        r.born = 1_000_000 + now;
        r.cache.clear();
        r.r.state = PlatformReplicaState::Starting;
        r.loaded = [(r.r.version.clone(), now + load)].into();
        let born = r.born;
        self.after(
            load,
            Ev::ReplicaReady {
                id: id.into(),
                born,
            },
        );
    }

    pub(super) fn take_order(&mut self, from: usize, service: &str, epoch: u64, order: Order) {
        let (now, load) = (self.now, self.loading());
        let m = self.machine(To::Control(from));
        if self.places {
            self.h.misplaced += 1;
            return;
        }
        match order {
            Order::Replica {
                id,
                action,
                version,
                addr,
            } => {
                let Some(r) = self.reps.get(&id) else { return };
                let rep = (id.clone(), r.r.zone.clone());
                if !r.up || r.r.addr != addr || r.dark > now || self.cut(&m, &rep) {
                    return;
                }
                let Some(r) = self.reps.get_mut(&id) else {
                    return;
                };
                if epoch < r.epoch {
                    return;
                }
                r.epoch = epoch;
                match action {
                    OrderAction::Load => {
                        if !r.loaded.contains_key(&version) {
                            r.loaded.insert(version.clone(), now + load);
                            let born = r.born;
                            self.after(load, Ev::Loaded { id, born, version });
                        }
                    }
                    OrderAction::Unload if r.busy.get(&version).copied().unwrap_or(0) == 0 => {
                        r.loaded.remove(&version);
                    }
                    OrderAction::Unload => {}
                    OrderAction::Drain => {
                        r.leaving = true;
                        self.h.leaving.push((now, id));
                    }
                }
            }
            _ if epoch < self.platform_epoch
                || self.silent > now
                || self.cut(&m, &("platform".into(), "platform".into())) => {}
            Order::Start { zone, version } => {
                self.platform_epoch = epoch;
                self.start_replica(service, &zone, &version, true);
            }
            Order::Drain { id } => {
                self.platform_epoch = epoch;
                if let Some(r) = self.reps.get_mut(&id) {
                    if !r.leaving {
                        self.h.leaving.push((now, id.clone()));
                    }
                    r.leaving = true;
                    r.r.state = PlatformReplicaState::Draining;
                    self.after(26_000, Ev::ReplicaGone { id });
                }
            }
        }
    }

    pub(super) fn nth(&self, n: usize) -> Option<String> {
        let ids: Vec<&String> = self.reps.keys().collect();
        ids.get(n % ids.len().max(1)).map(|s| s.to_string())
    }

    pub(super) fn call(&mut self, id: u64, life: u64, p: Assignment) {
        let now = self.now;
        let fault = |c: &str| CallFault::new(c, "call_replica", "x");
        let Some(f) = self.flows.get(&id) else { return };
        let edge = (
            self.edges[f.edge].name.clone(),
            self.edges[f.edge].zone.clone(),
        );
        let (q, until) = (f.q.clone(), f.until);
        let not_begun = |w: &mut World, ms: Ms, e: AttemptError| {
            w.after(
                ms,
                Ev::Begun {
                    flow: id,
                    life,
                    got: Err(e),
                },
            )
        };
        let Some(r) = self.reps.get(&p.replica) else {
            return not_begun(self, 2, AttemptError::NotRun(fault("replica_gone")));
        };
        let rep = (p.replica.clone(), r.r.zone.clone());
        if self.cut(&edge, &rep) || self.cut(&rep, &edge) {
            return not_begun(
                self,
                OPEN_LIMIT,
                AttemptError::NotRun(fault("replica_gone")),
            );
        }
        if !r.up || r.r.addr != p.addr {
            return not_begun(self, 2, AttemptError::NotRun(fault("replica_gone")));
        }
        // Bytes were sent and nothing came of them; as often as not the replica has them all the same.
        let lost = self.loses();
        if lost && self.rng.bool() {
            return not_begun(
                self,
                OPEN_LIMIT,
                AttemptError::Unknown(fault("replica_lost")),
            );
        }
        let Some(r) = self.reps.get(&p.replica) else {
            return;
        };
        // A dark replica's machine takes the bytes and says nothing.
        if r.dark > now {
            let lies = r.says_well > now;
            if lies {
                self.h.spoiled.push((now, p.replica.clone()));
            }
            return not_begun(
                self,
                until.saturating_sub(now).max(1),
                AttemptError::Unknown(fault("replica_lost")),
            );
        }
        let crowd = u64::from(r.busy.values().sum::<u32>().saturating_sub(SLOTS));
        let ms = self.latency(&edge.1, &rep.1);
        let Some(r) = self.reps.get_mut(&p.replica) else {
            return;
        };
        if let Some(at) = &q.resume {
            let found = r.work.iter_mut().find(|(x, _)| {
                self.h.runs[**x].run == at.run && self.h.runs[**x].request == q.request
            });
            let Some((x, w)) = found else {
                let joins = matches!(self.wrong, Some((Wrong::Joins, _, until)) if until > now);
                if joins {
                    return self.join(id, life, &q, &p, ms);
                }
                return not_begun(self, ms, AttemptError::Unknown(fault("no_run")));
            };
            w.readers.push((id, life, ms));
            let (x, text, made) = (*x, w.text.clone(), w.made);
            let run = self.h.runs[x].run.clone();
            self.after(
                ms,
                Ev::Begun {
                    flow: id,
                    life,
                    got: Ok(()),
                },
            );
            let start = self.start_line(&q, &run, &p, true);
            self.after(
                ms,
                Ev::Line {
                    flow: id,
                    life,
                    line: start,
                },
            );
            let all: Vec<String> = text.split_inclusive(';').map(str::to_string).collect();
            for n in at.after + 1..=made {
                let line = piece_line(n, &all[n as usize - 1]);
                self.after(
                    ms,
                    Ev::Line {
                        flow: id,
                        life,
                        line,
                    },
                );
            }
            return;
        }
        let no = |c: &str| AttemptError::NotRun(fault(c).outcome(Outcome::NotRun));
        // One that leaves takes what it is sent all the same: keeping work from it is the daemons' part.
        if r.loaded.get(&p.version).is_none_or(|t| *t > now) {
            return not_begun(self, ms, no("not_loaded"));
        }
        if r.busy.values().sum::<u32>() >= SLOTS + SLOTS / 2 {
            return not_begun(self, ms, no("busy"));
        }
        *r.busy.entry(p.version.clone()).or_default() += 1;
        let keys: Vec<String> = q
            .prefixes
            .iter()
            .map(|x| format!("{} {x}", p.version))
            .collect();
        let warm = keys.is_empty() || keys.iter().any(|k| r.cache.contains(k));
        for (k, p) in keys.into_iter().zip(&q.prefixes) {
            if !r.cache.contains(&k) {
                let homes = self.flows.get(&id).map_or(vec![], |f| f.told.homes.clone());
                self.h.cached.push(Cached {
                    zone: r.r.zone.clone(),
                    prefix: p.clone(),
                    homes,
                });
            }
            r.cache.retain(|x| *x != k);
            r.cache.push_back(k);
        }
        while r.cache.len() > CACHE {
            r.cache.pop_front();
        }
        let lane = self.d.spec.services[0]
            .lanes
            .iter()
            .find(|l| l.name == q.lane);
        let expected = lane.map_or(200, |l| l.expected_ms);
        let total = if expected > 1_000 { 12 } else { 4 };
        let each = expected * 3 / 4 * if warm { 1 } else { 2 } * (SLOTS as u64 + crowd)
            / SLOTS as u64
            / total;
        let taken = r.busy.values().sum::<u32>();
        let on = |b: &&Badness| {
            b.version == p.version
                && b.lane.as_ref().is_none_or(|l| *l == q.lane)
                && b.zone.as_ref().is_none_or(|z| *z == rep.1)
                && (b.how != How::FailsBusy || taken * 2 >= SLOTS)
        };
        let bad: Vec<How> = self
            .bad
            .iter()
            .filter(on)
            .filter(|b| self.rng.u32(..100) < b.percent)
            .map(|b| b.how)
            .collect();
        let slow = bad.contains(&How::Slow);
        let each = if slow { each * SLOW_TIMES } else { each };
        let grey = self.spoils(&p.replica);
        let Some(r) = self.reps.get_mut(&p.replica) else {
            return;
        };
        let fail_at = match bad.iter().find(|h| **h != How::Slow) {
            Some(How::FailsLate) => Some(total - 1),
            Some(_) => Some(self.rng.u64(..total)),
            None if grey => Some(self.rng.u64(..total)),
            None => None,
        };
        let record = self.h.runs.len();
        let run = format!("{}-{:x}-{record}", p.replica, r.born);
        let zone = r.r.zone.clone();
        let born = r.born;
        let wrong = self
            .wrong
            .filter(|w| w.2 > now && self.rng.u32(..100) < w.1)
            .map(|w| w.0);
        let readers = if lost { vec![] } else { vec![(id, life, ms)] };
        let w = Work {
            total,
            made: 0,
            each,
            fail_at,
            readers,
            text: String::new(),
            spoiler: Spoiler::new(wrong, total),
        };
        r.work.insert(record, w);
        self.h.runs.push(Run {
            run: run.clone(),
            request: q.request.clone(),
            replica: p.replica.clone(),
            zone,
            lane: q.lane.clone(),
            version: p.version.clone(),
            homes: self.flows.get(&id).map_or(vec![], |f| f.told.homes.clone()),
            done: false,
            failed: false,
            slow,
            digest: String::new(),
            at_ms: now,
            end_ms: Ms::MAX,
        });
        if lost {
            not_begun(
                self,
                OPEN_LIMIT,
                AttemptError::Unknown(fault("replica_lost")),
            );
        } else {
            self.after(
                ms,
                Ev::Begun {
                    flow: id,
                    life,
                    got: Ok(()),
                },
            );
            let start = self.start_line(&q, &run, &p, warm);
            self.after(
                ms,
                Ev::Line {
                    flow: id,
                    life,
                    line: start,
                },
            );
        }
        self.after(
            each,
            Ev::Produce {
                id: p.replica.clone(),
                born,
                run: record,
            },
        );
    }

    pub(super) fn start_line(
        &self,
        q: &RunRequest,
        run: &str,
        p: &Assignment,
        warm: bool,
    ) -> StreamLine {
        let s = StreamStart {
            request: q.request.clone(),
            run: run.into(),
            replica: p.replica.clone(),
            version: p.version.clone(),
            warm,
        };
        StreamLine {
            start: Some(s),
            piece: None,
            end: None,
        }
    }

    pub(super) fn produce(&mut self, id: &str, born: u64, run: usize) {
        let now = self.now;
        let Some(r) = self.reps.get_mut(id).filter(|r| r.up && r.born == born) else {
            return;
        };
        if r.dark > now {
            let ms = r.dark - now;
            return self.after(
                ms,
                Ev::Produce {
                    id: id.into(),
                    born,
                    run,
                },
            );
        }
        let zone = r.r.zone.clone();
        let Some(w) = r.work.get_mut(&run) else {
            return;
        };
        let over = if w.fail_at == Some(w.made) || w.made == w.total {
            true
        } else {
            w.made += 1;
            w.text += &format!("{}:{};", self.h.runs[run].run, w.made);
            false
        };
        let mut w = w.clone();
        let line = if !over {
            let t = format!("{}:{};", self.h.runs[run].run, w.made);
            piece_line(w.made, &t)
        } else {
            let failed = w.fail_at.is_some();
            let rec = &mut self.h.runs[run];
            (rec.done, rec.failed, rec.digest, rec.end_ms) =
                (!failed, failed, text_digest(&w.text), now);
            let version = rec.version.clone();
            if let Some(r) = self.reps.get_mut(id) {
                r.work.remove(&run);
                if let Some(n) = r.busy.get_mut(&version) {
                    *n = n.saturating_sub(1);
                }
            }
            let fault =
                failed.then(|| CallFault::new("replica_failed", "generate", "the version failed"));
            let outcome = if failed {
                Outcome::Unknown
            } else {
                Outcome::Answered
            };
            StreamLine {
                start: None,
                piece: None,
                end: Some(StreamEnd {
                    outcome,
                    pieces: w.made,
                    digest: Some(text_digest(&w.text)),
                    fault,
                }),
            }
        };
        let lines = w.spoiler.lines(w.made, over, line);
        if let Some(x) = self.reps.get_mut(id).and_then(|r| r.work.get_mut(&run)) {
            x.spoiler = w.spoiler.clone();
        }
        for (flow, life, ms) in &w.readers {
            let Some((edge, until)) = self.flows.get(flow).map(|f| (f.edge, f.until)) else {
                continue;
            };
            let e = (self.edges[edge].name.clone(), self.edges[edge].zone.clone());
            // A line that meets a cut is lost with the stream: what follows must not hide the gap.
            if self.cut(&(id.into(), zone.clone()), &e) || self.loses() {
                let left = until.saturating_sub(now).max(1);
                self.after(
                    left,
                    Ev::Line {
                        flow: *flow,
                        life: *life,
                        line: lost_line("replica_lost"),
                    },
                );
                if let Some(w) = self.reps.get_mut(id).and_then(|r| r.work.get_mut(&run)) {
                    w.readers.retain(|x| x.0 != *flow);
                }
                continue;
            }
            if w.spoiler.closes(w.made) {
                self.after(
                    *ms + 1,
                    Ev::Line {
                        flow: *flow,
                        life: *life,
                        line: lost_line("replica_lost"),
                    },
                );
            }
            for l in &lines {
                self.after(
                    *ms,
                    Ev::Line {
                        flow: *flow,
                        life: *life,
                        line: l.clone(),
                    },
                );
            }
        }
        if !over {
            self.after(
                w.each,
                Ev::Produce {
                    id: id.into(),
                    born,
                    run,
                },
            );
        }
    }

    /// A resume of a run that this replica no longer has is answered by another run, numbered on.
    fn join(&mut self, id: u64, life: u64, q: &RunRequest, p: &Assignment, ms: Ms) {
        let after = q.resume.as_ref().map_or(0, |r| r.after);
        self.after(
            ms,
            Ev::Begun {
                flow: id,
                life,
                got: Ok(()),
            },
        );
        let start = self.start_line(q, &format!("{}-joined-{id}", p.replica), p, false);
        let end = StreamEnd {
            outcome: Outcome::Answered,
            pieces: after + 1,
            digest: None,
            fault: None,
        };
        let lines = [
            start,
            piece_line(after + 1, "joined"),
            StreamLine {
                start: None,
                piece: None,
                end: Some(end),
            },
        ];
        for line in lines {
            self.after(
                ms,
                Ev::Line {
                    flow: id,
                    life,
                    line,
                },
            );
        }
    }
}
