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
 * The duty {@code probe/HALL}: its holder asks the hall's workers how they are, and tells all front
 * ends what it finds.
 */
final class HallProber implements DutyRunner.DutyTask {
  /** What has not changed is told this seldom. */
  private static final long ALL_MICROS = 2_000_000;

  private static final long MS = 1_000;

  /** Parts of the time between two questions after which it is looked whom to ask. */
  private static final int LOOKS = 5;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop owner;
  private final Counters counters;
  private final int zone;
  private final long everyMillis;
  private final ObjLongConsumer<List<HealthReading>> tell;
  private HallHealthMonitor watch;
  private long timer = -1;
  private long toldAt;

  /**
   * @param tell readings to all, under a fence
   */
  HallProber(
      Vertx vertx,
      Clock clock,
      DispatchLoop owner,
      Counters counters,
      int zone,
      long everyMillis,
      ObjLongConsumer<List<HealthReading>> tell) {
    this.vertx = vertx;
    this.clock = clock;
    this.owner = owner;
    this.counters = counters;
    this.zone = zone;
    this.everyMillis = everyMillis;
    this.tell = tell;
  }

  @Override
  public void start(LongSupplier mayAct) {
    stop();
    HallHealthMonitor mine = new HallHealthMonitor(everyMillis * MS);
    watch = mine;
    timer = vertx.setPeriodic(Math.max(1, everyMillis / LOOKS), t -> look(mine, mayAct));
  }

  private void look(HallHealthMonitor mine, LongSupplier mayAct) {
    if (!owner.isKeepingUp()) {
      return; // calls come first
    }
    for (String worker : mine.workersToProbe(clock.now(), owner.readyWorkers(zone))) {
      if (mayAct.getAsLong() < 0) {
        return;
      }
      counters.add(Count.LEASE_ACTS);
      owner.probeWorker(
          worker,
          (alive, took) -> {
            mine.recordProbe(worker, took, alive);
            tell(mine, mine.changes(), mayAct);
          });
    }
    if (clock.now() - toldAt >= ALL_MICROS) {
      toldAt = clock.now();
      tell(mine, mine.readings(), mayAct);
    }
  }

  private void tell(HallHealthMonitor mine, List<HealthReading> readings, LongSupplier mayAct) {
    long fence = mine == watch ? mayAct.getAsLong() : -1;
    if (fence >= 0 && !readings.isEmpty()) {
      tell.accept(readings, fence);
    }
  }

  @Override
  public void stop() {
    vertx.cancelTimer(timer);
    timer = -1;
    watch = null;
  }
}
