//! Prompts and responses in the OpenAI-compatible formats, as far as this system reads and writes them.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Maximum number of generated tokens of a request without a limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// One of the two OpenAI-compatible interfaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl ApiFormat {
    /// Path of the interface.
    pub fn path(self) -> &'static str {
        match self {
            ApiFormat::Chat => "/v1/chat/completions",
            ApiFormat::Text => "/v1/completions",
        }
    }

    /// Returns the interface with this path.
    pub fn from_path(path: &str) -> Option<ApiFormat> {
        [ApiFormat::Chat, ApiFormat::Text].into_iter().find(|format| format.path() == path)
    }
}

/// The fields of a request that this system reads. All others are forwarded to the engine unchanged.
#[derive(Clone, Debug, Deserialize)]
pub struct PromptRequest {
    pub model: String,
    #[serde(default)]
    pub messages: Vec<Message>,
    /// The prompt of a text completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed response.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Maximum number of generated tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
}

/// Options of a streamed response.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk has the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// A message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    pub role: String,
    /// A string, or a list of parts with a `text` field.
    #[serde(default)]
    pub content: Value,
}

impl PromptRequest {
    /// Returns the prompt as one text, similar to the chat template of an engine.
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

    /// Maximum number of generated tokens.
    pub fn token_limit(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Whether a stream ends with a chunk that has the usage.
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

/// Token counts of a request, in the OpenAI-compatible format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
    /// Cached tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Cached tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens that were not recomputed, because they were resident or imported.
    #[serde(default)]
    pub cached_tokens: u64,
    /// The imported ones among them.
    #[serde(default)]
    pub imported_tokens: u64,
}

/// A chunk of a streamed response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// Id of the stream: the request id, a dot and the attempt.
    pub id: String,
    /// The generated text of this chunk.
    pub text: String,
    /// Why the generation ended; only in the last chunk with text.
    pub finish: Option<String>,
    /// The usage; only in the very last chunk.
    pub usage: Option<Usage>,
}

impl Chunk {
    /// Decodes a chunk in either format.
    ///
    /// # Errors
    /// The message of the JSON parser, or the error that the engine sent.
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

    /// Encodes the chunk as JSON in the given format.
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

/// Encodes a response that is not streamed as JSON in the given format. `chunk` has its whole text.
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
