package umberrun.learning;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.Map;
import org.junit.Test;
import umberrun.learning.Fact.Kind;

/**
 * Whether learning pays: instances that start anew with and without what another one saw, on the
 * same days.
 */
public class RestartTest {
  private static final int SEEDS = 40;

  /**
   * What restarted instances met in their first five seconds: calls without a loaded copy, and
   * errors.
   */
  private record Met(double loads, double errors) {}

  private static Met play(long seed, boolean learns, long age, int restarts) {
    SimulatedFleet fleet = new SimulatedFleet(seed, 4, 12);
    FactHalfLife c =
        new FactHalfLife(
            Map.of(
                Kind.COPY,
                9 * SimulatedFleet.SECOND,
                Kind.WORKER,
                15 * SimulatedFleet.SECOND,
                Kind.FUNCTION,
                20 * SimulatedFleet.SECOND));
    fleet.run(20 * SimulatedFleet.SECOND);
    fleet.failing = 5; // one of the twelve, from now on
    fleet.run(5 * SimulatedFleet.SECOND);
    for (int i = 0; i < restarts; i++) {
      fleet.start(i);
      if (learns) {
        fleet.learn(i, 3, age, c);
      }
    }
    fleet.watched = 0;
    fleet.run(5 * SimulatedFleet.SECOND);
    double taken = Math.max(1, fleet.taken);
    return new Met(fleet.metLoad / taken, fleet.metError / taken);
  }

  /**
   * Means over the days, and what learning changes with its standard error, day by day against
   * knowing nothing.
   */
  private static Met mean(String what, long age, int restarts) {
    double[] loads = new double[SEEDS];
    double[] errors = new double[SEEDS];
    for (int seed = 0; seed < SEEDS; seed++) {
      Met cold = play(seed, false, 0, restarts);
      Met learnt = play(seed, true, age, restarts);
      loads[seed] = learnt.loads - cold.loads;
      errors[seed] = learnt.errors - cold.errors;
    }
    Met change =
        new Met(
            Arrays.stream(loads).average().orElseThrow(),
            Arrays.stream(errors).average().orElseThrow());
    System.out.printf(
        "restart, %s: met a load %+.4f (standard error %.4f), an error %+.4f (%.4f) of the calls%n",
        what,
        change.loads,
        spread(loads, change.loads),
        change.errors,
        spread(errors, change.errors));
    return change;
  }

  private static double spread(double[] x, double mean) {
    return Math.sqrt(
        Arrays.stream(x).map(v -> (v - mean) * (v - mean)).sum() / (SEEDS - 1) / SEEDS);
  }

  @Test
  public void whoLearnsMeetsFewerLoadsAndErrors() {
    Met fresh = mean("one learns, facts 0.2 s old", SimulatedFleet.SECOND / 5, 1);
    Met half = mean("half the fleet learns from one", SimulatedFleet.SECOND / 5, 2);
    Met old = mean("one learns, facts 20 s old", 20 * SimulatedFleet.SECOND, 1);
    assertTrue(fresh.toString(), fresh.loads + fresh.errors < 0 && fresh.errors < 0);
    assertTrue(half.toString(), half.loads + half.errors < 0 && half.errors < 0);
    assertTrue("old facts do no harm: " + old, old.loads + old.errors < 0.01);
  }

  @Test
  public void aSeedIsPlayedTheSameTwice() {
    assertEquals(play(7, true, 0, 1), play(7, true, 0, 1));
  }
}
