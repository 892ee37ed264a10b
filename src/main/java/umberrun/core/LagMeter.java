package umberrun.core;

import io.vertx.core.Vertx;

/**
 * Measures how late this process runs: by how much a timer of the event loop fires after its due
 * time. What a client has written waits as long before it is read, which no other clock shows.
 */
final class LagMeter {
  private static final long SAMPLE_INTERVAL_MILLIS = 10;
  private static final double DECAY_PER_SAMPLE = 0.6;

  private final Vertx vertx;
  private final Clock clock;
  private long dueAt;
  private double lag;

  LagMeter(Vertx vertx, Clock clock) {
    this.vertx = vertx;
    this.clock = clock;
    scheduleSample();
  }

  /**
   * Schedules the next sample. A periodic timer would not do: Vert.x fires its missed ticks in a
   * burst, and each of them would decay the measured lag.
   */
  private void scheduleSample() {
    dueAt = clock.now() + SAMPLE_INTERVAL_MILLIS * 1_000;
    vertx.setTimer(SAMPLE_INTERVAL_MILLIS, t -> sample());
  }

  private void sample() {
    lag = Math.max(DECAY_PER_SAMPLE * lag, clock.now() - dueAt);
    scheduleSample();
  }

  /**
   * The largest recent lag in microseconds, decaying with time. Includes the delay of a sample that
   * is overdue now.
   */
  long lag() {
    return (long) Math.max(lag, clock.now() - dueAt);
  }
}
