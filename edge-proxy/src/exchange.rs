//! One exchange: a client's request and the attempts at replicas that are made for it, up to the head of the response that
//! goes to the client.
//!
//! What may run only once is sent once: no attempt follows one of which a byte may have left, except by the replica's own
//! word that it did not run. A rejection promises that nothing ran, so it is given only while that is certain.

use std::{future::pending, rc::Rc, sync::Arc, time::Duration};

use coordination::{
    Ms, events,
    exchange::{AttemptOutcome, RequestHead, ResponseSignals},
    proxy::Admission,
};
use daemon_parts::{
    clock,
    limits::{MAX_UNREACHED_REPLICAS, RUN_ONCE_MAX_IDLE},
    logging::event,
    request_memory::RequestMemory,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use remote_calls::{Fault, Outcome, PathKind, PathSpec};
use tokio::time::timeout;

use crate::{
    attempt::Attempt,
    pool::{ConnectError, Connection, ConnectionPool, SendError},
    protocol_adapter::ProtocolAdapter,
    rejection::{Rejection, body_rejection, body_timed_out, retry_after, unknown_outcome},
    request_body::{RequestBody, Upload, UploadState},
    shared::{SharedProxy, lock},
};

const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// A replica's response whose head has come.
pub struct StartedResponse {
    pub attempt: Attempt,
    pub connection: Connection,
    pub head: http::response::Parts,
    pub body: Incoming,
}

/// A replica's word that it did not run the request: its status, and when to come back.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    status: StatusCode,
    retry_after: Option<Ms>,
}

/// What the attempts so far mean for the next one.
#[derive(Default)]
struct AttemptHistory {
    /// Replicas that were tried.
    tried: Vec<String>,
    /// Attempts that a byte of may have left, to replicas that were the ones meant.
    sent: u32,
    /// A byte of any attempt may have left: the next is drawn on the retry budget.
    any_sent: bool,
    /// The next attempt has been drawn on the retry budget.
    is_retry_drawn: bool,
    unreached: u32,
    may_have_run: bool,
    last_refusal: Option<Refusal>,
}

impl AttemptHistory {
    /// A byte of an attempt may have left.
    fn on_sent(&mut self) {
        self.sent += 1;
        self.any_sent = true;
        self.is_retry_drawn = false;
    }
}

/// A client's request and its attempts.
pub struct Exchange {
    pub proxy: SharedProxy,
    pub adapter: Arc<dyn ProtocolAdapter>,
    pub pool: Rc<ConnectionPool>,
    pub lane: Arc<PathSpec>,
    pub deadline: Ms,
    head: RequestHead,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    /// None: it was sent and is not buffered.
    body: Option<RequestBody>,
    /// Its body, if it is sent while it comes.
    upload: Option<Upload>,
    memory: RequestMemory,
    history: AttemptHistory,
    service: String,
}

/// What a client sent.
pub struct ClientRequest {
    pub lane: Arc<PathSpec>,
    pub deadline: Ms,
    pub head: RequestHead,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    /// The budget that its body is drawn from.
    pub memory: RequestMemory,
}

/// What comes after an attempt.
enum AttemptEnd {
    Started(Box<StartedResponse>),
    /// Another replica may be tried.
    Retry,
    Rejected(Rejection),
}

impl Exchange {
    /// An exchange of which nothing was sent yet.
    pub fn new(
        proxy: SharedProxy,
        adapter: Arc<dyn ProtocolAdapter>,
        request: ClientRequest,
    ) -> Self {
        Exchange {
            proxy,
            adapter,
            pool: ConnectionPool::of_this_thread(),
            lane: request.lane,
            deadline: request.deadline,
            head: request.head,
            method: request.method,
            uri: request.uri,
            headers: request.headers,
            upload: request.body.upload(),
            body: Some(request.body),
            memory: request.memory,
            history: AttemptHistory::default(),
            service: String::new(),
        }
    }

    /// Whether the request may run more than once.
    fn is_idempotent(&self) -> bool {
        matches!(
            self.lane.kind,
            PathKind::Repeatable | PathKind::StreamResumable
        )
    }

    /// Sends the request to replicas until the response of one starts.
    ///
    /// # Errors
    /// The proxy's own response, if no replica's starts.
    pub async fn start(&mut self) -> Result<StartedResponse, Rejection> {
        loop {
            if self.history.any_sent && !self.history.is_retry_drawn {
                self.draw_retry()?;
            }
            match self.attempt().await {
                AttemptEnd::Started(response) => return Ok(*response),
                AttemptEnd::Retry => {}
                AttemptEnd::Rejected(rejection) => return Err(rejection),
            }
        }
    }

    /// No attempt will follow the one that responds: its body need not be buffered any more.
    pub fn drop_body(&mut self) {
        self.body = None;
    }

    /// Sends a stream that was cut off to another replica, to be resumed behind the last event that was forwarded.
    ///
    /// # Errors
    /// The proxy's own response, if no replica's starts.
    pub async fn resume(
        &mut self,
        failed_replica: &str,
        last_event_id: Option<&str>,
    ) -> Result<StartedResponse, Rejection> {
        self.history.may_have_run = true;
        self.history.tried.push(failed_replica.into());
        if let Some(value) = last_event_id.and_then(|id| HeaderValue::from_str(id).ok()) {
            self.headers.insert(LAST_EVENT_ID, value);
            self.head.last_event_id = last_event_id.map(str::to_string);
        }
        self.start().await
    }

    /// A retry needs the lane's permission, a body to send and a draw on the budget that all edges share.
    fn draw_retry(&mut self) -> Result<(), Rejection> {
        if self.history.sent >= self.lane.rounds || self.body.is_none() {
            return Err(self.give_up("no further round is allowed"));
        }
        let attempt_id = &self.head.attempt_id;
        if !lock(&self.proxy).try_draw_retry(&self.service, clock::now()) {
            event(events::RETRY_BUDGET_EXHAUSTED, "caller", attempt_id);
            return Err(self.give_up("the budget for further rounds is spent"));
        }
        event(events::RETRIED, "caller", attempt_id);
        self.history.is_retry_drawn = true;
        Ok(())
    }

    // ---- one attempt ----

    async fn attempt(&mut self) -> AttemptEnd {
        let mut attempt = match self.assign() {
            Ok(attempt) => attempt,
            Err(rejection) => return AttemptEnd::Rejected(rejection),
        };
        let mut idle = self.take_idle(&attempt);
        loop {
            let mut connection = match self.reuse_or_connect(&attempt, idle.take()).await {
                Ok(connection) => connection,
                Err(error) => return self.on_unreached(attempt, error),
            };
            let now = clock::now();
            // The process was suspended since: what the assignment was based on may have lapsed.
            if attempt.assignment.is_stale(now) {
                self.pool.put_back(connection, now);
                attempt.end(AttemptOutcome::ClientGone);
                return AttemptEnd::Retry;
            }
            let time_left = self.deadline.saturating_sub(now);
            let Some(request) = self.replica_request(&attempt, time_left) else {
                return AttemptEnd::Rejected(self.give_up("its body is gone"));
            };
            let is_new = !connection.was_used;
            let upload = self.upload.clone();
            let sent = tokio::select! {
                biased;
                () = shed(upload.as_ref()) => {
                    self.history.on_sent();
                    return self.on_lost(attempt, "its body was shed");
                }
                sent = timeout(Duration::from_millis(time_left), connection.send(request)) => sent,
            };
            if let Ok(Err(SendError::NotSent(unsent))) = sent {
                // The connection had closed unnoticed: the same replica by another one, as if nothing had been.
                self.body = Some(unsent.into_body());
                if is_new {
                    let error = ConnectError::Failed("the channel ended at once".into());
                    return self.on_unreached(attempt, error);
                }
                continue;
            }
            self.history.on_sent();
            return match sent {
                Ok(Ok(response)) => self.on_response(attempt, connection, response),
                Ok(Err(SendError::MaybeSent(reason))) => self.on_lost(attempt, &reason),
                _ => self.on_timeout(attempt),
            };
        }
    }

    fn assign(&mut self) -> Result<Attempt, Rejection> {
        let admission = lock(&self.proxy).assign_by_path(
            &self.lane,
            &self.head,
            &self.history.tried,
            self.deadline,
            clock::now(),
        );
        match admission {
            Admission::Assigned(assignment) => {
                self.service.clone_from(&assignment.service);
                if let Some(attempt) = &assignment.slow_start {
                    event(
                        events::SLOW_START_ATTEMPT,
                        &assignment.replica,
                        &attempt.to_string(),
                    );
                }
                Ok(Attempt::new(self.proxy.clone(), assignment))
            }
            Admission::Rejected(fault) => Err(self.reject(fault)),
            Admission::NoFreeSlot => Err(self.give_up("every place is taken")),
        }
    }

    /// A connection that was idle for long may have been closed unnoticed: a response to what runs once would be lost.
    fn take_idle(&self, attempt: &Attempt) -> Option<Connection> {
        let idle_max = if self.is_idempotent() {
            Ms::MAX
        } else {
            RUN_ONCE_MAX_IDLE
        };
        self.pool
            .take_idle(&attempt.assignment.addr, idle_max, clock::now())
    }

    async fn reuse_or_connect(
        &self,
        attempt: &Attempt,
        idle: Option<Connection>,
    ) -> Result<Connection, ConnectError> {
        match idle {
            Some(connection) => Ok(connection),
            None => self.connect(attempt).await,
        }
    }

    async fn connect(&self, attempt: &Attempt) -> Result<Connection, ConnectError> {
        let assignment = &attempt.assignment;
        let (connections_max, round_trip_ms) = {
            let proxy = lock(&self.proxy);
            (
                proxy.max_connections(&assignment.service),
                proxy.round_trip_ms(assignment),
            )
        };
        let time_left = self.deadline.saturating_sub(clock::now());
        let (connection, took) = self
            .pool
            .connect(&assignment.addr, connections_max, round_trip_ms, time_left)
            .await?;
        lock(&self.proxy).on_connected(assignment, took, clock::now());
        Ok(connection)
    }

    /// The request as the replica gets it; `None` if its body was sent and is not buffered.
    fn replica_request(
        &mut self,
        attempt: &Attempt,
        time_left: Ms,
    ) -> Option<Request<RequestBody>> {
        let body = self.body.take()?;
        self.body = body.clone_buffered();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        self.adapter.set_replica_headers(
            request.headers_mut(),
            &self.lane,
            &attempt.assignment,
            time_left,
        );
        Some(request)
    }

    // ---- how an attempt ends ----

    /// Nothing was sent: another replica may have it, and no retry is drawn.
    fn on_unreached(&mut self, mut attempt: Attempt, error: ConnectError) -> AttemptEnd {
        let (outcome, reason) = match error {
            // That is this proxy's own limit: the replica is none the worse for it.
            ConnectError::LimitReached => (AttemptOutcome::AtCapacity, None),
            ConnectError::Failed(reason) => (AttemptOutcome::ConnectRefused, Some(reason)),
            ConnectError::TimedOut(reason) => (AttemptOutcome::ConnectTimedOut, Some(reason)),
        };
        if let Some(reason) = reason {
            event(events::ATTEMPT_FAILED, &attempt.assignment.replica, &reason);
        }
        attempt.end(outcome);
        self.history.tried.push(attempt.assignment.replica.clone());
        self.retry_unreached()
    }

    /// The replica that was meant was not there.
    fn retry_unreached(&mut self) -> AttemptEnd {
        self.history.unreached += 1;
        if self.history.unreached > MAX_UNREACHED_REPLICAS {
            return AttemptEnd::Rejected(self.give_up("no replica can be reached"));
        }
        AttemptEnd::Retry
    }

    /// It may have run.
    fn on_lost(&mut self, mut attempt: Attempt, reason: &str) -> AttemptEnd {
        let upload_state = self.upload.as_ref().map(Upload::state);
        if let Some(UploadState::Broken(error)) = upload_state {
            // The client's doing: the replica is none the worse for it.
            attempt.end(AttemptOutcome::ClientGone);
            return AttemptEnd::Rejected(body_rejection(error));
        }
        event(events::ATTEMPT_FAILED, &attempt.assignment.replica, reason);
        attempt.end(AttemptOutcome::Failed);
        self.history.tried.push(attempt.assignment.replica.clone());
        self.history.may_have_run = true;
        if self.is_idempotent() {
            return AttemptEnd::Retry;
        }
        AttemptEnd::Rejected(self.give_up(reason))
    }

    fn on_timeout(&self, mut attempt: Attempt) -> AttemptEnd {
        let upload_state = self.upload.as_ref().map(Upload::state);
        if upload_state == Some(UploadState::Incoming) {
            // The replica waited for the client, and got no whole request.
            attempt.end(AttemptOutcome::ClientGone);
            return AttemptEnd::Rejected(body_timed_out());
        }
        attempt.end(AttemptOutcome::ResponseTimedOut);
        let fault = Fault::new("no_time", "await_answer", "its time ran out")
            .peer(attempt.assignment.replica.clone())
            .outcome(Outcome::Unknown);
        AttemptEnd::Rejected((StatusCode::GATEWAY_TIMEOUT, fault))
    }

    fn on_response(
        &mut self,
        attempt: Attempt,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> AttemptEnd {
        let (head, body) = response.into_parts();
        let signals = self
            .adapter
            .response_signals(head.status.as_u16(), &head.headers);
        if !self.is_own_response(&signals) {
            return self.on_lost(attempt, "the answer belongs to another request");
        }
        lock(&self.proxy).on_response_head(&attempt.assignment, &signals, clock::now());
        connection.read_keep_alive(&head.headers);
        self.upload = None;
        let response = StartedResponse {
            attempt,
            connection,
            head,
            body,
        };
        if signals.not_run {
            self.on_not_run(response, signals.is_other_replica)
        } else {
            AttemptEnd::Started(Box::new(response))
        }
    }

    /// The replica says that it did not run the request.
    fn on_not_run(&mut self, response: StartedResponse, is_other_replica: bool) -> AttemptEnd {
        let StartedResponse {
            mut attempt,
            connection,
            head,
            body,
        } = response;
        let replica = attempt.assignment.replica.clone();
        event(events::ATTEMPT_FAILED, &replica, "it did not run it");
        attempt.end(if is_other_replica {
            AttemptOutcome::WrongReplica
        } else {
            AttemptOutcome::AtCapacity
        });
        self.history.tried.push(replica);
        self.history.last_refusal = Some(Refusal {
            status: head.status,
            retry_after: retry_after(&head.headers),
        });
        // Another replica is at the end of such a connection: nothing more goes there, and the one that was meant is as
        // good as unreachable, so the attempt does not count as sent.
        if is_other_replica {
            self.history.sent -= 1;
            return self.retry_unreached();
        }
        self.pool.clone().drain(connection, body);
        AttemptEnd::Retry
    }

    /// Whether a response is to this very request. One that names none is believed only where an error does no harm.
    fn is_own_response(&self, signals: &ResponseSignals) -> bool {
        match &signals.attempt_id {
            Some(attempt_id) => *attempt_id == self.head.attempt_id,
            None => self.head.attempt_id.is_empty() || (signals.not_run && self.is_idempotent()),
        }
    }

    // ---- rejections ----

    /// No replica takes it. An upload that has stopped may hold the slot or connection that it would have had.
    fn reject(&self, mut fault: Fault) -> Rejection {
        self.memory.shed_stalled_stream();
        if self.history.may_have_run {
            return unknown_outcome(&fault.message);
        }
        let mut status = StatusCode::from_u16(daemon_parts::http::status(&fault).as_u16())
            .unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        if let Some(refusal) = self.history.last_refusal {
            if refusal.status == StatusCode::TOO_MANY_REQUESTS {
                status = StatusCode::TOO_MANY_REQUESTS;
            }
            fault.retry_after_ms = refusal.retry_after.or(fault.retry_after_ms);
        }
        (status, fault)
    }

    fn give_up(&self, reason: &str) -> Rejection {
        if self.history.may_have_run {
            return unknown_outcome(reason);
        }
        let fault = lock(&self.proxy).reject("no_replica", "pass", reason);
        self.reject(fault)
    }
}

/// Returns once a body is shed that is sent while it comes.
async fn shed(upload: Option<&Upload>) {
    match upload {
        Some(upload) => upload.shed().await,
        None => pending().await,
    }
}
