package umberrun.stats;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * What the front end has taken in, sent and answered. Counted on the owner's thread, read from any.
 */
public final class Counters {
  /** One thing counted each. */
  public enum Count {
    CALLS_TAKEN,
    CALLS_SERVED,
    CALLS_REFUSED,
    CALLS_REFUSED_LATE,
    CALLS_REFUSED_CROWDED,
    CALLS_FAILED,
    CALLS_LEFT,
    CALLS_UNATTENDED,
    CALLS_GUARDED,
    BAD_REQUESTS,
    ATTEMPTS_SENT,
    ATTEMPTS_OK,
    ATTEMPTS_MISS,
    ATTEMPTS_FULL,
    ATTEMPTS_ERROR,
    ATTEMPTS_TIMEOUT,
    ATTEMPTS_RESET,
    ATTEMPTS_CONNECT_FAILED,
    ATTEMPTS_MOOT,
    ATTEMPTS_CANCELLED,
    ORDERS_SENT,
    PROBES_SENT,
    LATE_ANSWERS,
    CLIENT_CONNECTIONS,
    CLIENTS_DISPLACED,
    WORKER_CONNECTIONS,
    LIST_CHANGES,
    LINES_UNREADABLE,
    POLLS_LOST,
    POLLS_LATE,
    DISCOVERY_LOST,
    WORKERS_HELD_BACK,
    WORKERS_RELEASED,
    SENDS_WITHHELD,
    CONFIGS_TAKEN,
    CONFIGS_REFUSED,
    MODULE_FAULTS,
    DOOR_CALLS,
    DOOR_YES,
    DOOR_NO,
    DOOR_DISPLACED,
    CLIENTS_LET_GO,
    CLIENTS_CUT,
    ANSWERS_LEFT_OUT,
    FACTS_USED,
    PAGES_ASKED,
    PAGES_USED,
    PAGES_GIVEN,
    PAGES_REFUSED,
    FLEET_PACKETS_SENT,
    FLEET_PACKETS_TAKEN,
    FLEET_PACKETS_DROPPED,
    FLEET_UNREADABLE,
    FLEET_FOREIGN,
    FLEET_EXCHANGES,
    FLEET_CHANGES,
    FLEET_CLASHES,
    FLEET_ACCUSED,
    VOTES,
    VOTE_SYNCS,
    LEASES_TAKEN,
    LEASES_GIVEN_BACK,
    LEASES_LOST,
    LEASE_ACTS,
    ACTS_REFUSED,
    READINGS_SENT,
    READINGS_TAKEN,
    WORKS_STEPS,
    WORKS_REFUSED,
    WORKS_REPORTS,
    WORKS_MOVES,
    DEFERRED_TAKEN,
    DEFERRED_JOINED,
    DEFERRED_TURNED_AWAY
  }

  private final long[] counts = new long[Count.values().length];

  public void add(Count count) {
    counts[count.ordinal()]++;
  }

  public long get(Count count) {
    return counts[count.ordinal()];
  }

  /** A copy by the names that are printed. */
  public Map<String, Long> snapshot() {
    Map<String, Long> named = new LinkedHashMap<>();
    for (Count c : Count.values()) {
      named.put(c.name().toLowerCase(Locale.ROOT), get(c));
    }
    return named;
  }

  /** One line for the log: all that is not nought. */
  public String line() {
    StringBuilder text = new StringBuilder("counters");
    snapshot().forEach((name, n) -> text.append(n == 0 ? "" : " " + name + "=" + n));
    return text.toString();
  }
}
