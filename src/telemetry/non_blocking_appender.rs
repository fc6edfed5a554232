//! A log appender that never blocks its callers. A bounded queue passes lines to a writer thread; when the queue
//! is full, lines are dropped and counted.

use std::fmt;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Lines queued for a slow reader: a few seconds of logs of a busy entry, about a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;
/// Size at which a chunk of lines is written.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum time that a flush waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A log4rs appender that never blocks its callers.
pub struct NonBlockingAppender {
    encoder: PatternEncoder,
    queue: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

enum QueueItem {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

impl NonBlockingAppender {
    /// Starts a thread that writes lines to `output`.
    pub fn new(pattern: &str, output: impl Write + Send + 'static) -> NonBlockingAppender {
        let (queue, items) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let shared_count = dropped.clone();
        thread::spawn(move || write_lines(&items, &shared_count, output));
        NonBlockingAppender { encoder: PatternEncoder::new(pattern), queue, dropped }
    }

    /// Number of dropped lines that the output does not report yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl fmt::Debug for NonBlockingAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NonBlockingAppender").field("dropped", &self.dropped()).finish()
    }
}

impl Append for NonBlockingAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if self.queue.try_send(QueueItem::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (sender, written) = sync_channel(1);
        if self.queue.try_send(QueueItem::Flush(sender)).is_ok() {
            // Bounded, so that a stalled reader of the output can't block the exit of the process.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(items: &Receiver<QueueItem>, dropped: &AtomicU64, mut output: impl Write) {
    let mut chunk = Vec::with_capacity(CHUNK_BYTES);
    while let Ok(first) = items.recv() {
        let mut flush_requests = Vec::new();
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                QueueItem::Line(line) => chunk.extend_from_slice(&line),
                QueueItem::Flush(sender) => flush_requests.push(sender),
            }
            next = if chunk.len() < CHUNK_BYTES { items.try_recv().ok() } else { None };
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            chunk.extend_from_slice(
                format!("level=WARN event=log_lines_dropped count={lost}\n").as_bytes(),
            );
        }
        // A failure to write logs can't be logged.
        let _ = output.write_all(&chunk).and_then(|()| output.flush());
        chunk.clear();
        for sender in flush_requests {
            // The receiver is gone if its flush has timed out.
            let _ = sender.try_send(());
        }
    }
}
