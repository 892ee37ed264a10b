package umberrun.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A seeded clock and network for state machines that have neither: loss, delay, duplicates,
 * reordering (by unequal delays), cuts either way and machines that stand still. The same seed and
 * calls lead to the same course. Times are in microseconds.
 */
public final class VirtualNetwork {
  /** A wait that can be taken back. */
  public static final class ScheduledTask {
    private final long at;
    private final long order;
    private final Runnable what;
    private boolean cancelled;

    private ScheduledTask(long at, long order, Runnable what) {
      this.at = at;
      this.order = order;
      this.what = what;
    }

    public void cancel() {
      cancelled = true;
    }
  }

  /** What a machine that stands still keeps of what arrives, as a socket's buffer does. */
  private static final int MOST_HELD = 200;

  private final PriorityQueue<ScheduledTask> steps =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final RandomGenerator random;
  private final Set<Long> cuts = new HashSet<>();

  /** By machine that stands still: what has come, and own waits that are over. */
  private final Deque<Runnable>[] held;

  private final Deque<Runnable>[] due;
  private final boolean[] paused;
  private final long[] setExtraDelay;
  private long now;
  private long order;
  private double loss;
  private double duplicates;
  private long leastDelay;
  private long mostDelay;

  /**
   * @param nodes machines, named by their numbers from 0
   */
  @SuppressWarnings("unchecked")
  public VirtualNetwork(int nodes, RandomGenerator random) {
    this.random = random;
    this.paused = new boolean[nodes];
    this.setExtraDelay = new long[nodes];
    this.held = new Deque[nodes];
    this.due = new Deque[nodes];
    for (int i = 0; i < nodes; i++) {
      held[i] = new ArrayDeque<>();
      due[i] = new ArrayDeque<>();
    }
    now = 1_000_000;
  }

  /** How all links are from now on. */
  public void setLinks(double loss, double duplicates, long leastDelay, long mostDelay) {
    this.loss = loss;
    this.duplicates = duplicates;
    this.leastDelay = leastDelay;
    this.mostDelay = mostDelay;
  }

  public long now() {
    return now;
  }

  /** Does something at a time, whatever stands still. */
  public ScheduledTask at(long when, Runnable what) {
    ScheduledTask s = new ScheduledTask(Math.max(now, when), order++, what);
    steps.add(s);
    return s;
  }

  /** Does something on a machine at a time: once it goes on, where it stands still then. */
  public ScheduledTask at(int node, long when, Runnable what) {
    ScheduledTask[] self = new ScheduledTask[1];
    self[0] =
        at(
            when,
            () ->
                on(
                    node,
                    true,
                    () -> {
                      if (!self[0].cancelled) {
                        what.run();
                      }
                    }));
    return self[0];
  }

  /** Sends; what arrives does so once or twice, unless it is lost. */
  public void send(int from, int to, Runnable arrives) {
    if (cuts.contains(way(from, to)) || random.nextDouble() < loss) {
      return;
    }
    int copies = random.nextDouble() < duplicates ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      at(now + delay() + setExtraDelay[to], () -> on(to, false, arrives));
    }
  }

  public long delay() {
    return leastDelay + (long) ((mostDelay - leastDelay) * random.nextDouble());
  }

  private void on(int node, boolean own, Runnable what) {
    if (!paused[node]) {
      what.run();
    } else if (own) {
      due[node].add(what);
    } else if (held[node].size() < MOST_HELD) {
      held[node].add(what);
    }
  }

  /** Cuts one way. */
  public void cut(int from, int to) {
    cuts.add(way(from, to));
  }

  public void heal(int from, int to) {
    cuts.remove(way(from, to));
  }

  public void healAll() {
    cuts.clear();
  }

  /** Whether something could pass both ways. */
  public boolean isOpen(int a, int b) {
    return !cuts.contains(way(a, b)) && !cuts.contains(way(b, a));
  }

  public boolean isCut() {
    return !cuts.isEmpty();
  }

  private static long way(int from, int to) {
    return (long) from << 32 | to;
  }

  /** What goes to a machine takes so much longer from now on. */
  public void setExtraDelay(int node, long by) {
    setExtraDelay[node] = by;
  }

  /** A machine stands still: what is due and what arrives waits. */
  public void pause(int node) {
    paused[node] = true;
  }

  public boolean isPaused(int node) {
    return paused[node];
  }

  /**
   * It goes on: first with the waits that are over, as an event loop does, then with what has come.
   */
  public void resume(int node) {
    paused[node] = false;
    for (Deque<Runnable> queue : List.of(due[node], held[node])) {
      for (int n = queue.size(); n > 0; n--) {
        queue.poll().run();
      }
    }
  }

  /** What a machine had waiting is lost: it was started anew. */
  public void discardPending(int node) {
    held[node].clear();
    due[node].clear();
    paused[node] = false;
  }

  /**
   * Takes the next step; false where there is none before {@code end}, to which the clock then
   * goes.
   */
  public boolean step(long end) {
    while (true) {
      ScheduledTask s = steps.peek();
      if (s == null || s.at > end) {
        now = Math.max(now, end);
        return false;
      }
      steps.poll();
      if (!s.cancelled) {
        now = s.at;
        s.what.run();
        return true;
      }
    }
  }

  public void run(long end) {
    while (step(end)) {
      continue;
    }
  }
}
