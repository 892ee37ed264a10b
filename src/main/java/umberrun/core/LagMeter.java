package umberrun.core;

import io.vertx.core.Vertx;

/**
 * How late this machine is: by how much a steady beat of the library's timer comes after its time. What a
 * client has written waits as long before it is read, and no other clock shows that.
 */
final class LagMeter {
  private static final long BEAT_MILLIS = 10;
  private static final double FADE = 0.6;

  private final Clock clock;
  private long dueAt;
  private double lag;

  LagMeter(Vertx vertx, Clock clock) {
    this.clock = clock;
    dueAt = clock.now() + BEAT_MILLIS * 1_000;
    vertx.setPeriodic(BEAT_MILLIS, t -> beat());
  }

  private void beat() {
    long now = clock.now();
    lag = Math.max(FADE * lag, now - dueAt);
    dueAt = now + BEAT_MILLIS * 1_000;
  }

  /** The worst lateness of the last moments, fading, in microseconds; also of a beat that is overdue now. */
  long lag() {
    return (long) Math.max(lag, clock.now() - dueAt);
  }
}
