//! Options, progress display and result tables of the cost measurements.

use std::{fmt, time::Duration};

use indicatif::{ProgressBar, ProgressStyle};

use crate::report::Report;

/// Options of one run and its progress display.
#[derive(Debug)]
pub(crate) struct MeasureRun {
    /// Seed of the random number generators.
    pub(crate) seed: u64,
    /// Whether to use small sizes, for a quick check.
    pub(crate) is_small: bool,
    progress: ProgressBar,
}

impl MeasureRun {
    /// Creates a run that shows a progress spinner on a terminal.
    pub(crate) fn new(seed: u64, is_small: bool) -> Self {
        let style = ProgressStyle::with_template("{elapsed_precise} {prefix}: {msg}");
        let style = style.unwrap_or_else(|_| ProgressStyle::default_spinner());
        let progress = ProgressBar::new_spinner().with_style(style);
        progress.enable_steady_tick(Duration::from_millis(200));
        Self { seed, is_small, progress }
    }

    /// Sets the name of the measurement in the progress display.
    pub(crate) fn start(&self, name: &'static str) {
        self.progress.set_prefix(name);
    }

    /// Shows the current step in the progress display.
    pub(crate) fn step(&self, text: String) {
        self.progress.set_message(text);
    }

    /// Clears the progress display.
    pub(crate) fn finish(&self) {
        self.progress.finish_and_clear();
    }
}

/// Table of results with a title.
#[derive(Debug)]
pub(crate) struct MeasureTable {
    title: String,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl MeasureTable {
    /// Creates an empty table.
    pub(crate) fn new<T>(title: T, columns: &[&str]) -> Self
    where
        T: Into<String>,
    {
        let columns = columns.iter().map(|it| (*it).to_owned()).collect();
        Self { title: title.into(), columns, rows: Vec::new() }
    }

    /// Adds a row with one cell per column.
    pub(crate) fn push(&mut self, cells: &[&dyn fmt::Display]) {
        self.rows.push(cells.iter().map(ToString::to_string).collect());
    }

    /// Converts the table to the report of one run with `seed`.
    pub(crate) fn into_report(self, seed: u64) -> Report {
        let Self { title, columns, rows } = self;
        Report { name: title, seed, runs: 1, columns, rows }
    }
}

/// Returns the value at the quantile `at` (0 to 1) by nearest rank, or 0 without values.
pub(crate) fn quantile(sorted: &[f64], at: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((at * last as f64).round() as usize).copied().unwrap_or_default()
}
