//! Streams of engines that are silent for a while and then go on.

use std::io::{BufRead, BufReader};
use std::time::Duration;

use serde_json::{Value, json};

use crate::serving::expected_answer;
use crate::testenv::{TestEnv, TestEnvOptions};

const SILENCE: Duration = Duration::from_millis(2_500);
const TOKENS: u32 = 60;

/// The number of runs that engines have begun.
fn run_count(env: &TestEnv) -> u64 {
    let ledger = env.ledger();
    let runs = ledger["runs"].as_object().expect("runs");
    runs.values().filter_map(Value::as_u64).sum()
}

/// Guards against a stream that is ended, or run again elsewhere, since its engine was silent for some
/// seconds, before or after its first event.
#[test]
fn a_stream_whose_engine_falls_silent_and_goes_on_is_whole() {
    let env = TestEnv::start(TestEnvOptions::default());
    for (name, delay_ms, silent_after) in
        [("before the first event", SILENCE.as_millis() as u64, None), ("later", 0, Some(20))]
    {
        for engine in ["engine-0", "engine-1", "engine-2"] {
            env.set_fault(engine, json!({"set": {"delay_ms": delay_ms}}));
        }
        let before = run_count(&env);
        let response = env.prompt_request(1, "anna", name, TOKENS, true).send();
        let lines = BufReader::new(response.expect("a response")).lines();
        let (mut answer, mut is_complete) = (String::new(), false);
        for (number, line) in lines.enumerate() {
            if Some(number) == silent_after {
                env.emulator.signal("STOP");
                std::thread::sleep(SILENCE);
                env.emulator.signal("CONT");
            }
            let line = line.expect("the stream can be read");
            let Some(data) = line.strip_prefix("data: ") else { continue };
            is_complete |= data == "[DONE]";
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            answer += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        }
        assert_eq!(answer, expected_answer("anna", name, TOKENS), "{name}");
        assert!(is_complete, "{name}");
        assert_eq!(run_count(&env) - before, 1, "{name}: it runs once");
    }
}
