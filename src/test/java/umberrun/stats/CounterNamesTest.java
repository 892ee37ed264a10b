package umberrun.stats;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;
import umberrun.stats.Counters.Count;

/**
 * Pins the printed names of all counters and their order. Operators' tools read these names from
 * the log and from {@code /v1/counters}; renaming a constant must not change them.
 */
public class CounterNamesTest {
  private static final List<String> PRINTED_NAMES =
      List.of(
          "calls_taken",
          "calls_served",
          "calls_refused",
          "calls_refused_late",
          "calls_refused_crowded",
          "calls_failed",
          "calls_left",
          "calls_unattended",
          "calls_guarded",
          "bad_requests",
          "attempts_sent",
          "attempts_ok",
          "attempts_miss",
          "attempts_full",
          "attempts_error",
          "attempts_timeout",
          "attempts_reset",
          "attempts_connect_failed",
          "attempts_moot",
          "attempts_cancelled",
          "orders_sent",
          "probes_sent",
          "late_answers",
          "client_connections",
          "clients_displaced",
          "worker_connections",
          "list_changes",
          "lines_unreadable",
          "polls_lost",
          "polls_late",
          "discovery_lost",
          "workers_held_back",
          "workers_released",
          "sends_withheld",
          "configs_taken",
          "configs_refused",
          "module_faults",
          "door_calls",
          "door_yes",
          "door_no",
          "door_displaced",
          "clients_let_go",
          "clients_cut",
          "answers_left_out",
          "facts_used",
          "pages_asked",
          "pages_used",
          "pages_given",
          "pages_refused",
          "fleet_packets_sent",
          "fleet_packets_taken",
          "fleet_packets_dropped",
          "fleet_unreadable",
          "fleet_foreign",
          "fleet_exchanges",
          "fleet_changes",
          "fleet_clashes",
          "fleet_accused",
          "votes",
          "vote_syncs",
          "leases_taken",
          "leases_given_back",
          "leases_lost",
          "lease_acts",
          "acts_refused",
          "readings_sent",
          "readings_taken",
          "works_steps",
          "works_refused",
          "works_reports",
          "works_moves",
          "deferred_taken",
          "deferred_joined",
          "deferred_turned_away",
          "invocations_orphaned",
          "invocations_held",
          "invocation_body_bytes",
          "invocation_result_bytes",
          "functions_remembered",
          "loop_turn_max_micros",
          "loop_turns_long",
          "clients_closed_by_peer",
          "clients_closed_error",
          "clients_closed_silent",
          "clients_closed_incomplete",
          "clients_closed_idle",
          "clients_closed_malformed",
          "clients_closed_duplicate_id",
          "clients_closed_no_room",
          "calls_refused_leaving",
          "calls_refused_open_requests",
          "calls_refused_unread",
          "calls_refused_unclaimed",
          "calls_repeated",
          "retries_after_miss",
          "retries_after_full",
          "retries_after_error",
          "retries_after_timeout",
          "retries_after_reset",
          "retries_after_connect_failed",
          "retries_after_not_started",
          "retries_after_cancelled",
          "attempts_hedged",
          "workers_closed_by_peer",
          "workers_closed_error",
          "workers_closed_connect_failed",
          "workers_closed_idle",
          "workers_closed_silent",
          "workers_closed_incomplete_reply",
          "workers_closed_malformed",
          "workers_closed_retired",
          "workers_closed_blocked",
          "workers_closed_no_room",
          "workers_replaced",
          "http_closed_head",
          "http_closed_silent",
          "http_displaced");

  @Test
  public void printedNamesAndTheirOrderAreFixed() {
    assertEquals(PRINTED_NAMES, List.copyOf(new Counters().snapshot().keySet()));
  }

  /** Constants that are printed under another name than their own. */
  @Test
  public void renamedConstantsKeepTheirPrintedNames() {
    assertEquals("door_calls", Count.OPERATOR_CALLS.printedName());
    assertEquals("door_yes", Count.OPERATOR_CALLS_ACCEPTED.printedName());
    assertEquals("door_no", Count.OPERATOR_CALLS_REJECTED.printedName());
    assertEquals("door_displaced", Count.OPERATOR_CONNECTIONS_DISPLACED.printedName());
    assertEquals("clients_let_go", Count.CLIENT_CONNECTIONS_SHUT_DOWN.printedName());
    assertEquals("clients_cut", Count.BUSY_CLIENTS_CLOSED.printedName());
    assertEquals("answers_left_out", Count.ANSWERS_DROPPED.printedName());
    assertEquals("attempts_moot", Count.ATTEMPTS_NOT_STARTED.printedName());
    assertEquals("calls_left", Count.CALLS_ABANDONED.printedName());
    assertEquals("calls_guarded", Count.CALLS_WITHOUT_DECISION.printedName());
    assertEquals("calls_refused_crowded", Count.CALLS_REFUSED_OVERLOAD.printedName());
    assertEquals("orders_sent", Count.PRELOADS_SENT.printedName());
    assertEquals("polls_lost", Count.POLLS_FAILED.printedName());
    assertEquals("lines_unreadable", Count.WORKER_ENTRIES_UNREADABLE.printedName());
    assertEquals("module_faults", Count.DISPATCH_LOOP_EXCEPTIONS.printedName());
    assertEquals("fleet_accused", Count.SELF_SUSPECTED.printedName());
    assertEquals("acts_refused", Count.FENCED_ACTIONS_REJECTED.printedName());
    assertEquals("deferred_turned_away", Count.DEFERRED_REFUSED.printedName());
    assertEquals("pages_given", Count.FACT_PAGES_SERVED.printedName());
    assertEquals("readings_taken", Count.READINGS_RECEIVED.printedName());
  }

  @Test
  public void theLogLineShowsCountersThatAreNotZero() {
    Counters counters = new Counters();
    assertEquals("counters", counters.line());
    counters.add(Count.BUSY_CLIENTS_CLOSED);
    counters.add(Count.CALLS_TAKEN);
    counters.add(Count.CALLS_TAKEN);
    assertEquals("counters calls_taken=2 clients_cut=1", counters.line());
  }
}
