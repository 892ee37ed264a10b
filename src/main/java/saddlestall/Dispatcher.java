package saddlestall;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the decision module: settings, events and actions of one front end.
 *
 * <p>The embedding front end calls {@link #handle} from one thread, with events in the order in
 * which they happened and a clock that never goes back, and carries out the actions in the order
 * given. It must deliver exactly one {@link AttemptOutcome} for each {@link Send} and one {@link
 * PreloadResult} for each {@link Preload}. All times are in microseconds; an absent number is 0.
 */
public interface Dispatcher {

  /** Handles one event at clock time {@code now} and passes on the resulting actions in order. */
  void handle(long now, Event event, Consumer<Action> actions);

  /** Passes on what this front end has observed itself, for its peers. */
  void exportObservations(long now, Consumer<Observation> observations);

  /** Whether a function is remembered, so that actions may still name it. */
  boolean remembers(long function);

  /** How many functions are remembered. */
  int functionCount();

  // ---------------------------------------------------------------- settings

  /**
   * Settings of one front end, fixed at its start. Halls, classes and tenants are identified by
   * their index.
   *
   * @param frontEndIndex index of this front end
   * @param frontEndCount number of front ends, until a {@link FleetSizeUpdate} arrives
   * @param hall the hall of this front end
   * @param overShareValueFactor factor on the value of a tenant's calls in excess of its quota
   * @param valueByWork whether the value of a call is given per unit of its work
   * @param subscribesToWorkerList whether the worker list is sent only after a {@link Subscribe}
   * @param weightKind what the ratings on the worker list mean
   * @param kindMemoryMb memory of each kind of worker in MB, 0 if unknown
   */
  record Settings(
      int frontEndIndex,
      int frontEndCount,
      int hall,
      List<CallClass> classes,
      List<Tenant> tenants,
      double overShareValueFactor,
      boolean valueByWork,
      boolean subscribesToWorkerList,
      WeightKind weightKind,
      List<Double> kindMemoryMb,
      Limits limits,
      Rules rules,
      LoadPolicy loadPolicy,
      LoadReportFormat loadReportFormat,
      Costs costs) {

    /**
     * Returns a worker's capacity relative to the others: its rating if ratings are nominal or
     * rough, else the memory of its kind over the mean of all kinds, else 1.
     */
    double relativeSize(WorkerEntry entry) {
      double memory = 1;
      if (entry.kind() < kindMemoryMb.size() && kindMemoryMb.get(entry.kind()) > 0) {
        memory =
            kindMemoryMb.get(entry.kind())
                / kindMemoryMb.stream().mapToDouble(x -> x).average().orElse(1);
      }
      boolean rated = weightKind == WeightKind.NOMINAL || weightKind == WeightKind.ROUGH;
      return rated && entry.rating() > 0 ? entry.rating() : memory;
    }
  }

  /**
   * A class of calls.
   *
   * @param latencyTarget latency within which an answer has its full value
   * @param latencyTargetStretch not read by {@link AdaptiveDispatcher}
   * @param timeout time after which the client gives up
   * @param dedupScope workers that drop repeats; for deduplicated classes only
   * @param dedupWindow how long they drop repeats; for deduplicated classes only
   * @param value value of an answer within the latency target
   * @param lateValue value of a later answer
   * @param streaming whether answers are streamed
   */
  record CallClass(
      long latencyTarget,
      double latencyTargetStretch,
      long timeout,
      Idempotency idempotency,
      DedupScope dedupScope,
      long dedupWindow,
      double value,
      double lateValue,
      boolean streaming) {}

  /**
   * A tenant.
   *
   * @param share its share of all calls
   * @param quotaPerSecond calls per second it may make, over all front ends
   */
  record Tenant(double share, double quotaPerSecond) {}

  /**
   * What the deployment permits.
   *
   * @param cancelAllowed whether attempts may be canceled
   * @param hedgingAllowed whether a second attempt may run beside the first
   * @param maxRetryAfter longest retry delay to ask of a client, in microseconds
   * @param maxAttempts attempts per call, including the first
   * @param connectTimeout longest time to establish a connection, in microseconds
   */
  record Limits(
      boolean cancelAllowed,
      boolean hedgingAllowed,
      boolean probeAllowed,
      boolean peerMessagesAllowed,
      boolean retryAfterAllowed,
      long maxRetryAfter,
      int maxAttempts,
      long connectTimeout) {}

  /**
   * Parameters of the rules that the front end must keep. Durations are in microseconds.
   *
   * @param answerSlack not read by {@link AdaptiveDispatcher}
   * @param drainGrace how long after the list reports a worker as draining it may still get calls
   * @param coldDuration how long a worker is cold after its start
   * @param initialColdCapacity share of its capacity that a cold worker has at its start
   * @param overloadWindow window over which the load of a cold worker is measured
   * @param overloadMultiple multiple of its share of a warm worker's load that overloads a cold
   *     worker; 0 if cold workers cannot be overloaded
   */
  record Rules(
      long answerSlack,
      long probeInterval,
      long drainGrace,
      long coldDuration,
      double initialColdCapacity,
      long overloadWindow,
      double overloadMultiple) {

    /** Returns whether a worker started at that time is cold, so that calls can overload it. */
    boolean isCold(long now, long startedAt) {
      return startedAt > 0 && now - startedAt < coldDuration && overloadMultiple > 0;
    }

    /** Returns the share of its capacity that such a worker has at least. */
    double warmUpFraction(long now, long startedAt) {
      return isCold(now, startedAt)
          ? initialColdCapacity
              + (1 - initialColdCapacity) * Math.max(0, (now - startedAt) / (double) coldDuration)
          : 1;
    }
  }

  /**
   * Loading of functions.
   *
   * @param loadsOnMiss whether a call for a function that is not loaded loads it
   * @param mayPreload whether preloads may be sent
   * @param preloadWindow window of the preload limit in microseconds; 0 if preloads are not limited
   * @param freePreloads preloads per window that need no calls
   * @param preloadsPerCall further preloads per window for each call in it
   * @param idleRetention how long workers keep idle copies, in microseconds; 0 if unknown
   * @param reportsCopyStatus whether answers report the {@link CopyStatus}
   * @param reportsConcurrency whether answers report the concurrency of the copy
   * @param idleCost cost of an idle copy
   */
  record LoadPolicy(
      boolean loadsOnMiss,
      boolean mayPreload,
      long preloadWindow,
      double freePreloads,
      double preloadsPerCall,
      long idleRetention,
      boolean reportsCopyStatus,
      boolean reportsConcurrency,
      double idleCost) {}

  /** Which values load reports hold, in order, and how the reports arrive. */
  record LoadReportFormat(ReportDelivery delivery, List<ReportField> fields) {}

  /**
   * Cost of each unit, in points of the result, to weigh optional actions. {@link
   * AdaptiveDispatcher} does not read them.
   */
  record Costs(
      double probe,
      double crossZone,
      double waste,
      double lateFailure,
      double origin,
      double peerMessage) {}

  /** What a repeat of a call may do: no harm, no harm within the dedup window, or harm. */
  enum Idempotency {
    IDEMPOTENT,
    DEDUPLICATED,
    NOT_IDEMPOTENT
  }

  /** Which workers drop a repeat of a deduplicated call: all, those in the same hall or cell. */
  enum DedupScope {
    ALL,
    ZONE,
    CELL
  }

  /** What the rating of a worker on the list means; see {@link Settings#relativeSize}. */
  enum WeightKind {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
  }

  /** How load reports arrive: with answers, in reply to probes, or not at all. */
  enum ReportDelivery {
    ANSWERS,
    PROBES,
    NONE
  }

  /** Meaning of a value in a load report. */
  enum ReportField {
    OUTSTANDING,
    QUEUE,
    UTILIZATION,
    RECENT_MS,
    THROUGHPUT,
    ERRORS,
    PINNED_MEMORY,
    LOADS,
    OTHER
  }

  // ---------------------------------------------------------------- events

  /** Something that has happened. */
  sealed interface Event
      permits WorkerListUpdate,
          CallArrival,
          StreamStarted,
          AttemptOutcome,
          ClientDisconnected,
          TimerFired,
          PreloadResult,
          PeerMessage,
          ProbeResult,
          Observation,
          FleetSizeUpdate,
          CopyRequested,
          LeasesExpiring {}

  /** A change of the worker list. */
  record WorkerListUpdate(ListKind kind, List<WorkerEntry> workers) implements Event {}

  /**
   * Content of a list update: changes, the complete list, the complete list from a cache, or a
   * failed request.
   */
  enum ListKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
  }

  /**
   * An entry of the worker list.
   *
   * @param hall hall of the worker
   * @param kind index into the settings of the kinds of workers
   * @param cell group of workers that share deduplication
   * @param rating see {@link WeightKind}; 0 if absent
   * @param startedAt clock time of the last start, 0 if long past
   */
  record WorkerEntry(
      int worker, int hall, int kind, int cell, WorkerState state, double rating, long startedAt) {}

  /**
   * State of a worker on the list. A draining worker finishes its work and must get nothing new.
   */
  enum WorkerState {
    GONE,
    READY,
    DRAINING
  }

  /**
   * A client's call. It must get exactly one final answer within {@code budget}.
   *
   * @param budget time that the client waits, in microseconds
   * @param expectedDuration duration that the client expects, in microseconds; 0 if not given
   * @param lanes calls that one copy of the function runs concurrently
   * @param memoryMb memory of the function in MB
   * @param retry whether the client sends the call again after a refusal
   * @param loadTime load time of the function in microseconds; 0 if not given
   */
  record CallArrival(
      int id,
      long budget,
      long expectedDuration,
      long function,
      double lanes,
      double memoryMb,
      int callClass,
      int tenant,
      boolean retry,
      boolean write,
      long loadTime)
      implements Event {}

  /** The streamed answer of an attempt has started; from now on the call has no deadline. */
  record StreamStarted(int call, int attempt, int worker) implements Event {}

  /**
   * How an attempt ended.
   *
   * @param elapsed time since the send, in microseconds
   * @param callClosed whether the call needs no further answer
   * @param concurrency calls at the function's copy; -1 if not reported
   * @param loadReport values in the order of the {@link LoadReportFormat}; null if absent
   */
  record AttemptOutcome(
      int call,
      int attempt,
      int worker,
      OutcomeCode code,
      long elapsed,
      boolean callClosed,
      CopyStatus copyStatus,
      int concurrency,
      float[] loadReport)
      implements Event {}

  /** What an answer reported of the function's copy; {@code NONE} if nothing. */
  enum CopyStatus {
    NONE,
    WARM,
    BEGAN_LOAD,
    JOINED_LOAD,
    LOAD_FAILED
  }

  /** Outcome codes of attempts, preloads and probes. */
  enum OutcomeCode {
    OK(false),
    ERROR(false),
    /** The worker rejected the attempt. */
    FULL(true),
    TIMEOUT(false),
    /** The connection was not opened, or was lost before the attempt was written. */
    CONNECT_FAILED(true),
    /** The connection was lost after the attempt was written. */
    RESET(false),
    CANCELLED(false),
    /** The attempt ended before a worker started it: never sent, or too late for the worker. */
    NOT_STARTED(true),
    /** The worker had no loaded copy of the function, and did not run the attempt. */
    MISS(true);

    /** Whether the code proves that the attempt had no effect. */
    public final boolean notRun;

    OutcomeCode(boolean notRun) {
      this.notRun = notRun;
    }
  }

  /** The client has disconnected; the call needs no answer any more. */
  record ClientDisconnected(int call) implements Event {}

  /** A timer started with {@link StartTimer} has expired. */
  record TimerFired(long token) implements Event {}

  /**
   * The answer to a {@link Preload}.
   *
   * @param elapsed time since the send, in microseconds
   * @param copies loaded copies at the worker
   */
  record PreloadResult(long elapsed, int copies, int worker, OutcomeCode code, long function)
      implements Event {}

  /** A message from a peer. */
  record PeerMessage(int peer, byte[] bytes) implements Event {}

  /** The answer to a {@link Probe}; {@code elapsed} is in microseconds. */
  record ProbeResult(long elapsed, int worker, OutcomeCode code, float[] loadReport)
      implements Event {}

  /**
   * Replaces the number of front ends from the settings.
   *
   * @param count estimated number of front ends
   * @param divisor divisor for this front end's share of what all share; at least {@code count}
   */
  record FleetSizeUpdate(double count, double divisor) implements Event {}

  /** Peers request a copy of a function at a worker, since the last copy is about to be removed. */
  record CopyRequested(int worker, long function) implements Event {}

  /**
   * The leases of these workers expire soon, because the source of the worker list is unreachable.
   * A worker that accepts a call or a preload renews its lease.
   *
   * @param workers the workers, the soonest to expire first
   * @param urgent number of workers at the head of the list whose leases expire very soon
   */
  record LeasesExpiring(List<Integer> workers, int urgent) implements Event {}

  /**
   * What another front end observed {@code age} microseconds ago. The {@code weight}, up to 1, is
   * its confidence at that age.
   */
  sealed interface Observation extends Event
      permits CopyObservation, WorkerObservation, FunctionObservation {}

  /** A loaded copy of a function was seen at a worker. */
  record CopyObservation(int worker, long function, long age, double weight)
      implements Observation {}

  /**
   * The health of a worker.
   *
   * @param latencyRatio observed over expected latency
   * @param failureRate share of failed attempts
   */
  record WorkerObservation(
      int worker, double latencyRatio, double failureRate, long age, double weight)
      implements Observation {}

  /**
   * A function was served.
   *
   * @param loadTime load time in microseconds; 0 if not known
   * @param recentCalls decaying number of recent calls
   */
  record FunctionObservation(
      long function,
      int callClass,
      double lanes,
      long loadTime,
      double recentCalls,
      long age,
      double weight)
      implements Observation {}

  // ---------------------------------------------------------------- actions

  /** An action for the embedding front end. */
  sealed interface Action
      permits Send,
          Refuse,
          Fail,
          Cancel,
          StartTimer,
          Probe,
          SendToPeer,
          Log,
          Subscribe,
          FetchWorkerList,
          Preload,
          Unload,
          CloseIdleConnections {}

  /**
   * Starts an attempt. The attempts of a call are numbered from 0 in the order of their sends. The
   * timeout is in microseconds.
   */
  record Send(int call, int worker, long timeout) implements Action {}

  /**
   * Final answer: the call was not executed and a retry is safe, after {@code retryAfter}
   * microseconds.
   */
  record Refuse(int call, long retryAfter) implements Action {}

  /** Final answer: the call failed and may have been executed. */
  record Fail(int call) implements Action {}

  /** Cancels an attempt. */
  record Cancel(int call, int attempt) implements Action {}

  /**
   * Requests a {@link TimerFired} after {@code delay} microseconds. A token of 0 or more is the id
   * of a call, and the timer is void once that call has its final answer.
   */
  record StartTimer(long delay, long token) implements Action {}

  /** Requests a load report from a worker. */
  record Probe(int worker) implements Action {}

  /** Sends a message to one peer, or to all if {@code peer} is -1. */
  record SendToPeer(int peer, byte[] bytes) implements Action {}

  /** A log line for the operators. */
  record Log(String text) implements Action {}

  /** Subscribes to changes of the worker list, or unsubscribes. */
  record Subscribe(boolean on) implements Action {}

  /** Requests the complete worker list once. */
  record FetchWorkerList() implements Action {}

  /** Requests at least {@code copies} loaded copies of a function. */
  record Preload(int worker, long function, int copies) implements Action {}

  /** Unloads the idle copies of a function. */
  record Unload(int worker, long function) implements Action {}

  /** Closes idle connections to a worker. */
  record CloseIdleConnections(int worker) implements Action {}
}
