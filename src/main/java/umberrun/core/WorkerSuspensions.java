package umberrun.core;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import saddlestall.Dispatcher.WorkerState;

/**
 * What operators have said of workers by hand, laid over what the list says of them. Free of I/O;
 * times are in microseconds. A ban outlives whatever the list says, also that the worker is gone or
 * back.
 */
final class WorkerSuspensions {
  /**
   * What holds for a worker.
   *
   * @param stopAt from when on nothing new is written to it, {@link #NEVER} while it may get work
   * @param startedAt when it last started, 0 for long past
   */
  record EffectiveState(WorkerState state, long stopAt, long startedAt) {
    /** The same for a worker of which nobody knows by now whether it drains. */
    EffectiveState heldBack(long leaseEnds) {
      return new EffectiveState(
          state == WorkerState.READY ? WorkerState.DRAINING : state,
          Math.min(stopAt, leaseEnds),
          startedAt);
    }
  }

  static final long NEVER = Long.MAX_VALUE;

  /**
   * Part of a drain's grace left unused: the way to the worker takes time, and a pause of ours must
   * not matter.
   */
  private static final long DRAIN_EARLY = 200_000;

  private final long grace;
  private Map<String, Long> out = new HashMap<>();
  private Map<String, Long> back = new HashMap<>();

  /** Out by plans of the whole fleet, a set beside what operators say at this front end's door. */
  private Map<String, Long> settled = new HashMap<>();

  /**
   * @param drainGrace how long after the list's word work may still go to a worker that drains
   */
  WorkerSuspensions(long drainGrace) {
    this.grace = Math.max(0, drainGrace - DRAIN_EARLY);
  }

  /** What of the grace is used. */
  long grace() {
    return grace;
  }

  /** Takes a worker out; said again, the first time counts. */
  void suspend(String worker, long now) {
    out.putIfAbsent(worker, now);
    back.remove(worker);
  }

  /**
   * Ends a ban, however often it was called for. The worker was restarted meanwhile, so it counts
   * as new.
   */
  void resume(String worker, long now) {
    if (out.remove(worker) != null) {
      back.put(worker, now);
    }
  }

  /** Those that are out, and since when. */
  Map<String, Long> out() {
    return Collections.unmodifiableMap(out);
  }

  boolean isOut(String worker) {
    return out.containsKey(worker);
  }

  /** The whole as another process has written it; the names for which that changes anything. */
  Set<String> replace(Map<String, Long> nowOut, Map<String, Long> nowBack) {
    Set<String> changed = changed(out, nowOut);
    changed.addAll(changed(back, nowBack));
    out = new HashMap<>(nowOut);
    back = new HashMap<>(nowBack);
    return changed;
  }

  private static Set<String> changed(Map<String, Long> before, Map<String, Long> after) {
    Set<String> names = new HashSet<>(before.keySet());
    names.addAll(after.keySet());
    names.removeIf(name -> Objects.equals(before.get(name), after.get(name)));
    return names;
  }

  /**
   * What plans have out from now on, whatever was out by them before; the names for which that
   * changes anything.
   *
   * @param cold of those that were out, the ones that were worked on and count as new
   */
  Set<String> settle(Set<String> nowOut, Set<String> cold, long now) {
    Map<String, Long> next = new HashMap<>();
    nowOut.forEach(name -> next.put(name, settled.getOrDefault(name, now)));
    Set<String> changed = changed(settled, next);
    settled.keySet().stream()
        .filter(n -> !next.containsKey(n) && cold.contains(n))
        .forEach(n -> back.put(n, now));
    settled = next;
    return changed;
  }

  /**
   * What holds for a worker of which the list said this, for the first time at {@code toldAt} (0:
   * it is ready).
   */
  EffectiveState over(String worker, WorkerState listed, long toldAt, long since) {
    long drained = toldAt == 0 ? NEVER : toldAt + grace;
    Long outAt = out.getOrDefault(worker, settled.get(worker));
    if (outAt != null) {
      return new EffectiveState(
          listed == WorkerState.READY ? WorkerState.DRAINING : listed,
          Math.min(drained, outAt),
          since);
    }
    return new EffectiveState(listed, drained, Math.max(since, back.getOrDefault(worker, 0L)));
  }
}
