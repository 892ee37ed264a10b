package umberrun.stats;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Event counters of one front end process. They are incremented on the dispatch loop's thread only;
 * a read from another thread may return a slightly outdated value.
 */
public final class Counters {
  /**
   * The counted events. A counter is printed under the constant's name in lower case, or under the
   * name given to the constructor where that differs. Printed names are part of the operators'
   * interface and must not change; the order of the constants is the order of printing.
   */
  public enum Count {
    CALLS_TAKEN,
    CALLS_SERVED,
    CALLS_REFUSED,
    /** Calls refused because the dispatch loop could not keep up. */
    CALLS_REFUSED_LATE,
    /** Calls refused because too many calls or body bytes were in flight. */
    CALLS_REFUSED_OVERLOAD("calls_refused_crowded"),
    CALLS_FAILED,
    /** Calls whose client stopped waiting before there was an answer. */
    CALLS_ABANDONED("calls_left"),
    /** Keyed or deferred calls that go on although their client stopped waiting. */
    CALLS_UNATTENDED,
    /** Calls ended by the dispatch loop because the dispatcher left them without an answer. */
    CALLS_WITHOUT_DECISION("calls_guarded"),
    BAD_REQUESTS,
    ATTEMPTS_SENT,
    /** From here to {@code ATTEMPTS_CANCELLED}: attempts by outcome code of the dispatcher. */
    ATTEMPTS_OK,
    ATTEMPTS_MISS,
    ATTEMPTS_FULL,
    ATTEMPTS_ERROR,
    ATTEMPTS_TIMEOUT,
    ATTEMPTS_RESET,
    ATTEMPTS_CONNECT_FAILED,
    ATTEMPTS_NOT_STARTED("attempts_moot"),
    ATTEMPTS_CANCELLED,
    /** Orders to a worker to load a copy of a function. */
    PRELOADS_SENT("orders_sent"),
    PROBES_SENT,
    LATE_ANSWERS,
    CLIENT_CONNECTIONS,
    /** Client connections closed to admit a new one. */
    CLIENTS_DISPLACED,
    WORKER_CONNECTIONS,
    LIST_CHANGES,
    /** Entries of the worker list that could not be parsed. */
    WORKER_ENTRIES_UNREADABLE("lines_unreadable"),
    /** Polls of the worker list that failed and are repeated. */
    POLLS_FAILED("polls_lost"),
    POLLS_LATE,
    DISCOVERY_LOST,
    WORKERS_HELD_BACK,
    WORKERS_RELEASED,
    SENDS_WITHHELD,
    CONFIGS_TAKEN,
    CONFIGS_REFUSED,
    /** Steps of the dispatch loop that ended with an exception. */
    DISPATCH_LOOP_EXCEPTIONS("module_faults"),
    /** Requests received on the operators' HTTP interface. */
    OPERATOR_CALLS("door_calls"),
    /** Operator requests answered with a status below 300. */
    OPERATOR_CALLS_ACCEPTED("door_yes"),
    /** Operator requests answered with a status of 300 or above. */
    OPERATOR_CALLS_REJECTED("door_no"),
    /** Operator connections without a complete request, closed to admit a new connection. */
    OPERATOR_CONNECTIONS_DISPLACED("door_displaced"),
    /** RPC connections whose sending side this front end shut down after the last answer. */
    CLIENT_CONNECTIONS_SHUT_DOWN("clients_let_go"),
    /** RPC connections closed during a drain while they still had calls or recent traffic. */
    BUSY_CLIENTS_CLOSED("clients_cut"),
    /** Answers replaced by a failure because too many bytes already waited for slow clients. */
    ANSWERS_DROPPED("answers_left_out"),
    FACTS_USED,
    PAGES_ASKED,
    PAGES_USED,
    FACT_PAGES_SERVED("pages_given"),
    PAGES_REFUSED,
    FLEET_PACKETS_SENT,
    FLEET_PACKETS_TAKEN,
    FLEET_PACKETS_DROPPED,
    FLEET_UNREADABLE,
    /** Messages of another fleet. */
    FLEET_FOREIGN,
    FLEET_EXCHANGES,
    FLEET_CHANGES,
    FLEET_CLASHES,
    /** Times this process learned that another member suspects it. */
    SELF_SUSPECTED("fleet_accused"),
    VOTES,
    /** Writes of votes to the voter's disk. */
    VOTE_SYNCS,
    LEASES_TAKEN,
    LEASES_GIVEN_BACK,
    LEASES_LOST,
    /** Actions that this process took as holder of a lease. */
    LEASE_ACTS,
    /** Actions refused because of an outdated fence. */
    FENCED_ACTIONS_REJECTED("acts_refused"),
    READINGS_SENT,
    READINGS_RECEIVED("readings_taken"),
    WORKS_STEPS,
    WORKS_REFUSED,
    WORKS_REPORTS,
    WORKS_MOVES,
    DEFERRED_TAKEN,
    /** Repeated calls attached to the invocation with the same idempotency key. */
    DEFERRED_JOINED,
    DEFERRED_REFUSED("deferred_turned_away");

    private final String printedName;

    Count() {
      printedName = name().toLowerCase(Locale.ROOT);
    }

    Count(String printedName) {
      this.printedName = printedName;
    }

    /** The name under which the counter is logged and served. */
    public String printedName() {
      return printedName;
    }
  }

  private final long[] counts = new long[Count.values().length];

  /** Increments a counter by one. */
  public void add(Count count) {
    counts[count.ordinal()]++;
  }

  /** The current value of a counter. */
  public long get(Count count) {
    return counts[count.ordinal()];
  }

  /** A copy of all counters by printed name, in the order of {@link Count}. */
  public Map<String, Long> snapshot() {
    Map<String, Long> named = new LinkedHashMap<>();
    for (Count count : Count.values()) {
      named.put(count.printedName(), get(count));
    }
    return named;
  }

  /** A log line with all counters that are not zero. */
  public String line() {
    StringBuilder text = new StringBuilder("counters");
    snapshot().forEach((name, value) -> text.append(value == 0 ? "" : " " + name + "=" + value));
    return text.toString();
  }
}
