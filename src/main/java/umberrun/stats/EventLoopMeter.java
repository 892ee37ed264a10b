package umberrun.stats;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import umberrun.stats.Counters.Count;

/**
 * Measures how long the turns of the event loop are and who uses most of a long one. A turn goes
 * from the end of a wait for events to the next wait; everything that arrives meanwhile waits. To
 * be used on the thread of the event loop only. Times are nanoseconds of {@link System#nanoTime}.
 */
public final class EventLoopMeter {
  /** On whose behalf the event loop works, and who is charged for the time. */
  public interface Account {
    /** Adds to what has been used, in nanoseconds. */
    void charge(long nanos);

    /** Describes the owner for the log. */
    String describe();
  }

  private static final long LONG_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Counters counters;
  private final Consumer<String> log;

  /** When the current turn began; valid while {@link #inTurn}. */
  private long turnStartedAt;

  private boolean inTurn;

  /** The longest piece of work of the current turn, and who it was for; null before the first. */
  private long longestNanos;

  private Account longestOwner;

  /** On whose behalf the event loop works now; null for nobody in particular. */
  private Account current;

  private long loggedAt = System.nanoTime() - LOG_INTERVAL_NANOS;

  /** Long turns since the last one that was logged. */
  private int unlogged;

  /**
   * @param log receives a line for a long turn, once a second at most
   */
  public EventLoopMeter(Counters counters, Consumer<String> log) {
    this.counters = counters;
    this.log = log;
  }

  /** The event loop has work; has no effect within a turn. */
  public void beginTurn(long now) {
    if (!inTurn) {
      inTurn = true;
      turnStartedAt = now;
    }
  }

  /** The event loop is about to wait for events. */
  public void endTurn(long now) {
    if (!inTurn) {
      return;
    }
    inTurn = false;
    long nanos = now - turnStartedAt;
    long micros = nanos / 1_000;
    counters.set(
        Count.LOOP_TURN_MAX_MICROS, Math.max(micros, counters.get(Count.LOOP_TURN_MAX_MICROS)));
    if (nanos >= LONG_TURN_NANOS) {
      counters.add(Count.LOOP_TURNS_LONG);
      logLongTurn(now, nanos);
    }
    longestNanos = 0;
    longestOwner = null;
  }

  private void logLongTurn(long now, long nanos) {
    if (now - loggedAt < LOG_INTERVAL_NANOS) {
      unlogged++;
      return;
    }
    loggedAt = now;
    log.accept(
        "event loop: a turn took "
            + TimeUnit.NANOSECONDS.toMillis(nanos)
            + " ms"
            + (longestOwner == null
                ? ""
                : ", "
                    + TimeUnit.NANOSECONDS.toMillis(longestNanos)
                    + " ms of it for "
                    + longestOwner.describe())
            + (unlogged == 0 ? "" : ", " + unlogged + " more since the last report"));
    unlogged = 0;
  }

  /** On whose behalf the event loop works now; null for nobody in particular. */
  public Account current() {
    return current;
  }

  /**
   * Runs a piece of work and charges it.
   *
   * @param account who is charged; null for nobody
   */
  public void run(Account account, Runnable work) {
    Account before = current;
    current = account;
    long startedAt = System.nanoTime();
    try {
      work.run();
    } finally {
      current = before;
      long nanos = System.nanoTime() - startedAt;
      if (account != null) {
        account.charge(nanos);
      }
      if (account != null && nanos > longestNanos) {
        longestNanos = nanos;
        longestOwner = account;
      }
    }
  }
}
