package umberrun.learning;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.Map;
import org.junit.Test;
import umberrun.learning.Fact.Kind;

/**
 * Compares front ends that restart with and without the facts of another one, on the same simulated
 * traffic. A restarted front end that has no facts sends calls to workers that have no loaded copy
 * or that fail.
 */
public class RestartTest {
  private static final int SEEDS = 40;

  /**
   * Results of the first five seconds after a restart.
   *
   * @param loads sends to a worker without a loaded copy, per call
   * @param errors sends to the failing worker, per call
   */
  private record Rates(double loads, double errors) {}

  /** Runs one simulation; {@code age} is that of the facts, in microseconds. */
  private static Rates simulate(long seed, boolean learns, long age, int restarts) {
    SimulatedFleet fleet = new SimulatedFleet(seed, 4, 12);
    FactHalfLife halfLives =
        new FactHalfLife(
            Map.of(
                Kind.COPY,
                9 * SimulatedFleet.SECOND,
                Kind.WORKER,
                15 * SimulatedFleet.SECOND,
                Kind.FUNCTION,
                20 * SimulatedFleet.SECOND));
    fleet.run(20 * SimulatedFleet.SECOND);
    // One of the twelve workers fails from now on.
    fleet.failing = 5;
    fleet.run(5 * SimulatedFleet.SECOND);
    for (int i = 0; i < restarts; i++) {
      fleet.start(i);
      if (learns) {
        fleet.learn(i, 3, age, halfLives);
      }
    }
    fleet.watched = 0;
    fleet.run(5 * SimulatedFleet.SECOND);
    double taken = Math.max(1, fleet.taken);
    return new Rates(fleet.metLoad / taken, fleet.metError / taken);
  }

  /**
   * Returns the mean change by learning over all seeds, compared seed by seed with a restart
   * without facts, and prints it with its standard error.
   */
  private static Rates meanChange(String name, long age, int restarts) {
    double[] loads = new double[SEEDS];
    double[] errors = new double[SEEDS];
    for (int seed = 0; seed < SEEDS; seed++) {
      Rates without = simulate(seed, false, 0, restarts);
      Rates with = simulate(seed, true, age, restarts);
      loads[seed] = with.loads - without.loads;
      errors[seed] = with.errors - without.errors;
    }
    Rates change =
        new Rates(
            Arrays.stream(loads).average().orElseThrow(),
            Arrays.stream(errors).average().orElseThrow());
    System.out.printf(
        "restart, %s: met a load %+.4f (standard error %.4f), an error %+.4f (%.4f) of the calls%n",
        name,
        change.loads,
        standardError(loads, change.loads),
        change.errors,
        standardError(errors, change.errors));
    return change;
  }

  private static double standardError(double[] values, double mean) {
    return Math.sqrt(
        Arrays.stream(values).map(v -> (v - mean) * (v - mean)).sum() / (SEEDS - 1) / SEEDS);
  }

  @Test
  public void learningLowersTheRatesOfLoadsAndErrors() {
    Rates fresh = meanChange("one learns, facts 0.2 s old", SimulatedFleet.SECOND / 5, 1);
    Rates half = meanChange("half the fleet learns from one", SimulatedFleet.SECOND / 5, 2);
    Rates old = meanChange("one learns, facts 20 s old", 20 * SimulatedFleet.SECOND, 1);
    assertTrue(fresh.toString(), fresh.loads + fresh.errors < 0 && fresh.errors < 0);
    assertTrue(half.toString(), half.loads + half.errors < 0 && half.errors < 0);
    assertTrue("old facts must do no harm: " + old, old.loads + old.errors < 0.01);
  }

  @Test
  public void aSimulationIsDeterministic() {
    assertEquals(simulate(7, true, 0, 1), simulate(7, true, 0, 1));
  }
}
