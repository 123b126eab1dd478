//! Queue between log lines and an output that may block.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use sapphireknotd::logging::queue::LineQueue;

/// Output that blocks until it receives a release signal.
struct BlockedOutput {
    released: mpsc::Receiver<()>,
    is_released: bool,
    written: Arc<Mutex<String>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.released.recv().map_err(io::Error::other)?;
            self.is_released = true;
        }
        let mut written = self.written.lock().map_err(|_| io::Error::other("poisoned"))?;
        written.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a blocked output that blocks requests, and against dropped lines that are not counted in the log.
#[test]
fn blocked_output() {
    let (release, released) = mpsc::channel();
    let written = Arc::new(Mutex::new(String::new()));
    let output = BlockedOutput { released, is_released: false, written: written.clone() };
    let queue = LineQueue::start(output, 100).unwrap();
    let started_at = Instant::now();
    for idx in 0..10_000 {
        queue.push(format!("line {idx}"));
    }
    queue.flush(Duration::from_secs(60));
    assert!(started_at.elapsed() < Duration::from_secs(5), "{:?}", started_at.elapsed());
    release.send(()).unwrap();
    let deadline = Instant::now() + Duration::from_secs(20);
    while !written.lock().unwrap().contains("lines dropped") {
        assert!(Instant::now() < deadline, "the number of dropped lines is not written");
        queue.push("after".to_owned());
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = written.lock().unwrap().clone();
    assert!(text.starts_with("line 0\n") || text.contains("\nline 0\n"), "{text}");
    let dropped: u64 = text
        .lines()
        .filter_map(|it| it.strip_prefix("{\"count\":")?.split(',').next()?.parse::<u64>().ok())
        .sum();
    assert!(
        (9_890..=9_910).contains(&dropped),
        "{dropped} of 10,000 lines dropped by a queue of 100"
    );
}

/// Guards against the loss of the last lines when the process ends.
#[test]
fn flush_at_end() {
    let (release, released) = mpsc::channel();
    release.send(()).unwrap();
    let written = Arc::new(Mutex::new(String::new()));
    let output = BlockedOutput { released, is_released: false, written: written.clone() };
    let queue = LineQueue::start(output, 100).unwrap();
    queue.push("last".to_owned());
    queue.flush(Duration::from_secs(20));
    assert_eq!(*written.lock().unwrap(), "last\n");
}
