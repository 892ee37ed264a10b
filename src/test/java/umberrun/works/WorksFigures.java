package umberrun.works;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import umberrun.works.Ledger.Late;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.State;
import umberrun.works.sim.WorksSimulation;
import umberrun.works.sim.WorksSimulation.Factory;

/**
 * Measures a plan over all of 60 simulated machines, six at a time, started manually with {@code
 * main}. Compares three orders ({@code order}, {@code name}, {@code random}); arguments select some
 * of them, with a single seed.
 */
public final class WorksFigures {
  private static final long SECOND = 1_000_000;

  /** Ten rounds, each with the work and the warm-up of the simulation. */
  private static final double MIN_SECONDS = 60 / 6 * (2 + 3);

  private WorksFigures() {}

  public static void main(String[] args) {
    for (int frontEnds : new int[] {14, 100}) {
      for (String orderName :
          args.length > 0 ? List.of(args) : List.of("order", "name", "random")) {
        List<double[]> results = new ArrayList<>();
        for (long seed = 1; seed <= (args.length > 0 ? 1 : frontEnds > 50 ? 3 : 9); seed++) {
          results.add(simulate(frontEnds, orderName, seed));
        }
        System.out.printf(
            "%d front ends, order %s: %.1f s (minimum %.0f), %.1f steps per machine, "
                + "ledger %.0f bytes, %.1f copies loaded elsewhere, "
                + "%.1f calls in flight at machines that went out, "
                + "%.2f ms of executor time per second%n",
            frontEnds,
            orderName,
            median(results, 0),
            MIN_SECONDS,
            median(results, 1),
            median(results, 2),
            median(results, 3),
            median(results, 4),
            median(results, 5));
      }
    }
  }

  private static double median(List<double[]> results, int i) {
    return results.stream().mapToDouble(d -> d[i]).sorted().toArray()[results.size() / 2];
  }

  private static double[] simulate(int frontEnds, String orderName, long seed) {
    Random random = new Random(seed);
    long[] executorNanos = new long[1];
    WorksSimulation simulation =
        new WorksSimulation(
            frontEnds,
            3,
            20,
            seed,
            new Factory() {
              @Override
              public PlanExecutor executor(long fence) {
                return new PlanExecutor(WorksSimulation.DEFAULT_SETTINGS, fence) {
                  @Override
                  public PlannedStep nextStep(
                      long now, Ledger ledger, MachineView view, List<FrontEndReport> reports) {
                    long startNanos = System.nanoTime();
                    PlannedStep next = super.nextStep(now, ledger, view, reports);
                    executorNanos[0] += System.nanoTime() - startNanos;
                    return next;
                  }

                  @Override
                  public List<CopyMove> copyMoves(
                      Ledger ledger, MachineView view, List<FrontEndReport> reports) {
                    long startNanos = System.nanoTime();
                    List<CopyMove> moves = super.copyMoves(ledger, view, reports);
                    executorNanos[0] += System.nanoTime() - startNanos;
                    return moves;
                  }

                  @Override
                  protected List<MachineOrder.Place> machineOrder(
                      Ledger ledger, MachineView view, List<FrontEndReport> reports) {
                    List<MachineOrder.Place> places =
                        new ArrayList<>(super.machineOrder(ledger, view, reports));
                    if (orderName.equals("random")) {
                      Collections.shuffle(places, random);
                    } else if (orderName.equals("name")) {
                      places.sort(Comparator.comparing(MachineOrder.Place::machine));
                    }
                    // Machines that may not go come last in each order.
                    places.sort(Comparator.comparing((MachineOrder.Place place) -> !place.mayGo()));
                    return places;
                  }
                };
              }
            });
    simulation.run(8 * SECOND);
    Plan plan =
        new Plan(
            "p",
            "op",
            "new disks",
            6,
            false,
            50,
            15,
            60_000,
            Late.WAIT,
            false,
            false,
            State.RUNNING,
            "");
    simulation.plan(0, "p", plan, simulation.names());
    long startedAt = simulation.net().now();
    long maxLedgerBytes = 0;
    while (simulation.net().now() - startedAt < 400 * SECOND
        && (simulation.ledger().plan("p").isEmpty()
            || !simulation.ledger().plan("p").get().state().isOver())) {
      simulation.run(SECOND / 2);
      maxLedgerBytes = Math.max(maxLedgerBytes, simulation.ledger().text().length());
    }
    return new double[] {
      (simulation.net().now() - startedAt) / 1e6,
      simulation.ledger().steps() / 60.0,
      maxLedgerBytes,
      simulation.copyMoves(),
      simulation.callsCutOff(),
      executorNanos[0] / 1e6 / ((simulation.net().now() - startedAt) / 1e6)
    };
  }
}
