//! Log lines on their way to a reader that may have stopped.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use sapphireknotd::logging::queue::LineQueue;

/// Output that blocks until it is released.
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

/// A reader that stops must not hold requests, and the log says how many lines it lost.
#[test]
fn blocked_reader() {
    let (release, released) = mpsc::channel();
    let written = Arc::new(Mutex::new(String::new()));
    let output = BlockedOutput { released, is_released: false, written: written.clone() };
    let queue = LineQueue::start(output, 100).unwrap();
    let began = Instant::now();
    for idx in 0..10_000 {
        queue.push(format!("line {idx}"));
    }
    queue.flush(Duration::from_secs(60));
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    release.send(()).unwrap();
    let deadline = Instant::now() + Duration::from_secs(20);
    while !written.lock().unwrap().contains("lines dropped") {
        assert!(Instant::now() < deadline, "the loss is not written");
        queue.push("after".to_owned());
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = written.lock().unwrap().clone();
    assert!(text.starts_with("line 0\n") || text.contains("\nline 0\n"), "{text}");
    let lost: u64 = text
        .lines()
        .filter_map(|it| it.strip_prefix("{\"count\":")?.split(',').next()?.parse::<u64>().ok())
        .sum();
    assert!((9_890..=9_910).contains(&lost), "{lost} of 10,000 lost with 100 places");
}

/// The last lines before the end of the process must be written.
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
