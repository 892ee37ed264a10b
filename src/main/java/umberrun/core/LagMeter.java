package umberrun.core;

import io.vertx.core.Vertx;

/**
 * How late this machine is: by how much a beat of the library's timer comes after its time. What a
 * client has written waits as long before it is read, and no other clock shows that.
 */
final class LagMeter {
  private static final long BEAT_MILLIS = 10;
  private static final double FADE = 0.6;

  private final Vertx vertx;
  private final Clock clock;
  private long dueAt;
  private double lag;

  LagMeter(Vertx vertx, Clock clock) {
    this.vertx = vertx;
    this.clock = clock;
    next();
  }

  /**
   * Each beat sets the next: the library makes up for missed ones of a steady timer at once, and
   * the lateness would fade with each.
   */
  private void next() {
    dueAt = clock.now() + BEAT_MILLIS * 1_000;
    vertx.setTimer(BEAT_MILLIS, t -> beat());
  }

  private void beat() {
    lag = Math.max(FADE * lag, clock.now() - dueAt);
    next();
  }

  /**
   * The worst lateness of the last moments, fading, in microseconds; also of a beat that is overdue
   * now.
   */
  long lag() {
    return (long) Math.max(lag, clock.now() - dueAt);
  }
}
