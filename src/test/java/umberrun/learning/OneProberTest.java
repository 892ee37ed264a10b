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
 * One prober for all on the emulator: a worker falls silent, and is back; what that costs with a
 * prober and without.
 */
public class OneProberTest {
  private static final long SECOND = SimulatedFleet.SECOND;
  private static final long EVERY = SECOND / 2;
  private static final long HALF_LIFE = 15 * SECOND;

  /**
   * What one course came to.
   *
   * @param met sends that the silent worker met
   * @param benched when half of the front ends had benched it, in milliseconds; those that never
   *     did count as late as the end
   * @param back when half of those that had benched it were served by it again
   * @param timely part of calls answered within the aim
   */
  private record Figures(double met, double benched, double back, double timely, double probes) {}

  private int probes;

  private static void tellAll(SimulatedFleet f, HallHealthMonitor watch) {
    f.after(
        2 * SECOND,
        () -> {
          tell(f, watch.readings());
          tellAll(f, watch);
        });
  }

  private void probe(SimulatedFleet f, HallHealthMonitor watch, Collection<String> names) {
    f.after(
        EVERY / 5,
        () -> {
          for (String name : watch.workersToProbe(f.now, names)) {
            probes++;
            f.ask(
                Integer.parseInt(name),
                (alive, took) -> {
                  watch.recordProbe(name, took, alive);
                  tell(f, watch.changes());
                });
          }
          probe(f, watch, names);
        });
  }

  private static void tell(SimulatedFleet f, List<HallHealthMonitor.HealthReading> readings) {
    for (HallHealthMonitor.HealthReading r : readings) {
      f.hear(
          Integer.parseInt(r.worker()),
          r.latencyRatio(),
          r.failureRate(),
          r.seenAt(),
          Math.pow(2, (r.seenAt() - f.now) / (double) HALF_LIFE));
    }
  }

  private Figures play(long seed, int instances, int workers, boolean prober, boolean slow) {
    probes = 0;
    SimulatedFleet f = new SimulatedFleet(seed, instances, workers, 5.0 * workers);
    if (prober) {
      for (int z = 0; z < 3; z++) {
        int zone = z;
        HallHealthMonitor watch = new HallHealthMonitor(EVERY);
        tellAll(f, watch);
        probe(
            f,
            watch,
            IntStream.range(0, workers)
                .filter(w -> w % 3 == zone)
                .mapToObj(Integer::toString)
                .toList());
      }
    }
    f.run(20 * SECOND);
    f.watchedWorker = 1;
    if (slow) {
      f.slow.put(1, 6.0);
    } else {
      f.silent.add(1);
    }
    long fell = f.now;
    f.timely = 0;
    f.over = 0;
    f.run(15 * SECOND);
    Map<Integer, Long> benched = new LinkedHashMap<>(f.benchedAt);
    f.silent.clear();
    f.slow.clear();
    int timely = f.timely;
    int over = f.over;
    long back = f.now;
    f.servedBy.clear();
    f.run(15 * SECOND);
    double[] b =
        IntStream.range(0, instances)
            .mapToDouble(i -> (benched.getOrDefault(i, fell + 15 * SECOND) - fell) / 1e3)
            .sorted()
            .toArray();
    double[] s =
        benched.keySet().stream()
            .mapToDouble(i -> (f.servedBy.getOrDefault(i, back + 15 * SECOND) - back) / 1e3)
            .sorted()
            .toArray();
    return new Figures(
        f.metSilent,
        b[b.length / 2],
        s.length == 0 ? -1 : s[s.length / 2],
        (double) timely / over,
        probes / 50.0);
  }

  private static double median(List<Figures> all, java.util.function.ToDoubleFunction<Figures> of) {
    double[] sorted = all.stream().mapToDouble(of).sorted().toArray();
    return sorted[sorted.length / 2];
  }

  private double[] compare(int instances, int workers, int seeds, boolean slow) {
    double[] met = new double[2];
    for (int prober = 0; prober < 2; prober++) {
      boolean on = prober == 1;
      List<Figures> all =
          IntStream.rangeClosed(1, seeds)
              .mapToObj(s -> play(s, instances, workers, on, slow))
              .toList();
      met[prober] = all.stream().mapToDouble(Figures::met).average().orElseThrow();
      System.out.printf(
          "%d front ends, %d workers, one %s, %s: met the silent one %.0f, half had benched it after %.0f ms, half served "
              + "again after %.0f ms, timely %.4f, %.1f probes a second%n",
          instances,
          workers,
          slow ? "slow" : "silent",
          on ? "one prober" : "none",
          met[prober],
          median(all, Figures::benched),
          median(all, Figures::back),
          median(all, Figures::timely),
          median(all, Figures::probes));
    }
    return met;
  }

  @Test
  public void fewerCallsMeetASilentWorkerWithAProber() {
    double[] met = compare(14, 12, 5, false);
    assertTrue(Arrays.toString(met), met[1] < met[0]);
  }

  /** The larger sizes, outside the build. */
  public static void main(String[] args) {
    for (int[] size : new int[][] {{5, 12}, {14, 24}, {100, 60}}) {
      new OneProberTest().compare(size[0], size[1], 9, false);
      new OneProberTest().compare(size[0], size[1], 9, true);
    }
  }
}
