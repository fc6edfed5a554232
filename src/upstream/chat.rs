//! The OpenAI-compatible shape of prompts and answers, as far as this system reads it.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Tokens generated when a request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Which of the two interfaces a request came in by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl ApiFormat {
    /// The path of the interface.
    pub fn path(self) -> &'static str {
        match self {
            ApiFormat::Chat => "/v1/chat/completions",
            ApiFormat::Text => "/v1/completions",
        }
    }

    /// The interface with this path.
    pub fn from_path(path: &str) -> Option<ApiFormat> {
        [ApiFormat::Chat, ApiFormat::Text].into_iter().find(|format| format.path() == path)
    }
}

/// The fields of a request that this system reads. The others go to the engine as they came.
#[derive(Clone, Debug, Deserialize)]
pub struct PromptRequest {
    /// The model.
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// The prompt of a text completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Whether the answer is wanted in parts.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed answer.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Most tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk carries the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Who said it.
    pub role: String,
    /// What: a text, or a list of parts.
    #[serde(default)]
    pub content: Value,
}

impl PromptRequest {
    /// The whole prompt as one text, as an engine's template would lay it out.
    pub fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let mut text = String::new();
        for message in &self.messages {
            text.push_str("<|");
            text.push_str(&message.role);
            text.push_str("|> ");
            push_content(&mut text, &message.content);
            text.push('\n');
        }
        text
    }

    /// Most tokens to generate.
    pub fn token_limit(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Whether the caller wants a chunk with the usage at the end of a stream.
    pub fn wants_usage(&self) -> bool {
        self.stream_options.is_some_and(|options| options.include_usage)
    }
}

fn push_content(text: &mut String, content: &Value) {
    match content {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => {
            for part in parts {
                push_content(text, part.get("text").unwrap_or(&Value::Null));
            }
        }
        _ => {}
    }
}

/// Tokens of a request, in the published shape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
    /// How much of the prompt was reused.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// How much of a prompt was reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens that were not recomputed: resident ones and imported ones.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens of those that were imported from a store.
    #[serde(default)]
    pub imported_tokens: u64,
}

/// What one chunk of an engine's stream says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// The engine's id for the stream: request id, a dot, the attempt.
    pub id: String,
    /// The text that it adds.
    pub text: String,
    /// Why the answer ended, in its last chunk with text.
    pub finish: Option<String>,
    /// The usage, in the last chunk of all.
    pub usage: Option<Usage>,
}

impl Chunk {
    /// Reads a chunk of either shape.
    ///
    /// # Errors
    /// The parser's message, or the engine's error message.
    pub fn parse(data: &str) -> Result<Chunk, String> {
        let value: Value = serde_json::from_str(data).map_err(|source| source.to_string())?;
        if let Some(error) = value.get("error") {
            return Err(error.to_string());
        }
        let choice = value.pointer("/choices/0").cloned().unwrap_or(Value::Null);
        let text = choice.pointer("/delta/content").or(choice.get("text"));
        Ok(Chunk {
            id: string_or_empty(value.get("id")),
            text: string_or_empty(text),
            finish: choice.get("finish_reason").and_then(Value::as_str).map(str::to_string),
            usage: value.get("usage").cloned().and_then(|usage| serde_json::from_value(usage).ok()),
        })
    }

    /// Writes the chunk in the given shape.
    pub fn to_json(&self, format: ApiFormat, model: &str, created_s: u64) -> String {
        let finish = &self.finish;
        let choices = match (format, self.usage) {
            (_, Some(_)) => json!([]),
            (ApiFormat::Chat, None) => {
                json!([{"index": 0, "delta": {"content": self.text}, "finish_reason": finish}])
            }
            (ApiFormat::Text, None) => {
                json!([{"index": 0, "text": self.text, "logprobs": null, "finish_reason": finish}])
            }
        };
        let object = match format {
            ApiFormat::Chat => "chat.completion.chunk",
            ApiFormat::Text => "text_completion",
        };
        let mut value = json!({
            "id": self.id, "object": object, "created": created_s, "model": model,
            "choices": choices,
        });
        if let Some(usage) = self.usage {
            value["usage"] = json!(usage);
        }
        value.to_string()
    }
}

/// A whole answer in the given shape.
pub fn completion(
    format: ApiFormat,
    id: &str,
    model: &str,
    created_s: u64,
    chunk: &Chunk,
) -> Value {
    let (object, choice) = match format {
        ApiFormat::Chat => {
            let message = json!({"role": "assistant", "content": chunk.text});
            (
                "chat.completion",
                json!({"index": 0, "message": message, "finish_reason": chunk.finish}),
            )
        }
        ApiFormat::Text => (
            "text_completion",
            json!({"index": 0, "text": chunk.text, "logprobs": null, "finish_reason": chunk.finish}),
        ),
    };
    json!({
        "id": id, "object": object, "created": created_s, "model": model,
        "choices": [choice], "usage": chunk.usage,
    })
}

fn string_or_empty(value: Option<&Value>) -> String {
    value.and_then(Value::as_str).unwrap_or_default().to_string()
}
