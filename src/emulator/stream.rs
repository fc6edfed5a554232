//! Completions of an emulated engine. Each is generated once and can be streamed several times, as
//! streams can be resumed.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;

use super::answer::Answer;

use crate::upstream::chat::{ApiFormat, Chunk, Usage};
use crate::upstream::sse;

/// Identifies a stream: the request id, a dot and the attempt.
pub(super) type StreamId = String;

/// A completion that is being or has been generated.
pub(super) struct Completion {
    pub(super) answer: Answer,
    pub(super) format: ApiFormat,
    pub(super) progress: watch::Sender<Progress>,
}

/// The progress of a completion.
#[derive(Clone, Copy, Default)]
pub(super) struct Progress {
    pub(super) produced_tokens: u32,
    pub(super) cancelled: bool,
    pub(super) usage: Usage,
}

/// Which event a stream sends next.
pub(super) enum StreamState {
    Tokens,
    Usage,
    Done,
    End,
}

/// The server-sent events of a completion that are still to be sent.
pub(super) struct CompletionStream {
    pub(super) id: StreamId,
    pub(super) model: String,
    pub(super) completion: Arc<Completion>,
    pub(super) progress: watch::Receiver<Progress>,
    /// Index of the next token.
    pub(super) next_token: u32,
    /// Index of the token at which a fault aborts the stream.
    pub(super) break_at_token: Option<u32>,
    pub(super) state: StreamState,
}

impl CompletionStream {
    /// Returns the next event and the remaining stream.
    pub(super) async fn next_event(
        mut self,
    ) -> Option<(Result<Bytes, std::io::Error>, CompletionStream)> {
        let data = match self.state {
            StreamState::Tokens => self.next_token_event().await?,
            StreamState::Usage => {
                self.state = StreamState::Done;
                let usage = Some(self.progress.borrow().usage);
                self.encode(Chunk { id: self.id.clone(), usage, ..Chunk::default() })
            }
            StreamState::Done => {
                self.state = StreamState::End;
                Ok(sse::DONE.to_string())
            }
            StreamState::End => return None,
        };
        if data.is_err() {
            self.state = StreamState::End;
        }
        Some((data.map(|data| Bytes::from(sse::encode_event(&data))), self))
    }

    async fn next_token_event(&mut self) -> Option<Result<String, std::io::Error>> {
        if self.break_at_token.is_some_and(|at| self.next_token >= at) {
            return Some(Err(std::io::Error::other("aborted by an injected fault")));
        }
        let index = self.next_token;
        let tokens = self.completion.answer.tokens();
        let progress = self
            .progress
            .wait_for(|progress| progress.produced_tokens > index || progress.cancelled)
            .await
            .map(|progress| *progress);
        let cancelled = progress.is_ok_and(|progress| progress.produced_tokens <= index);
        if cancelled || index >= tokens {
            return Some(Err(std::io::Error::other("cancelled")));
        }
        self.next_token += 1;
        let is_last = self.next_token == tokens;
        if is_last {
            self.state = StreamState::Usage;
        }
        let finish = is_last.then(|| "stop".to_string());
        let text = self.completion.answer.token(index);
        Some(self.encode(Chunk { id: self.id.clone(), text, finish, usage: None }))
    }

    fn encode(&self, chunk: Chunk) -> Result<String, std::io::Error> {
        Ok(chunk.to_json(self.completion.format, &self.model, 0))
    }
}
