package umberrun.lease.net;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.lease.HallHealthMonitor;
import umberrun.lease.HallHealthMonitor.HealthReading;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Task of the duty {@code probe/HALL}: its holder probes the hall's workers and publishes their
 * health to all front ends.
 */
final class HallProber implements DutyRunner.DutyTask {
  /** Interval at which all readings are published; changes are published at once. */
  private static final long FULL_REPORT_MICROS = 2_000_000;

  private static final long MICROS_PER_MILLI = 1_000;

  /** How often per probe interval the prober checks which workers are due. */
  private static final int CHECKS_PER_INTERVAL = 5;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop dispatchLoop;
  private final Counters counters;
  private final int zone;
  private final long intervalMillis;
  private final ObjLongConsumer<List<HealthReading>> publisher;
  private HallHealthMonitor activeMonitor;
  private long timer = -1;
  private long fullReportAt;

  /**
   * @param zone index of the hall
   * @param intervalMillis between two probes of one worker
   * @param publisher sends readings to all front ends under the given fence
   */
  HallProber(
      Vertx vertx,
      Clock clock,
      DispatchLoop dispatchLoop,
      Counters counters,
      int zone,
      long intervalMillis,
      ObjLongConsumer<List<HealthReading>> publisher) {
    this.vertx = vertx;
    this.clock = clock;
    this.dispatchLoop = dispatchLoop;
    this.counters = counters;
    this.zone = zone;
    this.intervalMillis = intervalMillis;
    this.publisher = publisher;
  }

  @Override
  public void start(LongSupplier activeFence) {
    stop();
    HallHealthMonitor monitor = new HallHealthMonitor(intervalMillis * MICROS_PER_MILLI);
    activeMonitor = monitor;
    timer =
        vertx.setPeriodic(
            Math.max(1, intervalMillis / CHECKS_PER_INTERVAL),
            t -> probeDueWorkers(monitor, activeFence));
  }

  private void probeDueWorkers(HallHealthMonitor monitor, LongSupplier activeFence) {
    // Calls have priority over probes.
    if (!dispatchLoop.isKeepingUp()) {
      return;
    }
    for (String worker :
        monitor.workersToProbe(clock.now(), dispatchLoop.workerReports().readyWorkers(zone))) {
      if (activeFence.getAsLong() < 0) {
        return;
      }
      counters.add(Count.LEASE_ACTS);
      dispatchLoop.probeWorker(
          worker,
          (alive, latency) -> {
            monitor.recordProbe(worker, latency, alive);
            publish(monitor, monitor.changes(), activeFence);
          });
    }
    if (clock.now() - fullReportAt >= FULL_REPORT_MICROS) {
      fullReportAt = clock.now();
      publish(monitor, monitor.readings(), activeFence);
    }
  }

  /** Drops results of probes that were sent before the duty was lost or taken again. */
  private void publish(
      HallHealthMonitor monitor, List<HealthReading> readings, LongSupplier activeFence) {
    long fence = monitor == activeMonitor ? activeFence.getAsLong() : -1;
    if (fence >= 0 && !readings.isEmpty()) {
      publisher.accept(readings, fence);
    }
  }

  @Override
  public void stop() {
    vertx.cancelTimer(timer);
    timer = -1;
    activeMonitor = null;
  }
}
