//! Records the steps of a session as text and compares them with a snapshot.

use std::time::Duration;

use http::Method;
use sapphireknot_standin::{
    client::{HttpCall, HttpReply},
    fixture::{CommandOutput, ServiceBed, wait_until},
};

/// Timeout of every wait for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Test bed with the transcript of the session so far.
pub(crate) struct SessionRecorder {
    pub(crate) bed: ServiceBed,
    transcript: String,
}

impl SessionRecorder {
    pub(crate) fn new(bed: ServiceBed) -> Self {
        Self { bed, transcript: String::new() }
    }

    /// Adds a comment line to the transcript.
    pub(crate) fn remark(&mut self, text: &str) {
        self.transcript.push_str(&format!("# {text}\n"));
    }

    fn host(&self, index: usize) -> String {
        self.bed.bed.hosts()[index].id().to_owned()
    }

    fn write_output(&mut self, output: &CommandOutput) {
        self.transcript.push_str(&format!("exit {}\n", output.code.unwrap_or(-1)));
        for line in output.stdout.lines().chain(output.stderr.lines()) {
            // Quota shares depend on the demand and differ between runs.
            if !line.starts_with("  quota of ") {
                self.transcript.push_str(&format!("  {}\n", line.trim_end()));
            }
        }
    }

    /// Stores the initial configuration with `sapphireknot init`.
    pub(crate) async fn init(&mut self) {
        let output = self.bed.init().await.unwrap();
        self.transcript
            .push_str(&format!("[{}] $ sapphireknot init document.yaml\n", self.host(0)));
        self.write_output(&output);
        self.bed.wait_ready().await.unwrap();
    }

    /// Runs an operator command against the host `index`.
    pub(crate) async fn command(&mut self, index: usize, args: &[&str]) {
        let output = self.bed.bed.run_command(Some(index), args, 2 * WAIT_TIMEOUT).await.unwrap();
        self.transcript.push_str(&format!(
            "[{}] $ sapphireknot {}\n",
            self.host(index),
            args.join(" ")
        ));
        self.write_output(&output);
    }

    /// Applies a release note at the host `index`.
    pub(crate) async fn apply(&mut self, index: usize, note: &str, args: &[&str]) {
        let output = self.bed.apply(index, note, args).await.unwrap();
        let args = args.iter().map(|it| format!(" {it}")).collect::<String>();
        self.transcript.push_str(&format!("[{}] $ sapphireknot apply -{args}\n", self.host(index)));
        self.transcript.push_str(&format!("< {note}\n"));
        self.write_output(&output);
    }

    /// Submits a release note over HTTP, based on the generation `base`.
    pub(crate) async fn submit(&mut self, index: usize, note: &str, base: u64) {
        let note: serde_json::Value = serde_json::from_str(note).unwrap();
        let body = serde_json::json!({ "note": note, "base": base }).to_string();
        let token = format!("Bearer {}", self.bed.bed.operator_token());
        let call = HttpCall::new(Method::POST, "/v1/notes").header("authorization", token);
        let address = self.bed.bed.hosts()[index].operator_address();
        let reply = self.bed.bed.caller().send(address, call.body(body.clone())).await.unwrap();
        self.transcript.push_str(&format!("[{}] POST /v1/notes {body}\n", self.host(index)));
        self.write_reply(&reply);
    }

    /// Sends a request to the host `index`.
    pub(crate) async fn request(
        &mut self,
        index: usize,
        organisation: Option<&str>,
        call: HttpCall,
    ) {
        let reply = self.bed.request(index, organisation, call.clone()).await.unwrap();
        self.write_request(index, organisation, &call);
        self.write_reply(&reply);
    }

    /// Repeats a request until it is refused for `reason`, and records only the last attempt.
    pub(crate) async fn request_until(
        &mut self,
        index: usize,
        organisation: &str,
        call: HttpCall,
        reason: &str,
    ) {
        let reply = wait_until("the request is refused", WAIT_TIMEOUT, async || {
            let reply = self.bed.request(index, Some(organisation), call.clone()).await.ok()?;
            (reply.header("x-sapphireknot-reason") == Some(reason)).then_some(reply)
        })
        .await
        .unwrap();
        self.write_request(index, Some(organisation), &call);
        self.write_reply(&reply);
    }

    fn write_request(&mut self, index: usize, organisation: Option<&str>, call: &HttpCall) {
        let key = organisation.map_or("no key".to_owned(), |it| format!("key {it}-key"));
        let (host, method, target) = (self.host(index), &call.method, &call.target);
        self.transcript.push_str(&format!("[{host}] {method} {target}, {key}\n"));
    }

    fn write_reply(&mut self, reply: &HttpReply) {
        let header = |name| reply.header(name).unwrap_or("-").to_owned();
        let (ran, reason) = (header("x-sapphireknot-ran"), header("x-sapphireknot-reason"));
        let body = String::from_utf8_lossy(&reply.body);
        let status = reply.status.as_u16();
        self.transcript.push_str(&format!("{status}, ran {ran}, reason {reason}\n  {body}\n"));
    }

    /// Number of requests that arrived at the backend server `index`, shed ones included.
    pub(crate) async fn arrivals(&self, index: usize) -> u64 {
        let counts = &self.bed.counts().await.unwrap()[index];
        counts.begun + counts.shed
    }

    /// Waits until every host reports all members live at `generation`, records the final state, and compares the
    /// transcript with the snapshot `name`.
    pub(crate) async fn finish(mut self, name: &str, generation: u64) {
        self.remark("state at the end");
        for index in 0..self.bed.bed.hosts().len() {
            let accept = |status: &sapphireknot::operator::HostStatus| {
                let has_generation = |it: &sapphireknot::operator::MemberStatus| {
                    it.state.is_live() && it.generation.0 == generation
                };
                status.fresh && status.store_up && status.members.iter().all(has_generation)
            };
            self.bed
                .bed
                .wait_status(index, "all members have the final generation", WAIT_TIMEOUT, accept)
                .await
                .unwrap();
        }
        self.command(0, &["status"]).await;
        // Only bookings: other requests are repeated until they are refused, so their number differs between runs.
        for (target, count) in self.bed.runs().unwrap() {
            if target.starts_with(&ServiceBed::booking_target("")) {
                self.transcript
                    .push_str(&format!("runs of {target} at the backend servers: {count}\n"));
            }
        }
        let mut settings = insta::Settings::clone_current();
        settings.set_omit_expression(true);
        settings.set_prepend_module_to_snapshot(false);
        for (pattern, replacement) in [
            (r"127\.\d+\.\d+\.\d+:\d+", "<address>"),
            (r"\b[0-9a-f]{32}\b", "<request>"),
            (r"\d{4}-\d\d-\d\dT[0-9:.]+Z", "<time>"),
        ] {
            settings.add_filter(pattern, replacement);
        }
        settings.bind(|| insta::assert_snapshot!(name, self.transcript));
    }
}
