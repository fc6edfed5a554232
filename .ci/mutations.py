#!/usr/bin/env python3
"""Removes one safeguard at a time from a scratch copy and expects the named test to fail.

Usage: .ci/mutations.py [WORD]   only the mutations whose name contains WORD
"""
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading

# name, file, text, replacement, test target, test filter
MUTATIONS = [
    ("vote twice in a term", "src/log/raft/election.rs",
     "let free = self.vote.voted_for.is_none_or(|voted_for| voted_for == from);", "let free = true;", "logic", "log_schedules"),
    ("vote for a shorter log", "src/log/raft/election.rs",
     "            && free\n            && last >= self.log.last()", "            && free", "logic", "votes"),
    ("vote while a leader may count on us", "src/log/raft/election.rs",
     "        if self.has_live_leader(now) {\n            return;\n        }", "", "logic", "votes"),
    ("vote while recovering", "src/log/raft/election.rs",
     "            && self.recovering.is_none()\n            && matches!", "            && matches!", "logic", "votes"),
    ("stand while recovering", "src/log/raft/election.rs",
     "self.members.voters.contains(&self.id) && self.recovering.is_none()", "self.members.voters.contains(&self.id)", "logic", "log_schedules"),
    ("no pre-vote", "src/log/raft/election.rs",
     "let granted =\n            term > self.vote.term && last >= self.log.last() && !self.has_live_leader(now);", "let granted = true;", "logic", "votes"),
    ("acknowledge before it is durable", "src/log/raft/replication.rs",
     "        self.effects.late.push((to, reply));", "        self.effects.early.push((to, reply));", "logic", "log_schedules"),
    ("a leader counts what it has not synced", "src/log/raft/replication.rs",
     "let own = self.persisted;", "let own = self.log.last_index();", "logic", "leading"),
    ("commit entries of earlier terms by counting", "src/log/raft/replication.rs",
     "&& self.log.term_at(candidate) == Some(self.vote.term)", "", "logic", "leading"),
    ("a minority commits", "src/log/raft/replication.rs",
     "values.get(quorum - 1)", "values.get(quorum.saturating_sub(2))", "logic", "log_schedules"),
    ("append without a matching entry before", "src/log/raft/replication.rs",
     "&& self.log.term_at(prev_index) != Some(prev_term)", "&& false", "logic", "log_schedules"),
    ("read without a quorum", "src/log/raft/replication.rs",
     "self.round.is_some_and(|round| round <= confirmed)", "true", "logic", "replicas::an_isolated"),
    ("no check-quorum", "src/log/raft/mod.rs",
     "if now >= leader.confirmed_at + self.timing.election * 2 {", "if false {", "logic", "replicas::an_isolated"),
    ("sure to lead for too long", "src/log/raft/mod.rs",
     "self.commit >= leader.first_index && now < leader.confirmed_at + safe", "self.commit >= leader.first_index", "logic", "log"),
    ("two changes of replicas at once", "src/log/raft/change.rs",
     "self.log.members_index() > self.commit || self.commit < leader.first_index", "false", "logic", "replicas::only_one"),
    ("promote a learner that lacks entries", "src/log/raft/change.rs",
     "if matched + CAUGHT_UP_WITHIN < self.log.last_index() || matched == 0 {", "if false {", "logic", "replicas::a_learner"),
    ("a failed disk goes on", "src/log/raft/mod.rs",
     "        self.stopped = true;", "", "logic", "replicas::a_replica_whose_disk"),
    ("lost bytes are not noticed", "src/log/disk.rs",
     "let lost = marked_lost || marked_bytes > valid_bytes;", "let lost = false;", "logic", "disk"),
    ("a loss is forgotten at the next start", "src/log/disk.rs",
     "let lost = marked_lost || marked_bytes > valid_bytes;", "let lost = marked_bytes > valid_bytes;", "logic", "disk"),
    ("records without a checksum", "src/log/disk.rs",
     "if crc32fast::hash(body) != checksum {", "if false && checksum == 0 {", "logic", "disk"),
    ("a log without its vote is used", "src/log/disk.rs",
     "let without_vote = vote.is_none() && was_used;", "let without_vote = false && was_used;", "logic", "disk"),
    ("two processes share a folder", "src/log/disk.rs",
     "        lock.try_lock().map_err", "        Ok::<(), ()>(()).map_err", "logic", "disk"),
    ("a patch against an old number wins", "src/log/state.rs",
     "if patch.base != self.book.number() {", "if false {", "logic", "configuration"),
    ("resent patches are not remembered", "src/log/state.rs",
     "if let Some((first, answer)) = self.answers.get(&patch.patch_id) {", "if let Some((first, answer)) = self.answers.get(&patch.patch_id).filter(|_| false) {", "logic", "configuration"),
    ("answers are not in the snapshot", "src/log/state.rs",
     "answers: answers.collect(),", "answers: answers.take(0).collect(),", "logic", "configuration"),
    ("a lower number is applied", "src/config/book.rs",
     "        if number < self.number() {\n            return Err(Unusable::Older);\n        }", "", "logic", "configuration"),
    ("a lease counts from its answer", "src/lease.rs",
     "self.ends = self.ends.max(sent_at + safe);", "self.ends = self.ends.max(sent_at + safe * 2);", "logic", "lease"),
    ("a relay's leases outlast its own", "src/lease.rs",
     "let lasts = self.lease.min(own_remaining);", "let lasts = if own_remaining.is_zero() { own_remaining } else { self.lease };", "logic", "lease"),
    ("a new grantor knows all leases", "src/lease.rs",
     "unknown_until: now + lease,", "unknown_until: now,", "logic", "lease"),
    ("leases end at once in the books", "src/lease.rs",
     "let live = self.children.values().filter(|granted| granted.ends > now);", "let live = self.children.values().filter(|granted| granted.ends > now + self.lease);", "logic", "lease"),
    ("a held claim is granted again", "src/claims.rs",
     "Progress::Held => return ClaimAnswer::Held(claim.token),", "Progress::Held => {}", "logic", "claims"),
    ("the same id with other content", "src/claims.rs",
     "_ if claim.digest != digest => return ClaimAnswer::IdReused,", "", "logic", "claims"),
    ("a release by anybody", "src/claims.rs",
     "Some(claim) if claim.token == token && claim.progress == Progress::Held => {", "Some(claim) if claim.progress == Progress::Held => {", "logic", "claims"),
    ("a claim after its release", "src/claims.rs",
     "Progress::Released if claim.token == token => return ClaimAnswer::Withdrawn,", "", "logic", "claims"),
    ("claims forgotten too early", "src/claims.rs",
     "&& at_ms + self.retention_ms < self.now_ms", "&& at_ms < self.now_ms", "logic", "claims"),
    ("a crossed chunk is relayed", "src/entry/relay.rs",
     "if chunk.id != self.expected_id {", "if false {", "logic", "relay"),
    ("two generations are spliced", "src/entry/relay.rs",
     "if !text.is_char_boundary(common) || text[..common] != missing[..common] {", "if !text.is_char_boundary(common) {", "logic", "relay"),
    ("an early end mark counts", "src/entry/relay.rs",
     "if self.finish.is_none() || self.repeated < self.sent.len() {", "if false {", "logic", "relay"),
    ("a copy that is being written is handed out", "src/whereabouts/catalog.rs",
     "context.copies.iter_mut().filter(|copy| copy.state == CopyState::Committed);", "context.copies.iter_mut().filter(|copy| copy.state != CopyState::Freeing);", "logic", "catalog"),
    ("a copy that is being freed is handed out", "src/whereabouts/catalog.rs",
     "context.copies.iter_mut().filter(|copy| copy.state == CopyState::Committed);", "context.copies.iter_mut().filter(|copy| !matches!(copy.state, CopyState::Writing { .. }));", "logic", "catalog"),
    ("freed under a reader", "src/whereabouts/catalog.rs",
     ".filter(|copy| copy.state == CopyState::Freeing && copy.pinned_until <= now)", ".filter(|copy| copy.state == CopyState::Freeing)", "logic", "catalog"),
    ("a new owner frees at once", "src/whereabouts/catalog.rs",
     "                    // Pins that an earlier owner granted may last that long.\n                    pinned_until: now + PIN,",
     "                    pinned_until: now,", "logic", "catalog"),
    ("a late write counts", "src/whereabouts/catalog.rs",
     "if !matches!(copy.state, CopyState::Writing { .. }) {", "if false {", "logic", "catalog"),
    ("keys without the account", "src/prompt.rs",
     "for part in [&owner.account, &owner.model,", "for part in [&owner.model, &owner.model,", "logic", "catalog"),
    ("keys without the weight version", "src/prompt.rs",
     "&owner.weight_version, &owner.adapter]", "&owner.adapter, &owner.adapter]", "logic", "catalog"),
    ("another prompt's copy is imported", "src/route/decide.rs",
     "if blocks == 0 || ask.chain.keys.get(blocks - 1) != Some(&object.key) {", "if blocks == 0 {", "logic", "decide"),
    ("an engine of another version is chosen", "src/route/decide.rs",
     "report.weight_version.as_ref() == Some(ask.weight_version)\n                && ", "", "logic", "decide"),
    ("leaving is taken back", "src/route/targets.rs",
     "self.leaving.get(&target.id).is_none_or(|leaving| *leaving < target.incarnation)", "target.presence == Presence::Live", "logic", "targets"),
    ("a datagram is taken twice", "src/peer/auth.rs",
     "if behind >= WINDOW || self.taken & (1 << behind) != 0 {", "if behind >= WINDOW {", "logic", "auth"),
    ("frames may be moved", "src/peer/auth.rs",
     "hasher.update(&self.next.to_le_bytes()).update(", "hasher.update(", "logic", "auth"),
    ("the queue has no bound", "src/limits/admission.rs",
     "if self.waiting >= self.queue_len {", "if false {", "logic", "admission"),
    ("low priority starves", "src/limits/admission.rs",
     "if self.picks.is_multiple_of(OLDEST_FIRST_ONE_IN) {", "if false {", "logic", "admission"),
    ("admits without a lease", "src/node/freshness.rs",
     "self.holder.is_fresh(now).then(|| self.book.newest().clone())", "Some(self.book.newest().clone())", "process", "frozen"),
    ("a shutdown does not wait", "src/node/mod.rs",
     "while self.places.running() + self.places.waiting() > 0 && boot_now() < end {", "while false && boot_now() < end {", "process", "planned_stop"),
    ("an order is retried after it may have run", "src/entry/services.rs",
     "                return Err(failed(&instance, &reason, true));", "                last = failed(&instance, &reason, true);", "process", "an_order_runs"),
    ("no claim before an order", "src/entry/services.rs",
     "    if call.repeatable {\n        let _place", "    if call.repeatable || true {\n        let _place", "process", "an_order_runs"),
    ("a damaged import is used", "src/emulator/transfer.rs",
     "(crc32fast::hash(&content) == object.checksum).then_some(())", "Some(())", "process", "damaged"),
    ("platform: an older deployment takes force", "src/control/state.rs",
     "if newest.is_none_or(|newest| published.version() > newest) {", "if newest.is_none_or(|_| true) {", "deployment", "state"),
    ("platform: leaving is taken back", "src/fleet/roster.rs",
     "                *lists = 0;\n                entry.presence = Presence::Leaving;", "                *lists = 0;", "deployment", "roster"),
    ("platform: starts: a later start is its earlier one", "src/ids.rs",
     "    pub fn may_be_born(&self, born_ms: Option<BirthMs>) -> bool {\n        may_be_same_birth(self.born_ms, born_ms)",
     "    pub fn may_be_born(&self, born_ms: Option<BirthMs>) -> bool {\n        may_be_same_birth(self.born_ms, born_ms) || true", "deployment", "orders"),
    ("platform: starts: births of the list are ignored", "platform/instances.rs",
     "start: TargetStart { id: instance.id, born_ms: instance.born_ms },",
     "start: TargetStart { id: instance.id, born_ms: instance.born_ms.filter(|_| false) },", "deployment", "instances"),
    ("platform: starts: a start that was replaced comes back", "src/fleet/roster.rs",
     "                self.over.insert(known.start.clone(), 0);\n            }\n        }",
     "                let _ = known;\n            }\n        }", "deployment", "roster"),
    ("platform: starts: late news of an earlier start end the later one", "src/fleet/roster.rs",
     "                entry.clone_from(known);", "                let _ = known;", "deployment", "roster"),
    ("platform: starts: a later start is taken to run the earlier one's weights", "src/fleet/roster.rs",
     "if entry.start == known.start {", "if entry.start.id == known.start.id {", "deployment", "roster"),
    ("platform: starts: weights of an earlier start are set for the later one", "src/fleet/roster.rs",
     "self.targets.get_mut(&start.id).filter(|target| target.start == *start);",
     "self.targets.get_mut(&start.id).filter(|target| target.start.id == start.id);", "deployment", "roster"),
    ("platform: starts: what left is remembered for ever", "src/fleet/roster.rs",
     "            *lists < most\n", "            *lists < most || true\n", "deployment", "roster"),
    ("platform: starts: births that are told no more end all targets", "src/fleet/roster.rs",
     "if entry.start.born_ms.is_none() {", "if false && entry.start.born_ms.is_none() {", "deployment", "roster"),
    ("platform: starts: of two starts in one list any is taken", "src/fleet/roster.rs",
     "Some(start) if new.any(|other| other != start) => return None,",
     "Some(start) if false && new.any(|other| other != start) => return None,", "deployment", "roster"),
    ("platform: starts: two addresses of one start hold", "src/fleet/roster.rs",
     "    is_same.then_some(first)", "    (is_same || true).then_some(first)", "deployment", "roster"),
    ("platform: starts: an order after the engine has started again", "src/control/ordering.rs",
     "self.shared.roster.borrow().roster.get(&target.start).is_some()",
     "self.shared.roster.borrow().roster.get(&target.start).is_some() || true", "deployment", "orders"),
    ("platform: starts: a missing entry loses what an engine runs", "src/scheduler/plan.rs",
     "roster.get(start).is_some() || engine.placed() > 0", "roster.get(start).is_some() || engine.placed() > 1_000", "deployment", "starts"),
    ("platform: starts: a missing entry takes new prompts", "src/scheduler/plan.rs",
     "            engine.listed.presence = Presence::Leaving;\n        }\n        self.weights",
     "            let _ = engine;\n        }\n        self.weights", "deployment", "starts"),
    ("platform: starts: a store's later start goes on with what the earlier one did", "src/scheduler/store.rs",
     "self.epoch == other.epoch && may_be_same_birth(self.born_ms, other.born_ms)",
     "self.epoch == other.epoch || may_be_same_birth(self.born_ms, other.born_ms) && false", "deployment", "stores"),
    ("platform: starts: a connection outlives its start", "src/gateway/state.rs",
     "        if self.roster.borrow().roster.get(target).is_some() {\n            self.pool",
     "        if self.roster.borrow().number > 0 {\n            self.pool", "deployment", "earlier_start"),
    ("platform: entries: one that can't be read loses the page", "platform/instances.rs",
     "Err(error) => each_by_itself(&text, !is_text).ok_or(error),", "Err(error) => Err(error),", "deployment", "instances"),
    ("platform: entries: one without a birth is used", "src/fleet/listing.rs",
     "if self.targets.iter().any(|target| target.start.born_ms.is_some()) {", "if false {", "deployment", "instances"),
    ("platform: entries: a list of nothing that can be read is taken", "src/fleet/listing.rs",
     "if self.targets.is_empty() && self.unreadable_count > 0 {", "if false {", "deployment", "instances"),
    ("platform: entries: an id that can't be sent is used", "platform/instances.rs",
     "|| !instance.id.bytes().all(|byte| byte.is_ascii_graphic())", "", "deployment", "instances"),
    ("platform: entries: this host's own address is used", "platform/instances.rs",
     "address.port() != 0 && !ip.is_unspecified() &&", "address.port() != 0 &&", "deployment", "instances"),
    ("platform: entries: bytes that are no text are passed over", "platform/instances.rs",
     "if has_replacements && text.contains(char::REPLACEMENT_CHARACTER) {", "if false && has_replacements {", "deployment", "instances"),
    ("platform: entries: a line for each read", "src/control/unreadable.rs",
     "self.told_at.is_none_or(|at| now >= at + LINE_EVERY);", "true;", "deployment", "starts"),
    ("platform: entries: an unknown service is told weights", "src/control/weights.rs",
     "target.weights.contains_key(model) && is_of_engines(&target.service)",
     "target.weights.contains_key(model) && (is_of_engines(&target.service) || true)", "deployment", "weights"),
    ("platform: entries: one of a store's loses its list", "platform/stores.rs",
     "        list.map(inventory)\n    })", "        list.map(inventory).and_then(|_| Err(serde::de::Error::custom(\"\")))\n    })", "deployment", "stores"),
    ("platform: entries: a clock that can't be is believed", "platform/stores.rs",
     "(0.0..LATEST_MS).contains(&ms)", "(0.0..f64::MAX).contains(&ms)", "deployment", "stores"),
    ("platform: entries: a time that can't be is taken", "platform/settings.rs",
     "if !(0.0..=LONGEST_S).contains(&seconds) {", "if seconds.is_nan() {", "deployment", "settings"),
    ("platform: a part is fetched before it is whole", "src/scheduler/store.rs",
     "self.parts.get(&key).is_some_and(|kept| kept.state == KeptState::Whole)", "self.parts.contains_key(&key)", "deployment", "stores"),
    ("platform: a part is freed under a fetch", "src/scheduler/store.rs",
     "kept.state == KeptState::Whole && now >= kept.fetched_until + FREE_MARGIN", "kept.state == KeptState::Whole", "deployment", "stores"),
    ("platform: a new scheduler frees at once", "src/scheduler/plan.rs",
     "if now < self.frees_from {", "if false {", "deployment", "scheduling"),
    ("platform: parts without their weights", "src/scheduler/way.rs",
     "weight_version.unwrap_or_default()", "weight_version.map_or(0, |_| 0)", "deployment", "scheduling"),
    ("platform: parts without their wall", "src/scheduler/way.rs",
     "ask.wall, ask.model", "\"\", ask.model", "deployment", "scheduling"),
    ("platform: what may have run is sent again", "src/gateway/request.rs",
     "let may_repeat = !may_have_run || job.route.policy.may_repeat();", "let may_repeat = true;", "deployment", "gateway"),
    ("platform: another request's answer is relayed", "src/gateway/attempt.rs",
     "    if is_other {", "    if false && is_other {", "deployment", "gateway"),
    ("platform: a caller sets what only we may set", "platform/headers.rs",
     "!NOT_PASSED_ON.contains(name) && !named.contains(name)", "!named.contains(name)", "deployment", "headers"),
    ("platform: a broken stream looks whole", "src/gateway/relay.rs",
     "None if self.events.holds_part() =>", "None if false && self.events.holds_part() =>", "deployment", "gateway"),
    ("platform: placements outlive their entry", "src/control/scheduling.rs",
     "for ticket in self.entry.placed.take() {", "for ticket in self.entry.placed.take().into_iter().take(0) {", "deployment", "asking"),
    ("platform: retries beyond the share", "src/fleet/budget.rs",
     "if counts.retries.len() as f64 + 1.0 > allowed.max(1.0) {", "if false && allowed > 0.0 {", "deployment", "budget"),
    ("platform: a silent voter goes without a successor", "src/control/forming.rs",
     "if members.voters.len() > wanted {", "if lost.is_some() {", "deployment", "forming"),
    ("platform: prompts for an engine that changes weights", "src/scheduler/weights.rs",
     "self.changing.contains(engine) || self.doubted.contains(engine)",
     "self.doubted.contains(engine)", "deployment", "rollout"),
    ("platform: prompts on old weights for ever", "src/scheduler/weights.rs",
     "(!is_over).then_some(OLD_WEIGHTS_MS)", "(!is_over || true).then_some(OLD_WEIGHTS_MS)", "deployment", "rollout"),
    ("platform: an entry alone knows nothing of named weights", "src/gateway/state.rs",
     "            News::Weights(named) => self.take_named(named),", "            News::Weights(_) => {}", "deployment", "weights_alone"),
    ("platform: an entry alone places on old weights for ever", "src/fleet/placement.rs",
     "let cost_ms = ask.old_weights.cost_ms(named, has, BootTime::ZERO, begins_by)?;",
     "let cost_ms = ask.old_weights.cost_ms(named, has, BootTime::ZERO, begins_by).unwrap_or(0.0);", "deployment", "weights_alone"),
    ("platform: an entry alone counts the bound anew", "src/fleet/placement.rs",
     "ask.old_weights.cost_ms(named, has, BootTime::ZERO, begins_by)",
     "ask.old_weights.cost_ms(named, has, begins_by, begins_by)", "deployment", "placement"),
    ("platform: a prompt names no weights", "src/gateway/attempt.rs",
     "weight_version: chosen.weight_version,", "weight_version: chosen.weight_version.and(None),", "deployment", "weights_alone"),
    ("platform: an engine's word on its weights is forgotten", "src/gateway/attempt.rs",
     "gateway.fleet.borrow_mut().refused_weights(target, &prompt.model, has);", "let _ = (prompt, has);", "deployment", "weights_alone"),
    ("platform: engines of unknown weights run any", "src/fleet/placement.rs",
     "(None, Some(newest)) => Some((Some(newest), OLD_WEIGHTS_MS)),", "(None, Some(_)) => Some((None, OLD_WEIGHTS_MS)),", "deployment", "placement"),
    ("platform: an engine that does not answer its order holds up others", "src/control/ordering.rs",
     "Ordered::Unanswered => self.awaits(&target.start),", "Ordered::Unanswered => {}", "deployment", "engines_that_do_not_answer"),
    ("platform: all engines are told at once while orders go unanswered", "src/control/weights.rs",
     ".min(under_way_at_most.saturating_sub(under_way));", ".min(under_way_at_most.saturating_add(under_way));", "deployment", "weights::"),
    ("platform: engines that have missed most wait", "src/control/weights.rs",
     "        lagging.sort_by_key(|engine| engine.weights.get(model));\n", "", "deployment", "weights::"),
    ("platform: an engine with older weights than believed is not asked", "src/scheduler/plan.rs",
     "End::OtherWeights(has) => *has < known.weight_version,", "End::OtherWeights(_) => false,", "deployment", "scheduling"),
    ("platform: what an engine is found with does not reach the list", "src/control/scheduling.rs",
     "scheduling.shared.change_roster(|known| known.set_weights(&engine, weights));", "let _ = weights;", "deployment", "asking"),
    ("platform: weights named later prolong the bound", "src/scheduler/weights.rs",
     "self.since.range((above, Bound::Unbounded)).next()", "self.since.range((above, Bound::Unbounded)).last()", "deployment", "rollout"),
    ("platform: a naming heard of late is new", "src/control/weight_ages.rs",
     "if is_heard_at_once { recorded } else { recorded + RECORD_EVERY }", "if is_heard_at_once || true { recorded } else { recorded + RECORD_EVERY }", "deployment", "weights::"),
    ("platform: the age of a naming is lost with the processes", "src/control/weight_ages.rs",
     "is_due.then(|| Command::RecordAge", "(is_due && false).then(|| Command::RecordAge", "deployment", "weights"),
    ("platform: a recorded age falls", "src/control/state.rs",
     "*known = weights.age.max(*known);", "*known = weights.age;", "deployment", "state"),
    ("platform: a later time of a naming holds", "src/scheduler/weights.rs",
     "*known = since.min(*known);", "*known = since;", "deployment", "weights_alone"),
    ("platform: an engine whose weights are doubted gets prompts", "src/scheduler/plan.rs",
     "                    self.weights.doubted.insert(known.target);", "", "deployment", "scheduling"),
    ("platform: lists of a later leader count as older", "src/control/replica.rs",
     "if belief.leads { belief.term << ROSTERS_PER_TERM } else { 0 }",
     "if belief.leads { 0 << ROSTERS_PER_TERM } else { 0 }", "deployment", "roster"),
    ("platform: a lagging list takes weights back", "src/fleet/roster.rs",
     "*listed = (*listed).max(*version);", "let _ = (listed, version);", "deployment", "roster"),
    ("platform: a process goes on without a task", "src/essential.rs",
     "let _ = ended.send(name);", "std::mem::forget(ended);", "deployment", "essential"),
    ("platform: a caller's counts are taken as they are", "platform/headers.rs",
     "Some(count.min(MOST_TOKENS))", "Some(count.min(u64::MAX - MOST_TOKENS))", "deployment", "foreign_bytes"),
    ("platform: a slow link is never forgiven", "src/scheduler/link.rs",
     "let age = now.saturating_sub(self.measured_at).as_secs_f64();",
     "let age = now.saturating_sub(now.max(self.measured_at)).as_secs_f64();", "deployment", "links"),
    ("platform: an entry that has just started refuses", "src/gateway/request.rs",
     "    gateway.until_known(patience_at_start(call.deadline)).await;", "", "deployment", "just_started"),
    ("platform: lists with one number are taken for one", "src/control/frames.rs",
     "RosterName { number: self.number, digest: self.digest }",
     "RosterName { number: self.number, digest: self.digest.min(1) }", "deployment", "leaving"),
    ("platform: a change that makes another list is taken", "src/gateway/state.rs",
     "if changed.name() != name {", "if false {", "deployment", "gateway::a_change_of_another"),
    ("platform: a later list brings back who leaves", "src/control/frames.rs",
     "match Arc::make_mut(&mut roster).learn_leaving(&earlier.roster) {",
     "match Arc::make_mut(&mut roster).learn_leaving(&Roster::default()) {", "deployment", "leaving"),
    ("platform: an entry is deaf to lists that it does not take", "src/gateway/state.rs",
     "self.fleet.borrow_mut().leave(leaving.map(|listed| &listed.start));",
     "drop(leaving);", "deployment", "leaving"),
    ("platform: a list brings back who has left at an entry", "src/fleet/view.rs",
     "        if self.has_left {", "        if false {", "deployment", "leaving"),
    ("platform: sent to a target that is known to leave", "src/gateway/attempt.rs",
     "if !gateway.fleet.borrow().takes_work(&target) {", "if false {", "deployment", "leaving"),
    ("platform: who tells of an earlier list is told nothing", "src/control/replica.rs",
     "known if known == before => Lacking::Sender,", "known if known == before => Lacking::Nobody,",
     "deployment", "leaving"),
    ("platform: a leader that can't read the list asks nobody", "src/control/roster_reader.rs",
     "self.shared.tell(state, self.own, &ToReplica::RosterUnread);", "let _ = state;",
     "deployment", "reading"),
    ("platform: who is asked to read waits as before", "src/control/reading_turn.rs",
     "asked.map_or(silent, |asked| asked.min(silent))", "asked.map_or(silent, |asked| asked.max(silent))",
     "deployment", "reading"),
    ("platform: a read that began before it was asked for does", "src/control/reading_turn.rs",
     "self.asked_at.filter(|asked| began < *asked)", "self.asked_at.filter(|asked| began > *asked)",
     "deployment", "reading"),
]


LANES = 4


def verdict(copy, mutation):
    """Applies one mutation in a copy, runs its test, and takes the mutation back."""
    name, file, text, replacement, target, test = mutation
    path = copy / file
    original = path.read_text()
    if text not in original:
        return "stale"
    path.write_text(original.replace(text, replacement))
    command = ["cargo", "test", "-q", "--test", target, test]
    environment = {**os.environ, "CARGO_TARGET_DIR": str(copy / "target"), "RUST_BACKTRACE": "0"}
    run = subprocess.run(command, cwd=copy, env=environment, capture_output=True, text=True)
    path.write_text(original)
    if "test result" not in run.stdout:
        return "no build"
    return "caught" if run.returncode != 0 else "survived"


def lane(copy, mutations, results):
    for mutation in mutations:
        result = verdict(copy, mutation)
        results.append((mutation[0], result))
        print(f"{result:<8} {mutation[0]}", flush=True)


def main():
    word = sys.argv[1] if len(sys.argv) > 1 else ""
    top = pathlib.Path(__file__).resolve().parent.parent
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="kumquatpost-mutations-"))
    chosen = [mutation for mutation in MUTATIONS if word in mutation[0]]
    results = []
    try:
        lanes = []
        for number in range(LANES):
            copy = scratch / str(number)
            shutil.copytree(top, copy, ignore=shutil.ignore_patterns("target", ".git"))
            args = (copy, chosen[number::LANES], results)
            lanes.append(threading.Thread(target=lane, args=args))
        for one in lanes:
            one.start()
        for one in lanes:
            one.join()
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    missed = [f"{name}: {result}" for name, result in results if result != "caught"]
    print(f"{len(results) - len(missed)} of {len(results)} caught; not caught: {missed}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
