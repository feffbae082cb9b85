//! Callers: who comes, where they are sent, and each request's way through a proxy.

use coordination::{
    claims::{self, CLAIM_TIMEOUT},
    proxy::{Admission, OutcomeClass, SLOW_FACTOR},
    rendezvous::text_digest,
    request::{AttemptError, Request, Step, StepResult},
    stream::{CheckedLine, LineChecker},
};
use remote_calls::{
    Fault as CallFault, NominateRequest, Nomination, Outcome, ResumePoint, RunRequest, StreamLine,
};
use wire_messages::ClaimRequest;

use super::{
    ASTRAY, COMES, Ev, Flow, Guard, HELD_BACK, KEYED, LATE, LATE_REPEATS, PATIENCE, REPEATS,
    RESUME_SAME, To, World, lost_line,
};
use crate::history::{Ms, Told};

/// With the guard off a replica's failures are not held against it.
fn spared(off: Option<Guard>, e: OutcomeClass) -> OutcomeClass {
    if off == Some(Guard::Doubt) && matches!(e, OutcomeClass::Failed) {
        OutcomeClass::ClientGone
    } else {
        e
    }
}

impl World {
    pub(super) fn arrive(&mut self) {
        let times = if self.crowd.1 > self.now {
            self.crowd.0
        } else {
            1
        };
        let each = 1_000_000 / (self.d.rate_per_s * u64::from(times));
        let gap = (each as f64 * -(1.0 - self.rng.f64()).ln() / 1_000.0) as Ms;
        self.after(gap.max(1), Ev::Arrive);
        let total: u64 = self.d.mix.iter().map(|m| m.parts).sum();
        let mut x = self.rng.u64(..total);
        let mut i = 0;
        while x >= self.d.mix[i].parts {
            x -= self.d.mix[i].parts;
            i += 1;
        }
        // A swing turns half of the short prompts' callers to long answers.
        if self.swing > self.now && self.rng.bool() {
            i = self.d.mix.len() - 1;
        }
        let m = self.d.mix[i].clone();
        let zone = self.rng.usize(..self.d.edges.len());
        let mut homes = vec![self.d.edges[zone].zone.clone()];
        if self.rng.bool() {
            let z = self.rng.usize(..self.d.edges.len());
            if z != zone {
                homes.push(self.d.edges[z].zone.clone());
            }
        }
        let contact = match self.moved {
            Some((a, b, until)) if a == zone && until > self.now => b,
            _ => zone,
        };
        let near: Vec<usize> = (0..self.edges.len())
            .filter(|e| self.edges[*e].zone == self.d.edges[contact].zone)
            .collect();
        let Some(edge) = self.rng.choice(&near).copied() else {
            return;
        };
        let tier = self.rng.usize(..self.d.spec.tiers.len());
        let prefixes = if m.prefixes > 0 {
            vec![format!(
                "{}-{}",
                self.d.edges[zone].zone,
                self.rng.u64(..m.prefixes)
            )]
        } else {
            vec![]
        };
        self.next_flow += 1;
        let id = self.next_flow;
        let mut q = RunRequest {
            request: String::new(),
            service: self.d.spec.services[0].name.clone(),
            lane: m.lane.clone(),
            tier: self.d.spec.tiers[tier].name.clone(),
            homes: homes.clone(),
            prefixes,
            time_left_ms: m.time_left_ms,
            run_once: self.rng.bool(),
            key: None,
            prompt: format!("prompt {id}"),
            resume: None,
        };
        // Some callers name a run-once request by a key of their own.
        if q.run_once && self.rng.u32(..100) < KEYED {
            q.key = serde_json::from_value(
                serde_json::json!({"value": format!("key-{id}"), "first_used_ms_ago": 0}),
            )
            .ok();
        }
        let key = q
            .key
            .as_ref()
            .map_or(String::new(), |k| k.value.to_string());
        let told = Told {
            key,
            lane: q.lane.clone(),
            tier: q.tier.clone(),
            homes,
            run_once: q.run_once,
            at_ms: self.now,
            ..Told::default()
        };
        let until = self.now + m.time_left_ms;
        self.add_flow(id, q, told, edge, until);
        let z = self.d.edges[zone].zone.clone();
        let ms = self.latency(&z, &self.edges[edge].zone.clone());
        self.after(ms, Ev::Nominate { flow: id });
        self.after(m.time_left_ms + PATIENCE, Ev::TimeUp { flow: id });
    }

    pub(super) fn add_flow(&mut self, id: u64, q: RunRequest, told: Told, edge: usize, until: Ms) {
        let f = Flow {
            q,
            told,
            edge,
            life: 0,
            req: None,
            placed: None,
            lines: None,
            until,
            token: 0,
            text: String::new(),
            streaming: false,
            resumes: 0,
            comes: 0,
        };
        self.flows.insert(id, f);
    }

    pub(super) fn nominate(&mut self, id: u64) {
        let now = self.now;
        let Some(f) = self.flows.get(&id) else { return };
        let local = self.clock(To::Proxy(f.edge));
        let n = NominateRequest {
            service: f.q.service.clone(),
            lane: f.q.lane.clone(),
            tier: f.q.tier.clone(),
            homes: f.q.homes.clone(),
            prefixes: f.q.prefixes.clone(),
            time_left_ms: f.until.saturating_sub(now).min(f.q.time_left_ms),
            run_once: f.q.run_once,
            key: None,
        };
        let r: Result<Nomination, CallFault> = match self.edges[f.edge].proxy.as_mut() {
            Some(p) => p.nominate(&n, local).map_err(|mut x| {
                x.outcome = None;
                x
            }),
            None => Err(CallFault::new("unreachable", "nominate", "no proxy")),
        };
        match r {
            Err(x) => self.reply(id, x),
            Ok(n) => {
                let there = self.edges.iter().position(|e| *e.addr('p') == *n.proxy);
                let Some(edge) = there else {
                    return self.lost(id);
                };
                // Some callers go astray: to an edge that may stand outside their homes.
                let edge = if self.rng.u32(..100) < ASTRAY {
                    self.rng.usize(..self.edges.len())
                } else {
                    edge
                };
                let Some(f) = self.flows.get_mut(&id) else {
                    return;
                };
                (f.q.request, f.told.request) = (n.request.clone(), n.request);
                let (mut q, mut told, until) = (f.q.clone(), f.told.clone(), f.until);
                self.after(8, Ev::Run { flow: id, edge });
                // Some callers send the same request twice, here or elsewhere.
                if q.run_once && self.rng.u32(..100) < REPEATS {
                    self.next_flow += 1;
                    let twin = self.next_flow;
                    let near: Vec<usize> = (0..self.edges.len())
                        .filter(|e| q.homes.contains(&self.edges[*e].zone))
                        .collect();
                    let Some(e2) = self.rng.choice(&near).copied() else {
                        return;
                    };
                    told.repeat = true;
                    let late = self.rng.u32(..100) < LATE_REPEATS;
                    let ms = self.rng.u64(5..if late { LATE } else { 1_500 });
                    // A repeat has its own time left, however late the first one's was over.
                    let until = until.max(now + ms + q.time_left_ms);
                    let mut ev = Ev::Run {
                        flow: twin,
                        edge: e2,
                    };
                    if let Some(k) = &mut q.key {
                        // A repeat under a key asks for a new id, and says how old the key is.
                        k.first_used_ms_ago += now + ms - told.at_ms;
                        told.request.clear();
                        ev = Ev::Nominate { flow: twin };
                    }
                    told.at_ms = now + ms;
                    self.add_flow(twin, q, told, e2, until);
                    self.after(ms, ev);
                    self.after(
                        until.saturating_sub(now) + PATIENCE,
                        Ev::TimeUp { flow: twin },
                    );
                }
            }
        }
    }

    pub(super) fn begin_run(&mut self, id: u64, edge: usize) {
        let round = self.rng.u64(1..);
        let now = self.now;
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        f.edge = edge;
        if self.edges[edge].proxy.is_none() {
            return self.lost(id);
        }
        f.life = self.edges[edge].life;
        if self.off == Some(Guard::Homes) {
            f.q.homes = self.d.spec.zones.iter().map(|z| z.name.clone()).collect();
        }
        // The check sees a home where the proxy stands; what is served stays in the true ones.
        let zone = self.edges[edge].zone.clone();
        if self.off == Some(Guard::Carried) && !f.q.homes.contains(&zone) {
            f.q.homes.push(zone);
        }
        f.q.time_left_ms = f.until.saturating_sub(now);
        f.req = Some(Request::new(f.q.clone(), round));

        (f.streaming, f.lines) = (false, None);
        if f.q.resume.is_none() {
            self.h.asked += 1;
        }
        self.step(id, Step::Check);
    }

    pub(super) fn drive(&mut self, id: u64, got: StepResult) {
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        if f.life != self.edges[f.edge].life {
            return;
        }
        let Some(r) = f.req.as_mut() else { return };
        let s = r.next(got);
        self.step(id, s);
    }

    /// Does what a request's state machine says, as the proxy's shell does.
    pub(super) fn step(&mut self, id: u64, mut step: Step) {
        let now = self.now;
        loop {
            let Some(f) = self.flows.get(&id) else { return };
            let local = self.clock(To::Proxy(f.edge));
            let Some(f) = self.flows.get_mut(&id) else {
                return;
            };
            let (edge, off) = (f.edge, self.off);
            let e = &mut self.edges[edge];
            let Some(p) = e.proxy.as_mut() else { return };
            let Some(r) = f.req.as_mut() else { return };
            let got = match step {
                Step::Check => {
                    let c = p.check_request(&f.q, local);
                    if c.is_ok() {
                        // Carried is what a proxy takes up, not where a caller knocked.
                        f.told.proxy_zone = e.zone.clone();
                        p.count_first_attempt();
                    }
                    StepResult::Checked(c)
                }
                Step::Claim { void }
                    if off == Some(Guard::Claims) || (void && off == Some(Guard::Void)) =>
                {
                    StepResult::Claimed(claims::GRANTED)
                }
                Step::Claim { void } => {
                    let (name, age) = r.claimed_name();
                    let m = ClaimRequest {
                        token: self.seq,
                        request: name.into(),
                        attempt: r.attempt_seed,
                        void: void.into(),
                        key_age_ms: age,
                    };
                    f.token = m.token;
                    self.claims.insert(m.token, id);
                    let token = m.token;
                    self.seq += 1;
                    self.post_agent(edge, m.into());
                    return self.after(2 * CLAIM_TIMEOUT, Ev::ClaimLate { flow: id, token });
                }
                Step::Assign => {
                    if let Some(at) = &f.q.resume {
                        let x = p.assign_resumed(&f.q, &at.replica, local);
                        StepResult::Assigned(
                            x.ok_or_else(|| CallFault::new("replica_gone", "resume", "gone")),
                        )
                    } else {
                        match p.assign_named(&f.q, &r.tried, local) {
                            Admission::Assigned(x) => StepResult::Assigned(Ok(x)),
                            Admission::Rejected(x) => StepResult::Assigned(Err(x)),
                            Admission::NoFreeSlot => {
                                let worst =
                                    p.enqueue(id, r.rank, f.until.saturating_sub(now), local);
                                for w in worst {
                                    self.no_place(w);
                                }
                                return;
                            }
                        }
                    }
                }
                Step::Call(x) if x.is_stale(local) => {
                    p.record_outcome(&x, OutcomeClass::ClientGone, local);
                    StepResult::Started(Err(AttemptError::StaleAssignment))
                }
                Step::Call(x) => {
                    if f.q.resume.is_none() {
                        let first = r.tried.is_empty();
                        self.h.calls += 1;
                        self.h.firsts += u64::from(first);
                        self.h
                            .rounds
                            .push((now, self.edges[edge].name.clone(), first));
                    }
                    f.placed = Some(x.clone());
                    let life = f.life;
                    let a = self.edges[edge].zone.clone();
                    let b = self
                        .reps
                        .get(&x.replica)
                        .map_or(a.clone(), |r| r.r.zone.clone());
                    let ms = self.latency(&a, &b);
                    return self.after(
                        ms,
                        Ev::Call {
                            flow: id,
                            life,
                            p: x,
                        },
                    );
                }
                Step::DrawRetry if off == Some(Guard::Budget) => StepResult::RetryDrawn(Ok(())),
                Step::DrawRetry => {
                    StepResult::RetryDrawn(if p.try_draw_named_retry(r.rank, local) {
                        Ok(())
                    } else {
                        Err(p.reject("full", "second_round", "no budget"))
                    })
                }
                Step::Stream(x) => {
                    let at = f.q.resume.as_ref().filter(|_| off != Some(Guard::SameRun));
                    f.lines = Some(LineChecker::new(&f.q.request, &x.replica, at));
                    f.streaming = true;
                    // The proxy reads on until the time left is over, no longer.
                    let (ms, life) = (f.until.saturating_sub(now), f.life);
                    return self.after(
                        ms,
                        Ev::Line {
                            flow: id,
                            life,
                            line: lost_line("no_time"),
                        },
                    );
                }
                Step::Reply(x) => return self.reply(id, x),
            };
            step = r.next(got);
        }
    }

    pub(super) fn no_place(&mut self, id: u64) {
        let Some(f) = self.flows.get(&id) else { return };
        let Some(p) = self.edges[f.edge].proxy.as_mut() else {
            return;
        };
        let x = p.reject("full", "wait", "no place came free soon enough");
        self.drive(id, StepResult::Assigned(Err(x)));
    }

    pub(super) fn wake(&mut self, i: usize) {
        let now = self.clock(To::Proxy(i));
        let Some(p) = self.edges[i].proxy.as_mut() else {
            return;
        };
        let (tokens, late) = p.poll_queue(now);
        for t in late {
            self.no_place(t);
        }
        for t in tokens {
            let e = &mut self.edges[i];
            let (Some(f), Some(p)) = (self.flows.get(&t), e.proxy.as_mut()) else {
                continue;
            };
            if f.edge != i || f.life != e.life {
                p.dequeue(t);
                continue;
            }
            let Some(r) = &f.req else { continue };
            let got = match p.assign_named(&f.q, &r.tried, now) {
                Admission::NoFreeSlot => continue,
                Admission::Assigned(x) => Ok(x),
                Admission::Rejected(x) => Err(x),
            };
            p.dequeue(t);
            self.drive(t, StepResult::Assigned(got));
        }
    }

    /// A call reaches a replica, or does not.
    pub(super) fn begun(&mut self, id: u64, life: u64, got: Result<(), AttemptError>) {
        let Some(f) = self.flows.get(&id).filter(|f| f.life == life) else {
            return;
        };
        let now = self.clock(To::Proxy(f.edge));
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        if life != self.edges[f.edge].life {
            return;
        }
        if got.is_err()
            && let (Err(e), Some(p)) = (&got, f.placed.take())
        {
            let ended = spared(self.off, e.outcome_class());
            if let Some(b) = self.edges[f.edge].proxy.as_mut() {
                b.record_outcome(&p, ended, now);
            }
        }
        self.drive(id, StepResult::Started(got));
    }

    /// A line of a replica reaches the proxy, which checks it and passes it on.
    pub(super) fn line(&mut self, id: u64, life: u64, l: StreamLine) {
        let now = self.now;
        let Some(f) = self
            .flows
            .get(&id)
            .filter(|f| f.life == life && f.streaming)
        else {
            return;
        };
        let local = self.clock(To::Proxy(f.edge));
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        if life != self.edges[f.edge].life {
            return;
        }
        let Some(lines) = f.lines.as_mut() else {
            return;
        };
        let code = l
            .end
            .as_ref()
            .and_then(|e| e.fault.as_ref())
            .map_or("", |f| f.code.as_str());
        let gone = ["replica_lost", "no_time"].into_iter().find(|c| *c == code);
        let next = if let Some(code) = gone {
            lines.broken(code, "x")
        } else if self.off == Some(Guard::Lines) {
            if l.end.is_some() {
                CheckedLine::End(l)
            } else {
                CheckedLine::Forward(l)
            }
        } else {
            lines.check(l)
        };
        let next = match next {
            CheckedLine::Broken(mut l) if self.off == Some(Guard::Stream) => {
                if let Some(e) = &mut l.end {
                    e.outcome = Outcome::Answered;
                }
                CheckedLine::End(l)
            }
            n => n,
        };
        let (l, ended) = match next {
            CheckedLine::Forward(l) => (l, None),
            CheckedLine::End(l) => (l, Some(OutcomeClass::Succeeded)),
            CheckedLine::Broken(l) if self.off == Some(Guard::Health) => {
                (l, Some(OutcomeClass::Succeeded))
            }
            CheckedLine::Broken(l) => (l, Some(OutcomeClass::Failed)),
        };
        if let Some(s) = l.start {
            if !f.told.runs.contains(&s.run) {
                f.told.runs.push(s.run.clone());
            }
            (f.told.replica, f.told.run, f.told.version, f.told.warm) =
                (s.replica, s.run, s.version, s.warm);
        }
        if let Some(p) = l.piece {
            if f.told.pieces.is_empty() {
                f.told.first_ms = now - f.told.at_ms;
            }
            f.told.pieces.push(p.n);
            f.text += &p.text;
        }
        let Some(mut e) = ended else { return };
        let end = l.end;
        let placed = f.placed.clone();
        let expected = self.d.spec.services[0]
            .lanes
            .iter()
            .find(|l| l.name == f.q.lane)
            .map_or(0, |l| l.expected_ms);
        if let Some(p) = &placed
            && e == OutcomeClass::Succeeded
            && local.saturating_sub(p.assigned_at) > expected * SLOW_FACTOR
        {
            e = OutcomeClass::Slow;
        }
        let edge = f.edge;
        if let (Some(p), Some(b)) = (placed, self.edges[edge].proxy.as_mut()) {
            b.record_outcome(&p, spared(self.off, e), local);
        }
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        f.told.digest = text_digest(&f.text);
        let answered = end.as_ref().is_some_and(|e| e.outcome == Outcome::Answered);
        // Of an answer that was resumed only its caller has all pieces, and compares them itself.
        let other = end
            .as_ref()
            .and_then(|e| e.digest.as_ref())
            .is_some_and(|d| *d != f.told.digest);
        let own = answered && (!other || self.off == Some(Guard::Lines));
        f.told.outcome = if own { "answered" } else { "unknown" }.into();
        f.told.code = end.and_then(|e| e.fault).map_or(String::new(), |f| f.code);
        self.finish(id);
        self.wake(edge);
    }

    pub(super) fn reply(&mut self, id: u64, x: CallFault) {
        let now = self.now;
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        if self.off == Some(Guard::AtOnce)
            && x.retry_after_ms.is_some()
            && f.until > now + HELD_BACK
        {
            let ms = f.until - now - HELD_BACK;
            return self.after(ms, Ev::Reply { flow: id, fault: x });
        }
        f.told.outcome = match x.outcome {
            Some(Outcome::Answered) => "answered",
            Some(Outcome::NotRun) => "not_run",
            Some(Outcome::Unknown) => "unknown",
            None => "rejected",
        }
        .into();
        (f.told.code, f.told.retry_after_ms) = (x.code, x.retry_after_ms);
        let rejected = f.told.outcome == "rejected" || f.told.outcome == "not_run";
        let back = x
            .retry_after_ms
            .filter(|_| rejected && now < self.back && f.comes < COMES && !f.told.repeat);
        let (q, told, edge, comes) = (f.q.clone(), f.told.clone(), f.edge, f.comes + 1);
        self.finish(id);
        if let Some(ms) = back {
            self.come_back(q, told, edge, comes, ms);
        }
    }

    /// A caller that was told when to come back does, with a new request.
    fn come_back(&mut self, q: RunRequest, old: Told, edge: usize, comes: u32, ms: Ms) {
        self.next_flow += 1;
        let (id, at) = (self.next_flow, self.now + ms);
        let left = self
            .d
            .mix
            .iter()
            .find(|m| m.lane == q.lane)
            .map_or(0, |m| m.time_left_ms);
        let q = RunRequest {
            request: String::new(),
            time_left_ms: left,
            key: None,
            resume: None,
            ..q
        };
        let Told {
            lane,
            tier,
            homes,
            run_once,
            ..
        } = old;
        let told = Told {
            lane,
            tier,
            homes,
            run_once,
            at_ms: at,
            ..Told::default()
        };
        self.add_flow(id, q, told, edge, at + left);
        if let Some(f) = self.flows.get_mut(&id) {
            f.comes = comes;
        }
        self.after(ms, Ev::Nominate { flow: id });
        self.after(ms + left + PATIENCE, Ev::TimeUp { flow: id });
    }

    /// The caller hears nothing more of its request.
    pub(super) fn lost(&mut self, id: u64) {
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        // The shell notices that the caller has left and gives its place back.
        let (edge, placed, life) = (f.edge, f.placed.take(), f.life);
        let local = self.clock(To::Proxy(edge));
        let e = &mut self.edges[edge];
        if let (Some(p), Some(b), true) = (placed, e.proxy.as_mut(), life == e.life) {
            b.record_outcome(&p, OutcomeClass::ClientGone, local);
        }
        let Some(f) = self.flows.get_mut(&id) else {
            return;
        };
        let nominated = !f.told.request.is_empty();
        f.told.outcome = if nominated { "unknown" } else { "rejected" }.into();
        f.told.code = "unreachable".into();
        self.finish(id);
    }

    pub(super) fn finish(&mut self, id: u64) {
        let Some(mut f) = self.flows.remove(&id) else {
            return;
        };
        f.told.ms = self.now.saturating_sub(f.told.at_ms);
        f.told.in_time = f.told.outcome == "answered" && self.now <= f.until;
        self.h.told.push(f.told);
    }

    /// A proxy has died: its callers lose their connections. Some go on from their last piece elsewhere.
    pub(super) fn proxy_died(&mut self, i: usize) {
        let all: Vec<u64> = self
            .flows
            .iter()
            .filter(|(_, f)| f.edge == i && f.req.is_some())
            .map(|(k, _)| *k)
            .collect();
        for id in all {
            let near: Vec<usize> = match self.flows.get(&id) {
                // One that has just died may be back by the time the caller asks it again.
                Some(f) => (0..self.edges.len())
                    .filter(|e| f.q.homes.contains(&self.edges[*e].zone))
                    .collect(),
                None => continue,
            };
            let to = self.rng.choice(&near).copied();
            let Some(f) = self.flows.get_mut(&id) else {
                continue;
            };
            match to {
                Some(e) if f.streaming && f.resumes < 2 && !f.told.run.is_empty() => {
                    f.resumes += 1;
                    let (run, replica) = (f.told.run.clone(), f.told.replica.clone());
                    f.q.resume = Some(ResumePoint {
                        run,
                        replica,
                        after: f.told.pieces.len() as u64,
                    });
                    (f.req, f.streaming, f.edge, f.life) = (None, false, e, 0);
                    let ms = if e == i { RESUME_SAME } else { 30 };
                    self.after(ms, Ev::Run { flow: id, edge: e });
                }
                _ => self.lost(id),
            }
        }
    }
}
