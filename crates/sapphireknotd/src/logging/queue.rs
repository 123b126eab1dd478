//! Queue between logging threads and the writer thread.
//!
//! A reader that stops consuming the output must not block the process: a full queue drops lines and counts them, and
//! the count is written before the next line.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use serde_json::json;

/// Message to the writer thread.
enum WriterMessage {
    /// Line without a line terminator.
    Line(String),
    /// Request to signal on the sender when all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Bounded queue of log lines.
#[derive(Debug, Clone)]
pub struct LineQueue {
    sender: SyncSender<WriterMessage>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts a thread that writes to `writer`; up to `capacity` lines are queued.
    pub fn start<W>(writer: W, capacity: usize) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (sender, receiver) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let write = move || write_lines(writer, &receiver, &counter);
        thread::Builder::new().name("log".to_owned()).spawn(write)?;
        Ok(Self { sender, dropped })
    }

    /// Queues a line, or drops it if the queue is full.
    pub fn push(&self, line: String) {
        // Lines for a writer that has ended are not counted: it can no longer report them.
        if let Err(TrySendError::Full(_)) = self.sender.try_send(WriterMessage::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written, for at most `limit`.
    pub fn flush(&self, limit: Duration) {
        let (done, written) = sync_channel(1);
        // A full queue means that nothing reads the output, so waiting would not help.
        if self.sender.try_send(WriterMessage::Flush(done)).is_ok() {
            let _ = written.recv_timeout(limit);
        }
    }
}

fn write_lines<W>(mut writer: W, receiver: &Receiver<WriterMessage>, dropped: &AtomicU64)
where
    W: Write,
{
    for item in receiver {
        let result = match item {
            WriterMessage::Line(line) => {
                let count = dropped.swap(0, Ordering::Relaxed);
                let notice = (count > 0).then(
                    || json!({ "level": "warn", "message": "lines dropped", "count": count }),
                );
                let notice = notice.map(|it| format!("{it}\n")).unwrap_or_default();
                writer
                    .write_all(format!("{notice}{line}\n").as_bytes())
                    .and_then(|()| writer.flush())
            }
            WriterMessage::Flush(done) => {
                // The caller may have stopped waiting.
                let _ = done.try_send(());
                Ok(())
            }
        };
        if result.is_err() {
            // The output is closed, so nothing written later would be read.
            return;
        }
    }
}
