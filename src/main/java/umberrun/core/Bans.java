package umberrun.core;

import java.util.HashMap;
import java.util.Map;
import saddlestall.Dispatcher.State;

/**
 * What operators have said of workers by hand, laid over what the list says of them. Free of I/O; times are in
 * microseconds. A ban outlives whatever the list says, also that the worker is gone or back.
 */
final class Bans {
  /**
   * What holds for a worker.
   *
   * @param stopAt from when on nothing new is written to it, {@link #NEVER} while it may get work
   * @param since when it last started, 0 for long past
   */
  record Standing(State state, long stopAt, long since) { }

  static final long NEVER = Long.MAX_VALUE;
  /** Part of a drain's grace left unused: the way to the worker takes time, and a pause of ours must not matter. */
  private static final long DRAIN_EARLY = 200_000;

  private final long grace;
  private Map<String, Long> out = new HashMap<>();
  private Map<String, Long> back = new HashMap<>();

  /** @param drainGrace how long after the list's word work may still go to a worker that drains */
  Bans(long drainGrace) {
    this.grace = Math.max(0, drainGrace - DRAIN_EARLY);
  }

  /** Takes a worker out; said again, the first time counts. */
  void suspend(String worker, long now) {
    out.putIfAbsent(worker, now);
    back.remove(worker);
  }

  /** Ends a ban, however often it was called for. The worker was restarted meanwhile, so it counts as new. */
  void resume(String worker, long now) {
    if (out.remove(worker) != null) {
      back.put(worker, now);
    }
  }

  boolean isOut(String worker) {
    return out.containsKey(worker);
  }

  /** The whole as another process has written it; the names for which that changes anything. */
  Iterable<String> replace(Map<String, Long> nowOut, Map<String, Long> nowBack) {
    Map<String, Boolean> changed = new HashMap<>();
    Map<String, Long> out = new HashMap<>(nowOut);
    Map<String, Long> back = new HashMap<>(nowBack);
    for (Map<String, Long> m : java.util.List.of(this.out, this.back, out, back)) {
      m.keySet().forEach(name -> changed.put(name, !java.util.Objects.equals(this.out.get(name), out.get(name))
          || !java.util.Objects.equals(this.back.get(name), back.get(name))));
    }
    this.out = out;
    this.back = back;
    changed.values().removeIf(c -> !c);
    return changed.keySet();
  }

  /** What holds for a worker of which the list said this, for the first time at {@code toldAt} (0: it is ready). */
  Standing over(String worker, State listed, long toldAt, long since) {
    long drained = toldAt == 0 ? NEVER : toldAt + grace;
    Long outAt = out.get(worker);
    if (outAt != null) {
      return new Standing(listed == State.READY ? State.DRAINING : listed, Math.min(drained, outAt), since);
    }
    return new Standing(listed, drained, Math.max(since, back.getOrDefault(worker, 0L)));
  }
}
