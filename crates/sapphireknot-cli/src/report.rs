//! Output of results as text or JSON.

use std::io::{self, Write};

use sapphireknot::{
    config::ConfigProblem,
    operator::{ChangeReceipt, HostStatus, ItemState, NoteStatus},
};
use serde::Serialize;

use crate::options::OutputFormat;

/// Result with a human-readable text form.
pub trait TextReport {
    /// Writes the result as lines of text.
    fn write_text(&self, output: &mut dyn Write) -> io::Result<()>;
}

/// Writer of results in the selected output format.
pub struct ReportWriter<'a> {
    format: OutputFormat,
    output: &'a mut dyn Write,
}

impl<'a> ReportWriter<'a> {
    /// Creates a writer to `output`.
    pub fn new(format: OutputFormat, output: &'a mut dyn Write) -> Self {
        Self { format, output }
    }

    /// Writes a result in the selected format.
    pub fn write<T>(&mut self, report: &T) -> io::Result<()>
    where
        T: TextReport + Serialize,
    {
        match self.format {
            OutputFormat::Text => report.write_text(self.output),
            OutputFormat::Json => {
                serde_json::to_writer_pretty(&mut *self.output, report)?;
                writeln!(self.output)
            }
        }
    }

    /// Writes text unchanged, regardless of the output format.
    pub fn write_raw(&mut self, text: &str) -> io::Result<()> {
        self.output.write_all(text.as_bytes())
    }
}

/// Result of checking a file.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    /// Path of the checked file.
    pub file: String,
    /// Kind of the file: `document` or `release note`.
    pub kind: String,
    /// All problems found.
    pub problems: Vec<ConfigProblem>,
}

impl TextReport for CheckReport {
    fn write_text(&self, output: &mut dyn Write) -> io::Result<()> {
        if self.problems.is_empty() {
            return writeln!(output, "{}: {} without problems", self.file, self.kind);
        }
        for problem in &self.problems {
            writeln!(output, "{}: {problem}", self.file)?;
        }
        Ok(())
    }
}

impl TextReport for ChangeReceipt {
    fn write_text(&self, output: &mut dyn Write) -> io::Result<()> {
        match self {
            Self::Accepted { generation } => writeln!(output, "accepted: generation {generation}"),
            Self::Refused { problems, conflicts } => {
                writeln!(output, "refused: nothing was changed")?;
                for problem in problems {
                    writeln!(output, "  {problem}")?;
                }
                for path in conflicts {
                    writeln!(output, "  {path}: changed by another operator meanwhile")?;
                }
                Ok(())
            }
            Self::Resolving { reason } => writeln!(output, "resolving: {reason}"),
        }
    }
}

impl TextReport for NoteStatus {
    fn write_text(&self, output: &mut dyn Write) -> io::Result<()> {
        writeln!(output, "release note {}: generation {}", self.note, self.generation)?;
        if !self.waiting_for.is_empty() {
            let hosts: Vec<_> = self.waiting_for.iter().map(ToString::to_string).collect();
            writeln!(output, "  waiting for hosts: {}", hosts.join(", "))?;
        }
        for item in &self.items {
            write!(output, "  {:<9} {} {}", state_text(item.state), item.action, item.path)?;
            match &item.reason {
                Some(reason) => writeln!(output, ": {reason}")?,
                None => writeln!(output)?,
            }
        }
        Ok(())
    }
}

impl TextReport for HostStatus {
    fn write_text(&self, output: &mut dyn Write) -> io::Result<()> {
        let generation = self.generation.map_or("none".to_owned(), |it| it.to_string());
        writeln!(output, "host {}: generation {generation}", self.host)?;
        let (store, keys) =
            (on_off(self.store_up, "up", "down"), on_off(self.fresh, "fresh", "stale"));
        writeln!(output, "  store {store}, keys {keys}")?;
        writeln!(output, "  {:<24} {:<12} {:<10} generation", "member", "region", "state")?;
        for member in &self.members {
            let state = format!("{:?}", member.state).to_lowercase();
            let (host, region) = (member.host.as_str(), member.region.as_str());
            writeln!(output, "  {host:<24} {region:<12} {state:<10} {}", member.generation)?;
        }
        for quota in &self.quotas {
            writeln!(output, "  quota of {}: {}", quota.organisation, quota.share)?;
        }
        for rollout in &self.rollouts {
            let shares: Vec<_> = rollout
                .shares
                .iter()
                .map(|(version, share)| format!("{version} {share}"))
                .collect();
            write!(output, "  rollout of {}: {}", rollout.service, shares.join(", "))?;
            write!(output, ", {}", state_text(rollout.state))?;
            match &rollout.reason {
                Some(reason) => writeln!(output, ": {reason}")?,
                None => writeln!(output)?,
            }
        }
        Ok(())
    }
}

fn on_off(flag: bool, on: &'static str, off: &'static str) -> &'static str {
    if flag { on } else { off }
}

fn state_text(state: ItemState) -> &'static str {
    match state {
        ItemState::Pending => "pending",
        ItemState::InForce => "in force",
        ItemState::Done => "done",
        ItemState::Reverted => "reverted",
    }
}
