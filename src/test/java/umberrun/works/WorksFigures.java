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
 * Figures for docs/works.md, outside the build: all of 60 machines, six at a time, by three orders,
 * or by those that are named and one seed.
 */
public final class WorksFigures {
  private static final long SECOND = 1_000_000;

  /** Work and warm-up of the trial. */
  private static final double LEAST_SECONDS = 60 / 6 * (2 + 3);

  private WorksFigures() {}

  public static void main(String[] args) {
    for (int fronts : new int[] {14, 100}) {
      for (String how : args.length > 0 ? List.of(args) : List.of("order", "name", "random")) {
        List<double[]> all = new ArrayList<>();
        for (long seed = 1; seed <= (args.length > 0 ? 1 : fronts > 50 ? 3 : 9); seed++) {
          all.add(play(fronts, how, seed));
        }
        System.out.printf(
            "%d front ends, by %s: %.1f s (least %.0f), %.1f steps a machine, ledger %.0f bytes, %.1f copies ordered elsewhere, "
                + "%.1f calls under way at those that went, %.2f ms a second of the holder's loop%n",
            fronts,
            how,
            median(all, 0),
            LEAST_SECONDS,
            median(all, 1),
            median(all, 2),
            median(all, 3),
            median(all, 4),
            median(all, 5));
      }
    }
  }

  private static double median(List<double[]> all, int i) {
    return all.stream().mapToDouble(d -> d[i]).sorted().toArray()[all.size() / 2];
  }

  private static double[] play(int fronts, String how, long seed) {
    Random random = new Random(seed);
    long[] nanos = new long[1];
    WorksSimulation t =
        new WorksSimulation(
            fronts,
            3,
            20,
            seed,
            new Factory() {
              @Override
              public PlanExecutor driver(long fence) {
                return new PlanExecutor(WorksSimulation.SETTINGS, fence) {
                  @Override
                  public PlannedStep nextStep(
                      long now, Ledger l, MachineView w, List<FrontEndReport> reports) {
                    long asked = System.nanoTime();
                    PlannedStep next = super.nextStep(now, l, w, reports);
                    nanos[0] += System.nanoTime() - asked;
                    return next;
                  }

                  @Override
                  public List<CopyMove> copyMoves(
                      Ledger l, MachineView w, List<FrontEndReport> reports) {
                    long asked = System.nanoTime();
                    List<CopyMove> moves = super.copyMoves(l, w, reports);
                    nanos[0] += System.nanoTime() - asked;
                    return moves;
                  }

                  @Override
                  protected List<MachineOrder.Place> machineOrder(
                      Ledger l, MachineView w, List<FrontEndReport> reports) {
                    List<MachineOrder.Place> places =
                        new ArrayList<>(super.machineOrder(l, w, reports));
                    if (how.equals("random")) {
                      Collections.shuffle(places, random);
                    } else if (how.equals("name")) {
                      places.sort(Comparator.comparing(MachineOrder.Place::machine));
                    }
                    places.sort(
                        Comparator.comparing(
                            (MachineOrder.Place p) ->
                                !p.may())); // what may not go stays where it is
                    return places;
                  }
                };
              }
            });
    t.run(8 * SECOND);
    Plan p =
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
    t.plan(0, "p", p, t.names());
    long began = t.net().now();
    long bytes = 0;
    while (t.net().now() - began < 400 * SECOND
        && (t.ledger().plan("p").isEmpty() || !t.ledger().plan("p").get().state().isOver())) {
      t.run(SECOND / 2);
      bytes = Math.max(bytes, t.ledger().text().length());
    }
    return new double[] {
      (t.net().now() - began) / 1e6,
      t.ledger().steps() / 60.0,
      bytes,
      t.moved(),
      t.cutOff(),
      nanos[0] / 1e6 / ((t.net().now() - began) / 1e6)
    };
  }
}
