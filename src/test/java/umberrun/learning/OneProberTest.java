package umberrun.learning;

import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.Test;
import umberrun.lease.HallHealthMonitor;

/**
 * Simulates a fleet in which one front end per hall probes the workers for all others. A worker
 * stops answering or becomes slow, and recovers later; the test compares the cost with and without
 * such a prober.
 */
public class OneProberTest {
  private static final long SECOND = SimulatedFleet.SECOND;
  private static final long PROBE_INTERVAL = SECOND / 2;
  private static final long HALF_LIFE = 15 * SECOND;

  /**
   * Results of one simulation.
   *
   * @param sendsToSilent number of sends to the silent worker
   * @param benchedMillis time until half of the front ends had benched it; a front end that never
   *     did counts with the time until the end
   * @param backMillis time until half of the front ends that had benched it were served by it
   *     again, -1 if none had benched it
   * @param timelyShare share of the calls that were answered within the aim
   * @param probesPerSecond number of probes per second
   */
  private record Figures(
      double sendsToSilent,
      double benchedMillis,
      double backMillis,
      double timelyShare,
      double probesPerSecond) {}

  private int probes;

  /** Sends all readings of a hall to all front ends every two seconds. */
  private static void shareReadings(SimulatedFleet fleet, HallHealthMonitor monitor) {
    fleet.after(
        2 * SECOND,
        () -> {
          report(fleet, monitor.readings());
          shareReadings(fleet, monitor);
        });
  }

  /** Lets the hall's prober probe the workers that are due, repeatedly. */
  private void probe(SimulatedFleet fleet, HallHealthMonitor monitor, Collection<String> names) {
    fleet.after(
        PROBE_INTERVAL / 5,
        () -> {
          for (String name : monitor.workersToProbe(fleet.now, names)) {
            probes++;
            fleet.probe(
                Integer.parseInt(name),
                (alive, took) -> {
                  monitor.recordProbe(name, took, alive);
                  report(fleet, monitor.changes());
                });
          }
          probe(fleet, monitor, names);
        });
  }

  /** Sends readings to all front ends. */
  private static void report(SimulatedFleet fleet, List<HallHealthMonitor.HealthReading> readings) {
    for (HallHealthMonitor.HealthReading reading : readings) {
      fleet.broadcast(
          Integer.parseInt(reading.worker()),
          reading.latencyRatio(),
          reading.failureRate(),
          reading.seenAt(),
          Math.pow(2, (reading.seenAt() - fleet.now) / (double) HALF_LIFE));
    }
  }

  /** Runs one simulation with a silent or a slow worker, for 15 s, and 15 s after its recovery. */
  private Figures simulate(long seed, int instances, int workers, boolean prober, boolean slow) {
    probes = 0;
    SimulatedFleet fleet = new SimulatedFleet(seed, instances, workers, 5.0 * workers);
    if (prober) {
      for (int hall = 0; hall < 3; hall++) {
        int zone = hall;
        HallHealthMonitor monitor = new HallHealthMonitor(PROBE_INTERVAL);
        shareReadings(fleet, monitor);
        probe(
            fleet,
            monitor,
            IntStream.range(0, workers)
                .filter(w -> w % 3 == zone)
                .mapToObj(Integer::toString)
                .toList());
      }
    }
    fleet.run(20 * SECOND);
    fleet.watchedWorker = 1;
    if (slow) {
      fleet.slow.put(1, 6.0);
    } else {
      fleet.silent.add(1);
    }
    long failedAt = fleet.now;
    fleet.timely = 0;
    fleet.over = 0;
    fleet.run(15 * SECOND);
    Map<Integer, Long> benched = new LinkedHashMap<>(fleet.benchedAt);
    fleet.silent.clear();
    fleet.slow.clear();
    int timely = fleet.timely;
    int over = fleet.over;
    long recoveredAt = fleet.now;
    fleet.servedBy.clear();
    fleet.run(15 * SECOND);
    double[] benchedMillis =
        IntStream.range(0, instances)
            .mapToDouble(i -> (benched.getOrDefault(i, failedAt + 15 * SECOND) - failedAt) / 1e3)
            .sorted()
            .toArray();
    double[] backMillis =
        benched.keySet().stream()
            .mapToDouble(
                i ->
                    (fleet.servedBy.getOrDefault(i, recoveredAt + 15 * SECOND) - recoveredAt) / 1e3)
            .sorted()
            .toArray();
    return new Figures(
        fleet.metSilent,
        benchedMillis[benchedMillis.length / 2],
        backMillis.length == 0 ? -1 : backMillis[backMillis.length / 2],
        (double) timely / over,
        probes / 50.0);
  }

  private static double median(List<Figures> all, java.util.function.ToDoubleFunction<Figures> of) {
    double[] sorted = all.stream().mapToDouble(of).sorted().toArray();
    return sorted[sorted.length / 2];
  }

  /** Returns the mean number of sends to the silent worker, without and with a prober. */
  private double[] compare(int instances, int workers, int seeds, boolean slow) {
    double[] sendsToSilent = new double[2];
    for (int prober = 0; prober < 2; prober++) {
      boolean on = prober == 1;
      List<Figures> all =
          IntStream.rangeClosed(1, seeds)
              .mapToObj(seed -> simulate(seed, instances, workers, on, slow))
              .toList();
      sendsToSilent[prober] =
          all.stream().mapToDouble(Figures::sendsToSilent).average().orElseThrow();
      System.out.printf(
          "%d front ends, %d workers, one %s, %s: %.0f sends to the silent worker, half had benched it after %.0f ms, half "
              + "served again after %.0f ms, timely %.4f, %.1f probes a second%n",
          instances,
          workers,
          slow ? "slow" : "silent",
          on ? "one prober per hall" : "no prober",
          sendsToSilent[prober],
          median(all, Figures::benchedMillis),
          median(all, Figures::backMillis),
          median(all, Figures::timelyShare),
          median(all, Figures::probesPerSecond));
    }
    return sendsToSilent;
  }

  @Test
  public void aProberLowersTheSendsToASilentWorker() {
    double[] sendsToSilent = compare(14, 12, 5, false);
    assertTrue(Arrays.toString(sendsToSilent), sendsToSilent[1] < sendsToSilent[0]);
  }

  /** Runs larger fleets; not part of the build. */
  public static void main(String[] args) {
    for (int[] size : new int[][] {{5, 12}, {14, 24}, {100, 60}}) {
      new OneProberTest().compare(size[0], size[1], 9, false);
      new OneProberTest().compare(size[0], size[1], 9, true);
    }
  }
}
