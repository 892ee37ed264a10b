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
   * The counted events, and levels, whose description says so. A counter is printed under the
   * constant's name in lower case, or under the name given to the constructor where that differs.
   * Printed names are part of the operators' interface and must not change; the order of the
   * constants is the order of printing.
   */
  public enum Count {
    /** Calls submitted to the dispatch loop. */
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
    /** Client requests that were malformed or invalid, including those with an unknown path. */
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
    /** Never incremented; printed because printed names must not change. */
    LATE_ANSWERS,
    CLIENT_CONNECTIONS,
    /** Client connections closed to admit a new one. */
    CLIENTS_DISPLACED,
    WORKER_CONNECTIONS,
    /** Updates received from a source of the worker list. */
    LIST_CHANGES,
    /** Entries of the worker list that could not be parsed. */
    WORKER_ENTRIES_UNREADABLE("lines_unreadable"),
    /** Polls of the worker list that failed and are repeated. */
    POLLS_FAILED("polls_lost"),
    /** Polls of the worker list that were late, so that another one was started beside them. */
    POLLS_LATE,
    /** Times the discovery server became unreachable. */
    DISCOVERY_LOST,
    /** Times a worker could no longer be sent work because its lease ended. */
    WORKERS_HELD_BACK,
    /** Times a worker that was held back could be sent work again. */
    WORKERS_RELEASED,
    /** New work that was failed without being written, as the worker may no longer be sent any. */
    SENDS_WITHHELD,
    /** Times the configuration was read again and accepted. */
    CONFIGS_TAKEN,
    /** Times the configuration was read again and rejected. */
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
    /** Received facts that were passed to the dispatcher. */
    FACTS_USED,
    /** Pages of facts requested from other front ends. */
    PAGES_ASKED,
    /** Requested pages of facts that were received and could be parsed. */
    PAGES_USED,
    FACT_PAGES_SERVED("pages_given"),
    /** Requests for facts refused because the budget was used up or the event loop was late. */
    PAGES_REFUSED,
    FLEET_PACKETS_SENT,
    /** Datagrams of other members that were decoded. */
    FLEET_PACKETS_TAKEN,
    /** Messages to or from other members dropped because of a limit or an error. */
    FLEET_PACKETS_DROPPED,
    /** Messages of other members that could not be decoded. */
    FLEET_UNREADABLE,
    /** Messages of another fleet. */
    FLEET_FOREIGN,
    /** Full exchanges of the membership state that this process began. */
    FLEET_EXCHANGES,
    /** Changes of the membership that this process learned of. */
    FLEET_CHANGES,
    /** Times another process used the name of this member, or this one gave up its name to it. */
    FLEET_CLASHES,
    /** Times this process learned that another member suspects it. */
    SELF_SUSPECTED("fleet_accused"),
    /** Consensus requests that this process answered as a voter. */
    VOTES,
    /** Writes of votes to the voter's disk. */
    VOTE_SYNCS,
    /** Leases on duties that this process acquired. */
    LEASES_TAKEN,
    /** Leases on duties that this process released. */
    LEASES_GIVEN_BACK,
    /** Leases on duties that this process lost for another reason. */
    LEASES_LOST,
    /** Actions that this process took as holder of a lease. */
    LEASE_ACTS,
    /** Actions refused because of an outdated fence. */
    FENCED_ACTIONS_REJECTED("acts_refused"),
    /** Messages with health readings of workers that this process published. */
    READINGS_SENT,
    /** Messages with health readings that were accepted, including those of this process. */
    READINGS_RECEIVED("readings_taken"),
    /** Changes of the maintenance plans that were not refused. */
    WORKS_STEPS,
    /** Changes of the maintenance plans that were refused. */
    WORKS_REFUSED,
    /** Reports on the maintenance plans that this process sent to the other members. */
    WORKS_REPORTS,
    /** Moves of last copies that this process requested while it executed the plans. */
    WORKS_MOVES,
    /** Deferred invocations that were accepted. */
    DEFERRED_TAKEN,
    /** Repeated calls attached to the invocation with the same idempotency key. */
    DEFERRED_JOINED,
    /** Deferred or keyed invocations refused because the registry was full. */
    DEFERRED_REFUSED("deferred_turned_away"),
    /** Invocations ended here because the process that ran them had died. */
    INVOCATIONS_ORPHANED,
    /** A level: invocations that are queued, run, or are kept for their result or key. */
    INVOCATIONS_HELD,
    /** A level: request bodies of these invocations, in bytes. */
    INVOCATION_BODY_BYTES,
    /** A level: what completed invocations are charged for results, keys and the rest, in bytes. */
    INVOCATION_RESULT_BYTES,
    /** A level: functions that the dispatcher remembers. */
    FUNCTIONS_REMEMBERED,
    /** A level: the longest turn of the event loop so far, in microseconds. */
    LOOP_TURN_MAX_MICROS,
    /** Turns of the event loop of 50 ms or more. */
    LOOP_TURNS_LONG,
    /** From here to {@code CLIENTS_CLOSED_NO_ROOM}: why RPC connections were closed. */
    CLIENTS_CLOSED_BY_PEER,
    /** Reading or writing failed. */
    CLIENTS_CLOSED_ERROR,
    /** No complete first message came in time. */
    CLIENTS_CLOSED_SILENT,
    /** The rest of a message did not come in time. */
    CLIENTS_CLOSED_INCOMPLETE,
    CLIENTS_CLOSED_IDLE,
    CLIENTS_CLOSED_MALFORMED,
    /** A request had the id of an open one. */
    CLIENTS_CLOSED_DUPLICATE_ID,
    /** Parts of messages took too much memory, and this one had waited for longest. */
    CLIENTS_CLOSED_NO_ROOM,
    /** RPC calls refused as this process accepts no more. */
    CALLS_REFUSED_LEAVING,
    /** RPC calls refused as their connection has too many open requests. */
    CALLS_REFUSED_OPEN_REQUESTS,
    /** RPC calls refused as their client sends more than its share lets this process read. */
    CALLS_REFUSED_UNREAD,
    /** Calls refused as it can't be remembered that they run, and they may not run twice. */
    CALLS_REFUSED_UNCLAIMED,
    /** Calls failed as their request may have run before. */
    CALLS_REPEATED,
    /** From here to {@code RETRIES_AFTER_CANCELLED}: further attempts, by what ended the last. */
    RETRIES_AFTER_MISS,
    RETRIES_AFTER_FULL,
    RETRIES_AFTER_ERROR,
    RETRIES_AFTER_TIMEOUT,
    RETRIES_AFTER_RESET,
    RETRIES_AFTER_CONNECT_FAILED,
    RETRIES_AFTER_NOT_STARTED,
    RETRIES_AFTER_CANCELLED,
    /** Further attempts while an earlier one is in flight. */
    ATTEMPTS_HEDGED,
    /** From here to {@code WORKERS_CLOSED_NO_ROOM}: why connections to workers were closed. */
    WORKERS_CLOSED_BY_PEER,
    WORKERS_CLOSED_ERROR,
    WORKERS_CLOSED_CONNECT_FAILED,
    WORKERS_CLOSED_IDLE,
    /** They carried no more data. */
    WORKERS_CLOSED_SILENT,
    WORKERS_CLOSED_INCOMPLETE_REPLY,
    WORKERS_CLOSED_MALFORMED,
    /** They were to take no more commands, and all replies had arrived. */
    WORKERS_CLOSED_RETIRED,
    /** Unsent commands might have reached a worker that may get nothing new. */
    WORKERS_CLOSED_BLOCKED,
    /** Parts of replies took too much memory. */
    WORKERS_CLOSED_NO_ROOM,
    /** Workers that count as gone since another one was listed at their address. */
    WORKERS_REPLACED,
    /** HTTP connections closed for a request head with too many lines. */
    HTTP_CLOSED_HEAD,
    /** Connections of the invoke API closed as no first request came in time. */
    HTTP_CLOSED_SILENT,
    /** Connections of the invoke API closed to admit a new one. */
    HTTP_DISPLACED;

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

  /** Sets a level. */
  public void set(Count level, long value) {
    counts[level.ordinal()] = value;
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
