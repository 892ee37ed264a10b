package saddlestall;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the decision module: settings, events and actions of one front end. Types only,
 * no logic.
 *
 * <p>The embedding front end calls {@link #handle} from one thread, with events in the order in
 * which they happened and a clock that never goes back, and carries out the actions in the order
 * given. It owes exactly one {@link AttemptOutcome} for each {@link Send} and one {@link
 * PreloadResult} for each {@link Preload}. All times are in microseconds; an absent number is 0.
 */
public interface Dispatcher {

  /** Takes one event at clock time {@code now} and passes the actions it leads to, in order. */
  void handle(long now, Event event, Consumer<Action> actions);

  /** Passes on what this module saw for itself, as others would be told of it. */
  void exportObservations(long now, Consumer<Observation> facts);

  // ---------------------------------------------------------------- settings

  /**
   * What one front end is told at its start. Places, classes and tenants are known by position
   * only.
   */
  record Settings(
      int frontEndIndex,
      int frontEndCount,
      int zone,
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
     * A worker's size against the others', as its rating or else its kind's memory tells it; 1
     * where neither does.
     */
    double relativeSize(WorkerEntry m) {
      double memory = 1;
      if (m.kind() < kindMemoryMb.size() && kindMemoryMb.get(m.kind()) > 0) {
        memory =
            kindMemoryMb.get(m.kind())
                / kindMemoryMb.stream().mapToDouble(x -> x).average().orElse(1);
      }
      boolean rated = weightKind == WeightKind.NOMINAL || weightKind == WeightKind.ROUGH;
      return rated && m.rating() > 0 ? m.rating() : memory;
    }
  }

  /**
   * One class of calls. {@code dedupScope} and {@code dedupWindow} matter for keyed classes only.
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

  /** A tenant's share: calls per second over all front ends. */
  record Tenant(double share, double quotaPerSecond) {}

  /** What the site allows. */
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
   * Figures of the rules; {@code initialColdCapacity} is the share of its capacity that a cold
   * worker starts with.
   */
  record Rules(
      long answerSlack,
      long probeInterval,
      long drainGrace,
      long coldDuration,
      double initialColdCapacity,
      long overloadWindow,
      double overloadMultiple) {

    /** Whether a worker that came up then may still fall over. */
    boolean isCold(long now, long cameUp) {
      return cameUp > 0 && now - cameUp < coldDuration && overloadMultiple > 0;
    }

    /** The part of its capacity that it has by now, at the least. */
    double warmUpFraction(long now, long cameUp) {
      return isCold(now, cameUp)
          ? initialColdCapacity
              + (1 - initialColdCapacity) * Math.max(0, (now - cameUp) / (double) coldDuration)
          : 1;
    }
  }

  /** Loading of functions. {@code preloadWindow} 0: orders to load are not rationed. */
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

  /** Which values load reports hold, by position, and how they come. */
  record LoadReportFormat(ReportDelivery delivery, List<ReportField> fields) {}

  /** Points of the result for each unit; used only to weigh what is optional. */
  record Costs(
      double probe,
      double crossZone,
      double waste,
      double lateFailure,
      double origin,
      double peerMessage) {}

  /** What a repeat of a call may do: no harm, none under its key for a while, or harm. */
  enum Idempotency {
    IDEMPOTENT,
    DEDUPLICATED,
    NOT_IDEMPOTENT
  }

  /** Which workers drop a repeat of a keyed call. */
  enum DedupScope {
    ALL,
    ZONE,
    CELL
  }

  /** What the rating of a worker on the list means. */
  enum WeightKind {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
  }

  /** How load reports come. */
  enum ReportDelivery {
    ANSWERS,
    PROBES,
    NONE
  }

  /** What a value of a load report is. */
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

  /** News of the list of workers. */
  record WorkerListUpdate(ListKind kind, List<WorkerEntry> workers) implements Event {}

  /**
   * Changes of the list, the whole of it, the whole as it was last held, or a request for it that
   * failed.
   */
  enum ListKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
  }

  /**
   * One line of the list. {@code startedAt} is the clock time of the last start, 0 for long past.
   */
  record WorkerEntry(
      int worker, int zone, int kind, int cell, WorkerState state, double rating, long startedAt) {}

  /** What the list says of a worker; one that drains finishes its work and gets nothing new. */
  enum WorkerState {
    GONE,
    READY,
    DRAINING
  }

  /** A client's call; it is owed exactly one final answer within {@code budget}. */
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

  /** The streamed answer of an attempt has begun; from now on no deadline holds. */
  record StreamStarted(int call, int attempt, int worker) implements Event {}

  /**
   * How an attempt ended. {@code callClosed}: the call needs no answer any more. {@code
   * concurrency} -1: not told.
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

  /** What an outcome told of the function's copy. */
  enum CopyStatus {
    NONE,
    WARM,
    BEGAN_LOAD,
    JOINED_LOAD,
    LOAD_FAILED
  }

  /** Outcome codes; {@code notRun}: proves that the attempt had no effect. */
  enum OutcomeCode {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    MOOT(true),
    MISS(true);

    public final boolean notRun;

    OutcomeCode(boolean notRun) {
      this.notRun = notRun;
    }
  }

  /** The client has gone; nothing is owed any more. */
  record ClientDisconnected(int call) implements Event {}

  /** A timer has run out. */
  record TimerFired(long token) implements Event {}

  /** The answer to a {@link Preload}. */
  record PreloadResult(long elapsed, int copies, int worker, OutcomeCode code, long function)
      implements Event {}

  /** Bytes from a peer. */
  record PeerMessage(int peer, byte[] bytes) implements Event {}

  /** The answer to a {@link Probe}. */
  record ProbeResult(long elapsed, int worker, OutcomeCode code, float[] loadReport)
      implements Event {}

  /**
   * In the place of the settings' number of front ends from now on: how many there likely are, and
   * by how much what belongs to all of them is divided here, which is no less.
   */
  record FleetSizeUpdate(double count, double divisor) implements Event {}

  /** Others want a copy of a function at a worker, as the last one is about to go. */
  record CopyRequested(int worker, long function) implements Event {}

  /**
   * The permission to send to these workers ends soon, as the source of the list is out of reach,
   * unless they take on work: a call or an order. The soonest first; for the first {@code urgent}
   * of them it is very soon.
   */
  record LeasesExpiring(List<Integer> workers, int urgent) implements Event {}

  /**
   * What another instance saw {@code age} ago; {@code weight}, up to 1, is what it is worth at that
   * age.
   */
  sealed interface Observation extends Event
      permits CopyObservation, WorkerObservation, FunctionObservation {}

  /** A copy of a function stood loaded at a worker. */
  record CopyObservation(int worker, long function, long age, double weight)
      implements Observation {}

  /** How a worker did: its time over the usual, and its share of bad outcomes. */
  record WorkerObservation(
      int worker, double latencyRatio, double failureRate, long age, double weight)
      implements Observation {}

  /** A function was served; {@code recentCalls} calls of late, decaying. */
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

  /** Something to be done. */
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

  /** Starts an attempt; the attempts of a call are numbered from 0 in the order of their sends. */
  record Send(int call, int worker, long timeout) implements Action {}

  /** Final answer: not done, trying again does no harm. */
  record Refuse(int call, long retryAfter) implements Action {}

  /** Final answer: not served, nothing promised. */
  record Fail(int call) implements Action {}

  /** Stops waiting for an attempt. */
  record Cancel(int call, int attempt) implements Action {}

  /**
   * Asks for a {@link TimerFired} after {@code delay}. A token of 0 or more names a call, and is
   * void once that is over.
   */
  record StartTimer(long delay, long token) implements Action {}

  /** Asks a worker how it is. */
  record Probe(int worker) implements Action {}

  /** Sends bytes to one peer, or to all with -1. */
  record SendToPeer(int peer, byte[] bytes) implements Action {}

  /** A line for the operators. */
  record Log(String text) implements Action {}

  /** Asks to be told of changes of the list. */
  record Subscribe(boolean on) implements Action {}

  /** Asks for the whole list once. */
  record FetchWorkerList() implements Action {}

  /** Orders at least {@code copies} loaded copies of a function. */
  record Preload(int worker, long function, int copies) implements Action {}

  /** Unloads a function's idle copies. */
  record Unload(int worker, long function) implements Action {}

  /** Closes idle connections. */
  record CloseIdleConnections(int worker) implements Action {}
}
