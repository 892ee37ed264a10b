package umberrun.core;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import saddlestall.Dispatcher.WorkerState;

/**
 * The suspensions of workers by operators and by plans of the fleet, applied on top of the worker
 * list. A suspension persists whatever the list says, also while the worker is gone or back. Free
 * of I/O; times are Unix microseconds.
 */
final class WorkerSuspensions {
  /**
   * The state that holds for a worker.
   *
   * @param stopAt from when on nothing new is written to it, {@link #NEVER} while it may get work
   * @param startedAt when it last started, 0 for long ago
   */
  record EffectiveState(WorkerState state, long stopAt, long startedAt) {
    /** The same for a worker whose lease has ended, as it may have begun to drain unnoticed. */
    EffectiveState heldBack(long leaseUntil) {
      return new EffectiveState(
          state == WorkerState.READY ? WorkerState.DRAINING : state,
          Math.min(stopAt, leaseUntil),
          startedAt);
    }
  }

  static final long NEVER = Long.MAX_VALUE;

  /**
   * Part of a drain's grace that is left unused, to allow for the latency to the worker and for a
   * pause of this process.
   */
  private static final long DRAIN_MARGIN_MICROS = 200_000;

  private final long usableGrace;

  /** Workers that operators have suspended, and when. */
  private Map<String, Long> suspendedAt = new HashMap<>();

  /** Workers whose suspension has ended, and when. */
  private Map<String, Long> resumedAt = new HashMap<>();

  /**
   * Workers that plans of the fleet have suspended, and when; separate from what operators of this
   * front end suspend.
   */
  private Map<String, Long> plannedAt = new HashMap<>();

  /**
   * @param drainGrace how long work may still go to a worker after the list reported its drain
   */
  WorkerSuspensions(long drainGrace) {
    this.usableGrace = Math.max(0, drainGrace - DRAIN_MARGIN_MICROS);
  }

  /** The part of the drain grace that is used. */
  long usableGrace() {
    return usableGrace;
  }

  /** Suspends a worker. A repeated suspension keeps the time of the first. */
  void suspend(String worker, long now) {
    suspendedAt.putIfAbsent(worker, now);
    resumedAt.remove(worker);
  }

  /**
   * Ends the suspension of a worker, however often it was suspended. The worker was restarted
   * meanwhile, so it counts as newly started.
   */
  void resume(String worker, long now) {
    if (suspendedAt.remove(worker) != null) {
      resumedAt.put(worker, now);
    }
  }

  /** The workers that operators have suspended, and when. */
  Map<String, Long> suspendedAt() {
    return Collections.unmodifiableMap(suspendedAt);
  }

  /** Whether an operator has suspended the worker. */
  boolean isSuspended(String worker) {
    return suspendedAt.containsKey(worker);
  }

  /**
   * Replaces all suspensions by operators with those that another process has recorded. Returns the
   * names of workers for which this changes anything.
   */
  Set<String> replace(Map<String, Long> suspensions, Map<String, Long> resumptions) {
    Set<String> changed = changedNames(suspendedAt, suspensions);
    changed.addAll(changedNames(resumedAt, resumptions));
    suspendedAt = new HashMap<>(suspensions);
    resumedAt = new HashMap<>(resumptions);
    return changed;
  }

  private static Set<String> changedNames(Map<String, Long> before, Map<String, Long> after) {
    Set<String> names = new HashSet<>(before.keySet());
    names.addAll(after.keySet());
    names.removeIf(name -> Objects.equals(before.get(name), after.get(name)));
    return names;
  }

  /**
   * Replaces the suspensions by plans. Returns the names of workers for which this changes
   * anything.
   *
   * @param suspendedNames all workers that plans suspend from now on
   * @param cold workers that were serviced; those whose suspension ends count as newly started
   */
  Set<String> replacePlanned(Set<String> suspendedNames, Set<String> cold, long now) {
    Map<String, Long> planned = new HashMap<>();
    suspendedNames.forEach(name -> planned.put(name, plannedAt.getOrDefault(name, now)));
    Set<String> changed = changedNames(plannedAt, planned);
    plannedAt.keySet().stream()
        .filter(name -> !planned.containsKey(name) && cold.contains(name))
        .forEach(name -> resumedAt.put(name, now));
    plannedAt = planned;
    return changed;
  }

  /**
   * The state that holds for a worker.
   *
   * @param listed its state on the list
   * @param reportedAt when the list first reported that it drains or is gone, 0 while it is ready
   * @param startedAt when it last started as far as the list says
   */
  EffectiveState effectiveState(
      String worker, WorkerState listed, long reportedAt, long startedAt) {
    long drainEnds = reportedAt == 0 ? NEVER : reportedAt + usableGrace;
    Long suspensionStart = suspendedAt.getOrDefault(worker, plannedAt.get(worker));
    if (suspensionStart != null) {
      return new EffectiveState(
          listed == WorkerState.READY ? WorkerState.DRAINING : listed,
          Math.min(drainEnds, suspensionStart),
          startedAt);
    }
    return new EffectiveState(
        listed, drainEnds, Math.max(startedAt, resumedAt.getOrDefault(worker, 0L)));
  }
}
