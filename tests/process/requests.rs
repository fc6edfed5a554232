//! Requests while targets fail, leave or change weights, and while nodes stop or crash.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use serde_json::{Value, json};

use crate::api::{execution_of, patch_until_answered};
use crate::serving::expected_answer;
use crate::testenv::{TestEnv, TestEnvOptions, wait_for};

#[test]
fn a_planned_stop_interrupts_no_request_in_progress() {
    let mut env = TestEnv::start(TestEnvOptions::default());
    let prompt = "a long diagnosis";
    let response = env.prompt_request(0, "anna", prompt, 400, true).send().expect("a response");
    let mut lines = BufReader::new(response).lines();
    lines.next().expect("a first chunk").expect("the stream can be read");
    env.nodes[0].signal("TERM");
    let ready = format!("{}/health/ready", env.callers_url(0));
    wait_for("the node is not ready", || {
        env.client.get(&ready).send().map_or(true, |r| r.status() == 503).then_some(())
    });
    let refused = env.prompt_request(0, "anna", "too late", 2, false).send();
    if let Ok(refused) = refused {
        let body: Value = refused.json().expect("JSON");
        assert_eq!(
            (execution_of(&body), &body["error"]["code"]),
            ("not_run", &json!("shutting_down"))
        );
    }
    let rest: Vec<String> = lines.map(|line| line.expect("the stream can be read")).collect();
    assert!(rest.iter().any(|line| line == "data: [DONE]"), "the stream is complete");
    assert_eq!(env.nodes[0].exit_code(), Some(0));
}

#[test]
fn an_answer_is_completed_after_its_engine_crashes() {
    let env = TestEnv::start(TestEnvOptions::default());
    let prompt = "survive this";
    // The deadline applies to the first token only, and has passed when the engine crashes.
    let response = env
        .prompt_request(1, "bibek", prompt, 600, true)
        .header("x-kumquatpost-deadline-ms", "500")
        .send()
        .expect("a response");
    let mut lines = BufReader::new(response).lines();
    let mut answer = String::new();
    for line in lines.by_ref().take(2 * 300) {
        append_content(&mut answer, &line.expect("the stream can be read"));
    }
    let running = wait_for("an engine runs the prompt", || {
        let status = env.status(1);
        let engines = status["engines"].as_array().expect("engines").clone();
        let busy = engines.iter().find(|engine| engine["running"].as_u64() > Some(0));
        busy.map(|engine| engine["target"].as_str().expect("a target id").to_string())
    });
    env.set_fault(&running, json!("die"));
    for line in lines {
        append_content(&mut answer, &line.expect("the stream can be read"));
    }
    assert_eq!(
        answer,
        expected_answer("bibek", prompt, 600),
        "the answer is complete and has no duplicate text"
    );
}

/// Appends the content of a line of an event stream, if it has any.
fn append_content(text: &mut String, line: &str) {
    let Some(data) = line.strip_prefix("data: ") else { return };
    let Ok(chunk) = serde_json::from_str::<Value>(data) else { return };
    text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
}

#[test]
fn broken_or_crossed_streams_give_the_correct_answer_or_an_error() {
    let env = TestEnv::start(TestEnvOptions::default());
    let cases = [
        ("broken once", json!({"break_after_tokens": 3, "break_count": 1})),
        ("crossed", json!({"crossed": true})),
        ("refusing", json!({"refuse": true})),
        ("broken at once", json!({"break_after_tokens": 0, "break_count": 2})),
    ];
    for (case_name, fault) in cases {
        for target in ["engine-0", "engine-1"] {
            env.set_fault(target, json!({"set": fault}));
        }
        for number in 0..6 {
            let prompt = format!("{case_name} {number}");
            let body: Value = env.send_prompt(number % 3, "anna", &prompt, 8).json().expect("JSON");
            let content = &body["choices"][0]["message"]["content"];
            assert_eq!(content, &json!(expected_answer("anna", &prompt, 8)), "{case_name}: {body}");
        }
        for target in ["engine-0", "engine-1"] {
            env.set_fault(target, json!({"set": {}}));
        }
    }
    // If all engines send chunks of other requests, the caller gets an error.
    for target in ["engine-0", "engine-1", "engine-2"] {
        env.set_fault(target, json!({"set": {"crossed": true}}));
    }
    let response = env.send_prompt(0, "anna", "all crossed", 8);
    assert!(response.status().is_server_error());
    let body: Value = response.json().expect("JSON");
    assert_eq!(execution_of(&body), "may_have_run");
}

#[test]
fn an_order_runs_at_most_once_despite_resends_and_crashes() {
    let mut env = TestEnv::start(TestEnvOptions::default());
    // A resend at any node gets the recorded answer.
    let first = env
        .send_order(0, "anna", "order-1", "gear")
        .expect("the node responds")
        .text()
        .expect("text");
    for node in 0..3 {
        let again = env.send_order(node, "anna", "order-1", "gear").expect("the node responds");
        assert!(again.status().is_success());
        assert_eq!(again.text().expect("text"), first);
    }
    assert_eq!(env.run_count("order-1"), 1);
    let other = env.send_order(1, "anna", "order-1", "shaft").expect("the node responds");
    assert_eq!(other.status(), 422, "a key cannot be reused with another body");
    assert_eq!(
        env.send_order(1, "bibek", "order-1", "gear").expect("the node responds").status(),
        200,
        "accounts have separate keys"
    );
    assert_eq!(env.run_count("order-1"), 2, "one run per account");

    // The connection breaks after the order has run: its outcome is unknown, so it is not retried.
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {"break_after_tokens": 0}}));
    }
    let broken: Value = env
        .send_order(0, "anna", "order-2", "gear")
        .expect("the node responds")
        .json()
        .expect("JSON");
    assert_eq!(execution_of(&broken), "may_have_run");
    for node in 0..3 {
        let again = env.send_order(node, "anna", "order-2", "gear").expect("the node responds");
        assert_eq!(again.status(), 409);
        assert_eq!(execution_of(&again.json().expect("JSON")), "may_have_run");
    }
    assert_eq!(env.run_count("order-2"), 1);

    // All instances refuse the order: it has not run, so a resend may run it.
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {"refuse": true}}));
    }
    let refused: Value = env
        .send_order(0, "anna", "order-3", "gear")
        .expect("the node responds")
        .json()
        .expect("JSON");
    assert_eq!(execution_of(&refused), "not_run");
    assert_eq!(env.run_count("order-3"), 0);
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {}}));
    }
    wait_for("the claim is released", || {
        env.send_order(2, "anna", "order-3", "gear")
            .is_ok_and(|r| r.status().is_success())
            .then_some(())
    });
    assert_eq!(env.run_count("order-3"), 1);

    // The node that holds the claim is killed while the order runs.
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {"delay_ms": 1500}}));
    }
    std::thread::scope(|scope| {
        let sender = scope.spawn(|| env.send_order(0, "anna", "order-4", "gear").is_ok());
        wait_for("the order runs", || (env.run_count("order-4") == 1).then_some(()));
        env.nodes[0].signal("KILL");
        drop(sender.join());
    });
    env.nodes[0].kill();
    let resent = wait_for("another node responds", || {
        let response = env.send_order(1, "anna", "order-4", "gear").ok()?;
        (response.status() != 503).then_some(response)
    });
    assert_eq!(resent.status(), 409);
    assert_eq!(execution_of(&resent.json().expect("JSON")), "may_have_run");
    assert_eq!(env.run_count("order-4"), 1);
}

#[test]
fn a_leaving_target_gets_no_new_work_from_any_node() {
    let env = TestEnv::start(TestEnvOptions::default());
    env.set_fault("engine-1", json!("leave"));
    wait_for("all nodes know that the engine leaves", || {
        let knows = |node: usize| {
            let engines = env.status(node)["engines"].clone();
            let engines = engines.as_array().expect("engines").clone();
            engines.iter().any(|e| e["target"] == "engine-1" && e["takes_work"] == false)
        };
        (0..3).all(knows).then_some(())
    });
    let before = env.ledger()["by_target"]["engine-1"].as_u64();
    for number in 0..30 {
        assert!(
            env.send_prompt(number % 3, "anna", &format!("leave {number}"), 2)
                .status()
                .is_success()
        );
    }
    assert_eq!(env.ledger()["by_target"]["engine-1"].as_u64(), before);
}

#[test]
fn a_damaged_stored_block_is_recomputed_and_never_used() {
    let env = TestEnv::start(TestEnvOptions::default());
    let history = "tooth wear ".repeat(700);
    let ask =
        |prompt: &str| -> Value { env.send_prompt(0, "anna", prompt, 4).json().expect("JSON") };
    let check = |body: &Value, prompt: &str| {
        let content = &body["choices"][0]["message"]["content"];
        assert_eq!(content, &json!(expected_answer("anna", prompt, 4)));
    };
    check(&ask(&history), &history);
    wait_for("the prompt's blocks are exported", || {
        (env.ledger()["export_bytes"].as_u64() > Some(0)).then_some(())
    });
    // The restart empties the caches of all engines, and the stores send damaged blocks.
    for target in ["store-0", "store-1"] {
        env.set_fault(target, json!({"set": {"damage": true}}));
    }
    for target in ["engine-0", "engine-1", "engine-2"] {
        env.set_fault(target, json!("restart"));
    }
    wait_for("an import has failed", || {
        let prompt = format!("{history} and now?");
        let response = env.send_prompt(0, "anna", &prompt, 4);
        if response.status().is_success() {
            check(&response.json().expect("JSON"), &prompt);
        }
        (env.ledger()["failed_imports"].as_u64() > Some(0)).then_some(())
    });
    assert_eq!(env.ledger()["imported_tokens"].as_u64(), Some(0));
}

#[test]
fn a_weight_roll_out_goes_on_over_a_change_of_leader_and_no_request_fails() {
    let mut options = TestEnvOptions::default();
    let engines: Vec<Value> = (0..6)
        .map(|i| {
            let domain = ["patan", "bhaktapur", "kirtipur"][i % 3];
            json!({"id": format!("engine-{i}"), "model": "mechanic", "failure_domain": domain,
                   "load_lag_ms": 20, "checks_fencing": i % 2 == 0})
        })
        .collect();
    options.emulator["engines"] = json!(engines);
    let mut env = TestEnv::start(options);
    let leader = env.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    let patch = json!({"models": {"mechanic": {"next_version": "v2"}}});
    patch_until_answered(&env, &others, 1, "roll", &patch);
    wait_for("an engine has received an order", || {
        let orders = env.ledger()["orders"].as_object().map_or(0, serde_json::Map::len);
        (orders > 0).then_some(())
    });
    env.nodes[leader].kill();
    let mut asked = 0;
    wait_for("all engines have received orders", || {
        asked += 1;
        let response = env.send_prompt(others[asked % 2], "anna", &format!("meanwhile {asked}"), 2);
        assert!(response.status().is_success(), "{}", response.text().unwrap_or_default());
        let orders = env.ledger()["orders"].as_object().map_or(0, serde_json::Map::len);
        (orders == 6).then_some(())
    });
    for (engine, fences) in env.ledger()["orders"].as_object().expect("orders") {
        let tokens: Vec<u64> =
            fences.as_array().expect("numbers").iter().filter_map(Value::as_u64).collect();
        assert!(tokens.is_sorted(), "{engine}: {tokens:?}");
    }
}

/// Sends a prompt whose answer is streamed until the returned connection is closed.
fn start_endless_prompt(env: &TestEnv, number: usize) -> TcpStream {
    let body = json!({"model": "mechanic", "max_tokens": 100_000, "stream": true,
                      "messages": [{"role": "user", "content": format!("endless {number}")}]});
    let body = body.to_string();
    let mut caller =
        TcpStream::connect(env.nodes[0].ready_value("callers")).expect("the node listens");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer key-of-bibek\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all(format!("{head}{body}").as_bytes()).expect("the node reads the request");
    caller
}

#[test]
fn a_prompt_that_waited_while_all_engines_changed_weights_is_answered() {
    let mut options = TestEnvOptions { nodes: 1, replicas: 1, ..TestEnvOptions::default() };
    let engines = ["one", "two"].map(|id| {
        json!({"id": id, "model": "mechanic", "failure_domain": "patan", "max_batch": 1,
               "token_us": 50_000, "load_lag_ms": 20})
    });
    options.emulator["engines"] = json!(engines);
    let env = TestEnv::start(options);
    // Each engine admits twice its batch size of 1; these prompts occupy both until their
    // connections are closed.
    let busy: Vec<TcpStream> = (0..4).map(|n| start_endless_prompt(&env, n)).collect();
    wait_for("the engines are full", || (env.status(0)["running"] == 4).then_some(()));
    let asked = std::thread::scope(|scope| {
        let asking =
            scope.spawn(|| env.send_prompt(0, "anna", "asked under the weights of before", 2));
        wait_for("the prompt is queued", || (env.status(0)["waiting"] == 1).then_some(()));
        let patch = json!({"models": {"mechanic": {"next_version": "v2"}}});
        patch_until_answered(&env, &[0], 1, "roll", &patch);
        wait_for("both engines have loaded the new weights", || {
            (env.status(0)["engines"].as_array()?.iter().all(|engine| engine["weights"] == "v2"))
                .then_some(())
        });
        drop(busy);
        asking.join().expect("the thread does not panic")
    });
    let status = asked.status();
    assert!(status.is_success(), "{status}: {}", asked.text().unwrap_or_default());
}

#[test]
fn a_prompt_that_no_engine_can_begin_in_time_is_refused_at_once() {
    let mut options = TestEnvOptions { nodes: 1, replicas: 1, ..TestEnvOptions::default() };
    options.emulator["engines"] = json!([
        {"id": "slow", "model": "mechanic", "failure_domain": "patan", "prefill_tokens_per_s": 100,
         "load_lag_ms": 20}
    ]);
    let env = TestEnv::start(options);
    let prompt = |text: &str, id: &str, deadline_ms: &str| {
        env.prompt_request(0, "anna", text, 2, false)
            .header("idempotency-key", id)
            .header("x-kumquatpost-deadline-ms", deadline_ms)
            .send()
            .expect("the node responds")
    };
    let refused = prompt(&"word ".repeat(1_000), "late", "2000");
    assert_eq!(refused.status(), 503);
    let retry_after = refused.headers()["retry-after"].to_str().expect("text").to_string();
    let body: Value = refused.json().expect("JSON");
    assert_eq!((execution_of(&body), &body["error"]["code"]), ("not_run", &json!("deadline")));
    assert!((7..=9).contains(&retry_after.parse().unwrap_or(0)), "{retry_after} s");
    assert_eq!(env.run_count("late"), 0);
    assert!(prompt("a short one", "early", "2000").status().is_success());
}
