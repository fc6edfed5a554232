//! The streamed answers of a stand-in engine: generated once, read as often as they are resumed.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;

use super::answer::Answer;
use crate::upstream::chat::{ApiFormat, Chunk, Usage};
use crate::upstream::sse;

/// Names a stream: request id, a dot, the attempt.
pub(super) type StreamId = String;

/// One answer while and after it is generated.
pub(super) struct Generation {
    pub(super) answer: Answer,
    pub(super) format: ApiFormat,
    pub(super) progress: watch::Sender<Progress>,
}

/// How far an answer has been generated.
#[derive(Clone, Copy, Default)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) cancelled: bool,
    pub(super) usage: Usage,
}

/// What is sent next.
pub(super) enum Step {
    Tokens,
    Usage,
    Done,
    End,
}

/// The parts of one streamed answer that are still to be sent.
pub(super) struct Parts {
    pub(super) id: StreamId,
    pub(super) model: String,
    pub(super) generation: Arc<Generation>,
    pub(super) receiver: watch::Receiver<Progress>,
    /// The token that comes next.
    pub(super) next: u32,
    /// The token before which a fault breaks the stream off.
    pub(super) break_at: Option<u32>,
    pub(super) step: Step,
}

impl Parts {
    /// The next part and the rest.
    pub(super) async fn next(mut self) -> Option<(Result<Bytes, std::io::Error>, Parts)> {
        let data = match self.step {
            Step::Tokens => self.token().await?,
            Step::Usage => {
                self.step = Step::Done;
                let usage = Some(self.receiver.borrow().usage);
                self.write(Chunk { id: self.id.clone(), usage, ..Chunk::default() })
            }
            Step::Done => {
                self.step = Step::End;
                Ok(sse::DONE.to_string())
            }
            Step::End => return None,
        };
        if data.is_err() {
            self.step = Step::End;
        }
        Some((data.map(|data| Bytes::from(sse::encode_event(&data))), self))
    }

    async fn token(&mut self) -> Option<Result<String, std::io::Error>> {
        if self.break_at.is_some_and(|at| self.next >= at) {
            return Some(Err(std::io::Error::other("broken on demand")));
        }
        let next = self.next;
        let tokens = self.generation.answer.tokens();
        let progress = self
            .receiver
            .wait_for(|progress| progress.produced > next || progress.cancelled)
            .await
            .map(|progress| *progress);
        let cancelled = progress.is_ok_and(|progress| progress.produced <= next);
        if cancelled || next >= tokens {
            return Some(Err(std::io::Error::other("cancelled")));
        }
        self.next += 1;
        let last = self.next == tokens;
        if last {
            self.step = Step::Usage;
        }
        let finish = last.then(|| "stop".to_string());
        let text = self.generation.answer.token(next);
        Some(self.write(Chunk { id: self.id.clone(), text, finish, usage: None }))
    }

    fn write(&self, chunk: Chunk) -> Result<String, std::io::Error> {
        Ok(chunk.to_json(self.generation.format, &self.model, 0))
    }
}
