//! Kills, freezes, cuts and damaged disks of real processes.

use std::io::{BufRead, BufReader};
use std::process::Command;

use serde_json::{Value, json};

use crate::serving::expected;
use crate::testenv::{Plan, Process, TestEnv, text, until};

fn execution(body: &Value) -> &str {
    body["error"]["execution"].as_str().unwrap_or("none")
}

fn priority(number: u64) -> Value {
    json!({"kinds": {"counter": {"priority": number % 8}}})
}

/// Sends a patch with the same id to one node after the other until one answers it for good.
fn patch_until_answered(
    env: &TestEnv,
    nodes: &[usize],
    base: u64,
    id: &str,
    patch: &Value,
) -> Value {
    let mut turn = 0;
    until("the patch is answered", || {
        let node = nodes[turn % nodes.len()];
        turn += 1;
        let response = env.patch(node, base, id, patch).ok()?;
        (!response.status().is_server_error()).then(|| response.json().expect("JSON"))
    })
}

fn config_number(env: &TestEnv, node: usize) -> Option<u64> {
    let url = format!("{}/v1/config", env.operators(node));
    let response = env.client.get(url).send().ok()?;
    let body: Value = response.error_for_status().ok()?.json().ok()?;
    body["number"].as_u64()
}

#[test]
fn a_leader_killed_in_mid_patch_neither_loses_nor_doubles_it() {
    let mut env = TestEnv::start(Plan::default());
    let leader = env.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    std::thread::scope(|scope| {
        let sender = scope.spawn(|| env.patch(leader, 1, "mid", &priority(5)).is_ok());
        env.nodes[leader].signal("KILL");
        drop(sender.join());
    });
    // Its answer may be lost: the operator resends it elsewhere.
    let first = patch_until_answered(&env, &others, 1, "mid", &priority(5));
    assert_eq!(first["number"], 2);
    let second = patch_until_answered(&env, &others, 2, "next", &priority(6));
    assert_eq!(second["number"], 3);
    assert_eq!(patch_until_answered(&env, &others, 1, "mid", &priority(5)), first, "again");
    env.nodes[leader].kill();
    env.restart(leader);
    env.until_ready(leader);
    assert_eq!(patch_until_answered(&env, &[leader], 1, "mid", &priority(5)), first, "and there");
    assert_eq!(config_number(&env, leader), Some(3));
}

#[test]
fn of_two_operators_at_two_nodes_exactly_one_wins_each_number() {
    let env = TestEnv::start(Plan::default());
    for base in 1..6 {
        let answers: Vec<u16> = std::thread::scope(|scope| {
            let send = |node: usize| {
                let env = &env;
                scope.spawn(move || {
                    let id = format!("{base}-{node}");
                    env.patch(node, base, &id, &priority(base)).expect("answered").status().as_u16()
                })
            };
            let racing: Vec<_> = (0..3).map(send).collect();
            racing.into_iter().map(|one| one.join().expect("it ends")).collect()
        });
        assert_eq!(answers.iter().filter(|status| **status == 200).count(), 1, "{answers:?}");
        assert_eq!(answers.iter().filter(|status| **status == 412).count(), 2, "{answers:?}");
    }
}

#[test]
fn a_node_frozen_past_its_lease_admits_nothing_until_it_is_fresh_again() {
    let env = TestEnv::start(Plan::default());
    let frozen = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != frozen).collect();
    env.nodes[frozen].signal("STOP");
    let remove = json!({"accounts": {"anna": null}});
    let answer = patch_until_answered(&env, &others, 1, "remove", &remove);
    assert_eq!(answer["number"], 2);
    until("the removal is in force everywhere", || {
        let in_force = |node: &usize| env.status(*node)["replica"]["in_force"].as_u64() == Some(2);
        others.iter().any(in_force).then_some(())
    });
    // From now on no node may serve the account, whenever the frozen one goes on.
    env.nodes[frozen].signal("CONT");
    until("the account is unknown at the woken node too", || {
        let response = env.ask(frozen, "anna", "still here?", 2);
        assert!(!response.status().is_success(), "the old configuration came back");
        let body: Value = response.json().expect("JSON");
        assert_eq!(execution(&body), "not_run");
        (body["error"]["code"] == "wrong_key").then_some(())
    });
}

#[test]
fn a_cut_off_node_stops_admitting_and_never_shows_an_older_number() {
    let env = TestEnv::start(Plan::default());
    let lone = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != lone).collect();
    env.cut(lone, &others);
    until("it turns not ready", || {
        let ready = env.client.get(format!("{}/health/ready", env.callers(lone))).send();
        ready.is_ok_and(|response| response.status() == 503).then_some(())
    });
    let refused = env.ask(lone, "anna", "anyone?", 2);
    assert!(refused.headers().contains_key("retry-after"));
    let body: Value = refused.json().expect("JSON");
    assert_eq!((execution(&body), &body["error"]["code"]), ("not_run", &json!("not_fresh")));
    assert_eq!(config_number(&env, lone), None, "it can't know the newest number");
    let mut base = 1;
    for number in 0..20 {
        let answer =
            patch_until_answered(&env, &others, base, &format!("p{number}"), &priority(number));
        base = answer["number"].as_u64().expect("a number");
    }
    env.cut(lone, &[]);
    until("it is ready again", || {
        let number = config_number(&env, lone);
        assert!(number.is_none_or(|number| number == base), "an older number: {number:?}");
        let ready = env.client.get(format!("{}/health/ready", env.callers(lone))).send();
        ready.is_ok_and(|response| response.status().is_success()).then_some(())
    });
    assert_eq!(env.status(lone)["number"].as_u64(), Some(base));
}

#[test]
fn a_replica_that_was_away_for_hundreds_of_changes_comes_back_by_itself() {
    let mut env = TestEnv::start(Plan::default());
    let away = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != away).collect();
    env.nodes[away].kill();
    let mut base = 1;
    for number in 0..300 {
        let answer =
            patch_until_answered(&env, &others, base, &format!("p{number}"), &priority(number));
        base = answer["number"].as_u64().expect("a number");
    }
    env.restart(away);
    env.until_ready(away);
    until("its replica has caught up", || {
        (env.status(away)["replica"]["number"].as_u64() == Some(base)).then_some(())
    });
    let again = patch_until_answered(&env, &[away], 1, "p0", &priority(0));
    assert_eq!(again["number"], 2, "a resend gets the first answer, hundreds of numbers later");
}

#[test]
fn a_cut_log_file_is_noticed_and_mended_from_the_others() {
    let mut env = TestEnv::start(Plan::default());
    let leader = env.leader();
    let hurt = (leader + 1) % 3;
    let mut base = 1;
    for number in 0..20 {
        let answer =
            patch_until_answered(&env, &[leader], base, &format!("p{number}"), &priority(number));
        base = answer["number"].as_u64().expect("a number");
    }
    env.nodes[hurt].kill();
    let log = env.folder.path().join(format!("data-{}/log", hurt + 1));
    let length = std::fs::metadata(&log).expect("the log").len();
    let file = std::fs::OpenOptions::new().write(true).open(&log).expect("the log");
    file.set_len(length * 2 / 3 + 1).expect("cut");
    env.restart(hurt);
    env.until_ready(hurt);
    until("it has caught up and counts again", || {
        let replica = env.status(hurt)["replica"].clone();
        let caught_up = replica["number"].as_u64() == Some(base) && replica["recovering"] == false;
        caught_up.then_some(())
    });
}

#[test]
fn a_replica_with_a_full_disk_says_so_and_the_others_go_on() {
    let mut env = TestEnv::start(Plan::default());
    let full = (env.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != full).collect();
    env.nodes[full].kill();
    // Files may not grow beyond what they are: the shell hands the limit on.
    let script = "trap '' XFSZ; ulimit -f 2; exec \"$0\" serve --settings \"$1\"";
    let mut child = Command::new("sh")
        .args(["-c", script, env!("CARGO_BIN_EXE_kumquatpost"), text(&env.settings[full])])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the shell starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("its output is piped");
    BufReader::new(stdout).read_line(&mut line).expect("its output can be read");
    env.nodes[full] = Process::adopt(child, &line);
    env.until_ready(full);
    let mut base = 1;
    until("its disk is full", || {
        let id = format!("p{base}");
        let padding = "x".repeat(500);
        let patch = json!({"kinds": {padding: {"priority": 1}}});
        let answer = patch_until_answered(&env, &others, base, &id, &patch);
        base = answer["number"].as_u64().expect("a number");
        (env.status(full)["replica"]["stopped"] == true).then_some(())
    });
    let answer = patch_until_answered(&env, &others, base, "after", &priority(2));
    assert_eq!(answer["number"].as_u64(), Some(base + 1), "the others go on");
    assert!(
        env.ask(full, "anna", "still serving?", 2).status().is_success(),
        "as a node it serves"
    );
}

#[test]
fn a_planned_stop_cuts_off_no_request_in_progress() {
    let mut env = TestEnv::start(Plan::default());
    let prompt = "a long diagnosis";
    let response = env.prompt(0, "anna", prompt, 400, true).send().expect("an answer");
    let mut lines = BufReader::new(response).lines();
    lines.next().expect("a first chunk").expect("it can be read");
    env.nodes[0].signal("TERM");
    let ready = format!("{}/health/ready", env.callers(0));
    until("it turns not ready", || {
        env.client.get(&ready).send().map_or(true, |r| r.status() == 503).then_some(())
    });
    let refused = env.prompt(0, "anna", "too late", 2, false).send();
    if let Ok(refused) = refused {
        let body: Value = refused.json().expect("JSON");
        assert_eq!(
            (execution(&body), &body["error"]["code"]),
            ("not_run", &json!("shutting_down"))
        );
    }
    let rest: Vec<String> = lines.map(|line| line.expect("it can be read")).collect();
    assert!(rest.iter().any(|line| line == "data: [DONE]"), "the answer is whole");
    assert_eq!(env.nodes[0].exit_code(), Some(0));
}

#[test]
fn an_answer_survives_the_death_of_its_engine() {
    let env = TestEnv::start(Plan::default());
    let prompt = "survive this";
    // The deadline is for the first token; when the engine dies it has passed.
    let response = env
        .prompt(1, "bibek", prompt, 600, true)
        .header("x-kumquatpost-deadline-ms", "500")
        .send()
        .expect("an answer");
    let mut lines = BufReader::new(response).lines();
    let mut whole = String::new();
    for line in lines.by_ref().take(2 * 300) {
        push_content(&mut whole, &line.expect("it can be read"));
    }
    let running = until("an engine runs it", || {
        let status = env.status(1);
        let engines = status["engines"].as_array().expect("engines").clone();
        let busy = engines.iter().find(|engine| engine["running"].as_u64() > Some(0));
        busy.map(|engine| engine["target"].as_str().expect("its name").to_string())
    });
    env.set_fault(&running, json!("die"));
    for line in lines {
        push_content(&mut whole, &line.expect("it can be read"));
    }
    assert_eq!(whole, expected("bibek", prompt, 600), "one whole answer");
}

/// Adds the text that a line of a stream carries.
fn push_content(text: &mut String, line: &str) {
    let Some(data) = line.strip_prefix("data: ") else { return };
    let Ok(chunk) = serde_json::from_str::<Value>(data) else { return };
    text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
}

#[test]
fn broken_and_crossed_streams_end_in_the_callers_own_whole_answer_or_none() {
    let env = TestEnv::start(Plan::default());
    let cases = [
        ("broken once", json!({"break_after_tokens": 3, "break_count": 1})),
        ("crossed", json!({"crossed": true})),
        ("refusing", json!({"refuse": true})),
        ("broken at once", json!({"break_after_tokens": 0, "break_count": 2})),
    ];
    for (what, knobs) in cases {
        for target in ["engine-0", "engine-1"] {
            env.set_fault(target, json!({"set": knobs}));
        }
        for number in 0..6 {
            let prompt = format!("{what} {number}");
            let body: Value = env.ask(number % 3, "anna", &prompt, 8).json().expect("JSON");
            let content = &body["choices"][0]["message"]["content"];
            assert_eq!(content, &json!(expected("anna", &prompt, 8)), "{what}: {body}");
        }
        for target in ["engine-0", "engine-1"] {
            env.set_fault(target, json!({"set": {}}));
        }
    }
    // With every engine crossing, there is no answer rather than a wrong one.
    for target in ["engine-0", "engine-1", "engine-2"] {
        env.set_fault(target, json!({"set": {"crossed": true}}));
    }
    let response = env.ask(0, "anna", "all crossed", 8);
    assert!(response.status().is_server_error());
    let body: Value = response.json().expect("JSON");
    assert_eq!(execution(&body), "may_have_run");
}

#[test]
fn an_order_runs_at_most_once_whatever_is_resent_and_whoever_dies() {
    let mut env = TestEnv::start(Plan::default());
    // The answer is recorded: a resend at any node gets it again.
    let first = env.order(0, "anna", "order-1", "gear").expect("answered").text().expect("text");
    for node in 0..3 {
        let again = env.order(node, "anna", "order-1", "gear").expect("answered");
        assert!(again.status().is_success());
        assert_eq!(again.text().expect("text"), first);
    }
    assert_eq!(env.runs("order-1"), 1);
    let other = env.order(1, "anna", "order-1", "shaft").expect("answered");
    assert_eq!(other.status(), 422, "the same id with other content");
    assert_eq!(
        env.order(1, "bibek", "order-1", "gear").expect("answered").status(),
        200,
        "another account's"
    );
    assert_eq!(env.runs("order-1"), 2, "once for each account");

    // The call breaks off after it ran: unknown outcome, and never a second run.
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {"break_after_tokens": 0}}));
    }
    let broken: Value =
        env.order(0, "anna", "order-2", "gear").expect("answered").json().expect("JSON");
    assert_eq!(execution(&broken), "may_have_run");
    for node in 0..3 {
        let again = env.order(node, "anna", "order-2", "gear").expect("answered");
        assert_eq!(again.status(), 409);
        assert_eq!(execution(&again.json().expect("JSON")), "may_have_run");
    }
    assert_eq!(env.runs("order-2"), 1);

    // Nothing takes it: provably not run, so a later resend runs it.
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {"refuse": true}}));
    }
    let refused: Value =
        env.order(0, "anna", "order-3", "gear").expect("answered").json().expect("JSON");
    assert_eq!(execution(&refused), "not_run");
    assert_eq!(env.runs("order-3"), 0);
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {}}));
    }
    until("the claim was given back", || {
        env.order(2, "anna", "order-3", "gear").is_ok_and(|r| r.status().is_success()).then_some(())
    });
    assert_eq!(env.runs("order-3"), 1);

    // The node that holds the claim is killed while the call runs.
    for target in ["order-0", "order-1"] {
        env.set_fault(target, json!({"set": {"delay_ms": 1500}}));
    }
    std::thread::scope(|scope| {
        let sender = scope.spawn(|| env.order(0, "anna", "order-4", "gear").is_ok());
        until("it runs", || (env.runs("order-4") == 1).then_some(()));
        env.nodes[0].signal("KILL");
        drop(sender.join());
    });
    env.nodes[0].kill();
    let resent = until("another node answers", || {
        let response = env.order(1, "anna", "order-4", "gear").ok()?;
        (response.status() != 503).then_some(response)
    });
    assert_eq!(resent.status(), 409);
    assert_eq!(execution(&resent.json().expect("JSON")), "may_have_run");
    assert_eq!(env.runs("order-4"), 1);
}

#[test]
fn a_leaving_target_gets_no_new_work_also_from_a_node_that_can_not_read_the_list() {
    let env = TestEnv::start(Plan::default());
    env.set_fault("engine-1", json!("leave"));
    until("every node knows", || {
        let knows = |node: usize| {
            let engines = env.status(node)["engines"].clone();
            let engines = engines.as_array().expect("engines").clone();
            engines.iter().any(|e| e["target"] == "engine-1" && e["takes_work"] == false)
        };
        (0..3).all(knows).then_some(())
    });
    let before = env.ledger()["by_target"]["engine-1"].as_u64();
    for number in 0..30 {
        assert!(env.ask(number % 3, "anna", &format!("leave {number}"), 2).status().is_success());
    }
    assert_eq!(env.ledger()["by_target"]["engine-1"].as_u64(), before);
}

#[test]
fn a_damaged_or_lost_kept_block_is_recomputed_never_used() {
    let env = TestEnv::start(Plan::default());
    let history = "tooth wear ".repeat(700);
    let ask = |prompt: &str| -> Value { env.ask(0, "anna", prompt, 4).json().expect("JSON") };
    let check = |body: &Value, prompt: &str| {
        let content = &body["choices"][0]["message"]["content"];
        assert_eq!(content, &json!(expected("anna", prompt, 4)));
    };
    check(&ask(&history), &history);
    until("it is exported", || (env.ledger()["export_bytes"].as_u64() > Some(0)).then_some(()));
    // All engines lose their caches; what the stores send is damaged.
    for target in ["store-0", "store-1"] {
        env.set_fault(target, json!({"set": {"damage": true}}));
    }
    for target in ["engine-0", "engine-1", "engine-2"] {
        env.set_fault(target, json!("restart"));
    }
    until("an import was tried and refused", || {
        let prompt = format!("{history} and now?");
        let response = env.ask(0, "anna", &prompt, 4);
        if response.status().is_success() {
            check(&response.json().expect("JSON"), &prompt);
        }
        (env.ledger()["failed_imports"].as_u64() > Some(0)).then_some(())
    });
    assert_eq!(env.ledger()["imported_tokens"].as_u64(), Some(0));
}

#[test]
fn a_weight_roll_out_goes_on_over_a_change_of_leader_and_no_request_fails() {
    let mut plan = Plan::default();
    let engines: Vec<Value> = (0..6)
        .map(|i| {
            let domain = ["patan", "bhaktapur", "kirtipur"][i % 3];
            json!({"id": format!("engine-{i}"), "model": "mechanic", "failure_domain": domain,
                   "load_lag_ms": 20, "checks_fencing": i % 2 == 0})
        })
        .collect();
    plan.emulator["engines"] = json!(engines);
    let mut env = TestEnv::start(plan);
    let leader = env.leader();
    let others: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    let next = json!({"models": {"mechanic": {"next_version": "v2"}}});
    patch_until_answered(&env, &others, 1, "roll", &next);
    until("the first engines were ordered", || {
        let orders = env.ledger()["orders"].as_object().map_or(0, serde_json::Map::len);
        (orders > 0).then_some(())
    });
    env.nodes[leader].kill();
    let mut asked = 0;
    until("all engines were ordered", || {
        asked += 1;
        let response = env.ask(others[asked % 2], "anna", &format!("meanwhile {asked}"), 2);
        assert!(response.status().is_success(), "{}", response.text().unwrap_or_default());
        let orders = env.ledger()["orders"].as_object().map_or(0, serde_json::Map::len);
        (orders == 6).then_some(())
    });
    for (engine, fencing) in env.ledger()["orders"].as_object().expect("orders") {
        let numbers: Vec<u64> =
            fencing.as_array().expect("numbers").iter().filter_map(Value::as_u64).collect();
        assert!(numbers.is_sorted(), "{engine}: {numbers:?}");
    }
}

#[test]
fn a_prompt_that_no_engine_can_begin_in_time_is_refused_at_once() {
    let mut plan = Plan { nodes: 1, replicas: 1, ..Plan::default() };
    plan.emulator["engines"] = json!([
        {"id": "slow", "model": "mechanic", "failure_domain": "patan", "prefill_tokens_per_s": 100,
         "load_lag_ms": 20}
    ]);
    let env = TestEnv::start(plan);
    let prompt = |text: &str, id: &str, deadline_ms: &str| {
        env.prompt(0, "anna", text, 2, false)
            .header("idempotency-key", id)
            .header("x-kumquatpost-deadline-ms", deadline_ms)
            .send()
            .expect("answered")
    };
    let refused = prompt(&"word ".repeat(1_000), "late", "2000");
    assert_eq!(refused.status(), 503);
    let retry_after = refused.headers()["retry-after"].to_str().expect("text").to_string();
    let body: Value = refused.json().expect("JSON");
    assert_eq!((execution(&body), &body["error"]["code"]), ("not_run", &json!("deadline")));
    assert!((7..=9).contains(&retry_after.parse().unwrap_or(0)), "{retry_after} s");
    assert_eq!(env.runs("late"), 0);
    assert!(prompt("a short one", "early", "2000").status().is_success());
}

#[test]
fn a_node_whose_relay_dies_stays_ready() {
    let mut env = TestEnv::start(Plan { nodes: 4, ..Plan::default() });
    // Nodes 0 and 3 share a failure domain, and 0 is the relay. It must not lead the log, else
    // this would be a test of the election.
    while env.leader() == 0 {
        env.nodes[0].kill();
        until("another one leads", || (env.status(1)["replica"]["leader"] != 1).then_some(()));
        env.restart(0);
        env.until_ready(0);
    }
    env.nodes[0].kill();
    until("the relay is taken for dead", || {
        let ready = env.client.get(format!("{}/health/ready", env.callers(3))).send();
        assert!(ready.is_ok_and(|response| response.status().is_success()), "it stays ready");
        let live = env.status(3)["live"].as_array().expect("live nodes").clone();
        live.iter().all(|member| member["node"] != 1).then_some(())
    });
    assert!(env.ask(3, "anna", "still fresh?", 2).status().is_success());
}
