"""Mutation tests of race conditions: breaks, one at a time, a line that handles concurrent events correctly,
and runs the tests that must fail then:

    python benchmarks/crossings/mutants.py OUT.json

Works in a copy of the tree, which is removed afterwards. Exits with 1 if a mutant is not noticed, or if its
line is not found exactly once.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
MAX_PARALLEL, TEST_TIMEOUT = 4, 90

ATTEMPTS, CLOSING, SHUTDOWN, LIST, FLOODS = (
    f"tests/crossings/test_{name}.py" for name in ("attempts", "closing", "shutdown", "list", "floods")
)
SCENARIO = "tests/test_reducer.py::test_scenario"
PIECES, DRAWN = (
    "tests/crossings/test_pieces.py",
    "tests/test_reducer.py::test_random_events_give_one_answer_per_call_and_free_all_sockets",
)
POLICY = "policy"  # stands for whichever file of the package holds the line

# (name, file, the line, its replacement, tests of which one must fail)
MUTANTS = [
    (
        "the look for the client before the first byte",
        "net/workers.py",
        'skip_reason = self.reason_not_to_start(effect) if effect.first_line else ""',
        'skip_reason = ""',
        [f"{ATTEMPTS}::test_nothing_is_sent_if_the_client_left_while_the_host_connection_was_opening"],
    ),
    (
        "the look at the host before the first byte",
        "net/reducer.py",
        "if entry is None or entry.state is not io.HostState.UP or host is None "
        "or host.address != leg.address:",
        "if False:",
        [
            f"{ATTEMPTS}::test_nothing_is_sent_to_a_host_that_began_to_drain_while_its_connection_was_opening",
            f"{SCENARIO}[drain]",
            f"{SCENARIO}[late_connect]",
        ],
    ),
    (
        "the address in that look",
        "net/reducer.py",
        "host is None or host.address != leg.address:",
        "host is None:",
        [f"{SCENARIO}[late_connect]"],
    ),
    (
        "the window for repeats in that look",
        POLICY,
        "result = yield io.Send(call.id, host.name, until, deduplicated_until(call))",
        "result = yield io.Send(call.id, host.name, until)",
        [
            f"{ATTEMPTS}::test_a_keyed_call_is_not_retried_after_the_deduplication_time",
            f"{SCENARIO}[late_connect]",
        ],
    ),
    (
        "an attempt not begun never ran",
        "net/reducer.py",
        "if not leg.write_issued and leg.conn.request.held_by is None:",
        "if False:",
        [
            f"{SCENARIO}[never_sent]",
            f"{SHUTDOWN}::test_a_call_whose_connection_is_not_established_is_refused_at_the_end_as_never_sent",
        ],
    ),
    (
        "given up while it came up",
        "net/reducer.py",
        "        elif leg.ended:\n            e.end.input_ended = True",
        "        elif False:\n            e.end.input_ended = True",
        [f"{SCENARIO}[late_connect]"],
    ),
    (
        "a refusal with more behind it",
        "net/lines.py",
        "return Ending.ERROR if rest else ENDINGS",
        "return ENDINGS",
        [f"{ATTEMPTS}::test_a_call_that_must_not_run_twice_is_retried_only_if_it_cannot_have_run"],
    ),
    (
        "the receipt",
        "net/lines.py",
        "return None if len(words) > 1 else Ending.ERROR",
        "return None if words else Ending.ERROR",
        [f"{ATTEMPTS}::test_a_call_that_must_not_run_twice_is_retried_only_if_it_cannot_have_run"],
    ),
    (
        "a client's half-close",
        "net/reducer.py",
        "        self.effects.append(ev.ShutdownWrite(end))\n        if end.is_client:",
        "        self.effects.append(ev.Shutdown(end))\n        if end.is_client:",
        [
            f"{CLOSING}::test_an_invalid_first_line_is_answered_and_input_is_read_to_the_end",
            f"{CLOSING}::test_a_client_that_is_moved_may_still_be_sending",
        ],
    ),
    (
        "reading on after the end",
        "net/reducer.py",
        "        if e.end.closing_since or e.end.shutdown_when_written:\n            self.read(e.end) ",
        "        if False:\n            self.read(e.end) ",
        [f"{SCENARIO}[close_crosses_line]"],
    ),
    (
        "the closer at the door",
        "net/node.py",
        "        self.closer.add(sock)\n",
        "        sock.close()\n",
        [f"{CLOSING}::test_a_client_refused_on_accept_may_send_its_line_at_that_moment"],
    ),
    (
        "BUSY for who said nothing",
        "net/reducer.py",
        'harmless = reason in ("no-first-line", "ping", "stopping")',
        "harmless = False",
        [f"{CLOSING}::test_a_request_sent_while_an_idle_connection_is_closed_is_answered_and_not_forwarded"],
    ),
    (
        "an answer to a line too long",
        "net/reducer.py",
        '        if cause.endswith("-line"):\n            self.abandon(',
        "        if False:\n            self.abandon(",
        [f"{CLOSING}::test_an_invalid_first_line_is_answered_and_input_is_read_to_the_end"],
    ),
    (
        "the bound on what is read after the end",
        "net/workers.py",
        "MAX_DISCARDED, CUT_TIMEOUT_MS = 1024 * 1024, 2000",
        "MAX_DISCARDED, CUT_TIMEOUT_MS = 1 << 60, 2000",
        [f"{CLOSING}::test_a_client_that_floods_and_never_closes_is_cut_off_and_blocks_no_other"],
    ),
    (
        "room made by who lingers",
        "net/reducer.py",
        "for end in list(islice(self.lingering, max(0, 1 - room))):",
        "for end in ():",
        [f"{SCENARIO}[lingering_makes_room]"],
    ),
    (
        "a reset told as one",
        "net/reducer.py",
        '        if cause == "reset":\n            self.shut_down(conn.client, reset=True)',
        '        if cause == "reset":\n            self.close(conn.client)',
        [f"{CLOSING}::test_a_reset_reaches_the_other_side_as_a_reset"],
    ),
    (
        "the bound on a line",
        "net/lines.py",
        '                raise LineError("long-line")',
        "                self.filled = 0",
        [f"{CLOSING}::test_an_endless_answer_is_cut_off"],
    ),
    (
        "the listener's queue at the end",
        "net/admission.py",
        'self.handler.refuse(self.listener.accept()[0], "stopping")',
        "break",
        [f"{SHUTDOWN}::test_a_connection_in_the_listeners_queue_at_the_end_is_refused"],
    ),
    (
        "who is accepted and not known at the end",
        "net/node.py",
        "if isinstance(event, ev.ClientAccepted) and event.end.worker is not None:",
        "if False:",
        [f"{SHUTDOWN}::test_a_connection_that_the_reducer_does_not_know_at_the_end_is_refused"],
    ),
    (
        "SIGTERM before the queue",
        "net/node.py",
        "        self.post_urgent(ev.StopRequested())",
        "        self.post(ev.StopRequested())",
        [f"{SHUTDOWN}::test_sigterm_overtakes_queued_events"],
    ),
    (
        "SIGTERM from the first moment",
        "cli/node.py",
        "        signal.signal(number, lambda *_: requests.put(stop_node))",
        "        pass",
        [f"{SHUTDOWN}::test_a_signal_during_the_start_does_not_kill_the_process"],
    ),
    (
        "BUSY after SIGTERM",
        "net/drain.py",
        '            return "stopping"\n',
        '            return ""\n',
        [f"{SHUTDOWN}::test_lines_read_after_the_stop_are_not_forwarded_and_earlier_calls_are_answered"],
    ),
    (
        "the last moment for answers",
        "net/drain.py",
        "                self.reducer.end_leg(leg, Ending.TIMEOUT)  # and no other",
        "                pass  # and no other",
        [f"{SCENARIO}[stop_long_call]"],
    ),
    (
        "a stop is one stop",
        "net/drain.py",
        "        if self.stopping:\n            return\n        # The platform",
        "        # The platform",
        [f"{SCENARIO}[stop_twice]"],
    ),
    (
        "short watches",
        "net/discovery.py",
        "    WATCH_TIMEOUT_MS = 2000 ",
        "    WATCH_TIMEOUT_MS = 5000 ",
        [
            f"{LIST}::test_the_worst_case_delay_of_a_change_is_below_6_s_with_a_margin_for_the_node",
            f"{LIST}::test_a_change_after_a_failed_request_is_known_in_time",
        ],
    ),
    (
        "asking before believing",
        "net/discovery.py",
        "        if trusted:\n",
        "        if True:\n",
        [f"{LIST}::test_a_new_process_asks_discovery_before_it_uses_its_initial_list"],
    ),
    (
        "believing once discovery has failed",
        "net/discovery.py",
        "            self.failures += 1\n            self.publish_initial()",
        "            self.failures += 1",
        [f"{LIST}::test_a_new_process_uses_its_initial_list_while_discovery_is_down"],
    ),
    (
        "a pause cut short",
        "net/discovery.py",
        "        self.enabled.set()\n        self.wake.set()\n\n    def start_with",
        "        self.enabled.set()\n\n    def start_with",
        [f"{LIST}::test_sighup_switches_discovery_at_once_whatever_the_request_to_the_old_one_does"],
    ),
    (
        "a 503 is no closed connection",
        "net/http.py",
        "if not reused or self.response_started or self.aborted:",
        "if not reused or self.aborted:",
        [f"{LIST}::test_a_503_on_a_reused_connection_is_not_retried"],
    ),
    (
        "an older version is no news",
        "net/discovery.py",
        "        if version < self.version:\n",
        "        if False:\n",
        [f"{LIST}::test_a_change_after_a_failed_request_is_known_in_time"],
    ),
    (
        "the bound on waits for an asked list",
        POLICY,
        "most = max(SECOND, min(self.settings.poll_interval, self.MAX_POLL_GAP - took))",
        "most = max(SECOND, self.settings.poll_interval)",
        [
            "tests/test_many_nodes.py::test_nodes_refused_by_an_overloaded_list_poll_as_seldom_as_the_deadline_allows"
        ],
    ),
    (
        "a number of nodes that is not told",
        POLICY,
        "    DEFAULT_NODES = 256 ",
        "    DEFAULT_NODES = 1 ",
        [
            "tests/test_many_nodes.py::test_what_all_processes_send_a_cold_server_stays_within_its_budget_and_a_margin"
        ],
    ),
    (
        "the bound on clients that say nothing",
        "net/reducer.py",
        "while len(self.awaiting_first_line) >= max(2, self.max_sockets // PENDING_CLIENTS_DIVISOR):",
        "while False:",
        [f"{SCENARIO}[idle_clients]"],
    ),
    (
        "the bound on clients that wait for their first line",
        "net/admission.py",
        "for oldest in self.pending.remove_excess(self.handler.max_pending()):",
        "for oldest in ():",
        [f"{FLOODS}::test_idle_clients_that_use_up_the_descriptors_do_not_lock_others_out"],
    ),
    (
        "who waits for a first line is no connection of the reducer's",
        "net/admission.py",
        "if first_input and not is_complete(first_input) and not ready & "
        "(select.EPOLLRDHUP | select.EPOLLHUP):",
        "if False:",
        [f"{FLOODS}::test_silent_clients_cost_no_step_of_the_reducer"],
    ),
    (
        "an object is no list",
        "config/platform.py",
        "return ObjectReader(self.values.get(key, {} if default is MISSING else default), self.path_of(key))",
        "return ObjectReader(dict(self.values.get(key, {} if default is MISSING else default)), "
        "self.path_of(key))",
        [f"{FLOODS}::test_invalid_settings_stop_the_start_and_change_nothing_at_sighup"],
    ),
    (
        "which connection a reload gives up",
        "net/discovery.py",
        "        if current is not target:\n            current.abort()",
        "        self.http.abort()",
        [f"{LIST}::test_a_thread_switch_during_a_reload_does_not_abort_the_new_address"],
    ),
    (
        "asking at a reload",
        "net/discovery.py",
        "        self.enabled.set()\n        self.wake.set()\n\n    def start_with",
        "        self.wake.set()\n\n    def start_with",
        [f"{LIST}::test_a_reload_requests_the_new_list_at_once_even_if_the_next_poll_is_far"],
    ),
    (
        "one time for a call and its repeat",
        "net/http.py",
        "                return self.exchange(path, body)\n        except",
        "                self.deadline = time.monotonic() + timeout\n"
        "                return self.exchange(path, body)\n        except",
        [f"{LIST}::test_a_retry_after_a_reset_does_not_extend_the_timeout"],
    ),
    (
        "who is not in a whole list",
        "net/reducer.py",
        "            gone |= self.hosts.keys() - e.addresses.keys()",
        "            pass",
        [f"{LIST}::test_a_full_list_received_during_an_attempt_is_respected"],
    ),
    (
        "a watch that is silent late",
        "net/http.py",
        "        self.sock.settimeout(self.time_left())\n        data",
        "        self.sock.settimeout(None if self.buffered == b'' else self.time_left())\n        data",
        [f"{LIST}::test_a_watch_that_hangs_after_answered_ones_times_out_and_is_repeated"],
    ),
    (
        "a first line whose last byte is not out",
        "net/reducer.py",
        "        elif not end.leg.written:\n            self.end_leg(end.leg, Ending.CONNECT_FAILED)",
        '        elif not end.leg.written:\n            self.host_ended(end.leg, "reset")',
        [f"{ATTEMPTS}::test_a_host_killed_right_after_accepting_has_not_run_the_call"],
    ),
    (
        "a first line that is out",
        "net/reducer.py",
        '            self.end_leg(leg, Ending.ERROR if cause.endswith("-line") else Ending.RESET)',
        "            self.end_leg(leg, Ending.CONNECT_FAILED)",
        [f"{ATTEMPTS}::test_a_host_killed_with_the_first_line_unread_may_have_run_the_call"],
    ),
    (
        "a descriptor given back",
        "net/workers.py",
        "        self.end.worker = None\n        self.live.discard(self)\n",
        "        self.end.worker = None\n",
        [f"{ATTEMPTS}::test_a_client_killed_right_after_connecting_leaves_nothing_open"],
    ),
    (
        "an answer for a call whose host says nothing",
        POLICY,
        "return min(last, self.now + call.type.setup_target)",
        "return last + SECOND",
        [f"{ATTEMPTS}::test_every_call_is_answered_whatever_its_hosts_do", DRAWN],
    ),
    (
        "the time that a client gives",
        POLICY,
        "call.guard - 2 * self.settings.tick",
        "call.guard + 2 * self.settings.tick",
        [DRAWN],
    ),
    (
        "the settings that a first line is read under",
        "net/reducer.py",
        "        self.names, self.host_protocol = e.names, e.host_protocol\n",
        "        self.host_protocol = e.host_protocol\n",
        [f"{PIECES}::test_a_first_line_completed_after_a_reload_uses_the_new_settings"],
    ),
    (
        "whole lines alone",
        "net/lines.py",
        '            end = self.buffer.rfind(b"\\n", 0, self.filled) + 1',
        "            end = self.filled",
        [f"{PIECES}::test_part_of_a_line_is_not_forwarded_before_a_move"],
    ),
    (
        "one process",
        "cli/node.py",
        "    active = ActiveConfiguration(path",
        '    __import__("subprocess").run(["true"])\n    active = ActiveConfiguration(path',
        ["tests/crossings/test_one_process.py"],
    ),
    (
        "no small write held back",
        "net/workers.py",
        "    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)\n",
        "",
        [f"{PIECES}::test_small_writes_are_sent_at_once"],
    ),
]


def find_file(package, file, line):
    """Returns the path of the file that holds the line."""
    if file != POLICY:
        return package / file
    files = sorted((package / "policy").glob("*.py"))
    return next((path for path in files if line in path.read_text()), files[0])


def run_mutant(mutant):
    """Runs one mutant's tests in a changed copy of the tree; returns its row of the results."""
    name, file, line, replacement, tests = mutant
    with tempfile.TemporaryDirectory() as directory:
        copy = Path(directory) / "tree"
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__"))
        path = find_file(copy / "cottonspread", file, line)
        text = path.read_text()
        if text.count(line) != 1:
            return {
                "mutant": name,
                "file": file,
                "noticed": False,
                "why": f"its line was found {text.count(line)} times",
            }
        path.write_text(text.replace(line, replacement))
        try:
            completed = subprocess.run(
                [sys.executable, "-m", "pytest", "-q", "-n", "0", "-p", "no:cacheprovider", *tests],
                cwd=copy,
                capture_output=True,
                text=True,
                timeout=TEST_TIMEOUT,
            )
        except subprocess.TimeoutExpired:
            return {"mutant": name, "file": file, "noticed": True, "why": f"timed out after {TEST_TIMEOUT} s"}
        summary = (
            completed.stdout.strip().splitlines()[-1] if completed.stdout.strip() else completed.stderr[-200:]
        )
        return {
            "mutant": name,
            "file": file,
            "noticed": completed.returncode == 1 and "failed" in summary,
            "why": summary,
        }


def main(args):
    """Runs all mutants; returns the exit code."""
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        results = []
        for result in pool.map(run_mutant, MUTANTS):
            results.append(result)
            verdict = "noticed" if result["noticed"] else "NOT NOTICED"
            print(f"{verdict}: {result['mutant']} ({result['file']}): {result['why']}", flush=True)
    if args:
        Path(args[0]).write_text(json.dumps(results, indent=1) + "\n")
    return 0 if all(result["noticed"] for result in results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
