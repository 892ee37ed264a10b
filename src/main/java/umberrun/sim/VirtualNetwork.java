package umberrun.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A simulated clock and network for state machines without I/O: loss, delay, duplicates, reordering
 * by unequal delays, links cut in either direction and paused machines. The same seed and calls
 * give the same execution. Times are in microseconds.
 */
public final class VirtualNetwork {
  /** An action scheduled for a point in time, which can be cancelled. */
  public static final class ScheduledTask {
    private final long at;
    private final long sequence;
    private final Runnable action;
    private boolean cancelled;

    private ScheduledTask(long at, long sequence, Runnable action) {
      this.at = at;
      this.sequence = sequence;
      this.action = action;
    }

    /** Keeps the action from running. */
    public void cancel() {
      cancelled = true;
    }
  }

  /**
   * Number of messages kept for a paused machine; like a full socket buffer, it drops further ones.
   */
  private static final int MAX_BUFFERED_MESSAGES = 200;

  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
  private final RandomGenerator random;
  private final Set<Long> cutLinks = new HashSet<>();

  /** Messages that arrived at each machine while it was paused. */
  private final Deque<Runnable>[] buffered;

  /** Timers that expired at each machine while it was paused. */
  private final Deque<Runnable>[] overdueTimers;

  private final boolean[] paused;
  private final long[] extraDelayMicros;
  private long now;
  private long sequence;
  private double loss;
  private double duplicates;
  private long minDelay;
  private long maxDelay;

  /**
   * @param nodes number of machines, which are numbered from 0
   * @param random source of loss, duplicates and delays
   */
  @SuppressWarnings("unchecked")
  public VirtualNetwork(int nodes, RandomGenerator random) {
    this.random = random;
    this.paused = new boolean[nodes];
    this.extraDelayMicros = new long[nodes];
    this.buffered = new Deque[nodes];
    this.overdueTimers = new Deque[nodes];
    for (int i = 0; i < nodes; i++) {
      buffered[i] = new ArrayDeque<>();
      overdueTimers[i] = new ArrayDeque<>();
    }
    now = 1_000_000;
  }

  /**
   * Sets the properties of all links from now on.
   *
   * @param loss probability that a message is lost
   * @param duplicates probability that a message arrives twice
   * @param minDelay shortest delay of a message, in microseconds
   * @param maxDelay longest delay of a message, in microseconds
   */
  public void setLinks(double loss, double duplicates, long minDelay, long maxDelay) {
    this.loss = loss;
    this.duplicates = duplicates;
    this.minDelay = minDelay;
    this.maxDelay = maxDelay;
  }

  /** The simulated time in microseconds. */
  public long now() {
    return now;
  }

  /** Schedules an action that is independent of paused machines. */
  public ScheduledTask at(long when, Runnable action) {
    ScheduledTask task = new ScheduledTask(Math.max(now, when), sequence++, action);
    tasks.add(task);
    return task;
  }

  /**
   * Schedules an action on a machine; if the machine is paused then, it runs when the machine
   * resumes.
   */
  public ScheduledTask at(int node, long when, Runnable action) {
    ScheduledTask[] task = new ScheduledTask[1];
    task[0] =
        at(
            when,
            () ->
                runOn(
                    node,
                    true,
                    () -> {
                      if (!task[0].cancelled) {
                        action.run();
                      }
                    }));
    return task[0];
  }

  /**
   * Sends a message: {@code arrives} runs once or twice at the receiver, or not at all if it is
   * lost.
   */
  public void send(int from, int to, Runnable arrives) {
    if (cutLinks.contains(link(from, to)) || random.nextDouble() < loss) {
      return;
    }
    int copies = random.nextDouble() < duplicates ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      at(now + delay() + extraDelayMicros[to], () -> runOn(to, false, arrives));
    }
  }

  /** A random delay within the limits of the links. */
  public long delay() {
    return minDelay + (long) ((maxDelay - minDelay) * random.nextDouble());
  }

  private void runOn(int node, boolean isTimer, Runnable action) {
    if (!paused[node]) {
      action.run();
    } else if (isTimer) {
      overdueTimers[node].add(action);
    } else if (buffered[node].size() < MAX_BUFFERED_MESSAGES) {
      buffered[node].add(action);
    }
  }

  /** Cuts the link in one direction. */
  public void cut(int from, int to) {
    cutLinks.add(link(from, to));
  }

  /** Restores the link in one direction. */
  public void heal(int from, int to) {
    cutLinks.remove(link(from, to));
  }

  /** Restores all links. */
  public void healAll() {
    cutLinks.clear();
  }

  /** Whether the link is open in both directions. */
  public boolean isOpen(int a, int b) {
    return !cutLinks.contains(link(a, b)) && !cutLinks.contains(link(b, a));
  }

  /** Whether any link is cut. */
  public boolean isCut() {
    return !cutLinks.isEmpty();
  }

  private static long link(int from, int to) {
    return (long) from << 32 | to;
  }

  /** Delays messages to a machine by this much in addition, from now on. */
  public void setExtraDelay(int node, long micros) {
    extraDelayMicros[node] = micros;
  }

  /** Pauses a machine: its timers and messages wait. */
  public void pause(int node) {
    paused[node] = true;
  }

  /** Whether a machine is paused. */
  public boolean isPaused(int node) {
    return paused[node];
  }

  /**
   * Resumes a machine: as in an event loop, first its expired timers run, then its buffered
   * messages.
   */
  public void resume(int node) {
    paused[node] = false;
    for (Deque<Runnable> queue : List.of(overdueTimers[node], buffered[node])) {
      for (int remaining = queue.size(); remaining > 0; remaining--) {
        queue.poll().run();
      }
    }
  }

  /**
   * Drops the waiting timers and messages of a machine, which has been restarted, and resumes it.
   */
  public void discardPending(int node) {
    buffered[node].clear();
    overdueTimers[node].clear();
    paused[node] = false;
  }

  /**
   * Runs the next action that is due at {@code end} or before and returns true. If there is none,
   * sets the clock to {@code end} and returns false.
   */
  public boolean step(long end) {
    while (true) {
      ScheduledTask task = tasks.peek();
      if (task == null || task.at > end) {
        now = Math.max(now, end);
        return false;
      }
      tasks.poll();
      if (!task.cancelled) {
        now = task.at;
        task.action.run();
        return true;
      }
    }
  }

  /** Runs all actions up to {@code end}. */
  public void run(long end) {
    while (step(end)) {
      continue;
    }
  }
}
