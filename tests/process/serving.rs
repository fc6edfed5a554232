//! Every node returns complete, correct answers, in one body or streamed.

use kumquatpost::emulator::answer::Answer;
use kumquatpost::prompt::Owner;
use serde_json::Value;

use crate::testenv::{ACCOUNTS, TestEnv, TestEnvOptions};

/// The answer of the emulated engines to an account's prompt.
pub fn expected_answer(account: &str, prompt: &str, tokens: u32) -> String {
    let owner = Owner {
        account: account.into(),
        model: "mechanic".into(),
        weight_version: "v1".into(),
        adapter: String::new(),
    };
    Answer::new(&owner, &format!("<|user|> {prompt}\n"), tokens).text()
}

#[test]
fn complete_and_streamed_answers_are_correct_at_each_node() {
    let env = TestEnv::start(TestEnvOptions::default());
    for node in 0..3 {
        for account in ACCOUNTS {
            let prompt = format!("gearbox history {node}");
            let unstreamed: Value =
                env.send_prompt(node, account, &prompt, 12).json().expect("JSON");
            let content = &unstreamed["choices"][0]["message"]["content"];
            let expected = Value::String(expected_answer(account, &prompt, 12));
            assert_eq!(content, &expected, "node {node}: {unstreamed}");
            assert_eq!(unstreamed["object"], "chat.completion");
            assert_eq!(unstreamed["choices"][0]["finish_reason"], "stop");
            assert_eq!(unstreamed["usage"]["completion_tokens"], 12);

            let streamed =
                env.prompt_request(node, account, &prompt, 12, true).send().expect("a response");
            let text = streamed.text().expect("the stream is complete");
            let mut events: Vec<&str> =
                text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
            assert_eq!(events.pop(), Some("[DONE]"), "the last event of node {node}: {text}");
            let chunks: Vec<Value> =
                events.iter().map(|data| serde_json::from_str(data).expect("JSON")).collect();
            assert!(chunks.iter().all(|chunk| chunk["object"] == "chat.completion.chunk"));
            assert!(chunks.iter().all(|chunk| chunk["id"] == chunks[0]["id"]));
            let streamed_text: String = chunks
                .iter()
                .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str())
                .collect();
            assert_eq!(streamed_text, expected_answer(account, &prompt, 12));
            let last = chunks.last().expect("chunks");
            assert_eq!(last["choices"][0]["finish_reason"], "stop");
        }
    }
}
